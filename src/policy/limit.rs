//! Rate limits of organisations: token buckets; each gateway enforces an equal share of the
//! fleet-wide limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::config::Limit;
use crate::message::Timestamp;

/// Maximum number of buckets; the half that was used least recently is evicted when it is reached.
/// Those buckets have had the most time to refill.
const MAX_BUCKETS: usize = 65_536;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Timestamp,
}

/// Token buckets of one gateway, by names of the limit and the organisation.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<(String, String), Bucket>,
}

/// Error: the bucket is empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time until the next token is available, at most one hour.
    pub retry_after: Duration,
}

impl Limiter {
    /// Takes one token of `limit` for `organisation`; `gateways` is the number of gateways that
    /// share the limit.
    pub fn take(
        &mut self,
        limit: &Limit,
        organisation: &str,
        gateways: usize,
        now: Timestamp,
    ) -> Result<(), LimitExceeded> {
        let share = 1.0 / gateways.max(1) as f64;
        let rate = limit.per_second * share;
        let burst = (limit.burst * share).max(1.0);
        self.evict();
        let key = (limit.name.clone(), organisation.to_owned());
        let bucket = self.buckets.entry(key).or_insert(Bucket { tokens: burst, filled_at: now });
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(burst);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            let wait = (1.0 - bucket.tokens) / rate;
            return Err(LimitExceeded { retry_after: Duration::from_secs_f64(wait.min(3600.0)) });
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Number of buckets in memory.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn evict(&mut self) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        let mut filled: Vec<_> = self.buckets.values().map(|b| b.filled_at).collect();
        let middle = filled.len() / 2;
        let (_, median, _) = filled.select_nth_unstable(middle);
        let median = *median;
        self.buckets.retain(|_, b| b.filled_at > median);
    }
}
