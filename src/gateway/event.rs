//! What happens to a gateway's core, and what it has its shell do.

use std::sync::Arc;

use bytes::Bytes;

use super::request::Submission;
use crate::config::Endpoint;
use crate::message::{AttemptId, Incarnation, Load, Reply, RequestId, Revocation, Run};
use crate::refusal::Refusal;
use crate::view::View;

/// What a gateway is made with.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The host's name in the settings.
    pub host: Arc<str>,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Requests in flight at most.
    pub in_flight: usize,
    /// Requests whose records are kept.
    pub records: usize,
    /// Bytes of one result at most.
    pub result_bytes: usize,
    /// The seed of the random choices.
    pub seed: u64,
}

/// What happens to a gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller asks; `caller` names where the answer goes.
    Submit {
        /// Chosen by the shell.
        caller: u64,
        /// What is asked.
        submission: Submission,
    },
    /// The caller went away.
    CallerGone {
        /// Who.
        caller: u64,
    },
    /// An agent replies.
    Reply {
        /// On this call.
        call: u64,
        /// Of this attempt.
        attempt: AttemptId,
        /// The agent's incarnation.
        from: Incarnation,
        /// Its load.
        load: Option<Load>,
        /// What it says.
        reply: Reply,
    },
    /// A call ended without a final reply.
    Lost {
        /// The call.
        call: u64,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A call could not be made; nothing was sent.
    Unsent {
        /// The call.
        call: u64,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A revocation was answered.
    Revoked {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: Revocation,
    },
    /// A configuration is in force.
    Configure {
        /// The configuration.
        view: Arc<View>,
    },
    /// Gateways that share the limits.
    Gateways {
        /// How many.
        count: usize,
    },
    /// The process was told to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The whole result.
    Complete {
        /// The request.
        request: RequestId,
        /// The last stage's result.
        result: Bytes,
        /// xxh3-64 of it.
        digest: u64,
    },
    /// A refusal.
    Refused {
        /// The request, where it got an identity.
        request: RequestId,
        /// Why, what ran, when to come back.
        refusal: Refusal,
    },
}

/// What the gateway's shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an agent.
    Run {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The new call.
        call: u64,
        /// What to ask.
        run: Run,
    },
    /// Take an attempt back.
    Revoke {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The attempt.
        attempt: AttemptId,
        /// The agent's incarnation that was meant.
        agent: Incarnation,
    },
    /// Tell an agent that nobody waits for an attempt.
    Cancel {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The attempt.
        attempt: AttemptId,
        /// The agent's incarnation that was meant.
        agent: Incarnation,
    },
    /// Let go of a call.
    Hangup {
        /// The call.
        call: u64,
    },
    /// Pass on a piece of the last stage's result.
    Chunk {
        /// To whom.
        caller: u64,
        /// Where the piece starts.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// What the caller has seen so far is void; the result starts anew.
    Reset {
        /// Who.
        caller: u64,
    },
    /// The final answer.
    Answer {
        /// To whom.
        caller: u64,
        /// The answer.
        answer: Answer,
    },
    /// An endpoint's state changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: String,
        /// How.
        change: EndpointChange,
    },
}

/// A change in what a gateway thinks of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// It failed or can't be reached.
    Suspected,
    /// It was heard of again.
    Back,
    /// It takes no new work.
    Leaving,
}
