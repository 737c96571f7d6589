//! Results of stages: how long they are kept for the endpoint that needs them, and what happens
//! when they have been freed too early.

mod directenv;

use std::time::Duration;

use directenv::gateway::{answered, calls, configured, good, incoming, stream_ended, submit};
use directenv::{ms, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, BatchOutcome, CallFailure, PieceOutcome};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::published::model::{Repeat, Route};

/// Produces two stages of the only request; returns the resulting actions and their time.
fn make_stages(
    core: &mut GatewayCore,
    mut actions: Vec<Action>,
    at: Duration,
) -> (Vec<Action>, Duration) {
    assert!(calls(&actions).is_empty(), "not before its stages are done");
    let mut now = at;
    for _stage in 0..2 {
        let (call, count) = actions
            .iter()
            .find_map(|a| match a {
                Action::CallBatch { call, pieces, .. } => Some((*call, pieces.len())),
                _ => None,
            })
            .expect("a call");
        now += ms(250);
        let made = (0..count).map(|i| PieceOutcome::Made(format!("{call}/{i}").into()));
        let outcome = BatchOutcome::Pieces(made.collect());
        actions = core.handle(Event::BatchEnded { call, outcome }, now);
    }
    (actions, now)
}

fn staged(repeat: Repeat) -> Route {
    let mut staged = route("r", repeat, &[("first", &[], 10), ("second", &[0], 10)]);
    staged.streams = true;
    staged
}

fn frees(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::FreeResults { .. }))
}

