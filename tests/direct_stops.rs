//! A gateway that is told to stop: what it takes after that is answered whole before it ends.

mod directenv;

use std::time::Duration;

use directenv::gateway::{calls, configured, good, hear_of, incoming, refusal, serving, submit};
use directenv::{address, ms, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Incoming, Proof, Refused};
use stackmast::direct::members::{Member, MemberState};
use stackmast::direct::message::{Job, JobId, JobReason, JobStage, Made, PeerMessage};
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
    for number in 0..8 {
        serve(&mut core, 10 + number, "long", ms(5_000));
        serve(&mut core, 20 + number, "short", ms(300));
    }
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    let now = SIGNAL + ms(3_060);
    let actions = submit(&mut core, 3, patient("long", Vec::new()), now);
    assert!(refused_as_not_run(&actions), "5 s don't fit into what is left");
    assert!(calls(&actions).is_empty());
    let actions = submit(&mut core, 4, patient("short", Vec::new()), now);
    assert_eq!(calls(&actions).len(), 1, "nobody else serves, and it ends by all experience");
}

/// A job with one stage of one piece, of a request that waits for ten seconds.
fn a_job(id: JobId) -> Box<Job> {
    let stage = JobStage {
        pool: "first".into(),
        after: Vec::new(),
        result_bytes: 10,
        pieces: 1,
        done: Vec::new(),
    };
    Box::new(Job {
        id,
        request: "id-7".into(),
        route: "s".into(),
        stages: vec![stage],
        key: Some("k".into()),
        to_objective: ms(3_000),
        to_deadline: ms(5_000),
        after: ms(100),
        priority: 0,
        data_centre: "hall-1".into(),
        resubmitted: false,
    })
}

