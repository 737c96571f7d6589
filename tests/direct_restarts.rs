//! Endpoints that restart under their ids: no state of the previous incarnation is used.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{answered, calls, good, incoming, is_delivered, listed, refusal, submit};
use directenv::{endpoint, job, ms, position, route, table};
use stackmast::actor::Core;
use stackmast::direct::answers::{
    AnswerProof, BatchOutcome, BatchReport, CallFailure, PieceOutcome,
};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::engines::load::Load;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::published::documents::{Document, Documents, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat};
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use test_case::test_case;

/// An endpoint in the given incarnation.
fn with_incarnation(service: &str, number: u16, incarnation: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint { incarnation, ..(*endpoint(service, number)).clone() })
}

fn entry(incarnation: u64, revision: u64) -> Revised {
    Revised {
        position: position(revision),
        created_revision: 0,
        document: Document::Endpoint(with_incarnation("engine", 1, incarnation)),
    }
}

#[test]
fn a_new_incarnation_differs_from_a_changed_entry() {
    let mut documents = Documents::default();
    assert!(documents.merge(vec![entry(7, 1)], ms(0)).restarted.is_empty(), "it is new");
    let mut changed = (*with_incarnation("engine", 1, 7)).clone();
    changed.slots += 1;
    let changed = Revised {
        position: position(2),
        created_revision: 0,
        document: Document::Endpoint(Arc::new(changed)),
    };
    assert!(documents.merge(vec![changed], ms(1)).restarted.is_empty());
    assert_eq!(documents.merge(vec![entry(9, 3)], ms(2)).restarted, ["engine-1".into()]);
    assert!(documents.merge(vec![entry(7, 2)], ms(3)).restarted.is_empty(), "older news");
    let gone = Revised {
        position: position(4),
        created_revision: 0,
        document: Document::Removed("engine-1".into()),
    };
    assert!(documents.merge(vec![gone], ms(4)).restarted.is_empty());
    let back = documents.merge(vec![entry(8, 5)], ms(5));
    assert_eq!(back.restarted, ["engine-1".into()], "a clock may have stepped back");
}

/// A gateway with one engine in its first incarnation, which runs a request of route `r`.
fn called(repeat: Repeat) -> (GatewayCore, u64) {
    let mut core = directenv::gateway::configured(vec![route("r", repeat, &[])]);
    let documents = vec![
        entry(7, 3),
        Revised {
            position: position(4),
            created_revision: 0,
            document: Document::Removed("engine-2".into()),
        },
    ];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(1));
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(2));
    let attempt = calls(&actions)[0].0;
    (core, attempt)
}

fn restart(core: &mut GatewayCore, revision: u64, now: Duration) -> Vec<Action> {
    let documents = listed(&[with_incarnation("engine", 1, 9)], revision);
    core.handle(Event::Published { documents, extent: Extent::Partial }, now)
}

#[test]
fn a_request_at_the_previous_incarnation_has_an_unknown_outcome() {
    let (mut core, attempt) = called(Repeat::AtMostOnce);
    let actions = restart(&mut core, 5, ms(50));
    let noted = |a: &&Action| matches!(a, Action::Log(LogEvent::Restarted { incarnation: 9, .. }));
    assert_eq!(actions.iter().filter(noted).count(), 1);
    let refusal = refusal(&actions).expect("its answer never arrives");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::OutcomeUnknown, false));
    assert!(calls(&actions).is_empty());
    assert!(!is_delivered(&core.handle(answered(attempt, good()), ms(60))));
}

#[test]
fn an_idempotent_request_is_repeated_elsewhere() {
    let (mut core, _) = called(Repeat::Idempotent);
    let documents = listed(&[with_incarnation("engine", 2, 3)], 6);
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(10));
    let actions = restart(&mut core, 7, ms(50));
    assert_eq!(&*calls(&actions)[0].1.endpoint.id, "engine-2");
}

#[test]
fn a_restart_does_not_abort_an_open_stream() {
    let (mut core, attempt) = called(Repeat::Idempotent);
    core.handle(Event::Answered { caller: 1, attempt, proof: good(), is_open: true }, ms(20));
    let actions = restart(&mut core, 5, ms(50));
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::AbortStream { .. } | Action::CancelAttempt { .. }))
    );
}

