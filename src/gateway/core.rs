//! The gateway's decisions, without I/O or clock: events in, actions out.
//!
//! A result is adopted once, into the slot of (request, stage); a reply that matches no open call is
//! dropped and counted. A second attempt of a stage needs a proof that the first did not run, or a
//! stage that may be repeated.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use super::request::{Attempt, Progress, Request, Submission};
use crate::config::Endpoint;
use crate::fleet::Fleet;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::{
    AgentReason, AttemptId, Incarnation, Load, Ran, Reply, RequestId, Revocation, Run, RunId,
    Timestamp,
};
use crate::metrics as m;
use crate::policy::admit::{Admitted, Candidate, admit, spread};
use crate::policy::budget::RetryBudget;
use crate::policy::explain::{Decision, Ledger, Record, Step};
use crate::policy::limit::Limiter;
use crate::policy::predict::SizeClass;
use crate::policy::route::{Question, choose};
use crate::refusal::{Reason, Refusal};
use crate::result::{AppendError, ResultBuffer};
use crate::view::View;

/// Calls resumed in vain before an attempt of a repeatable stage is left for another endpoint.
const RESUMES_BEFORE_ELSEWHERE: u32 = 2;
/// The first wait before a lost call is resumed; each further one is twice as long.
const RESUME_FIRST: Duration = Duration::from_millis(20);
/// The longest wait before a lost call is resumed.
const RESUME_LONGEST: Duration = Duration::from_millis(500);
/// When to come back after a refusal where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// A waiting attempt is taken back at the latest this share of the deadline before it.
const LAST_REVOKE_SHARE: f64 = 0.1;

/// Stands for a call that is lost and not yet resumed.
const NO_CALL: u64 = 0;

/// What a gateway is made with.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The host's name in the settings.
    pub host: Arc<str>,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Requests in flight at most.
    pub in_flight: usize,
    /// Requests whose records are kept.
    pub records: usize,
    /// Bytes of one result at most.
    pub result_bytes: usize,
    /// The seed of the random choices.
    pub seed: u64,
}

/// What happens to a gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller asks; `caller` names where the answer goes.
    Submit {
        /// Chosen by the shell.
        caller: u64,
        /// What is asked.
        submission: Submission,
    },
    /// The caller went away.
    CallerGone {
        /// Who.
        caller: u64,
    },
    /// An agent replies.
    Reply {
        /// On this call.
        call: u64,
        /// Of this attempt.
        attempt: AttemptId,
        /// The agent's incarnation.
        from: Incarnation,
        /// Its load.
        load: Option<Load>,
        /// What it says.
        reply: Reply,
    },
    /// A call ended without a final reply.
    Lost {
        /// The call.
        call: u64,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A call could not be made; nothing was sent.
    Unsent {
        /// The call.
        call: u64,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A revocation was answered.
    Revoked {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        outcome: Revocation,
    },
    /// A configuration is in force.
    Configure {
        /// The configuration.
        view: Arc<View>,
    },
    /// Gateways that share the limits.
    Gateways {
        /// How many.
        count: usize,
    },
    /// The process was told to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The whole result.
    Complete {
        /// The request.
        request: RequestId,
        /// The last stage's result.
        result: Bytes,
        /// xxh3-64 of it.
        digest: u64,
    },
    /// A refusal.
    Refused {
        /// The request, where it got an identity.
        request: RequestId,
        /// Why, what ran, when to come back.
        refusal: Refusal,
    },
}

/// What the gateway's shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an agent.
    Run {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The new call.
        call: u64,
        /// What to ask.
        run: Run,
    },
    /// Take an attempt back.
    Revoke {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The attempt.
        attempt: AttemptId,
        /// The agent's incarnation that was meant.
        agent: Incarnation,
    },
    /// Tell an agent that nobody waits for an attempt.
    Cancel {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// The attempt.
        attempt: AttemptId,
        /// The agent's incarnation that was meant.
        agent: Incarnation,
    },
    /// Let go of a call.
    Hangup {
        /// The call.
        call: u64,
    },
    /// Pass on a piece of the last stage's result.
    Chunk {
        /// To whom.
        caller: u64,
        /// Where the piece starts.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// What the caller has seen so far is void; the result starts anew.
    Reset {
        /// Who.
        caller: u64,
    },
    /// The final answer.
    Answer {
        /// To whom.
        caller: u64,
        /// The answer.
        answer: Answer,
    },
    /// An endpoint's state changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: String,
        /// How.
        change: EndpointChange,
    },
}

