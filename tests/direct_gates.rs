//! Messages to endpoints that were ordered before it was known that the endpoint wants none.

mod directenv;

use std::sync::Arc;

use directenv::{endpoint, ms};
use stackmast::direct::gates::Gates;
use stackmast::direct::published::model::Endpoint;
use stackmast::direct::statement::Asked;

const ALL: [Asked; 4] = [Asked::Request, Asked::Pieces, Asked::Report, Asked::Free];

fn open(gates: &Gates, endpoint: &Endpoint, at: u64) -> Vec<Asked> {
    ALL.into_iter().filter(|asked| gates.is_open(endpoint, *asked, ms(at))).collect()
}

#[test]
fn a_pause_holds_back_everything_until_its_end() {
    let (gates, paused) = (Gates::default(), endpoint("engine", 1));
    gates.close(paused.id.clone(), 0, Some(ms(3_000)), ms(0));
    gates.close(paused.id.clone(), 0, Some(ms(1_000)), ms(10));
    assert!(open(&gates, &paused, 2_999).is_empty(), "a shorter one does not end it");
    assert_eq!(open(&gates, &paused, 3_000), ALL);
    assert_eq!(open(&gates, &endpoint("engine", 2), 10), ALL, "others get theirs");
}

#[test]
fn who_leaves_gets_no_new_work_and_may_free_what_it_keeps() {
    let (gates, leaving) = (Gates::default(), endpoint("engine", 1));
    gates.close(leaving.id.clone(), 0, None, ms(0));
    gates.close(leaving.id.clone(), 0, Some(ms(1_000)), ms(0));
    assert!(open(&gates, &leaving, 999).is_empty());
    assert_eq!(open(&gates, &leaving, 20_000), [Asked::Free], "a pause that ends changes nothing");
}

#[test]
fn another_life_gets_everything() {
    let (gates, first) = (Gates::default(), endpoint("engine", 1));
    gates.close(first.id.clone(), 0, None, ms(0));
    let second = Arc::new(Endpoint { incarnation: 9, ..(*first).clone() });
    assert_eq!(open(&gates, &second, 1), ALL);
}
