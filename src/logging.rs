//! JSON-lines logging, one line per decision or state change; bounded and non-blocking.

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use slog::{Drain, Logger, o};

/// Capacity of the queue of lines to write; further lines are dropped and counted by the drain.
const BUFFERED_LINES: usize = 1_024;

/// Creates the logger of a process.
pub fn logger(host: &str, role: &'static str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(json).chan_size(BUFFERED_LINES).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned(), "role" => role))
}

/// Creates a logger that discards everything, for tests and tools.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

#[derive(Serialize)]
struct Line<'a, T> {
    at_unix_ms: u64,
    host: &'a str,
    #[serde(flatten)]
    event: &'a T,
}

/// Writes serialized lines to standard output from a separate thread. Lines are dropped and counted
/// in [`crate::metrics::LINES_DROPPED`] when the thread can't keep up.
#[derive(Debug, Clone)]
pub struct LogWriter {
    host: Arc<str>,
    sender: SyncSender<Vec<u8>>,
}

impl LogWriter {
    /// Starts the writer thread.
    pub fn new(host: &str) -> Self {
        let (sender, receiver) = sync_channel(BUFFERED_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self { host: host.into(), sender }
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn write<T: Serialize>(&self, event: &T) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line { at_unix_ms: since.as_millis() as u64, host: &self.host, event };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        if self.sender.try_send(text).is_err() {
            metrics::counter!(crate::metrics::LINES_DROPPED).increment(1);
        }
    }
}

/// Writes all queued lines together, to save system calls in a burst.
fn write_lines(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = receiver.recv() {
        while let Ok(more) = receiver.try_recv() {
            text.extend_from_slice(&more);
        }
        std::io::stdout().lock().write_all(&text).ok();
    }
}
