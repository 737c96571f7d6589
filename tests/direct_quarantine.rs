//! One gateway's core with crashes, probes, reports of other gateways, and requests that are
//! repeated.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    calls, configured, good, gossip, incoming, listed, receive_gossip, refusal, serving,
    stream_ended, submit,
};
use directenv::{address, endpoint, ms, route};
use stackmast::actor::Core;
use stackmast::direct::answers::CallFailure;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, IncomingRequest, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::{LogEvent, PoisonEvent};
use stackmast::direct::peers::members::Member;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::poison::suspects::{RETENTION, Suspects};
use stackmast::direct::poison::{Run, SubjectKind};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};

fn content() -> Fingerprint {
    Fingerprint::of_content("POST", "/r/x", b"poison")
}

fn poison(route: &str, pieces: Vec<usize>) -> IncomingRequest {
    IncomingRequest { content: content(), ..incoming(route, pieces) }
}

fn core() -> GatewayCore {
    let staged = route("s", Repeat::AtMostOnce, &[("first", &[], 10)]);
    configured(vec![route("r", Repeat::AtMostOnce, &[]), staged])
}

/// Calls an endpoint with the poison, breaks the connection and reports a closed port; returns the
/// resulting actions.
fn crash(core: &mut GatewayCore, caller: u64, now: Duration) -> Vec<Action> {
    let actions = submit(core, caller, poison("r", vec![]), now);
    let (attempt, order) = calls(&actions).remove(0);
    let failure = CallFailure::Broken;
    let actions = core.handle(Event::CallFailed { caller, attempt, failure }, now + ms(10));
    let probes = actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
    assert_eq!(probes, 1, "a broken connection alone proves nothing");
    let Endpoint { id, incarnation, .. } = (*order.endpoint).clone();
    let event = Event::Probed { endpoint: id.clone(), incarnation, is_closed: true };
    let actions = core.handle(event, now + ms(12));
    // The endpoint is up again at once, in a new incarnation.
    let number = if &*id == "engine-1" { 1 } else { 2 };
    let back = Endpoint { incarnation: 100 + caller, ..(*endpoint("engine", number)).clone() };
    let documents = listed(&[Arc::new(back)], 10 + caller);
    core.handle(Event::Published { documents, extent: Extent::Partial }, now + ms(20));
    actions
}

fn sent_messages(actions: &[Action]) -> Vec<&PeerMessage> {
    let messages = actions.iter().filter_map(|a| match a {
        Action::Send { message, .. } | Action::Broadcast { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

#[test]
fn the_fourth_attempt_is_refused_as_not_run_with_a_retry_time() {
    let mut core = core();
    receive_gossip(&mut core, vec![serving(2)], ms(500));
    for caller in 1..=3 {
        let actions = crash(&mut core, caller, ms(1_000 * caller));
        let is_news = |m: &&PeerMessage| matches!(m, PeerMessage::Suspects(_));
        assert_eq!(
            sent_messages(&actions).into_iter().filter(is_news).count(),
            1,
            "sent to the peers at once"
        );
    }
    let refusal = refusal(&submit(&mut core, 4, poison("r", vec![]), ms(4_000))).expect("refused");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::Poison, true));
    assert!(refusal.retry_after >= RETENTION);
    let innocent = submit(&mut core, 5, incoming("r", vec![]), ms(4_001));
    assert_eq!(calls(&innocent).len(), 1, "another body is another request");
}

#[test]
fn a_successful_run_clears_the_suspicion() {
    let mut core = core();
    crash(&mut core, 1, ms(1_000));
    let because = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Log(LogEvent::Sent { because, .. }) => Some(because.clone()),
            _ => None,
        })
    };
    let actions = submit(&mut core, 2, poison("r", vec![]), ms(2_000));
    assert_eq!(because(&actions).as_deref(), Some("set_apart"));
    let attempt = calls(&actions)[0].0;
    let event = Event::Answered { caller: 2, attempt, proof: good(), is_open: false };
    let actions = core.handle(event, ms(2_100));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Log(LogEvent::Poison(PoisonEvent::Cleared { .. }))))
    );
    let actions = submit(&mut core, 3, poison("r", vec![]), ms(3_000));
    assert_eq!(because(&actions).as_deref(), Some("least_load"));
}

