//! The paths of health checks in configurations that gateways send to each other: all builds of
//! this form have them, and configurations of earlier builds have none.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{new_core, publish};
use directenv::{address, deployment, ms, position};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::codec::{FORM, Outgoing, read};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::Seen;
use stackmast::direct::published::model::{Deployment, Name};
use stackmast_testbed::frames::Frames;
use test_case::test_case;

/// The last form whose configurations have no health checks.
const WITHOUT_HEALTH_PATHS: u32 = 11;
/// The first form whose compact frames are read.
const FIRST_COMPACT: u32 = 3;

/// A configuration whose first pool has no health check that is known.
fn with_health_paths(version: u64) -> Arc<Deployment> {
    let paths = vec![None, Some("/second/health".into()), None, Some("/engine/health".into())];
    Arc::new(deployment(version, Vec::new())).with_health_paths(paths)
}

/// The health checks that a gateway has after it received a message from a peer.
fn received(message: PeerMessage) -> Vec<Option<Name>> {
    let mut core = new_core();
    core.handle(Event::PeerMessage { from: address(5), message }, ms(10));
    assert!(core.table().deployment.version > 0, "the configuration is in force");
    core.table().deployment.health_paths()
}

fn stored_configuration(form: u32) -> [Vec<u8>; 2] {
    let file = format!("{}/tests/frames/form-{form}.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    let frames: Frames = serde_json::from_slice(&text).expect("frames");
    let frame = &frames.frames["configuration"];
    [frame.json_bytes(), frame.compact_bytes().expect("hexadecimal")]
}

// Guards against a field that is appended to the encoded pools: configurations of earlier builds
// would be unreadable, or read with a path that nobody configured.
#[test_case(WITHOUT_HEALTH_PATHS)]
#[test_case(10)]
#[test_case(9)]
#[test_case(8)]
#[test_case(7)]
#[test_case(6)]
#[test_case(5)]
#[test_case(4)]
#[test_case(FIRST_COMPACT)]
#[test_case(2)]
fn configuration_of_an_earlier_build_has_no_health_paths(form: u32) {
    let [json, compact] = stored_configuration(form);
    let compact = Some(compact).filter(|_| form >= FIRST_COMPACT);
    for frame in [Some(json), compact].into_iter().flatten() {
        let paths = received(read(&frame, form).expect("a configuration"));
        assert_eq!(paths, vec![None; 3]);
    }
}

#[test]
fn configuration_keeps_its_health_paths_in_both_encodings() {
    let sent = with_health_paths(2);
    let outgoing = Outgoing::new(PeerMessage::configuration(position(2), sent.clone(), 0));
    for form in [Some(FORM), None] {
        let message = read(&outgoing.encode_for(form), FORM).expect("a configuration");
        assert_eq!(received(message), sent.health_paths());
    }
}

/// The configuration with which a gateway responds to the pull of a peer without one.
fn pulled(core: &mut GatewayCore) -> PeerMessage {
    let pull = PeerMessage::Pull { seen: Seen::default(), configuration: true, number: 1 };
    let actions = core.handle(Event::PeerMessage { from: address(6), message: pull }, ms(20));
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { message: message @ PeerMessage::Configuration { .. }, .. } => Some(message),
        _ => None,
    });
    sent.expect("a configuration")
}

// Guards against paths that only the gateways have which read the store themselves.
#[test]
fn gateway_that_follows_a_follower_has_the_health_paths() {
    let sent = with_health_paths(2);
    let mut reader = new_core();
    publish(&mut reader, Arc::unwrap_or_clone(sent.clone()), ms(1));
    let transferred = |message| {
        let frame = Outgoing::new(message).encode_for(None);
        read(&frame, FORM).expect("a configuration")
    };
    let mut follower = new_core();
    let message = transferred(pulled(&mut reader));
    follower.handle(Event::PeerMessage { from: address(5), message }, ms(10));
    assert_eq!(received(transferred(pulled(&mut follower))), sent.health_paths());
}
