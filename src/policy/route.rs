//! Endpoint selection for a stage: a few of the candidates that match its selector are sampled and
//! compared by their predicted completion times.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::demand::Demand;
use super::explain::{Alternative, Decision, Verdict};
use super::predict::SizeClass;
use crate::config::{Endpoint, Policy, Routing};
use crate::fleet::{EndpointState, Fleet};
use crate::message::Timestamp;
use crate::view::{StageView, View};

/// Factor on the mean waiting time in predictions for admission, because queue lengths differ
/// between the endpoints of a pool.
const WAIT_FACTOR: f64 = 1.6;

/// Parameters of a routing decision, besides the endpoint states.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// The configuration.
    pub view: &'a View,
    /// The stage to run.
    pub stage: &'a StageView,
    /// Indexes of the rules that match the request.
    pub rules: &'a [usize],
    /// Size class of the stage's input.
    pub size: SizeClass,
    /// Names of the endpoints to which this stage was already sent.
    pub tried: &'a [String],
    /// Whether endpoints that failed and have not replied since are treated as suspected, even
    /// after the time of their suspicion.
    pub avoid_failed: bool,
    /// Sequence number of the gateway's routing decisions, for round-robin routing.
    pub turn: u64,
    /// Current time.
    pub now: Timestamp,
}

/// Why an endpoint is excluded from the choice; `None` if it is usable.
fn excluded(context: &RoutingContext<'_>, endpoint: &Endpoint, fleet: &Fleet) -> Option<Verdict> {
    if context.tried.contains(&endpoint.name) {
        return Some(Verdict::Tried);
    }
    let state = fleet.get(&endpoint.name)?;
    if state.is_leaving(context.now) {
        return Some(Verdict::Leaving);
    }
    let is_suspected =
        state.is_suspected(context.now) || (context.avoid_failed && state.failures > 0);
    is_suspected.then_some(Verdict::Suspected)
}

/// Chooses the endpoint for a stage; the decision lists every candidate with its verdict.
pub fn choose(context: &RoutingContext<'_>, fleet: &Fleet, rng: &mut impl Rng) -> Decision {
    let (pool, rule) = context.stage.pool_for_rules(context.rules);
    let mut alternatives: Vec<Alternative> = pool
        .members
        .iter()
        .map(|endpoint| Alternative {
            endpoint: endpoint.clone(),
            verdict: excluded(context, endpoint, fleet).unwrap_or(Verdict::NotCompared),
        })
        .collect();
    limit_suspicion(&mut alternatives, context.view.config.policy.suspected_fraction);
    let chosen = compare(context, fleet, &mut alternatives, rng);
    Decision {
        stage: context.stage.stage.name.clone(),
        pool: pool.clone(),
        rule: rule.map(|i| context.view.config.rules[i].name.clone()),
        alternatives,
        chosen,
        at: context.now,
    }
}

/// Lifts all suspicions if no other endpoint is usable or if more than `fraction` of the pool is
/// suspected: the fault is then more likely in this process than in the endpoints.
fn limit_suspicion(alternatives: &mut [Alternative], fraction: f64) {
    let suspected = alternatives.iter().filter(|a| a.verdict == Verdict::Suspected).count();
    let usable = alternatives.iter().any(|a| a.verdict == Verdict::NotCompared);
    if usable && suspected as f64 <= fraction * alternatives.len() as f64 {
        return;
    }
    for alternative in alternatives.iter_mut().filter(|a| a.verdict == Verdict::Suspected) {
        alternative.verdict = Verdict::NotCompared;
    }
}

fn compare(
    context: &RoutingContext<'_>,
    fleet: &Fleet,
    alternatives: &mut [Alternative],
    rng: &mut impl Rng,
) -> Option<usize> {
    let policy = &context.view.config.policy;
    let mut usable: Vec<usize> = (0..alternatives.len())
        .filter(|&i| alternatives[i].verdict == Verdict::NotCompared)
        .collect();
    let sample = sample(policy, &mut usable, context.turn, rng);
    let mut best: Option<(f64, usize)> = None;
    for &i in sample {
        let endpoint = &alternatives[i].endpoint;
        let finish = predict(context, endpoint, fleet);
        let score = score(finish, endpoint, context, fleet) * rng.random_range(1.0..1.02);
        alternatives[i].verdict = Verdict::Slower { predicted: finish };
        if best.is_none_or(|(b, _)| score < b) {
            best = Some((score, i));
        }
    }
    let (_, chosen) = best?;
    if let Verdict::Slower { predicted } = alternatives[chosen].verdict {
        alternatives[chosen].verdict = Verdict::Chosen { predicted };
    }
    Some(chosen)
}

