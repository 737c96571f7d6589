//! Limits of the figures of a configuration: sums and products of what is within them fit into their
//! types, and points in time that they lead to can be represented.
//!
//! A figure beyond its limit is set to it, so one odd figure does not invalidate the rest.

use std::time::Duration;

use crate::direct::published::model::{
    BatchSpec, CallerLimits, ColdStart, Deployment, EngineSpec, Pool, Route, Work,
};

/// Maximum of each duration.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3_600);
/// Maximum size of one result, and of the memory for results, in bytes.
const MAX_RESULT_BYTES: u64 = 1 << 40;
/// Maximum memory of an engine in tokens.
const MAX_TOKENS: u64 = 1 << 40;
/// Maximum size of the head or the body of a caller's request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 30;
/// Maximum number of slots of an endpoint.
const MAX_SLOTS: u32 = 1 << 16;
/// Maximum number of pieces in a call.
const MAX_PIECES: usize = 1 << 16;
/// Maximum weight of a target.
const MAX_WEIGHT: u32 = 1 << 20;
/// Maximum number of requests per second to an endpoint that has just started.
const MAX_RATE: f64 = 1e9;

/// Sets each figure that is beyond its limit to the limit.
pub fn limit_figures(deployment: &mut Deployment) {
    deployment.routes.iter_mut().for_each(limit_route);
    deployment.pools.iter_mut().for_each(limit_pool);
    limit_callers(&mut deployment.limits);
}

fn limit_route(route: &mut Route) {
    route.timeout = route.timeout.min(MAX_DURATION);
    route.objective = route.objective.min(MAX_DURATION);
    for target in &mut route.targets {
        target.weight = target.weight.min(MAX_WEIGHT);
    }
    for stage in &mut route.stages {
        stage.result_bytes = stage.result_bytes.min(MAX_RESULT_BYTES);
    }
}

fn limit_pool(pool: &mut Pool) {
    if let Some(ColdStart { per_second, duration }) = &mut pool.cold {
        *per_second = per_second.min(MAX_RATE);
        *duration = (*duration).min(MAX_DURATION);
    }
    match &mut pool.work {
        Work::Plain => {}
        Work::Engine(EngineSpec { slots, memory_tokens }) => {
            *slots = (*slots).min(MAX_SLOTS);
            *memory_tokens = (*memory_tokens).min(MAX_TOKENS);
        }
        Work::Batch(spec) => limit_batch(spec),
    }
}

fn limit_batch(spec: &mut BatchSpec) {
    spec.slots = spec.slots.min(MAX_SLOTS);
    spec.pieces = spec.pieces.min(MAX_PIECES);
    spec.call_overhead = spec.call_overhead.min(MAX_DURATION);
    spec.piece_time = spec.piece_time.min(MAX_DURATION);
    spec.result_memory_bytes = spec.result_memory_bytes.min(MAX_RESULT_BYTES);
    spec.result_retention = spec.result_retention.min(MAX_DURATION);
}

fn limit_callers(limits: &mut CallerLimits) {
    limits.head_bytes = limits.head_bytes.min(MAX_REQUEST_BYTES);
    limits.body_bytes = limits.body_bytes.min(MAX_REQUEST_BYTES);
    limits.head_timeout = limits.head_timeout.min(MAX_DURATION);
    limits.idle_timeout = limits.idle_timeout.min(MAX_DURATION);
}
