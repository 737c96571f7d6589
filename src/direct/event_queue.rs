//! Queue of a stream's events between its endpoint and its caller, bounded in bytes: a caller that
//! reads slowly holds up its endpoint instead of filling the memory.

use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Maximum number of bytes in a queue, but for a single longer event.
const MAX_BYTES: usize = 64 << 10;
/// Maximum number of entries in a queue.
const MAX_ENTRIES: usize = 64;

/// Events, and the room in the queue that they take until they are received.
type Entry = (Bytes, OwnedSemaphorePermit);

/// The sending side; clones share the room.
#[derive(Debug, Clone)]
pub(super) struct EventSender {
    entries: mpsc::Sender<Entry>,
    room: Arc<Semaphore>,
}

/// The receiving side.
#[derive(Debug)]
pub(super) struct EventReceiver(mpsc::Receiver<Entry>);

/// Creates an empty queue.
pub(super) fn event_queue() -> (EventSender, EventReceiver) {
    let (entries, receiver) = mpsc::channel(MAX_ENTRIES);
    let room = Arc::new(Semaphore::new(MAX_BYTES));
    (EventSender { entries, room }, EventReceiver(receiver))
}

impl EventSender {
    /// Waits for room and sends events; returns whether the receiver still exists.
    pub(super) async fn send(&self, events: Bytes) -> bool {
        let bytes = u32::try_from(events.len().min(MAX_BYTES)).unwrap_or(u32::MAX);
        let room = self.room.clone().acquire_many_owned(bytes);
        let sent = async {
            let room = room.await.ok()?;
            self.entries.send((events, room)).await.ok()
        };
        tokio::select! {
            biased;
            () = self.entries.closed() => false,
            sent = sent => sent.is_some(),
        }
    }
}

impl EventReceiver {
    /// Receives the next events; `None` once all senders are dropped and the queue is empty.
    pub(super) fn poll_recv(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        self.0.poll_recv(context).map(|entry| entry.map(|(events, _room)| events))
    }
}
