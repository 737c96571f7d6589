//! Callers' requests in one gateway: each gets exactly one final answer.
//!
//! A second call needs a proof that the first did not run, or a request that may run again, and a
//! repeat out of the shared budget.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoints::Observations;
use super::event::{Action, CallFailure, CallOrder, Incoming, Proof, Refusal, Refused};
use super::members::Members;
use super::message::{Job, JobId, JobReason, JobStage, Made, PeerMessage};
use super::model::{Endpoint, Name, Route};
use super::note::{Note, ms};
use super::repeats::{Bounds, Repeats};
use super::request::{Attempt, Phase, Request};
use super::table::Table;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::Timestamp;
use crate::policy::place::place;

/// An owner that has not decided on stages after so long is passed over.
const OWNER_PATIENCE: Duration = Duration::from_millis(120);
/// Owners that are asked at most.
const MAX_OWNERS: usize = 3;
/// Calls for one request at most, also refused ones.
const MAX_SENDS: u32 = 4;
/// When to come back where nothing better is known.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// When to come back to a process that knows too little or stops.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// A request with less time left than that is not sent any more.
const TOO_LATE: Duration = Duration::from_millis(5);
/// A request without a deadline of its own.
const DEFAULT_ALLOWED: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Deadline,
    Owner(u32),
    Silence(u64),
}

/// The requests of one gateway.
#[derive(Debug)]
pub struct Requests {
    own: SocketAddr,
    incarnation: u64,
    data_centre: Name,
    requests: HashMap<u64, Request>,
    by_job: HashMap<JobId, u64>,
    timers: BTreeSet<(Timestamp, u64, Timer)>,
    observations: Observations,
    repeats: Repeats,
    processes: usize,
    next_attempt: u64,
    /// Jobs to be submitted once the members are at hand.
    to_submit: Vec<u64>,
    out: Vec<Action>,
}

impl Requests {
    /// None yet.
    pub fn new(own: SocketAddr, incarnation: u64, data_centre: Name, bounds: Bounds) -> Self {
        Self {
            own,
            incarnation,
            data_centre,
            requests: HashMap::new(),
            by_job: HashMap::new(),
            timers: BTreeSet::new(),
            observations: Observations::default(),
            repeats: Repeats::new(bounds),
            processes: 1,
            next_attempt: 0,
            to_submit: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Requests that have no final answer yet, or whose stream is open.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When [`Self::look`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _, _)| *at)
    }