/// Selects the candidates to be compared from the usable ones.
fn sample<'a>(
    policy: &Policy,
    usable: &'a mut [usize],
    turn: u64,
    rng: &mut impl Rng,
) -> &'a [usize] {
    let count = match policy.routing {
        Routing::Predicted => policy.compared,
        Routing::Random => 1,
        Routing::TwoChoices => 2,
        Routing::LeastInFlight => usable.len(),
        Routing::RoundRobin if usable.is_empty() => 0,
        Routing::RoundRobin => {
            let next = turn as usize % usable.len();
            return &usable[next..=next];
        }
    };
    usable.partial_shuffle(rng, count).0
}

/// Score of an endpoint, lower is better: milliseconds until completion plus the weighted cost of
/// the work. The baseline algorithms use the gateway's own attempts in flight instead.
fn score(
    finish: Duration,
    endpoint: &Endpoint,
    context: &RoutingContext<'_>,
    fleet: &Fleet,
) -> f64 {
    let policy = &context.view.config.policy;
    if policy.routing != Routing::Predicted {
        return f64::from(fleet.get(&endpoint.name).map_or(0, |s| s.in_flight)) + 1.0;
    }
    let expected = context.stage.stage.expected_ms as f64 / 1_000.0;
    finish.as_secs_f64() * 1_000.0 + policy.cost_weight_ms * endpoint.cost * expected
}

/// Expected service time of a stage at an endpoint, without waiting and network time.
pub fn service_time(
    context: &RoutingContext<'_>,
    state: Option<&EndpointState>,
    fleet: &Fleet,
) -> Duration {
    let (key, size) = (context.stage.key, context.size);
    if let Some(estimate) = state.and_then(|s| s.estimate(key, size)) {
        return estimate.typical();
    }
    if let Some(estimate) = fleet.stage_estimate(key, size) {
        return estimate.typical();
    }
    Duration::from_millis(context.stage.stage.expected_ms)
}

/// Predicted time until the result: network delay, waiting and service time.
pub fn predict(context: &RoutingContext<'_>, endpoint: &Endpoint, fleet: &Fleet) -> Duration {
    let state = fleet.get(&endpoint.name);
    let service = service_time(context, state, fleet);
    let remote = endpoint.data_centre != context.view.location.data_centre;
    let distance = if remote { 2.0 * context.view.config.policy.remote_ms / 1_000.0 } else { 0.0 };
    let waiting = state.map_or(0.0, |s| {
        let limit = f64::from(s.limit(endpoint.concurrency));
        let before = s.backlog(context.now, service) + 1.0 - limit;
        before.max(0.0) / limit * service.as_secs_f64()
    });
    service + Duration::from_secs_f64(distance + waiting)
}

/// Predicted time of a stage for a request that is admitted now. It queues behind all earlier
/// admitted requests, assuming that each of the `gateways` gateways has the same demand. `None` if
/// the pool has no endpoint that accepts work.
pub fn predict_pool(
    context: &RoutingContext<'_>,
    fleet: &Fleet,
    demand: &Demand,
    gateways: usize,
) -> Option<Duration> {
    let (pool, _) = context.stage.pool_for_rules(context.rules);
    let mut best: Option<Duration> = None;
    let mut slots = 0;
    for endpoint in &pool.members {
        let verdict = excluded(context, endpoint, fleet);
        if verdict.is_some_and(|v| v == Verdict::Leaving) {
            continue;
        }
        let predicted = predict(context, endpoint, fleet);
        best = Some(best.map_or(predicted, |b| b.min(predicted)));
        if verdict.is_none() {
            slots += fleet
                .get(&endpoint.name)
                .map_or(endpoint.concurrency, |s| s.limit(endpoint.concurrency));
        }
    }
    let best = best?;
    let service = service_time(context, None, fleet).as_secs_f64();
    let of_fleet = (pool.matching - pool.leaving) as f64 / pool.members.len() as f64;
    let slots = f64::from(slots.max(1)) * of_fleet;
    let before = f64::from(demand.of(pool.key)) * gateways as f64;
    let waiting = (before + 1.0 - slots).max(0.0) / slots * service;
    Some(best.max(Duration::from_secs_f64(service + waiting * WAIT_FACTOR)))
}
