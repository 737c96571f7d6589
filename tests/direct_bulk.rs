//! Configuration transfers between gateways over real connections: complete, refused, stalled and
//! replaced.

mod directenv;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{Idle, new_core};
use directenv::{address, deployment, position, route};
use stackmast::actor::{Handle, mailbox, run};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::peers::links::{PeerLinks, accept, unknown_peers};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::{Name, Repeat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Size of a chunk in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Connections that may be open without a greeting.
const UNKNOWN_PEERS: usize = 64;

/// A gateway that accepts connections, and its address.
async fn gateway() -> (Handle<GatewayCore>, SocketAddr) {
    let listener = TcpListener::bind(address(0)).await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let greeting = PeerLinks::new(at, 1, core.clone()).greeting();
    tokio::spawn(accept(listener, core.clone(), greeting, unknown_peers(UNKNOWN_PEERS)));
    (core, at)
}

/// The connections of a sending gateway.
fn sender() -> PeerLinks<GatewayCore> {
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    PeerLinks::new(address(9), 1, core)
}

fn configuration(version: u64) -> PeerMessage {
    let deployment = deployment(version, Vec::new()).into();
    PeerMessage::configuration(position(version), deployment, version)
}

/// Whether a version is in force within two seconds.
async fn has(core: &Handle<GatewayCore>, version: u64) -> bool {
    for _ in 0..100 {
        let found = core.inspect(|core, _| core.table().deployment.version).await;
        if found.is_ok_and(|found| found == version) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

async fn write(stream: &mut TcpStream, frame: &[u8]) {
    stream.write_u32(frame.len() as u32).await.expect("a length");
    stream.write_all(frame).await.expect("a frame");
}

async fn read(stream: &mut TcpStream) -> String {
    let length = stream.read_u32().await.expect("a length");
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.expect("a frame");
    String::from_utf8(frame).expect("text")
}

/// Connects to a gateway and sends a greeting.
async fn hello(to: SocketAddr, bulk: bool) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    let hello = format!(r#"{{"address":"127.0.0.1:9","incarnation":1,"bulk":{bulk}}}"#);
    write(&mut stream, hello.as_bytes()).await;
    stream
}

/// Time until the other end closes a connection; `None` if longer than `within`.
async fn closed(stream: &mut TcpStream, within: Duration) -> Option<Duration> {
    let begun = Instant::now();
    let mut rest = Vec::new();
    timeout(within, stream.read_to_end(&mut rest)).await.ok().map(|_| begun.elapsed())
}

#[tokio::test]
async fn a_configuration_is_transferred_completely() {
    let (core, at) = gateway().await;
    sender().send(at, configuration(2));
    assert!(has(&core, 2).await);
}

// Guards against paths of health checks that gateways lose which have the configuration from a peer.
#[tokio::test]
async fn health_paths_are_transferred_in_chunks() {
    let routes = (0..200).map(|number| route(&format!("r{number}"), Repeat::Idempotent, &[]));
    let paths: Vec<Option<Name>> = vec![None, Some("/b/health".into()), None, Some("/d".into())];
    let sent = Arc::new(deployment(2, routes.collect())).with_health_paths(paths.clone());
    let message = PeerMessage::configuration(position(2), sent, 2);
    let length = serde_json::to_vec(&message).expect("JSON").len();
    assert!(length > 2 * CHUNK_BYTES, "{length} bytes are at most two chunks");
    let (core, at) = gateway().await;
    sender().send(at, message);
    assert!(has(&core, 2).await);
    let found = core.inspect(|core, _| core.table().deployment.health_paths()).await;
    assert_eq!(found.expect("a core"), paths);
}

#[tokio::test]
async fn stalled_receivers_delay_others_only_briefly() {
    let peers = sender();
    let mut frozen = Vec::new();
    for _ in 0..2 {
        let listener = TcpListener::bind(address(0)).await.expect("a port");
        peers.send(listener.local_addr().expect("its address"), configuration(2));
        frozen.push(listener.accept().await.expect("a connection"));
    }
    let third = TcpListener::bind(address(0)).await.expect("a port");
    peers.send(third.local_addr().expect("its address"), configuration(2));
    let (mut refused, _) = third.accept().await.expect("a connection");
    assert!(read(&mut refused).await.contains(r#""bulk":false"#));
    assert!(read(&mut refused).await.contains("NoConfiguration"));
    sleep(Duration::from_millis(2_500)).await;
    peers.send(third.local_addr().expect("its address"), configuration(2));
    let (mut served, _) =
        timeout(Duration::from_secs(1), third.accept()).await.expect("in time").expect("accepted");
    assert!(read(&mut served).await.contains(r#""bulk":true"#));
}

#[tokio::test]
async fn a_stalled_or_torn_chunk_ends_only_its_own_transfer() {
    let (core, at) = gateway().await;
    let mut torn = hello(at, true).await;
    torn.write_u32(16_000).await.expect("a length");
    drop(torn);
    sleep(Duration::from_millis(100)).await;
    let mut stalled = hello(at, true).await;
    stalled.write_u32(16_000).await.expect("a length");
    stalled.write_all(b"{").await.expect("a part of a chunk");
    assert!(
        closed(&mut stalled, Duration::from_secs(3)).await.is_some(),
        "the stalled transfer is still open"
    );
    sender().send(at, configuration(2));
    assert!(has(&core, 2).await);
}

#[tokio::test]
async fn a_newer_transfer_from_a_peer_replaces_the_older_one() {
    let (core, at) = gateway().await;
    let mut older = hello(at, true).await;
    write(&mut older, b"{").await;
    sleep(Duration::from_millis(100)).await;
    sender().send(at, configuration(2));
    assert!(has(&core, 2).await);
    let took = closed(&mut older, Duration::from_secs(1)).await;
    assert!(took.is_some(), "the older transfer is still open");
}

#[tokio::test]
async fn an_unknown_message_of_another_version_is_ignored() {
    let (core, at) = gateway().await;
    let mut stream = hello(at, false).await;
    write(&mut stream, br#"{"Tomorrow":{"more":1}}"#).await;
    write(&mut stream, &serde_json::to_vec(&configuration(2)).expect("a message")).await;
    assert!(has(&core, 2).await);
}

#[test]
fn a_pull_from_an_older_version_is_read() {
    let pull = r#"{"Pull":{"seen":{"version":1,"endpoints":2}}}"#;
    let read: Result<PeerMessage, _> = serde_json::from_str(pull);
    assert!(matches!(read, Ok(PeerMessage::Pull { configuration: false, .. })), "{read:?}");
}
