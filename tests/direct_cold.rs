//! Cold endpoints handle few requests: each gateway sends its share of them, and callers that are
//! refused get a time to retry.
//!
//! These tests guard against overload when all endpoints of a data centre come up cold together
//! under steady load. The figures are those of endpoints that handle 10 requests per second for 3 s
//! and fail at 20.

mod directenv;

use std::sync::Arc;
use std::time::Duration;

use directenv::gateway::{
    calls, good, incoming, listed, new_core, receive_gossip, refusal, serving, submit,
};
use directenv::{address, deployment, endpoint, ms, position, route};
use stackmast::actor::Core;
use stackmast::direct::answers::CallFailure;
use stackmast::direct::cold::ColdEndpoints;
use stackmast::direct::core::GatewayCore;
use stackmast::direct::event::{Event, Refused};
use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{ColdStart, Endpoint, Repeat};
use stackmast::direct::published::table::Table;
use test_case::test_case;

const COLD_LIMIT: ColdStart = ColdStart { per_second: 10.0, duration: Duration::from_secs(3) };

fn table() -> Table {
    Table::new(Arc::new(deployment(1, Vec::new())), [].into_iter())
}

fn cold(number: u16, cold_ms: u64) -> Arc<Endpoint> {
    let (cold_for, incarnation) = (ms(cold_ms), 1 + cold_ms);
    Arc::new(Endpoint { cold_for, incarnation, ..(*endpoint("engine", number)).clone() })
}

/// Times at which gateways under steady load send to a cold endpoint, of which they learn within
/// `spread_ms`.
fn sent(gateways: u16, spread_ms: u64) -> Vec<Duration> {
    let (table, endpoint) = (table(), cold(1, 3_000));
    let mut sent = Vec::new();
    for gateway in 1..=gateways {
        let mut known = ColdEndpoints::new(address(gateway));
        known.apply_changes(&table, &[], ms(0));
        let learns = 5_000 + u64::from(gateway) * spread_ms / u64::from(gateways);
        known.apply_changes(&table, std::slice::from_ref(&endpoint), ms(learns));
        for at in learns..8_000 {
            if known
                .available_at(&endpoint, Some(COLD_LIMIT), usize::from(gateways), ms(at))
                .is_none()
            {
                known.record_sent(&endpoint, 1, ms(at));
                sent.push(ms(at));
            }
        }
    }
    sent.sort_unstable();
    sent
}

#[test_case(1)]
#[test_case(3)]
#[test_case(21)]
#[test_case(103)]
#[test_case(580)]
fn gateways_under_load_together_respect_the_cold_limit(gateways: u16) {
    for spread_ms in [0, 300, 1_000] {
        let sent = sent(gateways, spread_ms);
        let in_second = |from: &Duration| {
            sent.iter().filter(|at| *at >= from && **at < *from + ms(1_000)).count()
        };
        let most = sent.iter().map(in_second).max().unwrap_or_default();
        assert!(most <= 15, "{most} in a second of {gateways} gateways");
        assert!(sent.len() >= 6, "{} in three seconds of {gateways} gateways", sent.len());
    }
}

// Guards against a burst when an evacuation order is withdrawn while the endpoints there are cold.
#[test_case(1)]
#[test_case(21)]
#[test_case(103)]
fn unused_turns_are_not_used_all_at_once(gateways: u16) {
    let (table, endpoint) = (table(), cold(1, 3_000));
    let mut sent = 0;
    for gateway in 1..=gateways {
        let mut known = ColdEndpoints::new(address(gateway));
        known.apply_changes(&table, &[], ms(0));
        known.apply_changes(&table, std::slice::from_ref(&endpoint), ms(5_000));
        let opens =
            known.available_at(&endpoint, Some(COLD_LIMIT), usize::from(gateways), ms(7_500));
        sent += usize::from(opens.is_none());
    }
    assert!(sent <= 8, "{sent} of {gateways} at once after two and a half seconds");
}

