//! The position of the endpoint list that a gateway announces, and the changes that its peers then
//! have.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{heartbeat_of, new_core, serving};
use directenv::group::Group;
use directenv::{address, deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::peers::build::Build;
use stackmast::direct::peers::heartbeat::{GatewayState, Heartbeat};
use stackmast::direct::peers::member::{Location, MemberUpdate};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Revised, Seen};
use stackmast::direct::published::list_position::{Extent, ListDigest, Verification};
use stackmast::direct::published::model::{Endpoint, Repeat};
use stackmast::direct::published::position::Position;
use stackmast::direct::store_reading::StoreUse;

/// A build before form 11.
const EARLIER_FORM: u32 = 10;

fn listed(number: u16, revision: u64) -> Revised {
    changed(number, false, revision)
}

/// The entry of an endpoint that was last changed at a revision.
fn changed(number: u16, leaving: bool, revision: u64) -> Revised {
    let entry = Arc::new(Endpoint { leaving, ..(*endpoint("engine", number)).clone() });
    let document = Document::Endpoint(entry);
    Revised { position: position(revision), created_revision: 1, document }
}

fn removed(number: u16, revision: u64) -> Revised {
    let document = Document::Removed(format!("engine-{number}").into());
    Revised { position: position(revision), created_revision: 0, document }
}

fn changes(documents: Vec<Revised>, since: u64, up_to: u64) -> Event {
    let extent = Extent::Changes { since: position(since), up_to: position(up_to) };
    Event::Published { documents, extent }
}

fn list(documents: Vec<Revised>, at: u64) -> Event {
    Event::Published { documents, extent: Extent::Complete { at: position(at) } }
}

fn truncated(documents: Vec<Revised>) -> Event {
    Event::Published { documents, extent: Extent::Truncated }
}

/// A gateway with a configuration and the given list.
fn gateway(documents: Vec<Revised>, at: u64) -> GatewayCore {
    let mut core = configured_gateway();
    core.handle(list(documents, at), ms(1));
    core
}

/// A gateway with a configuration and no list.
fn configured_gateway() -> GatewayCore {
    let mut core = new_core();
    let deployment = deployment(1, vec![route("r", Repeat::Idempotent, &[])]);
    let document = Document::Deployment(Arc::new(deployment));
    let configured = Revised { position: position(1), created_revision: 0, document };
    let extent = Extent::Partial;
    core.handle(Event::Published { documents: vec![configured], extent }, ms(0));
    core
}

/// The response to a peer's pull since a revision: revisions of the entries, and the announced
/// position.
fn pulled(core: &mut GatewayCore, since: u64) -> (Vec<u64>, Position, Option<Verification>) {
    let seen = Seen { version: 1, endpoints: position(since) };
    let message = PeerMessage::Pull { seen, configuration: false, number: 0 };
    let actions = core.handle(Event::PeerMessage { from: address(9), message }, ms(2));
    let response = actions.into_iter().find_map(|action| match action {
        Action::Send {
            message: PeerMessage::Documents { documents, seen, era, verification, .. },
            ..
        } => {
            let mut revisions: Vec<u64> = documents.iter().map(|d| d.position.revision).collect();
            revisions.sort_unstable();
            Some((revisions, Position::new(era, seen), verification))
        }
        _ => None,
    });
    response.expect("a response")
}

fn announced(core: &mut GatewayCore) -> u64 {
    pulled(core, 1_000).1.revision
}

/// Positions of the pulls of entries among actions.
fn pulls(actions: &[Action]) -> Vec<u64> {
    let pulls = actions.iter().filter_map(|action| match action {
        Action::Send { message: PeerMessage::Pull { seen, .. }, .. } => {
            Some(seen.endpoints.revision)
        }
        _ => None,
    });
    pulls.collect()
}

/// The event by which a peer's entries arrive.
fn documents(documents: Vec<Revised>, seen: u64, verification: Option<Verification>) -> Event {
    let message = PeerMessage::Documents { documents, complete: true, seen, era: 0, verification };
    Event::PeerMessage { from: address(2), message }
}

fn digest(revisions: &[u64]) -> Option<Verification> {
    let positions = revisions.iter().map(|revision| position(*revision));
    Some(Verification::Digest(ListDigest::of(positions)))
}

fn is_leaving(core: &GatewayCore, id: &str) -> bool {
    core.table().endpoint(id).is_none_or(|endpoint| endpoint.leaving)
}

