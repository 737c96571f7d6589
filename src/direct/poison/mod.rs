//! Poison requests: requests that crash the endpoints which run them, and that are sent repeatedly.
//!
//! The failure this prevents: a request crashes each endpoint soon after the endpoint starts to run
//! it, and aborts everything else that runs there. Its caller sends it again as a new request, with
//! a new id and through any gateway, so that each gateway sees a first attempt. One such request
//! crashed 14 endpoints within 10 s.
//!
//! Such a request is recognised by its content, the [`fingerprint`]. If no two of them are alike, it
//! is recognised by a part of the prompt that they share. An unanswered call is kept in
//! [`unanswered`] until it is proven that its endpoint crashed. Then everything that was running
//! there becomes suspect, and [`suspects`] keeps it until it is quarantined or has run without a
//! crash elsewhere. A content that has recently run without a crash does not become suspect
//! ([`successes`]). Gateways share this knowledge by gossip.
//!
//! A part of a prompt differs from a content: many requests have it, so it is running at most
//! endpoints that crash for other reasons, and is running well at others at the same time.
//! Therefore only runs count that had not written for [`SURVIVAL_TIME`] when their endpoint
//! crashed, and the part is cleared by any run that began to write after a crash was known and
//! wrote for that long.
//!
//! Alternatives considered: each gateway on its own (three endpoints per gateway: 1,700 with 580
//! gateways); one gateway that counts the crashes of a fingerprint (it may fail, and with two views
//! of the members there are two); counting failed calls instead of crashed endpoints (a reset
//! connection would quarantine whatever it carried); for parts of prompts, the share of runs that
//! crash (each gateway sees a few runs only, and the share changes when an endpoint's program does).

pub mod fingerprint;
pub mod successes;
mod suspect;
pub mod suspects;
pub mod unanswered;

use std::sync::Arc;
use std::time::Duration;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Endpoint;
use crate::message::Timestamp;

/// How long an endpoint must have been writing an answer for the parts of its prompt to count as
/// harmless there.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// What a fingerprint identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SubjectKind {
    /// The content of a request, or one of its stages.
    Content,
    /// A part of prompts that many requests may share.
    PromptPart,
}

impl SubjectKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Content, Self::PromptPart];

    /// The kind as written to log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Content => "content",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// One run of a subject at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// What the fingerprint identifies.
    pub kind: SubjectKind,
    /// What ran.
    pub fingerprint: Fingerprint,
    /// Number of parts before a part of a prompt; 0 for a content.
    pub depth: u8,
    /// One more than the number of crash rounds known when it was sent; see
    /// [`suspects::Crash::round`].
    pub round: u8,
    /// Whether it was isolated: alone in its call.
    pub alone: bool,
}

/// Why a call was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unanswered {
    /// The connection failed.
    Broken,
    /// No response arrived in time.
    Silent,
    /// This gateway cancelled the call, for any reason.
    GivenUp,
}

/// Result of a run, as reported by requests and owners.
#[derive(Debug, Clone, PartialEq)]
pub enum RunReport {
    /// A call ended without a response while `runs` were running at the endpoint.
    Unanswered {
        /// Endpoint that was called.
        endpoint: Arc<Endpoint>,
        /// What the call contained.
        runs: Vec<Run>,
        /// Why it was not answered.
        how: Unanswered,
    },
    /// A run completed.
    Succeeded(Fingerprint),
    /// An endpoint has been writing an answer to a prompt with these parts for [`SURVIVAL_TIME`],
    /// or has completed it.
    Survived {
        /// Fingerprints of the parts.
        parts: Vec<Fingerprint>,
        /// When the endpoint began to write.
        began_at: Timestamp,
    },
    /// A request was received again and refused as poison.
    Refused(Fingerprint),
}
