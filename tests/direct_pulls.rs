//! Documents that a gateway pulls from its peers: how often, and from which peer.

mod directenv;

use std::net::SocketAddr;
use std::sync::Arc;

use directenv::gateway::Heartbeat;
use directenv::{address, deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::members::{Member, MemberState};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::peers::pulls::Progress;
use stackmast::direct::published::documents::{Document, Revised, Seen};
use stackmast::direct::published::list_position::{Extent, ListDigest, Verification};
use stackmast::direct::published::model::Repeat;
use stackmast::direct::published::store_read::StoreRead;
use stackmast::direct::published::table::Table;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::message::Timestamp;
use test_case::test_case;

/// A gateway with a configuration of version 1 and one endpoint.
fn gateway() -> GatewayCore {
    let mut core = GatewayCore::new(Setup {
        witness_port: None,
        address: address(1),
        incarnation: 1,
        capacity: 90,
        data_centre: "hall-1".into(),
        region: "east".into(),
        is_first_start: false,
        seeds: Vec::new(),
        repeats: RepeatBudget { ratio: 0.2, slack: 20.0, window: ms(10_000) },
        grace: ms(8_000),
        settling: ms(0),
        seed: 1,
    });
    let documents = vec![
        Revised {
            position: position(1),
            created_revision: 0,
            document: Document::Deployment(deployment(1, Vec::new()).into()),
        },
        Revised {
            position: position(2),
            created_revision: 0,
            document: Document::Endpoint(endpoint("engine", 1)),
        },
    ];
    core.handle(
        Event::Published { documents, extent: Extent::Complete { at: position(2) } },
        ms(0),
    );
    core
}

/// A heartbeat of a peer that has seen the documents `seen`.
fn beat(port: u16, heartbeat: u64, seen: Seen) -> Event {
    let member = Member {
        address: address(port),
        incarnation: 1,
        heartbeat,
        state: MemberState::Serving,
        capacity: if port == 4 { 500 } else { 90 },
    };
    let heartbeat_fields =
        Heartbeat { members: vec![member], seen, complete: true, ..Heartbeat::default() };
    let message = heartbeat_fields.message();
    Event::PeerMessage { from: address(port), message }
}

fn pulls(actions: &[Action]) -> Vec<SocketAddr> {
    let asked = actions.iter().filter_map(|a| match a {
        Action::Send { to, message: PeerMessage::Pull { .. } } => Some(*to),
        _ => None,
    });
    asked.collect()
}

/// Peers 2 to 5 send heartbeats with `seen` every 20 ms; returns the pulls between two times.
fn asked(core: &mut GatewayCore, seen: Seen, from: u64, to: u64) -> Vec<(Timestamp, SocketAddr)> {
    let mut asked = Vec::new();
    for at in (from..to).step_by(5) {
        let port = 2 + (at / 5 % 4) as u16;
        let actions = core.handle(beat(port, at + 1, seen), ms(at));
        asked.extend(pulls(&actions).into_iter().map(|to| (ms(at), to)));
    }
    asked
}

/// The given number of bytes of a configuration of 500,000 bytes has arrived from a peer.
fn sends(port: u16, bytes: u64) -> Event {
    let progress = Progress { pull: 0, bytes, expected: Some(500_000) };
    Event::ConfigurationPullProgress { from: address(port), progress }
}

const NEWER: Seen = Seen { version: 2, endpoints: position(2) };

#[test]
fn a_configuration_is_pulled_from_one_peer_at_a_time() {
    let mut core = gateway();
    let first = asked(&mut core, NEWER, 2_010, 2_200);
    assert_eq!(first.len(), 1, "{first:?}");
    assert_eq!(first[0].1, address(4), "the strongest host");
    core.handle(sends(4, 100_000), ms(2_200));
    let more = asked(&mut core, NEWER, 2_205, 2_700);
    assert!(more.is_empty(), "{more:?}");
}

#[test]
fn a_transfer_with_good_progress_is_not_replaced() {
    let mut core = gateway();
    assert_eq!(asked(&mut core, NEWER, 2_000, 2_200).len(), 1);
    for (step, at) in (2_200..3_400).step_by(200).enumerate() {
        core.handle(sends(4, 80_000 * (step as u64 + 1)), ms(at));
        assert!(asked(&mut core, NEWER, at, at + 200).is_empty(), "{at}");
    }
}

#[test]
fn a_slow_transfer_is_supplemented_by_at_most_one_other() {
    let mut core = gateway();
    assert_eq!(asked(&mut core, NEWER, 2_000, 2_200).len(), 1);
    let mut others = Vec::new();
    for (step, at) in (2_200..6_000).step_by(300).enumerate() {
        let bytes = 16_000 * (step as u64 + 1);
        let actions = core.handle(sends(4, bytes), ms(at));
        others.extend(pulls(&actions).into_iter().map(|to| (ms(at), to)));
        for (_, other) in &others {
            core.handle(sends(other.port(), bytes), ms(at));
        }
        others.extend(asked(&mut core, NEWER, at, at + 300));
    }
    assert_eq!(others.len(), 1, "{others:?}");
    assert!(others[0].0 <= ms(3_200), "{others:?}");
    assert_ne!(others[0].1, address(4));
}

#[test]
fn a_silent_peer_is_replaced_by_another() {
    let mut core = gateway();
    let asked = asked(&mut core, NEWER, 2_000, 2_600);
    let peers: Vec<_> = asked.iter().map(|(_, peer)| *peer).collect();
    assert_eq!(peers.len(), 2, "{asked:?}");
    assert_eq!(peers[0], address(4));
    assert_ne!(peers[1], address(4));
}

#[test]
fn intermediate_versions_do_not_delay_the_newest() {
    let mut core = gateway();
    let newest = Seen { version: 90, endpoints: position(2) };
    let mut found = Vec::new();
    for (step, at) in (2_000..6_200).step_by(200).enumerate() {
        if step % 7 == 6 {
            let document = Document::Deployment(deployment(step as u64, Vec::new()).into());
            let documents = vec![Revised {
                position: position(3 + step as u64),
                created_revision: 0,
                document,
            }];
            core.handle(Event::Published { documents, extent: Extent::Partial }, ms(at));
        }
        let actions = core.handle(Event::ConfigurationReadProgress, ms(at));
        found.extend(pulls(&actions).into_iter().map(|to| (ms(at), to)));
        found.extend(asked(&mut core, newest, at, at + 200));
    }
    let first = found.first().map(|(at, _)| *at);
    assert!(first.is_some_and(|at| at <= ms(3_100)), "{found:?}");
}

#[test]
fn pulls_of_successive_configurations_are_spaced() {
    for told in (0..700).step_by(50) {
        let mut core = gateway();
        let document = Document::Deployment(deployment(2, Vec::new()).into());
        let documents = vec![Revised { position: position(3), created_revision: 0, document }];
        core.handle(Event::Published { documents, extent: Extent::Partial }, ms(2_000));
        let newer = Seen { version: 3, endpoints: position(2) };
        let asked = asked(&mut core, newer, 2_005 + told, 4_000);
        let waited = asked[0].0 - ms(2_005 + told);
        assert!(waited <= ms(700), "told {told} ms after: {waited:?}");
        assert!(asked[0].0 >= ms(2_700), "told {told} ms after: {asked:?}");
    }
}

#[test_case(&|| Event::PeerMessage { from: address(4), message: PeerMessage::NoConfiguration }; "that refuses")]
#[test_case(&|| Event::ConfigurationPullAborted { from: address(4), pull: 0 }; "that aborts")]
fn another_peer_is_asked_after_a_peer(event: &dyn Fn() -> Event) {
    let mut core = gateway();
    assert_eq!(asked(&mut core, NEWER, 2_000, 2_300).len(), 1);
    let actions = core.handle(event(), ms(2_300));
    let next = pulls(&actions);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], address(4));
}

