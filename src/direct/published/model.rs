//! What operators publish for endpoints that are called directly: routes, pools, organisations.
//!
//! Pools are selectors over the labels of endpoints, as everywhere in the product; a route names the
//! pools that may run its request and the graph of stages that come before it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::{Labels, Selector};

/// The name of a pool, route, organisation or data centre.
pub type Name = Arc<str>;

/// One whole published configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Deployment {
    /// Grows with every publication; never goes back in a process.
    pub version: u64,
    /// Where requests may go.
    pub routes: Vec<Route>,
    /// Groups of endpoints.
    pub pools: Vec<Pool>,
    /// Who may call.
    pub organisations: Vec<Organisation>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// Whether a request of a route may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// Never, without a proof that it did not run.
    AtMostOnce,
}

/// Which requests go where, and within which bounds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Shown in explanations.
    pub name: Name,
    /// The host that callers name; empty for any.
    pub host: Name,
    /// The start of the paths that belong here; the longest that fits decides.
    pub path_prefix: Name,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Whether a run may be made again.
    pub repeat: Repeat,
    /// Whether a stream may go on at another endpoint after its last event.
    pub resumable: bool,
    /// The longest time that a request is held.
    pub timeout: Duration,
    /// The time until the answer, or its first event, that counts as good.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Pools that run the request, with weights.
    pub targets: Vec<Target>,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Work that must be done before, as a graph.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions that its requests may be run in; any where there are none.
    #[serde(default)]
    pub homes: Vec<Name>,
}

/// One of the pools of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The pool's name.
    pub pool: Name,
    /// Its share among the targets.
    pub weight: u32,
}

/// One stage before a request's run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageSpec {
    /// The pool whose endpoints make its pieces.
    pub pool: Name,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// About how many bytes one result fills at its maker.
    pub result_bytes: u64,
}

/// Endpoints of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name.
    pub name: Name,
    /// Which endpoints belong to it.
    pub endpoints: Selector,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// What an endpoint bears that has just started, where that is less than usual.
    #[serde(default)]
    pub cold: Option<ColdStart>,
    /// What it runs.
    pub work: Work,
}

/// What an endpoint bears until it is warm.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests a second, from all gateways together.
    pub per_second: f64,
    /// How long it is cold after its start.
    pub lasts: Duration,
}

/// What the endpoints of a pool run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// One request, one answer.
    Plain,
    /// Generation by a model engine.
    Engine(EngineSpec),
    /// Calls that hold pieces of many requests.
    Batch(BatchSpec),
}

/// What a model engine can do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

/// What an endpoint that works in batches can do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Calls at work at once.
    pub slots: u32,
    /// Pieces in a call at most.
    pub pieces: usize,
    /// Time of a call besides its pieces.
    pub call: Duration,
    /// About how long one piece takes.
    pub piece: Duration,
    /// Bytes for results.
    pub room_bytes: u64,
    /// How long a result that is not freed is kept after its call.
    pub kept: Duration,
}

/// Who may call, and with which keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name.
    pub name: Name,
    /// The keys that prove it.
    pub keys: Vec<Name>,
    /// Its priority, where it has one of its own.
    pub priority: Option<u8>,
    /// Regions that its requests may be run in; any where there are none.
    #[serde(default)]
    pub homes: Vec<Name>,
}

/// Bounds on what a caller sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a head.
    pub head_timeout: Duration,
    /// Time that a connection may rest.
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

/// A back end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique among those that are there.
    pub id: Name,
    /// Its life, by the time of its start; in another one it holds and knows nothing of this one. 0 where it
    /// does not tell: then a new life has a new id.
    #[serde(default)]
    pub incarnation: u64,
    /// Where it is called.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// What selectors see.
    pub labels: Labels,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much longer it was cold when it told so; zero where it was warm.
    #[serde(default)]
    pub cold: Duration,
}

/// What is wrong with a configuration.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Problem {
    /// A name that nothing has.
    #[snafu(display("{place}: there is no pool {pool:?}"))]
    UnknownPool {
        /// Where it is named.
        place: String,
        /// The name.
        pool: Name,
    },
    /// A stage that needs itself, a later one or none that exists.
    #[snafu(display("route {route}: stage {stage} needs stage {needs}, which is not before it"))]
    StageOrder {
        /// The route.
        route: Name,
        /// The stage.
        stage: usize,
        /// What it needs.
        needs: usize,
    },
    /// A route that goes nowhere.
    #[snafu(display("route {route} has no target with a weight"))]
    NoTarget {
        /// The route.
        route: Name,
    },
}

impl Deployment {
    /// Everything that is wrong, at once.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for route in &self.routes {
            if route.targets.iter().all(|t| t.weight == 0) {
                problems.push(Problem::NoTarget { route: route.name.clone() });
            }
            let targets = route.targets.iter().map(|t| &t.pool);
            for pool in targets.chain(route.stages.iter().map(|s| &s.pool)) {
                if !self.pools.iter().any(|p| p.name == *pool) {
                    let place = format!("route {}", route.name);
                    problems.push(Problem::UnknownPool { place, pool: pool.clone() });
                }
            }
            for (i, stage) in route.stages.iter().enumerate() {
                for &needs in stage.after.iter().filter(|&&a| a >= i) {
                    let route = route.name.clone();
                    problems.push(Problem::StageOrder { route, stage: i, needs });
                }
            }
        }
        problems
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| &*p.name == name)
    }
}

impl Route {
    /// Positions of the stages that no other comes after.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|i| !self.stages.iter().any(|s| s.after.contains(i)))
    }
}
