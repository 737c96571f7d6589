//! Callers' requests in a gateway's core: one final answer each, and no second run unless it is
//! proved that the first did not happen.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    Heartbeat, answered, calls, configured, good, gossip, incoming, is_delivered, listed, new_core,
    publish, receive_gossip, refusal, serving, setup, stream_ended, submit,
};
use directenv::{address, deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::answers::{AnswerProof, CallFailure};
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event, Generation, IncomingRequest, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::members::MemberState;
use stackmast::direct::peers::message::{JobId, PeerMessage, StoredResult};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Repeat, Route};
use test_case::{test_case, test_matrix};

#[test]
fn a_process_without_a_configuration_is_not_ready_and_refuses_as_not_run() {
    let mut core = new_core();
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    assert!(!actions.iter().any(|a| matches!(a, Action::SetReady(true))));
    assert!(refusal(&actions).is_none(), "the configuration may be about to come");
    assert!(core.next_wakeup().is_some_and(|at| at <= ms(150)));
    assert!(refusal(&core.handle(Event::Tick, ms(149))).is_none());
    let refusal = refusal(&core.handle(Event::Tick, ms(150))).expect("its wait is over");
    assert_eq!(refusal.reason, Refused::NoConfiguration);
    assert!(refusal.not_run && refusal.retry_after > Duration::ZERO);
    let actions =
        publish(&mut core, deployment(1, vec![route("r", Repeat::AtMostOnce, &[])]), ms(155));
    assert!(actions.iter().any(|a| matches!(a, Action::SetReady(true))));
    assert!(calls(&actions).is_empty(), "what was refused never runs");
}

#[test]
fn a_request_waits_for_the_configuration_for_part_of_its_timeout() {
    let mut core = new_core();
    let request = IncomingRequest { timeout: Some(ms(400)), ..incoming("r", Vec::new()) };
    submit(&mut core, 1, request, ms(0));
    assert!(refusal(&core.handle(Event::Tick, ms(49))).is_none());
    assert!(refusal(&core.handle(Event::Tick, ms(50))).is_some());
}

#[test]
fn the_wait_for_the_configuration_counts_towards_the_timeout() {
    let mut core = new_core();
    submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    submit(&mut core, 2, incoming("r", Vec::new()), ms(1));
    core.handle(Event::CallerDisconnected { caller: 2 }, ms(2));
    let actions =
        publish(&mut core, deployment(1, vec![route("r", Repeat::AtMostOnce, &[])]), ms(20));
    let waited =
        |a: &&Action| matches!(a, Action::Log(LogEvent::Waited { waited_ms: 20, known: true, .. }));
    assert_eq!(actions.iter().filter(waited).count(), 1, "logged once");
    let calls = calls(&actions);
    assert_eq!(calls.len(), 1, "not the one whose caller left");
    assert_eq!(calls[0].1.timeout, ms(4_980), "counted from when it came");
}

#[test]
fn a_starting_process_runs_stages_after_settling() {
    let setup = Setup { settling: ms(25), ..setup() };
    let mut core = GatewayCore::new(setup);
    let routes = vec![
        route("plain", Repeat::AtMostOnce, &[]),
        route("staged", Repeat::AtMostOnce, &[("first", &[], 10)]),
    ];
    let actions = publish(&mut core, deployment(1, routes), ms(0));
    let is_asked = actions.iter().any(|a| matches!(a, Action::RequestReport(_)));
    assert!(is_asked, "it asks what its endpoints hold");
    let plain = submit(&mut core, 1, incoming("plain", Vec::new()), ms(1));
    assert_eq!(calls(&plain).len(), 1, "at once");
    submit(&mut core, 2, incoming("staged", vec![1]), ms(2));
    let has_begun =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CallBatch { .. }));
    assert!(!has_begun(&core.handle(Event::Tick, ms(24))));
    assert!(core.next_wakeup().is_some_and(|at| at <= ms(25)));
    assert!(has_begun(&core.handle(Event::Tick, ms(25))));
}

