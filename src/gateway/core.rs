//! Decision logic of the gateway, without I/O or clock: maps events to actions.
//!
//! A result is adopted once per request and stage; a reply that matches no open call is dropped and
//! counted as stray. A second attempt of a stage requires a proof that the first did not run, or a
//! stage that may be repeated.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use super::event::{Action, Answer, Event, Setup};
use super::request::{
    Attempt, Request, Submission, new_attempt, run_request, start, time_allowed, wait_limit,
};
use crate::actor::Core;
use crate::config::Endpoint;
use crate::fleet::Fleet;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::{AttemptId, Incarnation, Ran, RequestId, Timestamp};
use crate::metrics as m;
use crate::policy::admit::{AdmissionRequest, Admitted, add_jitter, admit};
use crate::policy::budget::RetryBudget;
use crate::policy::demand::Demand;
use crate::policy::explain::{Decision, Record, RecordStore, Step};
use crate::policy::limit::Limiter;
use crate::policy::predict::SizeClass;
use crate::policy::route::{RoutingContext, choose};
use crate::refusal::{Reason, Refusal};
use crate::view::View;

/// Default retry delay of a refusal, for refusals without an estimate.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// An attempt is revoked if its agent has not replied within this time.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between removals of the state of unused endpoints.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// If an agent has not replied within this time, a non-repeatable stage is first sent to it as a
/// probe, without an incarnation, which no agent runs.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline,
    ReplyTimeout(AttemptId),
    WaitLimit(AttemptId),
    Stall(AttemptId),
    Resume(AttemptId),
}

/// Core of one gateway: its state and its decisions.
#[derive(Debug)]
pub struct GatewayCore {
    pub(super) setup: Setup,
    pub(super) rng: StdRng,
    pub(super) view: Option<Arc<View>>,
    pub(super) fleet: Fleet,
    pub(super) limiter: Limiter,
    pub(super) demand: Demand,
    pub(super) budget: RetryBudget,
    pub(super) gateways: usize,
    pub(super) draining: bool,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) attempts: HashMap<AttemptId, u64>,
    pub(super) timers: BTreeSet<(Timestamp, u64, Timer)>,
    pub(super) records: RecordStore,
    pub(super) forget_at: Timestamp,
    pub(super) next_number: u64,
    pub(super) next_sequence: u64,
    pub(super) next_call: u64,
    pub(super) actions: Vec<Action>,
}

impl Core for GatewayCore {
    type Event = Event;
    type Action = Action;
    const TICK: Event = Event::Tick;

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        match event {
            Event::Submit { caller, submission } => self.on_submit(caller, submission, now),
            Event::CallerDisconnected { caller } => self.on_caller_disconnected(caller, now),
            Event::Reply { call, attempt, from, load, reply } => {
                self.on_reply(call, attempt, from, load, reply, now);
            }
            Event::CallLost { call, attempt } => self.on_call_lost(call, attempt, now),
            Event::CallUnsent { call, attempt } => self.on_call_unsent(call, attempt, now),
            Event::Revoked { attempt, outcome } => self.on_revoked(attempt, outcome, now),
            Event::Configure { view } => self.view = Some(view),
            Event::Gateways { count } => self.gateways = count.max(1),
            Event::Drain => self.draining = true,
            Event::Tick => self.forget_unused(now),
        }
        self.fire_timers(now);
        std::mem::take(&mut self.actions)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _, _)| *at)
    }
}

impl GatewayCore {
    /// Creates a gateway without a configuration.
    pub fn new(setup: Setup) -> Self {
        Self {
            rng: StdRng::seed_from_u64(setup.seed),
            records: RecordStore::new(setup.records),
            setup,
            view: None,
            fleet: Fleet::default(),
            limiter: Limiter::default(),
            demand: Demand::default(),
            budget: RetryBudget::default(),
            gateways: 1,
            draining: false,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            forget_at: Timestamp::ZERO,
            next_number: 1,
            next_sequence: 1,
            next_call: 1,
            actions: Vec::new(),
        }
    }

