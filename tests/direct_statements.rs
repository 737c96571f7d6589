//! What endpoints say of themselves in answers: that they leave, and for how long they want nothing. Who hears it, how
//! long it holds, what takes it back, and what a restart, a standstill or another gateway does to it.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    Says, answered, calls, configured, good, incoming, listed, new_core, publish, refusal, serving,
    submit,
};
use directenv::{address, deployment, endpoint, job, ms, route, table};
use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, BatchReport, CallFailure, PieceOutcome, Proof};
use stackmast::direct::backoff::Backoffs;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::departures::{Departure, Departures};
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::note::Note;
use stackmast::direct::owner::owners::Owners;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::evacuations::Evacuation;
use stackmast::direct::published::model::{ColdStart, Endpoint, Repeat, Route};
use stackmast::direct::repeats::Bounds;
use stackmast::direct::statement::{Asked, Backoff, Statement};
use test_case::test_case;

const LEAVES: Statement = Statement { leaving: true, backoff: None, cold: None };
const SECONDS: u64 = 1_000;

fn pause(backoff: Backoff) -> Statement {
    Statement { backoff: Some(backoff), ..Statement::default() }
}

fn pause_for(time: Duration) -> Statement {
    pause(Backoff::For(time))
}

/// An endpoint in a life.
fn living(service: &str, number: u16, incarnation: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint { incarnation, ..(*endpoint(service, number)).clone() })
}

fn engine(number: u16) -> Arc<Endpoint> {
    endpoint("engine", number)
}

fn routes() -> Vec<Route> {
    let mut again = route("again", Repeat::AtMostOnce, &[]);
    (again.streams, again.resumable) = (true, true);
    vec![route("r", Repeat::Idempotent, &[]), again, staged()]
}

fn staged() -> Route {
    route("staged", Repeat::Idempotent, &[("first", &[], 10), ("second", &[0], 10)])
}

fn says(core: &mut GatewayCore, who: &Arc<Endpoint>, statement: Statement, at: u64) -> Vec<Action> {
    let event =
        Event::Stated { endpoint: who.clone(), asked: Asked::Request, statement, at: ms(at) };
    core.handle(event, ms(at))
}

fn enter(core: &mut GatewayCore, who: &Arc<Endpoint>, revision: u64, at: u64) {
    let documents = listed(std::slice::from_ref(who), revision);
    core.handle(Event::Published { documents, whole_at: None }, ms(at));
}

/// Where a new request goes.
fn goes_to(core: &mut GatewayCore, caller: u64, at: u64) -> Option<String> {
    let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
    calls(&actions).first().map(|(_, order)| order.endpoint.id.to_string())
}

/// Whether any of many requests, which are all answered, goes to an endpoint.
fn gets_any(core: &mut GatewayCore, who: &str, first: u64, at: u64) -> bool {
    (first..first + 20).any(|caller| {
        let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
        let Some((attempt, order)) = calls(&actions).into_iter().next() else {
            return false;
        };
        let answered = Event::Answered { caller, attempt, proof: good(), is_open: false };
        core.handle(answered, ms(at));
        &*order.endpoint.id == who
    })
}

#[test_case(Asked::Request)]
#[test_case(Asked::Pieces)]
#[test_case(Asked::Report)]
#[test_case(Asked::Free)]
fn an_endpoint_that_leaves_gets_no_new_work_whatever_its_answer_was_to(asked: Asked) {
    let mut core = configured(routes());
    assert!(gets_any(&mut core, "engine-1", 1, 10));
    let event = Event::Stated { endpoint: engine(1), asked, statement: LEAVES, at: ms(20) };
    let actions = core.handle(event, ms(20));
    let is_told = |a: &Action| matches!(a, Action::Note(Note::Endpoint { state: "leaving", .. }));
    assert!(actions.iter().any(is_told), "on-call is told of the change");
    let withheld = |a: &Action| matches!(a, Action::Withhold { until: None, .. });
    assert!(actions.iter().any(withheld), "also what was ordered before");
    assert!(!gets_any(&mut core, "engine-1", 100, 30));
    assert!(gets_any(&mut core, "engine-2", 200, 40));
}

