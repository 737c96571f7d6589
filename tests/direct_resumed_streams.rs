//! Streams of a pool whose endpoints run several software versions: what one version began, only
//! that version continues.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    begins, calls, configured, incoming, listed, new_core, publish, refusal, resumable,
    stream_ended, submit,
};
use directenv::group::Group;
use directenv::{address, deployment, endpoint, endpoints, engine_of, ms, position, route};
use stackmast::actor::Core;
use stackmast::config::Selector;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, CallParams, Event, IncomingRequest, Refused};
use stackmast::direct::forwarded_stream::StreamEnd;
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::origins::Origin;
use stackmast::direct::peers::message::{BegunStream, PeerMessage};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route, Target};
use stackmast::direct::published::software::version_of;
use stackmast::direct::store_reading::StorePart;
use test_case::test_case;

/// Number of streams in a test; enough that a gateway which ignores versions does not pass by chance.
const STREAMS: u64 = 24;

/// Time after which a gateway knows all versions that can have begun a stream.
const KNOWN: Duration = Duration::from_secs(61);
/// How long a test waits for the call or refusal of a request.
const WAIT: Duration = Duration::from_millis(500);
/// Added to the number of a stream for the caller that resumes it.
const CALLERS: u64 = 1_000;

fn engine(number: u16, version: &str) -> Arc<Endpoint> {
    engine_of(version, number)
}

/// Three engines of each of two versions.
fn engines() -> Vec<Arc<Endpoint>> {
    (1..=6).map(|number| engine(number, if number % 2 == 0 { "v1" } else { "v2" })).collect()
}

fn stream(number: u64) -> IncomingRequest {
    IncomingRequest { id: format!("stream-{number}").into(), ..incoming("r", Vec::new()) }
}

/// The request by which the caller of a stream resumes it.
fn resumption(number: u64) -> IncomingRequest {
    IncomingRequest {
        id: format!("again-{number}").into(),
        after_event: Some("7".to_owned()),
        resumes: Some(stream(number).id),
        ..stream(number)
    }
}

/// The endpoints of the stages, and the engines of two versions.
fn endpoints_with_engines() -> Vec<Arc<Endpoint>> {
    let stages = endpoints().into_iter().filter(|e| !e.id.starts_with("engine"));
    stages.chain(engines()).collect()
}

fn version(call: &CallParams) -> String {
    version_of(&call.endpoint).expect("each engine has a version").to_owned()
}

fn with_engines(route: Route) -> GatewayCore {
    let mut core = configured(vec![route]);
    let documents = listed(&engines(), 3);
    core.handle(
        Event::Published { documents, extent: Extent::Complete { at: position(3) } },
        ms(1),
    );
    core
}

