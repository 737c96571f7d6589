//! Random schedules of the cores. A seed determines a schedule; the cores assert their invariants.
//!
//! `STACKMAST_SCHEDULES` sets the number of schedules, `STACKMAST_SEED` the first seed.

mod schedules;

use schedules::{Odds, World};
use test_case::test_case;

/// Number of schedules of each kind, unless the environment sets it.
const SCHEDULES: u64 = 1_000;

const CALM: Odds = Odds { lost: 0, doubled: 0, endpoint: 0, faults: 0 };
const LOSSY: Odds = Odds { lost: 60, doubled: 60, endpoint: 0, faults: 0 };
const FAILING: Odds = Odds { lost: 0, doubled: 0, endpoint: 60, faults: 0 };
const FAULTY: Odds = Odds { lost: 0, doubled: 0, endpoint: 0, faults: 5 };
const STORM: Odds = Odds { lost: 50, doubled: 50, endpoint: 50, faults: 6 };

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test_case(CALM, 7.9; "nothing goes wrong")]
#[test_case(LOSSY, 3.0; "calls are lost and messages doubled")]
#[test_case(FAILING, 3.0; "endpoints fail")]
#[test_case(FAULTY, 3.0; "processes die, freeze, leave and lose sight of each other")]
#[test_case(STORM, 1.0; "everything at once")]
fn all_guarantees_hold_when(odds: Odds, least_whole: f64) {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let (mut steps, mut whole) = (0, 0);
    for seed in first..first + count {
        let mut world = World::new(seed, odds);
        let breaches = world.run();
        assert!(breaches.is_empty(), "seed {seed} of {odds:?}: {breaches:#?}");
        steps += world.steps_taken();
        whole += world.whole();
    }
    let average = whole as f64 / count as f64;
    println!("{count} schedules, {steps} steps, {average:.2} of 8 requests answered in full");
    assert!(average >= least_whole, "only {average} of 8 requests answered in full");
}