    /// Demand of the requests in flight on the pools of their remaining stages.
    pub const fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether the gateway refuses new requests because it is draining.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// The configuration in force, if any.
    pub const fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// State of the endpoints as this gateway sees it.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of retries that the retry budget allows now.
    pub const fn retries_left(&self) -> f64 {
        self.budget.remaining()
    }

    /// Records of up to `count` ended requests, newest first.
    pub fn recent(&self, count: usize) -> impl Iterator<Item = &Arc<Record>> {
        self.records.recent(count)
    }

    /// Record of a request of this incarnation, in flight or ended.
    pub fn record(&self, id: &RequestId) -> Option<Arc<Record>> {
        if id.incarnation != self.setup.incarnation {
            return None;
        }
        if let Some(request) = self.requests.values().find(|r| r.record.id == *id) {
            return Some(Arc::new(request.record.clone()));
        }
        self.records.get(id.number).cloned()
    }

    fn forget_unused(&mut self, now: Timestamp) {
        if now >= self.forget_at {
            self.forget_at = now + FORGET_INTERVAL;
            self.fleet.forget_unused(now);
        }
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
                self.demand.add(&request.pools);
                self.timers.insert((deadline, caller, Timer::Deadline));
                self.requests.insert(caller, request);
                self.dispatch(caller, now);
            }
            Err(refusal) => {
                m::refused(&refusal);
                record.steps.push((now, Step::Refused(refusal.clone())));
                self.records.keep(record);
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
        let admission = AdmissionRequest {
            view: &view,
            pipeline,
            organisation,
            labels: &submission.labels,
            size: SizeClass::of(submission.input.len()),
            left: time_allowed(submission, pipeline.pipeline.deadline_ms),
            gateways: self.gateways,
        };
        let admitted =
            admit(&admission, &self.fleet, &self.demand, &mut self.limiter, now, &mut self.rng)?;
        Ok((view, admitted))
    }

    /// Sends the current stage to an endpoint, or refuses the request if there is none.
    pub(super) fn dispatch(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if now >= request.deadline {
            return self.refuse_deadline_passed(caller, now);
        }
        let context = RoutingContext {
            view: &request.view,
            stage: request.stage_view(),
            rules: &request.rules,
            size: request.size(),
            tried: &request.tried,
            avoid_failed: request.met_silence,
            turn: self.next_sequence,
            now,
        };
        let decision = choose(&context, &self.fleet, &mut self.rng);
        match decision.endpoint().cloned() {
            Some(endpoint) => self.send(caller, endpoint, decision, now),
            None if self.readmit_unanswered(caller, now) => self.dispatch(caller, now),
            None => self.refuse_no_endpoint(caller, &decision, now),
        }
    }

    fn send(&mut self, caller: u64, endpoint: Arc<Endpoint>, decision: Decision, now: Timestamp) {
        let id = AttemptId { gateway: self.setup.incarnation, sequence: self.next_sequence };
        self.next_sequence += 1;
        let agent = self.incarnation_for(caller, &endpoint.name, now);
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
        if !std::mem::replace(&mut request.is_retry, true) {
            self.budget.earn(request.view.config.policy.retry_fraction);
        }
        request.record.steps.push((now, Step::Sent(decision)));
        let run = run_request(request, id, agent, &endpoint, None, now);
        request.attempt = Some(new_attempt(id, endpoint.clone(), agent, call, now));
        let wait_limit = wait_limit(request, now);
        self.attempts.insert(id, caller);
        self.timers.insert((wait_limit, caller, Timer::WaitLimit(id)));
        self.timers.insert((now + REPLY_TIMEOUT, caller, Timer::ReplyTimeout(id)));
        self.fleet.sent(&endpoint.name, now);
        self.actions.push(Action::Run { endpoint, call, run });
    }

    /// Incarnation of the agent to address an attempt to. Returns `UNKNOWN` if the stage may not be
    /// repeated and the agent has not replied recently: no agent runs such a probe, so the outcome
    /// is certain even if the agent is unreachable.
    fn incarnation_for(&self, caller: u64, endpoint: &str, now: Timestamp) -> Incarnation {
        let Some(state) = self.fleet.get(endpoint) else {
            return Incarnation::UNKNOWN;
        };
        let may_repeat = self.requests.get(&caller).is_some_and(Request::may_repeat_stage);
        if may_repeat || state.has_replied_within(PROBE_AFTER, now) {
            return state.incarnation;
        }
        Incarnation::UNKNOWN
    }

