//! Gateways of two builds side by side: what one writes, the other reads, or whoever wrote it hears at once that it was
//! not read.
//!
//! What was seen: a compact message named no form. A gateway remembered by address what a peer reads, and kept that
//! when the peer was replaced in place by another build, until the new one's first connection came. What it wrote
//! meanwhile was dropped, or could have been read as something else, and a job on its way was waited for.

mod directenv;

use std::net::SocketAddr;
use std::time::Duration;

use directenv::gateway::{Idle, new_core};
use directenv::{address, job, route};
use futures_util::{SinkExt, StreamExt};
use stackmast::actor::{Handle, mailbox, run};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::peers::links::{Peers, accept};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::Repeat;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const WITHIN: Duration = Duration::from_secs(2);

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Connection {
    LengthDelimitedCodec::builder().new_framed(stream)
}

/// One gateway: where its peers connect, and what it tells with.
async fn gateway() -> (SocketAddr, Peers, Handle<GatewayCore>) {
    let listener = TcpListener::bind(address(0)).await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (core, waiting) = mailbox();
    tokio::spawn(run(new_core(), Idle, waiting));
    let peers = Peers::new(at, 1, core.clone());
    tokio::spawn(accept(listener, core.clone(), peers.readers()));
    (at, peers, core)
}

fn submission(number: u64) -> PeerMessage {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    PeerMessage::Submit(Box::new(job(number, &route, 1)))
}

/// Takes the next connection, and its first message.
async fn taken(listener: &TcpListener) -> (Connection, serde_json::Value) {
    let (stream, _) = timeout(WITHIN, listener.accept()).await.expect("in time").expect("one");
    let mut connection = framed(stream);
    let hello = connection.next().await.expect("a message").expect("whole");
    (connection, serde_json::from_slice(&hello).expect("a greeting"))
}

/// What an older build does with a message that comes over a connection: it reads JSON.
fn is_read_by_older(frame: &[u8]) -> bool {
    serde_json::from_slice::<PeerMessage>(frame).is_ok()
}

async fn next(connection: &mut Connection) -> bytes::BytesMut {
    timeout(WITHIN, connection.next()).await.expect("in time").expect("a message").expect("whole")
}

// The load: an owner is replaced in place by an older build while jobs are on their way to it.
#[tokio::test]
async fn a_peer_that_is_replaced_in_place_by_another_build_gets_what_it_reads() {
    let (at, peers, _core) = gateway().await;
    let owner = TcpListener::bind(address(0)).await.expect("a port");
    let owner_at = owner.local_addr().expect("its address");
    // The owner greets as this build does, so it reads what this build writes.
    peers.tell(owner_at, PeerMessage::NoConfiguration);
    let (connection, hello) = taken(&owner).await;
    let mut greeting = hello;
    greeting["address"] = owner_at.to_string().into();
    let mut to_gateway = framed(TcpStream::connect(at).await.expect("a connection"));
    let greeting = serde_json::to_vec(&greeting).expect("a greeting");
    to_gateway.send(bytes::Bytes::from(greeting)).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    // It is replaced: its connections end, and the one that takes its place has not called yet.
    drop(connection);
    drop(to_gateway);
    tokio::time::sleep(Duration::from_millis(50)).await;
    peers.tell(owner_at, submission(1));
    let (mut connection, _) = taken(&owner).await;
    let frame = next(&mut connection).await;
    assert!(is_read_by_older(&frame), "an older build reads no {:?}", &frame[..frame.len().min(8)]);
}
