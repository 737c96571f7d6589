//! How the pools of an owner have worked lately.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{BatchSpec, Name};

/// The weight of a new measurement.
const NEW_WEIGHT: f64 = 0.1;

/// How a pool has worked lately, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    wait: f64,
    call: f64,
}

impl Pace {
    /// A pool of which nothing was seen yet: calls are half full and nothing waits.
    fn unknown(spec: &BatchSpec) -> Self {
        let call = spec.call + spec.piece * (spec.pieces as u32 / 2);
        Self { wait: 0.0, call: call.as_secs_f64() }
    }

    /// From the time when a piece may be made until it is sent.
    pub fn wait(self) -> Duration {
        Duration::from_secs_f64(self.wait)
    }

    /// From there until its call ends.
    pub fn call(self) -> Duration {
        Duration::from_secs_f64(self.call)
    }
}

fn towards(before: &mut f64, measured: Duration) {
    *before += (measured.as_secs_f64() - *before) * NEW_WEIGHT;
}

/// The paces of all pools.
#[derive(Debug, Default)]
pub struct Paces {
    pools: HashMap<Name, Pace>,
}

impl Paces {
    /// The pace of a pool.
    pub fn get(&self, pool: &str, spec: &BatchSpec) -> Pace {
        self.pools.get(pool).copied().unwrap_or_else(|| Pace::unknown(spec))
    }

    fn entry(&mut self, pool: &Name, spec: &BatchSpec) -> &mut Pace {
        self.pools.entry(pool.clone()).or_insert_with(|| Pace::unknown(spec))
    }

    /// A piece was sent so long after it could have been.
    pub(super) fn waited(&mut self, pool: &Name, spec: &BatchSpec, waited: Duration) {
        towards(&mut self.entry(pool, spec).wait, waited);
    }

    /// A call ended after so long.
    pub(super) fn called(&mut self, pool: &Name, spec: &BatchSpec, took: Duration) {
        towards(&mut self.entry(pool, spec).call, took);
    }
}
