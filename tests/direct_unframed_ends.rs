//! Answers without a length or chunks end with their connection, which a crash of the endpoint ends
//! as well: the gateway asks the endpoint for its identity before it takes such an answer for whole.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    answered, calls, configured, good, incoming, is_delivered, listed, publish, refusal, resumable,
    stream_ended, submit,
};
use directenv::status_headers::{pause_for, receive_status};
use directenv::{deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, CallFailure, Framing, Identity};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::{LogEvent, StreamEvent};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Name, Repeat, Route};
use stackmast::direct::statement::{RateLimit, RequestRate, Statement};
use test_case::test_case;

/// Time after the end of an answer at which its endpoint is not asked any more.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

fn unframed() -> AnswerProof {
    AnswerProof { framing: Framing::Connection, ..good() }
}

fn stream_route() -> Route {
    Route { streams: true, ..route("r", Repeat::AtMostOnce, &[]) }
}

/// Submits the request of caller 1 and returns its attempt and its endpoint.
fn begin(core: &mut GatewayCore) -> (u64, Arc<Endpoint>) {
    let (attempt, params) = calls(&submit(core, 1, incoming("r", Vec::new()), ms(0)))[0].clone();
    (attempt, params.endpoint)
}

/// Begins a stream without framing, whose connection ends after the event 7 at 90 ms.
fn end_stream(core: &mut GatewayCore) -> (u64, Arc<Endpoint>, Vec<Action>) {
    let (attempt, endpoint) = begin(core);
    let begins = Event::Answered { caller: 1, attempt, proof: unframed(), is_open: true };
    core.handle(begins, ms(50));
    core.handle(Event::FirstEvent { caller: 1 }, ms(51));
    let closed = stream_ended(1, attempt, StreamEnd::ConnectionClosed, Some("7"));
    let actions = core.handle(closed, ms(90));
    (attempt, endpoint, actions)
}

fn identified(attempt: u64, identity: Identity) -> Event {
    Event::Identified { caller: 1, attempt, identity }
}

fn is_asked(actions: &[Action], endpoint: &Endpoint) -> bool {
    let is_question =
        |a: &Action| matches!(a, Action::Identify { endpoint: e, .. } if **e == *endpoint);
    actions.iter().any(is_question)
}

/// Path of the health check that is asked.
fn health_path(actions: &[Action]) -> Option<Name> {
    actions.iter().find_map(|a| match a {
        Action::Identify { health_path, .. } => health_path.clone(),
        _ => None,
    })
}

fn ends_whole(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::EndStream { .. }))
}

fn is_aborted(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::AbortStream { .. }))
}

/// How the check of an end was logged.
fn check_of(actions: &[Action]) -> Option<(&'static str, &'static str, u32)> {
    actions.iter().find_map(|a| match a {
        Action::Log(LogEvent::Stream(StreamEvent::EndChecked {
            ended, identity, checks, ..
        })) => Some((*ended, *identity, *checks)),
        _ => None,
    })
}

/// Guards against a stream that a crash cuts short and that ends as complete.
#[test_case(Identity::Same, true)]
#[test_case(Identity::Gone, false)]
fn unframed_stream_is_complete_only_if_its_endpoint_lives(identity: Identity, is_whole: bool) {
    let mut core = configured(vec![stream_route()]);
    let (attempt, endpoint, actions) = end_stream(&mut core);
    assert!(is_asked(&actions, &endpoint));
    assert!(!ends_whole(&actions) && !is_aborted(&actions), "its end is not known yet");
    let actions = core.handle(identified(attempt, identity), ms(92));
    assert_eq!((ends_whole(&actions), is_aborted(&actions)), (is_whole, !is_whole));
    assert_eq!(check_of(&actions), Some(("stream", identity.as_str(), 1)));
}

/// Guards against a question for each stream where the framing states the end.
#[test]
fn framed_stream_ends_without_a_question() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, _) = begin(&mut core);
    let begins = Event::Answered { caller: 1, attempt, proof: good(), is_open: true };
    core.handle(begins, ms(50));
    let actions = core.handle(stream_ended(1, attempt, StreamEnd::Complete, Some("7")), ms(90));
    assert!(ends_whole(&actions));
    assert!(!actions.iter().any(|a| matches!(a, Action::Identify { .. })));
}