#[test]
fn a_new_member_gets_the_member_list_at_once() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let from = address(2);
    let hear = |core: &mut GatewayCore, now| {
        let message = gossip(vec![serving(2)]);
        let actions = core.handle(Event::PeerMessage { from, message }, now);
        let told = |a: &&Action| matches!(a, Action::Send { to, message: PeerMessage::Gossip { .. } } if *to == from);
        actions.iter().filter(told).count()
    };
    core.handle(Event::Tick, ms(10));
    assert_eq!(hear(&mut core, ms(20)), 1);
    assert_eq!(hear(&mut core, ms(30)), 0, "no more than that");
}

#[test_case("other", "key", &Refused::UnknownRoute; "no route")]
#[test_case("r", "nobody's", &Refused::UnknownKey; "no such key")]
fn unknown_routes_and_keys_are_refused(path: &str, key: &str, expected: &Refused) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let request = IncomingRequest { key: Some(key.to_owned()), ..incoming(path, Vec::new()) };
    let actions = submit(&mut core, 1, request, ms(0));
    assert_eq!(&refusal(&actions).expect("refused").reason, expected);
    assert!(calls(&actions).is_empty());
}

#[test]
fn the_longest_path_prefix_wins() {
    let mut long = route("r", Repeat::AtMostOnce, &[]);
    long.path_prefix = "/r/x/".into();
    long.name = "long".into();
    long.timeout = ms(77);
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[]), long]);
    let request = IncomingRequest { path: "/r/x/y".to_owned(), ..incoming("r", Vec::new()) };
    let actions = submit(&mut core, 1, request, ms(0));
    assert_eq!(calls(&actions)[0].1.timeout, ms(77), "the time-out of the longer prefix");
}

#[test]
fn a_proved_answer_is_delivered_once() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    assert_eq!(order.organisation.as_deref(), Some("org"));
    assert!(!order.reuse_connection, "what may not be repeated gets a fresh connection");
    assert!(is_delivered(&core.handle(answered(attempt, good()), ms(20))));
    assert_eq!(core.in_flight(), 0);
    assert!(!is_delivered(&core.handle(answered(attempt, good()), ms(21))), "once");
}

#[test_case(AnswerProof { signed: false, ..good() }; "without signature")]
#[test_case(AnswerProof { names_request: false, ..good() }; "another request's")]
fn an_unproved_success_is_not_delivered(proof: AnswerProof) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let actions = core.handle(answered(attempt, proof), ms(20));
    assert!(!is_delivered(&actions));
    let refusal = refusal(&actions).expect("given up at once");
    assert!(!refusal.not_run, "it may have run");
    assert!(calls(&actions).is_empty(), "and is not run again");
}

/// Guards against a status of an endpoint that is passed on as the promise that nothing ran: a
/// caller would repeat a request that has run.
#[test_matrix([408, 421, 429, 503], [true, false])]
fn refusal_without_proof_is_no_promise(status: u16, signed: bool) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let proof = AnswerProof { status, signed, ..good() };
    let actions = core.handle(answered(attempt, proof), ms(20));
    assert!(!is_delivered(&actions) && calls(&actions).is_empty());
    assert!(!refusal(&actions).expect("an outcome").not_run);
}

/// Guards against a promise to a caller whose request one endpoint refused with proof after another
/// one may have run it.
#[test]
fn refusal_without_proof_counts_as_a_run_of_a_repeated_request() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let unproven = AnswerProof { status: 503, signed: false, ..good() };
    let actions = core.handle(answered(attempt, unproven), ms(20));
    let mut attempt = calls(&actions)[0].0;
    let proven = AnswerProof { status: 503, not_run: true, ..AnswerProof::default() };
    let refusal = (1..10).find_map(|step| {
        let actions = core.handle(answered(attempt, proven), ms(20 + step));
        attempt = calls(&actions).first().map_or(attempt, |call| call.0);
        refusal(&actions)
    });
    assert!(!refusal.expect("an outcome").not_run);
}

/// Guards against a status that is no final one and reaches a caller.
#[test_matrix([0, 99, 101, 199, 600, 999])]
fn status_that_is_not_final_is_not_delivered(status: u16) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let actions = core.handle(answered(attempt, AnswerProof { status, ..good() }), ms(20));
    assert!(!is_delivered(&actions));
    assert!(!refusal(&actions).expect("an outcome").not_run);
}

#[test_case(CallFailure::Broken; "broken")]
#[test_case(CallFailure::Silent; "silent")]
fn a_request_that_may_have_run_is_not_run_again(failure: CallFailure) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20));
    assert!(calls(&actions).is_empty());
    assert!(!refusal(&actions).expect("given up").not_run);
}

