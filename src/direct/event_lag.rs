//! Measures how long events wait before the process handles them: the first sign that the host
//! lacks processor time.

use std::time::Duration;

use crate::message::Timestamp;

/// Weight of one event in the average: after a stall of the host, a few events without delay bring
/// the average down.
const WEIGHT: f64 = 0.2;
/// Half-life of the average while no events arrive.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Lag from which the process counts as overloaded; longer than a scheduler time slice on a busy
/// host.
pub const OVERLOAD_LAG: Duration = Duration::from_millis(20);
/// Lag at which the process no longer counts as overloaded.
const RECOVERY_LAG: Duration = Duration::from_millis(5);

/// Smoothed time for which events wait before they are handled.
#[derive(Debug, Default)]
pub struct EventLag {
    average_s: f64,
    updated_at: Timestamp,
    is_overloaded: bool,
}

impl EventLag {
    /// Records how long an event waited.
    pub fn record(&mut self, waited: Duration, now: Timestamp) {
        let before = self.estimate(now).as_secs_f64();
        self.average_s = (waited.as_secs_f64() - before).mul_add(WEIGHT, before);
        self.updated_at = now;
    }

    /// Estimated wait of an event that occurs now.
    pub fn estimate(&self, now: Timestamp) -> Duration {
        let halvings = now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.average_s * 0.5f64.powf(halvings))
    }

    /// Whether the process is overloaded, if that changed since the last call.
    pub fn overload_change(&mut self, now: Timestamp) -> Option<bool> {
        let lag = self.estimate(now);
        let is_overloaded =
            if self.is_overloaded { lag > RECOVERY_LAG } else { lag >= OVERLOAD_LAG };
        (is_overloaded != self.is_overloaded).then(|| {
            self.is_overloaded = is_overloaded;
            is_overloaded
        })
    }
}
