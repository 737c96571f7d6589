//! Room of one pool that is expected to be taken over the next seconds, kept as it changes.
//!
//! A booking costs the same however many there are; to read the whole time-line costs its length.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Timestamp;
use crate::policy::timeline::{STEP, STEPS, Timeline};

/// Bytes that are taken from one step of the clock until another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Booking {
    from: u64,
    until: u64,
    bytes: u64,
}

/// The first step that begins at a time or after it.
fn step_at(time: Timestamp) -> u64 {
    time.as_millis().div_ceil(STEP.as_millis()) as u64
}

impl Booking {
    /// Takes `bytes` between two times from `now`, for a step at least.
    pub(super) fn new(from: Duration, until: Duration, bytes: u64, now: Timestamp) -> Self {
        let from = step_at(now + from);
        Self { from, until: step_at(now + until).max(from + 1), bytes }
    }
}

/// The bookings of one pool, as changes from step to step.
#[derive(Debug, Default)]
pub(super) struct Bookings {
    /// Bytes that are taken at step `at`.
    level: i64,
    at: u64,
    /// By how much the level changes at later steps.
    changes: BTreeMap<u64, i64>,
}

impl Bookings {
    /// Adds a booking.
    pub(super) fn add(&mut self, booking: Booking) {
        self.change(booking.from, booking.bytes as i64);
        self.change(booking.until, -(booking.bytes as i64));
    }

    /// Takes a booking back.
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

    /// What is taken from `now` on.
    pub(super) fn timeline(&mut self, now: Timestamp) -> Timeline {
        // The step nearest to now: plans count steps from now on, and must find as much as there is.
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
