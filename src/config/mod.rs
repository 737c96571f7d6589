//! The configuration that operators publish: its data model, and submodules that validate, split
//! and compare it.

pub mod check;
pub mod diff;
pub mod labels;
pub mod parts;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use labels::{Labels, Selector, SelectorError};

/// Name of an item of the configuration, such as an endpoint, organisation, pipeline or rule.
pub type Name = String;

/// A complete configuration; operators write it as one JSON document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Increases with every publication; a process never returns to a lower version.
    pub version: u64,
    /// Pipelines that callers can request.
    pub pipelines: Vec<Pipeline>,
    /// All endpoints of the fleet.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// All organisations that may send requests.
    pub organisations: Vec<Arc<Organisation>>,
    /// Rules in order of precedence: for each kind of effect the first matching rule applies.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Rate limits of organisations.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Models and adapters to be loaded by engines.
    #[serde(default)]
    pub placements: Vec<Placement>,
    /// Parameters of admission and routing.
    #[serde(default)]
    pub policy: Policy,
}

/// A named sequence of stages that callers can request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Name of the pipeline in the request path.
    pub name: Name,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Default priority of the pipeline's requests; agents run queued requests of a higher priority
    /// first.
    #[serde(default)]
    pub priority: u8,
    /// Stages in execution order; each one receives the result of the previous one.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage, such as `encode`; sent to the endpoint.
    pub name: Name,
    /// Selects the endpoints that may run this stage.
    pub endpoints: Selector,
    /// Whether a call of this stage may be repeated when its outcome is unknown.
    #[serde(default)]
    pub may_repeat: bool,
    /// Assumed duration of this stage until one has been measured, in milliseconds.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: u64,
}

fn default_expected_ms() -> u64 {
    20
}

/// Kind of an endpoint, which determines the protocol that its agent uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A plain HTTP service with one response per call.
    Service,
    /// A model engine with streamed results, which can be resumed and cancelled by attempt.
    Engine,
}

/// A back end, reached through the agent that runs beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint, unique in the configuration.
    pub name: Name,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// IP address and port of the endpoint's agent.
    pub agent: std::net::SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: Name,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Number of calls that the endpoint runs concurrently.
    pub concurrency: u32,
    /// Relative cost of one second of work at this endpoint.
    #[serde(default = "default_cost")]
    pub cost: f64,
    /// Whether the endpoint is being taken out of service and receives no new work.
    #[serde(default)]
    pub leaving: bool,
}

fn default_cost() -> f64 {
    1.0
}

/// A customer of the operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name that callers send with their requests.
    pub name: Name,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
}

/// A rule that applies an effect to matching requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name that is shown in explanations.
    pub name: Name,
    /// Selects the organisations to which the rule applies.
    #[serde(default)]
    pub organisations: Selector,
    /// Selects the requests to which the rule applies, by their labels.
    #[serde(default)]
    pub requests: Selector,
    /// Effect on matching requests.
    pub effect: Effect,
}

/// Effect of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Effect {
    /// Refuse the request before any stage runs.
    Refuse,
    /// Replace the pipeline's priority for the request.
    Priority(u8),
    /// Restrict a stage to some of its endpoints.
    Require {
        /// Name of the stage.
        stage: Name,
        /// Selects the endpoints that may still run the stage.
        endpoints: Selector,
    },
}

/// A rate limit that applies separately to each matching organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name that is shown in explanations.
    pub name: Name,
    /// Selects the organisations to which the limit applies.
    #[serde(default)]
    pub organisations: Selector,
    /// Selects the requests that are counted, by their labels.
    #[serde(default)]
    pub requests: Selector,
    /// Requests per second, over the whole fleet.
    pub per_second: f64,
    /// Largest burst of requests, over the whole fleet.
    pub burst: f64,
}

/// A model and its adapters that the engines matched by a selector load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Selects the engines.
    pub endpoints: Selector,
    /// Name of the model.
    pub model: Name,
    /// Version of the model.
    pub model_version: Name,
    /// Names of the adapters to be loaded in addition to the model.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// Algorithm that chooses the endpoint of a stage; all but `Predicted` are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// The best predicted completion time among a sample of candidates.
    #[default]
    Predicted,
    /// A random endpoint.
    Random,
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest attempts of this gateway in flight.
    LeastInFlight,
    /// The one of two random endpoints with fewer attempts of this gateway in flight.
    TwoChoices,
}

/// Parameters of admission and routing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Algorithm that chooses the endpoint of a stage.
    pub routing: Routing,
    /// Whether a request that is predicted to miss its deadline is refused before its first stage.
    pub admission: bool,
    /// Milliseconds of predicted completion time that one unit of cost is worth; at 0 only the time
    /// is compared.
    pub cost_weight_ms: f64,
    /// Number of candidates that are compared for each stage.
    pub compared: usize,
    /// Maximum number of endpoints of each pool that a gateway uses.
    pub subset: usize,
    /// Retries that each first attempt adds to the retry budget, as a fraction.
    pub retry_fraction: f64,
    /// One-way network delay between data centres, in milliseconds.
    pub remote_ms: f64,
    /// Share of the remaining time that a stage may wait in one agent's queue before the attempt is
    /// revoked.
    pub patience: f64,
    /// Number of engines in the fleet that may start loading a model per second, bounded by the
    /// weight store's rate.
    pub loads_per_second: f64,
    /// Largest share of a pool that may be excluded as suspected at once.
    pub suspected_fraction: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: Routing::Predicted,
            admission: true,
            cost_weight_ms: 0.0,
            compared: 3,
            subset: 20,
            retry_fraction: 0.1,
            remote_ms: 0.5,
            patience: 0.5,
            loads_per_second: 10.0,
            suspected_fraction: 0.5,
        }
    }
}
