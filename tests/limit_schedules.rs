//! Random schedules of 1 to 100 gateways whose endpoints announce, change, end and flap rate
//! limits, in virtual time.
//!
//! Messages are delayed or lost; gateways are killed, cut off, or suspended. `STACKMAST_SCHEDULES`
//! sets the number of schedules, `STACKMAST_SEED` the first seed.

mod directenv;

use directenv::limits::{Fleet, Seen, Shape, Work};
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
    let work = [Work::Spread, Work::AtOne, Work::Moves][(seed / 2) as usize % 3];
    Shape { gateways, work, pressure: 60.0, is_troubled: !seed.is_multiple_of(4) }
}

fn run(seed: u64) -> Seen {
    let shape = shape(seed);
    let mut fleet = Fleet::new(seed, shape);
    fleet.plan_limits();
    if shape.is_troubled {
        fleet.plan_trouble();
    }
    fleet.run();
    fleet.seen
}

#[test]
fn no_endpoint_gets_more_than_its_limit_allows() {
    let first = number("STACKMAST_SEED", 1);
    let count = number("STACKMAST_SCHEDULES", SCHEDULES);
    let mut all = Seen::default();
    let mut broken = Vec::new();
    for seed in first..first + count {
        let seen = run(seed);
        if !seen.breaches.is_empty() {
            broken.push((seed, shape(seed), seen.breaches[0].clone(), seen.breaches.len()));
        }
        all.calls += seen.calls;
        all.refused += seen.refused;
        all.withheld += seen.withheld;
        all.spans += seen.spans;
        all.got += seen.got;
        all.allowed += seen.allowed;
    }
    println!("{count} schedules from seed {first}: {all:?}");
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(all.spans > 0 && all.withheld > 0, "the checks are not idle");
}

/// An endpoint under load gets most of what its limit allows, and no request is refused while other
/// endpoints have free capacity.
#[test_case(1, Work::Spread, 1.0, 0.7; "one gateway")]
#[test_case(3, Work::Spread, 1.0, 0.7; "three")]
#[test_case(3, Work::AtOne, 2.5, 0.5; "three of which one has all the work")]
#[test_case(10, Work::Spread, 4.0, 0.7; "ten")]
#[test_case(10, Work::AtOne, 4.0, 0.5; "ten of which one has all the work")]
#[test_case(10, Work::Moves, 4.0, 0.5; "ten with work that moves")]
#[test_case(100, Work::Spread, 1.0, 0.7; "a hundred")]
#[test_case(100, Work::Spread, 10.0, 0.7; "a hundred, and a higher limit")]
#[test_case(100, Work::AtOne, 1.0, 0.5; "a hundred of which one has all the work")]
fn the_allowed_rate_is_used(gateways: usize, work: Work, limit: f64, share: f64) {
    let shape = Shape { gateways, work, pressure: 60.0, is_troubled: false };
    let mut fleet = Fleet::new(7, shape);
    fleet.names(0, Some(limit), ms(5_000));
    fleet.run();
    let seen = &fleet.seen;
    assert!(seen.breaches.is_empty(), "{:?}", seen.breaches);
    let got = seen.got / seen.allowed;
    println!("{gateways} gateways, {work:?}, {limit} a second: {got:.2} of it");
    assert!(got >= share && got <= 1.0, "{got}");
    assert_eq!(seen.refused, 0);
}
