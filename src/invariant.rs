//! Invariants asserted in every build: counted where violated, fatal in debug builds and so in tests.

use snafu::Snafu;

/// A promise that the program itself found broken.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An attempt that may not be repeated was dispatched without a proof that the one before did not run.
    #[snafu(display("request {request} stage {stage}: dispatched again without proof"))]
    DispatchWithoutProof {
        /// The request.
        request: String,
        /// The stage's position.
        stage: usize,
    },
    /// "Not run" was about to be said of a request of which a stage was handed over.
    #[snafu(display("request {request}: would say not_run after a hand-over"))]
    FalseNotRun {
        /// The request.
        request: String,
    },
    /// A request was about to get a second final answer.
    #[snafu(display("request {request}: would be answered twice"))]
    AnsweredTwice {
        /// The request.
        request: String,
    },
    /// An attempt was about to be handed over twice, or after it was refused.
    #[snafu(display("attempt {attempt}: would be handed over twice"))]
    HandedOverTwice {
        /// The attempt.
        attempt: String,
    },
    /// A result whose bytes are not those that the agent digested.
    #[snafu(display("request {request}: result adopted with a wrong digest"))]
    WrongResult {
        /// The request.
        request: String,
    },
    /// A piece was about to be sent without every result that it needs.
    #[snafu(display("request {request} stage {stage}: a piece would lack inputs"))]
    MissingInputs {
        /// The request.
        request: String,
        /// The stage's position.
        stage: usize,
    },
    /// A configuration older than the one in force was about to be applied.
    #[snafu(display("configuration {from} would go back to {to}"))]
    ConfigReverted {
        /// The version in force.
        from: u64,
        /// The older version.
        to: u64,
    },
}

/// Counts a violation; a debug build stops there.
pub fn violated(violation: &Violation) {
    metrics::counter!(crate::metrics::INVARIANT_VIOLATIONS).increment(1);
    debug_assert!(false, "invariant violated: {violation}");
}

/// Asserts `$holds`, and otherwise records the violation; evaluates to whether it held.
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
