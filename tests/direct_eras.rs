//! A store that is restored from an older copy and continues in a new era: which entries are valid,
//! how the era spreads, and how a peer of an older build handles it.

mod directenv;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use directenv::gateway::{Heartbeat, announced_states, new_core, serving, setup};
use directenv::{address, deployment, endpoint, endpoints, ms, route};
use stackmast::actor::Core;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event};
use stackmast::direct::log_events::{LogEvent, PublishedVersion, StoreEra, StoreReturned};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::published::documents::{Document, Documents, EntryState, Revised, Seen};
use stackmast::direct::published::evacuations::{EvacuationChange, Evacuations};
use stackmast::direct::published::list_position::{Extent, Verification};
use stackmast::direct::published::model::{Endpoint, Repeat};
use stackmast::direct::published::position::{Eras, Position};
use test_case::test_case;

/// The eras before and after the restore.
const BEFORE: u64 = 4;
const AFTER: u64 = 5;

const fn before(revision: u64) -> Position {
    Position::new(BEFORE, revision)
}

const fn after(revision: u64) -> Position {
    Position::new(AFTER, revision)
}

fn entry(endpoint: Arc<Endpoint>, position: Position, created_revision: u64) -> Revised {
    Revised { position, created_revision, document: Document::Endpoint(endpoint) }
}

/// The first endpoint, in the given incarnation.
fn first_endpoint(incarnation: u64, leaving: bool) -> Arc<Endpoint> {
    Arc::new(Endpoint { incarnation, leaving, ..(*endpoint("engine", 1)).clone() })
}

fn gone(position: Position) -> Revised {
    Revised { position, created_revision: 0, document: Document::Removed("engine-1".into()) }
}

/// A list of the earlier era: the first endpoint, created at revision 10 and changed at 80.
fn listed(incarnation: u64, leaving: bool) -> Documents {
    let mut documents = Documents::default();
    let entry = entry(first_endpoint(incarnation, leaving), before(80), 10);
    documents.merge_list(vec![entry], before(90), ms(0));
    documents
}

fn entry_state(documents: &Documents) -> EntryState {
    documents.entry_state("engine-1")
}

#[test]
fn a_position_of_a_later_era_is_after_all_of_an_earlier_one() {
    assert!(after(1) > before(1_000));
    assert!(after(2) > after(1));
}

#[test]
fn an_era_is_new_once_and_earlier_eras_never() {
    let mut eras = Eras::default();
    assert_eq!(eras.observe(4).map(|new| new.before), Some(None));
    assert!(eras.observe(4).is_none() && eras.observe(3).is_none());
    assert_eq!(eras.observe(6).map(|new| new.before), Some(Some(4)));
    assert_eq!(eras.newest(), 6);
}

// Builds without eras send revisions without an era.
#[test]
fn revisions_without_an_era_belong_to_the_first_known_era() {
    let mut eras = Eras::default();
    eras.observe(BEFORE);
    assert_eq!(eras.resolve(Position::new(0, 7)), before(7));
    eras.observe(AFTER);
    assert!(eras.resolve(Position::new(0, 1_000)) < before(1));
    assert_eq!(eras.resolve(before(7)), before(7));
}

#[test]
fn late_documents_of_an_earlier_era_are_ignored() {
    let mut documents = listed(1, false);
    documents.merge_list(vec![entry(first_endpoint(1, true), after(20), 10)], after(20), ms(10));
    let late = documents.merge_list(
        vec![entry(first_endpoint(1, false), before(95), 10)],
        before(99),
        ms(20),
    );
    assert!(late.is_empty());
    assert!(documents.merge(vec![gone(before(100))], ms(30)).is_empty());
    assert_eq!(entry_state(&documents), EntryState::Leaving);
}

#[test_case(1, 1; "the incarnation that left is still leaving")]
#[test_case(2, 0; "another incarnation is valid")]
fn a_restored_entry_does_not_end_the_departure_of_its_incarnation(
    incarnation: u64,
    leaving_on: usize,
) {
    let mut documents = listed(1, true);
    let copied = entry(first_endpoint(incarnation, false), after(30), 10);
    let merged = documents.merge_list(vec![copied], after(40), ms(10));
    assert_eq!(merged.departed.len(), leaving_on);
}

