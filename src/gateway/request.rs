//! State of one request in a gateway, and of its open attempt.

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

/// A waiting attempt is checked for revocation while at least this share of its time is left.
const LAST_REVOKE_SHARE: f64 = 0.1;

/// A caller's request after syntax checks.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Labels of the request.
    pub labels: Labels,
    /// Input of the first stage.
    pub input: Bytes,
    /// Time until the caller stops waiting; `None` for the pipeline's default.
    pub deadline: Option<Duration>,
    /// Whether the caller allows stages to be run again.
    pub may_repeat: bool,
    /// Whether the last stage's result is streamed to the caller.
    pub stream: bool,
    /// Claim of the ticket that the request carries.
    pub claim: Option<Claim>,
}

/// Progress of an attempt, as reported to the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The attempt was sent; it may be in the agent's queue.
    Sent,
    /// The attempt was sent and a revocation is pending.
    Revoking,
    /// The agent reported that the attempt was handed over to the endpoint.
    Begun,
}

/// The open attempt of a request's current stage.
#[derive(Debug)]
pub struct Attempt {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Endpoint that the attempt was sent to.
    pub endpoint: Arc<Endpoint>,
    /// Incarnation of the agent that the attempt is addressed to.
    pub agent: Incarnation,
    /// The open call; replies on other calls are stray.
    pub call: u64,
    /// Progress of the attempt.
    pub progress: Progress,
    /// Time of the first send.
    pub sent_at: Timestamp,
    /// Time of the agent's last reply; `None` before the first.
    pub last_reply_at: Option<Timestamp>,
    /// Result received so far.
    pub output: ResultBuffer,
    /// Number of lost calls since the agent's last reply.
    pub resumes: u32,
    /// Whether an earlier call of this attempt may have reached the agent.
    pub was_sent: bool,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// The submitted request.
    pub submission: Submission,
    /// Configuration at admission; later configurations don't affect the request.
    pub view: Arc<View>,
    /// Pipeline of the request.
    pub pipeline: Arc<PipelineView>,
    /// Indices of the rules that match the request.
    pub rules: Vec<usize>,
    /// Keys of the pools of all stages.
    pub pools: Vec<u64>,
    /// Priority of the request.
    pub priority: u8,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
    /// Index of the current stage.
    pub stage: usize,
    /// Input of the current stage.
    pub input: Bytes,
    /// Open attempt of the current stage, if any.
    pub attempt: Option<Attempt>,
    /// Endpoints that earlier attempts of the current stage were sent to.
    pub tried: Vec<String>,
    /// Those of `tried` whose agents did not answer in time, or revoked the attempt.
    pub unanswered: Vec<String>,
    /// Whether an attempt of the current stage was sent before.
    pub is_retry: bool,
    /// Whether an agent did not answer an attempt of any stage in time. Such a request has no time
    /// left to try whether an endpoint that failed is back.
    pub met_silence: bool,
    /// Whether an earlier, closed attempt of the current stage may have run.
    pub stage_begun: bool,
    /// Reason of the last failed attempt of the current stage.
    pub last_reason: Option<AgentReason>,
    /// Retry delay that came with that reason.
    pub retry_after: Duration,
    /// Whether chunks of the open attempt were sent to the caller.
    pub streamed: bool,
    /// Record of the steps of the request.
    pub record: Record,
}

impl Request {
    /// The current stage.
    pub fn stage_view(&self) -> &StageView {
        &self.pipeline.stages[self.stage]
    }

    /// Whether the current stage is the last.
    pub fn is_last_stage(&self) -> bool {
        self.stage + 1 == self.pipeline.stages.len()
    }

    /// Whether the current stage may be run again after an attempt with unknown outcome.
    pub fn may_repeat_stage(&self) -> bool {
        self.submission.may_repeat && self.stage_view().stage.may_repeat
    }

    /// Size class of the current stage's input.
    pub fn size(&self) -> SizeClass {
        SizeClass::of(self.input.len())
    }

    /// Configured service time of the current stage and those after it.
    pub fn expected_time(&self) -> Duration {
        let stages = &self.pipeline.stages[self.stage..];
        Duration::from_millis(stages.iter().map(|s| s.stage.expected_ms).sum())
    }

    /// How much of the request has run, as reported if it is refused now.
    pub fn ran(&self) -> Ran {
        if self.stage_begun {
            Ran::Unknown
        } else if self.stage > 0 {
            Ran::RanInPart
        } else {
            Ran::NotRun
        }
    }

    /// Names of the completed stages.
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
    let pools = pipeline.stages.iter().map(|s| s.pool_for_rules(&admitted.rules).0.key).collect();
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
        unanswered: Vec::new(),
        is_retry: false,
        met_silence: false,
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
        last_reply_at: None,
        output: ResultBuffer::default(),
        resumes: 0,
        was_sent: false,
    }
}

pub(super) fn run_request(
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

/// Time at which a waiting attempt is next checked for revocation: after the configured share of
/// the remaining time, and early enough for the revocation to be answered before the deadline.
pub(super) fn wait_limit(request: &Request, now: Timestamp) -> Timestamp {
    let left = request.deadline.saturating_sub(now);
    let share = request.view.config.policy.patience.min(1.0 - LAST_REVOKE_SHARE);
    now + left.mul_f64(share)
}
