//! Decisions as they are kept and shown: a decision is its explanation.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Endpoint;
use crate::message::{AgentReason, RequestId, Timestamp};
use crate::refusal::Refusal;
use crate::view::Pool;

/// What became of one candidate of a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It was chosen.
    Chosen {
        /// Predicted time to the result.
        predicted: Duration,
    },
    /// It was compared and another one was predicted to be faster or cheaper.
    Slower {
        /// Predicted time to the result.
        predicted: Duration,
    },
    /// It might have run the stage but was not among the few compared.
    NotCompared,
    /// The stage was sent there before.
    Tried,
    /// It failed lately.
    Suspected,
    /// Its agent takes no new work.
    Leaving,
}

/// One candidate and its verdict.
#[derive(Debug, Clone)]
pub struct Alternative {
    /// The candidate.
    pub endpoint: Arc<Endpoint>,
    /// What became of it.
    pub verdict: Verdict,
}

/// Where one attempt of a stage went, and what else was considered.
#[derive(Debug, Clone)]
pub struct Decision {
    /// The stage.
    pub stage: String,
    /// The pool of candidates, with its selector.
    pub pool: Arc<Pool>,
    /// The `require` rule that narrowed the pool.
    pub rule: Option<String>,
    /// The candidates.
    pub alternatives: Vec<Alternative>,
    /// The position of the chosen one.
    pub chosen: Option<usize>,
    /// When it was decided.
    pub at: Timestamp,
}

impl Decision {
    /// The endpoint that was chosen.
    pub fn endpoint(&self) -> Option<&Arc<Endpoint>> {
        self.chosen.map(|i| &self.alternatives[i].endpoint)
    }

    /// The predicted time to its result.
    pub fn predicted(&self) -> Option<Duration> {
        match self.chosen.map(|i| self.alternatives[i].verdict) {
            Some(Verdict::Chosen { predicted }) => Some(predicted),
            _ => None,
        }
    }
}

/// One thing that happened to a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// It was admitted.
    Admitted {
        /// The configuration that it was decided under.
        config: u64,
        /// Its priority and, where one set it, the rule.
        priority: u8,
        /// The rule that set the priority.
        priority_rule: Option<String>,
        /// Predicted time to the end.
        predicted: Duration,
        /// Time left.
        left: Duration,
    },
    /// A stage was sent to an endpoint.
    Sent(Decision),
    /// The endpoint began it.
    Begun {
        /// Time in the agent's queue and on the way.
        waited: Duration,
    },
    /// The stage ended with a result.
    StageDone {
        /// The stage.
        stage: String,
        /// Time at the endpoint.
        service: Duration,
        /// Bytes of the result.
        length: u64,
    },
    /// The agent refused or gave up.
    AgentRefused {
        /// The endpoint.
        endpoint: String,
        /// Why.
        reason: AgentReason,
    },
    /// The connection to the agent was lost.
    Lost {
        /// The endpoint.
        endpoint: String,
    },
    /// The attempt waited too long and was taken back.
    Revoked {
        /// The endpoint.
        endpoint: String,
    },
    /// The whole answer went to the caller.
    Completed,
    /// The refusal went to the caller.
    Refused(Refusal),
}

/// Everything that happened to a request, with the times since it came.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request.
    pub id: RequestId,
    /// Its pipeline.
    pub pipeline: String,
    /// Its organisation.
    pub organisation: String,
    /// When it came.
    pub arrived: Timestamp,
    /// What happened, and when.
    pub steps: Vec<(Timestamp, Step)>,
}

impl Record {
    /// Whether the request has its final answer.
    pub fn is_ended(&self) -> bool {
        matches!(self.steps.last(), Some((_, Step::Completed | Step::Refused(_))))
    }
}

/// The bounded memory of requests; the oldest is let go of first.
#[derive(Debug)]
pub struct RecordStore {
    records: HashMap<u64, Arc<Record>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl RecordStore {
    /// A memory of `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { records: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Keeps an ended request's record.
    pub fn keep(&mut self, record: Record) {
        let number = record.id.number;
        self.records.insert(number, Arc::new(record));
        self.order.push_back(number);
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    /// The record of a request, while it is kept.
    pub fn get(&self, number: u64) -> Option<&Arc<Record>> {
        self.records.get(&number)
    }

    /// The newest records first.
    pub fn recent(&self, count: usize) -> impl Iterator<Item = &Arc<Record>> {
        self.order.iter().rev().take(count).filter_map(|n| self.records.get(n))
    }
}

/// A record as operators get it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: String,
    /// Its pipeline.
    pub pipeline: String,
    /// Its organisation.
    pub organisation: String,
    /// Whether it has its final answer.
    pub ended: bool,
    /// What happened, in order.
    pub steps: Vec<ExplainedStep>,
}

/// One step of an explanation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExplainedStep {
    /// Milliseconds since the request came.
    pub at_ms: f64,
    /// What happened, in one sentence.
    pub what: String,
    /// For a decision, the alternatives and what ruled each out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alternatives: Vec<ExplainedAlternative>,
}

