//! Streams of events: cut into whole events, so that one that broke off is never passed on.

use bytes::{Bytes, BytesMut};

/// An event longer than this is no event.
pub const MAX_EVENT_LEN: usize = 1 << 20;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and gives out the events that are whole since, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The id of the last event that was given out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the stream may end here: no event is half there.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether what is collected is too long for an event.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_LEN
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let with_returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|i| i + 4);
    line_feeds.max(with_returns)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?.trim_ascii();
    Some(String::from_utf8_lossy(id).into_owned())
}