    /// Takes what must be done.
    pub fn actions(
        &mut self,
        members: &Members,
        table: &Table,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Vec<Action> {
        self.processes = members.known();
        for caller in std::mem::take(&mut self.to_submit) {
            self.submit_stages(caller, members, table, now);
        }
        let mut actions = std::mem::take(&mut self.out);
        for action in &mut actions {
            if let Action::Refuse { refusal, .. } = action {
                refusal.retry_after = refusal.retry_after.mul_f64(rng.random_range(1.0..1.5));
            }
        }
        actions
    }

    /// Endpoints or the configuration changed.
    pub fn changed(&mut self, table: &Table) {
        self.observations.retain(|id| table.endpoint(id).is_some());
    }

    /// A caller asks.
    pub fn submit(
        &mut self,
        caller: u64,
        incoming: Incoming,
        table: &Table,
        known: bool,
        draining: bool,
        now: Timestamp,
    ) {
        let id = incoming.id.clone();
        let request = match admissible(&incoming, table, known, draining) {
            Ok((route, organisation)) => self.begin(caller, incoming, route, organisation, now),
            Err(reason) => return self.refuse_at_door(caller, &id, reason),
        };
        self.out.push(Action::Note(Note::Arrived {
            request: id,
            route: request.route.name.clone(),
            organisation: request.organisation.clone(),
            version: table.deployment.version,
            left_ms: ms(request.deadline.saturating_sub(now)),
        }));
        self.timers.insert((request.deadline, caller, Timer::Deadline));
        let has_stages = request.has_stages();
        self.requests.insert(caller, request);
        if has_stages {
            self.to_submit.push(caller);
        } else {
            self.dispatch(caller, table, now);
        }
    }

    fn begin(
        &self,
        caller: u64,
        incoming: Incoming,
        route: Route,
        organisation: Option<(Name, Option<u8>)>,
        now: Timestamp,
    ) -> Request {
        let allowed = incoming.allowed.unwrap_or(DEFAULT_ALLOWED).min(route.timeout);
        let stages = route.stages.len();
        let priority = organisation.as_ref().and_then(|o| o.1).unwrap_or(route.priority);
        Request {
            pool: target(&route, &incoming.id),
            organisation: organisation.map(|o| o.0),
            priority,
            arrived: now,
            deadline: now + allowed,
            job: JobId { gateway: self.own, incarnation: self.incarnation, number: caller },
            phase: Phase::Running,
            results: vec![Vec::new(); stages],
            owner: None,
            passed_over: Vec::new(),
            attempt: None,
            sends: 0,
            may_have_run: 0,
            tried: Vec::new(),
            last_event: incoming.after_event.clone(),
            holds_results: false,
            incoming,
            route,
        }
    }

    fn refuse_at_door(&mut self, caller: u64, id: &Name, reason: Refused) {
        let retry_after = match reason {
            Refused::NoConfiguration | Refused::Draining => RETRY_ELSEWHERE,
            _ => Duration::ZERO,
        };
        self.out.push(Action::Note(Note::Ended {
            request: id.clone(),
            outcome: format!("refused: {reason:?}"),
            endpoint: None,
            took_ms: 0,
            retry_after_ms: Some(ms(retry_after)),
        }));
        let refusal = Refusal { reason, not_run: true, retry_after };
        self.out.push(Action::Refuse { caller, refusal });
    }

    // Stages.

    fn submit_stages(&mut self, caller: u64, members: &Members, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        // The results go where the run will be, as far as can be told now.
        let place = self.choose(request, table, now);
        let place = place.map_or_else(|| self.data_centre.clone(), |(e, ..)| e.data_centre.clone());
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let owner = members.owner(STAGES, &request.passed_over);
        let tried = request.passed_over.len();
        let Some(owner) = owner.filter(|_| tried < MAX_OWNERS) else {
            return self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        };
        let resubmitted = request.holds_results;
        request.phase = Phase::Stages {
            owner: owner.address,
            incarnation: owner.incarnation,
            submitted: now,
            accepted: false,
        };
        request.holds_results = true;
        request.owner = Some(owner.address);
        let job = job_of(request, resubmitted, place, now);
        self.by_job.insert(request.job, caller);
        let timer = Timer::Owner(tried as u32);
        self.timers.insert((now + OWNER_PATIENCE, caller, timer));
        self.out.push(Action::Note(Note::StagesSubmitted {
            request: request.incoming.id.clone(),
            owner: owner.address,
            resubmitted,
        }));
        let message = PeerMessage::Submit(Box::new(job));
        self.out.push(Action::Tell { to: owner.address, message });
    }

    /// The request of a job, if this owner is the one that has it now.
    fn job(&mut self, job: JobId, from: SocketAddr) -> Option<(u64, &mut Request)> {
        let caller = *self.by_job.get(&job)?;
        let request = self.requests.get_mut(&caller)?;
        let is_owner = matches!(request.phase, Phase::Stages { owner, .. } if owner == from);
        is_owner.then_some((caller, request))
    }

    /// An owner has begun a job.
    pub fn accepted(&mut self, job: JobId, from: SocketAddr) {
        if let Some((_, request)) = self.job(job, from) {
            if let Phase::Stages { accepted, .. } = &mut request.phase {
                *accepted = true;
            }
        } else {
            self.out.push(Action::Tell { to: from, message: PeerMessage::Release(job) });
        }
    }

    /// A stage of a job is done.
    pub fn stage_done(&mut self, job: JobId, from: SocketAddr, stage: usize, results: Vec<Made>) {
        if let Some((_, request)) = self.job(job, from)
            && let Some(slot) = request.results.get_mut(stage)
        {
            *slot = results;
        }
    }

    /// All stages of a job are done.
    pub fn ready(&mut self, job: JobId, from: SocketAddr, table: &Table, now: Timestamp) {
        let Some((caller, request)) = self.job(job, from) else {
            return;
        };
        if !request.has_all_results() {
            // A message was lost on the way: the next owner goes on with what is there.
            self.out.push(Action::Tell { to: from, message: PeerMessage::Release(job) });
            return self.pass_over(caller, from);
        }
        request.phase = Phase::Running;
        self.dispatch(caller, table, now);
    }

    /// An owner gave a job up.
    pub fn given_up(
        &mut self,
        job: JobId,
        from: SocketAddr,
        reason: JobReason,
        untouched: bool,
        retry_after: Duration,
        now: Timestamp,
    ) {
        let Some((caller, request)) = self.job(job, from) else {
            return;
        };
        let id = request.incoming.id.clone();
        if untouched && request.results.iter().all(Vec::is_empty) {
            request.holds_results = false;
        }
        self.out
            .push(Action::Note(Note::StagesGivenUp { request: id, reason: format!("{reason:?}") }));
        match reason {
            JobReason::NotOwner => self.pass_over(caller, from),
            JobReason::DeadlinePassed => self.refuse(caller, Refused::TimedOut, RETRY_SOON, now),
            _ => self.refuse(caller, Refused::Overloaded, retry_after, now),
        }
    }

    fn pass_over(&mut self, caller: u64, owner: SocketAddr) {
        if let Some(request) = self.requests.get_mut(&caller) {
            request.passed_over.push(owner);
            self.to_submit.push(caller);
        }
    }

    /// An owner is gone: what it had goes to another one.
    pub fn owner_lost(
        &mut self,
        address: SocketAddr,
        lost: u64,
        _members: &Members,
        _now: Timestamp,
    ) {
        let with_owner: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| {
                matches!(r.phase, Phase::Stages { owner, incarnation, .. }
                    if owner == address && incarnation == lost)
            })
            .map(|(caller, _)| *caller)
            .collect();
        for caller in with_owner {
            self.pass_over(caller, address);
        }
    }

