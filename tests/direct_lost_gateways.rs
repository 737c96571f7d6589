//! Streams of gateways that are lost, all or some of them, while a software version of their pool
//! leaves: what one version began, no other version continues.

mod directenv;

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{begins, calls, incoming, refusal, resumable};
use directenv::group::Group;
use directenv::{deployment, endpoint, engine_of, ms};
use stackmast::config::Selector;
use stackmast::direct::answers::CallFailure;
use stackmast::direct::event::{Event, IncomingRequest, Refused};
use stackmast::direct::origins::Origin;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::model::{Deployment, Endpoint, Route, Target};
use stackmast::direct::published::software::version_of;
use test_case::test_matrix;

/// How long a test waits for the call or refusal of a request.
const WAIT: Duration = Duration::from_secs(4);
/// Added to the number of a stream for the caller that resumes it.
const CALLERS: u64 = 1_000;
/// Number of gateways.
const GATEWAYS: usize = 4;
/// Time after which a gateway knows all versions that can have begun a stream.
const KNOWN: Duration = Duration::from_secs(61);
/// Number of streams of a test.
const STREAMS: u64 = 12;

/// How gateways are lost. All that are lost start again.
#[derive(Debug, Clone, Copy)]
enum Loss {
    AtOnce,
    OneByOne,
    /// The last gateway is suspended meanwhile.
    ButOnePaused,
    /// The last gateway reaches neither the store nor other gateways meanwhile.
    ButOneCutOff,
}

/// When the endpoints of the version that began the streams leave.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    Before,
    During,
    After,
}

fn engines(version: &str, numbers: RangeInclusive<u16>) -> Vec<Arc<Endpoint>> {
    numbers.map(|number| engine_of(version, number)).collect()
}

/// Gateways and engines, with or without witnesses beside the engines.
fn group(engines: Vec<Arc<Endpoint>>, has_witnesses: bool) -> Group {
    let deployment = deployment(1, vec![resumable()]);
    if has_witnesses {
        Group::with_witnesses(GATEWAYS, deployment, engines)
    } else {
        Group::new(GATEWAYS, deployment, engines)
    }
}

