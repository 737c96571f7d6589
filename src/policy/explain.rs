//! Records of requests and their decisions, and the explanations generated from them for operators.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Endpoint;
use crate::message::{AgentReason, RequestId, Timestamp};
use crate::refusal::Refusal;
use crate::view::Pool;

/// Outcome of one candidate in a routing decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The candidate was chosen.
    Chosen {
        /// Predicted time until the result.
        predicted: Duration,
    },
    /// The candidate was compared, but another one was predicted to be faster or cheaper.
    Slower {
        /// Predicted time until the result.
        predicted: Duration,
    },
    /// The candidate was usable but not in the sample that was compared.
    NotCompared,
    /// The stage was already sent to the candidate.
    Tried,
    /// The candidate failed recently.
    Suspected,
    /// The candidate's agent accepts no new work.
    Leaving,
}

/// A candidate and its verdict.
#[derive(Debug, Clone)]
pub struct Alternative {
    /// The candidate endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Outcome of the candidate.
    pub verdict: Verdict,
}

/// Routing decision for one attempt of a stage, with all candidates.
#[derive(Debug, Clone)]
pub struct Decision {
    /// Name of the stage.
    pub stage: String,
    /// The pool of candidates.
    pub pool: Arc<Pool>,
    /// Name of the `require` rule that restricted the pool.
    pub rule: Option<String>,
    /// All candidates, with their verdicts.
    pub alternatives: Vec<Alternative>,
    /// Index of the chosen candidate; `None` if none was usable.
    pub chosen: Option<usize>,
    /// Time of the decision.
    pub at: Timestamp,
}

impl Decision {
    /// The chosen endpoint.
    pub fn endpoint(&self) -> Option<&Arc<Endpoint>> {
        self.chosen.map(|i| &self.alternatives[i].endpoint)
    }

    /// Predicted time until the result from the chosen endpoint.
    pub fn predicted(&self) -> Option<Duration> {
        match self.chosen.map(|i| self.alternatives[i].verdict) {
            Some(Verdict::Chosen { predicted }) => Some(predicted),
            _ => None,
        }
    }
}

/// One event in the processing of a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// The request was admitted.
    Admitted {
        /// Version of the configuration that was used.
        config: u64,
        /// Priority of the request.
        priority: u8,
        /// Name of the rule that set the priority, if one did.
        priority_rule: Option<String>,
        /// Predicted time to completion.
        predicted: Duration,
        /// Time until the deadline.
        left: Duration,
    },
    /// A stage was sent to an endpoint.
    Sent(Decision),
    /// The endpoint started the stage.
    Begun {
        /// Time in transit and in the agent's queue.
        waited: Duration,
    },
    /// The stage ended with a result.
    StageDone {
        /// Name of the stage.
        stage: String,
        /// Service time at the endpoint.
        service: Duration,
        /// Length of the result, in bytes.
        length: u64,
    },
    /// The agent refused or aborted the attempt.
    AgentRefused {
        /// Name of the endpoint.
        endpoint: String,
        /// Reason returned by the agent.
        reason: AgentReason,
    },
    /// The connection to the agent failed.
    ConnectionFailed {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// The attempt waited too long and was revoked.
    Revoked {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// The complete response was sent to the caller.
    Completed,
    /// The refusal was sent to the caller.
    Refused(Refusal),
}

/// All recorded events of a request.
#[derive(Debug, Clone)]
pub struct Record {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Events with their times, in order.
    pub steps: Vec<(Timestamp, Step)>,
}

impl Record {
    /// Whether the request has received its final response.
    pub fn is_ended(&self) -> bool {
        matches!(self.steps.last(), Some((_, Step::Completed | Step::Refused(_))))
    }
}

/// Bounded store of request records; the oldest record is evicted first.
#[derive(Debug)]
pub struct RecordStore {
    records: HashMap<u64, Arc<Record>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl RecordStore {
    /// Creates a store for up to `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self { records: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Stores the record of a request that has ended.
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

    /// Looks up a record by request number; `None` if it was evicted.
    pub fn get(&self, number: u64) -> Option<&Arc<Record>> {
        self.records.get(&number)
    }

    /// The `count` newest records, newest first.
    pub fn recent(&self, count: usize) -> impl Iterator<Item = &Arc<Record>> {
        self.order.iter().rev().take(count).filter_map(|n| self.records.get(n))
    }
}

/// Explanation of a request for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Whether the request has received its final response.
    pub ended: bool,
    /// Events, in order.
    pub steps: Vec<ExplainedStep>,
}

/// One step of an explanation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExplainedStep {
    /// Milliseconds since the arrival of the request.
    pub at_ms: f64,
    /// One-sentence description of the event.
    pub what: String,
    /// For a routing decision, the candidates with their verdicts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alternatives: Vec<ExplainedAlternative>,
}

/// One candidate of an explained routing decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExplainedAlternative {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Labels of the endpoint.
    pub labels: crate::config::Labels,
    /// Description of the verdict.
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
        Step::AgentRefused { endpoint, reason } => agent_refused_sentence(endpoint, *reason),
        Step::ConnectionFailed { endpoint } => {
            format!("the connection to the agent of {endpoint} was lost")
        }
        Step::Revoked { endpoint } => format!("taken back from {endpoint}: it waited too long"),
        Step::Completed => "the whole answer went to the caller".to_owned(),
        Step::Refused(refusal) => refusal_sentence(refusal),
    }
}

fn agent_refused_sentence(endpoint: &str, reason: AgentReason) -> String {
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
