//! Admission: rules, limits and the whole path's predicted finish, before the first stage runs.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::demand::Demand;
use super::limit::Limiter;
use super::predict::SizeClass;
use super::route::{Question, predict_pool};
use crate::config::{Effect, Labels, Organisation};
use crate::fleet::Fleet;
use crate::message::Timestamp;
use crate::refusal::{Reason, Refusal};
use crate::view::{PipelineView, View};

/// When to come back after a refusal that time alone won't mend.
const RETRY_CONFIGURED: Duration = Duration::from_secs(30);
/// When to come back where nothing is known of the load.
const RETRY_UNKNOWN: Duration = Duration::from_millis(500);
/// The shortest time to come back after a refusal for load.
const RETRY_SHORTEST: Duration = Duration::from_millis(50);

/// Predictions are means; this share of the time left makes room for what takes longer.
const CONFIDENT_SHARE: f64 = 0.9;

/// What admission looks at.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The configuration.
    pub view: &'a View,
    /// The pipeline asked for.
    pub pipeline: &'a PipelineView,
    /// Who asks.
    pub organisation: &'a Organisation,
    /// The request's own labels.
    pub labels: &'a Labels,
    /// The size of its input.
    pub size: SizeClass,
    /// Time left.
    pub left: Duration,
    /// Gateways that share the limits.
    pub gateways: usize,
}

/// What was settled for an admitted request.
#[derive(Debug, Clone, PartialEq)]
pub struct Admitted {
    /// Positions of the rules that match.
    pub rules: Vec<usize>,
    /// Its priority.
    pub priority: u8,
    /// The rule that set it.
    pub priority_rule: Option<String>,
    /// Predicted time to the end.
    pub predicted: Duration,
}

/// Admits a request or refuses it; nothing of a refused one has run.
pub fn admit(
    candidate: &Candidate<'_>,
    fleet: &Fleet,
    demand: &Demand,
    limiter: &mut Limiter,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<Admitted, Refusal> {
    let mut admitted = apply_rules(candidate)?;
    admitted.predicted = check_path(candidate, &admitted.rules, fleet, demand, now, rng)?;
    check_limits(candidate, limiter, now, rng)?;
    Ok(admitted)
}

fn apply_rules(candidate: &Candidate<'_>) -> Result<Admitted, Refusal> {
    let mut admitted = Admitted {
        rules: Vec::new(),
        priority: candidate.pipeline.pipeline.priority,
        priority_rule: None,
        predicted: Duration::ZERO,
    };
    for (i, rule) in candidate.view.rules(&candidate.organisation.labels, candidate.labels) {
        match &rule.effect {
            Effect::Refuse => {
                let reason = Reason::Rule { rule: rule.name.clone() };
                return Err(Refusal::not_run(reason, RETRY_CONFIGURED));
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
    candidate: &Candidate<'_>,
    limiter: &mut Limiter,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<(), Refusal> {
    let organisation = candidate.organisation;
    let limits = candidate.view.config.limits.iter().filter(|l| {
        l.organisations.matches(&organisation.labels) && l.requests.matches(candidate.labels)
    });
    for limit in limits {
        let taken = limiter.take(limit, &organisation.name, candidate.gateways, now);
        if let Err(empty) = taken {
            let reason = Reason::OverLimit { limit: limit.name.clone() };
            return Err(Refusal::not_run(reason, spread(empty.retry_after, rng)));
        }
    }
    Ok(())
}

fn check_path(
    candidate: &Candidate<'_>,
    rules: &[usize],
    fleet: &Fleet,
    demand: &Demand,
    now: Timestamp,
    rng: &mut impl Rng,
) -> Result<Duration, Refusal> {
    let mut total = Duration::ZERO;
    let mut slowest = (Duration::ZERO, "");
    for stage in &candidate.pipeline.stages {
        let question = Question {
            view: candidate.view,
            stage,
            rules,
            size: candidate.size,
            tried: &[],
            turn: 0,
            now,
        };
        let predicted = predict_pool(&question, fleet, demand, candidate.gateways);
        let Some(predicted) = predicted else {
            let (pool, _) = stage.pool_under(rules);
            let reason = Reason::NoEndpoint {
                stage: stage.stage.name.clone(),
                selector: pool.selector.clone(),
                matching: pool.matching,
                last: None,
            };
            return Err(Refusal::not_run(reason, spread(RETRY_UNKNOWN, rng)));
        };
        total += predicted;
        if predicted > slowest.0 {
            slowest = (predicted, &stage.stage.name);
        }
    }
    let budget = candidate.left.mul_f64(CONFIDENT_SHARE);
    if total <= budget || !candidate.view.config.policy.admission {
        return Ok(total);
    }
    let reason = Reason::WouldBeLate {
        predicted_ms: total.as_millis() as u64,
        left_ms: candidate.left.as_millis() as u64,
        slowest_stage: slowest.1.to_owned(),
    };
    Err(Refusal::not_run(reason, spread(total - budget, rng)))
}

/// Spreads the time to come back, so that callers refused together don't return together.
pub fn spread(retry_after: Duration, rng: &mut impl Rng) -> Duration {
    retry_after.max(RETRY_SHORTEST).mul_f64(rng.random_range(1.0..1.5))
}
