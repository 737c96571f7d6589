//! The owner of batch pools: pieces, result memory, repeats.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::{address, batch, deployment, endpoint, endpoints, job, job_id, ms, route, table};
use stackmast::direct::answers::{BatchOutcome, BatchReport, CallFailure, PieceOutcome};
use stackmast::direct::event::{Action, PieceParams};
use stackmast::direct::owner::producers::Usage;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobReason, PeerMessage};
use stackmast::direct::published::model::{Pool, Repeat, Route};
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;

fn scheduler() -> Scheduler {
    Scheduler::new(RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) })
}

/// Calls among the actions: id, endpoint, pieces.
fn calls(actions: &[Action]) -> Vec<(u64, String, Vec<PieceParams>)> {
    let calls = actions.iter().filter_map(|a| match a {
        Action::CallBatch { call, endpoint, pieces, .. } => {
            Some((*call, endpoint.id.to_string(), pieces.clone()))
        }
        _ => None,
    });
    calls.collect()
}

fn sent_messages(actions: &[Action]) -> Vec<PeerMessage> {
    let sent_messages = actions.iter().filter_map(|a| match a {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    sent_messages.collect()
}

fn freed(actions: &[Action]) -> Vec<String> {
    let freed = actions.iter().filter_map(|a| match a {
        Action::FreeResults { handles, .. } => Some(handles.iter().map(ToString::to_string)),
        _ => None,
    });
    freed.flatten().collect()
}

fn made(call: u64, count: usize) -> BatchOutcome {
    let handles = (0..count).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
    BatchOutcome::Pieces(handles.collect())
}

/// Answers every call with results until none is left; returns all actions.
fn run_to_the_end(scheduler: &mut Scheduler, table: &Table, mut now: Duration) -> Vec<Action> {
    let mut all = Vec::new();
    loop {
        let actions = scheduler.actions(table, now);
        let open = calls(&actions);
        all.extend(actions);
        if open.is_empty() {
            return all;
        }
        now += ms(260);
        for (call, _, pieces) in open {
            scheduler.batch_ended(call, made(call, pieces.len()), table, now);
        }
    }
}

#[test]
fn stages_run_in_order_until_the_job_is_ready() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 3), &table, ms(0));
    let actions = run_to_the_end(&mut scheduler, &table, ms(0));
    let calls = calls(&actions);
    assert_eq!(calls.len(), 2, "all pieces of a stage fit one call");
    assert!(calls[0].2.iter().all(|p| p.stage == 0 && p.key.is_some() && p.inputs.is_empty()));
    assert!(calls[1].2.iter().all(|p| p.stage == 1 && p.key.is_none() && p.inputs.len() == 3));
    assert!(sent_messages(&actions).contains(&PeerMessage::Ready(job_id(1))));
    assert_eq!(freed(&actions).len(), 3, "the first stage's results are freed once they are used");
    scheduler.release(job_id(1), &table);
    assert_eq!(freed(&scheduler.actions(&table, ms(600))).len(), 3, "the rest on release");
    assert!(scheduler.is_idle());
}

#[test]
fn pieces_of_many_jobs_share_a_call() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 4), &table, ms(0));
    scheduler.submit(job(2, &route, 4), &table, ms(0));
    scheduler.submit(job(3, &route, 2), &table, ms(0));
    scheduler.submit(job(4, &route, 2), &table, ms(0));
    let first = calls(&scheduler.actions(&table, ms(0)));
    assert_eq!(first.len(), 2, "two endpoints, one slot each");
    scheduler.batch_ended(first[0].0, made(first[0].0, 4), &table, ms(280));
    let second = calls(&scheduler.actions(&table, ms(280)));
    assert_eq!(second.len(), 1);
    let mut requests: Vec<&str> = second[0].2.iter().map(|p| &*p.request).collect();
    requests.dedup();
    assert_eq!(requests, ["request-3", "request-4"]);
}

