//! Which gateways read the publisher's store, and when the others do it themselves.

mod directenv;

use std::time::Duration;

use directenv::gateway::{arrival, configured, heartbeat_of};
use directenv::{address, ms};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::heartbeat::Heartbeat;
use stackmast::direct::peers::member::{Location, Member, MemberState, MemberUpdate};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::store_reading::{StorePart, StoreUse};

/// A stronger member of the gateway's own data centre.
fn stronger(port: u16) -> MemberUpdate {
    let state = MemberState::Serving;
    let member =
        Member { address: address(port), incarnation: 5, heartbeat: 1, state, capacity: 9_000 };
    let location = Location { data_centre: "hall-1".into(), region: "east".into() };
    MemberUpdate { member, location, reads_fail: false, is_suspected: false }
}

/// A heartbeat whose sender knows the documents to have been current some time ago.
fn heartbeat(core: &mut GatewayCore, sender: MemberUpdate, age: u64, now: u64) -> Vec<Action> {
    let heartbeat = Heartbeat { store_age: Some(ms(age)), ..heartbeat_of(sender) };
    core.handle(arrival(heartbeat), ms(now))
}

/// A gateway with two stronger members in its data centre, which read the store.
fn follower() -> GatewayCore {
    let mut core = configured(Vec::new());
    core.handle(Event::Tick, ms(0));
    heartbeat(&mut core, stronger(2), 0, 900);
    heartbeat(&mut core, stronger(3), 0, 1_000);
    core.handle(Event::Tick, ms(1_100));
    assert_eq!(core.store_use(), StoreUse::Follow);
    core
}

fn causes(actions: &[Action]) -> Vec<&'static str> {
    let cause = |a: &Action| match a {
        Action::Log(LogEvent::StoreReading(change)) => Some(change.cause),
        _ => None,
    };
    actions.iter().filter_map(cause).collect()
}

#[test]
fn a_gateway_that_knows_no_other_reads_the_store() {
    let mut core = configured(Vec::new());
    core.handle(Event::Tick, ms(0));
    core.handle(Event::Tick, ms(1_100));
    assert_eq!(core.store_use(), StoreUse::Watch);
}

#[test]
fn the_next_gateway_reads_when_a_reader_fails() {
    let mut core = follower();
    let actions = core.handle(Event::PeerUnreachable { address: address(2) }, ms(1_200));
    assert_eq!(core.store_use(), StoreUse::Watch);
    assert_eq!(causes(&actions), ["reader"]);
    assert!(actions.iter().any(|a| matches!(a, Action::SetStoreUse(StoreUse::Watch))));
}

#[test]
fn the_next_gateway_reads_when_the_store_rejects_a_reader() {
    let mut core = follower();
    let mut rejected = MemberUpdate { reads_fail: true, ..stronger(2) };
    rejected.member.heartbeat = 2;
    heartbeat(&mut core, rejected, 0, 1_200);
    assert_eq!(core.store_use(), StoreUse::Watch);
}

#[test]
fn a_gateway_whose_documents_are_old_reads_by_itself() {
    let mut core = follower();
    assert!(causes(&core.handle(Event::Tick, ms(5_900))).is_empty());
    let mut stale_at = None;
    for now in (6_000..12_000).step_by(100) {
        if causes(&core.handle(Event::Tick, ms(now))) == ["stale"] {
            stale_at = Some(now);
        }
    }
    assert!(stale_at.is_some_and(|at| (6_000..=6_400).contains(&at)), "{stale_at:?}");
    for part in [StorePart::Operator, StorePart::Endpoints] {
        core.handle(Event::StoreChecked { part }, ms(12_000));
    }
    assert_eq!(core.store_use(), StoreUse::Follow, "until its documents are current");
}

#[test]
fn a_stale_gateway_that_the_store_rejects_pauses() {
    let mut core = follower();
    core.handle(Event::Tick, ms(7_000));
    assert_eq!(core.store_use(), StoreUse::Watch);
    core.handle(Event::PublisherStatus { answers: false }, ms(7_010));
    core.handle(Event::Tick, ms(8_100));
    assert_eq!(core.store_use(), StoreUse::Follow);
    core.handle(Event::Tick, ms(17_900));
    assert_eq!(core.store_use(), StoreUse::Follow);
    core.handle(Event::Tick, ms(18_100));
    assert_eq!(core.store_use(), StoreUse::Watch, "it tries again");
}

#[test]
fn a_recent_read_of_a_peer_keeps_a_gateway_from_reading() {
    let mut core = follower();
    for now in (1_500..20_000).step_by(500) {
        heartbeat(&mut core, stronger(2), 400, now);
        assert_eq!(core.store_use(), StoreUse::Follow, "at {now} ms");
    }
}

#[test]
fn heartbeats_state_the_age_of_the_documents() {
    let mut core = follower();
    let actions = core.handle(Event::Tick, ms(2_000));
    let ages = actions.iter().filter_map(|a| match a {
        Action::Broadcast { message: PeerMessage::Heartbeat(heartbeat), .. } => heartbeat.store_age,
        _ => None,
    });
    assert!(ages.clone().count() > 0);
    ages.for_each(|age| assert_eq!(age, Duration::from_secs(1)));
}
