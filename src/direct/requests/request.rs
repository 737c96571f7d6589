//! State of one caller's request in a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::Framing;
use crate::direct::event::IncomingRequest;
use crate::direct::event_order::Place;
use crate::direct::origins::Origin;
use crate::direct::peers::message::{JobId, StoredResult};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::{Run, SURVIVAL_TIME};
use crate::direct::published::model::{Endpoint, Name, Repeat, Route};
use crate::direct::published::regions::AllowedRegions;
use crate::direct::requests::permits::AwaitedPermit;
use crate::direct::requests::resumption::OriginLookup;
use crate::direct::requests::unframed_end::UnconfirmedEnd;
use crate::message::Timestamp;
use crate::policy::urgency::Urgency;

/// Initial estimate of the time to the first event, excluding the time to read the prompt.
const INITIAL_START_TIME: Duration = Duration::from_millis(80);
/// Estimated time that a busy engine needs to read one prompt token.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(30);

/// Number of prompt tokens that take as long to read as one output token takes to generate.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 200;

/// Phase of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// The stages are with an owner.
    Stages {
        /// Address of the owner.
        owner: SocketAddr,
        /// Incarnation of the owner.
        incarnation: u64,
        /// When the stages were submitted.
        submitted: Timestamp,
        /// Whether the owner has started the stages.
        accepted: bool,
    },
    /// The request runs at an endpoint, or waits to be sent to one.
    Running,
    /// The response is a stream that is being forwarded.
    Streaming,
}

/// What an engine does with the prompt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptRead {
    /// Number of tokens that it is expected to read.
    pub tokens: u64,
    /// Whether it fetches parts from another engine.
    pub fetches: bool,
}

/// One call to an endpoint for a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Number of the attempt, unique within the gateway's process.
    pub number: u64,
    /// Endpoint of the call.
    pub endpoint: Arc<Endpoint>,
    /// When the call was ordered from the shell.
    pub ordered_at: Timestamp,
    /// When the call was sent over an established connection; set only for calls that need results.
    pub sent_at: Option<Timestamp>,
    /// What determines the end of the answer.
    pub framing: Framing,
    /// When the head of the answer was received.
    pub answered_at: Option<Timestamp>,
    /// When the first event of the answer was forwarded.
    pub began_at: Option<Timestamp>,
    /// Path of the endpoint's health check, if known.
    pub health_path: Option<Name>,
    /// The end of the answer, while it is not known whether a crash of the endpoint caused it.
    pub unconfirmed_end: Option<UnconfirmedEnd>,
    /// What the engine does with the prompt; `None` after the first event, and if there is no
    /// prompt with shared parts.
    pub prompt: Option<PromptRead>,
}

impl Attempt {
    /// Whether the endpoint has been writing the answer for so long that no part of the prompt
    /// crashes it.
    pub fn has_survived(&self, now: Timestamp) -> bool {
        let until = self.unconfirmed_end.as_ref().map_or(now, |end| end.at);
        self.began_at.is_some_and(|began_at| until >= began_at + SURVIVAL_TIME)
    }
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request as received.
    pub incoming: IncomingRequest,
    /// Its route, as configured when the request arrived.
    pub route: Route,
    /// The pool that runs the request.
    pub pool: Name,
    /// Organisation of the caller.
    pub organisation: Option<Name>,
    /// Fingerprint of the request's content and organisation.
    pub fingerprint: Fingerprint,
    /// Regions where the request may run.
    pub allowed_regions: AllowedRegions,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When the caller or the route's timeout ends the wait for an answer.
    pub deadline: Timestamp,
    /// Id under which the stages are submitted to their owner.
    pub job: JobId,
    /// Current phase.
    pub phase: Phase,
    /// Results by stage.
    pub results: Vec<Vec<StoredResult>>,
    /// The last owner of the stages, also after they are done.
    pub owner: Option<SocketAddr>,
    /// Cells that the stages were submitted to, in order.
    pub cells: Vec<Name>,
    /// Owners that were asked and did not complete the stages.
    pub skipped_owners: Vec<SocketAddr>,
    /// The open call.
    pub attempt: Option<Attempt>,
    /// The permit that the request waits for.
    pub permit: Option<AwaitedPermit>,
    /// Number of permits that were asked for.
    pub permits_asked: u32,
    /// Number of calls that were ordered.
    pub sends: u32,
    /// Number of calls that failed and may have run.
    pub uncertain_attempts: u32,
    /// What the last call runs: the content, then the shared parts of the prompt.
    pub runs: Vec<Run>,
    /// Endpoints that the request was sent to.
    pub tried: Vec<Name>,
    /// Place behind the events that the caller has, or states to have.
    pub place: Place,
    /// The lookup of the stream's origin, while the caller resumes a stream whose origin is unknown.
    pub lookup: Option<OriginLookup>,
    /// Whether a record shows that the stream which the caller resumes has begun.
    pub has_begun: bool,
    /// Origin of the stream, once an event of it was forwarded.
    pub origin: Option<Origin>,
    /// Whether owners hold results of the stages for this request.
    pub holds_results: bool,
}