#[test]
fn nothing_that_the_list_says_of_the_same_life_takes_it_back() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), LEAVES, 10);
    // An entry that was written late, or by a store that had lost an answer.
    let mut changed = (*engine(1)).clone();
    changed.slots += 1;
    enter(&mut core, &Arc::new(changed), 50, 20);
    assert!(!gets_any(&mut core, "engine-1", 100, 30));
    let gone = vec![Revised { revision: 51, document: Document::Gone("engine-1".into()) }];
    core.handle(Event::Published { documents: gone, whole_at: None }, ms(40));
    enter(&mut core, &engine(1), 52, 50);
    assert!(!gets_any(&mut core, "engine-1", 200, 60), "it had lapsed and is back");
}

#[test]
fn a_configuration_or_an_order_that_is_taken_back_does_not_take_it_back() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), LEAVES, 10);
    publish(&mut core, deployment(9, routes()), ms(20));
    assert!(!gets_any(&mut core, "engine-1", 100, 30));
    for (revision, stands) in [(70, true), (71, false)] {
        let order = Evacuation { data_centre: engine(1).data_centre.clone(), revision, stands };
        let changes = vec![order];
        core.handle(Event::Evacuations { changes, whole_at: None }, ms(revision));
    }
    assert!(!gets_any(&mut core, "engine-1", 200, 80));
}

#[test]
fn another_life_takes_work_again_and_leaves_by_its_own_word_only() {
    let mut core = configured(routes());
    enter(&mut core, &living("engine", 1, 7), 50, 5);
    says(&mut core, &living("engine", 1, 7), LEAVES, 10);
    assert!(!gets_any(&mut core, "engine-1", 100, 20));
    enter(&mut core, &living("engine", 1, 9), 51, 30);
    assert!(gets_any(&mut core, "engine-1", 200, 40));
    // A late answer of the life before says nothing of this one.
    says(&mut core, &living("engine", 1, 7), LEAVES, 50);
    assert!(gets_any(&mut core, "engine-1", 300, 60));
    says(&mut core, &living("engine", 1, 9), LEAVES, 70);
    assert!(!gets_any(&mut core, "engine-1", 400, 80));
}

#[test]
fn an_answer_that_came_before_the_entry_counts_once_it_is_entered() {
    let mut core = configured(routes());
    says(&mut core, &living("engine", 1, 9), LEAVES, 10);
    assert!(gets_any(&mut core, "engine-1", 100, 20), "that was another life");
    enter(&mut core, &living("engine", 1, 9), 50, 30);
    assert!(!gets_any(&mut core, "engine-1", 200, 40));
}

fn departure(service: &str, number: u16, incarnation: u64) -> Departure {
    Departure::of(&living(service, number, incarnation))
}

fn hear(core: &mut GatewayCore, departures: Vec<Departure>, at: u64) -> Vec<Action> {
    let message = Says { members: vec![serving(2)], departures, ..Says::default() }.message();
    core.handle(Event::Peer { from: address(2), message }, ms(at))
}

/// Departures that go with a heartbeat or an answer to one.
fn told(actions: &[Action]) -> Vec<Departure> {
    let messages = actions.iter().filter_map(|a| match a {
        Action::Spread { message: PeerMessage::Gossip { departures, .. }, .. }
        | Action::Tell { message: PeerMessage::Gossip { departures, .. }, .. } => Some(departures),
        _ => None,
    });
    messages.flatten().cloned().collect()
}

#[test]
fn gateways_tell_each_other_with_two_heartbeats() {
    let mut core = configured(routes());
    hear(&mut core, Vec::new(), 10);
    says(&mut core, &engine(1), LEAVES, 20);
    let beats: Vec<usize> =
        (1..8).map(|beat| told(&core.handle(Event::Tick, ms(beat * 250))).len()).collect();
    assert_eq!(beats.iter().sum::<usize>(), 2, "{beats:?}");
    let mut other = configured(routes());
    hear(&mut other, vec![departure("engine", 1, 0)], 10);
    assert!(!gets_any(&mut other, "engine-1", 100, 20));
    let passed_on = told(&other.handle(Event::Tick, ms(500)));
    assert_eq!(passed_on, [departure("engine", 1, 0)], "it passes on what it was told");
}

