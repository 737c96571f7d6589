//! Events that the agent core handles, and actions that it asks its shell to carry out.

use std::time::Duration;

use bytes::Bytes;

use crate::message::{AttemptId, Claim, Incarnation, Reply, Revocation, Run};

/// Identity of a gateway's call: the stream on which the agent replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Capacity bounds of an agent, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of queued attempts.
    pub queue: usize,
    /// Maximum size of one result, in bytes.
    pub result_bytes: usize,
    /// Maximum total size of ended results kept for gateways that reattach, in bytes.
    pub retained_bytes: usize,
    /// Maximum number of ended attempts kept.
    pub retained: usize,
    /// How long an ended attempt is kept.
    pub retain: Duration,
    /// How long a queued attempt without an open call is kept before it is revoked.
    pub orphan_grace: Duration,
    /// Maximum number of gateways for which a sequence floor is kept.
    pub gateways: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            queue: 512,
            result_bytes: 4 << 20,
            retained_bytes: 16 << 20,
            retained: 8_192,
            retain: Duration::from_secs(5),
            orphan_grace: Duration::from_secs(1),
            gateways: 16_384,
        }
    }
}

/// How a call to the endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFailure {
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The connection was lost after the request may have been sent.
    ConnectionLost,
    /// The endpoint answered with an error status.
    Failed,
    /// The endpoint broke the protocol, for example by answering for another attempt or without a
    /// length or chunks.
    Misbehaved,
    /// The endpoint does not know the attempt that was to be resumed.
    UnknownAttempt,
}

/// Progress of a call to the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// A chunk of the result arrived.
    Chunk {
        /// Offset of the chunk in the result, in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// The result is complete.
    Done {
        /// Length of the complete result, in bytes.
        length: u64,
    },
    /// The call failed.
    Failed(EndpointFailure),
}

/// Answer of a ticket's issuing agent to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The run may begin.
    Granted,
    /// Another run has begun, or the ticket is void; nothing of this run has begun.
    Refused,
    /// The issuing agent did not answer.
    Unreachable,
}

/// An input of the agent core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A gateway opened a call to run or resume an attempt.
    Run {
        /// The call on which replies are sent.
        call: CallId,
        /// Content of the run request.
        run: Run,
    },
    /// A gateway's call was closed.
    CallClosed {
        /// The call.
        call: CallId,
    },
    /// A gateway revokes an attempt if it has not begun.
    Revoke {
        /// Call on which the outcome is sent.
        call: CallId,
        /// The attempt to revoke.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was sent to.
        agent: Incarnation,
    },
    /// A gateway cancels an attempt, begun or not.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// A call to the endpoint made progress.
    Endpoint {
        /// The attempt that the call runs.
        attempt: AttemptId,
        /// What happened on the call.
        event: EndpointEvent,
    },
    /// A ticket's issuing agent answered a claim.
    Claimed {
        /// The attempt that the claim was made for.
        attempt: AttemptId,
        /// Answer of the issuing agent.
        answer: ClaimAnswer,
    },
    /// The configuration of the endpoint changed.
    Configure {
        /// Maximum number of concurrent calls to the endpoint.
        concurrency: u32,
        /// Whether the configuration or the host list marks the endpoint as leaving.
        leaving: bool,
        /// Whether the endpoint is an engine, whose streams can be resumed.
        is_engine: bool,
    },
    /// The process received a request to stop.
    Drain,
    /// Time has passed; due entries are processed.
    Tick,
}

/// How a call to the endpoint starts.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStart {
    /// Send the input and run the stage.
    Begin(Box<Run>),
    /// Reattach to a stream that the endpoint already runs.
    Resume {
        /// Offset in the result from which to read, in bytes.
        offset: u64,
        /// Delay before the call.
        after: Duration,
    },
}

/// An action for the agent's shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a reply on a call.
    Send {
        /// The call.
        call: CallId,
        /// The attempt that the reply is about.
        attempt: AttemptId,
        /// The reply.
        reply: Reply,
    },
    /// Close a call without a final reply: another call has replaced it, or the gateway must retry.
    Close {
        /// The call.
        call: CallId,
    },
    /// Answer a revocation.
    Revoked {
        /// Call of the revocation.
        call: CallId,
        /// Outcome of the revocation.
        outcome: Revocation,
    },
    /// Start a call to the endpoint.
    Call {
        /// The attempt to run or resume.
        attempt: AttemptId,
        /// Whether to begin or to resume, with parameters.
        start: CallStart,
    },
    /// Cancel a call to the endpoint.
    CancelCall {
        /// The attempt that the call runs.
        attempt: AttemptId,
    },
    /// Claim a ticket at its issuing agent.
    Claim {
        /// The attempt to claim the ticket for.
        attempt: AttemptId,
        /// The claim.
        claim: Claim,
    },
}
