//! The repeat budget over the lives of processes that are lost and start again.

use std::time::Duration;

use stackmast::direct::published::model::Name;
use stackmast::direct::repeats::{RepeatBudget, RepeatLimiter};

const PROCESSES: usize = 4;
const BUDGET: RepeatBudget =
    RepeatBudget { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };

/// Number of repeats that a process sends to a pool at `age` after its start, if all its requests fail.
fn repeats(limiter: &mut RepeatLimiter, firsts: u32, age: Duration) -> u32 {
    let pool: Name = "pool".into();
    limiter.record_first_sends(&pool, firsts, age);
    (0..).take_while(|_| limiter.try_take(&pool, PROCESSES, age)).count() as u32
}

// Guards against processes that use the whole slack again after each restart, since they don't know
// what they used before.
#[test]
fn repeats_of_processes_that_are_restarted_stay_within_the_budget_of_one_window() {
    let firsts = 5;
    let mut sent = 0;
    for _ in 0..PROCESSES {
        let mut first_life = RepeatLimiter::new(BUDGET);
        sent += repeats(&mut first_life, firsts, Duration::from_secs(100));
        for _ in 0..2 {
            let mut next_life = RepeatLimiter::new(BUDGET);
            sent += repeats(&mut next_life, firsts, Duration::from_secs(1));
        }
    }
    let allowed = BUDGET.slack + BUDGET.ratio * f64::from(3 * firsts * PROCESSES as u32);
    assert!(f64::from(sent) <= allowed, "{sent} repeats, {allowed} allowed");
}

// Guards against processes without repeats after their start.
#[test]
fn a_process_that_has_started_repeats() {
    let mut limiter = RepeatLimiter::new(BUDGET);
    assert!(repeats(&mut limiter, 1, Duration::from_millis(10)) >= 2);
}