/// A change in what a gateway thinks of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// It failed or can't be reached.
    Suspected,
    /// It was heard of again.
    Back,
    /// It takes no new work.
    Leaving,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Deadline,
    Patience(AttemptId),
    Resume(AttemptId),
}

/// The state of one gateway.
#[derive(Debug)]
pub struct GatewayCore {
    setup: Setup,
    rng: StdRng,
    view: Option<Arc<View>>,
    fleet: Fleet,
    limiter: Limiter,
    budget: RetryBudget,
    gateways: usize,
    draining: bool,
    requests: HashMap<u64, Request>,
    attempts: HashMap<AttemptId, u64>,
    timers: BTreeSet<(Timestamp, u64, Timer)>,
    ledger: Ledger,
    next_number: u64,
    next_sequence: u64,
    next_call: u64,
    actions: Vec<Action>,
}

impl GatewayCore {
    /// A gateway without a configuration.
    pub fn new(setup: Setup) -> Self {
        Self {
            rng: StdRng::seed_from_u64(setup.seed),
            ledger: Ledger::new(setup.records),
            setup,
            view: None,
            fleet: Fleet::default(),
            limiter: Limiter::default(),
            budget: RetryBudget::default(),
            gateways: 1,
            draining: false,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            next_number: 1,
            next_sequence: 1,
            next_call: 1,
            actions: Vec::new(),
        }
    }