#[test]
fn logs_name_the_stream_that_is_resumed_and_the_software_versions() {
    let mut core = new_core();
    publish(&mut core, deployment(1, vec![resumable()]), ms(0));
    let documents = listed(&[engine(1, "v2")], 3);
    let listed = Event::Published { documents, extent: Extent::Complete { at: position(3) } };
    let logged = |actions: &[Action], line: &str| {
        let mut events = actions.iter().filter_map(|action| match action {
            Action::Log(event) => serde_json::to_string::<LogEvent>(event).ok(),
            _ => None,
        });
        events.any(|event| event.contains(line))
    };
    let actions = core.handle(listed, ms(1));
    assert!(logged(&actions, r#""state":"listed","source":"publisher","software_version":"v2""#));
    let actions = submit(&mut core, 1, stream(1), ms(2));
    assert!(logged(&actions, r#""software_version":"v2""#), "the engine that gets the request");
    assert!(!logged(&actions, "resumes"));
    let actions = submit(&mut core, 2, resumption(1), ms(3));
    assert!(logged(&actions, r#""resumes":"stream-1""#));
}

// Guards against a gateway that continues a stream, within one response, at an engine of another
// software version.
#[test]
fn a_gateway_continues_a_broken_stream_at_the_version_that_began_it() {
    let mut core = with_engines(resumable());
    for caller in 0..STREAMS {
        let now = ms(20_000 + 10 * caller);
        let (attempt, first) = calls(&submit(&mut core, caller, stream(caller), now))[0].clone();
        core.handle(begins(caller, attempt), now);
        core.handle(Event::FirstEvent { caller }, now);
        let broken = stream_ended(caller, attempt, StreamEnd::ReadFailed, Some("7"));
        let continued = calls(&core.handle(broken, now));
        assert_eq!(version(&continued[0].1), version(&first), "stream {caller}");
        core.handle(Event::CallerDisconnected { caller }, now);
    }
}

/// Begins a stream at gateway 0 and forwards its first event; returns the version that began it.
fn begin(group: &mut Group, number: u64) -> String {
    let outcome = group.submit(0, number, stream(number), WAIT);
    let (attempt, call) = outcome.call.expect("engines serve");
    group.handle(0, begins(number, attempt));
    group.handle(0, Event::FirstEvent { caller: number });
    version(&call)
}

/// Resumes a stream at a gateway; returns the version that continues it, or the reason of the
/// refusal.
fn resume(group: &mut Group, gateway: usize, number: u64) -> Result<String, Refused> {
    let outcome = group.submit(gateway, CALLERS + number, resumption(number), WAIT);
    match (outcome.call, outcome.refusal) {
        (Some((_, call)), _) => Ok(version(&call)),
        (None, Some(refusal)) => {
            assert!(refusal.not_run, "a refused resumption has not run");
            Err(refusal.reason)
        }
        (None, None) => panic!("stream {number} is neither continued nor refused"),
    }
}

// Guards against a gateway that sends a caller who resumes a stream to any engine, because it does
// not know which software version began the stream at another gateway.
#[test]
fn a_caller_resumes_its_stream_at_another_gateway_at_the_version_that_began_it() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    for number in 0..STREAMS {
        let first = begin(&mut group, number);
        group.run_for(ms(100));
        group.handle(0, Event::CallerDisconnected { caller: number });
        assert_eq!(resume(&mut group, 1, number), Ok(first), "stream {number}");
    }
}

// Guards against records that are lost with the gateway that began the stream, or with a holder.
#[test_case(&[0]; "the gateway that began it")]
#[test_case(&[0, 2]; "that gateway and another one")]
fn a_stream_is_resumed_after_the_loss_of(lost: &[usize]) {
    let mut group = Group::new(5, deployment(1, vec![resumable()]), engines());
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, number)).collect();
    lost.iter().for_each(|gateway| group.kill(*gateway));
    for (number, first) in began.into_iter().enumerate() {
        assert_eq!(resume(&mut group, 1, number as u64), Ok(first), "stream {number}");
    }
}

// Guards against records that are lost with the connections to their holders.
#[test]
fn records_are_sent_again_after_the_connections_to_their_holders_failed() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    group.silent = vec![0];
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, number)).collect();
    group.silent.clear();
    [1, 2].into_iter().for_each(|peer| group.connection_failed(0, peer));
    group.kill(0);
    for (number, first) in began.into_iter().enumerate() {
        assert_eq!(resume(&mut group, 1, number as u64), Ok(first), "stream {number}");
    }
}

// Guards against a restarted gateway that takes the versions which are listed now for those that
// were listed when the stream began.
#[test]
fn a_restarted_gateway_learns_of_versions_that_are_not_listed_any_more() {
    let one = |version| (1..=6).map(|number| engine(number, version)).collect::<Vec<_>>();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), one("v1"));
    let first = begin(&mut group, 0);
    assert_eq!(first, "v1");
    group.list(one("v2"));
    group.kill(1);
    group.start(1);
    group.run_for(ms(200));
    assert_eq!(resume(&mut group, 1, 0), Err(Refused::NoEndpointOfVersion));
}

// Guards against streams without a record, since their pool had one version when they began.
#[test]
fn streams_that_began_before_a_second_version_are_resumed_at_the_first() {
    let old: Vec<_> = (1..=3).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), old.clone());
    (0..STREAMS).for_each(|number| assert_eq!(begin(&mut group, number), "v1"));
    group.list(old.into_iter().chain((4..=6).map(|number| engine(number, "v2"))).collect());
    group.kill(0);
    for number in 0..STREAMS {
        assert_eq!(resume(&mut group, 1, number), Ok("v1".to_owned()), "stream {number}");
    }
}

// Guards against a stream that is continued by a new version after all engines of its own left.
#[test]
fn a_stream_whose_version_left_is_refused_before_anything_runs() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    let first = begin(&mut group, 0);
    let others = engines().into_iter().filter(|e| version_of(e) != Some(&*first)).collect();
    group.list(others);
    group.run_for(ms(3_000));
    for gateway in 0..3 {
        assert_eq!(resume(&mut group, gateway, 0), Err(Refused::NoEndpointOfVersion));
    }
}

// Guards against a guess where no process knows the origin: gateways that started after the stream
// began don't know which versions served before.
#[test_case(&["v1", "v2"], false; "several versions")]
#[test_case(&["v1"], false; "one version")]
#[test_case(&["v1", "v2"], true; "several versions and witnesses that were lost")]
#[test_case(&["v1"], true; "one version and witnesses that were lost")]
fn a_stream_of_which_all_records_are_lost_is_refused_with(versions: &[&str], has_witnesses: bool) {
    let mut group = group_of(versions, has_witnesses);
    begin(&mut group, 0);
    (0..3).for_each(|gateway| group.kill(gateway));
    group.kill_witnesses();
    (0..3).for_each(|gateway| group.start(gateway));
    group.run_for(ms(500));
    assert_eq!(resume(&mut group, 1, 0), Err(Refused::UnknownOrigin));
}

