//! Encoded messages between gateways: one of each kind, with every field set.
//!
//! The messages of each form are stored in a file (`tests/frames`), so that later builds can be
//! tested against them without this build.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use stackmast::config::Selector;
use stackmast::direct::departures::Departure;
use stackmast::direct::engines::load::{Load, SharedLoad};
use stackmast::direct::limits::known::AnnouncedLimit;
use stackmast::direct::origins::Origin;
use stackmast::direct::owner::producers::Usage;
use stackmast::direct::peers::codec::{FORM, Outgoing};
use stackmast::direct::peers::heartbeat::{GatewayState, Heartbeat, Probe};
use stackmast::direct::peers::member::{Location, Member, MemberState, MemberUpdate};
use stackmast::direct::peers::message::{
    BegunStream, Job, JobId, JobReason, JobStage, PeerMessage, StoredResult,
};
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::poison::suspects::{AnnouncedSuspect, Crash, SuspectUpdate};
use stackmast::direct::published::documents::{Document, Revised, Seen};
use stackmast::direct::published::evacuations::{EvacuationChange, Evacuations};
use stackmast::direct::published::list_position::{ListDigest, Verification};
use stackmast::direct::published::model::{
    BatchSpec, CallerLimits, ColdStart, Deployment, Endpoint, EngineSpec, Name, Organisation, Pool,
    Repeat, Route, StageSpec, Target, Work,
};
use stackmast::direct::published::position::Position;
use stackmast::direct::published::regions::AllowedRegions;
use stackmast::direct::statement::{RateLimit, RequestRate};

/// The frames of one form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frames {
    /// The compact form.
    pub form: u32,
    /// Messages by kind.
    pub frames: BTreeMap<String, Frame>,
}

/// One encoded message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// JSON frame, for a peer with unknown forms.
    pub json: Value,
    /// Compact frame in hexadecimal, for a peer that reads this form.
    pub compact: String,
}

impl Frame {
    /// The bytes of the JSON frame.
    pub fn json_bytes(&self) -> Vec<u8> {
        self.json.to_string().into_bytes()
    }

    /// The bytes of the compact frame; `None` if it is not valid hexadecimal.
    pub fn compact_bytes(&self) -> Option<Vec<u8>> {
        let pairs = self.compact.as_bytes().chunks(2);
        let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        pairs.map(byte).collect()
    }
}

/// Reason why no file was written.
#[derive(Debug, Snafu)]
pub enum FramesError {
    /// A message has no JSON form.
    #[snafu(display("messages can't be encoded as JSON: {source}"))]
    Encode {
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The file could not be written.
    #[snafu(display("{file}: {source}"))]
    Write {
        /// Path of the file.
        file: String,
        /// Underlying error.
        source: std::io::Error,
    },
}

/// Encodes all messages with this build.
pub fn own() -> Frames {
    let frames = messages().into_iter().map(|message| {
        let kind = message.kind().to_owned();
        let outgoing = Outgoing::new(message);
        let json = serde_json::from_slice(&outgoing.encode_for(None)).unwrap_or_default();
        let compact = outgoing.encode_for(Some(FORM));
        let compact = compact.iter().map(|byte| format!("{byte:02x}")).collect();
        (kind, Frame { json, compact })
    });
    Frames { form: FORM, frames: frames.collect() }
}

/// Writes the encoded messages of this build to a file.
pub fn write(file: &str) -> Result<(), FramesError> {
    let text = serde_json::to_string_pretty(&own()).context(EncodeSnafu)?;
    std::fs::write(file, text + "\n").context(WriteSnafu { file })
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 41], port))
}

fn name(name: &str) -> Name {
    name.into()
}

const fn job_id(number: u64) -> JobId {
    let gateway =
        SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 1, 0, 41)), 8_628);
    JobId { gateway, incarnation: 1_790_000_000_000_001, number }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: name("endpoint-1"),
        incarnation: 1_790_000_000_002,
        address: address(8_080),
        data_centre: name("hall-1"),
        labels: [("service".to_owned(), "llm".to_owned())].into_iter().collect(),
        slots: 64,
        leaving: true,
        cold_for: Duration::from_millis(1_500),
    }
}

