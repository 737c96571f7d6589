//! Events that the gateway core handles, and actions that it asks its shell to carry out.

use std::sync::Arc;

use bytes::Bytes;

use super::request::Submission;
use crate::config::Endpoint;
use crate::message::{AttemptId, Incarnation, Load, Reply, RequestId, Revocation, Run};
use crate::refusal::Refusal;
use crate::view::View;

/// Parameters with which a gateway core is created.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Name of the host, from the settings.
    pub host: Arc<str>,
    /// Incarnation of this gateway process.
    pub incarnation: Incarnation,
    /// Maximum number of requests in flight.
    pub in_flight: usize,
    /// Number of ended requests whose records are kept.
    pub records: usize,
    /// Maximum size of one result, in bytes.
    pub result_bytes: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An input of the gateway core.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submitted a request.
    Submit {
        /// Number of the caller, assigned by the shell; the answer is addressed to it.
        caller: u64,
        /// The submitted request.
        submission: Submission,
    },
    /// The caller disconnected before its final answer.
    CallerDisconnected {
        /// Number of the caller.
        caller: u64,
    },
    /// An agent sent a reply on an open call.
    Reply {
        /// The call on which the reply arrived.
        call: u64,
        /// The attempt that the reply is about.
        attempt: AttemptId,
        /// Incarnation of the agent.
        from: Incarnation,
        /// Current load of the agent, if reported.
        load: Option<Load>,
        /// The reply.
        reply: Reply,
    },
    /// A call ended without a final reply.
    CallLost {
        /// The call.
        call: u64,
        /// The attempt that the call carried.
        attempt: AttemptId,
    },
    /// A call could not be opened; nothing was sent.
    CallUnsent {
        /// The call.
        call: u64,
        /// The attempt that the call was opened for.
        attempt: AttemptId,
    },
    /// The outcome of a revocation is known.
    Revoked {
        /// The revoked attempt.
        attempt: AttemptId,
        /// Outcome of the revocation.
        outcome: Revocation,
    },
    /// A new configuration is in force.
    Configure {
        /// The configuration, compiled for lookups.
        view: Arc<View>,
    },
    /// The number of gateways that share the rate limits changed.
    Gateways {
        /// Number of gateways.
        count: usize,
    },
    /// The process received a request to stop.
    Drain,
    /// Time has passed; timers that are due fire.
    Tick,
}

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The request completed.
    Complete {
        /// Identity of the request.
        request: RequestId,
        /// Complete result of the last stage.
        result: Bytes,
        /// xxh3-64 digest of the result.
        digest: u64,
    },
    /// The request was refused.
    Refused {
        /// Identity of the request.
        request: RequestId,
        /// Reason, extent of execution and retry delay.
        refusal: Refusal,
    },
}

/// An action for the gateway's shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a call to an agent to run or resume an attempt.
    Run {
        /// Endpoint of the agent.
        endpoint: Arc<Endpoint>,
        /// Number of the new call.
        call: u64,
        /// Content of the run request.
        run: Run,
    },
    /// Revoke an attempt if it has not begun, and report the outcome.
    Revoke {
        /// Endpoint of the agent.
        endpoint: Arc<Endpoint>,
        /// The attempt to revoke.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was sent to.
        agent: Incarnation,
    },
    /// Cancel an attempt, begun or not; its result is no longer needed.
    Cancel {
        /// Endpoint of the agent.
        endpoint: Arc<Endpoint>,
        /// The attempt to cancel.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was sent to.
        agent: Incarnation,
    },
    /// Close an open call.
    CloseCall {
        /// The call.
        call: u64,
    },
    /// Forward a chunk of the last stage's result to a streaming caller.
    Chunk {
        /// Number of the caller.
        caller: u64,
        /// Offset of the chunk in the result, in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// Invalidate all chunks sent to the caller; the result restarts at offset 0.
    Reset {
        /// Number of the caller.
        caller: u64,
    },
    /// Send the final answer to a caller.
    Answer {
        /// Number of the caller.
        caller: u64,
        /// The answer.
        answer: Answer,
    },
    /// Record a state change of an endpoint in the audit trail.
    EndpointChanged {
        /// Name of the endpoint.
        endpoint: String,
        /// The new state.
        change: EndpointChange,
    },
}

/// A change of an endpoint's state as this gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint failed or is unreachable.
    Suspected,
    /// A suspected endpoint replied again.
    Recovered,
    /// The endpoint is leaving and accepts no new work.
    Leaving,
}
