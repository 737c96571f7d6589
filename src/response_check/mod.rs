//! Strict check of the HTTP/1 responses that a connection receives, before they are parsed.
//!
//! The parser of the HTTP library is lenient: it reads a body with an unknown transfer coding to the
//! end of the connection, and passes on statuses that do not exist. An endpoint in trouble may send
//! such a response, so each byte is checked first, and a connection fails with the first byte that
//! does not belong to a well-formed response. The check holds no bytes but those of a head.

mod chunks;
mod connector;
mod fields;
mod head;
mod malformed;
mod stream;

use chunks::Chunks;
pub use connector::CheckedConnector;
use head::{BodyLength, Head, HeadBuffer};
pub use malformed::Malformed;
pub use stream::{CheckedStream, SharedCheck};

/// First bytes of each HTTP/1 response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// What follows on the connection.
#[derive(Debug)]
enum State {
    /// Nothing, since no request is waiting for a response.
    Idle,
    /// The head of a response, perhaps behind informational ones.
    Head(HeadBuffer),
    /// This many bytes of a body with a length.
    Length(u64),
    /// A body in chunks.
    Chunks(Chunks),
    /// A body that ends with the connection.
    Connection,
}

/// What the check found in bytes that were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Number of the bytes that belong to the response.
    pub bytes: usize,
    /// Whether further bytes follow, which belong to no response.
    pub has_surplus: bool,
}

/// Checks the responses over one connection, which carries one exchange at a time.
#[derive(Debug)]
pub struct ResponseCheck {
    state: State,
    /// Whether the request asked for a head only.
    is_head_only: bool,
    /// Whether the last response was framed by a length.
    had_length: bool,
    /// The first fault; the connection is not used any more.
    failed: Option<Malformed>,
}

impl Default for ResponseCheck {
    fn default() -> Self {
        Self { state: State::Idle, is_head_only: false, had_length: false, failed: None }
    }
}

impl ResponseCheck {
    /// A request is about to be sent. `is_head_only` states that its response has no body (`HEAD`).
    pub fn begin(&mut self, is_head_only: bool) {
        self.is_head_only = is_head_only;
        self.state = State::Head(HeadBuffer::default());
    }

    /// Whether the last response was received whole, and nothing behind it.
    pub const fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle) && self.failed.is_none()
    }

    /// The fault for which the connection is not used any more.
    pub const fn failed(&self) -> Option<Malformed> {
        self.failed
    }

    /// Checks received bytes.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Accepted, Malformed> {
        if let Some(malformed) = self.failed {
            return Err(malformed);
        }
        let result = self.check(bytes);
        match result {
            Err(malformed) => self.failed = Some(malformed),
            Ok(accepted) if accepted.has_surplus => self.failed = Some(Malformed::Surplus),
            Ok(_) => {}
        }
        result
    }

    fn check(&mut self, bytes: &[u8]) -> Result<Accepted, Malformed> {
        let mut rest = bytes;
        while !rest.is_empty() {
            if matches!(self.state, State::Idle) {
                let received = bytes.len() - rest.len();
                return self.surplus(received, rest);
            }
            let used = self.step(rest)?;
            rest = &rest[used..];
        }
        Ok(Accepted { bytes: bytes.len(), has_surplus: false })
    }

    /// Bytes behind a whole response. Those that begin another response belong to none of this
    /// connection's requests. Others, behind a body with a length, are a rest of that body: its
    /// length was too small.
    fn surplus(&self, received: usize, rest: &[u8]) -> Result<Accepted, Malformed> {
        let is_response = rest.iter().zip(RESPONSE_START).all(|(found, known)| found == known);
        match received {
            0 => Err(Malformed::Surplus),
            _ if self.had_length && !is_response => Err(Malformed::LengthTooSmall),
            bytes => Ok(Accepted { bytes, has_surplus: true }),
        }
    }

    /// Checks the next bytes; returns how many were used, which are none only behind a response.
    fn step(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        match &mut self.state {
            State::Idle => Ok(0),
            State::Head(buffer) => {
                let (used, is_whole) = buffer.push(bytes)?;
                if is_whole {
                    self.state = self.after_head()?;
                }
                Ok(used)
            }
            State::Length(left) => {
                let used = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= used as u64;
                if *left == 0 {
                    self.state = State::Idle;
                }
                Ok(used)
            }
            State::Chunks(chunks) => {
                let (used, is_end) = chunks.push(bytes)?;
                if is_end {
                    self.state = State::Idle;
                }
                Ok(used)
            }
            State::Connection => Ok(bytes.len()),
        }
    }

    /// The state behind the head that is in the buffer.
    fn after_head(&mut self) -> Result<State, Malformed> {
        let State::Head(buffer) = &self.state else {
            return Ok(State::Idle);
        };
        let length = match Head::parse(buffer.bytes(), self.is_head_only)? {
            Head::Informational => return Ok(State::Head(HeadBuffer::default())),
            Head::Final(length) => length,
        };
        self.had_length = matches!(length, BodyLength::Bytes(_));
        Ok(match length {
            BodyLength::Bytes(0) => State::Idle,
            BodyLength::Bytes(left) => State::Length(left),
            BodyLength::Chunks => State::Chunks(Chunks::default()),
            BodyLength::Connection => State::Connection,
        })
    }
}