#[test]
fn an_endpoint_removed_while_leaving_is_still_leaving_when_restored() {
    let mut documents = listed(1, true);
    documents.merge(vec![gone(before(95))], ms(5));
    let copied = entry(first_endpoint(1, false), after(30), 10);
    let merged = documents.merge_list(vec![copied], after(40), ms(10));
    assert_eq!(merged.departed.len(), 1);
}

#[test_case(1, 80, 10, false; "as before its removal")]
#[test_case(1, 40, 10, false; "an earlier state")]
#[test_case(1, 120, 10, true; "written again")]
#[test_case(1, 41, 41, true; "created anew")]
#[test_case(2, 41, 10, true; "in another incarnation")]
fn a_removed_entry_that_a_copy_restores_is_valid_once_written_again(
    incarnation: u64,
    revision: u64,
    made: u64,
    is_believed: bool,
) {
    let mut documents = listed(1, false);
    documents.merge(vec![gone(before(95))], ms(5));
    let copied = entry(first_endpoint(incarnation, false), after(revision), made);
    let merged = documents.merge_list(vec![copied], after(130), ms(10));
    assert_eq!(merged.unconfirmed.is_empty(), is_believed);
    assert_eq!(entry_state(&documents) == EntryState::Listed, is_believed);
    documents.expire(ms(4_900));
    assert_eq!(entry_state(&documents) == EntryState::Listed, is_believed);
    documents.expire(ms(5_010));
    assert_eq!(
        entry_state(&documents),
        EntryState::Listed,
        "a listed entry is renewed, or it would be removed"
    );
}

#[test]
fn a_restored_entry_is_removed_when_it_is_deleted_again() {
    let mut documents = listed(1, false);
    documents.merge(vec![gone(before(95))], ms(5));
    documents.merge_list(vec![entry(first_endpoint(1, false), after(80), 10)], after(85), ms(10));
    documents.merge(vec![gone(after(90))], ms(3_000));
    documents.expire(ms(6_000));
    assert_eq!(entry_state(&documents), EntryState::Removed);
}

#[test]
fn a_restored_entry_missing_from_a_later_list_is_removed() {
    let mut documents = listed(1, false);
    documents.merge(vec![gone(before(95))], ms(5));
    documents.merge_list(vec![entry(first_endpoint(1, false), after(80), 10)], after(85), ms(10));
    documents.merge_list(Vec::new(), after(90), ms(3_000));
    documents.expire(ms(6_000));
    assert_eq!(entry_state(&documents), EntryState::Removed);
}

#[test_case(10, EntryState::Removed; "created before the copy, so it was removed since")]
#[test_case(60, EntryState::Expired; "created after the copy")]
#[test_case(0, EntryState::Expired; "creation unknown")]
fn an_entry_missing_from_the_copy_is_used_until_its_renewal_is_due(made: u64, state: EntryState) {
    let mut documents = Documents::default();
    let known = entry(first_endpoint(1, false), before(80), made);
    documents.merge_list(vec![known], before(90), ms(0));
    documents.merge_list(Vec::new(), after(50), ms(10));
    assert_eq!(entry_state(&documents), state);
    let mut written = documents;
    written.expire(ms(2_900));
    assert_eq!(entry_state(&written), state);
    written.merge(vec![entry(first_endpoint(1, false), after(52), 52)], ms(2_950));
    assert_eq!(entry_state(&written), EntryState::Listed);
}

#[test]
fn an_entry_missing_from_the_copy_is_removed_unless_renewed() {
    let mut documents = listed(1, false);
    documents.merge_list(Vec::new(), after(5), ms(10));
    assert_eq!(entry_state(&documents), EntryState::Expired);
    documents.expire(ms(3_010));
    assert_eq!(entry_state(&documents), EntryState::Removed);
}

#[test]
fn a_second_restore_is_handled_like_the_first() {
    let mut documents = listed(1, false);
    documents.merge_list(vec![entry(first_endpoint(1, false), after(20), 10)], after(25), ms(100));
    let merged = documents.merge_list(
        vec![entry(first_endpoint(1, true), Position::new(AFTER + 1, 12), 10)],
        Position::new(AFTER + 1, 12),
        ms(700),
    );
    assert!(!merged.is_empty());
    assert_eq!(entry_state(&documents), EntryState::Leaving);
    assert_eq!(documents.seen().endpoints, Position::new(AFTER + 1, 12));
}

