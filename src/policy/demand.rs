//! Outstanding demand of one gateway's admitted requests for each pool.
//!
//! Load reports of endpoints only include work that has reached them. Admitted requests that are
//! still in an earlier stage are not part of any report and are counted here.

use foldhash::HashMap;

/// Number of admitted requests that still need each pool, by the pool's key.
#[derive(Debug, Default)]
pub struct Demand {
    requests: HashMap<u64, u32>,
}

impl Demand {
    /// Adds an admitted request that needs these pools.
    pub fn add(&mut self, pools: &[u64]) {
        for pool in pools {
            *self.requests.entry(*pool).or_default() += 1;
        }
    }

    /// Removes a request that no longer needs these pools.
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

    /// Number of requests that still need a pool.
    pub fn of(&self, pool: u64) -> u32 {
        self.requests.get(&pool).copied().unwrap_or(0)
    }

    /// Whether there is no outstanding demand.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
