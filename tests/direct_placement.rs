//! Where pieces run under load: near the consumer of their results, or in another data centre.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::{batch, deployment, endpoint, job, ms, route};
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::event::Action;
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::owner::placement::{AwayReason, away_reason, expected_wait};
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::Job;
use stackmast::direct::published::model::{BatchSpec, Endpoint, Pool, Repeat, Route, Work};
use stackmast::direct::published::regions::AllowedRegions;
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use test_case::test_case;

/// Size of a result for which its data centre matters.
const HEAVY: u64 = 400_000;

/// A call takes 240 ms and 10 ms a piece, and holds four pieces.
fn spec() -> BatchSpec {
    match batch(4, 50_000_000) {
        Work::Batch(spec) => spec,
        other => panic!("not a batch pool: {other:?}"),
    }
}

// A burst that fills the calls of one data centre while another has free endpoints. Times are in
// milliseconds from now; the latest start is that of a request with 150 ms, 500 ms or 2 s to spare.
#[test_case(Some(0), Some(0), None; "an endpoint nearby is free")]
#[test_case(Some(100), Some(500), None; "in time with the next call nearby")]
#[test_case(Some(100), Some(120), Some(AwayReason::Late); "in time only without the others in the call")]
#[test_case(Some(200), Some(150), Some(AwayReason::Late); "late nearby")]
#[test_case(Some(300), Some(2_000), Some(AwayReason::LongWait); "longer than a call")]
#[test_case(Some(200), None, None; "late in any case")]
#[test_case(Some(300), None, Some(AwayReason::LongWait); "late in any case, and longer than a call")]
#[test_case(None, Some(2_000), Some(AwayReason::NoEndpoint); "no endpoint nearby")]
fn a_piece_waits_while_its_request_stays_in_time(
    near_start: Option<u64>,
    latest_start: Option<u64>,
    expected: Option<AwayReason>,
) {
    let now = ms(10_000);
    let at = |after: u64| now + ms(after);
    let reason = away_reason(near_start.map(at), latest_start.map(at), &spec(), now);
    assert_eq!(reason, expected);
}

/// Endpoints of the pools "first" and "second" in each data centre "hall-0", "hall-1".
fn table(route: &Route, memory: u64, per_data_centre: u16) -> Table {
    let mut deployment = deployment(1, vec![route.clone()]);
    let sized = |pool: Pool| match &*pool.name {
        "engine" => pool,
        _ => Pool { work: batch(4, memory), ..pool },
    };
    deployment.pools = deployment.pools.into_iter().map(sized).collect();
    let numbers = 1..=2 * per_data_centre;
    let endpoints: Vec<Arc<Endpoint>> =
        numbers.flat_map(|n| ["first", "second"].map(|pool| endpoint(pool, n))).collect();
    Table::new(Arc::new(deployment), endpoints.iter())
}

/// The table with only the endpoints of "first", each in a region of its data centre.
fn regional(table: &Table) -> Table {
    let regional = table.pool_endpoints("first").iter().map(|endpoint| {
        let mut endpoint = Endpoint::clone(endpoint);
        let region = format!("of-{}", endpoint.data_centre);
        endpoint.labels.insert("region".to_owned(), region);
        Arc::new(endpoint)
    });
    let regional: Vec<_> = regional.collect();
    table.with_deployment(table.deployment.clone(), regional.iter())
}

fn scheduler() -> Scheduler {
    Scheduler::new(RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) })
}

/// A job with `pieces` pieces whose results are needed in "hall-1".
fn job_with(number: u64, route: &Route, pieces: usize, objective: u64) -> Job {
    Job { to_objective: ms(objective), ..job(number, route, pieces) }
}

