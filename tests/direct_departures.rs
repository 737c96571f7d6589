//! Endpoints that announce their departure in responses: how the news spreads, how long it is
//! valid, what ends it, and the effect of a restart, of a suspension and of other gateways.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{calls, configured, incoming, new_core, publish, submit};
use directenv::status_headers::{
    LEAVING, SECONDS, chosen_endpoint, departure, engine, enter, is_chosen, pause_for,
    receive_departures, receive_status, routes, sent_departures, with_incarnation,
};
use directenv::{address, deployment, ms, position};
use stackmast::actor::Core;
use stackmast::direct::answers::AnswerProof;
use stackmast::direct::backoff::Backoffs;
use stackmast::direct::departures::{Departure, Departures};
use stackmast::direct::engines::load::Load;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::log_events::{EndpointEntry, LogEvent};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::evacuations::EvacuationChange;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::Endpoint;
use stackmast::direct::statement::{Backoff, CallKind};
use test_case::test_case;

#[test_case(CallKind::Request)]
#[test_case(CallKind::Pieces)]
#[test_case(CallKind::Report)]
#[test_case(CallKind::Free)]
fn a_leaving_endpoint_gets_no_new_work_whatever_call_it_answered(asked: CallKind) {
    let mut core = configured(routes());
    assert!(is_chosen(&mut core, "engine-1", 1, 10));
    let event = Event::EndpointStatus {
        endpoint: engine(1),
        asked,
        statement: LEAVING,
        sent: ms(20),
        at: ms(20),
    };
    let actions = core.handle(event, ms(20));
    let is_told = |a: &Action| {
        matches!(a, Action::Log(LogEvent::Endpoint(EndpointEntry { state: "leaving", .. })))
    };
    assert!(actions.iter().any(is_told), "the change is logged");
    let withheld = |a: &Action| matches!(a, Action::BlockSends { until: None, .. });
    assert!(actions.iter().any(withheld), "also calls ordered before");
    assert!(!is_chosen(&mut core, "engine-1", 100, 30));
    assert!(is_chosen(&mut core, "engine-2", 200, 40));
}

#[test]
fn list_entries_of_the_same_incarnation_do_not_end_a_departure() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), LEAVING, 10);
    // An entry that was written late, or by a store that had lost a response.
    let mut changed = (*engine(1)).clone();
    changed.slots += 1;
    enter(&mut core, &Arc::new(changed), 50, 20);
    assert!(!is_chosen(&mut core, "engine-1", 100, 30));
    let gone = vec![Revised {
        position: position(51),
        created_revision: 0,
        document: Document::Removed("engine-1".into()),
    }];
    core.handle(Event::Published { documents: gone, extent: Extent::Partial }, ms(40));
    enter(&mut core, &engine(1), 52, 50);
    assert!(!is_chosen(&mut core, "engine-1", 200, 60), "expired and listed again");
}

#[test]
fn a_configuration_or_a_withdrawn_order_does_not_end_a_departure() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), LEAVING, 10);
    publish(&mut core, deployment(9, routes()), ms(20));
    assert!(!is_chosen(&mut core, "engine-1", 100, 30));
    for (revision, in_force) in [(70, true), (71, false)] {
        let order = EvacuationChange {
            data_centre: engine(1).data_centre.clone(),
            position: position(revision),
            in_force,
        };
        let changes = vec![order];
        core.handle(Event::Evacuations { changes, snapshot_at: None }, ms(revision));
    }
    assert!(!is_chosen(&mut core, "engine-1", 200, 80));
}

#[test]
fn a_new_incarnation_gets_work_until_it_announces_its_own_departure() {
    let mut core = configured(routes());
    enter(&mut core, &with_incarnation("engine", 1, 7), 50, 5);
    receive_status(&mut core, &with_incarnation("engine", 1, 7), LEAVING, 10);
    assert!(!is_chosen(&mut core, "engine-1", 100, 20));
    enter(&mut core, &with_incarnation("engine", 1, 9), 51, 30);
    assert!(is_chosen(&mut core, "engine-1", 200, 40));
    // A late answer of the previous incarnation doesn't apply to the current one.
    receive_status(&mut core, &with_incarnation("engine", 1, 7), LEAVING, 50);
    assert!(is_chosen(&mut core, "engine-1", 300, 60));
    receive_status(&mut core, &with_incarnation("engine", 1, 9), LEAVING, 70);
    assert!(!is_chosen(&mut core, "engine-1", 400, 80));
}

#[test]
fn a_departure_received_before_the_list_entry_applies_once_it_is_listed() {
    let mut core = configured(routes());
    receive_status(&mut core, &with_incarnation("engine", 1, 9), LEAVING, 10);
    assert!(is_chosen(&mut core, "engine-1", 100, 20), "the departure was of another incarnation");
    enter(&mut core, &with_incarnation("engine", 1, 9), 50, 30);
    assert!(!is_chosen(&mut core, "engine-1", 200, 40));
}