#[test]
fn a_starting_gateway_sends_nothing_to_cold_endpoints() {
    let (table, endpoint) = (table(), cold(1, 3_000));
    let mut known = ColdEndpoints::new(address(1));
    // The entry may arrive before the configuration.
    known.apply_changes(&Table::default(), std::slice::from_ref(&endpoint), ms(10));
    known.apply_changes(&table, &[], ms(20));
    assert!(known.available_at(&endpoint, Some(COLD_LIMIT), 1, ms(1_500)).is_some());
    assert!(
        known.available_at(&endpoint, Some(COLD_LIMIT), 1, ms(1_800)).is_none(),
        "once it has gathered"
    );
}

/// A gateway in a fleet of 21 with the given engines, long after its start.
fn core(engines: &[Arc<Endpoint>]) -> GatewayCore {
    let mut deployment = deployment(1, vec![route("r", Repeat::Idempotent, &[])]);
    for pool in deployment.pools.iter_mut().filter(|p| &*p.name == "engine") {
        pool.cold = Some(COLD_LIMIT);
    }
    let mut core = new_core();
    let document = Document::Deployment(Arc::new(deployment));
    let documents = vec![Revised { position: position(1), created_revision: 0, document }];
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(0));
    let documents = listed(&[cold(1, 0), cold(2, 0)], 2);
    core.handle(
        Event::Published { documents, extent: Extent::Complete { at: position(2) } },
        ms(0),
    );
    receive_gossip(&mut core, (2..=21).map(serving).collect(), ms(9_900));
    let documents = listed(engines, 3);
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(10_000));
    core
}

/// The endpoint to which a request is sent; the request is answered at once.
fn sent_to(core: &mut GatewayCore, caller: u64, at: u64) -> Option<String> {
    let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
    let (attempt, order) = calls(&actions).into_iter().next()?;
    let answered = Event::Answered { caller, attempt, proof: good(), is_open: false };
    core.handle(answered, ms(at));
    Some(order.endpoint.id.to_string())
}

#[test]
fn requests_over_the_cold_limit_go_to_another_endpoint() {
    let mut core = core(&[cold(1, 3_000)]);
    let mut to_cold = 0;
    for caller in 1..=100u64 {
        let to = sent_to(&mut core, caller, 10_000 + caller * 20).expect("there is another");
        to_cold += usize::from(to == "engine-1");
    }
    assert!(to_cold <= 1, "{to_cold} within 2 s: its turn comes every 3.5 s");
    assert_eq!(sent_to(&mut core, 200, 13_001).as_deref(), Some("engine-1"), "warm, and nearer");
}

#[test]
fn when_all_endpoints_are_cold_excess_requests_are_refused_with_a_retry_time() {
    let mut core = core(&[cold(1, 3_000), cold(2, 3_000)]);
    let mut served = 0;
    for caller in 1..=100u64 {
        let actions =
            submit(&mut core, caller, incoming("r", Vec::new()), ms(10_000 + caller * 20));
        served += calls(&actions).len();
        if let Some(refusal) = refusal(&actions) {
            assert_eq!((refusal.reason, refusal.not_run), (Refused::AllCold, true));
            assert!(refusal.retry_after >= ms(250) && refusal.retry_after <= ms(4_500));
        }
    }
    assert!(served <= 2, "{served} of 100: a turn at each of two endpoints");
}

#[test]
fn an_endpoint_that_was_unreachable_is_treated_as_cold() {
    let mut core = core(&[]);
    let press = |core: &mut GatewayCore, first: u64, at: u64| {
        let mut attempts = Vec::new();
        for caller in first..first + 30 {
            let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
            let to_first = calls(&actions).into_iter().filter(|c| &*c.1.endpoint.id == "engine-1");
            attempts.extend(to_first.map(|c| (caller, c.0)));
        }
        attempts
    };
    let attempts = press(&mut core, 1, 10_100);
    assert!(attempts.len() > 5);
    for (caller, attempt) in attempts {
        let failure = CallFailure::NotSent;
        core.handle(Event::CallFailed { caller, attempt, failure }, ms(10_200));
    }
    let again = press(&mut core, 100, 14_300).len();
    assert!(again <= 1, "{again} requests at once to what may have just started");
}
