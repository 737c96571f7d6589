//! Requests whose route or organisation has allowed regions: neither the requests nor the pieces of
//! their stages run elsewhere.

mod directenv;

use std::sync::Arc;

use directenv::gateway::{calls, incoming, listed, new_core, refusal, submit};
use directenv::{deployment, endpoints, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Action, Event, Refused};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Name, Repeat};
use stackmast::direct::published::regions::REGION_LABEL;
use test_case::test_case;

/// The endpoints of hall-0 are in the region "east", those of hall-1 in the region "west".
fn placed() -> Vec<Arc<Endpoint>> {
    let place = |endpoint: Arc<Endpoint>| {
        let mut endpoint = (*endpoint).clone();
        let region = if &*endpoint.data_centre == "hall-0" { "east" } else { "west" };
        endpoint.labels.insert(REGION_LABEL.to_owned(), region.to_owned());
        Arc::new(endpoint)
    };
    endpoints().into_iter().map(place).collect()
}

fn names(regions: &[&str]) -> Vec<Name> {
    regions.iter().map(|region| (*region).into()).collect()
}

fn core(route_homes: &[&str], organisation_homes: &[&str], stages: bool) -> GatewayCore {
    let stages: &[(&str, &[usize], u64)] =
        if stages { &[("first", &[], 400_000), ("second", &[0], 400_000)] } else { &[] };
    let mut route = route("r", Repeat::AtMostOnce, stages);
    route.allowed_regions = names(route_homes);
    let mut deployment = deployment(1, vec![route]);
    for organisation in &mut deployment.organisations {
        organisation.allowed_regions = names(organisation_homes);
    }
    let mut core = new_core();
    let document = Document::Deployment(Arc::new(deployment));
    let documents = vec![Revised { position: position(1), created_revision: 0, document }];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(0));
    let documents = listed(&placed(), 2);
    core.handle(
        Event::Published { documents, extent: Extent::Complete { at: position(2) } },
        ms(0),
    );
    core
}

#[test_case(&[], &[], &["hall-0", "hall-1"]; "anywhere")]
#[test_case(&["east"], &[], &["hall-0"]; "the route's")]
#[test_case(&[], &["west"], &["hall-1"]; "the organisation's")]
#[test_case(&["east", "west"], &["west"], &["hall-1"]; "both apply")]
#[test_case(&["east"], &["west"], &[]; "no common region")]
#[test_case(&["north"], &[], &[]; "a region without endpoints")]
fn a_request_runs_in_its_allowed_regions(route: &[&str], organisation: &[&str], expected: &[&str]) {
    let mut core = core(route, organisation, false);
    let mut reached = Vec::new();
    for caller in 1..=8 {
        let actions = submit(&mut core, caller, incoming("r", Vec::new()), ms(1));
        reached.extend(calls(&actions).iter().map(|c| c.1.endpoint.data_centre.to_string()));
        if expected.is_empty() {
            let refusal = refusal(&actions).expect("refused for its allowed regions");
            assert_eq!((refusal.reason, refusal.not_run), (Refused::NoEndpointAtHome, true));
        }
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached, expected);
}

#[test]
fn pieces_run_in_their_allowed_regions_however_many_wait() {
    let mut core = core(&["east"], &[], true);
    for caller in 1..=12 {
        let mut incoming = incoming("r", vec![2, 2]);
        incoming.id = format!("id-{caller}").into();
        let actions = submit(&mut core, caller, incoming, ms(1));
        for action in actions {
            if let Action::CallBatch { endpoint, .. } = action {
                assert_eq!(&*endpoint.data_centre, "hall-0");
            }
        }
    }
    let late = core.handle(Event::Tick, ms(1_900));
    assert!(!late.iter().any(
        |a| matches!(a, Action::CallBatch { endpoint, .. } if &*endpoint.data_centre == "hall-1")
    ));
}
