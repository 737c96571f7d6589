//! Failures of attempts, and what they show about the endpoint.

use crate::direct::poison::Unanswered;

/// Failure of an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The response does not name the request, or reports success without a signature.
    InvalidResponse,
    /// The endpoint returned a server error.
    ServerError,
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

impl Failure {
    /// The failure as written to log events.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::InvalidResponse => "invalid response",
            Self::ServerError => "server error",
            Self::ConnectionFailed => "broken",
            Self::EndUnconfirmed => "end unconfirmed",
            Self::AnswerTooLong => "answer too long",
            Self::NoResponse => "silent",
            Self::EndpointRestarted => "endpoint restarted",
        }
    }

    /// Kind of missing response, if the failure suggests that the endpoint's process may have
    /// ended.
    pub(super) const fn unanswered(self) -> Option<Unanswered> {
        match self {
            Self::InvalidResponse | Self::ServerError | Self::AnswerTooLong => None,
            Self::ConnectionFailed | Self::EndUnconfirmed => Some(Unanswered::Broken),
            Self::NoResponse | Self::EndpointRestarted => Some(Unanswered::Silent),
        }
    }
}

/// Status by which an endpoint reports that the caller's deadline has passed, perhaps before the
/// request ran.
pub(super) const STATUS_DEADLINE_PASSED: u16 = 504;

/// Whether a status counts as a failure of the endpoint: any server error except 504.
pub(super) const fn is_endpoint_failure(status: u16) -> bool {
    status >= 500 && status != STATUS_DEADLINE_PASSED
}
