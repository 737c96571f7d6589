//! A configuration on its way between gateways: over a connection of its own, in chunks, each of which
//! is progress to the receiver; a few at once, so that one's narrow link is not shared by many.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::actor::Handle;
use crate::direct::core::GatewayCore;
use crate::direct::event::Event;
use crate::direct::peers::codec::json;
use crate::direct::peers::links::{CONNECT_TIMEOUT, Connection, Hello, MAX_FRAME, framed};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::Progress;
use crate::direct::published::position::Position;

/// Configurations that a process sends at once; more share its link and are late together.
const AT_ONCE: usize = 2;
/// Bytes of a chunk: 13 ms of a link of 10 Mbit/s.
const CHUNK: usize = 16 << 10;
/// A connection must come up within that; bulk is not in a hurry, and its link may be full.
const CONNECTED_WITHIN: Duration = CONNECT_TIMEOUT.saturating_mul(2);
/// A chunk is sent, or comes, within that: a frozen peer holds up nobody for longer.
const CHUNK_WITHIN: Duration = Duration::from_secs(2);
/// A receiver that has not taken all within that is given up.
const LONGEST: Duration = Duration::from_secs(10);

/// Where a configuration stands, and its version.
type Which = (Position, u64);

/// A configuration, encoded once for all who ask.
type Encoded = Option<(Which, Bytes)>;

/// Sends configurations.
#[derive(Debug)]
pub(super) struct Bulk {
    hello: Hello,
    room: Arc<Semaphore>,
    encoded: Mutex<Encoded>,
}

impl Bulk {
    /// Nothing is sent yet.
    pub fn new(hello: Hello) -> Self {
        Self { hello, room: Arc::new(Semaphore::new(AT_ONCE)), encoded: Mutex::default() }
    }

    /// Begins to send; `false` if too many are sent already.
    pub fn send(&self, to: SocketAddr, pull: u64, which: Which, message: &PeerMessage) -> bool {
        let Ok(permit) = self.room.clone().try_acquire_owned() else {
            return false;
        };
        let message = self.encoded(which, message);
        let bytes = Some(message.len() as u64);
        let hello = Hello { bulk: true, pull, bytes, ..self.hello.clone() };
        tokio::spawn(async move {
            let outcome = match timeout(LONGEST, send(to, hello, message)).await {
                Ok(true) => "sent",
                Ok(false) => "broken",
                Err(_) => "too long",
            };
            metrics::counter!(crate::metrics::BULK, "outcome" => outcome).increment(1);
            drop(permit);
        });
        true
    }

    fn encoded(&self, which: Which, message: &PeerMessage) -> Bytes {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = encoded.as_ref().filter(|(of, _)| *of == which) {
            return bytes.clone();
        }
        let bytes = json(message);
        *encoded = Some((which, bytes.clone()));
        bytes
    }
}

/// Sends a message in chunks, an empty one last, and waits until the receiver has it; says whether it
/// has.
async fn send(to: SocketAddr, hello: Hello, mut message: Bytes) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECTED_WITHIN, TcpStream::connect(to)).await else {
        return false;
    };
    crate::metrics::control_bytes("out", message.len());
    let mut connection = framed(stream);
    let mut sent = send_frame(&mut connection, json(&hello)).await;
    while sent && !message.is_empty() {
        let chunk = message.split_to(message.len().min(CHUNK));
        sent = send_frame(&mut connection, chunk).await;
    }
    sent = sent && send_frame(&mut connection, Bytes::new()).await;
    // The receiver closes once it has all: an answer of no bytes.
    sent && timeout(CHUNK_WITHIN, connection.next()).await.is_ok_and(|end| end.is_none())
}

async fn send_frame(connection: &mut Connection, frame: Bytes) -> bool {
    timeout(CHUNK_WITHIN, connection.send(frame)).await.is_ok_and(|sent| sent.is_ok())
}

/// Configurations that are being received, at most one of each peer.
#[derive(Debug, Clone, Default)]
pub(super) struct Receives {
    running: Arc<Mutex<HashMap<SocketAddr, AbortHandle>>>,
}

impl Receives {
    /// Receives a configuration; an older one of the same peer is waited for no longer.
    pub fn start(&self, connection: Connection, hello: Hello, core: Handle<GatewayCore>) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|_, task| !task.is_finished());
        let from = hello.address;
        let task = tokio::spawn(async move { receive(connection, hello, &core).await });
        if let Some(older) = running.insert(from, task.abort_handle()) {
            older.abort();
        }
    }
}

/// Takes a configuration in; each chunk is told as progress.
async fn receive(mut connection: Connection, hello: Hello, core: &Handle<GatewayCore>) {
    let Hello { address: from, pull, bytes: expected, .. } = hello;
    let mut whole = BytesMut::new();
    while let Ok(Some(Ok(chunk))) = timeout(CHUNK_WITHIN, connection.next()).await {
        if whole.len() + chunk.len() > MAX_FRAME {
            break;
        }
        if !chunk.is_empty() {
            whole.extend_from_slice(&chunk);
            let progress = Progress { pull, bytes: whole.len() as u64, expected };
            core.send(Event::ConfigurationPullProgress { from, progress }).await.ok();
            continue;
        }
        crate::metrics::control_bytes("in", whole.len());
        match serde_json::from_slice::<PeerMessage>(&whole) {
            Ok(message) => {
                core.send(Event::PeerMessage { from, message }).await.ok();
                return;
            }
            Err(_) => metrics::counter!(crate::metrics::PEER_BAD).increment(1),
        }
        break;
    }
    core.send(Event::ConfigurationPullAborted { from, pull }).await.ok();
}
