//! The refusals that a caller can get, each with what ran, why, and when to come back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::message::{AgentReason, Ran};

/// Why a request was given up, in the operators' terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Reason {
    /// This process has no configuration yet.
    NoConfiguration,
    /// This gateway takes no new requests because it stops.
    Draining,
    /// This gateway has as many requests in flight as its settings allow.
    TooManyInFlight {
        /// The bound.
        bound: usize,
    },
    /// No pipeline has this name.
    UnknownPipeline {
        /// The name.
        pipeline: String,
    },
    /// No organisation has this name.
    UnknownOrganisation {
        /// The name.
        organisation: String,
    },
    /// A rule of the operators refuses it.
    Rule {
        /// The rule's name.
        rule: String,
    },
    /// The organisation is over a limit.
    OverLimit {
        /// The limit's name.
        limit: String,
    },
    /// It would not be done within its deadline.
    WouldBeLate {
        /// Predicted time to the end, in milliseconds.
        predicted_ms: u64,
        /// Time left, in milliseconds.
        left_ms: u64,
        /// The stage that takes most of it.
        slowest_stage: String,
    },
    /// No endpoint may run a stage.
    NoEndpoint {
        /// The stage.
        stage: String,
        /// The selector that candidates must match.
        selector: String,
        /// Endpoints that match it.
        matching: usize,
        /// What the last one tried said, where one was tried.
        last: Option<AgentReason>,
    },
    /// Retries are used up for now.
    RetryBudget {
        /// The stage.
        stage: String,
        /// What the last one tried said.
        last: AgentReason,
    },
    /// The deadline passed.
    DeadlinePassed {
        /// The stage that it was in.
        stage: String,
    },
    /// A stage that may not be repeated was begun, and its result can't be had.
    OutcomeUnknown {
        /// The stage.
        stage: String,
        /// The endpoint that it was sent to.
        endpoint: String,
    },
    /// The ticket's request was begun by another run, or its home is gone.
    TicketUsed,
    /// The ticket is void: forged, expired, or its home has restarted.
    TicketVoid,
    /// The caller went away.
    CallerGone,
}

impl Reason {
    /// The word for metrics and the problem type.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Draining => "draining",
            Self::TooManyInFlight { .. } => "too_many_in_flight",
            Self::UnknownPipeline { .. } => "unknown_pipeline",
            Self::UnknownOrganisation { .. } => "unknown_organisation",
            Self::Rule { .. } => "rule",
            Self::OverLimit { .. } => "over_limit",
            Self::WouldBeLate { .. } => "would_be_late",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::RetryBudget { .. } => "retry_budget",
            Self::DeadlinePassed { .. } => "deadline_passed",
            Self::OutcomeUnknown { .. } => "outcome_unknown",
            Self::TicketUsed => "ticket_used",
            Self::TicketVoid => "ticket_void",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// A final answer without a result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// How much ran.
    pub ran: Ran,
    /// Why it was given up.
    pub reason: Reason,
    /// The stages that ran whole.
    pub stages_run: Vec<String>,
    /// When to come back.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal before anything ran.
    pub const fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self { ran: Ran::NotRun, reason, stages_run: Vec::new(), retry_after }
    }
}
