//! Poison requests: those that crash the endpoints which run them, and come again.
//!
//! The pattern: a request crashes each endpoint soon after that begins to run it, and all that runs there breaks off
//! with it. Its caller sends it again as a new one, with an id of its own and through any gateway, so every try is
//! the first one to whoever takes it. One such request crashed 14 endpoints in 10 s.
//!
//! What tells it is what it holds: its [`fingerprint`]. A call that was not answered waits in [`broken`] for proof that
//! its endpoint crashed; then everything that ran there is suspected, and [`suspects`] remembers it until it is
//! quarantined, or has run well elsewhere. What ran well lately is never suspected ([`successes`]). Gateways tell
//! each other what they know.
//!
//! Ways weighed: each gateway for itself (three endpoints for each gateway: 1,700 at 580); one gateway that keeps the
//! count of a fingerprint (it may be lost, and two views are two of them); counting broken calls instead of crashed
//! endpoints (a reset connection would quarantine whatever it carried).

pub mod broken;
pub mod fingerprint;
pub mod successes;
pub mod suspects;

use std::sync::Arc;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Endpoint;

/// Something that was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// What ran.
    pub fingerprint: Fingerprint,
    /// One more than the rounds of crashes that were known when it was sent; see [`suspects::Crash::round`].
    pub round: u8,
    /// Whether it shared its call with nothing else.
    pub alone: bool,
}

/// How a call ended that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unanswered {
    /// Its connection broke.
    Broken,
    /// Nothing came in time.
    Silent,
    /// It was given up here, for whatever reason.
    GivenUp,
}

/// What requests and owners tell of what they run.
#[derive(Debug, Clone, PartialEq)]
pub enum Report {
    /// A call ended without an answer while all this was at the endpoint.
    Unanswered {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// What was in the call.
        runs: Vec<Run>,
        /// How.
        how: Unanswered,
    },
    /// It ran to an end.
    Succeeded(Fingerprint),
    /// It came again and was refused as poison.
    Refused(Fingerprint),
}