/// One alternative of an explained decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExplainedAlternative {
    /// The endpoint.
    pub endpoint: String,
    /// Its labels.
    pub labels: crate::config::Labels,
    /// What became of it.
    pub verdict: String,
}

impl From<&Record> for Explanation {
    fn from(record: &Record) -> Self {
        let steps = record.steps.iter().map(|(at, step)| ExplainedStep {
            at_ms: millis(at.saturating_sub(record.arrived)),
            what: sentence(step),
            alternatives: alternatives(step),
        });
        Self {
            request: record.id.to_string(),
            pipeline: record.pipeline.clone(),
            organisation: record.organisation.clone(),
            ended: record.is_ended(),
            steps: steps.collect(),
        }
    }
}

fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 1e2
}

fn alternatives(step: &Step) -> Vec<ExplainedAlternative> {
    let Step::Sent(decision) = step else {
        return Vec::new();
    };
    let explained = decision.alternatives.iter().map(|a| ExplainedAlternative {
        endpoint: a.endpoint.name.clone(),
        labels: a.endpoint.labels.clone(),
        verdict: verdict(a.verdict),
    });
    explained.collect()
}

fn verdict(verdict: Verdict) -> String {
    match verdict {
        Verdict::Chosen { predicted } => format!("chosen: predicted {:.2} ms", millis(predicted)),
        Verdict::Slower { predicted } => {
            format!("predicted {:.2} ms, not the best", millis(predicted))
        }
        Verdict::NotCompared => "not among the few compared".to_owned(),
        Verdict::Tried => "tried before".to_owned(),
        Verdict::Suspected => "suspected: it failed lately".to_owned(),
        Verdict::Leaving => "leaving: it takes no new work".to_owned(),
    }
}

fn sentence(step: &Step) -> String {
    match step {
        Step::Admitted { config, priority, priority_rule, predicted, left } => {
            let by = priority_rule.as_ref().map_or(String::new(), |r| format!(" by rule {r:?}"));
            format!(
                "admitted under configuration {config} with priority {priority}{by}: predicted \
                 {:.2} ms, {:.2} ms left",
                millis(*predicted),
                millis(*left)
            )
        }
        Step::Sent(decision) => sent_sentence(decision),
        Step::Begun { waited } => format!("begun after waiting {:.2} ms", millis(*waited)),
        Step::StageDone { stage, service, length } => {
            format!("{stage} done: {length} bytes, {:.2} ms at the endpoint", millis(*service))
        }
        Step::AgentRefused { endpoint, reason } => given_up_sentence(endpoint, *reason),
        Step::Lost { endpoint } => format!("the connection to the agent of {endpoint} was lost"),
        Step::Revoked { endpoint } => format!("taken back from {endpoint}: it waited too long"),
        Step::Completed => "the whole answer went to the caller".to_owned(),
        Step::Refused(refusal) => refusal_sentence(refusal),
    }
}

fn given_up_sentence(endpoint: &str, reason: AgentReason) -> String {
    match reason {
        AgentReason::WrongIncarnation => {
            format!("the agent of {endpoint} was greeted and named its life: asked again")
        }
        AgentReason::Stalled => format!("{endpoint} stalled: given up there"),
        other => format!("the agent of {endpoint} gave it up: {}", other.as_str()),
    }
}

fn sent_sentence(decision: &Decision) -> String {
    let pool = &decision.pool;
    let rule = decision.rule.as_ref().map_or(String::new(), |r| format!(" under rule {r:?}"));
    let to = decision.endpoint().map_or("nowhere", |e| &e.name);
    format!(
        "{} sent to {to}: selector {:?}{rule} matches {} endpoints ({} leaving)",
        decision.stage, pool.selector, pool.matching, pool.leaving
    )
}

fn refusal_sentence(refusal: &Refusal) -> String {
    let reason = serde_json::to_string(&refusal.reason).unwrap_or_default();
    let ran = serde_json::to_string(&refusal.ran).unwrap_or_default();
    format!("refused: {reason}, ran {ran}, come back in {:.0} ms", millis(refusal.retry_after))
}