/// Number, endpoint and requests of each call, and the pieces away from their data centre.
fn sent(scheduler: &mut Scheduler, table: &Table, now: u64) -> Vec<(u64, String, usize)> {
    let actions = scheduler.actions(table, ms(now));
    let sent = actions.iter().filter_map(|action| match action {
        Action::Log(LogEvent::BatchSent { call, data_centre, away, .. }) => {
            Some((*call, data_centre.to_string(), away.values().sum()))
        }
        _ => None,
    });
    sent.collect()
}

fn end(scheduler: &mut Scheduler, table: &Table, call: u64, pieces: usize, now: u64) {
    let made = (0..pieces).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
    scheduler.batch_ended(call, BatchOutcome::Pieces(made.collect()), table, ms(now));
}

// Requests with a tight objective in a burst: 580 ms for a path of 380 ms.
#[test]
fn a_piece_waits_for_a_call_that_ends_soon_and_not_for_one_that_has_just_begun() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 580), &table, ms(0));
    assert_eq!(sent(&mut scheduler, &table, 0), [(1, "hall-1".to_owned(), 0)]);
    scheduler.submit(job_with(2, &route, 4, 580), &table, ms(150));
    assert!(sent(&mut scheduler, &table, 150).is_empty(), "waits 130 ms of 200");
    end(&mut scheduler, &table, 1, 4, 280);
    assert_eq!(sent(&mut scheduler, &table, 280), [(2, "hall-1".to_owned(), 0)]);
    scheduler.submit(job_with(3, &route, 4, 580), &table, ms(300));
    assert_eq!(
        sent(&mut scheduler, &table, 300),
        [(3, "hall-0".to_owned(), 4)],
        "260 ms would be late"
    );
}

// A slow endpoint: its call should have ended, and no other endpoint nearby is in use.
#[test]
fn a_piece_does_not_wait_for_a_call_that_is_overdue() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    sent(&mut scheduler, &table, 0);
    scheduler.submit(job_with(2, &route, 4, 2_000), &table, ms(200));
    assert!(sent(&mut scheduler, &table, 200).is_empty(), "the call ends in 80 ms");
    scheduler.run_timers(&table, ms(340));
    assert_eq!(sent(&mut scheduler, &table, 340), [(2, "hall-0".to_owned(), 4)]);
}

// The call nearby should have ended 5 ms ago: its endpoint is not free yet, and a piece with 20 ms
// to spare takes the free one elsewhere.
#[test]
fn an_endpoint_whose_call_is_overdue_does_not_count_as_free() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    sent(&mut scheduler, &table, 0);
    let tight = Job { resubmitted: true, ..job_with(2, &route, 4, 400) };
    scheduler.submit(tight, &table, ms(285));
    assert_eq!(sent(&mut scheduler, &table, 285), [(2, "hall-0".to_owned(), 4)]);
}

// Two jobs wait for the end of a call nearby, and their latest start passes. An endpoint elsewhere
// is free meanwhile, so that capacity is not what they lack.
#[test]
fn a_job_is_not_rejected_while_an_endpoint_is_free() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    let both = Job { resubmitted: true, ..job_with(1, &route, 8, 400) };
    scheduler.submit(both, &table, ms(0));
    assert_eq!(sent(&mut scheduler, &table, 0).len(), 2, "both endpoints are busy");
    scheduler.submit(job_with(2, &route, 2, 440), &table, ms(150));
    let other = Job { resubmitted: true, ..job_with(3, &route, 2, 440) };
    scheduler.submit(other, &table, ms(150));
    for now in (150..=225).step_by(25) {
        scheduler.run_timers(&table, ms(now));
        assert!(sent(&mut scheduler, &table, now).is_empty());
    }
    end(&mut scheduler, &table, 2, 4, 240);
    assert!(sent(&mut scheduler, &table, 240).is_empty(), "the call nearby ends in 40 ms");
    for now in [250, 275] {
        scheduler.run_timers(&table, ms(now));
        sent(&mut scheduler, &table, now);
        assert!(scheduler.has(&directenv::job_id(2)), "rejected at {now} ms");
    }
}

