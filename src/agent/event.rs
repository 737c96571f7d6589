//! What happens to an agent's core, and what it has its shell do.

use std::time::Duration;

use bytes::Bytes;

use crate::message::{AttemptId, Claim, Incarnation, Reply, Revocation, Run};

/// One call of a gateway: the stream on which replies go back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Bounds of an agent, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Attempts that may wait.
    pub queue: usize,
    /// Bytes of one result.
    pub result_bytes: usize,
    /// Bytes of ended results that are kept for gateways that come back.
    pub retained_bytes: usize,
    /// Ended attempts that are kept.
    pub retained: usize,
    /// How long an ended attempt is kept.
    pub retain: Duration,
    /// How long an attempt waits after its gateway's call was lost.
    pub orphan_grace: Duration,
    /// Gateways whose floors are kept.
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

/// How an endpoint call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFailure {
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection was lost while the endpoint ran it.
    Cut,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint answered for another attempt or stage.
    Misbehaved,
    /// The endpoint does not know the attempt that was to be resumed.
    UnknownAttempt,
}

/// What an endpoint says of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// A piece of the result.
    Chunk {
        /// Where it starts.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// The result is whole at this length.
    Done {
        /// Bytes of the result.
        length: u64,
    },
    /// The call failed.
    Failed(EndpointFailure),
}

/// The word of a ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This run may begin.
    Granted,
    /// Another run has begun, or the ticket is void; nothing of this one has run.
    Refused,
    /// The home could not be asked.
    Unreachable,
}

/// What happens to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A gateway asks for an attempt.
    Run {
        /// Where replies go.
        call: CallId,
        /// What is asked.
        run: Run,
    },
    /// A gateway's call is gone.
    CallClosed {
        /// The call.
        call: CallId,
    },
    /// A gateway takes an attempt back.
    Revoke {
        /// Where the answer goes.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The agent that is meant.
        agent: Incarnation,
    },
    /// A gateway has no more use for an attempt, begun or not.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint speaks.
    Endpoint {
        /// Of this attempt.
        attempt: AttemptId,
        /// What it says.
        event: EndpointEvent,
    },
    /// The home of a ticket answers.
    Claimed {
        /// For this attempt.
        attempt: AttemptId,
        /// Its word.
        answer: ClaimAnswer,
    },
    /// What the configuration says of the endpoint.
    Configure {
        /// Calls that it runs at once.
        concurrency: u32,
        /// Whether the configuration or the host list calls it leaving.
        leaving: bool,
        /// Whether its streams can be resumed.
        is_engine: bool,
    },
    /// The process was told to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// How an endpoint call starts.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStart {
    /// Run it.
    Begin(Box<Run>),
    /// Go on with what the endpoint runs already.
    Resume {
        /// From this offset.
        offset: u64,
        /// After this time.
        after: Duration,
    },
}

/// What the agent's shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a reply on a call.
    Send {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: Reply,
    },
    /// End a call without a final reply: the attempt is listened to on another one.
    Close {
        /// The call.
        call: CallId,
    },
    /// Answer a revocation.
    Revoked {
        /// The call.
        call: CallId,
        /// What became of the attempt.
        outcome: Revocation,
    },
    /// Start an endpoint call.
    Call {
        /// For this attempt.
        attempt: AttemptId,
        /// How.
        start: CallStart,
    },
    /// End an endpoint call.
    CancelCall {
        /// Of this attempt.
        attempt: AttemptId,
    },
    /// Ask a ticket's home.
    Claim {
        /// For this attempt.
        attempt: AttemptId,
        /// What to ask.
        claim: Claim,
    },
}
