//! Logs: JSON lines on standard error, one for each change of state.

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
