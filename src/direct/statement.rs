//! What an endpoint says of itself in the head of an answer, whatever was asked of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an endpoint wants nothing from this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backoff {
    /// For so long.
    For(Duration),
    /// For a time that could not be read.
    Unclear,
}

/// Requests in 1,000 s; more is never named in earnest, and bounds what is reckoned with.
const MOST: u64 = 1_000_000_000;

/// How many requests an endpoint takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// One request a second.
    pub const ONE: Self = Self(1_000);

    /// So many requests a second, rounded down to thousandths; a negative number is none.
    pub fn per_second(requests: f64) -> Self {
        Self((requests * 1_000.0).clamp(0.0, MOST as f64) as u64)
    }

    /// Requests a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What an answer says of the rate that its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateLimit {
    /// Nothing: it takes what comes.
    None,
    /// So much.
    At(RequestRate),
}

/// What one answer said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Statement {
    /// The endpoint leaves: it takes no new work.
    pub leaving: bool,
    /// It turned something away and wants nothing for a while.
    pub backoff: Option<Backoff>,
    /// How much longer it is cold, zero where it is warm.
    pub cold: Option<Duration>,
    /// How many requests a second it takes; `None` where what was read could not have told.
    pub limit: Option<RateLimit>,
}

impl Statement {
    /// Whether the answer said nothing of its endpoint.
    pub fn is_empty(&self) -> bool {
        self.names_no_limit() && Self { limit: None, ..*self } == Self::default()
    }

    /// Whether it named no limit.
    pub const fn names_no_limit(&self) -> bool {
        matches!(self.limit, None | Some(RateLimit::None))
    }
}

/// What an endpoint was asked when it said something of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To run a request.
    Request,
    /// To make pieces.
    Pieces,
    /// How it stands.
    Report,
    /// To free results.
    Free,
}

impl Asked {
    /// The word for lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Pieces => "pieces",
            Self::Report => "report",
            Self::Free => "free",
        }
    }
}
