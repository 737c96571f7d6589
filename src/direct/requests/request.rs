//! The state of one caller's request in a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::IncomingRequest;
use crate::direct::peers::message::{JobId, Made};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::homes::Homes;
use crate::direct::published::model::{Endpoint, Name, Repeat, Route};
use crate::direct::requests::permits::Awaited;
use crate::message::Timestamp;

/// Time to the first event besides reading the prompt, before any was measured.
const START_TIME: Duration = Duration::from_millis(80);
/// Time to read one token of a prompt at a busy engine.
const TOKEN_TIME: Duration = Duration::from_micros(30);

/// Tokens of a prompt that take as long to read as one token to make.
const PROMPT_TOKENS: u64 = 200;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// Its stages are with an owner.
    Stages {
        /// The owner.
        owner: SocketAddr,
        /// The owner's life.
        incarnation: u64,
        /// When they were submitted.
        submitted: Timestamp,
        /// Whether the owner has begun them.
        accepted: bool,
    },
    /// It runs, or is about to.
    Running,
    /// Its answer is a stream that is being passed on.
    Streaming,
}

/// One call for a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Counts all attempts of the gateway.
    pub number: u64,
    /// Where.
    pub endpoint: Arc<Endpoint>,
    /// When it was ordered.
    pub ordered: Timestamp,
    /// When it went out over a connection that was up, if it needs results.
    pub sent: Option<Timestamp>,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// What was asked.
    pub incoming: IncomingRequest,
    /// Its route, as it stood when the request came.
    pub route: Route,
    /// The pool that runs it.
    pub pool: Name,
    /// Who asks.
    pub organisation: Option<Name>,
    /// What it holds and who asks.
    pub fingerprint: Fingerprint,
    /// Where it may run.
    pub homes: Homes,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When it came.
    pub arrived: Timestamp,
    /// When the caller or the operator stops waiting.
    pub deadline: Timestamp,
    /// Its stages at their owner.
    pub job: JobId,
    /// Where it stands.
    pub phase: Phase,
    /// Results by stage.
    pub results: Vec<Vec<Made>>,
    /// The owner of its stages, also after they are done.
    pub owner: Option<SocketAddr>,
    /// Cells that its stages were submitted to, the last one last.
    pub cells: Vec<Name>,
    /// Owners that were asked and did not take it.
    pub passed_over: Vec<SocketAddr>,
    /// The open call.
    pub attempt: Option<Attempt>,
    /// The permit that it waits for.
    pub permit: Option<Awaited>,
    /// Permits that were asked for it.
    pub permits_asked: u32,
    /// Calls that were sent.
    pub sends: u32,
    /// Calls after which it may have run.
    pub may_have_run: u32,
    /// What its last call knew of endpoints that crashed under it; see [`crate::direct::poison::Run`].
    pub round: u8,
    /// Endpoints that it was sent to.
    pub tried: Vec<Name>,
    /// The last event that was passed on.
    pub last_event: Option<String>,
    /// Whether its stages hold results at an owner.
    pub holds_results: bool,
}

impl Request {
    /// Whether it has stages with pieces.
    pub fn has_stages(&self) -> bool {
        !self.route.stages.is_empty() && self.incoming.has_pieces()
    }

    /// Whether its stages were made and their results are freed.
    pub fn lacks_results(&self) -> bool {
        self.has_stages() && !self.holds_results
    }

    /// Whether its stages are with this owner now.
    pub fn is_with(&self, address: SocketAddr) -> bool {
        matches!(self.phase, Phase::Stages { owner, .. } if owner == address)
    }

    /// Whether it may run again after it may have run.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat == Repeat::Idempotent || self.route.streams && self.route.resumable
    }

    /// The last part of the prompt that other requests share, or the whole of what is known.
    pub fn shared_part(&self) -> Option<&str> {
        let parts = &self.incoming.generation.as_ref()?.parts;
        let shared = if parts.len() > 1 { &parts[parts.len() - 2] } else { parts.last()? };
        Some(&shared.0)
    }

    /// Expected time from handing it to an engine to its first event.
    pub fn expected_start(&self) -> Duration {
        let generation = self.incoming.generation.as_ref();
        let own = generation.and_then(|g| g.parts.last()).map_or(0, |p| p.1);
        START_TIME + TOKEN_TIME * u32::try_from(own).unwrap_or(u32::MAX)
    }

    /// What the length of its run goes by: the tokens that it may make, and the prompt in such.
    pub fn size(&self) -> u64 {
        let generation = self.incoming.generation.as_ref();
        generation.map_or(1, |g| g.output_tokens.max(1) + g.prompt_tokens / PROMPT_TOKENS)
    }

    /// The results that its run needs, in order.
    pub fn inputs(&self) -> Vec<Made> {
        let last = self.route.last_stages();
        last.flat_map(|s| self.results.get(s).cloned().unwrap_or_default()).collect()
    }

    /// Whether the results of every last stage are there.
    pub fn has_all_results(&self) -> bool {
        let pieces = |stage: usize| self.incoming.pieces.get(stage).copied().unwrap_or_default();
        let results = |stage: usize| self.results.get(stage).map_or(0, Vec::len);
        self.route.last_stages().all(|stage| results(stage) == pieces(stage))
    }

    /// When a silent call is given up, where it may be made again.
    pub fn patience(&self) -> Duration {
        if self.route.streams {
            self.route.objective.mul_f64(1.2)
        } else {
            self.route.objective.mul_f64(0.6)
        }
    }

    /// Gateways that may hold results for it: the owner of its stages, and those passed over.
    pub fn owners(&self) -> Vec<SocketAddr> {
        let mut owners = self.passed_over.clone();
        owners.extend(self.owner);
        owners
    }
}
