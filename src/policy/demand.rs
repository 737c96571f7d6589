//! What the admitted requests of one gateway still need of each pool.
//!
//! Load reports come from endpoints that work has reached; a request that was admitted and is in an
//! earlier stage shows in none of them.

use foldhash::HashMap;

/// Admitted requests that have not passed a pool, by the pool's key.
#[derive(Debug, Default)]
pub struct Demand {
    requests: HashMap<u64, u32>,
}

impl Demand {
    /// A request that needs these pools was admitted.
    pub fn add(&mut self, pools: &[u64]) {
        for pool in pools {
            *self.requests.entry(*pool).or_default() += 1;
        }
    }

    /// A request needs these pools no more.
    pub fn remove(&mut self, pools: &[u64]) {
        for pool in pools {
            if let Some(count) = self.requests.get_mut(pool) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    self.requests.remove(pool);
                }
            }
        }
    }

    /// Requests that still need a pool.
    pub fn of(&self, pool: u64) -> u32 {
        self.requests.get(&pool).copied().unwrap_or(0)
    }

    /// Whether no request needs anything.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
