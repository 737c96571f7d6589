//! Result memory of one pool that is expected to be in use over the next seconds, updated
//! incrementally.
//!
//! The cost of a booking does not depend on how many there are; reading the whole timeline costs
//! its length.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Timestamp;
use crate::policy::timeline::{STEP, STEPS, Timeline};

/// Bytes in use from one step of the timeline until another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Booking {
    from: u64,
    until: u64,
    bytes: u64,
}

/// The first step that begins at or after `time`.
fn step_at(time: Timestamp) -> u64 {
    time.as_millis().div_ceil(STEP.as_millis()) as u64
}

impl Booking {
    /// Books `bytes` from `now + from` until `now + until`, for at least one step.
    pub(super) fn new(from: Duration, until: Duration, bytes: u64, now: Timestamp) -> Self {
        let from = step_at(now + from);
        Self { from, until: step_at(now + until).max(from + 1), bytes }
    }
}

/// All bookings of one pool, stored as changes between steps.
#[derive(Debug, Default)]
pub(super) struct Bookings {
    /// Bytes in use at step `at` of the timeline.
    level: i64,
    /// Step up to which changes are included in `level`.
    at: u64,
    /// Change of the level at each later step, in bytes.
    changes: BTreeMap<u64, i64>,
}

impl Bookings {
    pub(super) fn add(&mut self, booking: Booking) {
        self.change(booking.from, booking.bytes as i64);
        self.change(booking.until, -(booking.bytes as i64));
    }

    pub(super) fn remove(&mut self, booking: Booking) {
        self.change(booking.from, -(booking.bytes as i64));
        self.change(booking.until, booking.bytes as i64);
    }

    fn change(&mut self, step: u64, by: i64) {
        if step <= self.at {
            self.level += by;
            return;
        }
        let change = self.changes.entry(step).or_default();
        *change += by;
        if *change == 0 {
            self.changes.remove(&step);
        }
    }

    /// Bytes in use in each step from `now` on.
    pub(super) fn timeline(&mut self, now: Timestamp) -> Timeline {
        // Starts at the step nearest to `now`: plans count steps from `now`, so rounding must not
        // change how much they find in use.
        let first = (now + STEP / 2).as_millis() as u64 / STEP.as_millis() as u64;
        while let Some(next) = self.changes.first_entry().filter(|next| *next.key() <= first) {
            self.level += next.remove();
        }
        self.at = self.at.max(first);
        let mut level = self.level;
        let mut changes = self.changes.iter().peekable();
        let steps = (first..first + STEPS as u64).map(|step| {
            while let Some((_, by)) = changes.next_if(|(at, _)| **at <= step) {
                level += by;
            }
            level as f64
        });
        Timeline::from_steps(steps.collect())
    }
}
