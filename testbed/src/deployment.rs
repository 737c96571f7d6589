//! The two example deployments as configurations and stand-ins, at a configurable size.

use std::sync::Arc;
use std::time::Duration;

use stackmast::config::labels::Labels;
use stackmast::config::{
    Config, Effect, EndpointKind, Organisation, Pipeline, Placement, Policy, Rule, Selector, Stage,
};

use crate::engine::Speed;
use crate::service::Times;

/// Kind of a stand-in endpoint.
#[derive(Debug, Clone, Copy)]
pub enum StandIn {
    /// A plain service.
    Service(Times),
    /// A model engine.
    Engine(Speed),
}

/// Specification of an endpoint to start.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: String,
    /// Kind of the stand-in.
    pub stand_in: StandIn,
    /// Labels of the endpoint.
    pub labels: Labels,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Maximum number of concurrent calls from its agent.
    pub concurrency: u32,
}

impl EndpointSpec {
    /// Kind of the endpoint in the configuration.
    pub const fn kind(&self) -> EndpointKind {
        match self.stand_in {
            StandIn::Service(_) => EndpointKind::Service,
            StandIn::Engine(_) => EndpointKind::Engine,
        }
    }
}

/// A deployment: the configuration that operators publish, without addresses, and the endpoints to
/// start.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The configuration without endpoints.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
    /// Whether connections to agents and endpoints pass through fault proxies.
    pub proxied: bool,
}

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Replicas of each of the four services.
    pub service: usize,
    /// Replicas of the model.
    pub model: usize,
    /// Number of data centres.
    pub data_centres: usize,
}

/// Parses a selector that is known to be valid.
pub fn selector(text: &str) -> Selector {
    Selector::parse(text).expect("a selector of the test bench")
}

/// Builds labels from pairs.
pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect()
}

fn stage(name: &str, service: &str, may_repeat: bool, expected_ms: u64) -> Stage {
    Stage {
        name: name.to_owned(),
        endpoints: selector(&format!("service={service}")),
        may_repeat,
        expected_ms,
    }
}

fn pipeline(name: &str, deadline_ms: u64, priority: u8, stages: Vec<Stage>) -> Pipeline {
    Pipeline { name: name.to_owned(), deadline_ms, priority, stages }
}

/// Builds a pipeline from stages, each given as name, service, whether it may be repeated, and
/// expected time in milliseconds.
pub fn pipeline_of(
    name: &str,
    deadline_ms: u64,
    priority: u8,
    stages: &[(&str, &str, bool, u64)],
) -> Pipeline {
    let stages =
        stages.iter().map(|(name, service, repeat, ms)| stage(name, service, *repeat, *ms));
    pipeline(name, deadline_ms, priority, stages.collect())
}

fn four_stages(model: &str) -> Vec<Stage> {
    vec![
        stage("encode", "encoder", true, 10),
        stage("retrieve", "retriever", true, 10),
        stage("rerank", "reranker", true, 10),
        stage("generate", model, true, 100),
    ]
}

/// Five organisations, of which the first is large.
pub fn organisations(prefix: &str) -> Vec<Arc<Organisation>> {
    (0..5)
        .map(|i| Organisation {
            name: format!("{prefix}-{i}"),
            labels: labels(&[("size", if i == 0 { "large" } else { "small" })]),
        })
        .map(Arc::new)
        .collect()
}

fn endpoints(
    model: &str,
    services: &[&str],
    sizes: Sizes,
    times: Times,
    speed: Speed,
) -> Vec<EndpointSpec> {
    let centre = |i: usize| format!("dc-{}", i % sizes.data_centres);
    let mut specs = Vec::new();
    for service in services {
        for i in 0..sizes.service {
            specs.push(EndpointSpec {
                name: format!("{service}-{i}"),
                stand_in: StandIn::Service(times),
                labels: labels(&[("service", service), ("data-centre", &centre(i))]),
                data_centre: centre(i),
                concurrency: times.concurrency as u32,
            });
        }
    }
    for i in 0..sizes.model {
        let pool = if i % 2 == 1 { "batch" } else { "interactive" };
        specs.push(EndpointSpec {
            name: format!("{model}-{i}"),
            stand_in: StandIn::Engine(speed),
            labels: labels(&[("service", model), ("pool", pool), ("data-centre", &centre(i))]),
            data_centre: centre(i),
            concurrency: speed.batch as u32,
        });
    }
    specs
}

/// Call durations of the services of both deployments.
pub const SERVICE_TIMES: Times =
    Times { base: Duration::from_millis(5), per_kib: Duration::from_micros(500), concurrency: 8 };

