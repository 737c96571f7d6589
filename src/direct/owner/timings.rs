//! Recent wait and call durations in the pools of an owner.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{BatchSpec, Name};

/// Weight of a new measurement in the moving averages.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

/// Moving averages of a pool's durations, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct PoolTimings {
    wait: f64,
    call: f64,
}

impl PoolTimings {
    /// Defaults of a pool without measurements: calls are half full and nothing waits.
    fn defaults(spec: &BatchSpec) -> Self {
        let call = spec.call_overhead + spec.piece_time * (spec.pieces as u32 / 2);
        Self { wait: 0.0, call: call.as_secs_f64() }
    }

    /// Time from when a piece may be sent until it is sent.
    pub fn wait(self) -> Duration {
        Duration::from_secs_f64(self.wait)
    }

    /// Time from when a piece is sent until its call ends.
    pub fn call(self) -> Duration {
        Duration::from_secs_f64(self.call)
    }
}

/// Adds a measurement to a moving average.
fn update_average(before: &mut f64, measured: Duration) {
    *before += (measured.as_secs_f64() - *before) * NEW_SAMPLE_WEIGHT;
}

/// Moving averages of all pools.
#[derive(Debug, Default)]
pub struct Timings {
    pools: HashMap<Name, PoolTimings>,
}

impl Timings {
    /// Moving averages of a pool.
    pub fn get(&self, pool: &str, spec: &BatchSpec) -> PoolTimings {
        self.pools.get(pool).copied().unwrap_or_else(|| PoolTimings::defaults(spec))
    }

    fn entry(&mut self, pool: &Name, spec: &BatchSpec) -> &mut PoolTimings {
        self.pools.entry(pool.clone()).or_insert_with(|| PoolTimings::defaults(spec))
    }

    /// Records that a piece was sent `waited` after it first could be.
    pub(super) fn record_wait(&mut self, pool: &Name, spec: &BatchSpec, waited: Duration) {
        update_average(&mut self.entry(pool, spec).wait, waited);
    }

    /// Records that a call took `took`.
    pub(super) fn record_call(&mut self, pool: &Name, spec: &BatchSpec, took: Duration) {
        update_average(&mut self.entry(pool, spec).call, took);
    }
}
