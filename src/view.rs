//! A configuration compiled for one process: pools, endpoint subsets and indexes, built once for
//! each version.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::config::{
    Config, Effect, Endpoint, Labels, Name, Organisation, Pipeline, Rule, Selector, Stage,
};

/// The share of a subset that is filled from the process's own data centre, as far as it has enough
/// endpoints.
const LOCAL_SHARE: f64 = 0.75;

/// Location of the process that compiles a view; subsets and distances depend on it.
#[derive(Debug, Clone)]
pub struct Location {
    /// Host name of the process.
    pub host: String,
    /// Data centre of the process.
    pub data_centre: Name,
}

/// The endpoints that this process uses for a selector.
#[derive(Debug)]
pub struct Pool {
    /// Pool key: xxh3-64 of the selector.
    pub key: u64,
    /// The selector of the stage, followed by that of the `require` rule if one applies.
    pub selector: String,
    /// The subset of matching endpoints that this process uses.
    pub members: Vec<Arc<Endpoint>>,
    /// Number of endpoints in the fleet that match the selector.
    pub matching: usize,
    /// Number of matching endpoints that the configuration marks as leaving.
    pub leaving: usize,
}

/// A stage with its pools.
#[derive(Debug)]
pub struct StageView {
    /// The stage as published.
    pub stage: Stage,
    /// Key of the stage in time estimates: xxh3-64 of `pipeline/stage`.
    pub key: u64,
    /// The pool used when no `require` rule applies.
    pub pool: Arc<Pool>,
    /// The pools of the `require` rules for this stage, each with the rule's index.
    pub required: Vec<(usize, Arc<Pool>)>,
}

/// A pipeline with its stages.
#[derive(Debug)]
pub struct PipelineView {
    /// The pipeline as published.
    pub pipeline: Pipeline,
    /// The compiled stages, in execution order.
    pub stages: Vec<StageView>,
}

/// A compiled configuration.
#[derive(Debug)]
pub struct View {
    /// The configuration.
    pub config: Arc<Config>,
    /// Digest of the configuration's manifest.
    pub digest: String,
    /// Location of the process that compiled the view.
    pub location: Location,
    pipelines: HashMap<Name, Arc<PipelineView>>,
    /// Indexes into the configuration's organisations, sorted by name.
    organisations: Vec<u32>,
}

impl View {
    /// Compiles a checked configuration.
    pub fn new(config: Arc<Config>, digest: String, location: Location) -> Self {
        let mut pools = Pools { config: &config, location: &location, compiled: HashMap::new() };
        let pipelines = config
            .pipelines
            .iter()
            .map(|p| (p.name.clone(), Arc::new(compile(p, &config, &mut pools))))
            .collect();
        let mut organisations: Vec<u32> = (0..config.organisations.len() as u32).collect();
        let name = |i: &u32| config.organisations[*i as usize].name.as_str();
        organisations.sort_unstable_by(|a, b| name(a).cmp(name(b)));
        Self { config, digest, location, pipelines, organisations }
    }

    /// Looks up a pipeline by name.
    pub fn pipeline(&self, name: &str) -> Option<&Arc<PipelineView>> {
        self.pipelines.get(name)
    }

    /// Looks up an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        let at = |i: u32| &self.config.organisations[i as usize];
        let found = self.organisations.binary_search_by(|i| at(*i).name.as_str().cmp(name)).ok()?;
        Some(at(self.organisations[found]))
    }

    /// Every endpoint that is a member of at least one pool, without duplicates, sorted by name.
    pub fn endpoints_in_use(&self) -> Vec<Arc<Endpoint>> {
        let stages = self.pipelines.values().flat_map(|p| &p.stages);
        let pools = stages.flat_map(|s| s.required.iter().map(|(_, p)| p).chain([&s.pool]));
        let mut endpoints: Vec<_> = pools.flat_map(|p| p.members.iter().cloned()).collect();
        endpoints.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        endpoints.dedup_by(|a, b| a.name == b.name);
        endpoints
    }

    /// The rules that match an organisation's and a request's labels, in order, with their indexes.
    pub fn rules<'a>(
        &'a self,
        organisation: &'a Labels,
        request: &'a Labels,
    ) -> impl Iterator<Item = (usize, &'a Rule)> {
        let matches =
            |r: &Rule| r.organisations.matches(organisation) && r.requests.matches(request);
        self.config.rules.iter().enumerate().filter(move |(_, r)| matches(r))
    }
}