impl Request {
    /// Urgency of the request.
    pub fn urgency(&self) -> Urgency {
        Urgency { priority: self.priority, route: self.route.priority }
    }

    /// Whether the request has stages with pieces.
    pub fn has_stages(&self) -> bool {
        !self.route.stages.is_empty() && self.incoming.has_pieces()
    }

    /// Whether an owner may have started the stages before: for this request, or for the stream that
    /// its caller resumes. What was admitted once is not refused later.
    pub fn may_have_started(&self) -> bool {
        self.holds_results || self.sends > 0 || self.has_begun
    }

    /// Whether the stages were submitted and their results have been freed since.
    pub fn results_freed(&self) -> bool {
        self.has_stages() && !self.holds_results
    }

    /// Whether the stages are with this owner now.
    pub fn is_with_owner(&self, address: SocketAddr) -> bool {
        matches!(self.phase, Phase::Stages { owner, .. } if owner == address)
    }

    /// Whether the request may be sent again after a call that may have run.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat == Repeat::Idempotent || self.route.streams && self.route.resumable
    }

    /// Whether the request may run at an endpoint of its pool: in an allowed region and, once its
    /// stream has begun, of the software version that began it.
    pub fn may_run_at(&self, endpoint: &Endpoint) -> bool {
        let is_of_origin = self.origin.as_ref().is_none_or(|origin| origin.allows(endpoint));
        is_of_origin && self.allowed_regions.allows(endpoint)
    }

    /// Id of the event after which an endpoint is asked to resume the stream.
    pub fn after_event(&self) -> Option<&str> {
        self.place.last_id().or(self.incoming.after_event.as_deref())
    }

    /// Ids of the parts of the prompt that other requests may share, in order: all but the last one.
    pub fn shared_prompt_parts(&self) -> impl Iterator<Item = &str> {
        let parts = self.incoming.generation.as_ref().map_or(&[][..], |g| &g.parts);
        let shared = &parts[..parts.len().saturating_sub(1)];
        shared.iter().map(|(id, _)| id.as_str())
    }

    /// The last part of the prompt that other requests share: the last but one, or the only one.
    pub fn shared_prompt_part(&self) -> Option<&str> {
        let parts = &self.incoming.generation.as_ref()?.parts;
        let shared = if parts.len() > 1 { &parts[parts.len() - 2] } else { parts.last()? };
        Some(&shared.0)
    }

    /// The part before the last shared one, which prompts with other shared parts have as well, and
    /// the number of tokens up to its end.
    pub fn common_prompt_part(&self) -> Option<(&str, u64)> {
        let parts = &self.incoming.generation.as_ref()?.parts;
        let common = &parts[..parts.len().checked_sub(2)?];
        Some((&common.last()?.0, common.iter().map(|part| part.1).sum()))
    }

    /// Number of tokens in the parts of the prompt that other requests share, and in the rest.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let parts = self.incoming.generation.as_ref().map_or(&[][..], |g| &g.parts);
        let Some((own, shared)) = parts.split_last() else {
            return (0, 0);
        };
        (shared.iter().map(|part| part.1).sum(), own.1)
    }

    /// Expected time from the call of an engine to the first event.
    pub fn expected_start(&self) -> Duration {
        let generation = self.incoming.generation.as_ref();
        let own = generation.and_then(|g| g.parts.last()).map_or(0, |p| p.1);
        INITIAL_START_TIME + PROMPT_TOKEN_TIME * u32::try_from(own).unwrap_or(u32::MAX)
    }

    /// Expected length of the run: the maximum number of output tokens plus the prompt, in
    /// equivalents of output tokens.
    pub fn size(&self) -> u64 {
        let generation = self.incoming.generation.as_ref();
        generation.map_or(1, |g| {
            g.output_tokens.max(1) + g.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN
        })
    }

    /// The results that the run needs, in order.
    pub fn inputs(&self) -> Vec<StoredResult> {
        let last = self.route.last_stages();
        last.flat_map(|s| self.results.get(s).cloned().unwrap_or_default()).collect()
    }

    /// Whether the results of all last stages are complete.
    pub fn has_all_results(&self) -> bool {
        let pieces = |stage: usize| self.incoming.pieces.get(stage).copied().unwrap_or_default();
        let results = |stage: usize| self.results.get(stage).map_or(0, Vec::len);
        self.route.last_stages().all(|stage| results(stage) == pieces(stage))
    }

    /// Time without a response after which a repeatable call counts as silent.
    pub fn response_timeout(&self) -> Duration {
        if self.route.streams {
            self.route.objective.mul_f64(1.2)
        } else {
            self.route.objective.mul_f64(0.6)
        }
    }

    /// Gateways that may hold results for the request: skipped owners and the current one.
    pub fn owners(&self) -> Vec<SocketAddr> {
        let mut owners = self.skipped_owners.clone();
        owners.extend(self.owner);
        owners
    }
}
