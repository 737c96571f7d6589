//! The retry budget: a token bucket that first tries fill, so that retries can't feed an overload.

/// Retries that may be made at once after a quiet time.
const BUDGET_CAP: f64 = 20.0;

/// Tokens for second tries.
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
    /// A first try was made; it earns `fraction` of a retry.
    pub fn earn(&mut self, fraction: f64) {
        self.tokens = (self.tokens + fraction).min(BUDGET_CAP);
    }

    /// Takes a token, where there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that could be made now.
    pub const fn left(&self) -> f64 {
        self.tokens
    }
}
