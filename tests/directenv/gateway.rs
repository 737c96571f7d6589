//! Helpers around one gateway core: published documents, callers' requests, and its actions.

use std::sync::Arc;
use std::time::Duration;

use stackmast::actor::{Core, Shell};
use stackmast::direct::answers::AnswerProof;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::departures::Departure;
use stackmast::direct::event::{Action, CallParams, Event, IncomingRequest, Refusal};
use stackmast::direct::event_order::{EventOrder, EventSummary, Place};
use stackmast::direct::forwarded_stream::{ForwardedStream, StreamEnd};
use stackmast::direct::limits::known::AnnouncedLimit;
use stackmast::direct::peers::heartbeat::{self, GatewayState};
use stackmast::direct::peers::member::MemberUpdate;
use stackmast::direct::peers::members::{Member, MemberState};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::documents::{Document, Revised, Seen};
use stackmast::direct::published::evacuations::Evacuations;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{Deployment, Endpoint, Repeat, Route};
use stackmast::direct::repeats::RepeatBudget;

use super::{address, deployment, endpoints, ms, position, route};

/// Shell that ignores all actions of a core.
pub struct Idle;

impl Shell<GatewayCore> for Idle {
    fn act(&mut self, _action: Action, _core: &GatewayCore) {}
}

pub fn setup() -> Setup {
    Setup {
        witness_port: None,
        address: address(1),
        incarnation: 1,
        capacity: 1_000,
        data_centre: "hall-1".into(),
        region: "east".into(),
        is_first_start: false,
        seeds: Vec::new(),
        repeats: RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        grace: Duration::from_secs(8),
        settling: Duration::ZERO,
        seed: 7,
    }
}

pub fn new_core() -> GatewayCore {
    GatewayCore::new(setup())
}

pub fn listed(endpoints: &[Arc<Endpoint>], revision: u64) -> Vec<Revised> {
    let document = |e: &Arc<Endpoint>| Document::Endpoint(e.clone());
    endpoints
        .iter()
        .map(|e| Revised {
            position: position(revision),
            created_revision: 0,
            document: document(e),
        })
        .collect()
}

pub fn publish(core: &mut GatewayCore, deployment: Deployment, now: Duration) -> Vec<Action> {
    let document = Document::Deployment(Arc::new(deployment));
    let documents = vec![Revised { position: position(1), created_revision: 0, document }];
    let mut actions = core.handle(Event::Published { documents, extent: Extent::Partial }, now);
    let documents = listed(&endpoints(), 2);
    actions.extend(
        core.handle(
            Event::Published { documents, extent: Extent::Complete { at: position(2) } },
            now,
        ),
    );
    actions
}

pub fn configured(routes: Vec<Route>) -> GatewayCore {
    let mut core = new_core();
    publish(&mut core, deployment(1, routes), ms(0));
    core
}

pub fn incoming(route: &str, pieces: Vec<usize>) -> IncomingRequest {
    IncomingRequest {
        id: "id-1".into(),
        host: "h.example".to_owned(),
        path: format!("/{route}/x"),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(5)),
        generation: None,
        pieces,
        piece_key: Some("k".into()),
        after_event: None,
        resumes: None,
        content: Fingerprint::default(),
    }
}

pub fn submit(
    core: &mut GatewayCore,
    caller: u64,
    incoming: IncomingRequest,
    now: Duration,
) -> Vec<Action> {
    core.handle(Event::Submit { caller, incoming }, now)
}

pub fn calls(actions: &[Action]) -> Vec<(u64, CallParams)> {
    let calls = actions.iter().filter_map(|a| match a {
        Action::Call { attempt, params, .. } => Some((*attempt, params.clone())),
        _ => None,
    });
    calls.collect()
}

pub fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    })
}

pub fn is_delivered(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Deliver { .. }))
}

pub fn good() -> AnswerProof {
    AnswerProof { status: 200, signed: true, names_request: true, ..AnswerProof::default() }
}

pub fn answered(attempt: u64, proof: AnswerProof) -> Event {
    Event::Answered { caller: 1, attempt, proof, is_open: false }
}

/// The event by which the endpoint of an attempt begins its stream.
pub fn begins(caller: u64, attempt: u64) -> Event {
    Event::Answered { caller, attempt, proof: good(), is_open: true }
}

/// A route without stages whose streams may be resumed.
pub fn resumable() -> Route {
    Route { streams: true, resumable: true, ..route("r", Repeat::AtMostOnce, &[]) }
}

