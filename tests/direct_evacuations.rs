//! Evacuation orders: from any source in any order, in force at once, never forgotten.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    Heartbeat, announced_states, calls, configured, incoming, listed, new_core, publish,
    receive_gossip, refusal, serving, submit,
};
use directenv::{address, deployment, endpoint, ms, position, route};
use proptest::prelude::*;
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::log_events::LogEvent;
use stackmast::direct::peers::heartbeat::GatewayState;
use stackmast::direct::published::evacuations::{EvacuationChange, Evacuations};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat};
use test_case::test_case;

fn change(data_centre: &str, revision: u64, in_force: bool) -> EvacuationChange {
    EvacuationChange { data_centre: data_centre.into(), position: position(revision), in_force }
}

fn ordered(core: &mut GatewayCore, change: EvacuationChange, now: Duration) -> Vec<Action> {
    core.handle(Event::Evacuations { changes: vec![change], snapshot_at: None }, now)
}

/// Handles a heartbeat of a peer with its known evacuations.
fn receive_evacuations(core: &mut GatewayCore, known: &Evacuations, now: Duration) -> Vec<Action> {
    let (members, evacuations) = (vec![serving(2)], known.clone());
    let message =
        Heartbeat { members, complete: true, evacuations, ..Heartbeat::default() }.message();
    core.handle(Event::PeerMessage { from: address(2), message }, now)
}

/// The data centres to which requests are sent.
fn reached(core: &mut GatewayCore, first: u64, now: Duration) -> Vec<String> {
    let mut reached = Vec::new();
    for caller in first..first + 8 {
        let actions = submit(core, caller, incoming("r", Vec::new()), now);
        reached.extend(calls(&actions).iter().map(|c| c.1.endpoint.data_centre.to_string()));
    }
    reached.sort_unstable();
    reached.dedup();
    reached
}

fn core() -> GatewayCore {
    configured(vec![route("r", Repeat::Idempotent, &[])])
}

#[test]
fn an_order_is_in_force_at_once_until_it_is_withdrawn() {
    let mut core = core();
    receive_gossip(&mut core, vec![serving(2)], ms(1));
    assert_eq!(reached(&mut core, 1, ms(1)), ["hall-0", "hall-1"]);
    let actions = ordered(&mut core, change("hall-0", 5, true), ms(2));
    let noted = |a: &&Action| {
        matches!(a, Action::Log(LogEvent::Evacuation { stands: true, endpoints: 4, .. }))
    };
    assert_eq!(actions.iter().filter(noted).count(), 1, "logged once");
    let announced = announced_states(&actions);
    let is_named = |state: &GatewayState| state.evacuations.evacuated().contains("hall-0");
    assert_eq!(
        announced.iter().filter(|state| is_named(state)).count(),
        1,
        "and announced at once"
    );
    assert_eq!(reached(&mut core, 10, ms(3)), ["hall-1"]);
    ordered(&mut core, change("hall-0", 4, false), ms(4));
    assert_eq!(reached(&mut core, 20, ms(5)), ["hall-1"], "older changes are ignored");
    ordered(&mut core, change("hall-0", 6, false), ms(6));
    assert!(reached(&mut core, 30, ms(7)).contains(&"hall-0".to_owned()));
}

#[test]
fn a_gateway_that_starts_learns_of_an_order_from_its_peers() {
    let mut core = new_core();
    let mut known = Evacuations::default();
    known.apply(&change("hall-0", 5, true));
    receive_evacuations(&mut core, &known, ms(1));
    publish(&mut core, deployment(1, vec![route("r", Repeat::Idempotent, &[])]), ms(2));
    assert_eq!(reached(&mut core, 1, ms(3)), ["hall-1"]);
    // The endpoint is listed again and the configuration changes; the order stays in force.
    let entered = Arc::new(Endpoint { slots: 7, ..(*endpoint("engine", 2)).clone() });
    core.handle(
        Event::Published { documents: listed(&[entered], 9), extent: Extent::Partial },
        ms(4),
    );
    publish(&mut core, deployment(2, vec![route("r", Repeat::Idempotent, &[])]), ms(5));
    assert_eq!(reached(&mut core, 10, ms(6)), ["hall-1"]);
}

#[test]
fn an_outdated_peer_does_not_restore_an_order() {
    let mut core = core();
    let mut known = Evacuations::default();
    known.apply(&change("hall-0", 5, true));
    core.handle(Event::Evacuations { changes: Vec::new(), snapshot_at: Some(position(8)) }, ms(1));
    receive_evacuations(&mut core, &known, ms(2));
    assert_eq!(reached(&mut core, 1, ms(3)), ["hall-0", "hall-1"], "not in force at revision 8");
    known.apply(&change("hall-0", 9, true));
    receive_evacuations(&mut core, &known, ms(4));
    assert_eq!(reached(&mut core, 10, ms(5)), ["hall-1"], "in force at revision 9");
}