#[test]
fn lost_results_are_produced_again_from_the_first_freed_stage() {
    let stages: &[(&str, &[usize], u64)] =
        &[("first", &[], 10), ("second", &[0], 10), ("third", &[1], 10)];
    let route = route("r", Repeat::AtMostOnce, stages);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let mut now = ms(0);
    for _ in 0..2 {
        let open = calls(&scheduler.actions(&table, now));
        now += ms(260);
        scheduler.batch_ended(open[0].0, made(open[0].0, 2), &table, now);
    }
    let third = calls(&scheduler.actions(&table, now));
    assert_eq!(third[0].2[0].stage, 2);
    let gone = BatchOutcome::Pieces(vec![PieceOutcome::InputGone, PieceOutcome::InputGone]);
    scheduler.batch_ended(third[0].0, gone, &table, now + ms(10));
    let again = run_to_the_end(&mut scheduler, &table, now + ms(10));
    for (_, _, pieces) in calls(&again) {
        for piece in pieces {
            let expected = if piece.stage == 0 { 0 } else { 2 };
            assert_eq!(piece.inputs.len(), expected, "stage {} with all inputs", piece.stage);
        }
    }
    assert!(sent_messages(&again).contains(&PeerMessage::Ready(job_id(1))));
}

#[test]
fn result_memory_is_reserved_and_released() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 400)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 4), &table, ms(0));
    let open = calls(&scheduler.actions(&table, ms(0)));
    let sizes: Vec<usize> = open.iter().map(|c| c.2.len()).collect();
    assert_eq!(sizes, [2, 2], "memory for two results at each endpoint");
    for (call, _, pieces) in &open {
        scheduler.batch_ended(*call, made(*call, pieces.len()), &table, ms(300));
    }
    let mut late = job(2, &route, 1);
    late.resubmitted = true;
    scheduler.submit(late, &table, ms(300));
    assert!(calls(&scheduler.actions(&table, ms(300))).is_empty(), "no memory");
    scheduler.release(job_id(1), &table);
    assert_eq!(calls(&scheduler.actions(&table, ms(310))).len(), 1, "memory is free again");
}

#[test]
fn a_job_without_result_memory_is_refused_as_not_started() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 300)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    for number in 1..=3 {
        scheduler.submit(job(number, &route, 2), &table, ms(0));
    }
    let refused =
        sent_messages(&scheduler.actions(&table, ms(0))).into_iter().find_map(|m| match m {
            PeerMessage::Cancelled { job, reason, not_started, retry_after } => {
                Some((job, reason, not_started, retry_after))
            }
            _ => None,
        });
    let (job, reason, not_started, retry_after) = refused.expect("one is refused");
    assert_eq!((job, reason, not_started), (job_id(3), JobReason::NoRoom, true));
    assert!(retry_after >= ms(100));
}

#[test]
fn pieces_refused_by_a_full_endpoint_go_to_another() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let first = calls(&scheduler.actions(&table, ms(0)));
    scheduler.batch_ended(first[0].0, BatchOutcome::Full, &table, ms(2));
    let second = calls(&scheduler.actions(&table, ms(2)));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1, "another endpoint");
}

#[test]
fn an_overdue_call_is_repeated_elsewhere_and_its_late_results_are_freed() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 1), &table, ms(0));
    let first = calls(&scheduler.actions(&table, ms(0)));
    scheduler.run_timers(&table, ms(1_500));
    let second = calls(&scheduler.actions(&table, ms(1_500)));
    assert_eq!(second.len(), 1, "made again");
    assert_ne!(second[0].1, first[0].1);
    scheduler.batch_ended(second[0].0, made(second[0].0, 1), &table, ms(1_700));
    assert!(
        sent_messages(&scheduler.actions(&table, ms(1_700)))
            .contains(&PeerMessage::Ready(job_id(1)))
    );
    scheduler.batch_ended(first[0].0, made(first[0].0, 1), &table, ms(3_000));
    assert_eq!(freed(&scheduler.actions(&table, ms(3_000))), ["1/0"]);
}

