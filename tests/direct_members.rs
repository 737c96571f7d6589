//! Members, documents and the repeat budget: the state that gateways keep and share.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::{address, deployment, endpoint, ms, position};
use rand::SeedableRng;
use rand::rngs::StdRng;
use stackmast::direct::event_order::{EventOrder, Place};
use stackmast::direct::owner::producers::{Producers, Usage};
use stackmast::direct::peers::member::Location;
use stackmast::direct::peers::members::{Member, MemberState, Members, MembershipChanges};
use stackmast::direct::peers::neighbours::News;
use stackmast::direct::published::documents::{Document, Documents, EntryState, Revised, Seen};
use stackmast::direct::repeats::{RepeatBudget, RepeatLimiter};
use stackmast::direct::stop::others_serve;
use stackmast::direct::stream::{EventSplitter, MAX_EVENT_LEN};
use test_case::test_case;

fn member(port: u16, incarnation: u64, heartbeat: u64, state: MemberState) -> Member {
    Member { address: address(port), incarnation, heartbeat, state, capacity: 1_000 }
}

fn three() -> Members {
    let mut members = Members::new(address(1), 1, 1_000, Location::default(), Vec::new());
    members.set_state(MemberState::Serving);
    let serving = MemberState::Serving;
    members.merge(&[member(2, 5, 1, serving), member(3, 5, 1, serving)], ms(0));
    members
}

#[test]
fn an_unreachable_owner_is_replaced_by_the_next() {
    let mut members = three();
    let owner = members.owner("stages", &[]).expect("an owner");
    let next = members.owner("stages", &[owner.address]).expect("another owner");
    assert_ne!(owner.address, next.address);
    if owner.address != address(1) {
        assert!(members.mark_unreachable(owner.address, owner.incarnation, ms(10)));
        assert_eq!(members.owner("stages", &[]).expect("the next").address, next.address);
    }
}

#[test]
fn the_strongest_hosts_are_owners_and_small_differences_are_ignored() {
    let strong = |port, capacity| Member { capacity, ..member(port, 5, 2, MemberState::Serving) };
    for (others, expected) in [([1_000, 4_000], vec![3]), ([1_010, 990], vec![1, 2, 3])] {
        let mut seen = std::collections::BTreeSet::new();
        for what in 0..50 {
            let mut members = three();
            members.merge(&[strong(2, others[0]), strong(3, others[1])], ms(10));
            let owner = members.owner(&format!("pool-{what}"), &[]).expect("an owner");
            seen.insert(owner.address.port());
        }
        assert_eq!(seen.into_iter().collect::<Vec<_>>(), expected);
    }
}

#[test]
fn a_leaving_member_is_owner_only_if_no_other_serves() {
    let mut members = three();
    let leaving = MemberState::Leaving;
    members.set_state(leaving);
    members.merge(&[member(2, 5, 2, leaving)], ms(10));
    assert_eq!(members.owner("stages", &[]).expect("the one that serves").address, address(3));
    members.merge(&[member(3, 5, 2, leaving)], ms(20));
    assert!(members.owner("stages", &[]).is_some(), "one of those that leave");
    assert!(!others_serve(&members, ms(5_000)), "no gateway serves");
}

#[test]
fn silent_members_are_unreachable_until_their_next_heartbeat() {
    let mut members = three();
    assert!(members.expire(Duration::ZERO, ms(900)).is_empty());
    assert_eq!(members.expire(Duration::ZERO, ms(1_000)).len(), 2);
    assert_eq!(members.up().count(), 0);
    assert_eq!(members.known_count(), 3, "silence does not raise the share of the budget");
    let back = members.merge(&[member(2, 5, 9, MemberState::Serving)], ms(1_100));
    assert_eq!(back.joined.len(), 1);
}

#[test]
fn outdated_heartbeats_do_not_revive_a_member() {
    let mut members = three();
    members.merge(&[member(2, 5, 8, MemberState::Serving)], ms(100));
    assert!(members.mark_unreachable(address(2), 5, ms(200)));
    assert_eq!(
        members.merge(&[member(2, 5, 7, MemberState::Serving)], ms(300)),
        MembershipChanges::default()
    );
    assert!(!members.is_up(address(2), 5));
    let next_life = member(2, 4, 1, MemberState::Starting);
    assert_eq!(
        members.merge(&[next_life], ms(400)).joined.len(),
        1,
        "also if the clock was set back"
    );
}