// Guards against a refusal of streams whose records outlived the gateways.
#[test_case(&["v1", "v2"]; "several versions")]
#[test_case(&["v1"]; "one version")]
fn a_stream_is_resumed_after_the_loss_of_all_gateways_with(versions: &[&str]) {
    let mut group = group_of(versions, true);
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, number)).collect();
    (0..3).for_each(|gateway| group.kill(gateway));
    (0..3).for_each(|gateway| group.start(gateway));
    group.run_for(ms(500));
    for (number, first) in (0..).zip(began) {
        assert_eq!(resume(&mut group, 1, number), Ok(first), "stream {number}");
    }
}

/// Three gateways and six engines of these versions.
fn group_of(versions: &[&str], has_witnesses: bool) -> Group {
    let engine = |number: u16| engine(number, versions[usize::from(number) % versions.len()]);
    let engines: Vec<_> = (1..=6).map(engine).collect();
    let deployment = deployment(1, vec![resumable()]);
    if has_witnesses {
        Group::with_witnesses(3, deployment, engines)
    } else {
        Group::new(3, deployment, engines)
    }
}

// Guards against refusals by a gateway that has just started while others know the versions.
#[test]
fn a_gateway_that_started_resumes_streams_while_another_one_has_known_one_version() {
    let one: Vec<_> = (1..=3).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), one);
    group.run_for(KNOWN);
    begin(&mut group, 0);
    group.kill(0);
    group.kill(1);
    group.start(1);
    group.run_for(ms(500));
    assert_eq!(resume(&mut group, 1, 0), Ok("v1".to_owned()));
}

// Guards against a resumption that waits for holders until its deadline.
#[test]
fn a_resumption_is_decided_within_300_ms_while_holders_are_silent() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    begin(&mut group, 0);
    group.silent = vec![0, 2];
    let before = group.now;
    let known = resume(&mut group, 1, 0);
    assert!(group.now - before <= ms(310), "took {:?}", group.now - before);
    // The gateway may be a holder itself.
    assert!(matches!(known, Ok(_) | Err(Refused::UnknownOrigin)));
}

// Guards against a caller that waits for a lookup although it has left.
#[test]
fn a_caller_that_leaves_during_the_lookup_causes_no_call() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    begin(&mut group, 0);
    group.silent = vec![0, 2];
    let event = Event::Submit { caller: CALLERS, incoming: resumption(0) };
    group.handle(1, event);
    let actions = group.handle(1, Event::CallerDisconnected { caller: CALLERS });
    group.silent.clear();
    group.run_for(ms(500));
    assert!(calls(&actions).is_empty() && refusal(&actions).is_none());
}

// Guards against records and questions that cost something while a pool has one version.
#[test]
fn nothing_is_recorded_elsewhere_while_a_pool_has_one_version() {
    let one = (1..=6).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), one);
    (0..STREAMS).for_each(|number| drop(begin(&mut group, number)));
    assert_eq!(group.sent_of_kind("streams_began").0, 0);
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    (0..STREAMS).for_each(|number| drop(begin(&mut group, number)));
    assert!(group.sent_of_kind("streams_began").0 > 0);
}

// Guards against a gateway that takes the only version of an outdated list for the one that began a
// stream, while it is cut off from the store and from the gateways that know another version.
#[test]
fn a_gateway_that_is_cut_off_does_not_guess_the_version_of_a_stream() {
    let old: Vec<_> = (1..=3).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), old);
    group.run_for(KNOWN);
    group.cut_off = vec![1];
    group.list((4..=6).map(|number| engine(number, "v2")).collect());
    group.run_for(ms(4_000));
    assert_eq!(begin(&mut group, 0), "v2");
    assert_eq!(resume(&mut group, 1, 0), Err(Refused::UnknownOrigin));
}

// Guards against refusals by a gateway that no other one responds to, but whose list is current.
#[test]
fn the_only_gateway_left_resumes_streams_while_it_reads_the_store() {
    let one: Vec<_> = (1..=3).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(3, deployment(1, vec![resumable()]), one);
    group.run_for(KNOWN);
    begin(&mut group, 0);
    group.silent = vec![1];
    group.run_for(ms(4_000));
    assert_eq!(resume(&mut group, 1, 0), Ok("v1".to_owned()));
}

