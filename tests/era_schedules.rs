//! Random schedules of 1 to 100 gateways with a store that is restored from older copies, in
//! virtual time.
//!
//! Messages are delayed or lost; gateways are killed, cut off, or refused by the store; endpoints
//! leave, end and start; versions and orders change. `STACKMAST_SCHEDULES` sets the number of
//! schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::eras::Fleet;

const SCHEDULES: u64 = 24;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Mixes small fleets with large ones, which take longer to run.
const fn gateways(seed: u64) -> usize {
    match seed % 6 {
        0 => 1,
        1 => 2 + (seed / 6) as usize % 4,
        2 | 3 => 6 + (seed / 6) as usize % 10,
        4 => 16 + (seed / 6) as usize % 16,
        _ => 40 + (seed / 6) as usize % 61,
    }
}

#[test]
fn a_restored_store_reverts_nothing_and_live_endpoints_stay_in_use() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let (mut returns, mut checks, mut failed) = (0, 0, Vec::new());
    for seed in first..first + count {
        let mut fleet = Fleet::new(seed, gateways(seed));
        fleet.run();
        returns += fleet.seen.returns;
        checks += fleet.seen.checks;
        if !fleet.seen.breaches.is_empty() {
            failed.push(format!(
                "seed {seed}, {} gateways: {:#?}",
                gateways(seed),
                fleet.seen.breaches
            ));
        }
    }
    println!(
        "{count} schedules from seed {first}: {returns} returns, {checks} checks, {} failed",
        failed.len()
    );
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    assert!(returns > 0 && checks > 0, "the checks are not idle");
}