/// Guards against an end that is taken for regular since nobody contradicts it.
#[test]
fn end_that_nobody_confirms_counts_as_a_crash() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, endpoint, _) = end_stream(&mut core);
    let mut now = ms(90);
    let mut questions = 1;
    let last = loop {
        core.handle(identified(attempt, Identity::Unknown), now);
        now += ms(100);
        let actions = core.handle(Event::Tick, now);
        if is_aborted(&actions) {
            break actions;
        }
        assert!(is_asked(&actions, &endpoint), "at {now:?}");
        questions += 1;
    };
    assert_eq!(now, ms(90) + CHECK_TIMEOUT);
    assert_eq!(check_of(&last), Some(("stream", "unknown", questions)));
}

/// Guards against a verdict that comes after the caller has left, since a question got no response
/// for long.
#[test]
fn question_without_a_response_does_not_delay_the_verdict() {
    let mut core = configured(vec![resumable()]);
    let (attempt, called, _) = end_stream(&mut core);
    core.handle(identified(attempt, Identity::Unknown), ms(1_090));
    assert!(is_asked(&core.handle(Event::Tick, ms(1_190)), &called));
    assert!(calls(&core.handle(Event::Tick, ms(1_580))).is_empty());
    let resumed = calls(&core.handle(Event::Tick, ms(90) + CHECK_TIMEOUT));
    assert_eq!(resumed.len(), 1, "resumed at another endpoint");
}

/// Guards against a sound stream that is cut since this process was suspended while it asked.
#[test]
fn suspension_does_not_count_as_silence() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, endpoint, _) = end_stream(&mut core);
    core.on_suspension(ms(3_000), ms(3_100));
    let mut actions = core.handle(identified(attempt, Identity::Unknown), ms(3_100));
    actions.extend(core.handle(Event::Tick, ms(3_250)));
    assert!(!is_aborted(&actions) && is_asked(&actions, &endpoint));
    assert!(ends_whole(&core.handle(identified(attempt, Identity::Same), ms(3_252))));
}

/// Guards against a stream that its running endpoint stopped at the deadline, and that ends as
/// complete: the deadline that the endpoint got is a whole number of milliseconds, and a suspended
/// gateway reads the end later.
#[test_case(Duration::from_micros(999_300); "just before it")]
#[test_case(ms(1_600); "after a suspension")]
fn stream_that_ends_at_its_deadline_is_not_complete(at: Duration) {
    let mut core = configured(vec![Route { timeout: ms(1_000), ..stream_route() }]);
    let (attempt, _) = begin(&mut core);
    core.handle(Event::Answered { caller: 1, attempt, proof: unframed(), is_open: true }, ms(50));
    if at > ms(1_000) {
        core.on_suspension(ms(1_000), at);
    }
    let closed = stream_ended(1, attempt, StreamEnd::ConnectionClosed, Some("7"));
    let actions = core.handle(closed, at);
    assert!(is_aborted(&actions) && !ends_whole(&actions));
    assert_eq!(check_of(&actions), Some(("stream", "unknown", 0)));
}

/// Guards against questions to an endpoint that asked for a pause.
#[test]
fn question_waits_for_the_end_of_a_pause() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, endpoint) = begin(&mut core);
    core.handle(Event::Answered { caller: 1, attempt, proof: unframed(), is_open: true }, ms(50));
    receive_status(&mut core, &endpoint, pause_for(ms(500)), 60);
    let closed = stream_ended(1, attempt, StreamEnd::ConnectionClosed, Some("7"));
    let mut now = ms(90);
    let mut actions = core.handle(closed, now);
    while !is_asked(&actions, &endpoint) {
        assert!(now < ms(1_400), "not asked");
        now += ms(50);
        actions = core.handle(Event::Tick, now);
    }
    assert!(now >= ms(560), "asked at {now:?}");
    assert!(ends_whole(&core.handle(identified(attempt, Identity::Same), now)));
}

/// Guards against sound answers of an endpoint with a rate limit that are lost, and against
/// questions beyond the limit.
#[test]
fn question_to_a_limited_endpoint_has_a_permit() {
    let mut core = configured(vec![stream_route()]);
    let start = ms(10_000);
    core.handle(Event::Tick, start);
    let request = incoming("r", Vec::new());
    let (attempt, params) = calls(&submit(&mut core, 1, request, start))[0].clone();
    let begins = Event::Answered { caller: 1, attempt, proof: unframed(), is_open: true };
    core.handle(begins, start);
    let limit = Some(RateLimit::At(RequestRate::per_second(20.0)));
    let statement = Statement { limit, ..Statement::default() };
    receive_status(&mut core, &params.endpoint, statement, 10_010);
    let closed = stream_ended(1, attempt, StreamEnd::ConnectionClosed, Some("7"));
    let mut now = ms(10_050);
    let mut actions = core.handle(closed, now);
    while !is_asked(&actions, &params.endpoint) {
        assert!(now < ms(11_500), "not asked");
        now += ms(20);
        actions = core.handle(Event::Tick, now);
    }
    let is_permitted = |a: &Action| matches!(a, Action::Identify { permit: Some(_), .. });
    assert!(actions.iter().any(is_permitted));
    assert!(ends_whole(&core.handle(identified(attempt, Identity::Same), now)));
}