#[test]
fn what_the_list_tells_is_not_told_once_more() {
    let mut core = configured(routes());
    hear(&mut core, Vec::new(), 10);
    says(&mut core, &engine(1), LEAVES, 20);
    enter(&mut core, &Arc::new(Endpoint { leaving: true, ..(*engine(1)).clone() }), 50, 30);
    let told: usize =
        (1..8).map(|beat| told(&core.handle(Event::Tick, ms(beat * 250))).len()).sum();
    assert_eq!(told, 0);
}

#[test]
fn a_gateway_that_starts_is_told_at_once() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), LEAVES, 10);
    (1..8).for_each(|beat| drop(core.handle(Event::Tick, ms(beat * 250))));
    let answer = hear(&mut core, Vec::new(), 5_000);
    assert!(told(&answer).contains(&departure("engine", 1, 0)), "it was long ago");
    let mut started = new_core();
    hear(&mut started, told(&answer), 0);
    publish(&mut started, deployment(1, routes()), ms(10));
    assert!(!gets_any(&mut started, "engine-1", 100, 20), "it was told before it had the list");
}

#[test]
fn a_peer_tells_of_one_life_only() {
    let mut core = configured(routes());
    enter(&mut core, &living("engine", 1, 9), 50, 5);
    hear(&mut core, vec![departure("engine", 1, 7)], 10);
    assert!(gets_any(&mut core, "engine-1", 100, 20));
}

#[test]
fn a_standstill_changes_nothing_of_it() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), LEAVES, 10);
    says(&mut core, &engine(2), pause_for(ms(3 * SECONDS)), 10);
    core.stood_still(ms(2 * SECONDS), ms(2_100));
    assert_eq!(goes_to(&mut core, 1, 2_110), None, "one leaves, the other wants nothing yet");
    core.stood_still(ms(5 * SECONDS), ms(7_200));
    assert_eq!(goes_to(&mut core, 2, 7_210).as_deref(), Some("engine-2"), "its pause is over");
}

#[test]
fn a_pause_holds_for_its_time_and_is_told_to_no_other_gateway() {
    let mut core = configured(routes());
    hear(&mut core, Vec::new(), 5);
    let actions = says(&mut core, &engine(1), pause_for(ms(3 * SECONDS)), 10);
    let is_told = |a: &Action| {
        let paused = |ms: u64| (3_000..=3_750).contains(&ms);
        matches!(a, Action::Note(Note::Stated { paused_ms: Some(ms), .. }) if paused(*ms))
    };
    assert!(actions.iter().any(is_told));
    for at in [20, 1_000, 3_009] {
        assert!(!gets_any(&mut core, "engine-1", at * 100, at));
    }
    assert!(gets_any(&mut core, "engine-1", 900_000, 3_761));
    let beats = (1..8).map(|beat| told(&core.handle(Event::Tick, ms(4_000 + beat * 250))).len());
    assert_eq!(beats.sum::<usize>(), 0);
}

#[test]
fn a_pause_is_neither_shortened_by_what_is_answered_meanwhile_nor_ended_by_success() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    says(&mut core, &order.endpoint, pause_for(ms(3 * SECONDS)), 10);
    says(&mut core, &order.endpoint, pause_for(ms(100)), 20);
    says(&mut core, &order.endpoint, pause_for(Duration::ZERO), 30);
    core.handle(answered(attempt, good()), ms(40));
    assert!(!gets_any(&mut core, &order.endpoint.id, 100, 2_900));
}

#[test]
fn another_life_has_asked_for_no_pause() {
    let mut core = configured(routes());
    enter(&mut core, &living("engine", 1, 7), 50, 5);
    says(&mut core, &living("engine", 1, 7), pause_for(ms(9 * SECONDS)), 10);
    assert!(!gets_any(&mut core, "engine-1", 100, 20));
    enter(&mut core, &living("engine", 1, 9), 51, 30);
    assert!(gets_any(&mut core, "engine-1", 200, 40));
}

#[test_case(Backoff::For(Duration::ZERO), 0, 0; "none")]
#[test_case(Backoff::For(Duration::from_millis(400)), 400, 500; "a fraction")]
#[test_case(Backoff::Unclear, 1_000, 1_250; "no number")]
#[test_case(Backoff::For(Duration::from_secs(30)), 30_000, 31_000; "long")]
#[test_case(Backoff::For(Duration::MAX), 3_600_000, 3_601_000; "absurd")]
fn any_time_that_is_asked_for_has_an_end(backoff: Backoff, from_ms: u64, to_ms: u64) {
    for gateway in 1..50 {
        let mut known = Backoffs::new(address(gateway));
        known.asked(&engine(1), backoff, ms(5));
        let until = known.until(&engine(1), ms(5)).unwrap_or(ms(5)) - ms(5);
        assert!(until >= ms(from_ms) && until <= ms(to_ms), "{until:?}");
    }
}

