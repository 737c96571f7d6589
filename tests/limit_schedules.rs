//! Random schedules of 1 to 100 gateways whose endpoints announce, change, end and flap rate
//! limits, in virtual time.
//!
//! Messages are delayed or lost; gateways are killed, cut off, or suspended. `STACKMAST_SCHEDULES`
//! sets the number of schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::limits::{Distribution, Fleet, Shape, Stats};
use directenv::ms;
use test_case::test_case;

const SCHEDULES: u64 = 30;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn shape(seed: u64) -> Shape {
    let gateways = match seed % 6 {
        0 => 1,
        1 => 2 + (seed / 6) as usize % 3,
        2 | 3 => 4 + (seed / 6) as usize % 8,
        4 => 12 + (seed / 6) as usize % 20,
        _ => 40 + (seed / 6) as usize % 61,
    };
    let distribution = [Distribution::Spread, Distribution::OneGateway, Distribution::Rotating]
        [(seed / 2) as usize % 3];
    Shape { gateways, distribution, pressure: 60.0, has_faults: !seed.is_multiple_of(4) }
}

fn run(seed: u64) -> Stats {
    let shape = shape(seed);
    let mut fleet = Fleet::new(seed, shape);
    fleet.plan_limits();
    if shape.has_faults {
        fleet.plan_faults();
    }
    fleet.run();
    fleet.stats
}

#[test]
fn no_endpoint_gets_more_than_its_limit_allows() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let mut all = Stats::default();
    let mut broken = Vec::new();
    for seed in first..first + count {
        let stats = run(seed);
        if !stats.breaches.is_empty() {
            broken.push((seed, shape(seed), stats.breaches[0].clone(), stats.breaches.len()));
        }
        all.calls += stats.calls;
        all.refused += stats.refused;
        all.withheld += stats.withheld;
        all.spans += stats.spans;
        all.received += stats.received;
        all.allowed += stats.allowed;
    }
    println!("{count} schedules from seed {first}: {all:?}");
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(all.spans > 0 && all.withheld > 0, "the checks are not idle");
}

/// An endpoint under load gets most of what its limit allows, and no request is refused while other
/// endpoints have free capacity.
#[test_case(1, Distribution::Spread, 1.0, 0.7; "one gateway")]
#[test_case(3, Distribution::Spread, 1.0, 0.7; "three")]
#[test_case(3, Distribution::OneGateway, 2.5, 0.5; "three, one of which gets all requests")]
#[test_case(10, Distribution::Spread, 4.0, 0.7; "ten")]
#[test_case(10, Distribution::OneGateway, 4.0, 0.5; "ten, one of which gets all requests")]
#[test_case(10, Distribution::Rotating, 4.0, 0.5; "ten, which get the requests in turn")]
#[test_case(100, Distribution::Spread, 1.0, 0.7; "a hundred")]
#[test_case(100, Distribution::Spread, 10.0, 0.7; "a hundred, and a higher limit")]
#[test_case(100, Distribution::OneGateway, 1.0, 0.5; "a hundred, one of which gets all requests")]
fn the_allowed_rate_is_used(gateways: usize, distribution: Distribution, limit: f64, share: f64) {
    let shape = Shape { gateways, distribution, pressure: 60.0, has_faults: false };
    let mut fleet = Fleet::new(7, shape);
    fleet.announce_limit(0, Some(limit), ms(5_000));
    fleet.run();
    let stats = &fleet.stats;
    assert!(stats.breaches.is_empty(), "{:?}", stats.breaches);
    let received = stats.received / stats.allowed;
    println!("{gateways} gateways, {distribution:?}, {limit} a second: {received:.2} of it");
    assert!(received >= share && received <= 1.0, "{received}");
    assert_eq!(stats.refused, 0);
}
