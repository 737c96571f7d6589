//! How many repeats a process may send to a pool: its part of one budget that all processes share.
//!
//! The budget holds for the sum over all processes in any window, so each takes a part of the fixed
//! slack by the number of processes that may exist, and a part of the ratio by what it sent itself.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Of what the budget allows, so much is used; the rest is for windows that lie otherwise.
const USED: f64 = 0.6;
/// Windows are counted in so many steps.
const STEPS: u32 = 10;

/// The budget as published.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats besides, over all processes.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window: Duration::from_secs(10) }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Step {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// What one process has sent to each pool lately.
#[derive(Debug, Default)]
pub struct Repeats {
    bounds: Bounds,
    pools: HashMap<Name, VecDeque<Step>>,
}

impl Repeats {
    /// With this budget.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, pools: HashMap::new() }
    }

    /// First sends to a pool were made.
    pub fn first(&mut self, pool: &Name, count: u32, now: Timestamp) {
        self.step(pool, now).firsts += count;
    }

    /// Takes a repeat out of the budget, where it holds one; `processes` share it.
    pub fn take(&mut self, pool: &Name, processes: usize, now: Timestamp) -> bool {
        let bounds = self.bounds;
        self.step(pool, now);
        let steps = &self.pools[pool];
        let firsts: u32 = steps.iter().map(|s| s.firsts).sum();
        let repeats: u32 = steps.iter().map(|s| s.repeats).sum();
        let slack = bounds.slack / processes.max(1) as f64;
        let allowed = USED * (bounds.ratio * f64::from(firsts) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.step(pool, now).repeats += 1;
        true
    }

    fn step(&mut self, pool: &Name, now: Timestamp) -> &mut Step {
        let length = self.bounds.window / STEPS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let steps = self.pools.entry(pool.clone()).or_default();
        while steps.front().is_some_and(|s| s.number + u64::from(STEPS) < number) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|s| s.number < number) {
            steps.push_back(Step { number, ..Step::default() });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }
}
