//! What was forwarded of a stream, and how the stream ended.

use std::fmt;

use crate::direct::event_order::{OutOfOrder, Place};
use crate::response_check::Malformed;

/// How a stream of an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The body ended between two events, as its framing states.
    Complete,
    /// The connection ended between two events of a body without framing, which a crash of the
    /// endpoint causes as well.
    ConnectionClosed,
    /// The body ended inside an event.
    InsideEvent,
    /// The connection ended before the first event of a body without framing.
    BeforeFirstEvent,
    /// The id of an event does not follow that of the event before.
    OutOfOrder,
    /// An event is too long.
    EventTooLong,
    /// Too many bytes without an event that has an id or data.
    NoEvents,
    /// What was received does not belong to a well-formed response.
    Malformed(Malformed),
    /// Reading failed.
    ReadFailed,
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Complete => "complete",
            Self::ConnectionClosed => "connection closed",
            Self::InsideEvent => "inside an event",
            Self::BeforeFirstEvent => "before the first event",
            Self::OutOfOrder => "out of order",
            Self::EventTooLong => "event too long",
            Self::NoEvents => "no more events",
            Self::Malformed(fault) => return write!(f, "malformed response: {fault}"),
            Self::ReadFailed => "read failed",
        })
    }
}

/// What was forwarded of a stream of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedStream {
    /// How the stream ended.
    pub end: StreamEnd,
    /// Number of forwarded events.
    pub events: u64,
    /// Id of the first forwarded event that has one.
    pub first_event: Option<String>,
    /// Id of the last forwarded event that has one.
    pub last_event: Option<String>,
    /// Number of events whose id is not one more than that of the event before.
    pub jumps: u64,
    /// Place behind the forwarded events.
    pub place: Place,
    /// The event that was out of order and not forwarded.
    pub out_of_order: Option<OutOfOrder>,
}