#[test]
fn a_departure_is_sent_with_two_heartbeats() {
    let mut core = configured(routes());
    receive_departures(&mut core, Vec::new(), 10);
    receive_status(&mut core, &engine(1), LEAVING, 20);
    let beats: Vec<usize> = (1..8)
        .map(|beat| sent_departures(&core.handle(Event::Tick, ms(beat * 250))).len())
        .collect();
    assert_eq!(beats.iter().sum::<usize>(), 2, "{beats:?}");
    let mut other = configured(routes());
    receive_departures(&mut other, vec![departure("engine", 1, 0)], 10);
    assert!(!is_chosen(&mut other, "engine-1", 100, 20));
    let passed_on = sent_departures(&other.handle(Event::Tick, ms(500)));
    assert_eq!(passed_on, [departure("engine", 1, 0)], "received departures are passed on");
}

#[test]
fn a_departure_in_the_list_is_not_sent_again() {
    let mut core = configured(routes());
    receive_departures(&mut core, Vec::new(), 10);
    receive_status(&mut core, &engine(1), LEAVING, 20);
    enter(&mut core, &Arc::new(Endpoint { leaving: true, ..(*engine(1)).clone() }), 50, 30);
    let sent_departures: usize =
        (1..8).map(|beat| sent_departures(&core.handle(Event::Tick, ms(beat * 250))).len()).sum();
    assert_eq!(sent_departures, 0);
}

#[test]
fn a_starting_gateway_gets_known_departures_at_once() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), LEAVING, 10);
    (1..8).for_each(|beat| drop(core.handle(Event::Tick, ms(beat * 250))));
    let answer = receive_departures(&mut core, Vec::new(), 5_000);
    assert!(sent_departures(&answer).contains(&departure("engine", 1, 0)), "it was long ago");
    let mut started = new_core();
    receive_departures(&mut started, sent_departures(&answer), 0);
    publish(&mut started, deployment(1, routes()), ms(10));
    assert!(!is_chosen(&mut started, "engine-1", 100, 20), "the departure arrived before the list");
}

#[test]
fn a_departure_from_a_peer_applies_to_its_incarnation_only() {
    let mut core = configured(routes());
    enter(&mut core, &with_incarnation("engine", 1, 9), 50, 5);
    receive_departures(&mut core, vec![departure("engine", 1, 7)], 10);
    assert!(is_chosen(&mut core, "engine-1", 100, 20));
}

#[test]
fn a_suspension_does_not_end_a_departure() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), LEAVING, 10);
    receive_status(&mut core, &engine(2), pause_for(ms(3 * SECONDS)), 10);
    core.on_suspension(ms(2 * SECONDS), ms(2_100));
    assert_eq!(chosen_endpoint(&mut core, 1, 2_110), None, "one leaves, the other is paused");
    core.on_suspension(ms(5 * SECONDS), ms(7_200));
    assert_eq!(
        chosen_endpoint(&mut core, 2, 7_210).as_deref(),
        Some("engine-2"),
        "its pause is over"
    );
}

#[test]
fn load_reported_by_another_endpoint_at_the_address_is_ignored() {
    let mut core = configured(routes());
    let actions = submit(&mut core, 1, incoming("r", Vec::new()), ms(0));
    let (attempt, order) = calls(&actions)[0].clone();
    let load = Some(Load { running: 60, waiting: 60, slots: 64, work_time_percent: None });
    let proof = AnswerProof {
        status: 421,
        not_run: true,
        from_other_endpoint: true,
        load,
        ..AnswerProof::default()
    };
    core.handle(Event::Answered { caller: 1, attempt, proof, is_open: false }, ms(5));
    // The endpoint is avoided for a moment, as after any wrong address, and not because of its
    // reported load.
    assert!(is_chosen(&mut core, &order.endpoint.id, 100, 600));
}

#[test]
fn departures_and_backoffs_are_bounded() {
    let mut departures = Departures::default();
    let mut backoffs = Backoffs::new(address(1));
    for number in 0..6_000u64 {
        let id = format!("endpoint-{number}");
        let endpoint = Endpoint { id: id.as_str().into(), ..(*engine(1)).clone() };
        departures.record(Departure::of(&endpoint), ms(number));
        backoffs.record(&endpoint, Backoff::For(ms(900 * SECONDS)), ms(number));
    }
    assert!(departures.len() <= 4_096 && backoffs.len() <= 4_096);
    assert!(departures.contains(&Departure { endpoint: "endpoint-5999".into(), incarnation: 0 }));
    assert!(departures.take_changes(|_| false).len() <= 256, "heartbeats are bounded, too");
    assert!(departures.newest(|_| false).len() <= 256);
    assert!(departures.expire(|_| false, ms(6_000 + 600 * SECONDS)));
    assert!(departures.is_empty(), "not listed and not received for ten minutes");
}

#[test]
fn the_departure_of_a_listed_incarnation_does_not_expire() {
    let mut core = configured(routes());
    receive_status(&mut core, &engine(1), LEAVING, 10);
    for minute in 1..40 {
        core.handle(Event::Tick, ms(minute * 60 * SECONDS));
    }
    let at = 40 * 60 * SECONDS;
    publish(&mut core, deployment(9, routes()), ms(at));
    assert!(!is_chosen(&mut core, "engine-1", 100, at + 1));
}