/// The campsite keepers' association: short guest replies, refund notices, slot holds.
pub fn campsites(sizes: Sizes, times: Times, speed: Speed) -> Deployment {
    let notice = vec![
        stage("encode", "encoder", true, 10),
        stage("retrieve", "retriever", true, 10),
        stage("send", "notifier", false, 10),
    ];
    let config = Config {
        version: 1,
        pipelines: vec![
            pipeline("guest-reply", 2_000, 5, four_stages("llm")),
            pipeline("refund-notice", 1_000, 9, notice),
            pipeline("season-plan", 2_000, 1, four_stages("llm")),
        ],
        organisations: organisations("keepers"),
        rules: vec![
            Rule {
                name: "plans-run-in-batch".to_owned(),
                organisations: Selector::default(),
                requests: selector("kind=plan"),
                effect: Effect::Require {
                    stage: "generate".to_owned(),
                    endpoints: selector("pool=batch"),
                },
            },
            Rule {
                name: "guests-first".to_owned(),
                organisations: Selector::default(),
                requests: selector("caller=guest"),
                effect: Effect::Priority(8),
            },
        ],
        placements: vec![Placement {
            endpoints: selector("service=llm"),
            model: "guest".to_owned(),
            model_version: "1".to_owned(),
            adapters: vec!["bengali".to_owned()],
        }],
        ..Config::default()
    };
    let services = ["encoder", "retriever", "reranker", "notifier"];
    let endpoints = endpoints("llm", &services, sizes, times, speed);
    Deployment { config, endpoints, proxied: true }
}

/// The guild of rendering studios: long briefs, material schedules, client notes.
pub fn guild(sizes: Sizes, times: Times, speed: Speed) -> Deployment {
    let invoice = vec![
        stage("encode", "encoder", true, 10),
        stage("retrieve", "retriever", true, 10),
        stage("send", "invoicer", false, 10),
    ];
    let config = Config {
        version: 1,
        pipelines: vec![
            pipeline("walkthrough", 2_000, 5, four_stages("drafter")),
            pipeline("invoice", 1_000, 9, invoice),
        ],
        organisations: organisations("studio"),
        policy: Policy { cost_weight_ms: 5.0, ..Policy::default() },
        ..Config::default()
    };
    let services = ["encoder", "retriever", "reranker", "invoicer"];
    let endpoints = endpoints("drafter", &services, sizes, times, speed);
    Deployment { config, endpoints, proxied: true }
}

/// Data centres of the projected configuration.
const DATA_CENTRES: usize = 7;
/// Pipelines of the projected configuration.
const PIPELINES: usize = 24;
/// Models of the projected configuration.
const MODELS: usize = 21;

/// Builds a configuration of the size that is projected for two years from now.
pub fn projected_config(endpoints: usize, organisations: usize) -> Config {
    let services = ["encoder", "retriever", "reranker"];
    let kinds = MODELS + services.len();
    let endpoint = |i: usize| {
        let kind = i % kinds;
        let is_model = kind < MODELS;
        let service =
            if is_model { format!("model-{kind}") } else { services[kind - MODELS].to_owned() };
        let centre = format!("dc-{}", i / kinds % DATA_CENTRES);
        stackmast::config::Endpoint {
            name: format!("endpoint-{i}"),
            kind: if is_model { EndpointKind::Engine } else { EndpointKind::Service },
            agent: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 9_000).into(),
            data_centre: centre.clone(),
            labels: labels(&[("service", &service), ("data-centre", &centre), ("pool", "shared")]),
            concurrency: 16,
            cost: 1.0,
            leaving: false,
        }
    };
    let pipelines = (0..PIPELINES).map(|i| {
        let model = format!("model-{}", i % MODELS);
        pipeline(&format!("pipeline-{i}"), 2_000, (i % 4) as u8, four_stages(&model))
    });
    let rules = (0..50).map(|i| Rule {
        name: format!("rule-{i}"),
        organisations: selector(&format!("tier=tier-{}", i % 10)),
        requests: selector(if i % 2 == 0 { "kind=plan" } else { "caller=guest" }),
        effect: Effect::Priority((i % 8) as u8),
    });
    let limits = (0..10).map(|i| stackmast::config::Limit {
        name: format!("limit-{i}"),
        organisations: selector(&format!("tier=tier-{i}")),
        requests: Selector::default(),
        per_second: 1_000.0,
        burst: 2_000.0,
    });
    let organisation = |i: usize| Organisation {
        name: format!("organisation-{i}"),
        labels: labels(&[
            ("tier", &format!("tier-{}", i % 10)),
            ("region", &format!("r-{}", i % 3)),
        ]),
    };
    Config {
        version: 1,
        pipelines: pipelines.collect(),
        endpoints: (0..endpoints).map(endpoint).map(Arc::new).collect(),
        organisations: (0..organisations).map(organisation).map(Arc::new).collect(),
        rules: rules.collect(),
        limits: limits.collect(),
        ..Config::default()
    }
}