fn stream(number: u64) -> IncomingRequest {
    let timeout = Some(Duration::from_secs(20));
    IncomingRequest { id: format!("stream-{number}").into(), timeout, ..incoming("r", Vec::new()) }
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

/// Begins a stream at a gateway and forwards its first event; returns the version that began it.
fn begin(group: &mut Group, gateway: usize, number: u64) -> String {
    let (attempt, call) = group.submit(gateway, number, stream(number), WAIT).call.expect("sent");
    group.handle(gateway, begins(number, attempt));
    group.handle(gateway, Event::FirstEvent { caller: number });
    version_of(&call.endpoint).expect("each engine has a version").to_owned()
}

/// Resumes a stream at a gateway; returns the version that continues it, or the reason of the
/// refusal.
fn resume(group: &mut Group, gateway: usize, number: u64) -> Result<String, Refused> {
    let outcome = group.submit(gateway, CALLERS + number, resumption(number), WAIT);
    match (outcome.call, outcome.refusal) {
        (Some((_, call)), _) => Ok(version_of(&call.endpoint).expect("a version").to_owned()),
        (None, Some(refusal)) => Err(refusal.reason),
        (None, None) => panic!("stream {number} is neither continued nor refused"),
    }
}

/// Loses gateways; `meanwhile` is called while as many as possible are lost.
fn lose(group: &mut Group, loss: Loss, meanwhile: impl FnOnce(&mut Group)) {
    match loss {
        Loss::AtOnce => {
            (0..GATEWAYS).for_each(|gateway| group.kill(gateway));
            group.run_for(ms(2_500));
            meanwhile(group);
            (0..GATEWAYS).for_each(|gateway| group.start(gateway));
        }
        Loss::OneByOne => {
            let mut meanwhile = Some(meanwhile);
            for gateway in 0..GATEWAYS {
                group.kill(gateway);
                group.run_for(ms(600));
                if let Some(meanwhile) = meanwhile.take_if(|_| gateway == GATEWAYS / 2) {
                    meanwhile(group);
                }
                group.start(gateway);
                group.run_for(ms(600));
            }
        }
        Loss::ButOnePaused | Loss::ButOneCutOff => {
            let last = GATEWAYS - 1;
            (0..last).for_each(|gateway| group.kill(gateway));
            group.run_for(ms(2_500));
            meanwhile(group);
            (0..last).for_each(|gateway| group.start(gateway));
        }
    }
    group.run_for(ms(1_000));
}

/// Isolates the last gateway, if the loss spares one.
fn isolate(group: &mut Group, loss: Loss) {
    match loss {
        Loss::AtOnce | Loss::OneByOne => {}
        Loss::ButOnePaused => group.pause(GATEWAYS - 1),
        Loss::ButOneCutOff => group.cut_off = vec![GATEWAYS - 1],
    }
}

/// Ends the isolation of the last gateway, which reads the list again.
fn rejoin(group: &mut Group) {
    group.cut_off.clear();
    group.resume(GATEWAYS - 1);
    group.run_for(ms(500));
}

/// Checks that streams are continued only by the version that began them, or refused, wherever
/// their callers resume them.
fn check(group: &mut Group, began: &[String]) {
    for gateway in 0..GATEWAYS {
        for (number, first) in (0..).zip(began) {
            let resumed = resume(group, gateway, number);
            group.handle(gateway, Event::CallerDisconnected { caller: CALLERS + number });
            assert!(
                resumed.as_ref().map_or(true, |version| version == first),
                "stream {number}, begun at {first}, resumed at gateway {gateway}: {resumed:?}"
            );
        }
    }
}

// Guards against gateways that started after a loss and take the versions that they have listed
// since for all that can have begun a stream (incident ORDER, inc1).
#[test_matrix(
    [Loss::AtOnce, Loss::OneByOne, Loss::ButOnePaused, Loss::ButOneCutOff],
    [Leaves::Before, Leaves::During, Leaves::After],
    [false, true]
)]
fn no_stream_is_continued_by_another_version_after(
    loss: Loss,
    leaves: Leaves,
    has_witnesses: bool,
) {
    let old = engines("v1", 1..=3);
    let new = engines("v1.1", 4..=6);
    let mut group = group(old.clone(), has_witnesses);
    group.run_for(ms(5_000));
    let began: Vec<String> =
        (0..STREAMS).map(|number| begin(&mut group, number as usize % 2, number)).collect();
    assert!(began.iter().all(|version| version == "v1"));
    isolate(&mut group, loss);
    group.list(old.iter().chain(&new).cloned().collect());
    group.run_for(ms(1_000));
    if matches!(leaves, Leaves::Before) {
        group.list(new.clone());
        group.run_for(ms(1_000));
    }
    lose(&mut group, loss, |group| {
        if matches!(leaves, Leaves::During) {
            group.list(new.clone());
        }
    });
    group.list(new);
    group.run_for(ms(1_000));
    rejoin(&mut group);
    check(&mut group, &began);
}

// Guards against a gateway that was isolated and takes the versions which it listed before and
// after for all that served meanwhile: a release that was withdrawn.
#[test_matrix(
    [Loss::AtOnce, Loss::OneByOne, Loss::ButOnePaused, Loss::ButOneCutOff],
    [false, true]
)]
fn no_stream_of_a_withdrawn_version_is_continued_by_another_one_after(
    loss: Loss,
    has_witnesses: bool,
) {
    let old = engines("v1", 1..=3);
    let withdrawn = engines("v1.1", 4..=6);
    let mut group = group(old.clone(), has_witnesses);
    group.run_for(ms(70_000));
    isolate(&mut group, loss);
    group.list(withdrawn.clone());
    group.run_for(ms(1_000));
    let began: Vec<String> =
        (0..STREAMS).map(|number| begin(&mut group, number as usize % 2, number)).collect();
    assert!(began.iter().all(|version| version == "v1.1"));
    group.list(withdrawn.iter().chain(&old).cloned().collect());
    group.run_for(ms(1_000));
    group.list(old.clone());
    lose(&mut group, loss, |group| group.list(old));
    rejoin(&mut group);
    check(&mut group, &began);
}

