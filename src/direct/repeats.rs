//! Limits how many repeats (retries) this process sends to a pool: its share of a budget for all
//! processes.
//!
//! The budget applies to the sum over all processes in any window. So each process uses a share of
//! the fixed slack, divided by the number of possible processes, and a share of the ratio in
//! proportion to its own first sends.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Share of the budget that is used; the rest covers windows that start at other times.
const USED_SHARE: f64 = 0.6;
/// Share of the slack that is used in the first window after the start of the process: what the
/// previous processes of this host used in that window is not known. Covers two restarts within one
/// window.
const USED_SLACK_AT_START: f64 = 0.2;
/// Number of steps into which a window is divided for counting.
const STEPS: u32 = 10;

/// Repeat budget, as published.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBudget {
    /// Allowed repeats per first send.
    pub ratio: f64,
    /// Allowed repeats in addition, for all processes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RepeatBudget {
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

/// Recent sends of one process, by pool.
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    budget: RepeatBudget,
    pools: HashMap<Name, VecDeque<Step>>,
}

impl RepeatLimiter {
    /// Creates the counters for this budget.
    pub fn new(budget: RepeatBudget) -> Self {
        Self { budget, pools: HashMap::new() }
    }

    /// Records first sends to a pool.
    pub fn record_first_sends(&mut self, pool: &Name, count: u32, now: Timestamp) {
        self.step(pool, now).firsts += count;
    }

    /// Uses one repeat of the budget, shared by `processes`; returns false if none is left. `now` is
    /// the time since the process started.
    pub fn try_take(&mut self, pool: &Name, processes: usize, now: Timestamp) -> bool {
        let budget = self.budget;
        self.step(pool, now);
        let steps = &self.pools[pool];
        let firsts: u32 = steps.iter().map(|s| s.firsts).sum();
        let repeats: u32 = steps.iter().map(|s| s.repeats).sum();
        let slack = budget.slack / processes.max(1) as f64;
        let slack_share = if now < budget.window { USED_SLACK_AT_START } else { USED_SHARE };
        let allowed = USED_SHARE * budget.ratio * f64::from(firsts) + slack_share * slack;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.step(pool, now).repeats += 1;
        true
    }

    fn step(&mut self, pool: &Name, now: Timestamp) -> &mut Step {
        let length = self.budget.window / STEPS;
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
