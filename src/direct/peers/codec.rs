//! How messages between gateways are written: compactly (`postcard`) to a peer that says on this very connection that it
//! reads what this build writes, as JSON to all others.
//!
//! The compact form tells no names, so each frame of it says which form it is in; one in a form that this build does not
//! know is told of and never guessed at. What a peer reads is known of a connection, not of an address: whoever takes
//! a peer's place may be another build. A heartbeat of 103 gateways has 1,970 bytes instead of 11,289.

use std::sync::OnceLock;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::direct::peers::message::{JobId, PeerMessage};
use crate::direct::peers::without_eras;

/// How JSON begins: with an object or a word.
const JSON_STARTS: [u8; 2] = [b'{', b'"'];
/// How a frame begins that says which form it has; the form follows as one byte. To builds that know of no such frames
/// it is a kind of message that does not exist, so they pass it over.
const MARK: u8 = 0xc1;
/// The first form whose frames begin so.
const FIRST_MARKED: u32 = 4;

/// The compact form that this build writes: it grows by one whenever the fields of a message or of what it holds change.
/// The kept frames of each form (`tests/frames`) hold it to that.
pub const FORM: u32 = 6;

/// A message that is written once for all who get it, in each form at its first use.
#[derive(Debug)]
pub struct Outgoing {
    message: PeerMessage,
    compact: OnceLock<Bytes>,
    json: OnceLock<Bytes>,
}

impl Outgoing {
    /// Not written yet.
    pub const fn new(message: PeerMessage) -> Self {
        Self { message, compact: OnceLock::new(), json: OnceLock::new() }
    }

    /// The message as a peer reads it that reads this form, or of which nothing is known.
    pub fn for_reader(&self, form: Option<u32>) -> Bytes {
        let bytes = if form == Some(FORM) {
            self.compact.get_or_init(|| compact(&self.message))
        } else {
            self.json.get_or_init(|| json(&self.message))
        };
        crate::metrics::peer_bytes("out", self.message.kind(), bytes.len());
        bytes.clone()
    }
}

/// Writes as JSON.
pub(super) fn json<T: Serialize>(message: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(message).unwrap_or_default())
}

fn compact(message: &PeerMessage) -> Bytes {
    let written = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = BytesMut::with_capacity(written.len() + 2);
    frame.put_slice(&[MARK, FORM as u8]);
    frame.put_slice(&written);
    frame.freeze()
}

/// Why a frame is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is in a compact form that this build does not know.
    Form(u32),
    /// Its form is known, and what it says is not: a newer build's message.
    Message {
        /// The job that it submits, where that can be told.
        job: Option<JobId>,
    },
}

/// What is read of a submission whatever else it holds.
#[derive(Deserialize)]
enum SubmitOnly {
    Submit(JobOnly),
}

#[derive(Deserialize)]
struct JobOnly {
    id: JobId,
}

/// Reads a message of a peer whose greeting on this connection named a form.
pub fn read(frame: &[u8], greeted: u32) -> Result<PeerMessage, Unread> {
    let message = match frame {
        [first, ..] if JSON_STARTS.contains(first) => {
            serde_json::from_slice(frame).map_err(|_| unread_json(frame))?
        }
        [MARK, form, rest @ ..] => read_compact(u32::from(*form), rest)?,
        // Builds before the mark wrote what they read.
        frame if greeted < FIRST_MARKED => read_compact(greeted, frame)?,
        _ => return Err(Unread::Message { job: None }),
    };
    crate::metrics::peer_bytes("in", message.kind(), frame.len());
    Ok(message)
}

fn read_compact(form: u32, message: &[u8]) -> Result<PeerMessage, Unread> {
    let read = match form {
        FORM => postcard::from_bytes(message).ok(),
        form if without_eras::FORMS.contains(&form) => without_eras::read(form, message),
        _ => return Err(Unread::Form(form)),
    };
    read.ok_or(Unread::Message { job: None })
}

fn unread_json(frame: &[u8]) -> Unread {
    let job = serde_json::from_slice(frame).ok().map(|SubmitOnly::Submit(job)| job.id);
    Unread::Message { job }
}
