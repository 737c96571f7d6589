//! Small deployments and jobs for tests of the cores that call endpoints directly.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod eras;
pub mod fakes;
pub mod gateway;
pub mod group;
pub mod limits;
pub mod lists;
pub mod orders;
pub mod poison;
pub mod publisher;
pub mod recount;
pub mod statements;
pub mod status_headers;
pub mod stops;
pub mod timeline;
pub mod world;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use stackmast::config::Selector;
use stackmast::direct::peers::message::{Job, JobId, JobStage};
use stackmast::direct::poison::fingerprint::Fingerprint;
use stackmast::direct::published::model::{
    BatchSpec, CallerLimits, Deployment, Endpoint, EngineSpec, Name, Organisation, Pool, Repeat,
    Route, StageSpec, Target, Work,
};
use stackmast::direct::published::position::Position;
use stackmast::direct::published::regions::AllowedRegions;
use stackmast::direct::published::software::VERSION_LABEL;
use stackmast::direct::published::table::Table;

pub const CALL: Duration = Duration::from_millis(240);
pub const PIECE: Duration = Duration::from_millis(10);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Position in a store without an era.
pub const fn position(revision: u64) -> Position {
    Position::new(0, revision)
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn pool(name: &str, work: Work) -> Pool {
    let endpoints = Selector::parse(&format!("service={name}")).expect("a selector");
    let (max_connections, cold, health_path) = (100, None, None);
    Pool { name: name.into(), endpoints, max_connections, cold, work, health_path }
}

pub fn batch(pieces: usize, result_memory_bytes: u64) -> Work {
    let result_retention = Duration::from_secs(4);
    Work::Batch(BatchSpec {
        slots: 1,
        pieces,
        call_overhead: CALL,
        piece_time: PIECE,
        result_memory_bytes,
        result_retention,
    })
}

pub fn endpoint(service: &str, number: u16) -> Arc<Endpoint> {
    let id: Name = format!("{service}-{number}").into();
    let labels = [("service".to_owned(), service.to_owned())].into_iter().collect();
    let data_centre = format!("hall-{}", number % 2).into();
    let address = address(9_000 + number);
    let (incarnation, cold_for) = (0, Duration::ZERO);
    Arc::new(Endpoint {
        id,
        incarnation,
        address,
        data_centre,
        labels,
        slots: 4,
        leaving: false,
        cold_for,
    })
}

/// An engine of a software version, on a host of its own.
pub fn engine_of(version: &str, number: u16) -> Arc<Endpoint> {
    let mut engine = (*endpoint("engine", number)).clone();
    engine.labels.insert(VERSION_LABEL.to_owned(), version.to_owned());
    engine
        .address
        .set_ip(Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 64, 0, 0)) + u32::from(number)).into());
    Arc::new(engine)
}

/// A route over the pool "engine"; each of `stages` is (pool, stages before it, result bytes).
pub fn route(name: &str, repeat: Repeat, stages: &[(&str, &[usize], u64)]) -> Route {
    Route {
        name: name.into(),
        host: "h.example".into(),
        path_prefix: format!("/{name}/").into(),
        streams: false,
        repeat,
        resumable: false,
        timeout: Duration::from_secs(10),
        objective: Duration::from_secs(2),
        priority: 0,
        targets: vec![Target { pool: "engine".into(), weight: 1 }],
        max_attempts: 2,
        stages: stages
            .iter()
            .map(|(pool, after, bytes)| StageSpec {
                pool: (*pool).into(),
                after: after.to_vec(),
                result_bytes: *bytes,
            })
            .collect(),
        public: false,
        allowed_regions: Vec::new(),
    }
}

pub fn deployment(version: u64, routes: Vec<Route>) -> Deployment {
    let engine = EngineSpec { slots: 8, memory_tokens: 100_000 };
    Deployment {
        version,
        routes,
        pools: vec![
            pool("first", batch(4, 1_000)),
            pool("second", batch(4, 1_000)),
            pool("third", batch(4, 1_000)),
            pool("engine", Work::Engine(engine)),
        ],
        organisations: vec![Organisation {
            name: "org".into(),
            keys: vec!["key".into()],
            priority: None,
            allowed_regions: Vec::new(),
        }],
        limits: CallerLimits::default(),
    }
}

/// Two endpoints in each pool.
pub fn endpoints() -> Vec<Arc<Endpoint>> {
    let pools = ["first", "second", "third", "engine"];
    pools.iter().flat_map(|p| [endpoint(p, 1), endpoint(p, 2)]).collect()
}

pub fn table(routes: Vec<Route>) -> Table {
    Table::new(Arc::new(deployment(1, routes)), endpoints().iter())
}

pub fn job_id(number: u64) -> JobId {
    JobId { gateway: address(1), incarnation: 1, number }
}

/// A job with `pieces` pieces in each of the route's stages.
pub fn job(number: u64, route: &Route, pieces: usize) -> Job {
    let stages = route.stages.iter().map(|s| JobStage {
        pool: s.pool.clone(),
        after: s.after.clone(),
        result_bytes: s.result_bytes,
        pieces,
        done: Vec::new(),
    });
    Job {
        id: job_id(number),
        request: format!("request-{number}").into(),
        cell: "stages".into(),
        route: route.name.clone(),
        stages: stages.collect(),
        key: Some("k".into()),
        to_objective: Duration::from_secs(2),
        to_deadline: Duration::from_secs(10),
        after_stages: ms(100),
        priority: 0,
        data_centre: "hall-1".into(),
        allowed_regions: AllowedRegions::default(),
        resubmitted: false,
        fingerprint: Fingerprint::of_content("POST", &number.to_string(), b""),
        organisation: Some("org".into()),
    }
}