#[test]
fn a_refused_connection_is_retried_at_another_endpoint() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let first = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].clone();
    let failure = CallFailure::TurnedAway;
    let event = Event::CallFailed { caller: 1, attempt: first.0, failure };
    let second = calls(&core.handle(event, ms(4)))[0].clone();
    assert_ne!(second.1.endpoint.id, first.1.endpoint.id);
    assert!(is_delivered(&core.handle(answered(second.0, good()), ms(20))));
    assert_eq!(first.1.connections, 100, "one gateway has all of the bound");
}

#[test]
fn gateways_share_the_connections_of_an_endpoint() {
    let mut spread = route("r", Repeat::AtMostOnce, &[]);
    spread.streams = true;
    let mut core = configured(vec![spread]);
    receive_gossip(&mut core, (2..=50).map(serving).collect(), ms(1));
    let mut counts = std::collections::BTreeMap::new();
    for caller in 1..=4 {
        let prompt = Generation {
            parts: vec![("shared".into(), 9), ("own".into(), 1)],
            ..Generation::default()
        };
        let request = IncomingRequest { generation: Some(prompt), ..incoming("r", Vec::new()) };
        let (_, order) = calls(&submit(&mut core, caller, request, ms(10)))[0].clone();
        assert_eq!(order.connections, 2);
        *counts.entry(order.endpoint.id.clone()).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2], "also against the prefix");
}

#[test]
fn an_idempotent_request_is_repeated_elsewhere_within_its_attempts() {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    let (attempt, first) =
        calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].clone();
    let failure = CallFailure::Broken;
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(20));
    let (attempt, second) = calls(&actions)[0].clone();
    assert_ne!(first.endpoint.id, second.endpoint.id);
    let actions = core.handle(Event::CallFailed { caller: 1, attempt, failure }, ms(40));
    assert!(calls(&actions).is_empty(), "two attempts are all that the route allows");
    assert_eq!(refusal(&actions).expect("given up").reason, Refused::OutcomeUnknown);
}

#[test_case(AnswerProof { status: 503, not_run: true, ..AnswerProof::default() }; "full")]
#[test_case(AnswerProof { status: 421, from_other_endpoint: true, ..AnswerProof::default() }; "another incarnation")]
fn a_request_proved_not_run_goes_to_another_endpoint(proof: AnswerProof) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let (attempt, first) =
        calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].clone();
    let actions = core.handle(answered(attempt, proof), ms(5));
    let (attempt, second) = calls(&actions)[0].clone();
    assert_ne!(first.endpoint.id, second.endpoint.id);
    let actions = core.handle(answered(attempt, proof), ms(10));
    assert!(refusal(&actions).expect("nowhere left").not_run, "not_run is proved");
}

#[test]
fn a_disconnected_caller_cancels_its_call() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    let actions = core.handle(Event::CallerDisconnected { caller: 1 }, ms(10));
    let hung_up =
        |a: &Action| matches!(a, Action::CancelAttempt { attempt: a, .. } if *a == attempt);
    assert!(actions.iter().any(hung_up));
    assert_eq!(core.in_flight(), 0);
}

#[test]
fn a_timeout_is_answered_at_once_and_cancels_the_call() {
    let mut slow = route("r", Repeat::AtMostOnce, &[]);
    slow.timeout = ms(300);
    let mut core = configured(vec![slow]);
    submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let actions = core.handle(Event::Tick, ms(300));
    assert_eq!(refusal(&actions).expect("answered").reason, Refused::TimedOut);
    assert!(actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })));
}

#[test]
fn leaving_and_removed_endpoints_get_no_new_requests() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let mut leaving = (*endpoint("engine", 1)).clone();
    leaving.leaving = true;
    let documents = listed(&[Arc::new(leaving)], 3);
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(1));
    for caller in 1..=4 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(2));
        assert_eq!(&*calls(&actions)[0].1.endpoint.id, "engine-2");
    }
    let document = Document::Removed("engine-2".into());
    let documents = vec![Revised { position: position(4), created_revision: 0, document }];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(3));
    let actions = submit(&mut core, 9, incoming("r", Vec::new()), ms(4));
    assert_eq!(refusal(&actions).expect("nowhere").reason, Refused::NoEndpoint);
}

