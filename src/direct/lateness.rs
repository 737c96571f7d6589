//! How late a process handles what happens to it: the first sign that its host is short of processor time.

use std::time::Duration;

use crate::message::Timestamp;

/// The weight of one event: a stall of the host is forgotten after a few events that did not wait.
const WEIGHT: f64 = 0.2;
/// Where little happens, lateness halves in that time.
const HALVES: Duration = Duration::from_millis(200);
/// From there on, a process is short of time: a scheduler's slice on a busy host is shorter.
pub const SHORT: Duration = Duration::from_millis(20);
/// Below that it is not any more.
const ENOUGH: Duration = Duration::from_millis(5);

/// How long events wait before they are handled, smoothed.
#[derive(Debug, Default)]
pub struct Lateness {
    seconds: f64,
    at: Timestamp,
    is_short: bool,
}

impl Lateness {
    /// An event waited so long.
    pub fn waited(&mut self, waited: Duration, now: Timestamp) {
        let before = self.now(now).as_secs_f64();
        self.seconds = (waited.as_secs_f64() - before).mul_add(WEIGHT, before);
        self.at = now;
    }

    /// How long an event that happens now waits, as far as is known.
    pub fn now(&self, now: Timestamp) -> Duration {
        let halvings = now.saturating_sub(self.at).as_secs_f64() / HALVES.as_secs_f64();
        Duration::from_secs_f64(self.seconds * 0.5f64.powf(halvings))
    }

    /// Whether the process is short of time, if that changed since it was last asked.
    pub fn changed(&mut self, now: Timestamp) -> Option<bool> {
        let late = self.now(now);
        let is_short = if self.is_short { late > ENOUGH } else { late >= SHORT };
        (is_short != self.is_short).then(|| {
            self.is_short = is_short;
            is_short
        })
    }
}
