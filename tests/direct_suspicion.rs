//! Failure detection by monitors: suspicions, their refutation, and members of earlier builds.

mod directenv;

use std::time::Duration;

use directenv::gateway::{arrival, configured, heartbeat_of, receive_gossip, serving};
use directenv::{address, ms, route};
use rand::SeedableRng;
use rand::rngs::StdRng;
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::heartbeat::{Heartbeat, Probe};
use stackmast::direct::peers::member::{Distance, Location, Member, MemberState, MemberUpdate};
use stackmast::direct::peers::members::Members;
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::peers::neighbours::News;
use stackmast::direct::published::model::Repeat;

const NO_DELAY: Duration = Duration::ZERO;

fn location(data_centre: &str, region: &str) -> Location {
    Location { data_centre: data_centre.into(), region: region.into() }
}

fn update(port: u16, heartbeat: u64, location: Location) -> MemberUpdate {
    let state = MemberState::Serving;
    let member = Member { address: address(port), incarnation: 5, heartbeat, state, capacity: 100 };
    MemberUpdate { member, location, reads_fail: false, is_suspected: false }
}

fn nearby(port: u16, heartbeat: u64) -> MemberUpdate {
    update(port, heartbeat, location("hall-1", "east"))
}

fn suspected(update: MemberUpdate) -> MemberUpdate {
    MemberUpdate { is_suspected: true, ..update }
}

/// A serving gateway that knows the members of these ports, all in its data centre.
fn members(ports: &[u16]) -> Members {
    let mut members = Members::new(address(1), 1, 100, location("hall-1", "east"), Vec::new());
    members.set_state(MemberState::Serving);
    let updates: Vec<MemberUpdate> = ports.iter().map(|port| nearby(*port, 1)).collect();
    members.merge_updates(&updates, false, ms(0));
    members.take_updates();
    members.take_updates();
    members
}

fn down(members: &mut Members, at: u64) -> Vec<u16> {
    members.expire(NO_DELAY, ms(at)).iter().map(|m| m.address.port()).collect()
}

#[test]
fn only_monitored_members_time_out() {
    let mut members = members(&[2, 3]);
    members.heard(address(2), true, ms(0));
    assert!(members.suspect_silent(NO_DELAY, ms(999)).is_empty());
    let silent = members.suspect_silent(NO_DELAY, ms(1_000));
    assert_eq!(silent.iter().map(|m| m.address).collect::<Vec<_>>(), [address(2)]);
    let updates = members.take_updates();
    assert!(updates.iter().any(|u| u.is_suspected && u.member.address == address(2)), "gossiped");
    assert!(down(&mut members, 1_599).is_empty(), "it may refute the suspicion");
    assert_eq!(down(&mut members, 1_600), [2]);
    assert!(down(&mut members, 60_000).is_empty(), "nobody monitors the other here");
}

#[test]
fn a_newer_heartbeat_refutes_a_suspicion() {
    let mut members = members(&[2, 3]);
    let changes = members.merge_updates(&[suspected(nearby(2, 1))], false, ms(100));
    assert_eq!(changes.suspected.len(), 1);
    assert!(members.take_updates().iter().any(|u| u.is_suspected), "it is passed on");
    let changes = members.merge_updates(&[nearby(2, 2)], false, ms(300));
    assert_eq!(changes.refuted.len(), 1);
    let updates = members.take_updates();
    assert!(updates.iter().any(|u| !u.is_suspected && u.member.heartbeat == 2), "so is this");
    assert!(down(&mut members, 5_000).is_empty());
}

#[test]
fn a_suspicion_of_an_earlier_heartbeat_is_refuted_by_whoever_knows_a_later_one() {
    let mut members = members(&[2, 3]);
    members.merge_updates(&[nearby(2, 7)], false, ms(10));
    let changes = members.merge_updates(&[suspected(nearby(2, 6))], false, ms(100));
    assert!(changes.suspected.is_empty());
    let updates = members.take_updates();
    assert!(updates.iter().any(|u| !u.is_suspected && u.member.heartbeat == 7));
    assert!(down(&mut members, 5_000).is_empty());
}

#[test]
fn a_suspected_gateway_announces_itself() {
    let mut members = members(&[2]);
    let own = members.own_update();
    assert!(members.merge_updates(&[suspected(own.clone())], false, ms(10)).suspects_own);
    assert!(members.take_updates().iter().any(|u| u.member.address == own.member.address));
    let mut earlier = suspected(own);
    earlier.member.incarnation = 0;
    assert!(!members.merge_updates(&[earlier], false, ms(20)).suspects_own, "an earlier life");
}

#[test]
fn gossip_about_a_suspicion_ends() {
    let mut members = members(&[2, 3]);
    for at in [100, 110, 120] {
        members.merge_updates(&[suspected(nearby(2, 1))], false, ms(at));
    }
    let sent = (0..10).filter(|_| !members.take_updates().is_empty()).count();
    assert_eq!(sent, 2);
    assert_eq!(down(&mut members, 700), [2]);
    assert!(members.take_updates().is_empty(), "all know it already");
}

