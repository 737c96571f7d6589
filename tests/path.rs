//! Admission over a graph of stages: time, result memory over time, priorities.

use std::sync::Arc;
use std::time::Duration;

use stackmast::policy::path::{PathRefusal, Reserved, StageLoad, admit_path};
use stackmast::policy::timeline::Timeline;
use test_case::test_case;

const OBJECTIVE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_millis(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A stage of 300 ms in an idle pool with 100 bytes of result memory, of which it needs 10.
fn stage(after: &[usize]) -> StageLoad {
    StageLoad {
        after: after.to_vec(),
        is_done: false,
        slots: 2.0,
        backlog: Duration::ZERO,
        slot_share: 1.0,
        usual_wait: Duration::ZERO,
        call: ms(300),
        full_call: ms(300),
        result_memory: 100.0,
        memory_in_use: Arc::default(),
        required_memory: 10.0,
        urgent_memory_rate: 0.0,
        reserved: Reserved::default(),
    }
}

fn taken(from: u64, until: u64, amount: f64) -> Arc<Timeline> {
    let mut timeline = Timeline::default();
    timeline.add(ms(from), ms(until), amount);
    Arc::new(timeline)
}

#[test]
fn the_predicted_time_of_a_chain_is_the_sum_of_its_stages() {
    let stages = [stage(&[]), stage(&[0]), stage(&[])];
    let decision = admit_path(&stages, AFTER, OBJECTIVE);
    assert_eq!((decision.refusal, decision.predicted), (None, ms(700)));
}

#[test]
fn a_late_request_is_refused_with_the_excess_as_retry_time() {
    let mut late = stage(&[]);
    late.backlog = ms(5_000);
    let decision = admit_path(&[late], AFTER, OBJECTIVE);
    assert_eq!(decision.refusal, Some(PathRefusal::WouldBeLate));
    assert_eq!(decision.retry_after, decision.predicted - OBJECTIVE);
}

#[test_case(0, 400, None; "freed before the second stage begins")]
#[test_case(0, 900, Some(PathRefusal::InsufficientMemory); "still taken when it begins")]
#[test_case(350, 900, Some(PathRefusal::InsufficientMemory); "taken while it runs")]
#[test_case(1_500, 2_500, None; "taken after it has ended")]
fn memory_counts_at_the_time_when_a_stage_needs_it(
    from: u64,
    until: u64,
    refusal: Option<PathRefusal>,
) {
    let mut second = stage(&[0]);
    second.memory_in_use = taken(from, until, 65.0);
    let decision = admit_path(&[stage(&[]), second], AFTER, OBJECTIVE);
    assert_eq!(decision.refusal, refusal);
    assert!(decision.retry_after >= ms(100));
}

#[test]
fn a_request_above_the_planned_share_fits_an_empty_pool() {
    let mut large = stage(&[]);
    large.required_memory = 95.0;
    assert_eq!(admit_path(&[large], AFTER, OBJECTIVE).refusal, None);
}

#[test]
fn an_independent_stage_needs_its_memory_only_when_the_others_end() {
    let mut alone = stage(&[]);
    alone.memory_in_use = taken(0, 180, 95.0);
    let decision = admit_path(&[stage(&[]), stage(&[0]), alone.clone()], AFTER, OBJECTIVE);
    assert_eq!((decision.refusal, decision.predicted), (None, ms(700)));
    let decision = admit_path(&[alone], AFTER, OBJECTIVE);
    assert_eq!(
        decision.refusal,
        Some(PathRefusal::InsufficientMemory),
        "with nothing to wait for, it begins"
    );
}

#[test_case(700, 700; "when memory is free")]
#[test_case(120, 150; "not before a useful retry time")]
fn a_refusal_for_memory_has_the_time_at_which_some_is_free(until: u64, retry_after: u64) {
    let mut full = stage(&[]);
    full.memory_in_use = taken(0, until, 95.0);
    let decision = admit_path(&[full], AFTER, OBJECTIVE);
    assert_eq!(decision.refusal, Some(PathRefusal::InsufficientMemory));
    assert!(decision.retry_after >= ms(retry_after), "{:?}", decision.retry_after);
    assert!(decision.retry_after <= ms(retry_after + 50), "{:?}", decision.retry_after);
}

#[test]
fn a_refusal_for_memory_names_the_stage() {
    let mut full = stage(&[0]);
    full.memory_in_use = taken(0, 5_000, 95.0);
    let decision = admit_path(&[stage(&[]), full, stage(&[1])], AFTER, OBJECTIVE);
    assert_eq!((decision.refusal, decision.bottleneck), (Some(PathRefusal::InsufficientMemory), 1));
}

// While more urgent callers arrive, the less urgent are refused in time to leave them memory and
// slots; without such arrivals the same load admits them.
#[test]
fn less_urgent_requests_leave_memory_and_time_to_more_urgent_arrivals() {
    let mut filled = stage(&[]);
    filled.memory_in_use = taken(0, 2_000, 50.0);
    let filled_and_urgent = StageLoad { urgent_memory_rate: 100.0, ..filled.clone() };
    let mut busy = stage(&[]);
    busy.backlog = ms(2_900);
    let busy_and_urgent = StageLoad { slot_share: 0.6, ..busy.clone() };
    for (load, with_urgent) in [(filled, filled_and_urgent), (busy, busy_and_urgent)] {
        let refusal = |load| admit_path(&[load], AFTER, OBJECTIVE).refusal;
        assert_eq!(refusal(load), None);
        assert!(refusal(with_urgent).is_some());
    }
}

// However many more urgent callers arrive, the least urgent keep a share of a pool.
#[test]
fn a_flood_of_more_urgent_requests_leaves_a_share_to_the_others() {
    let mut flooded = stage(&[]);
    (flooded.slot_share, flooded.urgent_memory_rate) = (0.0, 10_000.0);
    flooded.memory_in_use = taken(0, 2_000, 0.1);
    flooded.required_memory = 8.0;
    flooded.backlog = ms(300);
    let decision = admit_path(&[flooded], AFTER, OBJECTIVE);
    assert_eq!((decision.refusal, decision.predicted), (None, ms(1_600)));
}

// A burst of pieces in the last pool: it works on them while the new request is in earlier stages.
#[test_case(1_000, 300 + 300 + 300; "served before the request reaches the pool")]
#[test_case(2_000, 300 + 300 + 400 + 400; "served partly, and the call is full")]
fn a_backlog_in_a_later_pool_counts_from_now_on(backlog: u64, until_done: u64) {
    let mut last = stage(&[1]);
    (last.backlog, last.full_call) = (ms(backlog), ms(400));
    let decision = admit_path(&[stage(&[]), stage(&[0]), last], AFTER, OBJECTIVE);
    assert_eq!(decision.predicted, ms(until_done) + AFTER);
}

// More urgent requests that arrive later reach the last pool later, too: they get ahead only while
// the request waits there.
#[test_case(1_000, 300 + 300 + 300; "no wait, so nothing gets ahead")]
#[test_case(2_000, 300 + 300 + 800 + 400; "the rest of the backlog takes twice as long")]
fn more_urgent_arrivals_get_ahead_only_during_the_wait(backlog: u64, until_done: u64) {
    let mut last = stage(&[1]);
    (last.backlog, last.full_call, last.slot_share) = (ms(backlog), ms(400), 0.5);
    let decision = admit_path(&[stage(&[]), stage(&[0]), last], AFTER, OBJECTIVE);
    assert_eq!(decision.predicted, ms(until_done) + AFTER);
}

#[test]
fn a_pool_without_endpoints_refuses_all_requests() {
    let mut empty = stage(&[]);
    empty.slots = 0.0;
    let refusal = admit_path(&[empty], AFTER, OBJECTIVE).refusal;
    assert_eq!(refusal, Some(PathRefusal::NoEndpoint));
}

#[test]
fn the_earliest_time_is_in_the_first_sufficient_gap() {
    let mut timeline = Timeline::default();
    timeline.add(ms(0), ms(200), 8.0);
    timeline.add(ms(300), ms(1_000), 8.0);
    assert_eq!(timeline.earliest_fit(ms(0), ms(100), 5.0, 10.0), Some(ms(200)));
    assert_eq!(timeline.earliest_fit(ms(0), ms(200), 5.0, 10.0), Some(ms(1_000)));
    assert_eq!(timeline.earliest_fit(ms(0), ms(200), 2.0, 10.0), Some(ms(0)));
    assert_eq!(timeline.earliest_fit(ms(0), ms(200), 11.0, 10.0), None);
    assert!((timeline.peak(ms(200), ms(100)) - 0.0).abs() < f64::EPSILON);
}
