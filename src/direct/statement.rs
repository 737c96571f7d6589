//! Endpoint status headers: what an endpoint states about itself in a response to any kind of call.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an endpoint asks this gateway to send nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backoff {
    /// Backoff time.
    For(Duration),
    /// The time could not be parsed.
    Unclear,
}

/// Maximum rate in requests per 1,000 s; no endpoint needs more, and calculations stay within
/// bounds.
const MAX_PER_1000_S: u64 = 1_000_000_000;

/// Requests that an endpoint accepts from all gateways together, in thousandths of a request per
/// second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// One request per second.
    pub const ONE: Self = Self(1_000);

    /// Rate in requests per second, rounded down to thousandths; negative values become zero.
    pub fn per_second(requests: f64) -> Self {
        Self((requests * 1_000.0).clamp(0.0, MAX_PER_1000_S as f64) as u64)
    }

    /// Rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// Rate limit that a response states for its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateLimit {
    /// Unlimited.
    None,
    /// Limited to this rate.
    At(RequestRate),
}

/// Status headers of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Statement {
    /// The endpoint is leaving and accepts no new work.
    pub leaving: bool,
    /// The endpoint refused the call and asks for a pause.
    pub backoff: Option<Backoff>,
    /// How much longer the endpoint is cold; zero if it is warm.
    pub cold: Option<Duration>,
    /// Rate limit of the endpoint; `None` if the part of the response that was read could not have
    /// stated one.
    pub limit: Option<RateLimit>,
}

impl Statement {
    /// Whether the response states nothing about its endpoint.
    pub fn is_empty(&self) -> bool {
        self.has_no_limit() && Self { limit: None, ..*self } == Self::default()
    }

    /// Whether the response states no rate limit.
    pub const fn has_no_limit(&self) -> bool {
        matches!(self.limit, None | Some(RateLimit::None))
    }
}

/// Kind of call to which an endpoint responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs a caller's request.
    Request,
    /// Runs the pieces of a batch.
    Pieces,
    /// Asks for the endpoint's load report.
    Report,
    /// Frees results.
    Free,
    /// Asks an endpoint for its identity.
    Health,
}

impl CallKind {
    /// Word for this kind in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Pieces => "pieces",
            Self::Report => "report",
            Self::Free => "free",
            Self::Health => "health",
        }
    }
}