// Large results fill the memory of the endpoints nearby: a free slot there is of no use.
#[test]
fn a_piece_does_not_wait_for_result_memory_that_is_freed_too_late() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 4 * HEAVY, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    sent(&mut scheduler, &table, 0);
    end(&mut scheduler, &table, 1, 4, 280);
    sent(&mut scheduler, &table, 280);
    let tight = Job { resubmitted: true, ..job_with(2, &route, 4, 600) };
    scheduler.submit(tight, &table, ms(300));
    assert_eq!(sent(&mut scheduler, &table, 300), [(2, "hall-0".to_owned(), 4)]);
}

// Jobs with paths of different pools in a row, all from callers of one data centre: the load of
// each pool counts by its time, and the jobs alternate between the data centres.
#[test]
fn paths_that_exchange_much_are_spread_evenly_and_stay_in_one_data_centre() {
    let stages: &[(&str, &[usize], u64)] = &[("first", &[], HEAVY), ("second", &[0], HEAVY)];
    let route = route("r", Repeat::AtMostOnce, stages);
    let table = table(&route, 50_000_000, 2);
    let mut scheduler = scheduler();
    for number in 1..=4 {
        scheduler.submit(job_with(number, &route, 4, 2_000), &table, ms(0));
    }
    let mut used: Vec<(usize, String)> = Vec::new();
    for now in [0, 280] {
        let open = sent(&mut scheduler, &table, now);
        assert!(open.iter().all(|(_, _, away)| *away == 0), "{open:?}");
        for (call, data_centre, _) in open {
            used.push((now as usize, data_centre));
            end(&mut scheduler, &table, call, 4, now + 280);
        }
    }
    used.sort();
    let each = |now: usize| ["hall-0", "hall-0", "hall-1", "hall-1"].map(|dc| (now, dc.to_owned()));
    assert_eq!(used, [each(0), each(280)].concat());
}

#[test_case(88, 5, 88, 56; "one call of five endpoints")]
#[test_case(104, 1, 52, 560; "two calls of one endpoint")]
fn the_expected_wait_is_the_time_of_the_work(
    pieces: usize,
    endpoints: usize,
    per_call: usize,
    expected_ms: u64,
) {
    let piece_time = Duration::from_micros(130_000 / per_call as u64);
    let spec = BatchSpec { pieces: per_call, call_overhead: ms(150), piece_time, ..spec() };
    let wait = expected_wait(pieces, endpoints, &spec);
    assert!(wait.abs_diff(ms(expected_ms)) < ms(1), "{wait:?}");
}

// The preferred data centre loses its endpoints while a queue waits for them.
#[test]
fn pieces_of_a_lost_data_centre_run_elsewhere_at_once() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    sent(&mut scheduler, &table, 0);
    scheduler.submit(job_with(2, &route, 4, 2_000), &table, ms(20));
    assert!(sent(&mut scheduler, &table, 20).is_empty(), "waits for the call in flight");
    let rest: Vec<_> = table
        .pool_endpoints("first")
        .iter()
        .chain(table.pool_endpoints("second"))
        .filter(|endpoint| &*endpoint.data_centre != "hall-1")
        .cloned()
        .collect();
    let table = table.with_deployment(table.deployment.clone(), rest.iter());
    scheduler.table_changed(&table);
    assert_eq!(sent(&mut scheduler, &table, 30), [(2, "hall-0".to_owned(), 4)]);
}

// Many callers of one data centre at once, with a queue of several calls' worth: the other data
// centre helps from the first call on, and calls are full.
#[test]
fn a_queue_that_the_next_calls_nearby_do_not_hold_fills_calls_elsewhere() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    for number in 1..=8 {
        scheduler.submit(job_with(number, &route, 2, 2_000), &table, ms(0));
    }
    let actions = scheduler.actions(&table, ms(0));
    let sizes = actions.iter().filter_map(|action| match action {
        Action::CallBatch { endpoint, pieces, .. } => {
            Some((endpoint.data_centre.to_string(), pieces.len()))
        }
        _ => None,
    });
    let mut sizes: Vec<_> = sizes.collect();
    sizes.sort();
    assert_eq!(sizes, [("hall-0".to_owned(), 4), ("hall-1".to_owned(), 4)]);
}