#[test]
fn a_member_with_a_failed_connection_is_unreachable_only_without_new_heartbeats() {
    let mut members = three();
    assert!(members.suspect(address(2), 5, ms(100)));
    assert!(members.suspect(address(3), 5, ms(100)));
    assert!(!members.suspect(address(3), 4, ms(100)), "the connection of another incarnation");
    members.merge(&[member(2, 5, 2, MemberState::Serving)], ms(300));
    assert_eq!(members.next_suspicion(), Some(ms(700)));
    assert!(members.expire(Duration::ZERO, ms(699)).is_empty());
    let lost = members.expire(Duration::ZERO, ms(700));
    assert_eq!(lost.iter().map(|m| m.address).collect::<Vec<_>>(), [address(3)]);
    assert!(members.is_up(address(2), 5));
}

#[test]
fn a_restarted_member_replaces_its_previous_incarnation() {
    let mut members = three();
    let heard = members.merge(&[member(2, 6, 1, MemberState::Starting)], ms(100));
    assert_eq!(heard.replaced, [member(2, 5, 1, MemberState::Serving)]);
    assert_eq!(heard.joined.len(), 1);
}

#[test]
fn seeds_get_heartbeats_until_they_are_members() {
    let mut members =
        Members::new(address(1), 1, 1_000, Location::default(), vec![address(1), address(2)]);
    let mut rng = StdRng::seed_from_u64(1);
    let first = members.next_heartbeat(News::None, &mut rng);
    assert_eq!(first.contacts, [address(2)]);
    assert!(first.members().is_empty());
    members.merge(&[member(2, 1, 1, MemberState::Starting)], ms(0));
    let next = members.next_heartbeat(News::None, &mut rng);
    assert!(next.contacts.is_empty());
    assert_eq!(next.members(), [address(2)], "as a member now, only once");
}

fn entry(number: u16, revision: u64) -> Revised {
    Revised {
        position: position(revision),
        created_revision: 0,
        document: Document::Endpoint(endpoint("engine", number)),
    }
}

fn gone(number: u16, revision: u64) -> Revised {
    Revised {
        position: position(revision),
        created_revision: 0,
        document: Document::Removed(format!("engine-{number}").into()),
    }
}

#[test]
fn documents_merge_to_the_same_in_any_order() {
    let all = [entry(1, 4), entry(2, 5), gone(1, 6), entry(3, 7)];
    let mut forwards = Documents::default();
    let mut backwards = Documents::default();
    for document in &all {
        forwards.merge(vec![document.clone()], ms(0));
    }
    for document in all.iter().rev() {
        backwards.merge(vec![document.clone()], ms(0));
    }
    let ids = |d: &Documents| d.endpoints().map(|e| e.id.clone()).collect::<Vec<_>>();
    assert_eq!(ids(&forwards), ["engine-2".into(), "engine-3".into()]);
    assert_eq!(ids(&backwards), ids(&forwards), "also an entry removed before it was received");
    assert_eq!(forwards.seen(), backwards.seen());
}

#[test]
fn a_complete_list_removes_missing_entries_but_no_newer_ones() {
    let mut documents = Documents::default();
    documents.merge(vec![entry(1, 3), entry(2, 9)], ms(0));
    documents.merge_list(vec![entry(3, 4)], position(5), ms(1));
    let ids: Vec<_> = documents.endpoints().map(|e| e.id.clone()).collect();
    assert_eq!(ids, ["engine-2".into(), "engine-3".into()]);
}

/// Six listed endpoints. The publisher is unavailable from one second on, for `absence` ms, and
/// then lists only the first and the last endpoint.
fn lapsed_after(absence: u64) -> Documents {
    let mut documents = Documents::default();
    documents.merge_list((1..=6).map(|n| entry(n, u64::from(n))).collect(), position(6), ms(0));
    documents.set_publisher_available(false, ms(1_000));
    documents.set_publisher_available(true, ms(1_000 + absence));
    documents.merge_list(vec![entry(1, 1), entry(6, 6)], position(10), ms(1_000 + absence));
    documents
}

fn ids(documents: &Documents) -> Vec<String> {
    documents.endpoints().map(|e| e.id.to_string()).collect()
}

#[test]
fn entries_that_expired_during_an_outage_are_used_until_renewed() {
    let mut documents = lapsed_after(4_000);
    assert_eq!(documents.endpoints().count(), 6);
    assert_eq!(documents.entry_state("engine-2"), EntryState::Expired);
    let back = documents.merge(vec![entry(2, 11)], ms(5_800));
    assert!(!back.is_empty());
    assert_eq!(documents.next_expiry(), Some(ms(7_000)));
    assert!(documents.expire(ms(6_999)).is_empty());
    assert_eq!(
        documents.expire(ms(7_000)).endpoints.len(),
        3,
        "entries that are not renewed are removed"
    );
    assert_eq!(ids(&documents), ["engine-1", "engine-2", "engine-6"]);
}

