//! How much of something bounded is expected to be taken over the next seconds.

use std::time::Duration;

/// The length of one step.
pub const STEP: Duration = Duration::from_millis(50);
/// Steps that are looked ahead.
pub const STEPS: usize = 120;

/// Expected use from now on, in steps of [`STEP`]; what comes later is not known.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    taken: Vec<f64>,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { taken: vec![0.0; STEPS] }
    }
}

/// The first step that begins at a time or after it.
fn step_at(time: Duration) -> usize {
    (time.as_millis().div_ceil(STEP.as_millis()) as usize).min(STEPS)
}

impl Timeline {
    /// What is taken in each of the next [`STEPS`] steps.
    pub const fn from_steps(taken: Vec<f64>) -> Self {
        Self { taken }
    }

    /// What is taken in each step from now on.
    pub fn steps(&self) -> &[f64] {
        &self.taken
    }

    /// Takes an amount from one time from now until another.
    pub fn add(&mut self, from: Duration, until: Duration, amount: f64) {
        let last = step_at(until).max(step_at(from) + 1).min(STEPS);
        for taken in &mut self.taken[step_at(from).min(last)..last] {
            *taken += amount;
        }
    }

    /// The most that is taken from one time on, for a while.
    pub fn peak(&self, from: Duration, length: Duration) -> f64 {
        let last = step_at(from + length).max(step_at(from) + 1).min(STEPS);
        self.taken[step_at(from).min(last)..last].iter().copied().fold(0.0, f64::max)
    }

    /// The first time from `from` on at which an amount fits beside what is taken, for a while;
    /// `None` if it fits at no time that is looked at.
    pub fn earliest(
        &self,
        from: Duration,
        length: Duration,
        amount: f64,
        bound: f64,
    ) -> Option<Duration> {
        let mut start = from;
        let first = step_at(from);
        let needed = step_at(length).max(1);
        let mut free = 0;
        for (step, taken) in self.taken.iter().enumerate().skip(first) {
            if taken + amount > bound {
                free = 0;
                start = STEP * (step as u32 + 1);
                continue;
            }
            free += 1;
            if free >= needed {
                return Some(start);
            }
        }
        // What lies beyond the last step is taken to be free.
        (free > 0 || first >= STEPS && amount <= bound).then_some(start)
    }
}