impl StageView {
    /// The pool of the first matching `require` rule for this stage and the rule's index, or the
    /// stage's default pool.
    pub fn pool_for_rules(&self, matching: &[usize]) -> (&Arc<Pool>, Option<usize>) {
        let required = self.required.iter().find(|(rule, _)| matching.contains(rule));
        match required {
            Some((rule, pool)) => (pool, Some(*rule)),
            None => (&self.pool, None),
        }
    }
}

fn compile(pipeline: &Pipeline, config: &Config, pools: &mut Pools<'_>) -> PipelineView {
    let stages = pipeline.stages.iter().map(|stage| {
        let required = config.rules.iter().enumerate().filter_map(|(i, rule)| match &rule.effect {
            Effect::Require { stage: name, endpoints: only } if *name == stage.name => {
                Some((i, pools.pool(stage, Some(only))))
            }
            _ => None,
        });
        let required = required.collect();
        StageView {
            stage: stage.clone(),
            key: xxh3_64(format!("{}/{}", pipeline.name, stage.name).as_bytes()),
            pool: pools.pool(stage, None),
            required,
        }
    });
    PipelineView { pipeline: pipeline.clone(), stages: stages.collect() }
}

/// Cache of the compiled pools; stages with equal selectors share one.
struct Pools<'a> {
    config: &'a Config,
    location: &'a Location,
    compiled: HashMap<String, Arc<Pool>>,
}

impl Pools<'_> {
    fn pool(&mut self, stage: &Stage, only: Option<&Selector>) -> Arc<Pool> {
        let selector = match only {
            Some(only) => format!("{},{only}", stage.endpoints),
            None => stage.endpoints.to_string(),
        };
        if let Some(pool) = self.compiled.get(&selector) {
            return pool.clone();
        }
        let matches = |e: &&Arc<Endpoint>| {
            stage.endpoints.matches(&e.labels) && only.is_none_or(|s| s.matches(&e.labels))
        };
        let matching: Vec<_> = self.config.endpoints.iter().filter(matches).collect();
        let serving: Vec<_> = matching.iter().filter(|e| !e.leaving).copied().collect();
        let pool = Arc::new(Pool {
            key: xxh3_64(selector.as_bytes()),
            selector: selector.clone(),
            matching: matching.len(),
            leaving: matching.len() - serving.len(),
            members: subset(serving, self.config.policy.subset, self.location),
        });
        self.compiled.insert(selector, pool.clone());
        pool
    }
}

/// Selects `size` endpoints by rendezvous hashing, so that a host keeps its members when other
/// endpoints are added or removed. Local endpoints are selected first, up to [`LOCAL_SHARE`].
fn subset(endpoints: Vec<&Arc<Endpoint>>, size: usize, location: &Location) -> Vec<Arc<Endpoint>> {
    if endpoints.len() <= size {
        return endpoints.into_iter().cloned().collect();
    }
    let seed = xxh3_64(location.host.as_bytes());
    let mut ranked: Vec<_> =
        endpoints.into_iter().map(|e| (xxh3_64_with_seed(e.name.as_bytes(), seed), e)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let local_size = (size as f64 * LOCAL_SHARE) as usize;
    let local = |e: &Endpoint| e.data_centre == location.data_centre;
    let mut members: Vec<_> =
        ranked.iter().filter(|(_, e)| local(e)).take(local_size).map(|(_, e)| *e).collect();
    for (_, endpoint) in &ranked {
        if members.len() == size {
            break;
        }
        if !members.iter().any(|m| m.name == endpoint.name) {
            members.push(endpoint);
        }
    }
    members.into_iter().cloned().collect()
}