#[test]
fn a_pause_counts_from_when_its_answer_was_read() {
    let mut core = configured(routes());
    let statement = pause_for(ms(2 * SECONDS));
    let (endpoint, asked) = (engine(1), Asked::Request);
    // The core was late by a second.
    let event = Event::Stated { endpoint, asked, statement, at: ms(100) };
    core.handle(event, ms(1_100));
    assert!(!gets_any(&mut core, "engine-1", 100, 2_099));
    assert!(gets_any(&mut core, "engine-1", 200, 2_601));
}

#[test]
fn where_all_want_nothing_the_rest_is_refused_at_once_with_the_true_time() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), pause_for(ms(8 * SECONDS)), 0);
    says(&mut core, &engine(2), pause_for(ms(4 * SECONDS)), 0);
    for caller in 1..=50 {
        let at = 100 + caller * 50;
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(at));
        let refusal = refusal(&actions).expect("refused at once");
        assert_eq!((refusal.reason, refusal.not_run), (Refused::AllPaused, true));
        let opens = refusal.retry_after + ms(at);
        assert!(opens >= ms(4_000) && opens <= ms(5_500), "{opens:?}");
    }
}

#[test]
fn when_pauses_end_endpoints_are_filled_by_degrees() {
    let mut core = configured(routes());
    // Both turned something away, after they had served something; they turn away no more.
    for caller in 1..=2 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(0));
        let (attempt, order) = calls(&actions)[0].clone();
        says(&mut core, &order.endpoint, pause_for(ms(3 * SECONDS)), 1);
        core.handle(Event::Answered { caller, attempt, proof: good(), is_open: false }, ms(1));
    }
    let mut press = |first: u64, at: u64| {
        let mut sent = Vec::new();
        for caller in first..first + 40 {
            let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(at));
            sent.extend(calls(&actions).into_iter().map(|(attempt, _)| (caller, attempt)));
            if let Some(refusal) = refusal(&actions) {
                assert_eq!((refusal.reason, refusal.not_run), (Refused::AllPaused, true));
                assert!(refusal.retry_after <= ms(750), "{:?}", refusal.retry_after);
            }
        }
        for (caller, attempt) in &sent {
            let answered = Event::Answered {
                caller: *caller,
                attempt: *attempt,
                proof: good(),
                is_open: false,
            };
            core.handle(answered, ms(at + 10));
        }
        sent.len()
    };
    assert_eq!(press(100, 4_000), 2, "one each");
    assert_eq!(press(200, 4_020), 4, "then two");
    assert!(press(300, 4_040) >= 40, "then as ever: they run four at once");
}

#[test]
fn what_was_there_before_a_pause_makes_no_way_after_it() {
    let mut core = configured(routes());
    says(&mut core, &engine(2), LEAVES, 0);
    let mut before = Vec::new();
    for caller in 1..=3 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(0));
        before.push((caller, calls(&actions)[0].0));
    }
    says(&mut core, &engine(1), pause_for(ms(SECONDS)), 1);
    assert_eq!(goes_to(&mut core, 10, 1_300).as_deref(), Some("engine-1"), "the first");
    for (caller, attempt) in before {
        let answered = Event::Answered { caller, attempt, proof: good(), is_open: false };
        core.handle(answered, ms(1_310));
    }
    assert_eq!(goes_to(&mut core, 11, 1_320), None, "until the first is answered");
}

#[test]
fn a_first_request_after_a_pause_that_is_turned_away_begins_the_next_pause() {
    let mut core = configured(routes());
    says(&mut core, &engine(2), LEAVES, 0);
    for round in 0..3 {
        let at = round * 5 * SECONDS;
        let caller = 10 * round + 1;
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(at));
        let (attempt, order) = calls(&actions)[0].clone();
        says(&mut core, &order.endpoint, pause_for(ms(3 * SECONDS)), at + 2);
        let proof = Proof { status: 503, not_run: true, ..Proof::default() };
        let refused =
            core.handle(Event::Answered { caller, attempt, proof, is_open: false }, ms(at + 2));
        let refusal = refusal(&refused).expect("there is no other");
        assert!(refusal.not_run && refusal.retry_after >= ms(3 * SECONDS));
        assert_eq!(goes_to(&mut core, caller + 1, at + 2_900), None);
    }
}

