//! Failures of attempts, and what they show about the endpoint.

use std::fmt;

use crate::direct::answers::AnswerProof;
use crate::direct::poison::Unanswered;
use crate::response_check::Malformed;

/// Failure of an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The response does not name the request, or reports success without a signature.
    InvalidResponse,
    /// The endpoint returned a server error.
    ServerError,
    /// The response has a status that would promise the caller that nothing ran, and no proof of it.
    UnprovenRefusal {
        /// Status of the response.
        status: u16,
    },
    /// What was received is no well-formed response.
    Malformed(Malformed),
    /// The connection failed.
    ConnectionFailed,
    /// The connection ended an answer without framing, and the endpoint did not confirm that it is
    /// running.
    EndUnconfirmed,
    /// The response exceeds a limit.
    AnswerTooLong,
    /// No response arrived in time.
    NoResponse,
    /// The endpoint has been restarted: its entry names another incarnation.
    EndpointRestarted,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidResponse => "invalid response",
            Self::ServerError => "server error",
            Self::UnprovenRefusal { status } => {
                return write!(f, "status {status} without a proof that nothing ran");
            }
            Self::Malformed(fault) => return write!(f, "malformed response: {fault}"),
            Self::ConnectionFailed => "broken",
            Self::EndUnconfirmed => "end unconfirmed",
            Self::AnswerTooLong => "answer too long",
            Self::NoResponse => "silent",
            Self::EndpointRestarted => "endpoint restarted",
        })
    }
}

impl Failure {
    /// What a response shows that can't be passed to the caller although it proves nothing about the
    /// run; `None` if it can.
    pub(super) fn of_answer(proof: &AnswerProof) -> Option<Self> {
        let status = proof.status;
        let is_final = (200..600).contains(&status);
        let is_success = (200..300).contains(&status);
        if !is_final || !proof.names_request || is_success && !proof.signed {
            return Some(Self::InvalidResponse);
        }
        STATUSES_NOT_RUN.contains(&status).then_some(Self::UnprovenRefusal { status })
    }

    /// Kind of missing response, if the failure suggests that the endpoint's process may have
    /// ended.
    pub(super) const fn unanswered(self) -> Option<Unanswered> {
        match self {
            Self::InvalidResponse
            | Self::ServerError
            | Self::UnprovenRefusal { .. }
            | Self::Malformed(_)
            | Self::AnswerTooLong => None,
            Self::ConnectionFailed | Self::EndUnconfirmed => Some(Unanswered::Broken),
            Self::NoResponse | Self::EndpointRestarted => Some(Unanswered::Silent),
        }
    }
}

/// Statuses that promise a caller that its request has not run and never will.
const STATUSES_NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Status by which an endpoint reports that the caller's deadline has passed, perhaps before the
/// request ran.
pub(super) const STATUS_DEADLINE_PASSED: u16 = 504;

/// Whether a status counts as a failure of the endpoint: any server error except 504.
pub(super) const fn is_endpoint_failure(status: u16) -> bool {
    status >= 500 && status != STATUS_DEADLINE_PASSED
}