/// A settled owner whose second stage has been running for 110 ms: its call, and the time.
fn owner_with_fetched_inputs(
    scheduler: &mut Scheduler,
    table: &Table,
    job: Job,
) -> (u64, Duration) {
    for (number, at) in [(90, 0), (91, 1_000)] {
        let mut earlier = job.clone();
        earlier.id = job_id(number);
        scheduler.submit(earlier, table, ms(at));
        scheduler.release(job_id(number), table);
    }
    let mut now = ms(2_000);
    scheduler.submit(job, table, now);
    let first = calls(&scheduler.actions(table, now));
    now += ms(260);
    scheduler.batch_ended(first[0].0, made(first[0].0, 2), table, now);
    let second = calls(&scheduler.actions(table, now));
    assert_eq!(second[0].2[0].stage, 1);
    scheduler.run_timers(table, now + ms(30));
    assert!(freed(&scheduler.actions(table, now + ms(30))).is_empty(), "may not be fetched yet");
    (second[0].0, now + ms(110))
}

#[test]
fn inputs_are_freed_once_the_call_that_needs_them_has_fetched_them() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    let (call, now) = owner_with_fetched_inputs(&mut scheduler, &table, job(1, &route, 2));
    scheduler.run_timers(&table, now);
    assert_eq!(freed(&scheduler.actions(&table, now)).len(), 2, "while the call is at work");
    scheduler.batch_ended(call, made(call, 2), &table, now + ms(200));
    let actions = scheduler.actions(&table, now + ms(200));
    assert!(sent_messages(&actions).contains(&PeerMessage::Ready(job_id(1))));
    assert!(freed(&actions).is_empty(), "once");
}

#[test]
fn freed_inputs_of_a_failed_call_are_produced_again() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    let (call, now) = owner_with_fetched_inputs(&mut scheduler, &table, job(1, &route, 2));
    scheduler.run_timers(&table, now);
    scheduler.actions(&table, now);
    scheduler.batch_ended(call, BatchOutcome::Failed(CallFailure::Broken), &table, now + ms(50));
    let again = run_to_the_end(&mut scheduler, &table, now + ms(50));
    let stages: Vec<usize> = calls(&again).iter().map(|c| c.2[0].stage).collect();
    assert_eq!(stages, [0, 1], "the first stage, then the second");
    assert!(sent_messages(&again).contains(&PeerMessage::Ready(job_id(1))));
}

#[test]
fn inputs_are_kept_if_another_owner_may_call_the_same_endpoints() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    let usage = vec![Usage { endpoint: "second-1".into(), bytes: 10 }];
    scheduler.usage_announced(address(7), usage, &table);
    let (_, now) = owner_with_fetched_inputs(&mut scheduler, &table, job(1, &route, 2));
    scheduler.run_timers(&table, now);
    assert!(freed(&scheduler.actions(&table, now)).is_empty(), "its call may wait for its turn");
}

#[test]
fn a_job_submitted_again_gets_its_state_and_runs_once() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    run_to_the_end(&mut scheduler, &table, ms(0));
    scheduler.submit(job(1, &route, 2), &table, ms(400));
    let actions = scheduler.actions(&table, ms(400));
    assert!(calls(&actions).is_empty());
    let sent_messages = sent_messages(&actions);
    assert_eq!(sent_messages.first(), Some(&PeerMessage::Accepted(job_id(1))));
    assert!(
        matches!(&sent_messages[1], PeerMessage::StageDone { stage: 0, results, .. } if results.len() == 2)
    );
    assert_eq!(sent_messages.last(), Some(&PeerMessage::Ready(job_id(1))));
}