// Regression test: a gateway started and read the list while a peer that had been cut off still
// announced an endpoint that had left. 51 requests in a second reached an endpoint that had just
// restarted under that id.
#[test]
fn an_outdated_peer_does_not_restore_a_removed_endpoint() {
    let mut documents = Documents::default();
    documents.merge_list(vec![entry(1, 3)], position(8), ms(0));
    assert!(
        documents.merge(vec![entry(2, 7)], ms(1)).is_empty(),
        "the peer's entry is older than the list"
    );
    assert_eq!(ids(&documents), ["engine-1"]);
    documents.merge(vec![entry(2, 9)], ms(2));
    assert_eq!(ids(&documents), ["engine-1", "engine-2"], "it is back");
}

// Regression test: two gateways that had lost the store read the list at different revisions and
// sent it to each other. Requests were sent to endpoints 3.4 s after they had announced their
// departure.
#[test]
fn a_second_removal_from_a_peer_does_not_extend_an_expired_entry() {
    let mut documents = lapsed_after(4_000);
    documents.merge(vec![gone(2, 14)], ms(5_100));
    assert_eq!(documents.entry_state("engine-2"), EntryState::Expired);
    let expired = documents.expire(ms(7_000));
    assert!(expired.endpoints.contains(&"engine-2".into()), "the removal is reported");
    assert_eq!(ids(&documents), ["engine-1", "engine-6"]);
}

#[test]
fn a_leaving_endpoint_is_removed_at_once() {
    let mut documents = lapsed_after(0);
    let mut leaving = (*endpoint("engine", 1)).clone();
    leaving.leaving = true;
    let leaving = Document::Endpoint(Arc::new(leaving));
    documents.merge(
        vec![Revised { position: position(12), created_revision: 0, document: leaving }],
        ms(1_100),
    );
    documents.set_publisher_available(false, ms(2_000));
    documents.set_publisher_available(true, ms(6_000));
    documents.merge(vec![gone(1, 13)], ms(6_000));
    assert_eq!(documents.entry_state("engine-1"), EntryState::Removed);
}

#[test_case(0, &[2]; "the publisher was always available")]
#[test_case(500, &[2]; "it was unavailable for less than the lifetime of an entry")]
fn a_single_removed_entry_is_removed_at_once(absence: u64, numbers: &[u16]) {
    let mut documents = Documents::default();
    documents.merge_list((1..=6).map(|n| entry(n, u64::from(n))).collect(), position(6), ms(0));
    documents.set_publisher_available(false, ms(1_000));
    documents.set_publisher_available(true, ms(1_000 + absence));
    documents.merge(numbers.iter().map(|n| gone(*n, 20)).collect(), ms(1_000 + absence));
    assert_eq!(documents.endpoints().count(), 5);
}

#[test]
fn a_mass_removal_counts_as_expiry_without_a_noticed_outage() {
    let mut documents = Documents::default();
    documents.merge_list((1..=6).map(|n| entry(n, u64::from(n))).collect(), position(6), ms(0));
    documents.merge((1..=5).map(|n| gone(n, 20)).collect(), ms(500));
    assert_eq!(documents.endpoints().count(), 6);
    documents.expire(ms(2_500));
    assert_eq!(ids(&documents), ["engine-6"]);
}

#[test]
fn a_peer_gets_the_documents_that_it_lacks() {
    let mut documents = Documents::default();
    let deployment = Document::Deployment(Arc::new(deployment(3, Vec::new())));
    documents.merge(
        vec![Revised { position: position(2), created_revision: 0, document: deployment }],
        ms(0),
    );
    documents.merge_list(vec![entry(1, 3), entry(2, 4)], position(4), ms(0));
    let since = Seen { version: 3, endpoints: position(3) };
    assert!(since.is_behind(&documents.seen()));
    assert_eq!(documents.endpoints_after(since.endpoints), [entry(2, 4)]);
    assert!(documents.deployment_after(since.version).is_none());
    let mut other = Documents::default();
    let (stands, deployment) = documents.deployment_after(0).expect("a configuration");
    other.merge(
        vec![Revised {
            position: stands,
            created_revision: 0,
            document: Document::Deployment(deployment),
        }],
        ms(0),
    );
    let (entries, digest) = (documents.endpoints_after(position(0)), documents.digest(position(4)));
    other.merge_verified(entries, position(4), digest, ms(0));
    assert_eq!(other.seen(), documents.seen());
}

#[test]
fn repeats_stay_within_the_budget_in_every_window() {
    let bounds = RepeatBudget { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };
    let mut repeats = RepeatLimiter::new(bounds);
    let pool = "p".into();
    let mut taken = Vec::new();
    for step in 0..4_000u64 {
        let now = ms(step * 10);
        repeats.record_first_sends(&pool, 1, now);
        if repeats.try_take(&pool, 4, now) {
            taken.push(now);
        }
    }
    let allowed = 0.2 * 1_000.0 + 40.0 / 4.0;
    for start in &taken {
        let window = taken.iter().filter(|t| *t >= start && **t < *start + ms(10_000)).count();
        assert!(window as f64 <= allowed, "{window} in a window, {allowed} allowed");
    }
    assert!(taken.len() > 200, "the ratio is used");
}

