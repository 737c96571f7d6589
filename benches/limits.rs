//! Cost of endpoint rate limits for a gateway: `cargo bench --bench limits`.
//!
//! Measures processor time of this machine, in virtual time without network; one run per row.

use std::sync::Arc;
use std::time::{Duration, Instant};

use stackmast::actor::Core;
use stackmast::config::Selector;
use stackmast::direct::answers::AnswerProof;
use stackmast::direct::core::{GatewayCore, Setup};
use stackmast::direct::event::{Action, Event, IncomingRequest};
use stackmast::direct::limits::known::AnnouncedLimit;
use stackmast::direct::peers::codec::{FORM, Outgoing};
use stackmast::direct::peers::members::{Member, MemberState};
use stackmast::direct::peers::message::PeerMessage;
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::documents::{Document, Revised, Seen};
use stackmast::direct::published::evacuations::Evacuations;
use stackmast::direct::published::list_position::Extent;
use stackmast::direct::published::model::{
    CallerLimits, Deployment, Endpoint, EngineSpec, Pool, Repeat, Route, Target, Work,
};
use stackmast::direct::published::position::Position;
use stackmast::direct::repeats::RepeatBudget;
use stackmast::direct::statement::{RateLimit, RequestRate};

const GATEWAYS: [u16; 3] = [30, 100, 300];
const LIMITED: [usize; 2] = [0, 100];
/// Endpoints of the only pool.
const ENDPOINTS: usize = 300;
const REQUESTS: u64 = 5_000;
const PERMIT_REQUESTS: u64 = 5_000;

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn deployment() -> Deployment {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/r/".into(),
        streams: false,
        repeat: Repeat::Idempotent,
        resumable: false,
        timeout: Duration::from_secs(10),
        objective: Duration::from_secs(2),
        priority: 0,
        targets: vec![Target { pool: "engine".into(), weight: 1 }],
        max_attempts: 2,
        stages: Vec::new(),
        public: true,
        allowed_regions: Vec::new(),
    };
    let work = Work::Engine(EngineSpec { slots: 64, memory_tokens: 100_000 });
    let endpoints = Selector::parse("service=engine").expect("a selector");
    let pool = Pool {
        name: "engine".into(),
        endpoints,
        max_connections: 9_000,
        cold: None,
        work,
        health_path: None,
    };
    Deployment {
        version: 1,
        routes: vec![route],
        pools: vec![pool],
        organisations: Vec::new(),
        limits: CallerLimits::default(),
    }
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{number:010x}").into(),
        incarnation: 1,
        address: address(9_000),
        data_centre: "hall-1".into(),
        labels: [("service".to_owned(), "engine".to_owned())].into_iter().collect(),
        slots: 64,
        leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn member(port: u16) -> Member {
    let state = MemberState::Serving;
    Member {
        address: address(port),
        incarnation: 1_790_000_000_000_001,
        heartbeat: 9,
        state,
        capacity: 190,
    }
}

fn limit(number: usize) -> AnnouncedLimit {
    AnnouncedLimit {
        endpoint: endpoint(number).id,
        incarnation: 1,
        version: 1,
        limit: RateLimit::At(RequestRate::per_second(10.0)),
    }
}

fn heartbeat(members: Vec<Member>, limits: Vec<AnnouncedLimit>) -> PeerMessage {
    PeerMessage::Gossip {
        members,
        seen: Seen { version: 1, endpoints: Position::new(0, 5) },
        complete: true,
        usage: Vec::new(),
        event_lag: Duration::ZERO,
        evacuations: Evacuations::default(),
        departures: Vec::new(),
        limits,
        era: 0,
    }
}

fn bytes(message: PeerMessage) -> usize {
    Outgoing::new(message).encode_for(Some(FORM)).len()
}