// Guards against review/2: a gateway read a list in pages while endpoints left, and announced the
// position of an entry on the last page, though it lacked earlier changes of the first page.
#[test]
fn a_list_read_in_pages_is_announced_up_to_its_first_page() {
    let mut core = gateway(vec![listed(1, 5), listed(2, 7), changed(3, true, 12)], 9);
    assert_eq!(announced(&mut core), 7);
    let missed = vec![changed(1, true, 11), changed(3, true, 12)];
    core.handle(changes(missed, 9, 13), ms(3));
    assert_eq!(announced(&mut core), 12);
}

// The same with followers: they learn of the change that the pages lacked.
#[test]
fn followers_receive_changes_that_a_list_in_pages_lacks() {
    let engines = vec![endpoint("engine", 1), endpoint("engine", 2)];
    let mut group = Group::new(3, deployment(1, Vec::new()), engines);
    group.handle(0, list(vec![listed(1, 2), changed(2, true, 11)], 9));
    group.run_for(ms(300));
    group.handle(0, changes(vec![changed(1, true, 10), changed(2, true, 11)], 9, 11));
    group.run_for(ms(1_000));
    for gateway in 0..3 {
        assert!(is_leaving(group.core(gateway), "engine-1"), "gateway {gateway}");
        assert!(is_leaving(group.core(gateway), "engine-2"), "gateway {gateway}");
    }
}

// Guards against changes that a watch missed, and that followers never received, because an entry
// from that watch raised the announced position.
#[test]
fn entries_of_a_watch_that_may_miss_changes_are_not_announced() {
    let mut core = gateway(vec![listed(1, 5)], 9);
    let documents = vec![listed(2, 14)];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(3));
    assert_eq!(announced(&mut core), 5);
    core.handle(list(vec![listed(1, 12), listed(2, 14)], 15), ms(4));
    assert_eq!(announced(&mut core), 14);
}

#[test]
fn changes_after_a_gap_are_not_announced() {
    let mut core = gateway(vec![listed(1, 5)], 9);
    core.handle(changes(vec![listed(2, 14)], 12, 14), ms(3));
    assert_eq!(announced(&mut core), 5);
}

#[test]
fn a_gateway_without_a_complete_list_announces_no_position() {
    let mut core = new_core();
    let documents = vec![listed(1, 5)];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(1));
    assert_eq!(pulled(&mut core, 0), (vec![5], Position::default(), None));
}

// Guards against endpoints that stay in use because the peer that a gateway pulls from started
// after their removal and doesn't know it.
#[test]
fn a_removal_before_a_peers_start_reaches_its_followers() {
    let mut core = gateway(vec![listed(1, 5), listed(2, 7)], 9);
    let mut peer = gateway(vec![listed(2, 7)], 20);
    peer.handle(changes(vec![listed(3, 21)], 20, 21), ms(2));
    let (_, seen, verification) = pulled(&mut peer, 7);
    let actions = core.handle(documents(vec![listed(3, 21)], seen.revision, verification), ms(3));
    assert_eq!(pulls(&actions), [0], "the complete list is requested");
    assert_eq!(announced(&mut core), 7);
    let (_, seen, verification) = pulled(&mut peer, 0);
    assert_eq!(verification, Some(Verification::CompleteList));
    let complete = vec![listed(2, 7), listed(3, 21)];
    core.handle(documents(complete, seen.revision, verification), ms(4));
    assert!(core.table().endpoint("engine-1").is_none());
    assert_eq!(announced(&mut core), 21);
}

// Guards against endpoints that a gateway uses for ever after it was cut off for more than the two
// minutes for which removals are remembered.
#[test]
fn a_removal_that_is_no_longer_remembered_reaches_a_gateway_that_was_cut_off() {
    let engines = vec![endpoint("engine", 1), endpoint("engine", 2)];
    let mut group = Group::new(3, deployment(1, Vec::new()), engines);
    group.silent = vec![2];
    (0..2).for_each(|reader| drop(group.handle(reader, changes(vec![removed(1, 5)], 2, 5))));
    group.run_for(ms(130_000));
    (0..2).for_each(|reader| drop(group.handle(reader, changes(vec![listed(3, 6)], 5, 6))));
    group.silent.clear();
    group.run_for(ms(3_000));
    assert!(group.core(2).table().endpoint("engine-3").is_some());
    assert!(group.core(2).table().endpoint("engine-1").is_none());
}

// Guards against a gateway that takes the response to a pull of its previous process for its own:
// it lacks all entries before that process's position.
#[test]
fn a_response_to_a_pull_of_the_previous_process_completes_nothing() {
    let mut core = new_core();
    let late = documents(vec![listed(2, 20)], 20, digest(&[5, 20]));
    let actions = core.handle(late, ms(1));
    assert_eq!(pulls(&actions), [0]);
    assert_eq!(announced(&mut core), 0);
}