#[test]
fn the_memory_usage_of_a_removed_owner_decays() {
    let mut makers = Producers::default();
    let usage = vec![Usage { endpoint: "m".into(), bytes: 800 }];
    makers.usage_announced(address(2), usage);
    assert_eq!(makers.free_bytes("m", 1_000, ms(0)), 200);
    makers.owner_removed(address(2), ms(0));
    assert_eq!(makers.free_bytes("m", 1_000, ms(2_500)), 600);
    assert_eq!(makers.free_bytes("m", 1_000, ms(6_000)), 1_000);
    makers.usage_announced(address(2), Vec::new());
    assert_eq!(makers.free_bytes("m", 1_000, ms(0)), 1_000);
}

#[test]
fn an_endpoint_that_reports_no_memory_is_full_for_a_while() {
    let mut makers = Producers::default();
    assert_eq!(makers.free_bytes("m", 1_000, ms(0)), 1_000);
    makers.no_result_memory(&"m".into(), 1_000, ms(0));
    assert_eq!(makers.free_bytes("m", 1_000, ms(0)), 0);
    assert!(makers.free_bytes("m", 1_000, ms(2_500)) >= 400, "the usage of others decays");
}

#[test_case(&["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"], &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], Some("2"); "cut within an event")]
#[test_case(&["data: a\n\ndata: b\n\n"], &["data: a\n\ndata: b\n\n"], None; "without ids")]
#[test_case(&["id: 9\ndata: a\n\nid: 10\ndata"], &["id: 9\ndata: a\n\n"], Some("9"); "torn at the end")]
#[test_case(&["id: 4\r\ndata: a\r\n\r\n"], &["id: 4\r\ndata: a\r\n\r\n"], Some("4"); "with carriage returns")]
#[test_case(&["id: 4\r\ndata: a\r\n\r", "\n"], &["id: 4\r\ndata: a\r\n\r\n"], Some("4"); "torn between carriage return and line feed")]
#[test_case(&["id: 4\r\ndata: a\n\r\n"], &["id: 4\r\ndata: a\n\r\n"], Some("4"); "with mixed line ends")]
#[test_case(&["id: 4\ndata: a\n\r", "\nid"], &["id: 4\ndata: a\n\r\n"], Some("4"); "with mixed line ends, torn")]
#[test_case(&["id: 4\ndata: a\r\n\n"], &["id: 4\ndata: a\r\n\n"], Some("4"); "with a line feed after them")]
#[test_case(&["id: 4\ndata: a\n\r"], &[], None; "with a carriage return at the end")]
fn only_complete_events_are_passed_on(chunks: &[&str], expected: &[&str], last: Option<&str>) {
    let mut splitter = EventSplitter::default();
    let events: Vec<_> = chunks.iter().filter_map(|c| splitter.push(c.as_bytes())).collect();
    assert_eq!(events, expected);
    assert_eq!(splitter.is_at_boundary(), chunks.concat() == expected.concat());
    let mut order = EventOrder::new(Place::default());
    events.iter().for_each(|events| order.check(events).expect("in order"));
    assert_eq!(order.into_parts().1.last_id.as_deref(), last);
}

/// Guards against a cost of the square of an event's length, of a stream that arrives in small
/// pieces.
#[test]
fn event_in_small_pieces_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let (pieces, piece) = (MAX_EVENT_LEN / 128, [b'a'; 128]);
    for _ in 0..pieces {
        assert_eq!(splitter.push(&piece), None);
    }
    assert!(!splitter.is_too_long());
    assert!(splitter.scanned_bytes() <= 2 * MAX_EVENT_LEN as u64, "{}", splitter.scanned_bytes());
    let whole = splitter.push(b"\n\n").expect("an event");
    assert_eq!(whole.len(), MAX_EVENT_LEN + 2);
}

/// Guards against an end of an event that is not found because it arrives in several pieces.
#[test_case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; "line feeds")]
#[test_case("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"; "with carriage returns")]
fn event_end_is_found_in_pieces_of_any_length(stream: &str) {
    for length in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let pieces = stream.as_bytes().chunks(length);
        let events: Vec<u8> = pieces.filter_map(|piece| splitter.push(piece)).flatten().collect();
        assert_eq!(events, stream.as_bytes());
        let mut order = EventOrder::new(Place::default());
        order.check(&events).expect("in order");
        assert_eq!(order.into_parts().1.events, 2);
    }
}