#[test]
fn repeats_end_when_the_budget_is_exhausted() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let bounds = RepeatBudget { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    let mut scheduler = Scheduler::new(bounds);
    scheduler.submit(job(1, &route, 4), &table, ms(0));
    let first = calls(&scheduler.actions(&table, ms(0)));
    let broken = BatchOutcome::Failed(CallFailure::Broken);
    scheduler.batch_ended(first[0].0, broken, &table, ms(5));
    let actions = scheduler.actions(&table, ms(5));
    let given_up = sent_messages(&actions).iter().any(|m| {
        matches!(
            m,
            PeerMessage::Cancelled { reason: JobReason::RepeatBudget, not_started: false, .. }
        )
    });
    assert!(given_up, "four repeats where the budget holds one");
}

#[test]
fn results_of_an_unfinished_job_are_freed_when_its_gateway_is_removed() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let first = calls(&scheduler.actions(&table, ms(0)));
    scheduler.batch_ended(first[0].0, made(first[0].0, 2), &table, ms(260));
    scheduler.release_jobs_of(address(1), 1, &table);
    let actions = scheduler.actions(&table, ms(260));
    assert_eq!(freed(&actions).len(), 2);
    assert!(calls(&actions).is_empty(), "no further call for its job");
}

#[test]
fn a_new_owner_continues_with_the_results_of_the_old_one() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    let mut job = job(1, &route, 1);
    job.resubmitted = true;
    let handle = "old/0".into();
    job.stages[0].done = vec![stackmast::direct::peers::message::StoredResult {
        handle,
        endpoint: endpoint("first", 1).id.clone(),
    }];
    scheduler.submit(job, &table, ms(0));
    let open = calls(&scheduler.actions(&table, ms(0)));
    assert_eq!(open.len(), 1);
    assert_eq!(open[0].2[0].stage, 1);
    assert_eq!(*open[0].2[0].inputs[0], *"old/0");
}

/// Endpoints whose reports were requested.
fn asked(actions: &[Action]) -> Vec<String> {
    let asked = actions.iter().filter_map(|a| match a {
        Action::RequestReport(endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    });
    asked.collect()
}

#[test]
fn a_new_owner_requests_reports_and_plans_with_the_free_memory() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 100)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let actions = scheduler.actions(&table, ms(0));
    assert_eq!(asked(&actions).len(), 6, "all endpoints that work in batches");
    scheduler.submit(job(2, &route, 2), &table, ms(1));
    assert!(asked(&scheduler.actions(&table, ms(1))).is_empty(), "once");
    let full = BatchReport { free_bytes: 0, waiting: 0, incarnation: 0 };
    for endpoint in ["first-1", "first-2"] {
        scheduler.reported(&endpoint.into(), full, &table, ms(5));
    }
    scheduler.submit(job(3, &route, 2), &table, ms(6));
    let refused = |actions: &[Action]| {
        sent_messages(actions).iter().any(|m| {
            matches!(m, PeerMessage::Cancelled { reason: JobReason::NoRoom, not_started: true, .. })
        })
    };
    assert!(refused(&scheduler.actions(&table, ms(6))), "what others hold is not there");
    let free = BatchReport { free_bytes: 900, waiting: 0, incarnation: 0 };
    for endpoint in ["first-1", "first-2"] {
        scheduler.reported(&endpoint.into(), free, &table, ms(50));
    }
    scheduler.submit(job(4, &route, 2), &table, ms(51));
    assert!(!refused(&scheduler.actions(&table, ms(51))));
}

#[test]
fn an_endpoint_without_result_memory_gets_a_report_request() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let (call, endpoint, _) = calls(&scheduler.actions(&table, ms(0)))[0].clone();
    let outcome = BatchOutcome::Pieces(vec![PieceOutcome::NoRoom, PieceOutcome::NoRoom]);
    scheduler.batch_ended(call, outcome, &table, ms(20));
    assert_eq!(asked(&scheduler.actions(&table, ms(20))), [endpoint]);
}

