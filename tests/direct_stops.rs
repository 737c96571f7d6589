//! A gateway that is told to stop: what it takes after that is answered whole before it ends.

mod directenv;

use std::time::Duration;

use directenv::gateway::{calls, configured, good, hear_of, incoming, refusal, serving, submit};
use directenv::{address, ms, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Incoming, Refused};
use stackmast::direct::members::MemberState;
use stackmast::direct::message::{JobId, Made, PeerMessage};
use stackmast::direct::model::{Repeat, Route};
use test_case::test_case;

/// When the signals of these tests come.
const SIGNAL: Duration = Duration::from_secs(20);

fn stream(name: &str) -> Route {
    let mut route = route(name, Repeat::AtMostOnce, &[]);
    route.streams = true;
    route.timeout = Duration::from_secs(20);
    route
}

/// A stream with one stage.
fn staged() -> Route {
    let stages = route("s", Repeat::AtMostOnce, &[("first", &[], 10)]).stages;
    Route { stages, ..stream("s") }
}

/// A request that waits for twenty seconds.
fn patient(route: &str, pieces: Vec<usize>) -> Incoming {
    Incoming { allowed: Some(Duration::from_secs(20)), ..incoming(route, pieces) }
}

/// Serves one stream of this length.
fn serve(core: &mut GatewayCore, caller: u64, name: &str, length: Duration) {
    let now = ms(1_000);
    let attempt = calls(&submit(core, caller, patient(name, Vec::new()), now))[0].0;
    let head = Event::Answered { caller, attempt, proof: good(), is_open: true };
    core.handle(head, now + length.min(ms(100)));
    let ended = Event::StreamEnded { caller, attempt, whole: true, last_event: None };
    core.handle(ended, now + length);
    assert_eq!(core.in_flight(), 0);
}

fn refused_as_not_run(actions: &[Action]) -> bool {
    refusal(actions).is_some_and(|r| r.not_run && r.reason == Refused::Draining)
}

// Issue 18: taken 3.06 s after the signal, cut when the process ended.
#[test]
fn what_can_not_end_before_the_process_is_refused_at_the_door() {
    let mut core = configured(vec![stream("long"), stream("short")]);
    serve(&mut core, 1, "long", ms(5_000));
    serve(&mut core, 2, "short", ms(300));
    core.handle(Event::Drain, SIGNAL);
    let now = SIGNAL + ms(3_060);
    let actions = submit(&mut core, 3, patient("long", Vec::new()), now);
    assert!(refused_as_not_run(&actions), "5 s don't fit into what is left");
    assert!(calls(&actions).is_empty());
    let actions = submit(&mut core, 4, patient("short", Vec::new()), now);
    assert_eq!(calls(&actions).len(), 1, "nobody else serves, and it ends by all experience");
}

/// A gateway beside one that stops too and has this request's stages since `submitted`.
fn beside_an_owner(submitted: Duration) -> (GatewayCore, u16) {
    for port in 2..20 {
        let mut core = configured(vec![staged(), stream("long")]);
        serve(&mut core, 1, "long", ms(100));
        serve_staged(&mut core);
        let mut owner = serving(port);
        (owner.state, owner.heartbeat) = (MemberState::Leaving, 2);
        core.handle(Event::Drain, SIGNAL);
        hear_of(&mut core, vec![owner], submitted);
        let actions = submit(&mut core, 3, patient("s", vec![1]), submitted);
        let is_submitted = |a: &Action| matches!(a, Action::Tell { to, message: PeerMessage::Submit(_) } if *to == address(port));
        if actions.iter().any(is_submitted) {
            return (core, port);
        }
    }
    panic!("no peer is the owner");
}

/// Serves a request whose stage takes 0.3 s and whose run takes 2 s.
fn serve_staged(core: &mut GatewayCore) {
    let actions = submit(core, 2, patient("s", vec![1]), ms(8_000));
    let call = actions.iter().find_map(|a| match a {
        Action::Batch { call, .. } => Some(*call),
        _ => None,
    });
    let made = stackmast::direct::event::PieceOutcome::Made("p".into());
    let outcome = stackmast::direct::event::BatchOutcome::Pieces(vec![made]);
    let event = Event::BatchEnded { call: call.expect("a call"), outcome };
    let attempt = calls(&core.handle(event, ms(8_300)))[0].0;
    let head = Event::Answered { caller: 2, attempt, proof: good(), is_open: true };
    core.handle(head, ms(8_400));
    let ended = Event::StreamEnded { caller: 2, attempt, whole: true, last_event: None };
    core.handle(ended, ms(10_300));
    assert_eq!(core.in_flight(), 0);
}

#[test_case(2_000, true; "early enough")]
#[test_case(6_500, false; "too late for the run")]
fn what_comes_out_of_its_stages_runs_only_if_its_run_can_end(after: u64, runs: bool) {
    let submitted = SIGNAL + ms(1_000);
    let (mut core, port) = beside_an_owner(submitted);
    let (from, job) = (address(port), JobId { gateway: address(1), incarnation: 1, number: 3 });
    core.handle(Event::Peer { from, message: PeerMessage::Accepted(job) }, submitted + ms(3));
    let mut actions = Vec::new();
    for beat in 0..(after - 1_000) / 200 {
        let mut owner = serving(port);
        (owner.state, owner.heartbeat) = (MemberState::Leaving, 3 + beat);
        let now = submitted + ms(beat * 200 + 10);
        let message = directenv::gateway::gossip(vec![owner]);
        actions.extend(core.handle(Event::Peer { from, message }, now));
    }
    let made = Made { handle: "h".into(), endpoint: "first-1".into() };
    let done = PeerMessage::StageDone { job, stage: 0, results: vec![made] };
    actions.extend(core.handle(Event::Peer { from, message: done }, SIGNAL + ms(after)));
    let ready = Event::Peer { from, message: PeerMessage::Ready(job) };
    actions.extend(core.handle(ready, SIGNAL + ms(after)));
    assert_eq!(calls(&actions).len(), usize::from(runs));
    assert_eq!(refused_as_not_run(&actions), !runs);
}

#[test]
fn before_the_process_ends_what_has_no_answer_gets_one() {
    let mut core = configured(vec![stream("long"), staged()]);
    submit(&mut core, 1, patient("long", Vec::new()), SIGNAL - ms(500));
    core.handle(Event::Drain, SIGNAL);
    assert!(refusal(&core.handle(Event::Tick, SIGNAL + ms(7_000))).is_none(), "it may still end");
    let actions = core.handle(Event::End, SIGNAL + ms(7_700));
    assert!(!refusal(&actions).expect("answered").not_run, "it was sent");
    assert_eq!(core.in_flight(), 0);
}
