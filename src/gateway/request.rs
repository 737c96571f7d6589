//! The state of one request in a gateway, and of its open attempt.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::core::RETRY_AFTER;
use crate::config::{Endpoint, Labels};
use crate::message::{AgentReason, AttemptId, Claim, Incarnation, Ran, Run, RunId, Timestamp};
use crate::policy::admit::Admitted;
use crate::policy::explain::{Record, Step};
use crate::policy::predict::SizeClass;
use crate::result::ResultBuffer;
use crate::view::{PipelineView, StageView, View};

/// A waiting attempt is taken back at the latest this share of the deadline before it.
const LAST_REVOKE_SHARE: f64 = 0.1;

/// What a caller asks for, checked for form.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The pipeline's name.
    pub pipeline: String,
    /// The organisation's name.
    pub organisation: String,
    /// The request's own labels.
    pub labels: Labels,
    /// The first stage's input.
    pub input: Bytes,
    /// Time until the caller stops waiting; the pipeline's own where none is given.
    pub deadline: Option<Duration>,
    /// Whether stages may be run again.
    pub may_repeat: bool,
    /// Whether pieces of the last stage's result are wanted as they come.
    pub stream: bool,
    /// The claim of a request under a ticket.
    pub claim: Option<Claim>,
}

/// How far an attempt is, as far as the gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It was sent; it may wait in the agent's queue.
    Sent,
    /// It was sent and is being taken back.
    Revoking,
    /// The agent said that it was handed over.
    Begun,
}

/// The open attempt of a request's current stage.
#[derive(Debug)]
pub struct Attempt {
    /// Its identity.
    pub id: AttemptId,
    /// Where it was sent.
    pub endpoint: Arc<Endpoint>,
    /// The agent's incarnation that it named.
    pub agent: Incarnation,
    /// The call on which replies come; others are strays.
    pub call: u64,
    /// How far it is.
    pub progress: Progress,
    /// When it was sent first.
    pub sent_at: Timestamp,
    /// When the agent last spoke of it; `None` before its first word.
    pub heard_at: Option<Timestamp>,
    /// The result so far.
    pub output: ResultBuffer,
    /// Times that a lost call was resumed without a word from the agent since.
    pub resumes: u32,
    /// Whether an earlier call of this attempt may have reached the agent.
    pub was_sent: bool,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// What the caller asks for.
    pub submission: Submission,
    /// The configuration that it is decided under; later ones don't change its path.
    pub view: Arc<View>,
    /// Its pipeline.
    pub pipeline: Arc<PipelineView>,
    /// Positions of the rules that match it.
    pub rules: Vec<usize>,
    /// The pools of its stages, by their keys.
    pub pools: Vec<u64>,
    /// Its priority.
    pub priority: u8,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
    /// The stage that it is in.
    pub stage: usize,
    /// The input of that stage.
    pub input: Bytes,
    /// The open attempt.
    pub attempt: Option<Attempt>,
    /// Endpoints that the stage was sent to before.
    pub tried: Vec<String>,
    /// Whether an earlier, closed attempt of this stage may have run.
    pub stage_begun: bool,
    /// What the last agent that gave up said.
    pub last_reason: Option<AgentReason>,
    /// When that agent said to come back.
    pub retry_after: Duration,
    /// Whether the caller has seen pieces of the open attempt.
    pub streamed: bool,
    /// What happened to it.
    pub record: Record,
}

impl Request {
    /// The stage that it is in.
    pub fn stage_view(&self) -> &StageView {
        &self.pipeline.stages[self.stage]
    }

    /// Whether it is in its last stage.
    pub fn is_last_stage(&self) -> bool {
        self.stage + 1 == self.pipeline.stages.len()
    }

    /// Whether the stage may be run again when the outcome of an attempt is unknown.
    pub fn may_repeat_stage(&self) -> bool {
        self.submission.may_repeat && self.stage_view().stage.may_repeat
    }

    /// The class of its stage's input.
    pub fn size(&self) -> SizeClass {
        SizeClass::of(self.input.len())
    }

    /// How much of it ran, for a refusal now.
    pub fn ran(&self) -> Ran {
        if self.stage_begun {
            Ran::Unknown
        } else if self.stage > 0 {
            Ran::RanInPart
        } else {
            Ran::NotRun
        }
    }

    /// The stages that ran whole.
    pub fn stages_run(&self) -> Vec<String> {
        self.pipeline.stages[..self.stage].iter().map(|s| s.stage.name.clone()).collect()
    }
}

pub(super) fn time_allowed(submission: &Submission, configured_ms: u64) -> Duration {
    let configured = Duration::from_millis(configured_ms);
    submission.deadline.unwrap_or(configured)
}

pub(super) fn start(
    submission: Submission,
    view: Arc<View>,
    admitted: Admitted,
    mut record: Record,
    now: Timestamp,
) -> Request {
    let pipeline = view.pipeline(&submission.pipeline).expect("admitted").clone();
    let left = time_allowed(&submission, pipeline.pipeline.deadline_ms);
    let step = Step::Admitted {
        config: view.config.version,
        priority: admitted.priority,
        priority_rule: admitted.priority_rule,
        predicted: admitted.predicted,
        left,
    };
    record.steps.push((now, step));
    let pools = pipeline.stages.iter().map(|s| s.pool_under(&admitted.rules).0.key).collect();
    Request {
        pools,
        input: submission.input.clone(),
        submission,
        view,
        pipeline,
        rules: admitted.rules,
        priority: admitted.priority,
        deadline: now + left,
        stage: 0,
        attempt: None,
        tried: Vec::new(),
        stage_begun: false,
        last_reason: None,
        retry_after: RETRY_AFTER,
        streamed: false,
        record,
    }
}

pub(super) fn new_attempt(
    id: AttemptId,
    endpoint: Arc<Endpoint>,
    agent: Incarnation,
    call: u64,
    now: Timestamp,
) -> Attempt {
    Attempt {
        id,
        endpoint,
        agent,
        call,
        progress: Progress::Sent,
        sent_at: now,
        heard_at: None,
        output: ResultBuffer::default(),
        resumes: 0,
        was_sent: false,
    }
}

pub(super) fn run_of(
    request: &Request,
    attempt: AttemptId,
    agent: Incarnation,
    endpoint: &Endpoint,
    resume: Option<u64>,
    now: Timestamp,
) -> Run {
    let id = &request.record.id;
    let run_id = RunId { gateway: id.incarnation, number: id.number };
    let is_first = request.stage == 0;
    let claim = request.submission.claim.clone().filter(|_| is_first);
    Run {
        attempt,
        agent,
        endpoint: endpoint.name.clone(),
        request: id.to_string(),
        stage: request.stage_view().stage.name.clone(),
        organisation: request.submission.organisation.clone(),
        priority: request.priority,
        time_left: request.deadline.saturating_sub(now),
        resume,
        claim: claim.map(|c| Claim { run: run_id, ..c }),
        input: request.input.clone(),
    }
}

/// When a waiting attempt is taken back: after its share of the time left, and in time for the answer.
pub(super) fn patience(request: &Request, now: Timestamp) -> Timestamp {
    let left = request.deadline.saturating_sub(now);
    let share = request.view.config.policy.patience.min(1.0 - LAST_REVOKE_SHARE);
    now + left.mul_f64(share)
}