/// Publishes a version and the default endpoints at the given position.
fn publish(core: &mut GatewayCore, version: u64, at: Position, now: u64) -> Vec<Action> {
    let routes = vec![route("r", Repeat::Idempotent, &[])];
    let configured = Document::Deployment(Arc::new(deployment(version, routes)));
    let documents = vec![Revised { position: at, created_revision: 1, document: configured }];
    let mut actions = core.handle(Event::StoreEra { era: at.era }, ms(now));
    actions.extend(core.handle(Event::Published { documents, extent: Extent::Partial }, ms(now)));
    let listed = endpoints().into_iter().map(|endpoint| entry(endpoint, at, 1)).collect();
    let event = Event::Published { documents: listed, extent: Extent::Complete { at } };
    actions.extend(core.handle(event, ms(now)));
    actions
}

fn gossip(fields: Heartbeat) -> Event {
    Event::PeerMessage { from: address(2), message: fields.message() }
}

fn beat(heartbeat: u64, fields: Heartbeat) -> Event {
    let mut member = serving(2);
    member.heartbeat = heartbeat;
    gossip(Heartbeat { members: vec![member], complete: true, ..fields })
}

fn new_eras(actions: &[Action]) -> Vec<u64> {
    let eras = actions.iter().filter_map(|action| match action {
        Action::SetStoreEra(era) => Some(*era),
        _ => None,
    });
    eras.collect()
}

#[test]
fn an_era_announced_by_a_peer_is_passed_on_to_the_store_readers() {
    let mut core = new_core();
    publish(&mut core, 3, before(90), 0);
    let actions = core.handle(beat(1, Heartbeat { era: AFTER, ..Heartbeat::default() }), ms(500));
    assert_eq!(new_eras(&actions), [AFTER]);
    let is_line = |a: &Action| {
        matches!(
            a,
            Action::Log(LogEvent::StoreEra(StoreEra {
                before: BEFORE,
                era: AFTER,
                revision_before: 90,
                ..
            }))
        )
    };
    assert!(actions.iter().any(is_line), "{actions:?}");
    let spreads = announced_states(&actions).iter().any(|state| state.era == AFTER);
    assert!(spreads, "the era is broadcast at once");
    let again = core.handle(beat(2, Heartbeat { era: AFTER, ..Heartbeat::default() }), ms(510));
    assert!(new_eras(&again).is_empty());
    let earlier = core.handle(beat(3, Heartbeat { era: BEFORE, ..Heartbeat::default() }), ms(520));
    assert!(new_eras(&earlier).is_empty());
}

#[test]
fn a_gateway_refused_by_the_store_gets_the_complete_list_from_a_peer() {
    let mut core = new_core();
    publish(&mut core, 3, before(90), 0);
    let seen = Seen { version: 3, endpoints: after(40) };
    let mut pulled = None;
    for step in 1..200 {
        let fields = Heartbeat { era: AFTER, seen, ..Heartbeat::default() };
        let actions = core.handle(beat(step, fields), ms(500 + step * 10));
        pulled = pulled.or(actions.into_iter().find_map(|a| match a {
            Action::Send { message: PeerMessage::Pull { seen, .. }, .. } => Some(seen),
            _ => None,
        }));
    }
    assert_eq!(pulled.expect("a pull").endpoints, before(90));
    let stays = |endpoint: &Arc<Endpoint>| &*endpoint.id != "engine-2";
    let copied = endpoints().into_iter().filter(stays);
    let documents = copied.map(|endpoint| entry(endpoint, after(40), 1)).collect();
    let verification = Some(Verification::CompleteList);
    let message =
        PeerMessage::Documents { documents, complete: true, seen: 40, era: AFTER, verification };
    let actions = core.handle(Event::PeerMessage { from: address(2), message }, ms(2_600));
    let is_line = |a: &Action| {
        matches!(a, Action::Log(LogEvent::StoreReturned(StoreReturned { era: AFTER, .. })))
    };
    assert!(actions.iter().any(is_line));
    assert!(core.table().endpoint("engine-1").is_some());
    assert!(
        core.table().endpoint("engine-2").is_none(),
        "the copy had the entry, and it is removed"
    );
}