#[test_case(&["hall-0", "hall-1"], false; "two data centres, which have all endpoints")]
#[test_case(&["hall-9"], true; "an unknown data centre")]
#[test_case(&[""], true; "an empty name")]
fn requests_without_an_endpoint_are_refused_at_once(evacuated: &[&str], is_served: bool) {
    let mut core = core();
    for (number, data_centre) in evacuated.iter().enumerate() {
        ordered(&mut core, change(data_centre, 5 + number as u64, true), ms(1));
    }
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(2));
    assert_eq!(!calls(&actions).is_empty(), is_served);
    if !is_served {
        let refusal = refusal(&actions).expect("refused");
        assert_eq!((refusal.reason, refusal.not_run), (Refused::NoEndpoint, true));
    }
}

#[test]
fn stages_run_elsewhere_and_not_at_all_without_an_endpoint() {
    let staged = route("s", Repeat::AtMostOnce, &[("first", &[], 10)]);
    let mut core = configured(vec![staged]);
    ordered(&mut core, change("hall-0", 5, true), ms(1));
    let batches = |actions: &[Action]| -> Vec<String> {
        let called = actions.iter().filter_map(|a| match a {
            Action::CallBatch { endpoint, .. } => Some(endpoint.data_centre.to_string()),
            _ => None,
        });
        called.collect()
    };
    let mut made = Vec::new();
    for caller in 1..=6 {
        made.extend(batches(&submit(&mut core, caller, incoming("s", vec![2]), ms(2))));
    }
    made.dedup();
    assert_eq!(made, ["hall-1"]);
    ordered(&mut core, change("hall-1", 6, true), ms(3));
    let actions = submit(&mut core, 9, incoming("s", vec![2]), ms(4));
    assert_eq!(refusal(&actions).expect("refused").reason, Refused::NoEndpoint);
    assert!(batches(&actions).is_empty());
}

#[test]
fn the_number_of_kept_orders_is_bounded() {
    let mut known = Evacuations::default();
    for number in 0..1_000 {
        known.apply(&change(&format!("place-{number}"), number + 1, number % 2 == 0));
    }
    assert!(known.evacuated().len() <= 64);
    let mut core = core();
    let mut receive_evacuations = 0;
    for number in 0..100 {
        let actions =
            ordered(&mut core, change(&format!("place-{number}"), number + 5, true), ms(1));
        receive_evacuations += actions
            .iter()
            .filter(|a| matches!(a, Action::Log(LogEvent::Unreadable { .. })))
            .count();
    }
    assert_eq!(receive_evacuations, 36, "each rejected order is logged");
}

/// Changes of the orders for three data centres, one revision each.
fn history() -> impl Strategy<Value = Vec<(usize, bool)>> {
    prop::collection::vec((0usize..3, any::<bool>()), 1..12)
}

proptest! {
    // Processes receive some changes, read the complete state at some revisions, and send each
    // other their states in any order. A process that has read the complete state at the end has
    // the correct orders, and so has every process that it sends them to.
    #[test]
    fn known_evacuations_merge_to_the_orders_in_force(
        history in history(),
        heard in prop::collection::vec((0usize..4, any::<prop::sample::Index>(), any::<bool>()), 0..40),
        receive_evacuations in prop::collection::vec((0usize..4, 0usize..4), 0..40),
    ) {
        let name = |place: usize| format!("hall-{place}");
        let standing_at = |revision: u64| {
            let mut standing = std::collections::BTreeMap::new();
            for (at, (place, stands)) in (1..).zip(&history).take_while(|(at, _)| *at <= revision) {
                if *stands {
                    standing.insert(name(*place), at);
                } else {
                    standing.remove(&name(*place));
                }
            }
            standing
        };
        let read_at = |revision: u64| {
            let standing = standing_at(revision);
            let changes: Vec<_> = standing.iter().map(|(n, at)| change(n, *at, true)).collect();
            Evacuations::from_read(&changes, position(revision))
        };
        let mut processes = vec![Evacuations::default(); 4];
        let mut talk = receive_evacuations.iter().cycle();
        for (process, index, whole) in heard {
            let at = index.index(history.len());
            if whole {
                processes[process].merge(&read_at(at as u64 + 1));
            } else {
                let (place, stands) = history[at];
                processes[process].apply(&change(&name(place), at as u64 + 1, stands));
            }
            if let Some((from, to)) = talk.next() {
                let from = processes[*from].clone();
                processes[*to].merge(&from);
            }
        }
        let last = history.len() as u64;
        processes[0].merge(&read_at(last));
        for to in 1..4 {
            let from = processes[0].clone();
            processes[to].merge(&from);
        }
        let truth: Vec<String> = standing_at(last).into_keys().collect();
        for process in &processes {
            let standing: Vec<String> = process.evacuated().iter().map(ToString::to_string).collect();
            prop_assert_eq!(&standing, &truth);
        }
        let (mut forth, mut back) = (processes[1].clone(), processes[2].clone());
        forth.merge(&processes[2]);
        back.merge(&processes[1]);
        prop_assert_eq!(forth, back);
    }
}
