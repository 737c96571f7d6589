//! Streams of a pool whose endpoints run several software versions: what one version began, only
//! that version continues.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{incoming, listed, new_core, publish, submit};
use directenv::{deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::event::{Action, Event, IncomingRequest};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};
use stackmast::direct::published::software::VERSION_LABEL;

fn engine(number: u16, version: &str) -> Arc<Endpoint> {
    let mut engine = (*endpoint("engine", number)).clone();
    engine.labels.insert(VERSION_LABEL.to_owned(), version.to_owned());
    Arc::new(engine)
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