#[test]
fn a_peer_in_an_earlier_era_gets_all_entries() {
    let mut core = new_core();
    publish(&mut core, 3, after(40), 0);
    let pull = |endpoints| {
        let seen = Seen { version: 3, endpoints };
        let message = PeerMessage::Pull { seen, configuration: false, number: 0 };
        Event::PeerMessage { from: address(2), message }
    };
    let given = |actions: Vec<Action>| {
        actions.into_iter().find_map(|a| match a {
            Action::Send { message: PeerMessage::Documents { documents, era, .. }, .. } => {
                Some((documents.len(), era))
            }
            _ => None,
        })
    };
    let all = endpoints().len();
    assert_eq!(given(core.handle(pull(before(900)), ms(1))), Some((all, AFTER)));
    assert_eq!(given(core.handle(pull(after(40)), ms(2))), Some((0, AFTER)));
    // A revision without an era belongs to the only known era.
    assert_eq!(given(core.handle(pull(Position::new(0, 40)), ms(3))), Some((0, AFTER)));
}

#[test]
fn an_older_configuration_is_logged_and_not_applied() {
    let mut core = new_core();
    publish(&mut core, 9, before(90), 0);
    let lines = |actions: &[Action]| -> Vec<(u64, bool)> {
        let lines = actions.iter().filter_map(|a| match a {
            Action::Log(LogEvent::PublishedVersion(PublishedVersion {
                published,
                is_older,
                ..
            })) => Some((*published, *is_older)),
            _ => None,
        });
        lines.collect()
    };
    let actions = publish(&mut core, 6, after(40), 500);
    assert_eq!(lines(&actions), [(6, true)]);
    assert_eq!(core.table().deployment.version, 9);
    let actions = publish(&mut core, 11, after(41), 900);
    assert_eq!(lines(&actions), [(11, false)]);
    assert_eq!(core.table().deployment.version, 11, "at a lower revision");
    assert!(lines(&publish(&mut core, 12, after(42), 950)).is_empty());
}

fn order(position: Position, in_force: bool) -> EvacuationChange {
    EvacuationChange { data_centre: "hall-0".into(), position, in_force }
}

/// Whether the endpoint of the first data centre gets no new work.
fn is_evacuated(core: &GatewayCore) -> bool {
    core.table().endpoint("engine-2").expect("listed").leaving
}

fn evacuations(
    core: &mut GatewayCore,
    changes: Vec<EvacuationChange>,
    snapshot_at: Option<Position>,
    now: u64,
) {
    core.handle(Event::Evacuations { changes, snapshot_at }, ms(now));
}

#[test_case(true; "an order missing from the copy stays in force")]
#[test_case(false; "a withdrawn order is not restored by the copy")]
fn orders_stay_as_before_the_restore_until_their_renewal_is_due(stood: bool) {
    let mut core = new_core();
    publish(&mut core, 3, before(90), 0);
    evacuations(&mut core, vec![order(before(91), true)], None, 10);
    if !stood {
        evacuations(&mut core, vec![order(before(95), false)], None, 20);
    }
    publish(&mut core, 3, after(40), 500);
    let copied = if stood { Vec::new() } else { vec![order(after(35), true)] };
    evacuations(&mut core, copied.clone(), Some(after(40)), 500);
    assert_eq!(is_evacuated(&core), stood);
    // Reading the restored copy once more doesn't confirm the order.
    evacuations(&mut core, copied, Some(after(44)), 900);
    core.handle(Event::Tick, ms(3_400));
    assert_eq!(is_evacuated(&core), stood);
    core.handle(Event::Tick, ms(3_600));
    assert_eq!(is_evacuated(&core), !stood, "the order was not written again");
}

#[test]
fn an_order_that_is_written_again_applies_at_once() {
    let mut core = new_core();
    publish(&mut core, 3, before(90), 0);
    evacuations(&mut core, vec![order(before(91), true)], None, 10);
    evacuations(&mut core, vec![order(before(95), false)], None, 20);
    publish(&mut core, 3, after(40), 500);
    evacuations(&mut core, vec![order(after(35), true)], Some(after(40)), 500);
    assert!(!is_evacuated(&core));
    evacuations(&mut core, vec![order(after(41), true)], None, 700);
    assert!(is_evacuated(&core), "the order is written again");
    evacuations(&mut core, vec![order(after(42), false)], None, 800);
    assert!(!is_evacuated(&core));
    core.handle(Event::Tick, ms(4_000));
    assert!(!is_evacuated(&core));
}

/// Evacuations as sent by a build without eras.
fn without_era(revision: u64, stands: bool) -> Evacuations {
    let change = order(Position::new(0, revision), stands);
    Evacuations::from_read(&[change], Position::new(0, revision))
}