#[test_case("r", false; "a request that may run again")]
#[test_case("again", true; "a stream that goes on elsewhere")]
fn repeats_and_resumed_streams_keep_away(name: &str, streams: bool) {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming(name, Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    let other = if &*order.endpoint.id == "engine-1" { engine(2) } else { engine(1) };
    let failed = if streams {
        core.handle(Event::Answered { caller: 1, attempt, proof: good(), is_open: true }, ms(5));
        says(&mut core, &other, LEAVES, 10);
        let last_event = Some("3".to_owned());
        core.handle(Event::StreamEnded { caller: 1, attempt, whole: false, last_event }, ms(20))
    } else {
        says(&mut core, &other, pause_for(ms(3 * SECONDS)), 10);
        let failure = CallFailure::Broken;
        core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20))
    };
    assert!(calls(&failed).is_empty(), "there is no other");
    let is_over = |a: &Action| matches!(a, Action::Abort { .. } | Action::Refuse { .. });
    assert!(failed.iter().any(is_over));
}

#[test]
fn what_was_ordered_and_did_not_go_out_goes_elsewhere_without_blame() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    let actions = says(&mut core, &order.endpoint, pause_for(ms(SECONDS)), 10);
    let withheld = |a: &Action| matches!(a, Action::Withhold { until: Some(_), .. });
    assert!(actions.iter().any(withheld));
    let failure = CallFailure::Withheld;
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20));
    assert_eq!(calls(&actions).len(), 1);
    assert_ne!(calls(&actions)[0].1.endpoint.id, order.endpoint.id);
    assert!(!actions.iter().any(|a| matches!(a, Action::Note(Note::Suspicion { .. }))));
}

/// Calls with pieces, as (call, endpoint).
fn batches(actions: &[Action]) -> Vec<(u64, Arc<Endpoint>)> {
    let batches = actions.iter().filter_map(|a| match a {
        Action::Batch { call, endpoint, .. } => Some((*call, endpoint.clone())),
        _ => None,
    });
    batches.collect()
}

fn freed(actions: &[Action]) -> Vec<String> {
    let freed = actions.iter().filter_map(|a| match a {
        Action::Free { endpoint, .. } => Some(endpoint.id.to_string()),
        _ => None,
    });
    freed.collect()
}

fn made(handle: &str) -> BatchOutcome {
    BatchOutcome::Pieces(vec![PieceOutcome::Made(handle.into())])
}

#[test]
fn results_at_an_endpoint_that_wants_nothing_are_freed_when_it_does_again() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    let (call, maker) = batches(&actions)[0].clone();
    says(&mut core, &maker, pause_for(ms(2 * SECONDS)), 10);
    core.handle(Event::BatchEnded { call, outcome: made("h/1") }, ms(200));
    let mut actions = core.handle(Event::CallerGone { caller: 1 }, ms(210));
    for at in (220..=2_000).step_by(20) {
        actions.extend(core.handle(Event::Tick, ms(at)));
    }
    assert!(freed(&actions).is_empty(), "it wants nothing until 2 s");
    assert!(core.next_wakeup().is_some());
    let after: Vec<_> =
        (2_010..=2_600).step_by(20).flat_map(|at| core.handle(Event::Tick, ms(at))).collect();
    assert_eq!(freed(&after), [maker.id.to_string()]);
    assert_eq!(core.in_flight(), 0);
}

#[test]
fn results_at_an_endpoint_that_leaves_are_freed() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    let (call, maker) = batches(&actions)[0].clone();
    says(&mut core, &maker, LEAVES, 10);
    core.handle(Event::BatchEnded { call, outcome: made("h/1") }, ms(200));
    let actions = core.handle(Event::CallerGone { caller: 1 }, ms(210));
    assert_eq!(
        freed(&actions),
        [maker.id.to_string()],
        "it is no new work, and room for calls there"
    );
}

