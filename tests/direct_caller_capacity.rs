//! Which connections of callers give way when the budget of a process is used up, and that all parts of
//! the budget are returned.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use stackmast::direct::caller_capacity::{CallerCapacity, CallerLedger, ConnectionId, Denied};

const BUFFER: usize = 20 << 10;
/// Bytes of the budget in most tests.
const BYTES: usize = 4 << 20;

fn ledger(bytes: usize, connections: usize) -> CallerLedger {
    CallerLedger::new(CallerCapacity { bytes, connections })
}

/// Opens a connection over which the head of a request was received.
fn request(ledger: &mut CallerLedger, now: Instant) -> ConnectionId {
    let id = ledger.open(BUFFER, now).expect("a place");
    ledger.begin(id, now).expect("room for the head");
    id
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn connection_that_has_rested_longest_gives_way_first() {
    let (mut ledger, start) = (ledger(BYTES, 3), Instant::now());
    let receiving = request(&mut ledger, start);
    let rested = ledger.open(BUFFER, start + seconds(1)).expect("a place");
    let recent = ledger.open(BUFFER, start + seconds(2)).expect("a place");
    let now = start + seconds(3);
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(rested)));
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(recent)), "one after the other");
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(receiving)));
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Finally));
    ledger.close(recent);
    assert!(ledger.open(BUFFER, now).is_ok());
}

#[test]
fn request_that_was_received_does_not_give_way() {
    let (mut ledger, now) = (ledger(BYTES, 1), Instant::now());
    let id = request(&mut ledger, now);
    assert!(ledger.answer(id), "it may run");
    assert_eq!(ledger.open(BUFFER, now + seconds(60)), Err(Denied::Finally));
    ledger.finish(id, now);
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(id)), "it rests after its answer");
}

/// Guards against a request that runs and whose connection is then closed without its answer.
#[test]
fn request_of_a_connection_that_gives_way_does_not_run() {
    let (mut ledger, now) = (ledger(BYTES, 2), Instant::now());
    let rested = ledger.open(BUFFER, now).expect("a place");
    let receiving = request(&mut ledger, now);
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(rested)));
    assert_eq!(ledger.open(BUFFER, now), Err(Denied::Until(receiving)));
    assert_eq!(ledger.begin(rested, now), Err(Denied::Finally));
    assert!(!ledger.answer(receiving));
}

#[test]
fn body_gives_way_only_after_its_time() {
    let (mut ledger, start) = (ledger(BYTES, 100), Instant::now());
    let first = request(&mut ledger, start);
    ledger.hold(first, 0, BYTES / 2, start).expect("room");
    let second = request(&mut ledger, start);
    let body = BYTES / 4;
    let soon = start + seconds(1) / 2;
    assert_eq!(ledger.hold(second, 0, body, soon), Err(Denied::Finally), "it is still received");
    let later = start + seconds(1);
    assert_eq!(ledger.hold(second, 0, body, later), Err(Denied::Until(first)));
    ledger.release(BYTES / 2);
    ledger.close(first);
    assert_eq!(ledger.hold(second, 0, body, later), Ok(()));
}

#[test]
fn body_that_is_received_for_longest_makes_no_other_give_way() {
    let (mut ledger, start) = (ledger(BYTES, 100), Instant::now());
    let slow = request(&mut ledger, start);
    ledger.hold(slow, 0, BYTES / 4, start).expect("room");
    let other = request(&mut ledger, start + seconds(5));
    ledger.hold(other, 0, BYTES / 4, start + seconds(5)).expect("room");
    let denied = ledger.hold(slow, BYTES / 4, BYTES, start + seconds(9));
    assert_eq!(denied, Err(Denied::Finally));
}