/// Guards against an endpoint whose answers are cut again and again, and that is avoided less than
/// one whose connections break.
#[test]
fn endpoint_whose_answers_are_cut_is_avoided() {
    let share = |fail: &dyn Fn(&mut GatewayCore, u64, u64, Duration)| {
        let routes = vec![Route { max_attempts: 1, ..route("r", Repeat::AtMostOnce, &[]) }];
        let mut core = configured(routes);
        let mut sent = Vec::new();
        for caller in 1..=40 {
            let at = ms(1_700 * caller);
            let actions = submit(&mut core, caller, incoming("r", Vec::new()), at);
            let (attempt, params) = calls(&actions)[0].clone();
            sent.push(params.endpoint.id.clone());
            if sent[0] == params.endpoint.id {
                fail(&mut core, caller, attempt, at);
                continue;
            }
            let proof = good();
            core.handle(Event::Answered { caller, attempt, proof, is_open: false }, at + ms(50));
        }
        sent.iter().filter(|id| **id == sent[0]).count()
    };
    let cut = share(&|core, caller, attempt, at| {
        let answered = Event::Answered { caller, attempt, proof: unframed(), is_open: false };
        core.handle(answered, at + ms(50));
        let gone = Event::Identified { caller, attempt, identity: Identity::Gone };
        core.handle(gone, at + ms(60));
    });
    let broken = share(&|core, caller, attempt, at| {
        let failure = CallFailure::Broken;
        core.handle(Event::CallFailed { caller, attempt, failure }, at + ms(60));
    });
    assert!(cut <= broken, "{cut} of 40 requests, {broken} to one whose connections break");
}

/// Guards against a sound stream that is cut since its endpoint had no slot for the first question.
#[test]
fn end_that_is_confirmed_later_is_regular() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, endpoint, _) = end_stream(&mut core);
    core.handle(identified(attempt, Identity::Unknown), ms(95));
    assert!(is_asked(&core.handle(Event::Tick, ms(195)), &endpoint));
    let actions = core.handle(identified(attempt, Identity::Same), ms(197));
    assert!(ends_whole(&actions));
    assert_eq!(check_of(&actions), Some(("stream", "same", 2)));
}

/// Guards against an endpoint that returned under its id, and is taken for the process before.
#[test]
fn endpoint_that_is_listed_with_another_incarnation_confirms_nothing() {
    let mut core = configured(vec![stream_route()]);
    let list = |incarnation, revision| {
        let engines =
            [1, 2].map(|n| Arc::new(Endpoint { incarnation, ..(*endpoint("engine", n)).clone() }));
        Event::Published { documents: listed(&engines, revision), extent: Extent::Partial }
    };
    core.handle(list(5, 3), ms(0));
    let (attempt, _, _) = end_stream(&mut core);
    core.handle(list(6, 4), ms(91));
    let actions = core.handle(identified(attempt, Identity::Same), ms(92));
    assert!(is_aborted(&actions) && !ends_whole(&actions));
    assert_eq!(check_of(&actions), Some(("stream", "gone", 1)));
}

/// Guards against a cut stream that is not resumed where its route allows it.
#[test]
fn cut_stream_is_resumed_after_its_last_event() {
    let mut core = configured(vec![resumable()]);
    let (attempt, called, _) = end_stream(&mut core);
    let actions = core.handle(identified(attempt, Identity::Gone), ms(92));
    let resumed = calls(&actions);
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].1.after_event.as_deref(), Some("7"));
    assert_ne!(resumed[0].1.endpoint.id, called.id);
}

/// Guards against half of an answer that is delivered as the whole one.
#[test]
fn unframed_answer_is_delivered_once_its_endpoint_confirms() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let (attempt, endpoint) = begin(&mut core);
    let actions = core.handle(answered(attempt, unframed()), ms(50));
    assert!(is_asked(&actions, &endpoint) && !is_delivered(&actions));
    let actions = core.handle(identified(attempt, Identity::Same), ms(52));
    assert!(is_delivered(&actions));
    assert_eq!(check_of(&actions), Some(("answer", "same", 1)));
}