fn route() -> Route {
    Route {
        name: name("route-1"),
        host: name("h.example"),
        path_prefix: name("/a/"),
        streams: true,
        repeat: Repeat::AtMostOnce,
        resumable: true,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(2_500),
        priority: 2,
        targets: vec![Target { pool: name("llm"), weight: 3 }],
        max_attempts: 2,
        stages: vec![StageSpec { pool: name("maker"), after: vec![0], result_bytes: 96_000 }],
        public: true,
        allowed_regions: vec![name("region-1")],
    }
}

fn pool(label: &str, work: Work) -> Pool {
    Pool {
        name: name(label),
        endpoints: Selector::parse(&format!("service={label}")).unwrap_or_default(),
        max_connections: 280,
        cold: Some(ColdStart { per_second: 10.0, duration: Duration::from_secs(3) }),
        work,
        health_path: Some(name(&format!("/{label}/health"))),
    }
}

fn deployment() -> Deployment {
    let batch = BatchSpec {
        slots: 1,
        pieces: 14,
        call_overhead: Duration::from_millis(240),
        piece_time: Duration::from_millis(15),
        result_memory_bytes: 1_500_000,
        result_retention: Duration::from_secs(4),
    };
    let engine = EngineSpec { slots: 64, memory_tokens: 509_358 };
    Deployment {
        version: 12,
        routes: vec![route()],
        pools: vec![
            pool("llm", Work::Engine(engine)),
            pool("maker", Work::Batch(batch)),
            pool("desk", Work::Plain),
        ],
        organisations: vec![Organisation {
            name: name("organisation-1"),
            keys: vec![name("key-1")],
            priority: Some(1),
            allowed_regions: vec![name("region-1")],
        }],
        limits: CallerLimits::default(),
    }
}

const fn position(revision: u64) -> Position {
    Position::new(2, revision)
}

fn stored_result() -> StoredResult {
    StoredResult { handle: name("10.1.64.7:8080/91bd3f06e44"), endpoint: name("endpoint-2") }
}

fn member() -> Member {
    Member {
        address: address(8_628),
        incarnation: 1_790_000_000_000_001,
        heartbeat: 300,
        state: MemberState::Serving,
        capacity: 190,
    }
}

fn state() -> GatewayState {
    let order =
        EvacuationChange { data_centre: name("hall-1"), position: position(31), in_force: true };
    let usage = Usage { endpoint: name("endpoint-2"), bytes: 96_000 };
    GatewayState {
        seen: Seen { version: 12, endpoints: position(345) },
        complete: true,
        usage: vec![usage],
        event_lag: Duration::from_millis(20),
        evacuations: Evacuations::from_read(&[order], position(40)),
        departures: vec![Departure::of(&endpoint())],
        limits: vec![limit()],
        era: 2,
        engine_loads: vec![shared_load()],
    }
}

fn shared_load() -> SharedLoad {
    SharedLoad {
        endpoint: name("endpoint-1"),
        incarnation: 1_790_000_000_002,
        load: Load { running: 40, waiting: 2, slots: 64, work_time_percent: Some(130) },
        age: Duration::from_millis(120),
    }
}

fn gossip() -> PeerMessage {
    let state = state();
    PeerMessage::Gossip {
        members: vec![member()],
        seen: state.seen,
        complete: state.complete,
        usage: state.usage,
        event_lag: state.event_lag,
        evacuations: state.evacuations,
        departures: state.departures,
        limits: state.limits,
        era: state.era,
    }
}

fn heartbeat() -> PeerMessage {
    let location = Location { data_centre: name("hall-1"), region: name("region-1") };
    let sender = MemberUpdate { member: member(), location, reads_fail: true, is_suspected: false };
    let suspected = MemberUpdate { is_suspected: true, ..sender.clone() };
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        sender,
        is_monitor: true,
        probe: Some(Probe::Reconnect),
        updates: vec![suspected],
        is_complete_list: true,
        members_digest: 0x7216_d334_0145_feea,
        store_age: Some(Duration::from_millis(730)),
        state: state(),
    }))
}

fn limit() -> AnnouncedLimit {
    AnnouncedLimit {
        endpoint: name("endpoint-2"),
        incarnation: 1_790_000_000_002,
        version: 3,
        limit: RateLimit::At(RequestRate::per_second(2.5)),
    }
}