#[test]
fn load_and_failures_of_the_previous_incarnation_are_forgotten() {
    let (mut core, attempt) = called(Repeat::Idempotent);
    let full = AnswerProof {
        load: Some(Load { running: 64, waiting: 64, slots: 64, work_time_percent: None }),
        ..good()
    };
    core.handle(answered(attempt, full), ms(5));
    let documents = listed(&[with_incarnation("engine", 2, 3)], 6);
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(6));
    let chosen = |core: &mut GatewayCore, caller, now| {
        let actions = submit(core, caller, incoming("r", Vec::new()), now);
        calls(&actions)[0].1.endpoint.id.to_string()
    };
    assert_eq!(
        chosen(&mut core, 2, ms(7)),
        "engine-2",
        "the other endpoint reported that it is full"
    );
    restart(&mut core, 8, ms(8));
    assert_eq!(chosen(&mut core, 3, ms(9)), "engine-1", "it runs nothing now");
    // A call to the previous incarnation ends without counting for the current one.
    core.handle(Event::CallFailed { caller: 2, attempt: 2, failure: CallFailure::Broken }, ms(10));
}

fn scheduler() -> Scheduler {
    Scheduler::new(RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) })
}

fn batches(actions: &[Action]) -> Vec<(u64, String, Vec<usize>)> {
    let batches = actions.iter().filter_map(|a| match a {
        Action::CallBatch { call, endpoint, pieces, .. } => {
            let stages = pieces.iter().map(|p| p.stage).collect();
            Some((*call, endpoint.id.to_string(), stages))
        }
        _ => None,
    });
    batches.collect()
}

fn made(call: u64, count: usize) -> BatchOutcome {
    let pieces = (0..count).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
    BatchOutcome::Pieces(pieces.collect())
}

fn restarted(table: &mut Table, id: &str) {
    let before = table.endpoint(id).expect("listed").clone();
    let endpoint = Arc::new(Endpoint { incarnation: 9, ..(*before).clone() });
    table.replace_endpoint(&endpoint.id, Some(&endpoint));
}

#[test]
fn a_batch_call_to_the_previous_incarnation_is_repeated_at_once() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 3), &table, ms(0));
    let (call, to, _) = batches(&scheduler.actions(&table, ms(0)))[0].clone();
    restarted(&mut table, &to);
    scheduler.table_changed(&table);
    scheduler.restarted(&to.as_str().into(), &table, ms(50));
    let again = batches(&scheduler.actions(&table, ms(50)));
    assert_eq!(again.len(), 1, "the same three pieces: {again:?}");
    scheduler.batch_ended(call, made(call, 3), &table, ms(60));
    assert!(batches(&scheduler.actions(&table, ms(60))).is_empty(), "it is over already");
}

#[test]
fn results_of_the_previous_incarnation_are_produced_again() {
    let stages: &[(&str, &[usize], u64)] =
        &[("first", &[], 10), ("second", &[], 10), ("third", &[0, 1], 10)];
    let route = route("r", Repeat::AtMostOnce, stages);
    let mut table = table(vec![route.clone()]);
    let mut scheduler = scheduler();
    scheduler.submit(job(1, &route, 2), &table, ms(0));
    let open = batches(&scheduler.actions(&table, ms(0)));
    let (first, maker, _) = open.iter().find(|c| c.2.contains(&0)).expect("begun").clone();
    scheduler.batch_ended(first, made(first, 2), &table, ms(250));
    scheduler.actions(&table, ms(250));
    restarted(&mut table, &maker);
    scheduler.table_changed(&table);
    scheduler.restarted(&maker.as_str().into(), &table, ms(260));
    let again = batches(&scheduler.actions(&table, ms(260)));
    assert_eq!(again.iter().map(|c| c.2.clone()).collect::<Vec<_>>(), [vec![0, 0]]);
}

#[test_case(9, true; "of the listed incarnation")]
#[test_case(8, false; "of another incarnation")]
#[test_case(0, true; "without an incarnation")]
fn a_report_applies_to_its_incarnation(incarnation: u64, is_taken: bool) {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut table = table(vec![route]);
    restarted(&mut table, "first-1");
    let mut scheduler = scheduler();
    let report = BatchReport { free_bytes: 0, waiting: 0, incarnation };
    scheduler.reported(&"first-1".into(), report, &table, ms(0));
    let actions = scheduler.actions(&table, ms(0));
    let is_reported = |a: &Action| matches!(a, Action::Log(LogEvent::ReportReceived { .. }));
    assert_eq!(actions.iter().any(is_reported), is_taken);
}
