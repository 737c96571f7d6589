//! Logs: JSON lines, one for each decision and each change of state; bounded, never blocking.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use slog::{Drain, Logger, o};

/// Lines that wait to be written; more are dropped and counted by the drain.
const BUFFERED_LINES: usize = 1_024;

/// The logger of one process.
pub fn logger(host: &str, role: &'static str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(json).chan_size(BUFFERED_LINES).build().fuse();
    Logger::root(drain, o!("host" => host.to_owned(), "role" => role))
}

/// A logger that writes nothing, for tests and tools.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

#[derive(Serialize)]
struct Line<'a, T> {
    at_unix_ms: u64,
    host: &'a str,
    #[serde(flatten)]
    note: &'a T,
}

/// Typed lines on standard output, written by a thread of their own; what it can't keep up with is
/// dropped and counted in [`crate::metrics::LINES_DROPPED`].
#[derive(Debug, Clone)]
pub struct Lines {
    host: String,
    sender: SyncSender<Vec<u8>>,
}

impl Lines {
    /// Starts the thread.
    pub fn new(host: &str) -> Self {
        let (sender, receiver) = sync_channel(BUFFERED_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self { host: host.to_owned(), sender }
    }

    /// Writes a line, or drops it.
    pub fn write<T: Serialize>(&self, note: &T) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line { at_unix_ms: since.as_millis() as u64, host: &self.host, note };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        if self.sender.try_send(text).is_err() {
            metrics::counter!(crate::metrics::LINES_DROPPED).increment(1);
        }
    }
}

/// Writes all lines that wait at once, so that a burst costs few calls.
fn write_lines(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = receiver.recv() {
        while let Ok(more) = receiver.try_recv() {
            text.extend_from_slice(&more);
        }
        std::io::stdout().lock().write_all(&text).ok();
    }
}
