//! Owners of batch pools, and endpoints that announce that they leave, pause or are cold.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{calls, configured, incoming, publish, refusal, submit};
use directenv::status_headers::{
    LEAVING, SECONDS, batches, engine, freed, is_chosen, made, pause_for, receive_status, routes,
    staged,
};
use directenv::{address, deployment, endpoint, job, ms, table};
use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, BatchReport, PieceOutcome};
use stackmast::direct::backoff::Backoffs;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::owner::owners::Owners;
use stackmast::direct::published::model::ColdStart;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::direct::statement::{Backoff, Statement};

#[test]
fn results_at_a_paused_endpoint_are_freed_after_the_pause() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    let (call, maker) = batches(&actions)[0].clone();
    receive_status(&mut core, &maker, pause_for(ms(2 * SECONDS)), 10);
    core.handle(Event::BatchEnded { call, outcome: made("h/1") }, ms(200));
    let mut actions = core.handle(Event::CallerDisconnected { caller: 1 }, ms(210));
    for at in (220..=2_000).step_by(20) {
        actions.extend(core.handle(Event::Tick, ms(at)));
    }
    assert!(freed(&actions).is_empty(), "paused until 2 s");
    assert!(core.next_wakeup().is_some());
    let after: Vec<_> =
        (2_010..=2_600).step_by(20).flat_map(|at| core.handle(Event::Tick, ms(at))).collect();
    assert_eq!(freed(&after), [maker.id.to_string()]);
    assert_eq!(core.in_flight(), 0);
}

#[test]
fn results_at_a_leaving_endpoint_are_freed() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    let (call, maker) = batches(&actions)[0].clone();
    receive_status(&mut core, &maker, LEAVING, 10);
    core.handle(Event::BatchEnded { call, outcome: made("h/1") }, ms(200));
    let actions = core.handle(Event::CallerDisconnected { caller: 1 }, ms(210));
    assert_eq!(freed(&actions), [maker.id.to_string()], "freeing is no new work");
}

#[test]
fn pieces_avoid_leaving_and_paused_endpoints() {
    for statement in [LEAVING, pause_for(ms(9 * SECONDS))] {
        let mut core = configured(routes());
        let mut callers = 1..;
        let mut press = |core: &mut GatewayCore, at| {
            let caller = callers.next().expect("a number");
            let actions = submit(core, caller, incoming("staged", vec![1, 0]), ms(at));
            let sent = batches(&actions);
            for (call, _) in &sent {
                core.handle(Event::BatchEnded { call: *call, outcome: made("h/1") }, ms(at + 1));
            }
            sent.iter().map(|(_, e)| e.id.to_string()).collect::<Vec<_>>()
        };
        let first = press(&mut core, 0)[0].clone();
        let number = if first == "first-1" { 1 } else { 2 };
        receive_status(&mut core, &endpoint("first", number), statement, 10);
        for at in (20..3_000).step_by(100) {
            assert!(!press(&mut core, at).contains(&first), "{statement:?}");
        }
    }
}

#[test]
fn a_job_whose_endpoints_pause_past_its_deadline_is_cancelled_with_a_retry_time() {
    let mut core = configured(routes());
    // The first calls fill both endpoints; the third request waits.
    let sent: Vec<_> = (1..=3)
        .flat_map(|caller| {
            let actions = submit(&mut core, caller, incoming("staged", vec![4, 1]), ms(0));
            assert!(refusal(&actions).is_none());
            batches(&actions)
        })
        .collect();
    assert_eq!(sent.len(), 2);
    receive_status(&mut core, &endpoint("first", 1), pause_for(ms(20 * SECONDS)), 10);
    let actions = receive_status(&mut core, &endpoint("first", 2), pause_for(ms(30 * SECONDS)), 20);
    let refusal = refusal(&actions).expect("no endpoint before the deadline");
    assert!(refusal.not_run);
    assert!(refusal.retry_after >= ms(19_900) && refusal.retry_after <= ms(21_500));
    // New requests are refused in the same way.
    let actions = submit(&mut core, 9, incoming("staged", vec![4, 1]), ms(100));
    let refusal =
        directenv::gateway::refusal(&actions).expect("no endpoint before the deadline, either");
    assert!(refusal.not_run && refusal.retry_after >= ms(19_800), "{:?}", refusal.retry_after);
}

#[test]
fn stages_start_if_the_engines_pause_no_longer_than_the_stages_take() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), pause_for(ms(300)), 0);
    receive_status(&mut core, &engine(2), pause_for(ms(300)), 0);
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    assert_eq!(batches(&actions).len(), 1, "two calls of 240 ms come before the engines");
    let actions = submit(&mut core, 2, incoming("r", Vec::new()), ms(0));
    assert_eq!(refusal(&actions).expect("it needs one now").reason, Refused::AllPaused);
}