#[test_case(500, true; "a server error")]
#[test_case(504, false; "a timeout of the endpoint")]
#[test_case(404, false; "an answer")]
fn an_endpoint_with_server_errors_is_avoided(status: u16, is_avoided: bool) {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let mut failed = std::collections::HashSet::new();
    for at in [0, 10] {
        let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(at));
        let (attempt, order) = calls(&actions)[0].clone();
        failed.insert(order.endpoint.id.clone());
        let proof = AnswerProof { status, ..good() };
        let actions = core.handle(answered(attempt, proof), ms(at + 5));
        assert!(is_delivered(&actions), "it is its answer all the same");
    }
    assert_eq!(failed.len(), 1, "the same one while it looks as good as the other");
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(20));
    assert_eq!(!failed.contains(&calls(&actions)[0].1.endpoint.id), is_avoided);
}

#[test_case(true, true; "resumed where the route allows it")]
#[test_case(false, false; "aborted otherwise")]
fn a_broken_stream_is(resumable: bool, goes_on: bool) {
    let mut streaming = route("r", Repeat::AtMostOnce, &[]);
    streaming.streams = true;
    streaming.resumable = resumable;
    let mut core = configured(vec![streaming]);
    let attempt = calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(0)))[0].0;
    core.handle(Event::Answered { caller: 1, attempt, proof: good(), is_open: true }, ms(50));
    let ended = stream_ended(1, attempt, StreamEnd::ReadFailed, Some("7"));
    let actions = core.handle(ended, ms(90));
    assert_eq!(actions.iter().any(|a| matches!(a, Action::AbortStream { .. })), !goes_on);
    let resumed: Vec<_> = calls(&actions).into_iter().map(|(_, o)| o.after_event).collect();
    assert_eq!(resumed, if goes_on { vec![Some("7".to_owned())] } else { Vec::new() });
}

#[test]
fn a_stopping_gateway_is_not_ready_and_later_refuses_as_not_run() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    let actions = core.handle(Event::Drain { at: ms(100) }, ms(100));
    assert!(actions.iter().any(|a| matches!(a, Action::SetReady(false))));
    assert_eq!(calls(&submit(&mut core, 1, incoming("r", Vec::new()), ms(500))).len(), 1);
    let actions = submit(&mut core, 2, incoming("r", Vec::new()), ms(6_000));
    let refusal = refusal(&actions).expect("refused");
    assert_eq!((refusal.reason, refusal.not_run), (Refused::Draining, true));
}

#[test]
fn an_older_configuration_is_not_applied() {
    let mut core = configured(vec![route("r", Repeat::AtMostOnce, &[])]);
    publish(&mut core, deployment(5, vec![route("new", Repeat::AtMostOnce, &[])]), ms(10));
    publish(&mut core, deployment(4, vec![route("r", Repeat::AtMostOnce, &[])]), ms(20));
    assert_eq!(core.table().deployment.version, 5);
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(30));
    assert_eq!(refusal(&actions).expect("dropped").reason, Refused::UnknownRoute);
}

/// A gateway next to one that owns its stages, and the port of the owner.
fn beside_an_owner(route: &Route) -> (GatewayCore, u16) {
    for port in 2..20 {
        let mut core = configured(vec![route.clone()]);
        receive_gossip(&mut core, vec![serving(port)], ms(1));
        let actions = submit(&mut core, 1, incoming("r", vec![1, 1]), ms(2));
        let is_submitted = |a: &Action| matches!(a, Action::Send { to, message: PeerMessage::Submit(_) } if *to == address(port));
        if actions.iter().any(is_submitted) {
            return (core, port);
        }
    }
    panic!("no peer is the owner");
}

fn pieces_sent(actions: &[Action]) -> Vec<(usize, usize)> {
    let calls = actions.iter().filter_map(|a| match a {
        Action::CallBatch { pieces, .. } => Some(pieces.iter().map(|p| (p.stage, p.inputs.len()))),
        _ => None,
    });
    calls.flatten().collect()
}

const JOB: u64 = 1;

fn job_of_one() -> JobId {
    JobId { gateway: address(1), incarnation: 1, number: JOB }
}

