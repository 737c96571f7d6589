//! Invariants checked in every build. Violations are counted, and panic in debug builds, which
//! includes tests.

use snafu::Snafu;

/// A violated invariant.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A stage that may not be repeated was dispatched again without proof that the previous
    /// attempt did not run.
    #[snafu(display("request {request} stage {stage}: dispatched again without proof"))]
    DispatchWithoutProof {
        /// Id of the request.
        request: String,
        /// Index of the stage in its pipeline.
        stage: usize,
    },
    /// A request was about to be reported as not run although one of its stages had been handed
    /// over to an endpoint.
    #[snafu(display("request {request}: would be reported as not_run after a hand-over"))]
    FalseNotRun {
        /// Id of the request.
        request: String,
    },
    /// A second final response was about to be sent for a request.
    #[snafu(display("request {request}: would be answered twice"))]
    AnsweredTwice {
        /// Id of the request.
        request: String,
    },
    /// An attempt was about to be handed over to its endpoint twice, or after it had been refused.
    #[snafu(display("attempt {attempt}: would be handed over twice"))]
    HandedOverTwice {
        /// Id of the attempt.
        attempt: String,
    },
    /// The bytes of an adopted result do not match the digest from the agent.
    #[snafu(display("request {request}: result adopted with a wrong digest"))]
    WrongResult {
        /// Id of the request.
        request: String,
    },
    /// A piece was about to be sent without all of its input results.
    #[snafu(display("request {request} stage {stage}: a piece would be sent with missing inputs"))]
    MissingInputs {
        /// Id of the request.
        request: String,
        /// Index of the stage in its pipeline.
        stage: usize,
    },
    /// A configuration that is not newer than the one in force was about to be applied.
    #[snafu(display("configuration version {from} would be replaced by version {to}"))]
    ConfigReverted {
        /// Version in force.
        from: u64,
        /// Version that was about to be applied.
        to: u64,
    },
}

/// Counts a violation and panics in debug builds.
pub fn violated(violation: &Violation) {
    metrics::counter!(crate::metrics::INVARIANT_VIOLATIONS).increment(1);
    debug_assert!(false, "invariant violated: {violation}");
}

/// Records `$violation` if the condition `$holds` is false; evaluates to the condition.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $violation:expr) => {{
        let holds = $holds;
        if !holds {
            $crate::invariant::violated(&$violation);
        }
        holds
    }};
}
