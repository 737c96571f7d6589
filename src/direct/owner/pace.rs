//! Recent wait and call durations in the pools of an owner.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{BatchSpec, Name};

/// Weight of a new measurement in the moving averages.
const NEW_WEIGHT: f64 = 0.1;

/// Moving averages of a pool's durations, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    wait: f64,
    call: f64,
}

impl Pace {
    /// Defaults of a pool without measurements: calls are half full and nothing waits.
    fn unknown(spec: &BatchSpec) -> Self {
        let call = spec.call + spec.piece * (spec.pieces as u32 / 2);
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

fn towards(before: &mut f64, measured: Duration) {
    *before += (measured.as_secs_f64() - *before) * NEW_WEIGHT;
}

/// Moving averages of all pools.
#[derive(Debug, Default)]
pub struct Paces {
    pools: HashMap<Name, Pace>,
}

impl Paces {
    /// Moving averages of a pool.
    pub fn get(&self, pool: &str, spec: &BatchSpec) -> Pace {
        self.pools.get(pool).copied().unwrap_or_else(|| Pace::unknown(spec))
    }

    fn entry(&mut self, pool: &Name, spec: &BatchSpec) -> &mut Pace {
        self.pools.entry(pool.clone()).or_insert_with(|| Pace::unknown(spec))
    }

    /// Records that a piece was sent `waited` after it first could be.
    pub(super) fn waited(&mut self, pool: &Name, spec: &BatchSpec, waited: Duration) {
        towards(&mut self.entry(pool, spec).wait, waited);
    }

    /// Records that a call took `took`.
    pub(super) fn called(&mut self, pool: &Name, spec: &BatchSpec, took: Duration) {
        towards(&mut self.entry(pool, spec).call, took);
    }
}
