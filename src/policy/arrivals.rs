//! Recent rates at which work arrives at a pool, by urgency.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Timestamp;
use crate::policy::urgency::Urgency;

/// Time constant of the decaying sums. Callers that arrive in bursts keep to a rate for some
/// seconds; a shorter time would follow the pieces of single requests.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

/// Work that arrives at a pool per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRate {
    /// Pieces per second.
    pub pieces: f64,
    /// Bytes of results per second.
    pub bytes: f64,
}

/// Decaying sums of one urgency.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    pieces: f64,
    bytes: f64,
    updated: Timestamp,
}

impl Level {
    /// Factor by which the sums have decayed since they were updated.
    fn decay(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated);
        (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }
}

/// Rates of arrival by urgency. The cost depends on the number of different urgencies alone.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    levels: BTreeMap<Urgency, Level>,
}

impl Arrivals {
    /// Records work.
    pub fn record(&mut self, urgency: Urgency, pieces: f64, bytes: f64, now: Timestamp) {
        let level = self.levels.entry(urgency).or_default();
        let decay = level.decay(now);
        level.pieces = level.pieces.mul_add(decay, pieces);
        level.bytes = level.bytes.mul_add(decay, bytes);
        level.updated = now;
    }

    /// Rate of the work that is more urgent than `urgency`.
    pub fn more_urgent_than(&self, urgency: Urgency, now: Timestamp) -> ArrivalRate {
        sum(self.levels.range(..urgency).map(|(_, level)| level), now)
    }

    /// Rate of all work.
    pub fn total(&self, now: Timestamp) -> ArrivalRate {
        sum(self.levels.values(), now)
    }
}

fn sum<'a>(levels: impl Iterator<Item = &'a Level>, now: Timestamp) -> ArrivalRate {
    let window = ARRIVAL_WINDOW.as_secs_f64();
    levels.fold(ArrivalRate::default(), |rate, level| {
        let weight = level.decay(now) / window;
        ArrivalRate {
            pieces: level.pieces.mul_add(weight, rate.pieces),
            bytes: level.bytes.mul_add(weight, rate.bytes),
        }
    })
}
