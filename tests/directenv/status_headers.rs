//! Helpers for gateways that receive endpoint status headers, and for their decisions after that.

use std::sync::Arc;
use std::time::Duration;

use stackmast::actor::Core;
use stackmast::direct::answers::{BatchOutcome, PieceOutcome};
use stackmast::direct::core::GatewayCore;
use stackmast::direct::departures::Departure;
use stackmast::direct::event::{Action, Event};
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Endpoint, Repeat, Route};
use stackmast::direct::statement::{Backoff, CallKind, Statement};

use super::gateway::{Heartbeat, announced_states, calls, good, incoming, listed, serving, submit};
use super::{address, endpoint, ms, route};

pub const LEAVING: Statement = Statement { leaving: true, backoff: None, cold: None, limit: None };
pub const SECONDS: u64 = 1_000;

pub fn pause(backoff: Backoff) -> Statement {
    Statement { backoff: Some(backoff), ..Statement::default() }
}

pub fn pause_for(time: Duration) -> Statement {
    pause(Backoff::For(time))
}

/// An endpoint in an incarnation.
pub fn with_incarnation(service: &str, number: u16, incarnation: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint { incarnation, ..(*endpoint(service, number)).clone() })
}

pub fn engine(number: u16) -> Arc<Endpoint> {
    endpoint("engine", number)
}

pub fn routes() -> Vec<Route> {
    let mut again = route("again", Repeat::AtMostOnce, &[]);
    (again.streams, again.resumable) = (true, true);
    vec![route("r", Repeat::Idempotent, &[]), again, staged()]
}

pub fn staged() -> Route {
    route("staged", Repeat::Idempotent, &[("first", &[], 10), ("second", &[0], 10)])
}

pub fn receive_status(
    core: &mut GatewayCore,
    who: &Arc<Endpoint>,
    statement: Statement,
    at: u64,
) -> Vec<Action> {
    let event = Event::EndpointStatus {
        endpoint: who.clone(),
        asked: CallKind::Request,
        statement,
        sent: ms(at),
        at: ms(at),
    };
    core.handle(event, ms(at))
}

pub fn enter(core: &mut GatewayCore, who: &Arc<Endpoint>, revision: u64, at: u64) {
    let documents = listed(std::slice::from_ref(who), revision);
    core.handle(Event::Published { documents, extent: Extent::Partial }, ms(at));
}

/// Returns the endpoint to which a new request is sent.
pub fn chosen_endpoint(core: &mut GatewayCore, caller: u64, at: u64) -> Option<String> {
    let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
    calls(&actions).first().map(|(_, params)| params.endpoint.id.to_string())
}

/// Whether any of many requests, all of which are answered, is sent to an endpoint.
pub fn is_chosen(core: &mut GatewayCore, who: &str, first: u64, at: u64) -> bool {
    (first..first + 20).any(|caller| {
        let actions = submit(core, caller, incoming("r", Vec::new()), ms(at));
        let Some((attempt, params)) = calls(&actions).into_iter().next() else {
            return false;
        };
        let answered = Event::Answered { caller, attempt, proof: good(), is_open: false };
        core.handle(answered, ms(at));
        &*params.endpoint.id == who
    })
}

/// Calls with pieces, as (call, endpoint).
pub fn batches(actions: &[Action]) -> Vec<(u64, Arc<Endpoint>)> {
    let batches = actions.iter().filter_map(|a| match a {
        Action::CallBatch { call, endpoint, .. } => Some((*call, endpoint.clone())),
        _ => None,
    });
    batches.collect()
}

pub fn freed(actions: &[Action]) -> Vec<String> {
    let freed = actions.iter().filter_map(|a| match a {
        Action::FreeResults { endpoint, .. } => Some(endpoint.id.to_string()),
        _ => None,
    });
    freed.collect()
}

pub fn made(handle: &str) -> BatchOutcome {
    BatchOutcome::Pieces(vec![PieceOutcome::Made(handle.into())])
}

pub fn departure(service: &str, number: u16, incarnation: u64) -> Departure {
    Departure::of(&with_incarnation(service, number, incarnation))
}

pub fn receive_departures(
    core: &mut GatewayCore,
    departures: Vec<Departure>,
    at: u64,
) -> Vec<Action> {
    let message =
        Heartbeat { members: vec![serving(2)], departures, ..Heartbeat::default() }.message();
    core.handle(Event::PeerMessage { from: address(2), message }, ms(at))
}

/// Departures that are sent with a heartbeat or with an answer to one.
pub fn sent_departures(actions: &[Action]) -> Vec<Departure> {
    announced_states(actions).into_iter().flat_map(|state| state.departures).collect()
}
