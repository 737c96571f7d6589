//! The retry budget: a token bucket that is filled by first attempts, so that retries can't amplify
//! an overload.

/// Capacity of the bucket: the largest burst of retries.
const BUDGET_CAP: f64 = 20.0;

/// Token bucket for retries; starts full.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BUDGET_CAP }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `fraction` of a token.
    pub fn earn(&mut self, fraction: f64) {
        self.tokens = (self.tokens + fraction).min(BUDGET_CAP);
    }

    /// Takes a token for a retry; returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Number of tokens that remain.
    pub const fn remaining(&self) -> f64 {
        self.tokens
    }
}
