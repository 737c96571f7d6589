//! Forecast of the use of a bounded resource over the next seconds.

use std::time::Duration;

/// Length of one time step.
pub const STEP: Duration = Duration::from_millis(50);
/// Number of time steps in a timeline.
pub const STEPS: usize = 120;

/// Expected use of a resource from now on, in steps of [`STEP`]; later use is unknown.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    in_use: Vec<f64>,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { in_use: vec![0.0; STEPS] }
    }
}

/// Index of the first step that starts at or after `time`.
fn step_at(time: Duration) -> usize {
    (time.as_millis().div_ceil(STEP.as_millis()) as usize).min(STEPS)
}

impl Timeline {
    /// Creates a timeline from the amounts in use in each of the next [`STEPS`] steps.
    pub const fn from_steps(in_use: Vec<f64>) -> Self {
        Self { in_use }
    }

    /// Amounts in use in each step, from now on.
    pub fn steps(&self) -> &[f64] {
        &self.in_use
    }

    /// Adds the use of `amount` between two times, both relative to now.
    pub fn add(&mut self, from: Duration, until: Duration, amount: f64) {
        let last = step_at(until).max(step_at(from) + 1).min(STEPS);
        for in_use in &mut self.in_use[step_at(from).min(last)..last] {
            *in_use += amount;
        }
    }

    /// Peak use during `length`, starting at `from`.
    pub fn peak(&self, from: Duration, length: Duration) -> f64 {
        let last = step_at(from + length).max(step_at(from) + 1).min(STEPS);
        self.in_use[step_at(from).min(last)..last].iter().copied().fold(0.0, f64::max)
    }

    /// The earliest time, not before `from`, at which `amount` fits within `bound` for `length` in
    /// addition to the expected use; `None` if there is none within the timeline.
    pub fn earliest_fit(
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
        for (step, in_use) in self.in_use.iter().enumerate().skip(first) {
            if in_use + amount > bound {
                free = 0;
                start = STEP * (step as u32 + 1);
                continue;
            }
            free += 1;
            if free >= needed {
                return Some(start);
            }
        }
        // The resource is assumed to be free after the last step.
        (free > 0 || first >= STEPS && amount <= bound).then_some(start)
    }
}