pub fn serving(port: u16) -> Member {
    let state = MemberState::Serving;
    Member { address: address(port), incarnation: 5, heartbeat: 1, state, capacity: 1_000 }
}

/// Contents of a heartbeat; fields that are not set are empty.
#[derive(Default)]
pub struct Heartbeat {
    pub members: Vec<Member>,
    pub seen: Seen,
    pub complete: bool,
    pub event_lag: Duration,
    pub evacuations: Evacuations,
    pub departures: Vec<Departure>,
    pub limits: Vec<AnnouncedLimit>,
    pub era: u64,
}

impl Heartbeat {
    pub fn message(self) -> PeerMessage {
        let Self { members, seen, complete, event_lag, evacuations, departures, limits, era } =
            self;
        let usage = Vec::new();
        PeerMessage::Gossip {
            members,
            seen,
            complete,
            usage,
            event_lag,
            evacuations,
            departures,
            limits,
            era,
        }
    }
}

pub fn gossip(members: Vec<Member>) -> PeerMessage {
    Heartbeat { members, complete: true, ..Heartbeat::default() }.message()
}

/// A heartbeat without news of a member whose location is known.
pub fn heartbeat_of(sender: MemberUpdate) -> heartbeat::Heartbeat {
    heartbeat::Heartbeat {
        sender,
        is_monitor: false,
        probe: None,
        updates: Vec::new(),
        is_complete_list: false,
        members_digest: 0,
        store_age: None,
        state: GatewayState::default(),
    }
}

/// The event by which a heartbeat arrives.
pub fn arrival(heartbeat: heartbeat::Heartbeat) -> Event {
    let from = heartbeat.sender.member.address;
    Event::PeerMessage { from, message: PeerMessage::Heartbeat(Box::new(heartbeat)) }
}

/// The state that a heartbeat announces, in the current form or in an earlier one.
pub fn announced_state(message: &PeerMessage) -> Option<GatewayState> {
    match message.clone() {
        PeerMessage::Heartbeat(heartbeat) => Some(heartbeat.state),
        PeerMessage::Gossip {
            seen,
            complete,
            usage,
            event_lag,
            evacuations,
            departures,
            limits,
            era,
            ..
        } => Some(GatewayState {
            seen,
            complete,
            usage,
            event_lag,
            evacuations,
            departures,
            limits,
            era,
            engine_loads: Vec::new(),
        }),
        _ => None,
    }
}

/// The states that are announced by heartbeats among the actions.
pub fn announced_states(actions: &[Action]) -> Vec<GatewayState> {
    let messages = actions.iter().filter_map(|a| match a {
        Action::Broadcast { message, .. } | Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.filter_map(announced_state).collect()
}

/// Handles gossip about `members`, sent by the first of them.
pub fn receive_gossip(core: &mut GatewayCore, members: Vec<Member>, now: Duration) {
    let from = members[0].address;
    let message = gossip(members);
    core.handle(Event::PeerMessage { from, message }, now);
}

/// The end of a stream with one event, whose id is `last_event`, or without an event.
pub fn stream_ended(caller: u64, attempt: u64, end: StreamEnd, last_event: Option<&str>) -> Event {
    let last_event = last_event.map(ToOwned::to_owned);
    let events = u64::from(last_event.is_some());
    let first_event = last_event.clone();
    let place = last_event.as_deref().map(Place::after).unwrap_or_default();
    let stream = ForwardedStream {
        end,
        events,
        first_event,
        last_event,
        jumps: 0,
        place,
        out_of_order: None,
    };
    Event::StreamEnded { caller, attempt, stream }
}

/// The end of a stream whose connection failed behind these events, or that was broken off because
/// one of them is out of order.
pub fn broken_behind(caller: u64, attempt: u64, place: Place, events: &str) -> Event {
    let mut order = EventOrder::new(place);
    let out_of_order = order.check(events.as_bytes()).err();
    let (place, EventSummary { events, first_id, last_id, jumps }) = order.into_parts();
    let stream = ForwardedStream {
        end: out_of_order.as_ref().map_or(StreamEnd::ReadFailed, |_| StreamEnd::OutOfOrder),
        events,
        first_event: first_id,
        last_event: last_id,
        jumps,
        place,
        out_of_order,
    };
    Event::StreamEnded { caller, attempt, stream }
}