/// A gateway beside one that stops too and has this request's stages since `submitted`.
fn beside_an_owner(submitted: Duration) -> (GatewayCore, u16) {
    for port in 2..20 {
        let mut core = configured(vec![staged(), stream("long")]);
        serve(&mut core, 1, "long", ms(100));
        serve_staged(&mut core);
        let mut owner = serving(port);
        (owner.state, owner.heartbeat) = (MemberState::Leaving, 2);
        core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
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

// A cold review of issue 18's mend: refusals that come fast said how long streams take.
#[test]
fn what_failed_fast_is_no_experience() {
    let mut core = configured(vec![stream("long")]);
    for number in 0..8 {
        serve(&mut core, 10 + number, "long", ms(5_000));
    }
    for number in 100..300 {
        let now = ms(10_000 + number);
        let attempt = calls(&submit(&mut core, number, patient("long", Vec::new()), now))[0].0;
        let proof = Proof { status: 400, ..good() };
        let answer = Event::Answered { caller: number, attempt, proof, is_open: false };
        core.handle(answer, now + ms(5));
    }
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    let now = SIGNAL + ms(3_060);
    assert!(refused_as_not_run(&submit(&mut core, 3, patient("long", Vec::new()), now)));
}

// A core that lags hears of the signal late; the process does not end later for it.
#[test]
fn the_end_counts_from_the_signal_not_from_when_the_core_heard_of_it() {
    let mut core = configured(vec![stream("long")]);
    for number in 0..8 {
        serve(&mut core, 10 + number, "long", ms(1_000));
    }
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL + ms(400));
    let late = patient("long", Vec::new());
    assert!(refused_as_not_run(&submit(&mut core, 3, late, SIGNAL + ms(6_350))));
}

#[test]
fn a_stream_is_not_resumed_by_a_process_that_ends_before_it() {
    let mut core = configured(vec![Route { resumable: true, ..stream("long") }]);
    for number in 0..8 {
        serve(&mut core, 10 + number, "long", ms(2_000));
    }
    let sent = SIGNAL + ms(1_000);
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    let attempt = calls(&submit(&mut core, 3, patient("long", Vec::new()), sent))[0].0;
    let head = Event::Answered { caller: 3, attempt, proof: good(), is_open: true };
    core.handle(head, sent + ms(100));
    let broke =
        Event::StreamEnded { caller: 3, attempt, whole: false, last_event: Some("4".into()) };
    let actions = core.handle(broke, SIGNAL + ms(7_000));
    assert!(calls(&actions).is_empty(), "it could not end");
    assert!(actions.iter().any(|a| matches!(a, Action::Abort { caller: 3 })), "at once");
}

#[test]
fn a_stopping_owner_hands_back_the_jobs_of_others_at_its_end() {
    let (mut core, _) = beside_an_owner(SIGNAL + ms(1_000));
    let job = a_job(JobId { gateway: address(30), incarnation: 5, number: 7 });
    let from = address(30);
    hear_of(&mut core, vec![serving(30)], SIGNAL + ms(1_000));
    core.handle(Event::Peer { from, message: PeerMessage::Submit(job) }, SIGNAL + ms(1_100));
    let actions = core.handle(Event::End, SIGNAL + ms(7_700));
    let is_handed_back = |a: &Action| matches!(a, Action::Tell { to, message: PeerMessage::GivenUp { reason: JobReason::NotOwner, .. } } if *to == from);
    assert!(actions.iter().any(is_handed_back));
}

fn leaving(port: u16) -> Member {
    Member { state: MemberState::Leaving, ..serving(port) }
}

/// When a caller is told to come back who asks `after` the signal, with these others heard of at the
/// signal and again 200 ms before.
fn told_to_come_back(others: &[Member], after: u64) -> Duration {
    let mut core = configured(vec![stream("long")]);
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    for (beat, at) in [(2, 0), (3, after - 200)] {
        let heard = others.iter().map(|m| Member { heartbeat: beat, ..m.clone() });
        let heard: Vec<Member> = heard.collect();
        if !heard.is_empty() {
            hear_of(&mut core, heard, SIGNAL + ms(at));
        }
    }
    let actions = submit(&mut core, 3, patient("long", Vec::new()), SIGNAL + ms(after));
    refusal(&actions).expect("refused").retry_after
}

// Each is made longer by up to a half, so that callers don't come back together.
#[test_case(&[serving(2)], 2_000, 100; "another serves")]
#[test_case(&[], 4_000, 1_200; "alone")]
#[test_case(&[leaving(2)], 4_000, 1_000; "another that stops, too, and ends as soon as it may")]
#[test_case(&[leaving(2), serving(3)], 2_000, 100; "one of two serves")]
fn callers_come_back_when_a_gateway_is_expected_back(others: &[Member], after: u64, least: u64) {
    let told = told_to_come_back(others, after);
    assert!(told >= ms(least) && told <= ms(least).mul_f64(1.9) + ms(100), "{told:?}");
}

#[test]
fn one_that_is_dead_for_long_is_not_waited_for() {
    let mut core = configured(vec![stream("long")]);
    hear_of(&mut core, vec![serving(2)], ms(1_000));
    core.handle(Event::Tick, ms(3_000));
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    let actions = submit(&mut core, 3, patient("long", Vec::new()), SIGNAL + ms(3_500));
    assert!(refusal(&actions).expect("refused").retry_after >= ms(1_000));
}

#[test]
fn before_the_process_ends_what_has_no_answer_gets_one() {
    let mut core = configured(vec![stream("long"), staged()]);
    submit(&mut core, 1, patient("long", Vec::new()), SIGNAL - ms(500));
    core.handle(Event::Drain { at: SIGNAL }, SIGNAL);
    assert!(refusal(&core.handle(Event::Tick, SIGNAL + ms(7_000))).is_none(), "it may still end");
    let actions = core.handle(Event::End, SIGNAL + ms(7_700));
    assert!(!refusal(&actions).expect("answered").not_run, "it was sent");
    assert_eq!(core.in_flight(), 0);
}