#[test]
fn stages_are_run_by_the_owner_and_their_results_freed_at_the_first_event() {
    let mut core = configured(vec![staged(Repeat::AtMostOnce)]);
    let actions = submit(&mut core, 1, incoming("r", vec![2, 1]), ms(0));
    let (actions, now) = make_stages(&mut core, actions, ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    assert_eq!(order.inputs, ["2/0".into()], "the last stage's results");
    let proof = good();
    core.handle(Event::Answered { caller: 1, attempt, proof, is_open: true }, now + ms(50));
    let actions = core.handle(Event::FirstEvent { caller: 1 }, now + ms(51));
    assert!(frees(&actions));
    let ended = stream_ended(1, attempt, StreamEnd::Complete, None);
    let actions = core.handle(ended, now + ms(300));
    assert!(actions.iter().any(|a| matches!(a, Action::EndStream { .. })));
    assert_eq!(core.in_flight(), 0);
}

/// Runs `count` requests with stages one after the other; the first event of each arrives
/// `first_event` ms after its call was sent. Returns after how many milliseconds the results of
/// each were freed, and the time at the end.
fn freed_after(core: &mut GatewayCore, count: u64, first_event: u64) -> (Vec<u64>, Duration) {
    let mut now = ms(0);
    let mut freed = Vec::new();
    for caller in 100..100 + count {
        let actions = submit(core, caller, incoming("r", vec![2, 1]), now);
        let (actions, out) = make_stages(core, actions, now);
        let (attempt, _) = calls(&actions)[0].clone();
        core.handle(Event::CallSent { caller, attempt }, out);
        let early = (1..first_event).find(|at| frees(&core.handle(Event::Tick, out + ms(*at))));
        now = out + ms(first_event);
        let answered = Event::Answered { caller, attempt, proof: good(), is_open: true };
        let mut actions = core.handle(answered, now);
        actions.extend(core.handle(Event::FirstEvent { caller }, now));
        let at_last = frees(&actions);
        assert_eq!(at_last, early.is_none(), "freed once");
        freed.push(early.unwrap_or(first_event));
        core.handle(stream_ended(caller, attempt, StreamEnd::Complete, None), now + ms(20));
        now += ms(300);
    }
    (freed, now)
}

#[test]
fn an_endpoint_that_fetches_its_inputs_after_150_ms_finds_them() {
    let mut core = configured(vec![staged(Repeat::AtMostOnce)]);
    let (freed, _) = freed_after(&mut core, 40, 170);
    assert!(freed.iter().all(|after| *after >= 150), "freed after {freed:?} ms");
}

#[test]
fn results_are_freed_once_fetched_and_produced_again_after_a_failure() {
    let mut core = configured(vec![staged(Repeat::Idempotent)]);
    let (freed, now) = freed_after(&mut core, 9, 61);
    assert_eq!(freed, [61, 61, 61, 61, 61, 61, 61, 61, 61], "by evidence");
    let actions = submit(&mut core, 1, incoming("r", vec![2, 1]), now);
    let (actions, now) = make_stages(&mut core, actions, now);
    let (attempt, _) = calls(&actions)[0].clone();
    core.handle(Event::CallSent { caller: 1, attempt }, now);
    assert!(!frees(&core.handle(Event::Tick, now + ms(60))));
    assert!(frees(&core.handle(Event::Tick, now + ms(61))));
    let failed = Event::CallFailed { caller: 1, attempt, failure: CallFailure::Broken };
    let actions = core.handle(failed, now + ms(100));
    let (actions, _) = make_stages(&mut core, actions, now + ms(100));
    let (_, order) = calls(&actions)[0].clone();
    assert_eq!(order.inputs, ["22/0".into()], "the results of the second time");
}

#[test]
fn results_freed_too_early_are_logged_produced_again_and_kept_longer() {
    let mut core = configured(vec![staged(Repeat::AtMostOnce)]);
    let (_, now) = freed_after(&mut core, 8, 61);
    let actions = submit(&mut core, 1, incoming("r", vec![2, 1]), now);
    let (actions, now) = make_stages(&mut core, actions, now);
    let (attempt, _) = calls(&actions)[0].clone();
    core.handle(Event::CallSent { caller: 1, attempt }, now + ms(10));
    assert!(frees(&core.handle(Event::Tick, now + ms(72))));
    let proof = AnswerProof { status: 409, not_run: true, ..AnswerProof::default() };
    let actions = core.handle(answered(attempt, proof), now + ms(80));
    let told = |a: &Action| match a {
        Action::Log(LogEvent::ResultsGone { ordered_ms, sent_ms, freed, .. }) => {
            Some((*ordered_ms, *sent_ms, *freed))
        }
        _ => None,
    };
    assert_eq!(actions.iter().find_map(told), Some((80, Some(70), true)));
    let (actions, now) = make_stages(&mut core, actions, now + ms(80));
    let (attempt, _) = calls(&actions)[0].clone();
    core.handle(Event::CallSent { caller: 1, attempt }, now);
    assert!(!frees(&core.handle(Event::Tick, now + ms(500))), "until the first event again");
}

/// Regression test: on small hosts whose links carried a long configuration, 292 of 5,900 requests
/// found their results freed, because their connections were established 60 ms and more after the
/// calls were ordered.
#[test]
fn results_are_kept_while_a_call_waits_for_its_connection() {
    let mut core = configured(vec![staged(Repeat::AtMostOnce)]);
    let (_, now) = freed_after(&mut core, 8, 61);
    let actions = submit(&mut core, 1, incoming("r", vec![2, 1]), now);
    let (actions, now) = make_stages(&mut core, actions, now);
    let (attempt, _) = calls(&actions)[0].clone();
    assert!(!frees(&core.handle(Event::Tick, now + ms(900))));
    core.handle(Event::CallSent { caller: 1, attempt }, now + ms(900));
    assert!(!frees(&core.handle(Event::Tick, now + ms(960))));
    assert!(frees(&core.handle(Event::Tick, now + ms(961))));
}

#[test]
fn results_are_kept_until_the_first_event_if_the_endpoint_has_no_free_slot() {
    let plain = route("plain", Repeat::AtMostOnce, &[]);
    let mut core = configured(vec![staged(Repeat::Idempotent), plain]);
    let (_, now) = freed_after(&mut core, 8, 61);
    for caller in 2..10 {
        let actions = submit(&mut core, caller, incoming("plain", Vec::new()), now);
        assert_eq!(calls(&actions).len(), 1);
    }
    let actions = submit(&mut core, 1, incoming("r", vec![2, 1]), now);
    let (actions, now) = make_stages(&mut core, actions, now);
    let (attempt, _) = calls(&actions)[0].clone();
    core.handle(Event::CallSent { caller: 1, attempt }, now);
    assert!(!frees(&core.handle(Event::Tick, now + ms(62))), "it may be queued there");
    let proof = good();
    core.handle(Event::Answered { caller: 1, attempt, proof, is_open: true }, now + ms(90));
    assert!(frees(&core.handle(Event::FirstEvent { caller: 1 }, now + ms(91))));
}