#[test]
fn pieces_go_to_endpoints_that_want_them() {
    for statement in [LEAVES, pause_for(ms(9 * SECONDS))] {
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
        says(&mut core, &endpoint("first", number), statement, 10);
        for at in (20..3_000).step_by(100) {
            assert!(!press(&mut core, at).contains(&first), "{statement:?}");
        }
    }
}

#[test]
fn a_job_whose_endpoints_all_want_nothing_until_its_end_is_given_up_at_once_with_the_true_time() {
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
    says(&mut core, &endpoint("first", 1), pause_for(ms(20 * SECONDS)), 10);
    let actions = says(&mut core, &endpoint("first", 2), pause_for(ms(30 * SECONDS)), 20);
    let refusal = refusal(&actions).expect("it can't be made");
    assert!(refusal.not_run);
    assert!(refusal.retry_after >= ms(19_900) && refusal.retry_after <= ms(21_500));
    // So is what comes now.
    let actions = submit(&mut core, 9, incoming("staged", vec![4, 1]), ms(100));
    let refusal = directenv::gateway::refusal(&actions).expect("nor can this");
    assert!(refusal.not_run && refusal.retry_after >= ms(19_800), "{:?}", refusal.retry_after);
}

#[test]
fn a_request_whose_engines_want_nothing_until_its_stages_are_made_is_begun() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), pause_for(ms(300)), 0);
    says(&mut core, &engine(2), pause_for(ms(300)), 0);
    let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    assert_eq!(batches(&actions).len(), 1, "two calls of 240 ms come before the engines");
    let actions = submit(&mut core, 2, incoming("r", Vec::new()), ms(0));
    assert_eq!(refusal(&actions).expect("it needs one now").reason, Refused::AllPaused);
}

#[test]
fn an_endpoint_that_wants_nothing_is_not_asked_how_it_stands() {
    let mut core = configured(routes());
    says(&mut core, &endpoint("first", 1), pause_for(ms(9 * SECONDS)), 10);
    says(&mut core, &endpoint("first", 2), LEAVES, 10);
    // The first job after a while has all endpoints asked.
    let actions = submit(&mut core, 1, incoming("staged", vec![0, 1]), ms(3_000));
    let asked = |a: &Action| match a {
        Action::AskReport(endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    };
    let asked: Vec<String> = actions.iter().filter_map(asked).collect();
    assert!(!asked.is_empty() && !asked.iter().any(|id| id.starts_with("first-")), "{asked:?}");
}

#[test]
fn an_endpoint_without_room_is_not_asked_how_it_stands_where_it_wants_nothing() {
    for (statement, expected) in [(None, 1), (Some(pause_for(ms(9 * SECONDS))), 0)] {
        let mut core = configured(routes());
        let actions = submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
        let (call, maker) = batches(&actions)[0].clone();
        if let Some(statement) = statement {
            says(&mut core, &maker, statement, 10);
        }
        let outcome = BatchOutcome::Pieces(vec![PieceOutcome::NoRoom]);
        let actions = core.handle(Event::BatchEnded { call, outcome }, ms(300));
        let asked = actions.iter().filter(|a| matches!(a, Action::AskReport(_))).count();
        assert_eq!(asked, expected);
    }
}

#[test]
fn an_endpoint_that_wants_nothing_is_probed_after_its_pause() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    says(&mut core, &order.endpoint, pause_for(ms(SECONDS)), 5);
    let failure = CallFailure::Broken;
    let mut during = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(10));
    during.extend((1..50).flat_map(|n| core.handle(Event::Tick, ms(10 + n * 20))));
    let probed = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Probe(_)));
    assert!(!probed(&during));
    let after: Vec<_> =
        (0..20).flat_map(|n| core.handle(Event::Tick, ms(1_100 + n * 20))).collect();
    assert!(probed(&after));
}

