//! Random schedules of 1 to 24 gateways that read the endpoint list from the store or from peers, in
//! virtual time: whoever announces a position holds every change up to it, and all agree in the
//! end.
//!
//! Guards against review/2, where a gateway announced the position of a list that it did not hold
//! completely, and its followers used endpoints that were leaving. `STACKMAST_SCHEDULES` sets the
//! number of schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use std::time::Duration;

use directenv::lists::Fleet;

const SCHEDULES: u64 = 48;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Number of gateways, and the time with trouble. One schedule in eight is longer than removals are
/// remembered.
const fn shape(seed: u64) -> (usize, Duration) {
    match seed % 8 {
        7 => (2 + (seed / 8) as usize % 3, Duration::from_secs(150)),
        0 => (1, Duration::from_secs(15)),
        1..=3 => (2 + (seed / 8) as usize % 4, Duration::from_secs(15)),
        4 | 5 => (6 + (seed / 8) as usize % 6, Duration::from_secs(12)),
        _ => (12 + (seed / 8) as usize % 13, Duration::from_secs(8)),
    }
}

#[test]
fn whoever_announces_a_position_holds_every_change_up_to_it_and_all_agree_in_the_end() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let (mut checks, mut failed) = (0, Vec::new());
    for seed in first..first + count {
        let (gateways, end) = shape(seed);
        let mut fleet = Fleet::new(seed, gateways, end);
        fleet.run();
        checks += fleet.checks;
        if !fleet.breaches.is_empty() {
            failed.push(format!("seed {seed}, {gateways} gateways: {:#?}", fleet.breaches));
        }
    }
    println!("{count} schedules from seed {first}: {checks} checks, {} failed", failed.len());
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert!(checks > 0, "the checks are not idle");
}
