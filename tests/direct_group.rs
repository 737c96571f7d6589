//! Groups of gateways in virtual time: what a gateway sends and how often the store is called do
//! not grow with the group, and changes and failures reach all gateways in time.
//!
//! `STACKMAST_GROUPS` sets the number of seeds of the random tests.

use std::time::Duration;

use stackmast_testbed::group::{Group, Shape};
use test_case::test_case;

/// Time until a group has settled after its start.
const START: Duration = Duration::from_secs(5);
/// Time within which each gateway learns of a failure.
const FAILURE_BOUND: Duration = Duration::from_secs(2);
/// Time within which a published change is in force.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Bytes per second that a gateway may send for control.
const CONTROL_BYTES: f64 = 7_000.0;
/// Number of seeds of a random test.
const SEEDS: u64 = 4;

fn seeds() -> std::ops::RangeInclusive<u64> {
    let count = std::env::var("STACKMAST_GROUPS").ok().and_then(|v| v.parse().ok());
    1..=count.unwrap_or(SEEDS)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn started(shape: &Shape) -> Group {
    let mut group = Group::new(shape);
    group.run_for(START);
    assert_eq!(group.ready(), shape.gateways, "all are ready");
    assert_eq!(group.missed(), 0, "all know each other");
    group.take_counts();
    group
}

/// Bytes per second that a gateway sends, and calls to the store per second, without any change.
fn quiet(gateways: usize) -> (f64, f64) {
    let mut group = started(&Shape::new(gateways, 1));
    let time = seconds(8);
    group.run_for(time);
    let counts = group.take_counts();
    assert_eq!(counts.false_failures, 0);
    let bytes = counts.bytes() as f64 / gateways as f64 / time.as_secs_f64();
    (bytes, counts.calls as f64 / time.as_secs_f64())
}

// 357 gateways that sent all members to eight others five times a second sent 271 KB/s each.
#[test]
fn heartbeats_and_calls_to_the_store_do_not_grow_with_the_group() {
    let (few_bytes, few_calls) = quiet(30);
    let (many_bytes, many_calls) = quiet(120);
    assert!(many_bytes <= CONTROL_BYTES, "{many_bytes} bytes a second");
    assert!(many_bytes <= few_bytes * 1.5, "{few_bytes} and {many_bytes} bytes a second");
    assert!(many_calls <= few_calls * 1.5, "{few_calls} and {many_calls} calls a second");
}

#[test]
fn a_change_reaches_all_gateways_and_costs_one_call_of_each_reader() {
    let mut group = started(&Shape::new(60, 2));
    let readers = group.readers().len();
    assert!((2..=12).contains(&readers), "two in each of six data centres: {readers}");
    let begun = group.now();
    let version = group.publish_configuration();
    group.run_for(CHANGE_BOUND);
    let reached = group.configured_at(version).expect("it is in force everywhere");
    assert!(reached - begun <= CHANGE_BOUND);
}

#[test_case(false; "killed")]
#[test_case(true; "cut off")]
fn a_failure_is_known_to_all_in_time(is_cut: bool) {
    for seed in seeds() {
        let mut group = started(&Shape::new(60, seed));
        let (failed, begun) = (seed as usize * 7 % 60, group.now());
        if is_cut {
            group.cut(failed);
        } else {
            group.kill(failed);
        }
        group.run_for(seconds(4));
        let known = group.down_at(failed).unwrap_or_else(|| panic!("seed {seed}: not known"));
        let took = known.saturating_sub(begun);
        assert!(took <= FAILURE_BOUND, "seed {seed}: after {took:?}");
        assert_eq!(group.counts().false_failures, 0, "seed {seed}");
    }
}

// Hosts with a small share of a core stand still now and then; that is no failure.
#[test]
fn a_host_that_stalls_is_not_considered_down() {
    for seed in seeds() {
        let longest_stall = Duration::from_millis(400);
        let mut group = Group::new(&Shape { longest_stall, ..Shape::new(40, seed) });
        group.run_for(START);
        group.take_counts();
        group.run_for(seconds(10));
        assert_eq!(group.counts().false_failures, 0, "seed {seed}");
    }
}

// All monitors of a gateway but one are in its data centre.
#[test]
fn the_loss_of_a_data_centre_is_known_to_all() {
    let mut group = started(&Shape::new(42, 3));
    let lost: Vec<usize> = (0..42).filter(|host| host % 6 == 2).collect();
    let begun = group.now();
    lost.iter().for_each(|host| group.cut(*host));
    group.run_for(seconds(6));
    for host in lost {
        let took = group.down_at(host).expect("it is known") - begun;
        assert!(took <= seconds(4), "{host} after {took:?}");
    }
    assert_eq!(group.counts().false_failures, 0);
}

#[test]
fn both_sides_of_a_partition_find_each_other_again() {
    for seed in seeds() {
        let mut group = started(&Shape::new(30, seed));
        group.set_partition(Some(10));
        group.run_for(seconds(12));
        let apart = 2 * 10 * 20;
        assert_eq!(group.missed(), apart, "seed {seed}: each side considers the other down");
        group.set_partition(None);
        group.run_for(seconds(6));
        assert_eq!(group.missed(), 0, "seed {seed}");
    }
}

#[test]
fn a_whole_group_that_was_killed_starts_again() {
    let mut group = started(&Shape::new(60, 4));
    (0..60).for_each(|host| group.kill(host));
    group.run_for(Duration::from_millis(100));
    (0..60).for_each(|host| group.start_within(host, Duration::from_millis(300)));
    group.run_for(seconds(4));
    assert_eq!((group.ready(), group.missed()), (60, 0));
}

// Readers that the store rejects are replaced by others of their data centre.
#[test]
fn a_change_arrives_though_the_store_rejects_all_readers() {
    for seed in seeds() {
        let mut group = started(&Shape::new(40, seed));
        for reader in group.readers() {
            group.set_rejected(reader, true);
        }
        let begun = group.now();
        let version = group.publish_configuration();
        group.run_for(seconds(10));
        let reached = group.configured_at(version).unwrap_or_else(|| panic!("seed {seed}"));
        assert!(reached - begun <= seconds(6), "seed {seed}: {:?}", reached - begun);
    }
}

// One gateway that the store serves is enough for all.
#[test]
fn a_change_arrives_though_the_store_serves_one_gateway_only() {
    for seed in seeds() {
        let mut group = started(&Shape::new(30, seed));
        (0..30).filter(|host| *host != 17).for_each(|host| group.set_rejected(host, true));
        let version = group.publish_configuration();
        group.run_for(seconds(15));
        assert!(group.configured_at(version).is_some(), "seed {seed}");
    }
}

// While the store rejects all, the calls of each gateway must not add up.
#[test]
fn an_outage_of_the_store_costs_no_more_calls_in_a_larger_group() {
    let calls = |gateways: usize| {
        let mut group = started(&Shape::new(gateways, 5));
        (0..gateways).for_each(|host| group.set_rejected(host, true));
        group.run_for(seconds(15));
        group.take_counts().calls as f64
    };
    let (few, many) = (calls(30), calls(120));
    assert!(many <= few * 2.0, "{few} and {many} calls");
}

#[test]
fn few_bytes_go_between_regions() {
    let shape = Shape { regions: 3, data_centres: 2, ..Shape::new(24, 6) };
    let mut group = started(&shape);
    let time = seconds(10);
    for _ in 0..20 {
        group.publish_endpoint();
        group.run_for(time / 20);
    }
    let [.., between_regions] = group.counts().by_distance;
    let per_second = between_regions as f64 / time.as_secs_f64();
    // 0.006 GB in a day of about 60 s.
    assert!(per_second <= 100_000.0, "{per_second} bytes a second between regions");
}