/// A gateway that has received its peers' state with announced limits.
fn gateway(gateways: u16, limited: usize, now: Duration) -> GatewayCore {
    let mut core = GatewayCore::new(Setup {
        witness_port: None,
        address: address(1),
        incarnation: 1,
        capacity: 190,
        data_centre: "hall-1".into(),
        region: "east".into(),
        is_first_start: false,
        seeds: Vec::new(),
        repeats: RepeatBudget { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        grace: Duration::from_secs(8),
        settling: Duration::ZERO,
        seed: 7,
    });
    let entries = (0..ENDPOINTS).map(|n| Document::Endpoint(Arc::new(endpoint(n))));
    let configured = [Document::Deployment(Arc::new(deployment()))];
    let documents = configured.into_iter().chain(entries);
    let documents = documents
        .map(|document| Revised { position: Position::new(0, 5), created_revision: 0, document })
        .collect();
    core.handle(
        Event::Published { documents, extent: Extent::Complete { at: Position::new(0, 5) } },
        Duration::ZERO,
    );
    receive_heartbeat(&mut core, gateways, limited, now);
    core
}

fn receive_heartbeat(core: &mut GatewayCore, gateways: u16, limited: usize, now: Duration) {
    let mut members: Vec<Member> = (2..=gateways).map(member).collect();
    members.iter_mut().for_each(|m| m.heartbeat = now.as_millis() as u64);
    let message = heartbeat(members, (0..limited).map(limit).collect());
    core.handle(Event::PeerMessage { from: address(2), message }, now);
}

/// Processor time per request with an immediate response.
fn request_time(gateways: u16, limited: usize) -> Duration {
    let mut now = Duration::from_secs(10);
    let mut core = gateway(gateways, limited, now);
    let begun = Instant::now();
    for caller in 0..REQUESTS {
        now += Duration::from_micros(100);
        let incoming = IncomingRequest {
            id: format!("request-{caller}").into(),
            host: "h".to_owned(),
            path: "/r/x".to_owned(),
            key: None,
            timeout: Some(Duration::from_secs(5)),
            generation: None,
            pieces: Vec::new(),
            piece_key: None,
            after_event: None,
            resumes: None,
            content: Fingerprint::default(),
        };
        for action in core.handle(Event::Submit { caller, incoming }, now) {
            if let Action::Call { caller, attempt, .. } = action {
                let proof = AnswerProof {
                    status: 200,
                    signed: true,
                    names_request: true,
                    ..AnswerProof::default()
                };
                core.handle(Event::Answered { caller, attempt, proof, is_open: false }, now);
            }
        }
    }
    begun.elapsed() / REQUESTS as u32
}

/// Processor time of a limiter per permit request.
fn permit_request_time(gateways: u16, limited: usize) -> Duration {
    let mut now = Duration::from_secs(10);
    let mut core = gateway(gateways, limited, now);
    now += Duration::from_secs(2);
    receive_heartbeat(&mut core, gateways, limited, now);
    let begun = Instant::now();
    for number in 0..PERMIT_REQUESTS {
        now += Duration::from_micros(100);
        let limit = limit(number as usize % limited);
        let message = PeerMessage::AskPermit { number, limit, priority: 1, wait: Duration::ZERO };
        core.handle(Event::PeerMessage { from: address(2), message }, now);
    }
    begun.elapsed() / PERMIT_REQUESTS as u32
}

fn main() {
    println!(
        "| gateways | limits | heartbeat | with limits | permit request | permit | time per request | time per permit request |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let wait = Duration::from_millis(700);
    let permit_request =
        bytes(PeerMessage::AskPermit { number: 9_000, limit: limit(1), priority: 1, wait });
    let permit = bytes(PeerMessage::Permit { number: 9_000, granted: false, retry_after: wait });
    for gateways in GATEWAYS {
        let members = || (1..=gateways).map(member).collect::<Vec<_>>();
        for limited in LIMITED {
            let with_limits = heartbeat(members(), (0..limited).map(limit).collect());
            let permit_time =
                if limited == 0 { Duration::ZERO } else { permit_request_time(gateways, limited) };
            println!(
                "| {gateways} | {limited} | {} B | {} B | {permit_request} B | {permit} B | {:.1} us | {:.1} us |",
                bytes(heartbeat(members(), Vec::new())),
                bytes(with_limits),
                request_time(gateways, limited).as_secs_f64() * 1e6,
                permit_time.as_secs_f64() * 1e6,
            );
        }
    }
}