#[test]
fn paused_and_leaving_endpoints_get_no_report_requests() {
    let mut core = configured(routes());
    receive_status(&mut core, &endpoint("first", 1), pause_for(ms(9 * SECONDS)), 10);
    receive_status(&mut core, &endpoint("first", 2), LEAVING, 10);
    // The first job after a while requests reports from all endpoints.
    let actions = submit(&mut core, 1, incoming("staged", vec![0, 1]), ms(3_000));
    let asked = |a: &Action| match a {
        Action::RequestReport(endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    };
    let asked: Vec<String> = actions.iter().filter_map(asked).collect();
    assert!(!asked.is_empty() && !asked.iter().any(|id| id.starts_with("first-")), "{asked:?}");
}

#[test]
fn a_paused_endpoint_without_memory_gets_no_report_request() {
    for (statement, expected) in [(None, 1), (Some(pause_for(ms(9 * SECONDS))), 0)] {
        let mut core = configured(routes());
        let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
        let (call, maker) = batches(&actions)[0].clone();
        if let Some(statement) = statement {
            receive_status(&mut core, &maker, statement, 10);
        }
        let outcome = BatchOutcome::Pieces(vec![PieceOutcome::NoRoom]);
        let actions = core.handle(Event::BatchEnded { call, outcome }, ms(300));
        let asked = actions.iter().filter(|a| matches!(a, Action::RequestReport(_))).count();
        assert_eq!(asked, expected);
    }
}

#[test]
fn the_cold_limit_applies_to_pieces_and_requests() {
    const COLD_LIMIT: ColdStart = ColdStart { per_second: 10.0, duration: Duration::from_secs(3) };
    let mut deployment = deployment(9, routes());
    deployment.pools.iter_mut().for_each(|pool| pool.cold = Some(COLD_LIMIT));
    let mut core = configured(routes());
    publish(&mut core, deployment, ms(0));
    submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(3_000));
    for (number, service) in [(1, "first"), (2, "first"), (1, "engine"), (2, "engine")] {
        let cold = Statement { cold: Some(ms(2 * SECONDS)), ..Statement::default() };
        let sent_departures = receive_status(&mut core, &endpoint(service, number), cold, 3_010);
        let noted = |a: &&Action| matches!(a, Action::Log(LogEvent::EndpointStatus { .. }));
        assert_eq!(sent_departures.iter().filter(noted).count(), 1);
        let again = receive_status(&mut core, &endpoint(service, number), cold, 3_020);
        assert_eq!(again.iter().filter(noted).count(), 0, "logged once");
    }
    let mut sent = 0;
    for caller in 100..130 {
        let at = ms(3_030 + caller);
        sent += calls(&submit(&mut core, caller, incoming("r", Vec::new()), at)).len();
        let staged = submit(&mut core, caller + 100, incoming("staged", vec![1, 0]), at);
        sent += batches(&staged).len();
    }
    assert!(sent <= 4, "{sent}: one each at most in 0.03 s");
    let warm = Statement { cold: Some(Duration::ZERO), ..Statement::default() };
    receive_status(&mut core, &engine(1), warm, 3_200);
    assert!(is_chosen(&mut core, "engine-1", 900, 3_210), "it announced that it is warm");
}

#[test]
fn reports_of_another_incarnation_do_not_end_a_pause() {
    let mut core = configured(routes());
    submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    receive_status(&mut core, &endpoint("first", 1), pause_for(ms(5 * SECONDS)), 10);
    let report = BatchReport { free_bytes: 1_000, waiting: 0, incarnation: 99 };
    let event = Event::ReportReceived { endpoint: "first-1".into(), report, requested_at: ms(15) };
    core.handle(event, ms(20));
    let sent = (2..30).flat_map(|caller| {
        let actions = submit(&mut core, caller, incoming("staged", vec![1, 0]), ms(100 * caller));
        let sent = batches(&actions);
        for (call, _) in &sent {
            let ended = Event::BatchEnded { call: *call, outcome: made("h/1") };
            core.handle(ended, ms(100 * caller + 1));
        }
        sent
    });
    assert!(
        !sent.map(|(_, e)| e.id.to_string()).collect::<Vec<_>>().contains(&"first-1".to_owned())
    );
}

#[test]
fn a_cell_created_during_a_pause_respects_it() {
    let bounds = RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let (mut owners, table) = (Owners::new(address(1), bounds), table(routes()));
    let mut known = Backoffs::new(address(1));
    known.record(&endpoint("first", 1), Backoff::For(ms(9 * SECONDS)), ms(0));
    owners.paused(&endpoint("first", 1), &Arc::new(known), &table, ms(0));
    for number in 1..=4 {
        owners.submit(job(number, &staged(), 4), &table, ms(10));
    }
    let actions = owners.actions(&table, ms(10));
    let called: Vec<String> =
        batches(&actions).into_iter().map(|(_, e)| e.id.to_string()).collect();
    assert_eq!(called, ["first-2"]);
}

#[test]
fn a_request_whose_engines_pause_past_its_deadline_is_refused_during_its_stages() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    assert_eq!(batches(&actions).len(), 1);
    receive_status(&mut core, &engine(1), pause_for(ms(20 * SECONDS)), 10);
    let actions = receive_status(&mut core, &engine(2), pause_for(ms(9 * SECONDS)), 20);
    let refusal = refusal(&actions).expect("it waits for 5 s");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::AllPaused, true));
    assert!(refusal.retry_after >= ms(9 * SECONDS) && refusal.retry_after <= ms(11 * SECONDS));
}