// Guards against a stage that runs for a stream which no endpoint can continue.
#[test]
fn stages_of_a_resumption_run_only_if_the_stream_can_be_continued() {
    let staged = Route {
        streams: true,
        resumable: true,
        ..route("r", Repeat::AtMostOnce, &[("first", &[], 10)])
    };
    let mut group = Group::new(3, deployment(1, vec![staged]), endpoints_with_engines());
    let with_pieces = |incoming: IncomingRequest| IncomingRequest { pieces: vec![1], ..incoming };
    let event = Event::Submit { caller: 1, incoming: with_pieces(resumption(1)) };
    let actions = group.handle(1, event);
    assert_eq!(refusal(&actions).map(|refusal| refusal.reason), Some(Refused::UnknownOrigin));
    assert_eq!(group.sent_of_kind("submit").0, 0);
}

// Guards against a caller that waits for a gateway which has ended, or for all holders although
// only one version can have begun its stream.
#[test]
fn a_resumption_waits_for_one_holder_only_while_a_pool_has_one_version() {
    let one = (1..=6).map(|number| engine(number, "v1")).collect();
    let mut group = Group::new(5, deployment(1, vec![resumable()]), one);
    group.run_for(KNOWN);
    begin(&mut group, 0);
    group.kill(0);
    group.silent = vec![2, 3];
    let before = group.now;
    assert_eq!(resume(&mut group, 1, 0), Ok("v1".to_owned()));
    assert_eq!(group.now, before, "gateway 4 responds at once");
}

// Guards against a caller that waits for the time-out of a gateway whose port is closed.
#[test]
fn a_resumption_does_not_wait_for_a_gateway_that_has_ended() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    group.kill(0);
    let before = group.now;
    assert_eq!(resume(&mut group, 1, 0), Err(Refused::UnknownOrigin));
    assert!(group.now - before < ms(100), "took {:?}", group.now - before);
}

// Guards against a resumption that is sent to another pool of its route than the stream began in:
// the pool was selected by a hash of the id of the new request.
#[test]
fn a_stream_is_resumed_in_the_pool_that_began_it() {
    let targets = ["engine", "other"].map(|pool| Target { pool: pool.into(), weight: 1 });
    let split = Route { targets: targets.to_vec(), ..resumable() };
    let mut split = deployment(1, vec![split]);
    let mut other = split.pools.last().expect("engines").clone();
    other.name = "other".into();
    other.endpoints = Selector::parse("service=other").expect("a selector");
    split.pools.push(other);
    let engines =
        (1..=4).flat_map(|number| [endpoint("engine", number), endpoint("other", number)]);
    let mut group = Group::new(3, split, engines.collect());
    let pool_of = |call: &CallParams| call.endpoint.labels["service"].clone();
    for number in 0..STREAMS {
        let began = group.submit(0, number, stream(number), WAIT).call.expect("sent").1;
        let resumed = group.submit(1, number, resumption(number), WAIT).call.expect("sent").1;
        assert_eq!(pool_of(&resumed), pool_of(&began), "stream {number}");
    }
}

/// Guards against callers that lost a stream with all gateways and are refused like new ones when they
/// resume it: what was admitted once is not refused for room. A stream without a record is no proof.
#[test_case(true; "with a record")]
#[test_case(false; "without a record")]
fn stages_of_a_stream_that_has_begun_are_submitted_as_started(has_record: bool) {
    let staged = route("r", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut core = configured(vec![Route { stages: staged.stages, ..resumable() }]);
    core.handle(Event::Tick, KNOWN);
    let parts = [StorePart::Operator, StorePart::Endpoints];
    for part in parts {
        core.handle(Event::StoreChecked { part }, KNOWN);
    }
    if has_record {
        let origin = Origin { pool: "engine".into(), version: None };
        let expires_in = Duration::from_secs(30);
        let record = BegunStream { stream: stream(1).id, origin, expires_in };
        let message = PeerMessage::StreamsBegan(vec![record]);
        core.handle(Event::PeerMessage { from: address(9), message }, KNOWN);
    }
    let resumed = IncomingRequest { pieces: vec![1], ..resumption(1) };
    let mut actions = submit(&mut core, 1, resumed, KNOWN + ms(1));
    for part in parts {
        actions.extend(core.handle(Event::StoreChecked { part }, KNOWN + ms(400)));
    }
    actions.extend(core.handle(Event::Tick, KNOWN + ms(401)));
    let submitted = actions.iter().find_map(|action| match action {
        Action::Log(LogEvent::StagesSubmitted { resubmitted, .. }) => Some(*resubmitted),
        _ => None,
    });
    assert_eq!(submitted, Some(has_record), "{actions:?}");
}