fn submission() -> PeerMessage {
    let stage = JobStage {
        pool: name("maker"),
        after: vec![0],
        result_bytes: 96_000,
        pieces: 2,
        done: vec![stored_result()],
    };
    PeerMessage::Submit(Box::new(Job {
        id: job_id(7),
        request: name("9c41d07be2a35f68"),
        cell: name("stages"),
        route: name("route-1"),
        stages: vec![stage],
        key: Some(name("7c1e07a291bd")),
        to_objective: Duration::from_millis(2_400),
        to_deadline: Duration::from_millis(19_000),
        after_stages: Duration::from_millis(280),
        priority: 2,
        data_centre: name("hall-1"),
        allowed_regions: AllowedRegions::of(&[name("region-1")], &[]),
        resubmitted: true,
        fingerprint: Fingerprint::of_content("POST", "/a/b", b"body"),
        organisation: Some(name("organisation-1")),
    }))
}

fn suspects() -> Vec<AnnouncedSuspect> {
    let crash = Crash {
        endpoint: name("endpoint-1"),
        incarnation: 1_790_000_000_002,
        round: 2,
        alone: true,
    };
    let fingerprint = Fingerprint::of_content("POST", "/a/b", b"body");
    vec![AnnouncedSuspect { fingerprint, cleared: 1, age_s: 9, crashes: vec![crash] }]
}

fn origin() -> Origin {
    Origin { pool: name("llm"), version: Some(name("v1")) }
}

fn messages() -> Vec<PeerMessage> {
    let documents = vec![
        Revised {
            position: position(344),
            created_revision: 341,
            document: Document::Endpoint(Arc::new(endpoint())),
        },
        Revised {
            position: position(345),
            created_revision: 0,
            document: Document::Removed(name("endpoint-3")),
        },
    ];
    let deployment = Arc::new(deployment());
    vec![
        gossip(),
        PeerMessage::Pull {
            seen: Seen { version: 12, endpoints: position(345) },
            configuration: true,
            number: 4,
        },
        PeerMessage::configuration(position(344), deployment, 0),
        PeerMessage::NoConfiguration,
        PeerMessage::Documents {
            documents,
            complete: true,
            seen: 345,
            era: 2,
            verification: Some(Verification::Digest(ListDigest {
                entries: 1,
                positions: 0x1f3a_9c05_77e2_4b60,
            })),
        },
        submission(),
        PeerMessage::Accepted(job_id(7)),
        PeerMessage::Cancelled {
            job: job_id(7),
            reason: JobReason::NoRoom,
            not_started: true,
            retry_after: Duration::from_millis(400),
        },
        PeerMessage::StageDone { job: job_id(7), stage: 1, results: vec![stored_result()] },
        PeerMessage::Ready(job_id(7)),
        PeerMessage::Release(job_id(7)),
        PeerMessage::Suspects(suspects()),
        PeerMessage::AskSuspects(0x9416_d334_0145_fee9),
        PeerMessage::AskPermit {
            number: 9,
            limit: limit(),
            priority: 1,
            wait: Duration::from_millis(700),
        },
        PeerMessage::Permit { number: 9, granted: false, retry_after: Duration::from_millis(340) },
        heartbeat(),
        PeerMessage::StreamsBegan(vec![BegunStream {
            stream: name("9c41d07be2a35f68"),
            origin: origin(),
            expires_in: Duration::from_millis(14_300),
        }]),
        PeerMessage::AskOrigin { number: 11, stream: name("9c41d07be2a35f68"), pool: name("llm") },
        PeerMessage::StreamOrigin {
            number: 11,
            stream: name("9c41d07be2a35f68"),
            origin: Some(origin()),
            versions: vec![Some(name("v1")), Some(name("v1.1"))],
        },
        PeerMessage::SuspectParts(
            suspects()
                .into_iter()
                .map(|suspect| SuspectUpdate { depth: 1, suspected_for_ms: 900, suspect })
                .collect(),
        ),
        PeerMessage::AskSuspectParts(0x2c80_51f7_9e3d_04ab),
    ]
}
