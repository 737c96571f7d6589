//! Endpoints that refuse a request and ask for a pause: they get no messages during the pause, and
//! load that grows by steps after it.

mod directenv;

use std::time::Duration;

use directenv::gateway::{
    answered, calls, configured, good, incoming, refusal, stream_ended, submit,
};
use directenv::status_headers::{
    LEAVING, SECONDS, chosen_endpoint, engine, enter, is_chosen, pause_for, receive_departures,
    receive_status, routes, sent_departures, with_incarnation,
};
use directenv::{address, ms};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, CallFailure};
use stackmast::direct::backoff::Backoffs;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::statement::{Backoff, CallKind};
use test_case::test_case;

#[test]
fn a_pause_lasts_as_announced_and_is_not_sent_to_other_gateways() {
    let mut core = configured(routes());
    receive_departures(&mut core, Vec::new(), 5);
    let actions = receive_status(&mut core, &engine(1), pause_for(ms(3 * SECONDS)), 10);
    let is_told = |a: &Action| {
        let paused = |ms: u64| (3_000..=3_750).contains(&ms);
        matches!(a, Action::Log(LogEvent::EndpointStatus { paused_ms: Some(ms), .. }) if paused(*ms))
    };
    assert!(actions.iter().any(is_told));
    for at in [20, 1_000, 3_009] {
        assert!(!is_chosen(&mut core, "engine-1", at * 100, at));
    }
    assert!(is_chosen(&mut core, "engine-1", 900_000, 3_761));
    let beats =
        (1..8).map(|beat| sent_departures(&core.handle(Event::Tick, ms(4_000 + beat * 250))).len());
    assert_eq!(beats.sum::<usize>(), 0);
}

#[test]
fn a_pause_is_neither_shortened_by_later_answers_nor_ended_by_success() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, params) = calls(&actions)[0].clone();
    receive_status(&mut core, &params.endpoint, pause_for(ms(3 * SECONDS)), 10);
    receive_status(&mut core, &params.endpoint, pause_for(ms(100)), 20);
    receive_status(&mut core, &params.endpoint, pause_for(Duration::ZERO), 30);
    core.handle(answered(attempt, good()), ms(40));
    assert!(!is_chosen(&mut core, &params.endpoint.id, 100, 2_900));
}

#[test]
fn a_new_incarnation_is_not_paused() {
    let mut core = configured(routes());
    enter(&mut core, &with_incarnation("engine", 1, 7), 50, 5);
    receive_status(&mut core, &with_incarnation("engine", 1, 7), pause_for(ms(9 * SECONDS)), 10);
    assert!(!is_chosen(&mut core, "engine-1", 100, 20));
    enter(&mut core, &with_incarnation("engine", 1, 9), 51, 30);
    assert!(is_chosen(&mut core, "engine-1", 200, 40));
}

#[test_case(Backoff::For(Duration::ZERO), 0, 0; "none")]
#[test_case(Backoff::For(Duration::from_millis(400)), 400, 500; "a fraction")]
#[test_case(Backoff::Unclear, 1_000, 1_250; "no number")]
#[test_case(Backoff::For(Duration::from_secs(30)), 30_000, 31_000; "long")]
#[test_case(Backoff::For(Duration::MAX), 3_600_000, 3_601_000; "absurd")]
fn every_pause_is_bounded(backoff: Backoff, from_ms: u64, to_ms: u64) {
    for gateway in 1..50 {
        let mut known = Backoffs::new(address(gateway));
        known.record(&engine(1), backoff, ms(5));
        let until = known.paused_until(&engine(1), ms(5)).unwrap_or(ms(5)) - ms(5);
        assert!(until >= ms(from_ms) && until <= ms(to_ms), "{until:?}");
    }
}

#[test]
fn a_pause_starts_when_its_answer_is_read() {
    let mut core = configured(routes());
    let statement = pause_for(ms(2 * SECONDS));
    let (endpoint, asked) = (engine(1), CallKind::Request);
    // The core handles the event a second after the answer was read.
    let event = Event::EndpointStatus { endpoint, asked, statement, sent: ms(90), at: ms(100) };
    core.handle(event, ms(1_100));
    assert!(!is_chosen(&mut core, "engine-1", 100, 2_099));
    assert!(is_chosen(&mut core, "engine-1", 200, 2_601));
}