#[test]
fn an_endpoint_that_tells_that_it_is_cold_gets_its_part_of_pieces_and_requests_alike() {
    const BEARS: ColdStart = ColdStart { per_second: 10.0, lasts: Duration::from_secs(3) };
    let mut deployment = deployment(9, routes());
    deployment.pools.iter_mut().for_each(|pool| pool.cold = Some(BEARS));
    let mut core = configured(routes());
    publish(&mut core, deployment, ms(0));
    submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(3_000));
    for (number, service) in [(1, "first"), (2, "first"), (1, "engine"), (2, "engine")] {
        let cold = Statement { cold: Some(ms(2 * SECONDS)), ..Statement::default() };
        let told = says(&mut core, &endpoint(service, number), cold, 3_010);
        let noted = |a: &&Action| matches!(a, Action::Note(Note::Stated { .. }));
        assert_eq!(told.iter().filter(noted).count(), 1);
        let again = says(&mut core, &endpoint(service, number), cold, 3_020);
        assert_eq!(again.iter().filter(noted).count(), 0, "told once");
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
    says(&mut core, &engine(1), warm, 3_200);
    assert!(gets_any(&mut core, "engine-1", 900, 3_210), "it told that it is warm");
}

#[test]
fn load_that_another_endpoint_tells_at_the_address_is_not_believed() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    let load = Some((60, 60, 64));
    let proof =
        Proof { status: 421, not_run: true, other_endpoint: true, load, ..Proof::default() };
    core.handle(Event::Answered { caller: 1, attempt, proof, is_open: false }, ms(5));
    // It is avoided for a moment as at any wrong address, and not for being full.
    assert!(gets_any(&mut core, &order.endpoint.id, 100, 600));
}

#[test]
fn what_is_known_is_bounded() {
    let mut departures = Departures::default();
    let mut backoffs = Backoffs::new(address(1));
    for number in 0..6_000u64 {
        let id = format!("endpoint-{number}");
        let endpoint = Endpoint { id: id.as_str().into(), ..(*engine(1)).clone() };
        departures.heard(Departure::of(&endpoint), ms(number));
        backoffs.asked(&endpoint, Backoff::For(ms(900 * SECONDS)), ms(number));
    }
    assert!(departures.len() <= 4_096 && backoffs.len() <= 4_096);
    assert!(departures.has(&Departure { endpoint: "endpoint-5999".into(), incarnation: 0 }));
    assert!(departures.news(|_| false).len() <= 256, "so is a heartbeat");
    assert!(departures.all(|_| false).len() <= 256);
    assert!(departures.forget(|_| false, ms(6_000 + 600 * SECONDS)));
    assert!(departures.is_empty(), "none is listed, nor was heard of for ten minutes");
}

#[test]
fn a_life_that_is_listed_is_not_forgotten() {
    let mut core = configured(routes());
    says(&mut core, &engine(1), LEAVES, 10);
    for minute in 1..40 {
        core.handle(Event::Tick, ms(minute * 60 * SECONDS));
    }
    let at = 40 * 60 * SECONDS;
    publish(&mut core, deployment(9, routes()), ms(at));
    assert!(!gets_any(&mut core, "engine-1", 100, at + 1));
}

#[test]
fn reports_in_which_an_endpoint_is_in_another_life_end_no_pause() {
    let mut core = configured(routes());
    submit(&mut core, 1, incoming("staged", vec![1, 1]), ms(0));
    says(&mut core, &endpoint("first", 1), pause_for(ms(5 * SECONDS)), 10);
    let report = BatchReport { free_bytes: 1_000, waiting: 0, incarnation: 99 };
    let event = Event::Reported { endpoint: "first-1".into(), report, asked: ms(15) };
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
fn gateways_differ_in_what_they_add_to_a_pause() {
    let ends = |port| {
        let mut known = Backoffs::new(address(port));
        known.asked(&engine(1), Backoff::For(ms(4 * SECONDS)), ms(0))
    };
    let all: std::collections::BTreeSet<_> = (1..=100).filter_map(ends).collect();
    assert!(all.len() > 90, "gateways come back apart");
}

#[test]
fn a_cell_that_is_begun_during_a_pause_knows_of_it() {
    let bounds = Bounds { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };
    let (mut owners, table) = (Owners::new(address(1), bounds), table(routes()));
    let mut known = Backoffs::new(address(1));
    known.asked(&endpoint("first", 1), Backoff::For(ms(9 * SECONDS)), ms(0));
    owners.paused(&endpoint("first", 1), &Arc::new(known), &table, ms(0));
    for number in 1..=4 {
        owners.submit(job(number, &staged(), 4), &table, ms(10));
    }
    let actions = owners.actions(&table, ms(10));
    let called: Vec<String> =
        batches(&actions).into_iter().map(|(_, e)| e.id.to_string()).collect();
    assert_eq!(called, ["first-2"]);
}
