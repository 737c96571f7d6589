//! Documents that a gateway asks of its peers: how often, and of whom.

mod directenv;

use std::net::SocketAddr;

use directenv::{address, deployment, endpoint, ms};
use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::documents::{Document, Revised, Seen};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::members::{Member, MemberState};
use stackmast::direct::message::PeerMessage;
use stackmast::direct::repeats::Bounds;
use stackmast::message::Timestamp;

/// A gateway that knows a configuration of version 1 and one endpoint.
fn gateway() -> GatewayCore {
    let mut core = GatewayCore::new(Setup {
        address: address(1),
        incarnation: 1,
        capacity: 90,
        data_centre: "hall-1".into(),
        seeds: Vec::new(),
        repeats: Bounds { ratio: 0.2, slack: 20.0, window: ms(10_000) },
        grace: ms(8_000),
        seed: 1,
    });
    let documents = vec![
        Revised { revision: 1, document: Document::Deployment(deployment(1, Vec::new()).into()) },
        Revised { revision: 2, document: Document::Endpoint(endpoint("engine", 1)) },
    ];
    core.handle(Event::Published { documents, whole_at: Some(2) }, ms(0));
    core
}

/// A heartbeat of a peer that has seen so much.
fn beat(port: u16, heartbeat: u64, seen: Seen) -> Event {
    let member = Member {
        address: address(port),
        incarnation: 1,
        heartbeat,
        state: MemberState::Serving,
        capacity: if port == 4 { 500 } else { 90 },
    };
    let members = vec![member];
    let message = PeerMessage::Gossip { members, seen, complete: true, usage: Vec::new() };
    Event::Peer { from: address(port), message }
}

fn pulls(actions: &[Action]) -> Vec<SocketAddr> {
    let asked = actions.iter().filter_map(|a| match a {
        Action::Tell { to, message: PeerMessage::Pull { .. } } => Some(*to),
        _ => None,
    });
    asked.collect()
}

/// Peers 2 to 5 beat every 20 ms, having seen so much; who was asked from one time to another.
fn asked(core: &mut GatewayCore, seen: Seen, from: u64, to: u64) -> Vec<(Timestamp, SocketAddr)> {
    let mut asked = Vec::new();
    for at in (from..to).step_by(5) {
        let port = 2 + (at / 5 % 4) as u16;
        let actions = core.handle(beat(port, at + 1, seen), ms(at));
        asked.extend(pulls(&actions).into_iter().map(|to| (ms(at), to)));
    }
    asked
}

#[test]
fn a_configuration_is_asked_of_one_peer_while_its_answer_is_on_the_way() {
    let mut core = gateway();
    let asked = asked(&mut core, Seen { version: 2, endpoints: 2 }, 10, 700);
    assert_eq!(asked.len(), 1, "{asked:?}");
}