// A burst that leaves a queue in every pool, so that result memory is scarce. With calls of four
// pieces, the second of two stages of three pieces would need two calls.
#[test]
fn a_stage_shares_a_call_only_if_it_fits_completely() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let table = roomy(vec![route.clone()], "first-2");
    let mut scheduler = scheduler();
    scheduler.submit(job(9, &route, 4), &table, ms(0));
    let busy = calls(&scheduler.actions(&table, ms(0)));
    for (number, pieces) in [(1, 3), (2, 3), (3, 1), (4, 6)] {
        scheduler.submit(job(number, &route, pieces), &table, ms(number));
    }
    let mut sent = Vec::new();
    let mut call = busy[0].0;
    let mut now = ms(10);
    for _ in 0..4 {
        now += ms(280);
        scheduler.batch_ended(call, made(call, 4), &table, now);
        let next = calls(&scheduler.actions(&table, now));
        let (number, _, pieces) = next.first().expect("more waits").clone();
        call = number;
        let mut requests: Vec<String> = pieces.iter().map(|p| p.request.to_string()).collect();
        requests.dedup();
        sent.push((requests.join(" "), pieces.len()));
    }
    let sent: Vec<_> = sent.iter().map(|(requests, pieces)| (requests.as_str(), *pieces)).collect();
    // A stage that is too large for any call starts a call of its own.
    let expected =
        [("request-4", 4), ("request-4", 2), ("request-1 request-3", 4), ("request-2", 3)];
    assert_eq!(sent, expected);
}

/// A table whose pools have enough result memory for results that bind to a data centre.
fn roomy(routes: Vec<Route>, without: &str) -> Table {
    let mut deployment = deployment(1, routes);
    let pools = deployment.pools.into_iter().map(|pool| match &*pool.name {
        "engine" => pool,
        _ => Pool { work: batch(4, 50_000_000), ..pool },
    });
    deployment.pools = pools.collect();
    let endpoints = endpoints().into_iter().filter(|e| *e.id != *without);
    let endpoints: Vec<_> = endpoints.collect();
    Table::new(Arc::new(deployment), endpoints.iter())
}

#[test]
fn small_results_do_not_bind_the_next_stage_to_their_data_centre() {
    let stages: &[(&str, &[usize], u64)] =
        &[("first", &[], 10), ("second", &[0], 400_000), ("third", &[1], 10)];
    let route = route("r", Repeat::AtMostOnce, stages);
    // The first stage can run in one data centre only, the others in both.
    let table = roomy(vec![route.clone()], "first-2");
    let mut scheduler = scheduler();
    for number in 1..=2 {
        scheduler.submit(job(number, &route, 2), &table, ms(0));
    }
    let first = calls(&scheduler.actions(&table, ms(0)));
    assert_eq!(first.len(), 1, "{first:?}");
    scheduler.batch_ended(first[0].0, made(first[0].0, 4), &table, ms(300));
    let second = calls(&scheduler.actions(&table, ms(300)));
    let endpoints: Vec<&str> = second.iter().map(|c| c.1.as_str()).collect();
    assert_eq!(second.len(), 2, "one in each data centre: {endpoints:?}");
}

#[test]
fn pieces_wait_for_their_data_centre_only_while_its_next_calls_hold_them() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 400_000)]);
    let table = roomy(vec![route.clone()], "");
    let mut scheduler = scheduler();
    let mut submit = |number: u64| {
        scheduler.submit(job(number, &route, 4), &table, ms(0));
        calls(&scheduler.actions(&table, ms(0))).into_iter().map(|c| c.1).collect::<Vec<_>>()
    };
    assert_eq!(submit(1), ["first-1"], "the preferred data centre");
    assert!(submit(2).is_empty(), "the next call there holds these four");
    assert_eq!(submit(3), ["first-2"], "the next call is full: these go elsewhere");
}
