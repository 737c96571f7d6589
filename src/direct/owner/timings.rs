//! Recent wait and call durations in the pools of an owner.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{BatchSpec, Name};
use crate::message::Timestamp;

/// Weight of a new measurement in the moving averages.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;
/// Time after the end of a pool's last call in which the measured durations count in full.
const MEASUREMENT_VALIDITY: Duration = Duration::from_secs(2);
/// Time constant with which the durations return to the pool's specification afterwards: without
/// calls nothing measures whether slow endpoints have recovered.
const MEASUREMENT_DECAY: Duration = Duration::from_secs(1);

/// Moving averages of a pool's durations, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct PoolTimings {
    wait: f64,
    call: f64,
    /// Time that each piece adds to a call.
    piece: f64,
    /// End of the last call.
    measured_at: Timestamp,
}

impl PoolTimings {
    /// Defaults of a pool without measurements: calls are half full and nothing waits.
    fn defaults(spec: &BatchSpec) -> Self {
        let call = spec.call_with(spec.pieces / 2);
        let (call, piece) = (call.as_secs_f64(), spec.piece_time.as_secs_f64());
        Self { wait: 0.0, call, piece, measured_at: Timestamp::ZERO }
    }

    /// The durations as they count at `now`, if no call has ended since they were measured.
    fn decayed(self, spec: &BatchSpec, now: Timestamp) -> Self {
        let age = now.saturating_sub(self.measured_at).saturating_sub(MEASUREMENT_VALIDITY);
        let weight = (-age.as_secs_f64() / MEASUREMENT_DECAY.as_secs_f64()).exp();
        let specified = Self::defaults(spec);
        let decay =
            |measured: f64, specified: f64| (measured - specified).mul_add(weight, specified);
        Self {
            call: decay(self.call, specified.call),
            piece: decay(self.piece, specified.piece),
            ..self
        }
    }

    /// Time from when a piece may be sent until it is sent.
    pub fn wait(self) -> Duration {
        Duration::from_secs_f64(self.wait)
    }

    /// Duration of a full call. Pieces may be lighter than the pool's specification, and endpoints
    /// slower.
    pub fn full_call(self, spec: &BatchSpec) -> Duration {
        spec.call_overhead + Duration::from_secs_f64(self.piece * spec.pieces as f64)
    }

    /// Time from when a piece is sent until its call ends.
    pub fn call(self) -> Duration {
        Duration::from_secs_f64(self.call)
    }
}

/// Adds a measurement, in seconds, to a moving average.
fn update_average(before: &mut f64, measured: f64, weight: f64) {
    *before += (measured - *before) * weight;
}

/// Moving averages of all pools.
#[derive(Debug, Default)]
pub struct Timings {
    pools: HashMap<Name, PoolTimings>,
}

impl Timings {
    /// Moving averages of a pool.
    pub fn get(&self, pool: &str, spec: &BatchSpec, now: Timestamp) -> PoolTimings {
        let measured = self.pools.get(pool);
        measured.map_or_else(|| PoolTimings::defaults(spec), |m| m.decayed(spec, now))
    }

    fn entry(&mut self, pool: &Name, spec: &BatchSpec) -> &mut PoolTimings {
        self.pools.entry(pool.clone()).or_insert_with(|| PoolTimings::defaults(spec))
    }

    /// Records that a piece was sent `waited` after it first could be.
    pub(super) fn record_wait(&mut self, pool: &Name, spec: &BatchSpec, waited: Duration) {
        let wait = &mut self.entry(pool, spec).wait;
        update_average(wait, waited.as_secs_f64(), NEW_SAMPLE_WEIGHT);
    }

    /// Records that a call with `pieces` pieces, which ended at `now`, took `took`. The time of a
    /// piece is measured by calls in proportion to how full they are.
    pub(super) fn record_call(
        &mut self,
        pool: &Name,
        spec: &BatchSpec,
        pieces: usize,
        took: Duration,
        now: Timestamp,
    ) {
        let timings = self.entry(pool, spec);
        *timings = PoolTimings { measured_at: now, ..timings.decayed(spec, now) };
        update_average(&mut timings.call, took.as_secs_f64(), NEW_SAMPLE_WEIGHT);
        let fill = pieces as f64 / spec.pieces.max(1) as f64;
        let piece = took.saturating_sub(spec.call_overhead).as_secs_f64() / pieces.max(1) as f64;
        update_average(&mut timings.piece, piece, NEW_SAMPLE_WEIGHT * fill.min(1.0));
    }
}