// Guards against streams that are refused though witnesses know the version that began them.
#[test_matrix([Loss::AtOnce, Loss::OneByOne, Loss::ButOnePaused, Loss::ButOneCutOff])]
fn streams_of_two_versions_are_resumed_after(loss: Loss) {
    let mut group = group(both_versions(), true);
    group.run_for(ms(5_000));
    let began: Vec<String> =
        (0..STREAMS).map(|number| begin(&mut group, number as usize % 2, number)).collect();
    assert!(["v1", "v1.1"].iter().all(|version| began.iter().any(|first| first == version)));
    isolate(&mut group, loss);
    lose(&mut group, loss, |_| {});
    rejoin(&mut group);
    check_resumed(&mut group, &began);
}

/// Three engines of each of two versions.
fn both_versions() -> Vec<Arc<Endpoint>> {
    engines("v1", 1..=3).into_iter().chain(engines("v1.1", 4..=6)).collect()
}

/// Checks that streams are continued by the version that began them, each at another gateway.
fn check_resumed(group: &mut Group, began: &[String]) {
    for (number, first) in (0..).zip(began) {
        let resumed = resume(group, number as usize % GATEWAYS, number);
        assert_eq!(resumed.as_ref(), Ok(first), "stream {number}");
    }
}

/// Loses all gateways at once.
fn lose_all(group: &mut Group) {
    lose(group, Loss::AtOnce, |_| {});
}

// Guards against records of an attempt that failed before the first event, which remain at some
// holders while another version begins the stream.
#[test]
fn a_request_keeps_the_version_of_its_first_attempt() {
    let mut group = group(both_versions(), true);
    group.run_for(ms(5_000));
    let mut began = Vec::new();
    for number in 0..STREAMS {
        let (attempt, call) = group.submit(0, number, stream(number), WAIT).call.expect("sent");
        let failed = Event::CallFailed { caller: number, attempt, failure: CallFailure::NotSent };
        let (attempt, second) = calls(&group.handle(0, failed))[0].clone();
        assert_eq!(version_of(&second.endpoint), version_of(&call.endpoint), "stream {number}");
        group.handle(0, begins(number, attempt));
        group.handle(0, Event::FirstEvent { caller: number });
        began.push(version_of(&second.endpoint).expect("a version").to_owned());
    }
    lose_all(&mut group);
    check_resumed(&mut group, &began);
}

// Guards against records that are lost with witnesses which leave, and with those that are not asked
// once endpoints were added.
#[test]
fn records_move_to_other_witnesses_when_endpoints_change() {
    let other = engines("v2", 20..=22);
    let few = engines("v1", 1..=3).into_iter().chain(other.iter().cloned()).collect();
    let mut group = group(few, true);
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, 0, number)).collect();
    group.list(engines("v1", 4..=12).into_iter().chain(other).collect());
    group.run_for(ms(500));
    lose_all(&mut group);
    check_resumed(&mut group, &began);
}

// Guards against records that are at no witness, since the selected ones don't run.
#[test]
fn records_move_to_other_witnesses_when_some_are_unreachable() {
    let mut group = group(engines("v1", 1..=8), true);
    (1..=4).for_each(|number| group.kill_witness(number));
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, 0, number)).collect();
    lose_all(&mut group);
    check_resumed(&mut group, &began);
}

// Guards against streams that are refused since the witnesses with their records run beside
// endpoints that began to leave after the loss.
#[test]
fn witnesses_beside_leaving_endpoints_are_asked() {
    let mut group = group(engines("v1", 1..=12), true);
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, 0, number)).collect();
    lose(&mut group, Loss::AtOnce, |group| {
        let leave = |endpoint: Arc<Endpoint>| Endpoint { leaving: true, ..(*endpoint).clone() };
        let leaving = engines("v1", 2..=12).into_iter().map(|e| Arc::new(leave(e)));
        group.list(engines("v1", 1..=1).into_iter().chain(leaving).collect());
    });
    check_resumed(&mut group, &began);
}

// Guards against a stream that is continued in the pool to which its route was moved, by a version
// that did not begin it.
#[test]
fn a_stream_is_not_continued_in_another_pool_after_its_route_was_moved() {
    let other = endpoint("third", 9);
    let engines = engines("v1", 1..=3).into_iter().chain([other]).collect();
    let mut group = Group::new(GATEWAYS, with_two_pools(1, "engine"), engines);
    group.run_for(KNOWN);
    begin(&mut group, 0, 0);
    group.configure(with_two_pools(2, "other"));
    group.kill(0);
    group.run_for(ms(1_000));
    for gateway in 1..GATEWAYS {
        let outcome = group.submit(gateway, CALLERS, resumption(0), WAIT);
        assert!(outcome.call.is_none(), "continued at {:?}", outcome.call);
    }
}

