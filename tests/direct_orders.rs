//! Random schedules of 1 to 100 gateways with evacuation orders and endpoint restarts, in virtual
//! time.
//!
//! Messages are delayed or lost; gateways are killed, cut off, or refused by the store.
//! `STACKMAST_SCHEDULES` sets the number of schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::orders::{Fleet, MAX_PER_SECOND, Stats};
use test_case::test_case;

const SCHEDULES: u64 = 30;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Mixes small fleets with large ones, which take longer to run.
fn gateways(seed: u64) -> usize {
    match seed % 6 {
        0 => 1,
        1 => 2 + (seed / 6) as usize % 4,
        2 | 3 => 6 + (seed / 6) as usize % 10,
        4 => 16 + (seed / 6) as usize % 16,
        _ => 40 + (seed / 6) as usize % 61,
    }
}

#[test_case(1_079; "an order is withdrawn while its endpoints are cold, 23 in a second")]
#[test_case(2_161; "a starting gateway gets its list from a peer that was cut off, 51 in a second")]
#[test_case(1_441; "endpoints restart unnoticed in an evacuated data centre, 43 in a second")]
#[test_case(1_284; "entries of unreachable endpoints expire and return, 58 in a second")]
fn earlier_overloads_of_cold_endpoints_do_not_recur(seed: u64) {
    let mut fleet = Fleet::new(seed, gateways(seed));
    fleet.run();
    assert!(fleet.stats.max_per_second <= MAX_PER_SECOND, "{:?}", fleet.stats);
}

#[test]
fn cold_endpoints_are_not_overloaded_and_evacuated_ones_get_no_calls() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let mut all = Stats::default();
    for seed in first..first + count {
        let mut fleet = Fleet::new(seed, gateways(seed));
        fleet.run();
        let stats = fleet.stats;
        assert!(
            stats.max_per_second <= MAX_PER_SECOND && stats.late_calls == 0,
            "seed {seed}, {} gateways: {stats:?}",
            gateways(seed)
        );
        all.calls += stats.calls;
        all.cold_calls += stats.cold_calls;
        all.refused += stats.refused;
        all.max_per_second = all.max_per_second.max(stats.max_per_second);
    }
    println!("{count} schedules from seed {first}, 0 breaches: {all:?}");
    assert!(all.cold_calls > 0 && all.refused > 0, "the checks are not idle");
}
