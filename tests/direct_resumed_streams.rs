//! Streams of a pool whose endpoints run several software versions: what one version began, only
//! that version continues.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{calls, configured, good, incoming, listed, new_core, publish, submit};
use directenv::group::Group;
use directenv::{deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, CallParams, Event, IncomingRequest};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};
use stackmast::direct::published::software::{VERSION_LABEL, version_of};

/// Number of streams in a test; enough that a gateway which ignores versions does not pass by chance.
const STREAMS: u64 = 24;

fn engine(number: u16, version: &str) -> Arc<Endpoint> {
    let mut engine = (*endpoint("engine", number)).clone();
    engine.labels.insert(VERSION_LABEL.to_owned(), version.to_owned());
    Arc::new(engine)
}

/// Three engines of each of two versions.
fn engines() -> Vec<Arc<Endpoint>> {
    (1..=6).map(|number| engine(number, if number % 2 == 0 { "v1" } else { "v2" })).collect()
}

/// A route whose streams may be resumed.
fn resumable() -> Route {
    Route { streams: true, resumable: true, ..route("r", Repeat::AtMostOnce, &[]) }
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

fn version(call: &CallParams) -> String {
    version_of(&call.endpoint).expect("each engine has a version").to_owned()
}

/// The event by which the endpoint of an attempt begins its stream.
fn begins(caller: u64, attempt: u64) -> Event {
    Event::Answered { caller, attempt, proof: good(), is_open: true }
}

fn with_engines(route: Route) -> GatewayCore {
    let mut core = configured(vec![route]);
    let documents = listed(&engines(), 3);
    core.handle(Event::Published { documents, snapshot_at: Some(position(3)) }, ms(1));
    core
}

#[test]
fn logs_name_the_stream_that_is_resumed_and_the_software_versions() {
    let mut core = new_core();
    publish(&mut core, deployment(1, vec![resumable()]), ms(0));
    let documents = listed(&[engine(1, "v2")], 3);
    let listed = Event::Published { documents, snapshot_at: Some(position(3)) };
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
        let now = ms(100 + 10 * caller);
        let (attempt, first) = calls(&submit(&mut core, caller, stream(caller), now))[0].clone();
        core.handle(begins(caller, attempt), now);
        core.handle(Event::FirstEvent { caller }, now);
        let last_event = Some("7".to_owned());
        let broken = Event::StreamEnded { caller, attempt, is_complete: false, last_event };
        let continued = calls(&core.handle(broken, now));
        assert_eq!(version(&continued[0].1), version(&first), "stream {caller}");
        core.handle(Event::CallerDisconnected { caller }, now);
    }
}

// Guards against a gateway that sends a caller who resumes a stream to any engine, because it does
// not know which software version began the stream at another gateway.
#[test]
fn a_caller_resumes_its_stream_at_another_gateway_at_the_version_that_began_it() {
    let mut group = Group::new(3, deployment(1, vec![resumable()]), engines());
    for number in 0..STREAMS {
        let (attempt, first) = group.submit(0, number, stream(number), ms(500)).call.expect("sent");
        group.handle(0, begins(number, attempt));
        group.handle(0, Event::FirstEvent { caller: number });
        group.run_for(ms(100));
        group.handle(0, Event::CallerDisconnected { caller: number });
        let resumed = group.submit(1, number, resumption(number), ms(500));
        let (_, resumed) = resumed.call.expect("engines of the version serve");
        assert_eq!(version(&resumed), version(&first), "stream {number}");
    }
}