    fn owner_silent(&mut self, caller: u64, asked: u32, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Phase::Stages { owner, accepted: false, .. } = request.phase else {
            return;
        };
        if request.passed_over.len() as u32 != asked {
            return;
        }
        let _ = now;
        let message = PeerMessage::Release(request.job);
        self.out.push(Action::Tell { to: owner, message });
        self.pass_over(caller, owner);
    }

    // Calls.

    /// Hands a request to an endpoint, or gives it up.
    fn dispatch(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if now + TOO_LATE >= request.deadline {
            return self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
        }
        let Some((endpoint, because, candidates)) = self.choose(request, table, now) else {
            return self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        };
        let selector = table.pool(&request.pool).map(|p| p.endpoints.to_string());
        self.out.push(Action::Note(Note::Sent {
            request: request.incoming.id.clone(),
            attempt: self.next_attempt + 1,
            selector: selector.unwrap_or_default(),
            endpoint: endpoint.id.clone(),
            because: because.to_owned(),
            candidates,
            left_ms: ms(request.deadline.saturating_sub(now)),
        }));
        self.call(caller, endpoint, now);
    }

    fn choose(
        &self,
        request: &Request,
        table: &Table,
        now: Timestamp,
    ) -> Option<(Arc<Endpoint>, &'static str, usize)> {
        let members = table.members(&request.pool);
        let open: Vec<&Arc<Endpoint>> =
            members.iter().filter(|e| !e.leaving && !request.tried.contains(&e.id)).collect();
        let median = self.observations.median_answer(members.iter().map(|e| &e.id));
        let places: Vec<_> = open
            .iter()
            .map(|e| self.observations.place(e, &self.data_centre, median, now))
            .collect();
        let (chosen, because) = place(&places, request.shared_part())?;
        Some((open[chosen].clone(), because.as_str(), open.len()))
    }

    fn call(&mut self, caller: u64, endpoint: Arc<Endpoint>, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let violation = Violation::DispatchWithoutProof {
            request: request.incoming.id.to_string(),
            stage: request.route.stages.len(),
        };
        if !invariant!(request.may_have_run == 0 || request.may_repeat(), violation) {
            return;
        }
        self.next_attempt += 1;
        let number = self.next_attempt;
        if request.sends == 0 {
            self.repeats.first(&request.pool, 1, now);
        }
        request.sends += 1;
        request.tried.push(endpoint.id.clone());
        request.attempt = Some(Attempt { number, endpoint: endpoint.clone(), sent: now });
        if request.may_repeat() && request.may_have_run + 1 < request.route.max_attempts {
            let silence = now + request.patience();
            self.timers.insert((silence, caller, Timer::Silence(number)));
        }
        self.observations.sent(&endpoint.id);
        let order = CallOrder {
            endpoint,
            allowed: request.deadline.saturating_sub(now),
            organisation: request.organisation.clone(),
            inputs: request.inputs().into_iter().map(|m| m.handle).collect(),
            after_event: request.last_event.clone(),
            priority: request.priority,
            reuse_connection: request.may_repeat(),
            streams: request.route.streams,
        };
        self.out.push(Action::Call { caller, attempt: number, order });
    }

