//! Splits streams into complete events, so that an event that was cut off is never forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes; a longer one aborts the stream.
pub const MAX_EVENT_LEN: usize = 1 << 20;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    summary: EventSummary,
}

/// Number and ids of the events of a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventSummary {
    /// Number of events.
    pub events: u64,
    /// Id of the first event that has one.
    pub first_id: Option<String>,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events whose id is not one more than that of the event before.
    pub jumps: u64,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let whole = self.buffer.split_to(end).freeze();
        self.summary.add(&whole);
        Some(whole)
    }

    /// Returns the number and ids of the returned events.
    pub fn into_summary(self) -> EventSummary {
        self.summary
    }

    /// Whether no incomplete event is buffered, so that the stream may end here.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the buffered bytes are too long for an event.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_LEN
    }
}

impl EventSummary {
    /// Adds complete events.
    fn add(&mut self, events: &[u8]) {
        let mut is_in_event = false;
        for line in events.split(|b| *b == b'\n').map(<[u8]>::trim_ascii_end) {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.add_id(String::from_utf8_lossy(id.trim_ascii()).into_owned());
            }
            self.events += u64::from(is_in_event && line.is_empty());
            is_in_event = !line.is_empty();
        }
    }

    fn add_id(&mut self, id: String) {
        let number = |id: &str| id.parse::<u64>().ok();
        if let Some(last) = self.last_id.as_deref().and_then(number) {
            self.jumps += u64::from(number(&id) != last.checked_add(1));
        }
        self.first_id.get_or_insert_with(|| id.clone());
        self.last_id = Some(id);
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let with_returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|i| i + 4);
    line_feeds.max(with_returns)
}
