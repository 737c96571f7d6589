//! Refusals returned to callers: what ran, the reason, and when to retry.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::message::{AgentReason, Ran};

/// Why a request was refused or ended without a result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Reason {
    /// This process has no configuration yet.
    NoConfiguration,
    /// This gateway is stopping and accepts no new requests.
    Draining,
    /// This gateway has reached its limit of requests in flight.
    TooManyInFlight {
        /// Maximum number of requests in flight, from the settings.
        bound: usize,
    },
    /// No pipeline has this name.
    UnknownPipeline {
        /// Name in the request.
        pipeline: String,
    },
    /// No organisation has this name.
    UnknownOrganisation {
        /// Name in the request.
        organisation: String,
    },
    /// A rule in the configuration refuses the request.
    Rule {
        /// Name of the rule.
        rule: String,
    },
    /// The organisation has exceeded a rate limit.
    OverLimit {
        /// Name of the limit.
        limit: String,
    },
    /// The request is predicted to miss its deadline.
    WouldBeLate {
        /// Predicted time to completion, in milliseconds.
        predicted_ms: u64,
        /// Time until the deadline, in milliseconds.
        left_ms: u64,
        /// Name of the stage with the longest predicted time.
        slowest_stage: String,
    },
    /// No endpoint is available for a stage.
    NoEndpoint {
        /// Name of the stage.
        stage: String,
        /// Selector that an endpoint must match.
        selector: String,
        /// Number of endpoints that match the selector.
        matching: usize,
        /// Reason returned by the last agent that was tried; `None` if no endpoint was tried.
        last: Option<AgentReason>,
    },
    /// The retry budget is exhausted.
    RetryBudget {
        /// Name of the stage.
        stage: String,
        /// Reason returned by the last agent that was tried.
        last: AgentReason,
    },
    /// The deadline passed.
    DeadlinePassed {
        /// Name of the stage that the request was in.
        stage: String,
    },
    /// A stage that may not be repeated was started, and its outcome can't be determined.
    OutcomeUnknown {
        /// Name of the stage.
        stage: String,
        /// Name of the endpoint that the stage was sent to.
        endpoint: String,
    },
    /// The request of the ticket was already started by another run, or the agent that holds the
    /// ticket is unreachable.
    TicketUsed,
    /// The ticket is invalid: forged, expired, or the agent that held it has restarted.
    TicketVoid,
    /// The caller closed the connection.
    CallerGone,
}

impl Reason {
    /// Name of the reason in metrics and problem types.
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

/// Final response to a request without a result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// How much of the request ran, as far as is known.
    pub ran: Ran,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Names of the completed stages.
    pub stages_run: Vec<String>,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal of a request of which no stage ran.
    pub const fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self { ran: Ran::NotRun, reason, stages_run: Vec::new(), retry_after }
    }
}