    fn is_open(&self, caller: u64, attempt: u64) -> bool {
        let open = self.requests.get(&caller).and_then(|r| r.attempt.as_ref());
        open.is_some_and(|a| a.number == attempt)
    }

    /// Takes the open attempt out.
    fn close_attempt(&mut self, caller: u64) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&caller)?.attempt.take()?;
        self.observations.ended(&attempt.endpoint.id);
        Some(attempt)
    }

    /// An endpoint answered.
    pub fn answered(
        &mut self,
        caller: u64,
        attempt: u64,
        proof: Proof,
        is_open: bool,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_open(caller, attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(open) = request.attempt.clone() else {
            return;
        };
        let endpoint = open.endpoint.id.clone();
        if let Some((running, waiting, _)) = proof.load {
            self.observations.reported(&endpoint, running + waiting, now);
        }
        if proof.not_run || proof.other_endpoint {
            return self.not_run(caller, proof, table, now);
        }
        let is_success = (200..300).contains(&proof.status);
        let is_whole = proof.own && (proof.signed || !is_success);
        if !is_whole {
            return self.may_have_run(caller, "wrong answer", table, now);
        }
        if proof.status >= 500 && self.may_try_again(caller, now) {
            return self.may_have_run(caller, "server error", table, now);
        }
        self.observations.answered(&endpoint, now.saturating_sub(open.sent));
        self.out.push(Action::Deliver { caller, attempt });
        if is_open {
            if let Some(request) = self.requests.get_mut(&caller) {
                request.phase = Phase::Streaming;
            }
        } else {
            self.close_attempt(caller);
            self.end(caller, &format!("answered {}", proof.status), None, now);
        }
    }

    /// The first event of a stream was passed on: its endpoint has fetched what it needs.
    pub fn first_event(&mut self, caller: u64) {
        self.release(caller);
    }

    fn may_try_again(&self, caller: u64, now: Timestamp) -> bool {
        self.requests.get(&caller).is_some_and(|r| {
            r.may_repeat()
                && r.may_have_run + 1 < r.route.max_attempts
                && r.sends < MAX_SENDS
                && now + TOO_LATE < r.deadline
        })
    }

    /// The open attempt is proved not to have run.
    fn not_run(&mut self, caller: u64, proof: Proof, table: &Table, now: Timestamp) {
        let Some(attempt) = self.close_attempt(caller) else {
            return;
        };
        let endpoint = &attempt.endpoint.id;
        if proof.other_endpoint {
            self.avoid(endpoint, "other endpoint", now);
        } else {
            self.observations.full(endpoint, now);
        }
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let (pool, sends) = (request.pool.clone(), request.sends);
        // Results that an endpoint can't fetch won't be there for another one either.
        let can_go_on = proof.status != 409 && proof.status != 400 && sends < MAX_SENDS;
        let goes_on = can_go_on && self.repeats.take(&pool, self.processes, now);
        let failure = format!("not run: {}", proof.status);
        self.note_failure(caller, &attempt, failure, if goes_on { "again" } else { "refused" });
        if goes_on {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::Overloaded, RETRY_SOON, now);
        }
    }

    /// The open attempt failed and may have run.
    fn may_have_run(&mut self, caller: u64, failure: &str, table: &Table, now: Timestamp) {
        let may_try = self.may_try_again(caller, now);
        let Some(attempt) = self.close_attempt(caller) else {
            return;
        };
        self.out.push(Action::Hangup { caller, attempt: attempt.number });
        if self.observations.failed(&attempt.endpoint.id, now) {
            self.note_avoided(&attempt.endpoint.id, "failures");
        }
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.may_have_run += 1;
        let pool = request.pool.clone();
        let goes_on = may_try && self.repeats.take(&pool, self.processes, now);
        let next = if goes_on { "again" } else { "given up" };
        self.note_failure(caller, &attempt, failure.to_owned(), next);
        if goes_on {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::OutcomeUnknown, RETRY_SOON, now);
        }
    }

    /// A call failed before its answer.
    pub fn call_failed(
        &mut self,
        caller: u64,
        attempt: u64,
        failure: CallFailure,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_open(caller, attempt) {
            return;
        }
        if failure != CallFailure::NotSent {
            return self.may_have_run(caller, "broken", table, now);
        }
        let Some(closed) = self.close_attempt(caller) else {
            return;
        };
        self.avoid(&closed.endpoint.id, "unreachable", now);
        let sends = self.requests.get(&caller).map_or(MAX_SENDS, |r| r.sends);
        let goes_on = sends < MAX_SENDS;
        let next = if goes_on { "again" } else { "refused" };
        self.note_failure(caller, &closed, "not sent".to_owned(), next);
        if goes_on {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        }
    }

    /// A stream that was passed on ended.
    pub fn stream_ended(
        &mut self,
        caller: u64,
        attempt: u64,
        whole: bool,
        last_event: Option<String>,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_open(caller, attempt) {
            return;
        }
        let Some(closed) = self.close_attempt(caller) else {
            return;
        };
        if whole {
            self.out.push(Action::Finish { caller });
            return self.end(caller, "streamed", Some(&closed.endpoint.id), now);
        }
        if self.observations.failed(&closed.endpoint.id, now) {
            self.note_avoided(&closed.endpoint.id, "broken streams");
        }
        let may_try = self.may_try_again(caller, now);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.may_have_run += 1;
        request.last_event = last_event.or_else(|| request.last_event.take());
        let pool = request.pool.clone();
        let goes_on = may_try
            && request.route.resumable
            && !request.has_stages()
            && self.repeats.take(&pool, self.processes, now);
        let next = if goes_on { "resumed" } else { "broken off" };
        self.note_failure(caller, &closed, "stream broke".to_owned(), next);
        if goes_on {
            self.dispatch(caller, table, now);
        } else {
            self.abort(caller, "stream broke", now);
        }
    }

    /// The caller went away: everything of its request stops.
    pub fn caller_gone(&mut self, caller: u64, now: Timestamp) {
        if let Some(attempt) = self.close_attempt(caller) {
            self.out.push(Action::Hangup { caller, attempt: attempt.number });
        }
        self.out.push(Action::Abort { caller });
        self.end(caller, "caller gone", None, now);
    }

    /// Looks at what is due.
    pub fn look(&mut self, table: &Table, _members: &Members, now: Timestamp) {
        while let Some((at, caller, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, caller, timer));
            match timer {
                Timer::Deadline => self.time_out(caller, now),
                Timer::Owner(asked) => self.owner_silent(caller, asked, now),
                Timer::Silence(attempt) => self.silent(caller, attempt, table, now),
            }
        }
    }

    fn silent(&mut self, caller: u64, attempt: u64, table: &Table, now: Timestamp) {
        let is_running = self.requests.get(&caller).is_some_and(|r| r.phase == Phase::Running);
        if is_running && self.is_open(caller, attempt) {
            self.may_have_run(caller, "silent", table, now);
        }
    }

    fn time_out(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if request.phase == Phase::Streaming {
            return self.abort(caller, "timed out", now);
        }
        self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
    }

    fn abort(&mut self, caller: u64, why: &str, now: Timestamp) {
        if let Some(attempt) = self.close_attempt(caller) {
            self.out.push(Action::Hangup { caller, attempt: attempt.number });
        }
        self.out.push(Action::Abort { caller });
        self.end(caller, &format!("broken off: {why}"), None, now);
    }

    /// Gives a request up, at once.
    fn refuse(&mut self, caller: u64, reason: Refused, retry_after: Duration, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if request.phase == Phase::Streaming {
            return self.abort(caller, "can't go on", now);
        }
        let in_doubt = request.may_have_run > 0 || request.attempt.is_some();
        if let Some(attempt) = self.close_attempt(caller) {
            self.out.push(Action::Hangup { caller, attempt: attempt.number });
        }
        let refusal = Refusal { reason, not_run: !in_doubt, retry_after };
        let outcome = format!("refused: {:?}", refusal.reason);
        self.out.push(Action::Refuse { caller, refusal });
        let retry_after = Some(retry_after);
        self.end_with(caller, outcome, None, retry_after, now);
    }

    fn end(&mut self, caller: u64, outcome: &str, endpoint: Option<&Name>, now: Timestamp) {
        self.end_with(caller, outcome.to_owned(), endpoint.cloned(), None, now);
    }

    fn end_with(
        &mut self,
        caller: u64,
        outcome: String,
        endpoint: Option<Name>,
        retry_after: Option<Duration>,
        now: Timestamp,
    ) {
        self.release(caller);
        let Some(request) = self.requests.remove(&caller) else {
            return;
        };
        self.by_job.remove(&request.job);
        self.timers.remove(&(request.deadline, caller, Timer::Deadline));
        self.out.push(Action::Note(Note::Ended {
            request: request.incoming.id.clone(),
            outcome,
            endpoint: endpoint.or_else(|| request.tried.last().cloned()),
            took_ms: ms(now.saturating_sub(request.arrived)),
            retry_after_ms: retry_after.map(ms),
        }));
    }

    /// Tells the owner that nobody needs the results of a request's stages any more.
    fn release(&mut self, caller: u64) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        if !std::mem::take(&mut request.holds_results) {
            return;
        }
        let job = request.job;
        let owners = request.owners();
        for to in owners {
            self.out.push(Action::Tell { to, message: PeerMessage::Release(job) });
        }
    }

    fn avoid(&mut self, endpoint: &Name, cause: &'static str, now: Timestamp) {
        if self.observations.unreachable(endpoint, now) {
            self.note_avoided(endpoint, cause);
        }
    }

    fn note_avoided(&mut self, endpoint: &Name, cause: &'static str) {
        let endpoint = endpoint.clone();
        self.out.push(Action::Note(Note::Suspicion { endpoint, avoided: true, cause }));
    }

    fn note_failure(
        &mut self,
        caller: u64,
        attempt: &Attempt,
        failure: String,
        next: &'static str,
    ) {
        if let Some(request) = self.requests.get(&caller) {
            self.out.push(Action::Note(Note::AttemptFailed {
                request: request.incoming.id.clone(),
                endpoint: attempt.endpoint.id.clone(),
                failure,
                next,
            }));
        }
    }
}