#[test]
fn a_complete_list_repairs_what_gossip_did_not_deliver() {
    let mut members = members(&[2, 3]);
    let digest = members.digest();
    assert!(!members.compare_digest(digest, ms(5_000)));
    assert!(!members.compare_digest(digest ^ 1, ms(5_000)), "changes may be on their way");
    assert!(members.compare_digest(digest ^ 1, ms(6_000)));
    assert!(!members.compare_digest(digest ^ 1, ms(6_500)), "at most one list a second");
    let list = [nearby(2, 1), nearby(4, 1)];
    let changes = members.merge_updates(&list, true, ms(7_000));
    assert_eq!(changes.joined.iter().map(|m| m.address).collect::<Vec<_>>(), [address(4)]);
    assert_eq!(changes.unconfirmed, [address(3)], "it is probed");
    assert!(!members.has_updates(), "the others have the list, too");
}

#[test]
fn a_list_revives_a_member_only_long_after_its_failure() {
    let mut members = members(&[2, 3]);
    assert!(members.mark_unreachable(address(2), 5, ms(100)));
    let list = [nearby(2, 1), nearby(3, 1)];
    assert!(members.merge_updates(&list, true, ms(1_000)).joined.is_empty());
    assert_eq!(members.merge_updates(&list, true, ms(2_100)).joined.len(), 1);
}

#[test]
fn monitors_are_nearby_but_one() {
    let mut members = members(&[2, 3, 4, 5, 6]);
    let elsewhere = [
        update(12, 1, location("hall-2", "east")),
        update(13, 1, location("hall-2", "east")),
        update(14, 1, location("hall-9", "west")),
    ];
    members.merge_updates(&elsewhere, false, ms(0));
    let mut rng = StdRng::seed_from_u64(1);
    let recipients = members.next_heartbeat(News::None, &mut rng);
    let mut distances: Vec<Distance> =
        recipients.monitors.iter().map(|m| members.distance_of(*m)).collect();
    distances.sort_unstable();
    let (near, in_region) = (Distance::SameDataCentre, Distance::SameRegion);
    assert_eq!(distances, [near, near, in_region]);
    let again = members.next_heartbeat(News::None, &mut rng);
    assert_eq!(again.monitors, recipients.monitors, "always the same ones");
    assert!(again.without_location.is_empty());
}

#[test]
fn a_member_that_no_longer_monitors_is_told_so() {
    let mut members = members(&[2, 3, 4]);
    let mut rng = StdRng::seed_from_u64(1);
    let before = members.next_heartbeat(News::None, &mut rng).monitors;
    let more: Vec<MemberUpdate> = (20..60).map(|port| nearby(port, 1)).collect();
    members.merge_updates(&more, false, ms(0));
    let after = members.next_heartbeat(News::None, &mut rng);
    let replaced: Vec<_> = before.iter().filter(|m| !after.monitors.contains(m)).collect();
    assert!(!replaced.is_empty());
    assert!(replaced.iter().all(|m| after.others.contains(m)));
}

fn heartbeat(sender: MemberUpdate, probe: Option<Probe>) -> Event {
    arrival(Heartbeat { is_monitor: true, probe, ..heartbeat_of(sender) })
}

fn core() -> GatewayCore {
    let mut core = configured(vec![route("r", Repeat::Idempotent, &[])]);
    receive_gossip(&mut core, vec![serving(9)], ms(0));
    core
}

fn sends_gossip(actions: &[Action]) -> bool {
    let is_gossip = |message: &PeerMessage| matches!(message, PeerMessage::Gossip { .. });
    actions.iter().any(|a| matches!(a, Action::Broadcast { message, .. } if is_gossip(message)))
}

#[test]
fn a_probe_is_answered_at_once_and_over_a_new_connection_if_it_asks_for_one() {
    let mut core = configured(Vec::new());
    core.handle(heartbeat(nearby(2, 1), None), ms(10));
    for (probe, reconnects) in [(Probe::Silent, false), (Probe::Reconnect, true)] {
        let actions = core.handle(heartbeat(nearby(2, 2), Some(probe)), ms(20));
        let answers = |a: &Action| matches!(a, Action::Send { to, .. } if *to == address(2));
        assert!(actions.iter().any(answers));
        let disconnects = |a: &Action| matches!(a, Action::Disconnect { .. });
        assert_eq!(actions.iter().any(disconnects), reconnects);
    }
}

// Members of form 6 and earlier time each other out by heartbeats that all gossip.
#[test]
fn all_heartbeats_are_gossiped_while_a_member_of_an_earlier_build_is_up() {
    let mut core = core();
    core.handle(heartbeat(nearby(2, 1), None), ms(10));
    assert!(sends_gossip(&core.handle(Event::Tick, ms(400))));
    let mut recent = serving(9);
    recent.heartbeat = 2;
    receive_gossip(&mut core, vec![recent], ms(700));
    assert!(sends_gossip(&core.handle(Event::Tick, ms(1_400))));
    assert!(core.handle(Event::Tick, ms(1_700)).iter().any(is_down), "by its own time-out");
    assert!(!sends_gossip(&core.handle(Event::Tick, ms(2_000))), "nobody needs it any more");
}

fn is_down(action: &Action) -> bool {
    use stackmast::direct::log_events::LogEvent;
    matches!(action, Action::Log(LogEvent::Peer { alive: false, address: at, .. }) if *at == address(9))
}

#[test]
fn a_member_of_an_earlier_build_that_is_upgraded_is_monitored() {
    let mut core = core();
    assert!(sends_gossip(&core.handle(Event::Tick, ms(300))));
    let mut upgraded = nearby(9, 1);
    upgraded.member.incarnation = 6;
    core.handle(heartbeat(upgraded, None), ms(500));
    assert!(!sends_gossip(&core.handle(Event::Tick, ms(900))));
}