// A request that must stay in a region in which its preferred data centre does not lie.
#[test]
fn a_piece_that_may_not_run_nearby_runs_elsewhere() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = regional(&table(&route, 50_000_000, 1));
    let mut scheduler = scheduler();
    let allowed_regions = AllowedRegions::of(&["of-hall-0".into()], &[]);
    let barred = Job { allowed_regions, ..job_with(1, &route, 4, 2_000) };
    scheduler.submit(barred, &table, ms(0));
    assert_eq!(sent(&mut scheduler, &table, 0), [(1, "hall-0".to_owned(), 4)]);
}

// Results that nothing fetches keep the memory nearby full, and the request is late already.
#[test]
fn a_late_piece_does_not_wait_for_result_memory() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 4 * HEAVY, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    sent(&mut scheduler, &table, 0);
    end(&mut scheduler, &table, 1, 4, 280);
    sent(&mut scheduler, &table, 280);
    let late = Job { resubmitted: true, ..job_with(2, &route, 4, 100) };
    scheduler.submit(late, &table, ms(300));
    assert_eq!(sent(&mut scheduler, &table, 300), [(2, "hall-0".to_owned(), 4)]);
}

// The requests must not run in the region of their data centre, and wait for the only endpoint
// elsewhere: a call examines as many of them as two calls hold, and the jobs that changed.
#[test]
fn a_call_does_not_examine_all_stages_that_may_not_run_nearby() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = regional(&table(&route, 50_000_000, 1));
    let mut scheduler = scheduler();
    let allowed_regions = AllowedRegions::of(&["of-hall-0".into()], &[]);
    for number in 1..=100 {
        let allowed_regions = allowed_regions.clone();
        let resubmitted = true;
        let job = job_with(number, &route, 4, 2_000);
        scheduler.submit(Job { allowed_regions, resubmitted, ..job }, &table, ms(0));
    }
    assert_eq!(sent(&mut scheduler, &table, 0), [(1, "hall-0".to_owned(), 4)]);
    end(&mut scheduler, &table, 1, 4, 280);
    let before = scheduler.examined();
    assert_eq!(sent(&mut scheduler, &table, 280).len(), 1);
    assert!(scheduler.examined() - before <= 8, "{}", scheduler.examined() - before);
}

// Two data centres with a queue each: the longer one doesn't displace pieces of the other, and its
// last pieces fill the call there.
#[test]
fn pieces_with_a_long_wait_use_only_what_others_leave_of_a_call_elsewhere() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], HEAVY)]);
    let table = table(&route, 50_000_000, 1);
    let mut scheduler = scheduler();
    scheduler.submit(job_with(1, &route, 4, 2_000), &table, ms(0));
    assert_eq!(sent(&mut scheduler, &table, 0).len(), 1, "nearby");
    for number in 2..=5 {
        scheduler.submit(job_with(number, &route, 2, 1_800), &table, ms(0));
    }
    let other = Job { data_centre: "hall-0".into(), ..job_with(6, &route, 2, 2_000) };
    scheduler.submit(other, &table, ms(0));
    let actions = scheduler.actions(&table, ms(0));
    let requests = actions.iter().find_map(|action| match action {
        Action::CallBatch { pieces, .. } => {
            Some(pieces.iter().map(|piece| piece.request.to_string()).collect::<Vec<_>>())
        }
        _ => None,
    });
    let expected = ["request-6", "request-6", "request-4", "request-4"];
    assert_eq!(requests.expect("a call in the other data centre"), expected);
}