/// Guards against a cut answer that is delivered, or refused as not run.
#[test]
fn cut_answer_to_a_request_that_may_run_once_is_in_doubt() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let (attempt, _) = begin(&mut core);
    core.handle(answered(attempt, unframed()), ms(50));
    let actions = core.handle(identified(attempt, Identity::Gone), ms(52));
    assert!(!is_delivered(&actions) && calls(&actions).is_empty());
    let refusal = refusal(&actions).expect("a final answer");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::OutcomeUnknown, false));
}

/// Guards against a cut answer that is not asked for again where that is allowed.
#[test]
fn cut_answer_to_a_repeatable_request_is_asked_for_again() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    let (attempt, called) = begin(&mut core);
    core.handle(answered(attempt, unframed()), ms(50));
    let actions = core.handle(identified(attempt, Identity::Gone), ms(52));
    let again = calls(&actions);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1.endpoint.id, called.id);
}

/// Guards against an answer that is thrown away since its endpoint is slow to confirm it.
#[test]
fn answer_that_waits_for_its_confirmation_is_not_silent() {
    let objective = ms(100);
    let routes = vec![Route { objective, ..route("r", Repeat::Idempotent, &[]) }];
    let mut core = configured(routes);
    let (attempt, _) = begin(&mut core);
    core.handle(answered(attempt, unframed()), ms(50));
    assert!(calls(&core.handle(Event::Tick, ms(70))).is_empty(), "not sent again");
    assert!(is_delivered(&core.handle(identified(attempt, Identity::Same), ms(300))));
}

/// Guards against a question, or its response, that outlives the request.
#[test]
fn response_after_the_end_of_the_request_changes_nothing() {
    let mut core = configured(vec![stream_route()]);
    let (attempt, _, _) = end_stream(&mut core);
    core.handle(identified(attempt, Identity::Unknown), ms(95));
    core.handle(Event::CallerDisconnected { caller: 1 }, ms(100));
    let asked = core.handle(Event::Tick, ms(195));
    assert!(!asked.iter().any(|a| matches!(a, Action::Identify { .. })));
    let actions = core.handle(identified(attempt, Identity::Same), ms(200));
    assert!(!ends_whole(&actions) && check_of(&actions).is_none());
}

/// Guards against a refusal by another endpoint, or one that names no run, that waits for a
/// confirmation: nothing of its body is delivered.
#[test_case(AnswerProof { status: 503, not_run: true, ..unframed() })]
#[test_case(AnswerProof { status: 421, from_other_endpoint: true, ..unframed() })]
fn unframed_refusal_of_an_endpoint_needs_no_confirmation(proof: AnswerProof) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let (attempt, _) = begin(&mut core);
    let actions = core.handle(answered(attempt, proof), ms(50));
    assert_eq!(calls(&actions).len(), 1, "sent to another endpoint");
}

/// Guards against a question at the wrong path where the configuration names another one.
#[test]
fn question_goes_to_the_health_check_of_the_pool() {
    let mut core = configured(Vec::new());
    let mut configuration = deployment(2, vec![stream_route()]);
    for pool in &mut configuration.pools {
        pool.health_path = Some("/alive".into());
    }
    publish(&mut core, configuration, ms(0));
    let (_, _, actions) = end_stream(&mut core);
    assert_eq!(health_path(&actions).as_deref(), Some("/alive"));
}

/// Guards against a question at another path since a newer configuration lacks the pool.
#[test]
fn question_goes_to_the_health_check_of_the_pool_at_the_call() {
    let mut core = configured(Vec::new());
    let mut first = deployment(2, vec![stream_route()]);
    for pool in &mut first.pools {
        pool.health_path = Some("/alive".into());
    }
    publish(&mut core, first, ms(0));
    let (attempt, _) = begin(&mut core);
    core.handle(Event::Answered { caller: 1, attempt, proof: unframed(), is_open: true }, ms(50));
    let mut second = deployment(3, Vec::new());
    second.pools.retain(|pool| &*pool.name != "engine");
    let document = Document::Deployment(Arc::new(second));
    let documents = vec![Revised { position: position(9), created_revision: 0, document }];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(60));
    let closed = stream_ended(1, attempt, StreamEnd::ConnectionClosed, Some("7"));
    let actions = core.handle(closed, ms(90));
    assert_eq!(health_path(&actions).as_deref(), Some("/alive"));
}
