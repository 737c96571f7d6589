//! Poison requests: requests that crash the endpoints which run them, and that are sent repeatedly.
//!
//! The failure this prevents: a request crashes each endpoint soon after the endpoint starts to run
//! it, and aborts everything else that runs there. Its caller sends it again as a new request, with
//! a new id and through any gateway, so that each gateway sees a first attempt. One such request
//! crashed 14 endpoints within 10 s.
//!
//! Such a request is recognised by its content, the [`fingerprint`]. An unanswered call is kept in
//! [`unanswered`] until it is proven that its endpoint crashed. Then everything that was running
//! there becomes suspect, and [`suspects`] keeps it until it is quarantined or has run without a
//! crash elsewhere. What has recently run without a crash does not become suspect ([`successes`]).
//! Gateways share this knowledge by gossip.
//!
//! Alternatives considered: each gateway on its own (three endpoints per gateway: 1,700 with 580
//! gateways); one gateway that counts the crashes of a fingerprint (it may fail, and with two views
//! of the members there are two); counting failed calls instead of crashed endpoints (a reset
//! connection would quarantine whatever it carried).

pub mod fingerprint;
pub mod successes;
pub mod suspects;
pub mod unanswered;

use std::sync::Arc;

use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Endpoint;

/// One run of a request or stage at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// What ran.
    pub fingerprint: Fingerprint,
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
    /// A request was received again and refused as poison.
    Refused(Fingerprint),
}