// The end of an abandoned transfer must not end a later one from the same peer.
#[test_case(1, true; "the current pull")]
#[test_case(7, false; "another pull")]
fn only_the_end_of_the_current_pull_starts_another(pull: u64, is_asked: bool) {
    let mut core = gateway();
    assert_eq!(asked(&mut core, NEWER, 2_000, 2_300).len(), 1);
    let actions =
        core.handle(Event::ConfigurationPullAborted { from: address(4), pull }, ms(2_300));
    assert_eq!(pulls(&actions).len(), usize::from(is_asked));
}

#[test]
fn no_pull_while_the_store_read_progresses() {
    let mut core = gateway();
    for at in (2_000..3_000).step_by(200) {
        core.handle(Event::ConfigurationReadProgress, ms(at));
        assert!(asked(&mut core, NEWER, at, at + 200).is_empty(), "{at}");
    }
    assert_eq!(asked(&mut core, NEWER, 3_000, 3_100).len(), 1, "but not for ever");
}

#[test]
fn no_pull_between_a_complete_store_read_and_its_publication() {
    let mut core = gateway();
    core.handle(Event::ConfigurationReadProgress, ms(2_000));
    assert!(asked(&mut core, NEWER, 2_000, 2_300).is_empty());
    let read = StoreRead {
        query: None,
        fault: None,
        subject: StoreRead::CONFIGURATION,
        watch: true,
        outcome: StoreRead::COMPLETE,
        bytes: 400_000,
        expected: Some(400_000),
        reconnected: false,
        wait_time: ms(5),
        transfer_time: ms(300),
        decode_time: ms(10),
    };
    assert!(pulls(&core.handle(Event::StoreRead(read.clone()), ms(2_300))).is_empty());
    let document = Document::Deployment(deployment(2, Vec::new()).into());
    let documents = vec![Revised { position: position(3), created_revision: 0, document }];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(2_301));
    assert!(asked(&mut core, NEWER, 2_305, 4_000).is_empty());
    let lost = StoreRead { outcome: "torn", ..read };
    core.handle(Event::ConfigurationReadProgress, ms(4_000));
    let newer = Seen { version: 3, endpoints: position(2) };
    assert!(asked(&mut core, newer, 4_000, 4_200).is_empty());
    assert_eq!(pulls(&core.handle(Event::StoreRead(lost), ms(4_200))).len(), 1, "at once");
}