    pub(super) const fn new_call(&mut self) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    /// Adopts a stage's result into its request. Results are adopted nowhere else.
    pub(super) fn adopt(&mut self, caller: u64, digest: u64, service: Duration, now: Timestamp) {
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
        self.demand.remove(&request.pools[request.stage..=request.stage]);
        request.stage += 1;
        request.input = result;
        request.tried.clear();
        request.unanswered.clear();
        request.is_retry = false;
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
        self.records.keep(request.record);
        self.actions.push(Action::Answer { caller, answer });
    }

    /// Closes the open attempt; later replies to it are counted as stray.
    pub(super) fn close_attempt(&mut self, caller: u64, now: Timestamp) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&caller)?.attempt.take()?;
        self.attempts.remove(&attempt.id);
        self.fleet.ended(&attempt.endpoint.name, now);
        self.actions.push(Action::CloseCall { call: attempt.call });
        Some(attempt)
    }

    fn on_caller_disconnected(&mut self, caller: u64, now: Timestamp) {
        if self.requests.contains_key(&caller) {
            self.refuse(caller, Reason::CallerGone, RETRY_AFTER, now);
        }
    }

    pub(super) fn refuse_deadline_passed(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let stage = request.stage_view().stage.name.clone();
        self.refuse(caller, Reason::DeadlinePassed { stage }, RETRY_AFTER, now);
    }

    fn refuse_no_endpoint(&mut self, caller: u64, decision: &Decision, now: Timestamp) {
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

    /// Ends a request with a refusal, cancelling its open attempt.
    pub(super) fn refuse(
        &mut self,
        caller: u64,
        reason: Reason,
        retry_after: Duration,
        now: Timestamp,
    ) {
        if let Some(attempt) = self.close_attempt(caller, now) {
            // The attempt was sent and is not proved not to have run.
            if let Some(request) = self.requests.get_mut(&caller) {
                request.stage_begun = true;
            }
            let (endpoint, id, agent) = (attempt.endpoint, attempt.id, attempt.agent);
            self.actions.push(Action::Cancel { endpoint, attempt: id, agent });
        }
        let Some(mut request) = self.remove(caller) else {
            return;
        };
        // If the ticket is used, another run of the request may have executed stages.
        let used = matches!(reason, Reason::TicketUsed);
        let ran = if used { Ran::Unknown } else { request.ran() };
        let violation = Violation::FalseNotRun { request: request.record.id.to_string() };
        invariant!(ran != Ran::NotRun || request.stage == 0 && !request.stage_begun, violation);
        let retry_after = add_jitter(retry_after, &mut self.rng);
        let refusal = Refusal { ran, reason, stages_run: request.stages_run(), retry_after };
        m::refused(&refusal);
        request.record.steps.push((now, Step::Refused(refusal.clone())));
        let answer = Answer::Refused { request: request.record.id.clone(), refusal };
        self.records.keep(request.record);
        self.actions.push(Action::Answer { caller, answer });
    }

    fn remove(&mut self, caller: u64) -> Option<Request> {
        let request = self.requests.remove(&caller)?;
        self.timers.remove(&(request.deadline, caller, Timer::Deadline));
        self.demand.remove(&request.pools[request.stage..]);
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
                Timer::Deadline => self.refuse_deadline_passed(caller, now),
                Timer::WaitLimit(id) if self.attempts.contains_key(&id) => {
                    self.on_wait_limit(caller, now);
                }
                Timer::Resume(id) if self.attempts.contains_key(&id) => self.resume(caller, now),
                Timer::ReplyTimeout(id) if self.is_unanswered(id) => self.revoke_waiting(caller),
                Timer::Stall(id) if self.attempts.contains_key(&id) => {
                    self.check_progress(caller, now);
                }
                Timer::ReplyTimeout(_)
                | Timer::WaitLimit(_)
                | Timer::Stall(_)
                | Timer::Resume(_) => {}
            }
        }
    }
}