#[test]
fn when_all_endpoints_pause_requests_are_refused_with_the_end_of_the_pause() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), pause_for(ms(8 * SECONDS)), 0);
    receive_status(&mut core, &engine(2), pause_for(ms(4 * SECONDS)), 0);
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
fn load_grows_by_steps_after_a_pause() {
    let mut core = configured(routes());
    // Both endpoints announce a pause with a successful answer, and refuse nothing later.
    for caller in 1..=2 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(0));
        let (attempt, params) = calls(&actions)[0].clone();
        receive_status(&mut core, &params.endpoint, pause_for(ms(3 * SECONDS)), 1);
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
    assert!(press(300, 4_040) >= 40, "then unlimited: endpoints run four at once");
}

#[test]
fn answers_to_calls_before_a_pause_do_not_raise_the_load_after_it() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(2), LEAVING, 0);
    let mut before = Vec::new();
    for caller in 1..=3 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(0));
        before.push((caller, calls(&actions)[0].0));
    }
    receive_status(&mut core, &engine(1), pause_for(ms(SECONDS)), 1);
    assert_eq!(chosen_endpoint(&mut core, 10, 1_300).as_deref(), Some("engine-1"), "the first");
    for (caller, attempt) in before {
        let answered = Event::Answered { caller, attempt, proof: good(), is_open: false };
        core.handle(answered, ms(1_310));
    }
    assert_eq!(chosen_endpoint(&mut core, 11, 1_320), None, "until the first is answered");
}

#[test]
fn a_refusal_of_the_first_request_after_a_pause_starts_the_next_pause() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(2), LEAVING, 0);
    for round in 0..3 {
        let at = round * 5 * SECONDS;
        let caller = 10 * round + 1;
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(at));
        let (attempt, params) = calls(&actions)[0].clone();
        receive_status(&mut core, &params.endpoint, pause_for(ms(3 * SECONDS)), at + 2);
        let proof = AnswerProof { status: 503, not_run: true, ..AnswerProof::default() };
        let refused =
            core.handle(Event::Answered { caller, attempt, proof, is_open: false }, ms(at + 2));
        let refusal = refusal(&refused).expect("there is no other endpoint");
        assert!(refusal.not_run && refusal.retry_after >= ms(3 * SECONDS));
        assert_eq!(chosen_endpoint(&mut core, caller + 1, at + 2_900), None);
    }
}

#[test_case("r", false; "an idempotent request")]
#[test_case("again", true; "a stream that is resumed elsewhere")]
fn repeats_and_resumed_streams_avoid_paused_endpoints(name: &str, streams: bool) {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming(name, Vec::new()), ms(0));
    let (attempt, params) = calls(&actions)[0].clone();
    let other = if &*params.endpoint.id == "engine-1" { engine(2) } else { engine(1) };
    let failed = if streams {
        core.handle(Event::Answered { caller: 1, attempt, proof: good(), is_open: true }, ms(5));
        receive_status(&mut core, &other, LEAVING, 10);
        core.handle(stream_ended(1, attempt, StreamEnd::ReadFailed, Some("3")), ms(20))
    } else {
        receive_status(&mut core, &other, pause_for(ms(3 * SECONDS)), 10);
        let failure = CallFailure::Broken;
        core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20))
    };
    assert!(calls(&failed).is_empty(), "there is no other endpoint");
    let is_over = |a: &Action| matches!(a, Action::AbortStream { .. } | Action::Refuse { .. });
    assert!(failed.iter().any(is_over));
}

#[test]
fn a_withheld_call_goes_to_another_endpoint_without_suspicion() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, params) = calls(&actions)[0].clone();
    let actions = receive_status(&mut core, &params.endpoint, pause_for(ms(SECONDS)), 10);
    let withheld = |a: &Action| matches!(a, Action::BlockSends { until: Some(_), .. });
    assert!(actions.iter().any(withheld));
    let failure = CallFailure::Withheld;
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20));
    assert_eq!(calls(&actions).len(), 1);
    assert_ne!(calls(&actions)[0].1.endpoint.id, params.endpoint.id);
    assert!(!actions.iter().any(|a| matches!(a, Action::Log(LogEvent::Suspicion { .. }))));
}

#[test]
fn a_paused_endpoint_is_probed_after_its_pause() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, params) = calls(&actions)[0].clone();
    receive_status(&mut core, &params.endpoint, pause_for(ms(SECONDS)), 5);
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
fn gateways_add_different_jitter_to_a_pause() {
    let ends = |port| {
        let mut known = Backoffs::new(address(port));
        known.record(&engine(1), Backoff::For(ms(4 * SECONDS)), ms(0))
    };
    let all: std::collections::BTreeSet<_> = (1..=100).filter_map(ends).collect();
    assert!(all.len() > 90, "gateways resume at different times");
}