/// The pools that work in batches have one owner together.
const STAGES: &str = "stages";

type Admissible = (Route, Option<(Name, Option<u8>)>);

/// Checks a request against what is published; nothing of a refused one has run.
fn admissible(
    incoming: &Incoming,
    table: &Table,
    known: bool,
    draining: bool,
) -> Result<Admissible, Refused> {
    if draining {
        return Err(Refused::Draining);
    }
    if !known {
        return Err(Refused::NoConfiguration);
    }
    let route = table.route(&incoming.host, &incoming.path).ok_or(Refused::UnknownRoute)?;
    let needs_key = !route.public && !table.deployment.organisations.is_empty();
    let organisation = incoming.key.as_deref().and_then(|key| table.organisation(key));
    if needs_key && organisation.is_none() {
        return Err(Refused::UnknownKey);
    }
    if !route.stages.is_empty() && incoming.pieces.len() != route.stages.len() {
        return Err(Refused::BadRequest("a count of pieces for each stage is required"));
    }
    let organisation = organisation.map(|o| (o.name.clone(), o.priority));
    Ok((route.clone(), organisation))
}

/// The pool of a request among the weighted targets of its route.
fn target(route: &Route, id: &str) -> Name {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut left = xxh3_64(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return target.pool.clone();
        }
        left -= weight;
    }
    route.targets.first().map_or_else(|| "".into(), |t| t.pool.clone())
}

fn job_of(request: &Request, resubmitted: bool, data_centre: Name, now: Timestamp) -> Job {
    let specs = request.route.stages.iter().enumerate();
    let stages = specs.map(|(i, spec)| JobStage {
        pool: spec.pool.clone(),
        after: spec.after.clone(),
        result_bytes: spec.result_bytes,
        pieces: request.incoming.pieces.get(i).copied().unwrap_or_default(),
        done: request.results[i].clone(),
    });
    let objective = request.arrived + request.route.objective;
    Job {
        id: request.job,
        request: request.incoming.id.clone(),
        route: request.route.name.clone(),
        stages: stages.collect(),
        key: request.incoming.piece_key.clone(),
        to_objective: objective.saturating_sub(now),
        to_deadline: request.deadline.saturating_sub(now),
        after: request.expected_start(),
        priority: request.priority,
        data_centre,
        resubmitted,
    }
}
