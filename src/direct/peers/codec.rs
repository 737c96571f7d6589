//! Encoding of messages between gateways: compact (`postcard`) for a peer whose greeting on the
//! same connection named the form that this build writes, JSON for all others.
//!
//! The compact form contains no field names, so each frame names its form; a frame in an unknown
//! form is reported, never decoded by guess. The form that a peer reads is a property of a
//! connection, not of an address, since a process that replaces a peer may be another build.

use std::sync::OnceLock;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::direct::peers::message::{JobId, PeerMessage};
use crate::direct::peers::{appended_fields, without_eras};

/// First bytes of JSON messages: an object or a string.
const JSON_FIRST_BYTES: [u8; 2] = [b'{', b'"'];
/// First byte of a frame that names its form; the form follows as one byte. Builds without such
/// frames read it as an unknown kind of message, and ignore the frame.
const FORM_MARKER: u8 = 0xc1;
/// The first form whose frames start with [`FORM_MARKER`].
const FIRST_MARKED_FORM: u32 = 4;

/// The compact form that this build writes. It increases by one whenever the fields of a message,
/// or of a type that a message contains, change; the recorded frames of each form (`tests/frames`)
/// check this.
pub const FORM: u32 = 12;

/// Number of members or entries above which a message is long.
const LONG_MESSAGE: usize = 16;

/// A message that is encoded at most once in each form, on first use, for all its receivers.
#[derive(Debug)]
pub struct Outgoing {
    message: PeerMessage,
    compact: OnceLock<Bytes>,
    json: OnceLock<Bytes>,
}

impl Outgoing {
    /// Creates a message that is not encoded yet.
    pub const fn new(message: PeerMessage) -> Self {
        Self { message, compact: OnceLock::new(), json: OnceLock::new() }
    }

    /// Whether the message contains many members or entries, so that its encoding matters.
    pub fn is_long(&self) -> bool {
        match &self.message {
            PeerMessage::Heartbeat(heartbeat) => heartbeat.updates.len() > LONG_MESSAGE,
            PeerMessage::Documents { documents, .. } => documents.len() > LONG_MESSAGE,
            _ => false,
        }
    }

    /// Returns the encoding for a peer that reads `form`; JSON if the form is another one or
    /// unknown.
    pub fn encode_for(&self, form: Option<u32>) -> Bytes {
        let bytes = if form == Some(FORM) {
            self.compact.get_or_init(|| compact(&self.message))
        } else {
            self.json.get_or_init(|| json(&self.message))
        };
        crate::metrics::peer_bytes("out", self.message.kind(), bytes.len());
        bytes.clone()
    }
}

/// Encodes a value as JSON.
pub(super) fn json<T: Serialize>(message: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(message).unwrap_or_default())
}

fn compact(message: &PeerMessage) -> Bytes {
    let written = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = BytesMut::with_capacity(written.len() + 2);
    frame.put_slice(&[FORM_MARKER, FORM as u8]);
    frame.put_slice(&written);
    frame.freeze()
}

/// The reason for which a frame could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// The frame is in a compact form that this build does not know.
    Form(u32),
    /// The form is known and the content is not: a message of a newer build.
    Message {
        /// The job that the message submits, if its id can be decoded.
        job: Option<JobId>,
    },
}

/// The part of a submission that is decoded independently of the other fields.
#[derive(Deserialize)]
enum SubmitOnly {
    Submit(JobOnly),
}

#[derive(Deserialize)]
struct JobOnly {
    id: JobId,
}

/// Decodes a frame of a peer whose greeting on this connection named the form `greeted_form`.
pub fn read(frame: &[u8], greeted_form: u32) -> Result<PeerMessage, Unreadable> {
    let message = match frame {
        [first, ..] if JSON_FIRST_BYTES.contains(first) => {
            serde_json::from_slice(frame).map_err(|_| unreadable_json(frame))?
        }
        [FORM_MARKER, form, rest @ ..] => read_compact(u32::from(*form), rest)?,
        // Builds before `FIRST_MARKED_FORM` wrote the form that they read.
        frame if greeted_form < FIRST_MARKED_FORM => read_compact(greeted_form, frame)?,
        _ => return Err(Unreadable::Message { job: None }),
    };
    crate::metrics::peer_bytes("in", message.kind(), frame.len());
    Ok(message)
}

fn read_compact(form: u32, message: &[u8]) -> Result<PeerMessage, Unreadable> {
    let read = match form {
        FORM => postcard::from_bytes(message).ok(),
        form if appended_fields::FORMS.contains(&form) => appended_fields::read(message),
        form if without_eras::FORMS.contains(&form) => without_eras::read(form, message),
        _ => return Err(Unreadable::Form(form)),
    };
    read.ok_or(Unreadable::Message { job: None })
}

fn unreadable_json(frame: &[u8]) -> Unreadable {
    let job = serde_json::from_slice(frame).ok().map(|SubmitOnly::Submit(job)| job.id);
    Unreadable::Message { job }
}
