//! What an owner records of its endpoints after other owners were lost.

mod directenv;

use std::time::Duration;

use directenv::{endpoints, ms, table};
use stackmast::direct::owner::producers::Producers;

const CAPACITY: u64 = 1_000;
/// Retention of the pools in `directenv`: results are kept for 4 s after calls of 0.28 s.
const RETENTION: Duration = Duration::from_millis(4_280);

fn producers() -> Producers {
    let mut producers = Producers::default();
    producers.set_retention(&table(Vec::new()));
    producers
}

#[test]
fn memory_of_lost_owners_is_free_after_the_published_retention() {
    let mut producers = producers();
    producers.reported(&"m".into(), CAPACITY, 200, ms(0));
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(0)), 200);
    assert!(producers.free_bytes("m", CAPACITY, RETENTION - ms(100)) < CAPACITY);
    assert_eq!(producers.free_bytes("m", CAPACITY, RETENTION), CAPACITY);
}

#[test]
fn a_report_that_finds_results_again_does_not_prolong_them() {
    let mut producers = producers();
    let endpoint = "m".into();
    producers.reported(&endpoint, CAPACITY, 200, ms(0));
    producers.reported(&endpoint, CAPACITY, 200, ms(3_000));
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(3_000)), 200, "the report holds now");
    assert_eq!(producers.free_bytes("m", CAPACITY, RETENTION), CAPACITY);
}

#[test]
fn results_that_a_later_report_finds_in_addition_last_longer() {
    let mut producers = producers();
    let endpoint = "m".into();
    producers.reported(&endpoint, CAPACITY, 700, ms(0));
    producers.reported(&endpoint, CAPACITY, 200, ms(3_000));
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(3_000)), 200);
    let free = producers.free_bytes("m", CAPACITY, RETENTION);
    assert!((500..CAPACITY).contains(&free), "{free}: only the later ones are left");
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(3_000) + RETENTION), CAPACITY);
}

#[test]
fn a_report_of_free_memory_ends_what_was_assumed() {
    let mut producers = producers();
    let endpoint = "m".into();
    producers.no_result_memory(&endpoint, CAPACITY, ms(0));
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(0)), 0);
    producers.reported(&endpoint, CAPACITY, CAPACITY, ms(100));
    assert_eq!(producers.free_bytes("m", CAPACITY, ms(100)), CAPACITY);
}

/// Several owners start at once after all gateways were lost: each refused call counts against the
/// repeat budget, so an endpoint that is full is not called again at once.
#[test]
fn an_endpoint_that_was_full_is_not_called_while_its_call_probably_runs() {
    let mut producers = producers();
    let id = endpoints()[0].id.clone();
    let call = ms(280);
    producers.full(&id, call, ms(0));
    assert_eq!(producers.get(&id).blocked_until, call / 2);
}

// An endpoint that lacks memory again and again, without any report in between.
#[test]
fn what_was_assumed_of_unknown_owners_is_dropped_once_it_has_expired() {
    let mut producers = producers();
    for number in 0..100 {
        producers.no_result_memory(&"m".into(), 10, RETENTION * number);
    }
    let kept = format!("{:?}", producers.get("m")).matches("Expiring").count();
    assert_eq!(kept, 1);
}
