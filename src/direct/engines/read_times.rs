//! How long the engines of a pool take to read prompts, estimated from the times to the first
//! event.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::Name;

/// Time to read one prompt token until there are enough samples.
const INITIAL_TOKEN_TIME_S: f64 = 30e-6;
/// Limits of the estimate, so that queues of engines can't make it absurd.
const TOKEN_TIME_LIMITS_S: (f64, f64) = (1e-6, 100e-6);
/// Number of tokens that a call is assumed to read until there are samples.
const INITIAL_TOKENS: f64 = 2_000.0;
/// Share of the earlier samples that remains after each new one: about the last hundred count.
const RETAINED: f64 = 0.99;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: f64 = 16.0;
/// Minimum variance of the numbers of tokens: prompts of one size don't show the time per token.
const MIN_TOKEN_VARIANCE: f64 = 250_000.0;

/// Sums of a linear regression of the time to the first event on the tokens that were read.
#[derive(Debug, Clone, Copy, Default)]
struct Regression {
    samples: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    tokens_time: f64,
}

impl Regression {
    fn add(&mut self, tokens: f64, time: f64) {
        self.samples = self.samples.mul_add(RETAINED, 1.0);
        self.tokens = self.tokens.mul_add(RETAINED, tokens);
        self.time = self.time.mul_add(RETAINED, time);
        self.tokens_squared = self.tokens_squared.mul_add(RETAINED, tokens * tokens);
        self.tokens_time = self.tokens_time.mul_add(RETAINED, tokens * time);
    }

    /// Time for one token, in seconds.
    fn slope(&self) -> Option<f64> {
        let mean = self.tokens / self.samples;
        let variance = mean.mul_add(-mean, self.tokens_squared / self.samples);
        if self.samples < MIN_SAMPLES || variance < MIN_TOKEN_VARIANCE {
            return None;
        }
        let covariance = mean.mul_add(-self.time, self.tokens_time) / self.samples;
        Some(covariance / variance)
    }
}

/// Estimated times to read prompts, by pool.
#[derive(Debug, Default)]
pub struct ReadTimes {
    pools: HashMap<Name, Regression>,
}

impl ReadTimes {
    /// Records the time to the first event of a call that read this number of tokens.
    pub fn record(&mut self, pool: &Name, tokens: u64, took: Duration) {
        let regression = self.pools.entry(pool.clone()).or_default();
        regression.add(tokens as f64, took.as_secs_f64());
    }

    /// Expected time to read this number of tokens.
    pub fn time_for(&self, pool: &str, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.token_time(pool))
    }

    /// Expected time that one waiting prompt takes to be read.
    pub fn mean_time(&self, pool: &str) -> Duration {
        let regression = self.pools.get(pool).filter(|r| r.samples > 0.0);
        let tokens = regression.map_or(INITIAL_TOKENS, |r| r.tokens / r.samples);
        Duration::from_secs_f64(tokens * self.token_time(pool))
    }

    fn token_time(&self, pool: &str) -> f64 {
        let slope = self.pools.get(pool).and_then(Regression::slope);
        let (min, max) = TOKEN_TIME_LIMITS_S;
        slope.unwrap_or(INITIAL_TOKEN_TIME_S).clamp(min, max)
    }

    /// Removes pools that are not published any more.
    pub fn retain(&mut self, published: impl Fn(&str) -> bool) {
        self.pools.retain(|pool, _| published(pool));
    }
}