#[test]
fn evacuations_of_an_older_build_apply_until_a_new_era() {
    let mut core = new_core();
    publish(&mut core, 3, before(90), 0);
    evacuations(&mut core, Vec::new(), Some(before(90)), 0);
    let evacuations = without_era(95, true);
    core.handle(beat(1, Heartbeat { evacuations, ..Heartbeat::default() }), ms(10));
    assert!(is_evacuated(&core));
    publish(&mut core, 3, after(40), 500);
    core.handle(Event::Evacuations { changes: Vec::new(), snapshot_at: Some(after(40)) }, ms(500));
    core.handle(Event::Tick, ms(4_000));
    assert!(!is_evacuated(&core));
    let evacuations = without_era(99, true);
    core.handle(beat(2, Heartbeat { evacuations, ..Heartbeat::default() }), ms(4_010));
    assert!(!is_evacuated(&core), "the order may be of the earlier era");
}

/// A gateway that starts next to a peer with a later version than the store's.
fn starts_beside(version: u64) -> GatewayCore {
    let mut core = GatewayCore::new(Setup { settling: ms(0), ..setup() });
    let seen = Seen { version, endpoints: after(40) };
    core.handle(beat(1, Heartbeat { era: AFTER, seen, ..Heartbeat::default() }), ms(0));
    publish(&mut core, 6, after(40), 10);
    core
}

fn is_ready(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::SetReady(true)))
}

#[test]
fn a_gateway_starting_on_an_older_copy_waits_for_the_version_of_its_peers() {
    let mut core = starts_beside(9);
    let actions = core.handle(Event::Tick, ms(200));
    assert!(!is_ready(&actions));
    let deployment = Arc::new(deployment(9, vec![route("r", Repeat::Idempotent, &[])]));
    let message = PeerMessage::configuration(Position::new(BEFORE, 95), deployment, 0);
    let actions = core.handle(Event::PeerMessage { from: address(2), message }, ms(900));
    assert!(is_ready(&actions));
    assert_eq!(core.table().deployment.version, 9);
}

#[test]
fn a_starting_gateway_waits_for_a_bounded_time() {
    let mut core = starts_beside(9);
    let mut ready_at = None;
    for at in (20..3_000).step_by(10) {
        let actions = core.handle(beat(at, Heartbeat::default()), ms(at));
        ready_at = ready_at.or(is_ready(&actions).then_some(at));
    }
    assert_eq!(ready_at, Some(1_510));
}

/// A gateway with two seeds that has read the complete store.
fn starts_with_seeds() -> GatewayCore {
    let seeds = vec![address(1), address(2), address(3)];
    let mut core = GatewayCore::new(Setup { seeds, ..setup() });
    let actions = core.handle(Event::Tick, ms(0));
    let asked = actions.iter().find_map(|a| match a {
        Action::Broadcast { to, .. } => Some(to.clone()),
        _ => None,
    });
    let asked: BTreeSet<SocketAddr> = asked.expect("a heartbeat").into_iter().collect();
    assert_eq!(asked, [address(2), address(3)].into(), "all seeds");
    assert!(!is_ready(&publish(&mut core, 6, after(40), 10)));
    core
}

#[test]
fn a_starting_gateway_is_ready_once_a_serving_peer_has_answered() {
    let mut core = starts_with_seeds();
    let seen = Seen { version: 6, endpoints: after(40) };
    let starting =
        Heartbeat { members: vec![serving(3)], seen, era: AFTER, ..Heartbeat::default() };
    let event = Event::PeerMessage { from: address(3), message: starting.message() };
    assert!(!is_ready(&core.handle(event, ms(20))), "a starting peer knows no more");
    let actions =
        core.handle(beat(1, Heartbeat { seen, era: AFTER, ..Heartbeat::default() }), ms(30));
    assert!(is_ready(&actions));
}

#[test]
fn a_starting_gateway_does_not_wait_for_unreachable_peers() {
    let mut core = starts_with_seeds();
    assert!(!is_ready(&core.handle(Event::PeerUnreachable { address: address(2) }, ms(20))));
    assert!(is_ready(&core.handle(Event::PeerUnreachable { address: address(3) }, ms(21))));
    let mut core = starts_with_seeds();
    assert_eq!(core.next_wakeup().map(|at| at <= ms(160)), Some(true));
    assert!(!is_ready(&core.handle(Event::Tick, ms(159))));
    assert!(is_ready(&core.handle(Event::Tick, ms(160))), "the wait for silent peers is over");
}
