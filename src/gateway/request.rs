//! The state of one request in a gateway, and of its open attempt.

use std::sync::Arc;

use bytes::Bytes;

use crate::config::{Endpoint, Labels};
use crate::message::{AgentReason, AttemptId, Claim, Incarnation, Ran, Timestamp};
use crate::policy::explain::Record;
use crate::policy::predict::SizeClass;
use crate::result::ResultBuffer;
use crate::view::{PipelineView, StageView, View};

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
    pub deadline: Option<std::time::Duration>,
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
    pub retry_after: std::time::Duration,
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