#[test]
fn a_response_that_arrives_late_changes_nothing() {
    let mut core = gateway(vec![listed(2, 7)], 30);
    let late = documents(vec![listed(1, 5), listed(2, 7)], 8, Some(Verification::CompleteList));
    let actions = core.handle(late, ms(2));
    assert!(pulls(&actions).is_empty());
    assert!(core.table().endpoint("engine-1").is_none(), "it was removed before the own list");
}

#[test]
fn entries_with_the_same_list_are_announced() {
    let mut core = gateway(vec![listed(1, 5), listed(2, 7)], 9);
    let actions = core.handle(documents(vec![removed(1, 12)], 12, digest(&[7])), ms(2));
    assert!(pulls(&actions).is_empty());
    assert_eq!(announced(&mut core), 12);
}

fn greeted(port: u16, form: u32) -> Event {
    let build = Build { form, ..Build::own() };
    Event::PeerGreeted { address: address(port), incarnation: 5, build }
}

/// A heartbeat of a gateway of the own data centre on a stronger host.
fn beat(port: u16, heartbeat: u64, endpoints: u64) -> Event {
    let mut member = serving(port);
    (member.heartbeat, member.capacity) = (heartbeat, 9_000);
    let location = Location { data_centre: "hall-1".into(), region: "east".into() };
    let sender = MemberUpdate { member, location, reads_fail: false, is_suspected: false };
    let seen = Seen { version: 1, endpoints: position(endpoints) };
    let state = GatewayState { seen, complete: true, ..GatewayState::default() };
    let message = Heartbeat { store_age: Some(ms(0)), state, ..heartbeat_of(sender) };
    let message = PeerMessage::Heartbeat(Box::new(message));
    Event::PeerMessage { from: address(port), message }
}

// Guards against positions of builds that announce more than they hold, while such builds and this
// one run side by side.
#[test]
fn entries_of_an_earlier_build_are_used_but_not_announced() {
    let mut core = gateway(vec![listed(1, 5)], 9);
    core.handle(greeted(2, EARLIER_FORM), ms(2));
    let mut pulls_sent = 0;
    for step in 1..100 {
        let actions = core.handle(beat(2, step, 14), ms(20 * step));
        for since in pulls(&actions) {
            assert_eq!(since, 5);
            pulls_sent += 1;
            core.handle(documents(vec![listed(2, 14)], 14, None), ms(20 * step + 1));
        }
    }
    assert_eq!(pulls_sent, 1);
    assert!(core.table().endpoint("engine-2").is_some());
    assert_eq!(announced(&mut core), 5);
}

#[test]
fn a_gateway_reads_the_store_itself_beside_earlier_builds() {
    let mut core = gateway(vec![listed(1, 5)], 9);
    for port in [2, 3] {
        core.handle(beat(port, 1, 5), ms(1_000));
    }
    core.handle(Event::Tick, ms(1_100));
    assert_eq!(core.store_use(), StoreUse::Follow);
    core.handle(greeted(2, EARLIER_FORM), ms(1_200));
    core.handle(Event::Tick, ms(1_300));
    assert_eq!(core.store_use(), StoreUse::Watch);
}

fn becomes_ready(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::SetReady(true)))
}

/// Guards against a gateway that serves nothing because a part of the list can't be read, or that
/// takes that part for the list.
#[test]
fn a_truncated_list_is_used_and_not_announced() {
    let mut core = configured_gateway();
    let mut actions = core.handle(truncated(vec![listed(1, 5)]), ms(1));
    actions.extend(core.handle(Event::Tick, ms(2_000)));
    assert!(becomes_ready(&actions));
    assert!(core.table().endpoint("engine-1").is_some());
    assert_eq!(announced(&mut core), 0);
}

/// Guards against a gateway that is ready without a list.
#[test]
fn a_truncated_list_without_endpoints_says_nothing() {
    let mut core = configured_gateway();
    let mut actions = core.handle(truncated(vec![removed(1, 5)]), ms(1));
    actions.extend(core.handle(Event::Tick, ms(2_000)));
    assert!(!becomes_ready(&actions));
}

/// Guards against endpoints that are taken for removed because their part of the list can't be read.
#[test]
fn a_truncated_list_removes_nothing() {
    let mut core = gateway(vec![listed(1, 5), listed(2, 6)], 7);
    core.handle(truncated(vec![changed(1, true, 9)]), ms(2));
    assert!(is_leaving(&core, "engine-1"));
    assert!(core.table().endpoint("engine-2").is_some());
    assert_eq!(announced(&mut core), 6);
}
