//! Splits streams into complete events, so that an event that was cut off is never forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes; a longer one aborts the stream.
pub const MAX_EVENT_LEN: usize = 1 << 20;
/// Maximum number of pieces that an event may arrive in; each costs processor time.
pub const MAX_EVENT_PIECES: usize = 8 << 10;
/// Maximum length of the end of an event in bytes: two line ends.
const MAX_EVENT_END_LEN: usize = 4;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of pieces since the last complete event.
    pieces: usize,
    /// Number of bytes searched for the end of an event.
    scanned: u64,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The bytes before are known to contain no event end, but may contain the start of one.
        let start = self.buffer.len().saturating_sub(MAX_EVENT_END_LEN - 1);
        self.buffer.extend_from_slice(bytes);
        self.pieces += 1;
        self.scanned += (self.buffer.len() - start) as u64;
        let end = start + last_event_end(&self.buffer[start..])?;
        self.pieces = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Number of bytes that were searched for the end of an event.
    pub const fn scanned_bytes(&self) -> u64 {
        self.scanned
    }

    /// Whether no incomplete event is buffered, so that the stream may end here.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the buffered bytes are too long, or arrived in too many pieces, for an event.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_LEN || self.pieces > MAX_EVENT_PIECES
    }
}

/// The end of the last complete event: an empty line, whatever ends the line before it. Lines that
/// end with a carriage return alone are recognised within events only.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let with_return = bytes.windows(3).rposition(|w| w == b"\n\r\n").map(|i| i + 3);
    line_feeds.max(with_return)
}
