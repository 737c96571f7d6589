//! Admission control: rules, rate limits and the predicted completion time of the complete pipeline
//! are checked before the first stage runs.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::demand::Demand;
use super::limit::Limiter;
use super::predict::SizeClass;
use super::route::{RoutingContext, predict_pool};
use crate::config::{Effect, Labels, Organisation};
use crate::fleet::Fleet;
use crate::message::Timestamp;
use crate::refusal::{Reason, Refusal};
use crate::view::{PipelineView, View};

/// Retry delay after a refusal that only a change of the configuration can resolve.
const CONFIG_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Retry delay if the load of the pool is unknown.
const UNKNOWN_LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum retry delay after a refusal because of load.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Share of the remaining time that the predicted time may use. Predictions are means; the rest is
/// a margin for requests that take longer.
const PREDICTED_TIME_SHARE: f64 = 0.9;

/// Request to be admitted, with what the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The configuration.
    pub view: &'a View,
    /// The requested pipeline.
    pub pipeline: &'a PipelineView,
    /// The caller's organisation.
    pub organisation: &'a Organisation,
    /// Labels of the request.
    pub labels: &'a Labels,
    /// Size class of the input.
    pub size: SizeClass,
    /// Time until the deadline.
    pub left: Duration,
    /// Number of gateways that share the limits.
    pub gateways: usize,
}

/// Result of a successful admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Admitted {
    /// Indexes of the matching rules.
    pub rules: Vec<usize>,
    /// Priority of the request.
    pub priority: u8,
    /// Name of the rule that set the priority; `None` if the pipeline's priority applies.
    pub priority_rule: Option<String>,
    /// Predicted time to completion.
    pub predicted: Duration,
}

/// Admits or refuses a request. No stage of a refused request has run.
pub fn admit(
    admission: &AdmissionRequest<'_>,
    fleet: &Fleet,
    demand: &Demand,
    limiter: &mut Limiter,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<Admitted, Refusal> {
    let mut admitted = apply_rules(admission)?;
    admitted.predicted = check_path(admission, &admitted.rules, fleet, demand, now, rng)?;
    check_limits(admission, limiter, now, rng)?;
    Ok(admitted)
}

fn apply_rules(admission: &AdmissionRequest<'_>) -> Result<Admitted, Refusal> {
    let mut admitted = Admitted {
        rules: Vec::new(),
        priority: admission.pipeline.pipeline.priority,
        priority_rule: None,
        predicted: Duration::ZERO,
    };
    for (i, rule) in admission.view.rules(&admission.organisation.labels, admission.labels) {
        match &rule.effect {
            Effect::Refuse => {
                let reason = Reason::Rule { rule: rule.name.clone() };
                return Err(Refusal::not_run(reason, CONFIG_RETRY_DELAY));
            }
            Effect::Priority(priority) if admitted.priority_rule.is_none() => {
                admitted.priority = *priority;
                admitted.priority_rule = Some(rule.name.clone());
            }
            Effect::Priority(_) | Effect::Require { .. } => {}
        }
        admitted.rules.push(i);
    }
    Ok(admitted)
}

fn check_limits(
    admission: &AdmissionRequest<'_>,
    limiter: &mut Limiter,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<(), Refusal> {
    let organisation = admission.organisation;
    let limits = admission.view.config.limits.iter().filter(|l| {
        l.organisations.matches(&organisation.labels) && l.requests.matches(admission.labels)
    });
    for limit in limits {
        let taken = limiter.take(limit, &organisation.name, admission.gateways, now);
        if let Err(exceeded) = taken {
            let reason = Reason::OverLimit { limit: limit.name.clone() };
            return Err(Refusal::not_run(reason, add_jitter(exceeded.retry_after, rng)));
        }
    }
    Ok(())
}

fn check_path(
    admission: &AdmissionRequest<'_>,
    rules: &[usize],
    fleet: &Fleet,
    demand: &Demand,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<Duration, Refusal> {
    let mut total = Duration::ZERO;
    let mut slowest = (Duration::ZERO, "");
    for stage in &admission.pipeline.stages {
        let context = RoutingContext {
            view: admission.view,
            stage,
            rules,
            size: admission.size,
            tried: &[],
            avoid_failed: false,
            turn: 0,
            now,
        };
        let predicted = predict_pool(&context, fleet, demand, admission.gateways);
        let Some(predicted) = predicted else {
            let (pool, _) = stage.pool_for_rules(rules);
            let reason = Reason::NoEndpoint {
                stage: stage.stage.name.clone(),
                selector: pool.selector.clone(),
                matching: pool.matching,
                last: None,
            };
            return Err(Refusal::not_run(reason, add_jitter(UNKNOWN_LOAD_RETRY_DELAY, rng)));
        };
        total += predicted;
        if predicted > slowest.0 {
            slowest = (predicted, &stage.stage.name);
        }
    }
    let budget = admission.left.mul_f64(PREDICTED_TIME_SHARE);
    if total <= budget || !admission.view.config.policy.admission {
        return Ok(total);
    }
    let reason = Reason::WouldBeLate {
        predicted_ms: total.as_millis() as u64,
        left_ms: admission.left.as_millis() as u64,
        slowest_stage: slowest.1.to_owned(),
    };
    Err(Refusal::not_run(reason, add_jitter(total - budget, rng)))
}

/// Adds jitter to a retry delay, so that callers refused at the same time don't all retry at once.
pub fn add_jitter(retry_after: Duration, rng: &mut impl Rng) -> Duration {
    retry_after.max(MIN_RETRY_DELAY).mul_f64(rng.random_range(1.0..1.5))
}