/// A configuration with two pools that run whole requests, and a route to one of them.
fn with_two_pools(version: u64, target: &str) -> Deployment {
    let target = Target { pool: target.into(), weight: 1 };
    let mut deployment = deployment(version, vec![Route { targets: vec![target], ..resumable() }]);
    let mut other = deployment.pools.last().expect("engines").clone();
    other.name = "other".into();
    other.endpoints = Selector::parse("service=third").expect("a selector");
    deployment.pools.push(other);
    deployment
}

// Guards against a gateway that knows of two versions and trusts another one, whose list is a moment
// behind, that there was one.
#[test]
fn another_gateway_that_knows_one_version_does_not_overrule_the_own_list() {
    let mut group = group(engines("v1", 1..=3), false);
    group.run_for(KNOWN);
    group.silent = vec![0, 2, 3];
    group.list_at(&[1], both_versions());
    let event = Event::Submit { caller: CALLERS, incoming: resumption(0) };
    let mut actions = group.handle(1, event);
    let origin = Origin { pool: "engine".into(), version: Some("v1".into()) };
    for from in [0, 2, 3] {
        let (stream, origin) = (stream(0).id, Some(origin.clone()));
        let message =
            PeerMessage::StreamOrigin { number: CALLERS, stream, origin, versions: Vec::new() };
        let event = Event::PeerMessage { from: Group::address_of(from), message };
        actions.extend(group.handle(1, event));
    }
    assert!(calls(&actions).is_empty(), "the stream may have begun at v1.1");
    assert_eq!(refusal(&actions).map(|refusal| refusal.reason), Some(Refused::UnknownOrigin));
}

// Guards against a connection to each host without a witness for each stream.
#[test]
fn hosts_without_a_witness_are_not_asked_again_for_each_stream() {
    let mut group = group(engines("v1", 1..=3), true);
    (1..=3).for_each(|number| group.kill_witness(number));
    (0..STREAMS).for_each(|number| drop(begin(&mut group, 0, number)));
    let (records, _) = group.sent_of_kind("streams_began");
    assert!(records <= 3, "{records} messages to three hosts");
}

/// Guards against a gateway that is out of step while a new version joins, and takes the version that
/// it knows for the only one: a stream that began at the new one through another gateway would be
/// continued by the old one.
#[test_matrix([200, 1_000, 2_000, 2_900], [false, true])]
fn version_that_joined_unseen_is_not_replaced_by_another_one(
    out_of_step_ms: u64,
    has_witnesses: bool,
) {
    let last = GATEWAYS - 1;
    let mut group = group(engines("v1", 1..=3), has_witnesses);
    group.run_for(KNOWN);
    group.cut_off = vec![last];
    group.list(both_versions());
    let began: Vec<String> = (0..STREAMS).map(|number| begin(&mut group, 0, number)).collect();
    assert!(began.iter().any(|version| version == "v1.1"));
    group.run_for(ms(out_of_step_ms));
    for (number, first) in (0..).zip(&began) {
        let resumed = resume(&mut group, last, number);
        group.handle(last, Event::CallerDisconnected { caller: CALLERS + number });
        assert!(resumed.as_ref().map_or(true, |version| version == first), "{first}: {resumed:?}");
    }
    rejoin(&mut group);
    group.run_for(ms(3_000));
    check_resumed(&mut group, &began);
}

/// Guards against streams of the only version that are refused although the list of endpoints is
/// confirmed while their callers wait.
#[test_matrix([false, true])]
fn stream_of_the_only_version_goes_on_once_the_list_is_confirmed(has_witnesses: bool) {
    let mut group = group(engines("v1", 1..=3), has_witnesses);
    group.run_for(KNOWN);
    for number in 0..STREAMS {
        let resumed = resume(&mut group, number as usize % GATEWAYS, number);
        assert_eq!(resumed.as_deref(), Ok("v1"), "stream {number}, of which there is no record");
    }
}