#[test]
fn long_bodies_leave_room_for_short_ones_and_connections() {
    let (mut ledger, now) = (ledger(64 << 20, usize::MAX), Instant::now());
    while let Ok(id) = ledger.open(BUFFER, now) {
        if ledger.begin(id, now).is_err() || ledger.hold(id, 0, 1 << 20, now).is_err() {
            break;
        }
        ledger.answer(id);
    }
    let id = request(&mut ledger, now);
    assert_eq!(ledger.hold(id, 0, 4 << 10, now), Ok(()));
}

#[test]
fn body_alone_may_have_the_stated_length() {
    let capacity = CallerCapacity { bytes: BYTES, connections: 1 };
    let (mut ledger, now) = (CallerLedger::new(capacity), Instant::now());
    let id = request(&mut ledger, now);
    assert_eq!(ledger.hold(id, 0, capacity.longest_body() + 4, now), Err(Denied::Finally));
    assert_eq!(ledger.hold(id, 0, capacity.longest_body(), now), Ok(()));
}

/// Guards against callers whose connections are closed unread while there is room for a refusal.
#[test]
fn requests_leave_room_for_refusals() {
    let (mut ledger, now) = (ledger(BYTES, usize::MAX), Instant::now());
    loop {
        let id = ledger.open(BUFFER, now).expect("room for a connection");
        if ledger.begin(id, now).is_err() {
            break;
        }
        assert!(ledger.answer(id));
    }
    assert!(ledger.open(BUFFER, now).is_ok());
}

/// A step of one of the connections.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Begin,
    Hold(usize),
    Refuse,
    Answer,
    Finish,
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        Just(Step::Begin),
        (0..BYTES).prop_map(Step::Hold),
        Just(Step::Refuse),
        Just(Step::Answer),
        Just(Step::Finish),
        Just(Step::Close),
    ]
}

/// A connection, whether it is in a request, and what its body holds.
type Open = (ConnectionId, bool, usize);

fn apply(ledger: &mut CallerLedger, open: &mut Vec<Open>, step: Step, which: usize, now: Instant) {
    if matches!(step, Step::Open) {
        open.extend(ledger.open(BUFFER, now).ok().map(|id| (id, false, 0)));
        return;
    }
    if open.is_empty() {
        return;
    }
    let index = which % open.len();
    let (id, in_request, held) = &mut open[index];
    match step {
        Step::Begin if !*in_request => *in_request = ledger.begin(*id, now).is_ok(),
        Step::Hold(bytes) if *in_request && bytes > *held => {
            let is_granted = ledger.hold(*id, *held, bytes, now).is_ok();
            *held = if is_granted { bytes } else { *held };
        }
        Step::Refuse if *in_request => {
            ledger.release(std::mem::take(held));
            ledger.refuse(*id);
        }
        Step::Answer if *in_request => {
            ledger.answer(*id);
        }
        Step::Finish if *in_request => {
            ledger.release(std::mem::take(held));
            ledger.finish(*id, now);
            *in_request = false;
        }
        Step::Close => {
            ledger.release(std::mem::take(held));
            ledger.close(*id);
            open.remove(index);
        }
        _ => {}
    }
}

proptest! {
    /// The budget is never exceeded, and all of it is returned.
    #[test]
    fn budget_is_kept_and_returned(
        steps in prop::collection::vec((step(), 0..64_usize, 0..2_000_u64), 1..400),
    ) {
        let capacity = CallerCapacity { bytes: BYTES, connections: 20 };
        let (mut ledger, mut now) = (CallerLedger::new(capacity), Instant::now());
        let mut open = Vec::new();
        for (step, which, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            apply(&mut ledger, &mut open, step, which, now);
            prop_assert!(ledger.bytes() <= capacity.bytes);
            prop_assert!(ledger.connections() <= capacity.connections);
            prop_assert_eq!(ledger.connections(), open.len());
        }
        for (id, _, held) in open {
            ledger.release(held);
            ledger.close(id);
        }
        prop_assert_eq!((ledger.connections(), ledger.bytes()), (0, 0));
        prop_assert!(ledger.open(BUFFER, now).is_ok());
    }
}
