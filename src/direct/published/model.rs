//! The configuration that operators publish for endpoints that are called directly: routes, pools
//! and organisations.
//!
//! A pool selects endpoints by their labels. A route names the pools that may run its requests, and
//! the graph of stages that runs first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::{Labels, Selector};

/// The name of a pool, route, organisation or data centre.
pub type Name = Arc<str>;

/// One complete published configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Deployment {
    /// Increases with every publication; a process never goes back to a lower version.
    pub version: u64,
    /// Rules that map requests to pools.
    pub routes: Vec<Route>,
    /// Groups of endpoints.
    pub pools: Vec<Pool>,
    /// Organisations whose callers are accepted.
    pub organisations: Vec<Organisation>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
}

/// Whether a request of a route may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may be run any number of times.
    Idempotent,
    /// The request may be run again only with proof that it did not run.
    AtMostOnce,
}

/// Maps requests to pools, with the limits that apply to them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, shown in explanations.
    pub name: Name,
    /// The host that callers name; empty for any.
    pub host: Name,
    /// Prefix of the request paths; of several matching routes the longest prefix wins.
    pub path_prefix: Name,
    /// Whether responses are event streams.
    pub streams: bool,
    /// Whether a request may be run again.
    pub repeat: Repeat,
    /// Whether a stream may be resumed at another endpoint after its last event.
    pub resumable: bool,
    /// Maximum time for which a request is held.
    pub timeout: Duration,
    /// Target time until the response, or until its first event.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Pools that run the request, with weights.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Graph of the stages that must be done before the request runs.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions in which the requests may run; empty for all regions.
    #[serde(default)]
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<Name>,
}

/// One of the pools of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the pool.
    pub pool: Name,
    /// The pool's share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One stage that precedes a request's run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageSpec {
    /// The pool whose endpoints run the pieces of the stage.
    pub pool: Name,
    /// Indexes of the stages whose results the stage needs.
    pub after: Vec<usize>,
    /// Expected size of one result at the endpoint that produced it, in bytes.
    pub result_bytes: u64,
}

/// Endpoints of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Selects the pool's endpoints by their labels.
    pub endpoints: Selector,
    /// Connections that one endpoint accepts, summed over all callers.
    pub max_connections: u32,
    /// The lower load limit of an endpoint that has just started, if there is one.
    #[serde(default)]
    pub cold: Option<ColdStart>,
    /// The kind of work that the endpoints run.
    pub work: Work,
    /// Path of the endpoints' health check, which names the endpoint that answers; `None` if the
    /// gateway does not know it. Gateways send it beside the configuration, since a field of its
    /// own here would change how each pool is encoded.
    #[serde(skip)]
    pub health_path: Option<Name>,
}

/// Load limit of an endpoint until it is warm.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests per second, summed over all gateways.
    pub per_second: f64,
    /// Time from the endpoint's start until it is warm.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// The kind of work that the endpoints of a pool run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// One response per request.
    Plain,
    /// Text generation by a model engine.
    Engine(EngineSpec),
    /// Calls that hold pieces of many requests.
    Batch(BatchSpec),
}

/// Capacity of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Tokens that fit into the engine's memory.
    pub memory_tokens: u64,
}

/// Capacity and expected timing of an endpoint that runs batch calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Calls that run concurrently.
    pub slots: u32,
    /// Maximum number of pieces in a call.
    pub pieces: usize,
    /// Fixed time of a call, in addition to its pieces.
    #[serde(rename = "call")]
    pub call_overhead: Duration,
    /// Expected time for one piece.
    #[serde(rename = "piece")]
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    #[serde(rename = "room_bytes")]
    pub result_memory_bytes: u64,
    /// Time after its call for which a result that is not released is kept.
    #[serde(rename = "kept")]
    pub result_retention: Duration,
}

impl BatchSpec {
    /// Specified duration of a call with `pieces` pieces.
    pub fn call_with(&self, pieces: usize) -> Duration {
        self.call_overhead + self.piece_time * pieces as u32
    }

    /// Specified duration of a full call.
    pub fn full_call(&self) -> Duration {
        self.call_with(self.pieces)
    }
}

/// An organisation whose callers are accepted, and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Keys that identify the organisation's callers.
    pub keys: Vec<Name>,
    /// Priority of the organisation's requests, if it differs from that of the route.
    pub priority: Option<u8>,
    /// Regions in which the organisation's requests may run; empty for all regions.
    #[serde(default)]
    #[serde(rename = "homes")]
    pub allowed_regions: Vec<Name>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request's headers.
    pub head_timeout: Duration,
    /// Time limit for an idle connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A back end that runs requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique among the endpoints that are currently listed.
    pub id: Name,
    /// Incarnation, derived from the time of the endpoint's start. A new incarnation keeps no state
    /// of the previous one. 0 if the endpoint does not report it; a restarted endpoint then has a
    /// new id.
    #[serde(default)]
    pub incarnation: u64,
    /// Address for calls.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: Name,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
    /// Remaining time until the endpoint is warm, as of its report; zero if it was warm.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub cold_for: Duration,
}

/// An error in a configuration.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A route or stage names a pool that does not exist.
    #[snafu(display("{place}: there is no pool {pool:?}"))]
    UnknownPool {
        /// The route that names the pool.
        place: String,
        /// The name that no pool has.
        pool: Name,
    },
    /// A stage depends on itself, on a later stage or on one that does not exist.
    #[snafu(display("route {route}: stage {stage} needs stage {needs}, which is not before it"))]
    StageOrder {
        /// Name of the route.
        route: Name,
        /// Index of the stage.
        stage: usize,
        /// Index of the stage that it depends on.
        needs: usize,
    },
    /// A route without a target that has a positive weight.
    #[snafu(display("route {route} has no target with a weight"))]
    NoTarget {
        /// Name of the route.
        route: Name,
    },
}

impl Deployment {
    /// Returns all errors in the configuration.
    pub fn check(&self) -> Vec<ConfigurationError> {
        let mut errors = Vec::new();
        for route in &self.routes {
            if route.targets.iter().all(|t| t.weight == 0) {
                errors.push(ConfigurationError::NoTarget { route: route.name.clone() });
            }
            let targets = route.targets.iter().map(|t| &t.pool);
            for pool in targets.chain(route.stages.iter().map(|s| &s.pool)) {
                if !self.pools.iter().any(|p| p.name == *pool) {
                    let place = format!("route {}", route.name);
                    errors.push(ConfigurationError::UnknownPool { place, pool: pool.clone() });
                }
            }
            for (i, stage) in route.stages.iter().enumerate() {
                for &needs in stage.after.iter().filter(|&&a| a >= i) {
                    let route = route.name.clone();
                    errors.push(ConfigurationError::StageOrder { route, stage: i, needs });
                }
            }
        }
        errors
    }

    /// Paths of health checks, one for each pool in the order of the pools.
    pub fn health_paths(&self) -> Vec<Option<Name>> {
        self.pools.iter().map(|pool| pool.health_path.clone()).collect()
    }

    /// Sets the paths of health checks, in the order of the pools; pools beyond the list keep
    /// theirs.
    pub fn with_health_paths(self: Arc<Self>, paths: Vec<Option<Name>>) -> Arc<Self> {
        let mut deployment = Arc::unwrap_or_clone(self);
        for (pool, path) in deployment.pools.iter_mut().zip(paths) {
            pool.health_path = path;
        }
        Arc::new(deployment)
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| &*p.name == name)
    }
}

impl Route {
    /// Indexes of the stages on which no other stage depends.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|i| !self.stages.iter().any(|s| s.after.contains(i)))
    }
}
