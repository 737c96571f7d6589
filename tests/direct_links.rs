//! Connections between gateways that stop delivering data without being closed.
//!
//! When all connections of all gateways stopped at once, each gateway took the others for
//! unreachable after a second but kept sending over the same connections. Until the kernel closed
//! them, each gateway owned all stages alone, and stages ran twice.

mod directenv;

use std::net::SocketAddr;
use std::time::Duration;

use directenv::gateway::{Heartbeat, Idle, new_core};
use directenv::{address, ms};
use stackmast::actor::{Core, mailbox, run};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::links::{PeerLinks, accept, unknown_peers};
use stackmast::direct::peers::members::{Member, MemberState};
use stackmast::direct::peers::message::PeerMessage;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Connections that may be open without a greeting.
const UNKNOWN_PEERS: usize = 64;

fn beat(from: SocketAddr, heartbeat: u64) -> Event {
    let state = MemberState::Serving;
    let member = Member { address: from, incarnation: 1, heartbeat, state, capacity: 1_000 };
    let message = Heartbeat { members: vec![member], ..Heartbeat::default() }.message();
    Event::PeerMessage { from, message }
}

#[test]
fn the_connection_to_a_silent_member_is_closed() {
    let mut core = new_core();
    core.handle(beat(address(5), 1), ms(0));
    let is_cut = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::Disconnect { from } if *from == address(5)))
    };
    assert!(!is_cut(&core.handle(Event::Tick, ms(900))));
    assert!(is_cut(&core.handle(Event::Tick, ms(1_001))));
    assert!(!is_cut(&core.handle(Event::Tick, ms(1_300))), "once");
}

#[test_case(1, 2; "alone")]
#[test_case(8, 2; "eight")]
#[test_case(28, 7; "many: the first poll informs all")]
#[test_case(580, 8; "the maximum")]
fn the_watch_timeout_grows_with_the_number_of_gateways(gateways: u64, seconds: u64) {
    let mut core = new_core();
    for other in 1..gateways {
        core.handle(beat(address(1_000 + other as u16), other), ms(0));
    }
    assert_eq!(core.watch_timeout(), Duration::from_secs(seconds));
    core.handle(Event::Tick, ms(1_001));
    assert_eq!(core.watch_timeout(), Duration::from_secs(2), "no peer is up any more");
}

#[test_case(1, 250; "alone")]
#[test_case(4, 250; "four")]
#[test_case(30, 1_800; "thirty")]
#[test_case(103, 6_180; "many: one of them polls every 60 ms")]
#[test_case(580, 8_000; "the maximum")]
fn the_watch_delay_grows_with_the_number_of_gateways(gateways: u64, longest: u64) {
    let mut core = new_core();
    for other in 1..gateways {
        core.handle(beat(address(1_000 + other as u16), other), ms(0));
    }
    assert_eq!(core.watch_delay_range(), ms(250)..=ms(longest));
}

#[tokio::test]
async fn messages_after_a_disconnection_use_a_new_connection() {
    let listener = TcpListener::bind(address(0)).await.expect("a port");
    let to = listener.local_addr().expect("its address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let peers = PeerLinks::new(address(9), 1, core);
    peers.send(to, PeerMessage::NoConfiguration);
    let (mut silent, _) = listener.accept().await.expect("the first connection");
    peers.disconnect(to);
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_secs(1), silent.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the first is closed");
    peers.send(to, PeerMessage::NoConfiguration);
    let second = timeout(Duration::from_secs(1), listener.accept()).await;
    assert!(second.is_ok(), "a second one is made");
}

#[tokio::test]
async fn an_idle_incoming_connection_is_closed() {
    let listener = TcpListener::bind(address(0)).await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let greeting = PeerLinks::new(at, 1, core.clone()).greeting();
    tokio::spawn(accept(listener, core, greeting, unknown_peers(UNKNOWN_PEERS)));
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let hello = br#"{"address":"127.0.0.1:9","incarnation":1}"#;
    stream.write_u32(hello.len() as u32).await.expect("a length");
    stream.write_all(hello).await.expect("a frame");
    tokio::time::sleep(Duration::from_millis(50)).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(121)).await;
    tokio::time::resume();
    let closed = timeout(Duration::from_secs(1), stream.read_u8()).await;
    assert!(closed.is_ok_and(|end| end.is_err()), "it is closed");
}

/// Guards against a connection of a stranger that fills the memory before it has named itself.
#[tokio::test]
async fn long_greeting_closes_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let greeting = PeerLinks::new(address, 1, core.clone()).greeting();
    tokio::spawn(accept(listener, core, greeting, unknown_peers(UNKNOWN_PEERS)));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&100_000_u32.to_be_bytes()).await.expect("a length");
    let read = timeout(Duration::from_secs(1), stream.read(&mut [0; 16])).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}
