//! Transfers configurations between gateways, each over a connection of its own. A configuration is
//! sent in chunks, which the receiver counts as progress; few are sent concurrently, so that they
//! don't compete for a narrow link.

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

use crate::actor::{Core, Handle};
use crate::direct::event::Event;
use crate::direct::peers::codec::json;
use crate::direct::peers::links::{CONNECT_TIMEOUT, Connection, Hello, MAX_FRAME, framed};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::Progress;
use crate::direct::published::position::Position;

/// Configurations that a process sends concurrently; more would share its link, and all be late.
const MAX_CONCURRENT: usize = 2;
/// Size of a chunk in bytes; takes 13 ms on a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 16 << 10;
/// Time limit for establishing a connection. It is longer than for other messages: a configuration
/// is less urgent, and its link may be congested.
const BULK_CONNECT_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_mul(2);
/// Time limit for sending or receiving one chunk; bounds the delay caused by a peer that hangs.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for sending a complete configuration.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Position and version of a configuration.
type ConfigurationKey = (Position, u64);

/// The last configuration that was encoded, kept for further requests.
type Encoded = Option<(ConfigurationKey, Bytes)>;

/// Sends configurations to peers.
#[derive(Debug)]
pub(super) struct BulkSender {
    hello: Hello,
    slots: Arc<Semaphore>,
    encoded: Mutex<Encoded>,
}

impl BulkSender {
    /// Creates the sender.
    pub fn new(hello: Hello) -> Self {
        Self { hello, slots: Arc::new(Semaphore::new(MAX_CONCURRENT)), encoded: Mutex::default() }
    }

    /// Starts to send a configuration; returns `false` if too many are being sent.
    pub fn send(
        &self,
        to: SocketAddr,
        pull: u64,
        key: ConfigurationKey,
        message: &PeerMessage,
    ) -> bool {
        let Ok(permit) = self.slots.clone().try_acquire_owned() else {
            return false;
        };
        let message = self.encoded(key, message);
        let bytes = Some(message.len() as u64);
        let hello = Hello { bulk: true, pull, bytes, ..self.hello.clone() };
        tokio::spawn(async move {
            let outcome = match timeout(TRANSFER_TIMEOUT, send(to, hello, message)).await {
                Ok(true) => "sent",
                Ok(false) => "broken",
                Err(_) => "too long",
            };
            metrics::counter!(crate::metrics::CONFIGS_SENT, "outcome" => outcome).increment(1);
            drop(permit);
        });
        true
    }

    fn encoded(&self, key: ConfigurationKey, message: &PeerMessage) -> Bytes {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = encoded.as_ref().filter(|(cached, _)| *cached == key) {
            return bytes.clone();
        }
        let bytes = json(message);
        *encoded = Some((key, bytes.clone()));
        bytes
    }
}

/// Sends a message in chunks, followed by an empty one, and waits for the receiver's confirmation;
/// returns whether it arrived.
async fn send(to: SocketAddr, hello: Hello, mut message: Bytes) -> bool {
    let Ok(Ok(stream)) = timeout(BULK_CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        return false;
    };
    crate::metrics::control_bytes("out", message.len());
    let mut connection = framed(stream);
    let mut sent = send_frame(&mut connection, json(&hello)).await;
    while sent && !message.is_empty() {
        let chunk = message.split_to(message.len().min(CHUNK_BYTES));
        sent = send_frame(&mut connection, chunk).await;
    }
    sent = sent && send_frame(&mut connection, Bytes::new()).await;
    // The receiver closes the connection once it has everything; this is the confirmation.
    sent && timeout(CHUNK_TIMEOUT, connection.next()).await.is_ok_and(|end| end.is_none())
}

async fn send_frame(connection: &mut Connection, frame: Bytes) -> bool {
    timeout(CHUNK_TIMEOUT, connection.send(frame)).await.is_ok_and(|sent| sent.is_ok())
}

/// The configurations that are being received, at most one from each peer.
#[derive(Debug, Clone, Default)]
pub(super) struct BulkReceiver {
    running: Arc<Mutex<HashMap<SocketAddr, AbortHandle>>>,
}

impl BulkReceiver {
    /// Receives a configuration, and aborts an earlier transfer from the same peer.
    pub fn start<C: Core<Event = Event>>(
        &self,
        connection: Connection,
        hello: Hello,
        core: Handle<C>,
    ) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|_, task| !task.is_finished());
        let from = hello.address;
        let task = tokio::spawn(async move { receive(connection, hello, &core).await });
        if let Some(older) = running.insert(from, task.abort_handle()) {
            older.abort();
        }
    }
}

/// Receives a configuration and reports each chunk as progress.
async fn receive<C: Core<Event = Event>>(
    mut connection: Connection,
    hello: Hello,
    core: &Handle<C>,
) {
    let Hello { address: from, pull, bytes: expected, .. } = hello;
    let mut received = BytesMut::new();
    while let Ok(Some(Ok(chunk))) = timeout(CHUNK_TIMEOUT, connection.next()).await {
        if received.len() + chunk.len() > MAX_FRAME {
            break;
        }
        if !chunk.is_empty() {
            received.extend_from_slice(&chunk);
            let progress = Progress { pull, bytes: received.len() as u64, expected };
            core.send(Event::ConfigurationPullProgress { from, progress }).await.ok();
            continue;
        }
        crate::metrics::control_bytes("in", received.len());
        match serde_json::from_slice::<PeerMessage>(&received) {
            Ok(message) => {
                core.send(Event::PeerMessage { from, message }).await.ok();
                return;
            }
            Err(_) => metrics::counter!(crate::metrics::PEER_UNREADABLE).increment(1),
        }
        break;
    }
    core.send(Event::ConfigurationPullAborted { from, pull }).await.ok();
}