/// The poison as known to another gateway.
fn known() -> Suspects {
    let fingerprint = content().for_organisation(Some("org"));
    let mut suspects = Suspects::default();
    for round in 1..=3 {
        let run = Run { kind: SubjectKind::Content, fingerprint, depth: 0, round, alone: true };
        suspects.record_crash(&format!("engine-{}", round + 2).as_str().into(), 1, &[run], ms(0));
    }
    suspects
}

#[test]
fn a_request_waiting_for_its_stages_is_refused_when_a_peer_reports_the_poison() {
    let mut core = core();
    let actions = submit(&mut core, 1, poison("s", vec![1]), ms(1_000));
    assert!(refusal(&actions).is_none());
    let message = PeerMessage::suspects(
        SubjectKind::Content,
        known().announcements(SubjectKind::Content, ms(0)),
    );
    let actions = core.handle(Event::PeerMessage { from: address(2), message }, ms(1_050));
    let refusal = refusal(&actions).expect("it can't be served");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::Poison, true));
    assert_eq!(core.in_flight(), 0, "its job is released, too");
}

#[test]
fn a_gateway_asks_new_members_for_suspects_and_gets_only_missing_ones() {
    let mut core = core();
    core.handle(Event::Tick, ms(3_000));
    receive_gossip(&mut core, vec![serving(2)], ms(3_050));
    let actions = core.handle(Event::Tick, ms(3_250));
    let asks = |m: &&PeerMessage| matches!(m, PeerMessage::AskSuspects(0));
    assert_eq!(sent_messages(&actions).into_iter().filter(asks).count(), 1);
    let ask = |core: &mut GatewayCore, digest: u64| {
        let message = PeerMessage::AskSuspects(digest);
        core.handle(Event::PeerMessage { from: address(2), message }, ms(3_300))
    };
    let tells = |actions: &[Action]| {
        sent_messages(actions).into_iter().any(|m| matches!(m, PeerMessage::Suspects(_)))
    };
    assert!(!tells(&ask(&mut core, 0)), "neither has suspects");
    let message = PeerMessage::suspects(
        SubjectKind::Content,
        known().announcements(SubjectKind::Content, ms(0)),
    );
    core.handle(Event::PeerMessage { from: address(2), message }, ms(3_310));
    assert!(tells(&ask(&mut core, 0)));
    assert!(!tells(&ask(&mut core, known().digest(SubjectKind::Content))));
}

#[test]
fn a_gateway_periodically_asks_for_missed_suspects() {
    let mut core = core();
    let mut asked = 0;
    for beat in 0..30u64 {
        let heard = Member { heartbeat: beat + 1, ..serving(2) };
        let event = Event::PeerMessage { from: address(2), message: gossip(vec![heard]) };
        let actions = core.handle(event, ms(beat * 200));
        asked += sent_messages(&actions)
            .iter()
            .filter(|m| matches!(m, PeerMessage::AskSuspects(_)))
            .count();
    }
    assert!((2..=4).contains(&asked), "about every two seconds: {asked} times in six");
}

#[test]
fn a_broken_stream_of_quarantined_content_is_not_resumed() {
    let again = Route { streams: true, resumable: true, ..route("r", Repeat::AtMostOnce, &[]) };
    let mut core = configured(vec![again]);
    let attempt = calls(&submit(&mut core, 1, poison("r", vec![]), ms(1_000)))[0].0;
    let event = Event::Answered { caller: 1, attempt, proof: good(), is_open: true };
    core.handle(event, ms(1_010));
    let message = PeerMessage::suspects(
        SubjectKind::Content,
        known().announcements(SubjectKind::Content, ms(0)),
    );
    let actions = core.handle(Event::PeerMessage { from: address(2), message }, ms(1_050));
    assert!(
        !actions.iter().any(|a| matches!(a, Action::AbortStream { .. })),
        "it may still run well"
    );
    let ended = stream_ended(1, attempt, StreamEnd::ReadFailed, Some("3"));
    let actions = core.handle(ended, ms(1_060));
    assert!(calls(&actions).is_empty());
    assert!(actions.iter().any(|a| matches!(a, Action::AbortStream { .. })));
}