/// A gateway whose owner has produced the first of two stages, and the owner's address.
fn with_one_stage_made() -> (GatewayCore, std::net::SocketAddr) {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let (mut core, port) = beside_an_owner(&route);
    let (job, from) = (job_of_one(), address(port));
    let accepted = PeerMessage::Accepted(job);
    core.handle(Event::PeerMessage { from, message: accepted }, ms(3));
    let made = StoredResult { handle: "h".into(), endpoint: "first-1".into() };
    let done = PeerMessage::StageDone { job, stage: 0, results: vec![made] };
    core.handle(Event::PeerMessage { from, message: done }, ms(300));
    (core, from)
}

#[test]
fn jobs_of_an_unreachable_owner_continue_with_the_produced_results() {
    let (mut core, owner) = with_one_stage_made();
    let broke = Event::PeerInboundFailed { address: owner, incarnation: 5 };
    core.handle(broke, ms(400));
    let actions = core.handle(Event::PeerUnreachable { address: owner }, ms(401));
    assert_eq!(pieces_sent(&actions), [(1, 1)], "the second stage, with the first one's result");
}

#[test]
fn jobs_of_a_restarted_owner_continue_elsewhere() {
    let (mut core, owner) = with_one_stage_made();
    let mut restarted = serving(owner.port());
    (restarted.incarnation, restarted.state) = (6, MemberState::Starting);
    let message = Heartbeat { members: vec![restarted], ..Heartbeat::default() }.message();
    let actions = core.handle(Event::PeerMessage { from: owner, message }, ms(400));
    assert_eq!(pieces_sent(&actions), [(1, 1)]);
}

#[test_case(Event::PeerOutboundFailed { address: address(0) }; "the connection to it")]
#[test_case(Event::PeerInboundFailed { address: address(0), incarnation: 5 }; "the connection from it")]
fn jobs_are_submitted_again_to_an_owner_after_a_connection_reset(event: Event) {
    let (mut core, owner) = with_one_stage_made();
    let event = match event {
        Event::PeerInboundFailed { incarnation, .. } => {
            Event::PeerInboundFailed { address: owner, incarnation }
        }
        _ => Event::PeerOutboundFailed { address: owner },
    };
    let actions = core.handle(event, ms(400));
    assert!(pieces_sent(&actions).is_empty(), "no other gateway starts it");
    let submitted = actions.iter().any(|a| match a {
        Action::Send { to, message: PeerMessage::Submit(job) } => {
            *to == owner && job.id == job_of_one() && job.stages[0].done.len() == 1
        }
        _ => false,
    });
    assert!(submitted, "messages in transit are requested again");
    let mut alive = serving(owner.port());
    alive.heartbeat = 2;
    receive_gossip(&mut core, vec![alive], ms(600));
    assert!(pieces_sent(&core.handle(Event::Tick, ms(1_050))).is_empty());
}

#[test]
fn a_resumed_gateway_waits_for_unread_messages_of_its_owner() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let (mut core, port) = beside_an_owner(&route);
    let actions = core.handle(Event::Tick, ms(700));
    assert!(pieces_sent(&actions).is_empty(), "the answer may be as late as the timer");
    let accepted = PeerMessage::Accepted(job_of_one());
    core.handle(Event::PeerMessage { from: address(port), message: accepted }, ms(701));
    assert!(pieces_sent(&core.handle(Event::Tick, ms(955))).is_empty());
}

#[test]
fn a_job_is_taken_over_when_its_owner_does_not_decide() {
    let route = route("r", Repeat::AtMostOnce, &[("first", &[], 10), ("second", &[0], 10)]);
    let (mut core, port) = beside_an_owner(&route);
    let actions = core.handle(Event::Tick, ms(260));
    let is_released = |a: &Action| matches!(a, Action::Send { to, message: PeerMessage::Release(_) } if *to == address(port));
    assert!(actions.iter().any(is_released), "the silent owner is released from the job");
    assert_eq!(pieces_sent(&actions), [(0, 0)], "and the next owner starts");
}

#[test]
fn a_failed_report_is_logged() {
    let mut core = configured(vec![]);
    let actions = core.handle(Event::ReportFailed { endpoint: "first-1".into() }, ms(1));
    let is_told = |a: &Action| matches!(a, Action::Log(LogEvent::NoReport { endpoint }) if **endpoint == *"first-1");
    assert!(actions.iter().any(is_told));
}
