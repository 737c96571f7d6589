//! Detects a stream that continues without events.

/// Maximum number of bytes of a stream without an event that has an id or data.
pub const MAX_BYTES_WITHOUT_EVENT: usize = 64 << 10;

/// Fields of an event that count as progress of its stream.
const PROGRESS_FIELDS: [&[u8]; 2] = [b"id", b"data"];

/// Counts the bytes of a stream since the last field of an event that counts as progress.
#[derive(Debug, Default)]
pub struct StreamProgress {
    bytes: usize,
}

impl StreamProgress {
    /// Adds complete events, or comments.
    pub fn add(&mut self, events: &[u8]) {
        let mut remaining = events;
        while let Some(end) = remaining.iter().position(|b| *b == b'\n') {
            let (line, rest) = remaining.split_at(end + 1);
            self.bytes =
                if is_progress(line.trim_ascii_end()) { 0 } else { self.bytes + line.len() };
            remaining = rest;
        }
        self.bytes += remaining.len();
    }

    /// Whether the stream makes no progress.
    pub fn is_missing(&self) -> bool {
        self.bytes > MAX_BYTES_WITHOUT_EVENT
    }
}

/// Whether a line is a field that counts as progress.
fn is_progress(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    PROGRESS_FIELDS.contains(&name)
}
