//! What an endpoint says of itself in the head of an answer, whatever was asked of it.

use std::time::Duration;

/// How long an endpoint wants nothing from this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backoff {
    /// For so long.
    For(Duration),
    /// For a time that could not be read.
    Unclear,
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
}

impl Statement {
    /// Whether the answer said nothing of its endpoint.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
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