    /// Takes in an event and returns what must be done, in order.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        match event {
            Event::Submit { caller, submission } => self.on_submit(caller, submission, now),
            Event::CallerGone { caller } => self.on_caller_gone(caller, now),
            Event::Reply { call, attempt, from, load, reply } => {
                self.on_reply(call, attempt, from, load, reply, now);
            }
            Event::Lost { call, attempt } => self.on_lost(call, attempt, now),
            Event::Unsent { call, attempt } => self.on_unsent(call, attempt, now),
            Event::Revoked { attempt, outcome } => self.on_revoked(attempt, outcome, now),
            Event::Configure { view } => self.view = Some(view),
            Event::Gateways { count } => self.gateways = count.max(1),
            Event::Drain => self.draining = true,
            Event::Tick => self.fleet.forget_unused(now),
        }
        self.fire_timers(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _, _)| *at)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether it takes no new requests.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// The configuration in force.
    pub const fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// What it knows of the endpoints.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Retries that could be made now.
    pub const fn retries_left(&self) -> f64 {
        self.budget.left()
    }

    /// Ended requests that are still known, the newest first.
    pub fn recent(&self, count: usize) -> impl Iterator<Item = &Arc<Record>> {
        self.ledger.recent(count)
    }

    /// The record of a request of this incarnation, in flight or ended.
    pub fn record(&self, id: &RequestId) -> Option<Arc<Record>> {
        if id.incarnation != self.setup.incarnation {
            return None;
        }
        if let Some(request) = self.requests.values().find(|r| r.record.id == *id) {
            return Some(Arc::new(request.record.clone()));
        }
        self.ledger.get(id.number).cloned()
    }

    fn new_id(&mut self) -> RequestId {
        let number = self.next_number;
        self.next_number += 1;
        let (gateway, incarnation) = (self.setup.host.clone(), self.setup.incarnation);
        RequestId { gateway, incarnation, number }
    }

    fn on_submit(&mut self, caller: u64, submission: Submission, now: Timestamp) {
        let id = self.new_id();
        let mut record = Record {
            id: id.clone(),
            pipeline: submission.pipeline.clone(),
            organisation: submission.organisation.clone(),
            arrived: now,
            steps: Vec::with_capacity(16),
        };
        match self.admit(&submission, now) {
            Ok((view, admitted)) => {
                let request = start(submission, view, admitted, record, now);
                let deadline = request.deadline;
                self.timers.insert((deadline, caller, Timer::Deadline));
                self.requests.insert(caller, request);
                self.dispatch(caller, now);
            }
            Err(refusal) => {
                m::refused(&refusal);
                record.steps.push((now, Step::Refused(refusal.clone())));
                self.ledger.keep(record);
                let answer = Answer::Refused { request: id, refusal };
                self.actions.push(Action::Answer { caller, answer });
            }
        }
    }

    fn admit(
        &mut self,
        submission: &Submission,
        now: Timestamp,
    ) -> Result<(Arc<View>, Admitted), Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason, RETRY_AFTER));
        let Some(view) = self.view.clone() else {
            return refuse(Reason::NoConfiguration);
        };
        if self.draining {
            return refuse(Reason::Draining);
        }
        let bound = self.setup.in_flight;
        if self.requests.len() >= bound {
            return refuse(Reason::TooManyInFlight { bound });
        }
        let Some(pipeline) = view.pipeline(&submission.pipeline) else {
            return refuse(Reason::UnknownPipeline { pipeline: submission.pipeline.clone() });
        };
        let Some(organisation) = view.organisation(&submission.organisation) else {
            let organisation = submission.organisation.clone();
            return refuse(Reason::UnknownOrganisation { organisation });
        };
        let candidate = Candidate {
            view: &view,
            pipeline,
            organisation,
            labels: &submission.labels,
            size: SizeClass::of(submission.input.len()),
            left: time_allowed(submission, pipeline.pipeline.deadline_ms),
            gateways: self.gateways,
        };
        let admitted = admit(&candidate, &self.fleet, &mut self.limiter, now, &mut self.rng)?;
        Ok((view, admitted))
    }

    /// Sends the current stage to an endpoint, or gives the request up.
    fn dispatch(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if now >= request.deadline {
            return self.give_up_late(caller, now);
        }
        let question = Question {
            view: &request.view,
            stage: request.stage_view(),
            rules: &request.rules,
            size: request.size(),
            tried: &request.tried,
            now,
        };
        let decision = choose(&question, &self.fleet, &mut self.rng);
        match decision.endpoint().cloned() {
            Some(endpoint) => self.send(caller, endpoint, decision, now),
            None => self.give_up_nowhere(caller, &decision, now),
        }
    }

    fn send(&mut self, caller: u64, endpoint: Arc<Endpoint>, decision: Decision, now: Timestamp) {
        let id = AttemptId { gateway: self.setup.incarnation, sequence: self.next_sequence };
        self.next_sequence += 1;
        let agent =
            self.fleet.get(&endpoint.name).map_or(Incarnation::UNKNOWN, |state| state.incarnation);
        let call = self.new_call();
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let violation = Violation::DispatchWithoutProof {
            request: request.record.id.to_string(),
            stage: request.stage,
        };
        if !invariant!(!request.stage_begun || request.may_repeat_stage(), violation) {
            return;
        }
        if request.tried.is_empty() {
            self.budget.earn(request.view.config.policy.retry_fraction);
        }
        request.record.steps.push((now, Step::Sent(decision)));
        let run = run_of(request, id, agent, &endpoint, None, now);
        request.attempt = Some(new_attempt(id, endpoint.clone(), agent, call, now));
        let patience = patience(request, now);
        self.attempts.insert(id, caller);
        self.timers.insert((patience, caller, Timer::Patience(id)));
        self.fleet.sent(&endpoint.name, now);
        self.actions.push(Action::Run { endpoint, call, run });
    }

    const fn new_call(&mut self) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    fn on_reply(
        &mut self,
        call: u64,
        id: AttemptId,
        from: Incarnation,
        load: Option<Load>,
        reply: Reply,
        now: Timestamp,
    ) {
        let Some((caller, attempt)) = self.open(id) else {
            m::stray();
            return;
        };
        if attempt.call != call {
            m::stray();
            return;
        }
        attempt.resumes = 0;
        let name = attempt.endpoint.name.clone();
        let was_suspected = self.fleet.get(&name).is_some_and(|e| e.is_suspected(now));
        self.fleet.heard(&name, from, load, now);
        if was_suspected {
            self.changed(name, EndpointChange::Back);
        }
        match reply {
            Reply::Begun => self.on_begun(caller, now),
            Reply::Chunk { offset, data } => self.on_chunk(caller, offset, &data, now),
            Reply::Done { length, digest, service } => {
                self.on_done(caller, length, digest, service, now);
            }
            Reply::Refused { ran, reason, retry_after } => {
                self.on_refused(caller, from, ran, reason, retry_after, now);
            }
        }
    }

    fn open(&mut self, id: AttemptId) -> Option<(u64, &mut Attempt)> {
        let caller = *self.attempts.get(&id)?;
        let attempt = self.requests.get_mut(&caller)?.attempt.as_mut()?;
        (attempt.id == id).then_some((caller, attempt))
    }

    fn changed(&mut self, endpoint: String, change: EndpointChange) {
        self.actions.push(Action::EndpointChanged { endpoint, change });
    }

    fn on_begun(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        if attempt.progress == Progress::Begun {
            return;
        }
        attempt.progress = Progress::Begun;
        let waited = now.saturating_sub(attempt.sent_at);
        request.record.steps.push((now, Step::Begun { waited }));
        m::waited(waited);
    }

    fn on_chunk(&mut self, caller: u64, offset: u64, data: &Bytes, now: Timestamp) {
        self.on_begun(caller, now);
        let bound = self.setup.result_bytes;
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let passes_on = request.submission.stream && request.is_last_stage();
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        let have = attempt.output.len();
        let fresh = match attempt.output.append(offset, data, bound) {
            Ok(fresh) => fresh,
            // A piece is missing: the call is asked for again from where the result ends.
            Err(AppendError::Gap { .. }) => return self.lose(caller, now),
            Err(AppendError::TooLong { .. }) => {
                return self.outcome_unknown(caller, AgentReason::EndpointMisbehaved, now);
            }
        };
        if passes_on && !fresh.is_empty() {
            request.streamed = true;
            self.actions.push(Action::Chunk { caller, offset: have, data: fresh });
        }
    }

    fn on_done(
        &mut self,
        caller: u64,
        length: u64,
        digest: u64,
        service: Duration,
        now: Timestamp,
    ) {
        self.on_begun(caller, now);
        let Some(attempt) = self.requests.get(&caller).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        if attempt.output.len() < length {
            return self.lose(caller, now);
        }
        if attempt.output.len() != length || attempt.output.digest() != digest {
            m::mismatch();
            return self.outcome_unknown(caller, AgentReason::EndpointMisbehaved, now);
        }
        self.adopt(caller, digest, service, now);
    }

    /// The one place where a stage's result becomes the request's.
    fn adopt(&mut self, caller: u64, digest: u64, service: Duration, now: Timestamp) {
        let Some(attempt) = self.close_attempt(caller, now) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let result = attempt.output.into_bytes();
        let violation = Violation::WrongResult { request: request.record.id.to_string() };
        if !invariant!(xxh3_64(&result) == digest, violation) {
            return;
        }
        let stage = request.stage_view();
        let (key, name) = (stage.key, stage.stage.name.clone());
        self.fleet.measured(&attempt.endpoint.name, key, request.size(), service, now);
        m::stage_done(&name, service, attempt.endpoint.cost);
        let length = result.len() as u64;
        request.record.steps.push((now, Step::StageDone { stage: name, service, length }));
        if request.is_last_stage() {
            return self.complete(caller, result, digest, now);
        }
        request.stage += 1;
        request.input = result;
        request.tried.clear();
        request.stage_begun = false;
        request.last_reason = None;
        self.dispatch(caller, now);
    }

    fn complete(&mut self, caller: u64, result: Bytes, digest: u64, now: Timestamp) {
        let Some(mut request) = self.remove(caller) else {
            return;
        };
        m::completed(now.saturating_sub(request.record.arrived), now <= request.deadline);
        request.record.steps.push((now, Step::Completed));
        let answer = Answer::Complete { request: request.record.id.clone(), result, digest };
        self.ledger.keep(request.record);
        self.actions.push(Action::Answer { caller, answer });
    }

    /// Takes the open attempt out; replies to it are strays from here on.
    fn close_attempt(&mut self, caller: u64, now: Timestamp) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&caller)?.attempt.take()?;
        self.attempts.remove(&attempt.id);
        self.fleet.ended(&attempt.endpoint.name, now);
        self.actions.push(Action::Hangup { call: attempt.call });
        Some(attempt)
    }

    fn on_refused(
        &mut self,
        caller: u64,
        from: Incarnation,
        ran: Ran,
        reason: AgentReason,
        retry_after: Duration,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_ref() else {
            return;
        };
        let endpoint = attempt.endpoint.clone();
        let learnt = reason == AgentReason::WrongIncarnation && attempt.agent != from;
        request
            .record
            .steps
            .push((now, Step::AgentRefused { endpoint: endpoint.name.clone(), reason }));
        if ran != Ran::NotRun {
            return self.outcome_unknown(caller, reason, now);
        }
        if reason == AgentReason::Leaving && self.fleet.leaving(&endpoint.name, now) {
            self.changed(endpoint.name.clone(), EndpointChange::Leaving);
        }
        if reason == AgentReason::EndpointUnreachable && self.fleet.failed(&endpoint.name, now) {
            self.changed(endpoint.name.clone(), EndpointChange::Suspected);
        }
        self.not_run(caller, reason, retry_after, learnt, now);
    }

    /// The attempt is proved not to have run: the stage may go elsewhere.
    fn not_run(
        &mut self,
        caller: u64,
        reason: AgentReason,
        retry_after: Duration,
        same_again: bool,
        now: Timestamp,
    ) {
        let Some(attempt) = self.close_attempt(caller, now) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.last_reason = Some(reason);
        request.retry_after = retry_after;
        if reason == AgentReason::ClaimRefused {
            return self.refuse(caller, Reason::TicketUsed, retry_after, now);
        }
        if same_again {
            return self.dispatch(caller, now);
        }
        request.tried.push(attempt.endpoint.name.clone());
        self.retry(caller, reason, retry_after, now);
    }

    fn retry(&mut self, caller: u64, reason: AgentReason, retry_after: Duration, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        // A refusal for leaving is the fleet's doing and not an overload, so it costs no retry.
        if reason != AgentReason::Leaving && !self.budget.spend() {
            let stage = request.stage_view().stage.name.clone();
            return self.refuse(
                caller,
                Reason::RetryBudget { stage, last: reason },
                retry_after,
                now,
            );
        }
        m::retried();
        self.dispatch(caller, now);
    }

    /// The outcome of the attempt can't be had: run again what may be repeated, else say so.
    fn outcome_unknown(&mut self, caller: u64, reason: AgentReason, now: Timestamp) {
        let Some(attempt) = self.close_attempt(caller, now) else {
            return;
        };
        let endpoint = attempt.endpoint.clone();
        if self.fleet.failed(&endpoint.name, now) {
            self.changed(endpoint.name.clone(), EndpointChange::Suspected);
        }
        let (id, agent) = (attempt.id, attempt.agent);
        self.actions.push(Action::Cancel { endpoint: endpoint.clone(), attempt: id, agent });
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.stage_begun = true;
        request.last_reason = Some(reason);
        if !request.may_repeat_stage() {
            let stage = request.stage_view().stage.name.clone();
            let reason = Reason::OutcomeUnknown { stage, endpoint: endpoint.name.clone() };
            return self.refuse(caller, reason, RETRY_AFTER, now);
        }
        request.tried.push(endpoint.name.clone());
        if std::mem::take(&mut request.streamed) {
            self.actions.push(Action::Reset { caller });
        }
        m::wasted(&self.requests[&caller].stage_view().stage.name);
        self.retry(caller, reason, RETRY_AFTER, now);
    }

    fn on_lost(&mut self, call: u64, id: AttemptId, now: Timestamp) {
        let Some((caller, attempt)) = self.open(id) else {
            return;
        };
        if attempt.call == call {
            self.lose(caller, now);
        }
    }

    fn on_unsent(&mut self, call: u64, id: AttemptId, now: Timestamp) {
        let Some((caller, attempt)) = self.open(id) else {
            return;
        };
        if attempt.call != call {
            return;
        }
        if attempt.was_sent {
            return self.lose(caller, now);
        }
        let endpoint = attempt.endpoint.name.clone();
        if self.fleet.failed(&endpoint, now) {
            self.changed(endpoint, EndpointChange::Suspected);
        }
        self.not_run(caller, AgentReason::AgentUnreachable, RETRY_AFTER, false, now);
    }

    /// The call is gone; the attempt may go on at the agent, so it is asked for again.
    fn lose(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let may_repeat = request.may_repeat_stage();
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        attempt.resumes += 1;
        let call = std::mem::replace(&mut attempt.call, NO_CALL);
        let (id, tries) = (attempt.id, attempt.resumes);
        let endpoint = attempt.endpoint.name.clone();
        request.record.steps.push((now, Step::Lost { endpoint: endpoint.clone() }));
        self.actions.push(Action::Hangup { call });
        if self.fleet.failed(&endpoint, now) {
            self.changed(endpoint, EndpointChange::Suspected);
        }
        if may_repeat && tries > RESUMES_BEFORE_ELSEWHERE {
            return self.outcome_unknown(caller, AgentReason::EndpointUnreachable, now);
        }
        let wait = (RESUME_FIRST * 2u32.pow(tries.min(10) - 1)).min(RESUME_LONGEST);
        self.timers.insert((now + wait, caller, Timer::Resume(id)));
    }

    fn resume(&mut self, caller: u64, now: Timestamp) {
        let call = self.new_call();
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        attempt.call = call;
        attempt.was_sent = true;
        let (id, agent, endpoint) = (attempt.id, attempt.agent, attempt.endpoint.clone());
        let offset = attempt.output.len();
        let run = run_of(request, id, agent, &endpoint, Some(offset), now);
        self.actions.push(Action::Run { endpoint, call, run });
    }

    /// The attempt has waited its share of the time: it is taken back, to go elsewhere or nowhere.
    fn lose_patience(&mut self, caller: u64) {
        let Some(attempt) = self.requests.get_mut(&caller).and_then(|r| r.attempt.as_mut()) else {
            return;
        };
        if attempt.progress != Progress::Sent {
            return;
        }
        attempt.progress = Progress::Revoking;
        let (endpoint, agent) = (attempt.endpoint.clone(), attempt.agent);
        self.actions.push(Action::Revoke { endpoint, attempt: attempt.id, agent });
    }

    fn on_revoked(&mut self, id: AttemptId, outcome: Revocation, now: Timestamp) {
        let Some((caller, attempt)) = self.open(id) else {
            return;
        };
        if attempt.progress != Progress::Revoking {
            return;
        }
        let endpoint = attempt.endpoint.name.clone();
        match outcome {
            Revocation::NotRun => {
                if let Some(request) = self.requests.get_mut(&caller) {
                    request.record.steps.push((now, Step::Revoked { endpoint }));
                }
                self.not_run(caller, AgentReason::Revoked, RETRY_AFTER, false, now);
            }
            Revocation::Begun => self.on_begun(caller, now),
            Revocation::Unknown => self.outcome_unknown(caller, AgentReason::Forgotten, now),
            // The call itself will end, or the deadline comes first.
            Revocation::Unreachable => {}
        }
    }

    fn on_caller_gone(&mut self, caller: u64, now: Timestamp) {
        if self.requests.contains_key(&caller) {
            self.refuse(caller, Reason::CallerGone, RETRY_AFTER, now);
        }
    }

    fn give_up_late(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let stage = request.stage_view().stage.name.clone();
        self.refuse(caller, Reason::DeadlinePassed { stage }, RETRY_AFTER, now);
    }

    fn give_up_nowhere(&mut self, caller: u64, decision: &Decision, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let reason = Reason::NoEndpoint {
            stage: decision.stage.clone(),
            selector: decision.pool.selector.clone(),
            matching: decision.pool.matching,
            last: request.last_reason,
        };
        let retry_after = request.retry_after;
        self.refuse(caller, reason, retry_after, now);
    }

    /// Gives a request up, at once.
    fn refuse(&mut self, caller: u64, reason: Reason, retry_after: Duration, now: Timestamp) {
        if let Some(attempt) = self.close_attempt(caller, now) {
            // What was sent and not proved otherwise may have run.
            if let Some(request) = self.requests.get_mut(&caller) {
                request.stage_begun = true;
            }
            let (endpoint, id, agent) = (attempt.endpoint, attempt.id, attempt.agent);
            self.actions.push(Action::Cancel { endpoint, attempt: id, agent });
        }
        let Some(mut request) = self.remove(caller) else {
            return;
        };
        // Under a used ticket, another run may have run what this one has not.
        let used = matches!(reason, Reason::TicketUsed);
        let ran = if used { Ran::Unknown } else { request.ran() };
        let violation = Violation::FalseNotRun { request: request.record.id.to_string() };
        invariant!(ran != Ran::NotRun || request.stage == 0 && !request.stage_begun, violation);
        let retry_after = spread(retry_after, &mut self.rng);
        let refusal = Refusal { ran, reason, stages_run: request.stages_run(), retry_after };
        m::refused(&refusal);
        request.record.steps.push((now, Step::Refused(refusal.clone())));
        let answer = Answer::Refused { request: request.record.id.clone(), refusal };
        self.ledger.keep(request.record);
        self.actions.push(Action::Answer { caller, answer });
    }

    fn remove(&mut self, caller: u64) -> Option<Request> {
        let request = self.requests.remove(&caller)?;
        self.timers.remove(&(request.deadline, caller, Timer::Deadline));
        let violation = Violation::AnsweredTwice { request: request.record.id.to_string() };
        invariant!(!request.record.is_ended(), violation);
        Some(request)
    }

    fn fire_timers(&mut self, now: Timestamp) {
        while let Some((at, caller, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, caller, timer));
            match timer {
                Timer::Deadline => self.give_up_late(caller, now),
                Timer::Patience(id) if self.attempts.contains_key(&id) => {
                    self.lose_patience(caller);
                }
                Timer::Resume(id) if self.attempts.contains_key(&id) => self.resume(caller, now),
                Timer::Patience(_) | Timer::Resume(_) => {}
            }
        }
    }
}

fn time_allowed(submission: &Submission, configured_ms: u64) -> Duration {
    let configured = Duration::from_millis(configured_ms);
    submission.deadline.unwrap_or(configured)
}

fn start(
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
    Request {
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

fn new_attempt(
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
        output: ResultBuffer::default(),
        resumes: 0,
        was_sent: false,
    }
}

fn run_of(
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
        claim: claim.map(|c| crate::message::Claim { run: run_id, ..c }),
        input: request.input.clone(),
    }
}

/// When a waiting attempt is taken back: after its share of the time left, and in time for the answer.
fn patience(request: &Request, now: Timestamp) -> Timestamp {
    let left = request.deadline.saturating_sub(now);
    let share = request.view.config.policy.patience.min(1.0 - LAST_REVOKE_SHARE);
    now + left.mul_f64(share)
}