#[test]
fn endpoint_entries_do_not_wait_for_a_configuration() {
    let mut core = gateway();
    assert_eq!(asked(&mut core, NEWER, 2_000, 2_300).len(), 1);
    let more = Seen { version: 2, endpoints: position(3) };
    let mut found = None;
    for at in (2_300..2_600).step_by(5) {
        let actions = core.handle(beat(5, at, more), ms(at));
        found = found.or(actions.into_iter().find_map(|a| match a {
            Action::Send { message: PeerMessage::Pull { seen, configuration, .. }, .. } => {
                Some((at, seen.endpoints, configuration))
            }
            _ => None,
        }));
    }
    let (at, endpoints, configuration) = found.expect("a pull of entries");
    assert!(at <= 2_405 && endpoints == position(2) && !configuration);
}

/// Of an endpoint that was removed long ago only the revision is kept.
#[test]
fn a_list_behind_by_forgotten_entries_is_pulled_once() {
    let mut core = gateway();
    let ahead = Seen { version: 1, endpoints: position(9) };
    let mut count = 0;
    for at in (2_000..12_000).step_by(5) {
        let port = 2 + (at / 5 % 4) as u16;
        for to in pulls(&core.handle(beat(port, at, ahead), ms(at))) {
            count += 1;
            let same = ListDigest::of([position(2)].into_iter());
            let message = PeerMessage::Documents {
                documents: Vec::new(),
                complete: true,
                seen: 9,
                era: 0,
                verification: Some(Verification::Digest(same)),
            };
            core.handle(Event::PeerMessage { from: to, message }, ms(at));
        }
    }
    assert_eq!(count, 1, "pulls in 10 s");
}

#[test]
fn frequent_versions_leave_the_link_free_between_pulls() {
    let mut core = gateway();
    let mut times = Vec::new();
    for at in (2_000..6_000).step_by(5) {
        let seen = Seen { version: 2 + (at - 2_000) / 200, endpoints: position(2) };
        let actions = core.handle(beat(4, at, seen), ms(at));
        if pulls(&actions).is_empty() {
            continue;
        }
        times.push(at);
        let deployment = deployment(seen.version, Vec::new()).into();
        let message = PeerMessage::configuration(position(at), deployment, 0);
        core.handle(Event::PeerMessage { from: address(4), message }, ms(at));
        assert_eq!(core.table().deployment.version, seen.version, "the newest");
    }
    assert!(times.windows(2).all(|w| w[1] - w[0] >= 700), "{times:?}");
    assert!(times.len() >= 4, "{times:?}");
}

#[test]
fn incremental_changes_leave_the_same_table_as_a_rebuild() {
    let routes = vec![route("plain", Repeat::Idempotent, &[])];
    let deployment = Arc::new(deployment(1, routes));
    let mut table = Table::new(deployment.clone(), [].into_iter());
    let mut listed = std::collections::BTreeMap::new();
    for step in 0..200_u16 {
        let (pool, number) = (["first", "engine"][usize::from(step % 2)], step * 7 % 13);
        let mut endpoint = (*endpoint(pool, number)).clone();
        endpoint.leaving = step % 5 == 0;
        let id = endpoint.id.clone();
        if step % 3 == 0 {
            listed.remove(&id);
            table.replace_endpoint(&id, None);
        } else {
            table.replace_endpoint(&id, Some(&Arc::new(endpoint.clone())));
            listed.insert(id, Arc::new(endpoint));
        }
        let anew = Table::new(deployment.clone(), listed.values());
        for pool in ["first", "second", "engine"] {
            assert_eq!(table.pool_endpoints(pool), anew.pool_endpoints(pool), "step {step}");
        }
        for number in 0..13 {
            for pool in ["first", "engine"] {
                let id = format!("{pool}-{number}");
                assert_eq!(table.endpoint(&id), anew.endpoint(&id), "step {step}");
            }
        }
    }
}
