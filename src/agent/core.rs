//! The agent's decisions, without I/O or clock: events in, actions out.
//!
//! The move from queued to handed over is one step in one place ([`AgentCore::hand_over`]); only what
//! has not made it may be refused as `not_run`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;

use super::queue::{Queue, Ticket};
use crate::invariant;
use crate::invariant::Violation;
use crate::message::{
    AgentReason, AttemptId, Claim, Incarnation, Load, Ran, Reply, Revocation, Run, Timestamp,
};
use crate::policy::predict::Estimate;
use crate::result::ResultBuffer;

/// One call of a gateway: the stream on which replies go back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Bounds of an agent, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Attempts that may wait.
    pub queue: usize,
    /// Bytes of one result.
    pub result_bytes: usize,
    /// Bytes of ended results that are kept for gateways that come back.
    pub retained_bytes: usize,
    /// Ended attempts that are kept.
    pub retained: usize,
    /// How long an ended attempt is kept.
    pub retain: Duration,
    /// How long an attempt waits after its gateway's call was lost.
    pub orphan_grace: Duration,
    /// Gateways whose floors are kept.
    pub gateways: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            queue: 512,
            result_bytes: 4 << 20,
            retained_bytes: 16 << 20,
            retained: 8_192,
            retain: Duration::from_secs(5),
            orphan_grace: Duration::from_secs(1),
            gateways: 16_384,
        }
    }
}

/// Tries to resume one stream at the engine before it is given up.
const ENGINE_RESUMES: u32 = 3;

/// How an endpoint call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFailure {
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection was lost while the endpoint ran it.
    Cut,
    /// The endpoint answered with an error.
    Failed,
    /// The endpoint answered for another attempt or stage.
    Misbehaved,
    /// The endpoint does not know the attempt that was to be resumed.
    UnknownAttempt,
}

/// What an endpoint says of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointEvent {
    /// A piece of the result.
    Chunk {
        /// Where it starts.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// The result is whole at this length.
    Done {
        /// Bytes of the result.
        length: u64,
    },
    /// The call failed.
    Failed(EndpointFailure),
}

/// The word of a ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This run may begin.
    Granted,
    /// Another run has begun, or the ticket is void; nothing of this one has run.
    Refused,
    /// The home could not be asked.
    Unreachable,
}

/// What happens to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A gateway asks for an attempt.
    Run {
        /// Where replies go.
        call: CallId,
        /// What is asked.
        run: Run,
    },
    /// A gateway's call is gone.
    CallClosed {
        /// The call.
        call: CallId,
    },
    /// A gateway takes an attempt back.
    Revoke {
        /// Where the answer goes.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The agent that is meant.
        agent: Incarnation,
    },
    /// A gateway has no more use for an attempt, begun or not.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint speaks.
    Endpoint {
        /// Of this attempt.
        attempt: AttemptId,
        /// What it says.
        event: EndpointEvent,
    },
    /// The home of a ticket answers.
    Claimed {
        /// For this attempt.
        attempt: AttemptId,
        /// Its word.
        answer: ClaimAnswer,
    },
    /// What the configuration says of the endpoint.
    Configure {
        /// Calls that it runs at once.
        concurrency: u32,
        /// Whether the configuration or the host list calls it leaving.
        leaving: bool,
        /// Whether its streams can be resumed.
        is_engine: bool,
    },
    /// The process was told to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// How an endpoint call starts.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStart {
    /// Run it.
    Begin(Box<Run>),
    /// Go on with what the endpoint runs already.
    Resume {
        /// From this offset.
        offset: u64,
    },
}

/// What the agent's shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a reply on a call.
    Send {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: Reply,
    },
    /// End a call without a final reply: the attempt is listened to on another one.
    Close {
        /// The call.
        call: CallId,
    },
    /// Answer a revocation.
    Revoked {
        /// The call.
        call: CallId,
        /// What became of the attempt.
        outcome: Revocation,
    },
    /// Start an endpoint call.
    Call {
        /// For this attempt.
        attempt: AttemptId,
        /// How.
        start: CallStart,
    },
    /// End an endpoint call.
    CancelCall {
        /// Of this attempt.
        attempt: AttemptId,
    },
    /// Ask a ticket's home.
    Claim {
        /// For this attempt.
        attempt: AttemptId,
        /// What to ask.
        claim: Claim,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Queued,
    Claiming,
    Running { since: Timestamp, resumes: u32 },
    Ended(Reply),
}

#[derive(Debug)]
struct Attempt {
    run: Run,
    phase: Phase,
    listener: Option<CallId>,
    output: ResultBuffer,
    deadline: Timestamp,
    expires: Timestamp,
}

impl Attempt {
    fn new(run: Run, listener: Option<CallId>, phase: Phase, now: Timestamp) -> Self {
        let deadline = now + run.time_left;
        Self {
            run,
            phase,
            listener,
            output: ResultBuffer::default(),
            deadline,
            expires: Timestamp::MAX,
        }
    }
}

/// The highest attempt of a gateway that was forgotten; lower ones are not begun any more.
#[derive(Debug, Clone, Copy)]
struct Floor {
    sequence: u64,
    used_at: Timestamp,
}

/// The state of one agent.
#[derive(Debug)]
pub struct AgentCore {
    incarnation: Incarnation,
    endpoint: String,
    is_engine: bool,
    bounds: Bounds,
    concurrency: u32,
    leaving: bool,
    draining: bool,
    attempts: HashMap<AttemptId, Attempt>,
    calls: HashMap<CallId, AttemptId>,
    queue: Queue,
    running: u32,
    retained: BTreeMap<(Timestamp, AttemptId), usize>,
    retained_bytes: usize,
    orphans: BTreeSet<(Timestamp, AttemptId)>,
    floors: HashMap<Incarnation, Floor>,
    service: Estimate,
    actions: Vec<Action>,
}

impl AgentCore {
    /// An agent of `endpoint`; it begins nothing until it is configured.
    pub fn new(incarnation: Incarnation, endpoint: &str, bounds: Bounds) -> Self {
        Self {
            incarnation,
            endpoint: endpoint.to_owned(),
            is_engine: false,
            bounds,
            concurrency: 0,
            leaving: false,
            draining: false,
            attempts: HashMap::new(),
            calls: HashMap::new(),
            queue: Queue::default(),
            running: 0,
            retained: BTreeMap::new(),
            retained_bytes: 0,
            orphans: BTreeSet::new(),
            floors: HashMap::new(),
            service: Estimate::default(),
            actions: Vec::new(),
        }
    }

    /// This agent's incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The load that goes with every reply.
    pub fn load(&self) -> Load {
        Load { queued: self.queue.len() as u32, running: self.running, limit: self.concurrency }
    }

    /// Whether it takes no new work.
    pub const fn is_leaving(&self) -> bool {
        self.leaving || self.draining
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0 && !self.has_claims()
    }

    fn has_claims(&self) -> bool {
        self.attempts.values().any(|a| a.phase == Phase::Claiming)
    }

    /// When [`Event::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let retained = self.retained.first_key_value().map(|((at, _), _)| *at);
        let orphans = self.orphans.first().map(|(at, _)| *at);
        [self.queue.first_deadline(), retained, orphans].into_iter().flatten().min()
    }

    /// Takes in an event and returns what must be done, in order.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        match event {
            Event::Run { call, run } => self.on_run(call, run, now),
            Event::CallClosed { call } => self.on_call_closed(call, now),
            Event::Revoke { call, attempt, agent } => self.on_revoke(call, attempt, agent, now),
            Event::Cancel { attempt } => self.on_cancel(attempt, now),
            Event::Endpoint { attempt, event } => self.on_endpoint(attempt, event, now),
            Event::Claimed { attempt, answer } => self.on_claimed(attempt, answer, now),
            Event::Configure { concurrency, leaving, is_engine } => {
                self.concurrency = concurrency;
                self.leaving = leaving;
                self.is_engine = is_engine;
            }
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
        self.expire(now);
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, call: CallId, attempt: AttemptId, reply: Reply) {
        self.actions.push(Action::Send { call, attempt, reply });
    }

    fn refuse_call(&mut self, call: CallId, attempt: AttemptId, ran: Ran, reason: AgentReason) {
        let retry_after = self.retry_after();
        self.send(call, attempt, Reply::Refused { ran, reason, retry_after });
    }

    /// Time until the queue has drained, by the measured rate.
    fn retry_after(&self) -> Duration {
        let waiting = self.queue.len() as u32 + self.running;
        self.service.typical() * waiting / self.concurrency.max(1)
    }

    fn on_run(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        if run.endpoint != self.endpoint {
            return self.refuse_call(call, attempt, Ran::NotRun, AgentReason::WrongEndpoint);
        }
        if self.attempts.contains_key(&attempt) {
            return self.attach(call, attempt, run.resume.unwrap_or(0));
        }
        if run.agent != self.incarnation {
            return self.on_run_for_another_life(call, run, now);
        }
        if self.floors.get(&attempt.gateway).is_some_and(|f| attempt.sequence <= f.sequence) {
            return self.refuse_call(call, attempt, Ran::Unknown, AgentReason::Forgotten);
        }
        if run.resume.is_some() {
            // The first message has not come; should it come later, it must find this refusal.
            return self.refuse_first(call, run, AgentReason::Revoked, now);
        }
        if self.is_leaving() || self.concurrency == 0 {
            return self.refuse_first(call, run, AgentReason::Leaving, now);
        }
        if self.queue.len() >= self.bounds.queue {
            return self.refuse_first(call, run, AgentReason::QueueFull, now);
        }
        self.enqueue(call, run, now);
    }

    /// An engine may still run what an earlier life of this agent handed over.
    fn on_run_for_another_life(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        let Some(offset) = run.resume else {
            return self.refuse_call(call, attempt, Ran::NotRun, AgentReason::WrongIncarnation);
        };
        if !self.is_engine {
            return self.refuse_call(call, attempt, Ran::Unknown, AgentReason::WrongIncarnation);
        }
        let phase = Phase::Running { since: now, resumes: 0 };
        let mut adopted = Attempt::new(run, Some(call), phase, now);
        // The digest must cover the whole result, so the stream is read from its start.
        adopted.run.resume = Some(offset);
        self.attempts.insert(attempt, adopted);
        self.calls.insert(call, attempt);
        self.running += 1;
        self.actions.push(Action::Call { attempt, start: CallStart::Resume { offset: 0 } });
    }

    fn refuse_first(&mut self, call: CallId, run: Run, reason: AgentReason, now: Timestamp) {
        let attempt = run.attempt;
        self.attempts.insert(attempt, Attempt::new(run, Some(call), Phase::Queued, now));
        self.end_refused(attempt, Ran::NotRun, reason, now);
    }

    fn enqueue(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        let ticket = Ticket {
            attempt,
            priority: run.priority,
            organisation: run.organisation.clone(),
            deadline: now + run.time_left,
        };
        self.attempts.insert(attempt, Attempt::new(run, Some(call), Phase::Queued, now));
        self.calls.insert(call, attempt);
        self.queue.push(ticket);
    }

    /// A gateway comes back to an attempt: it gets what it has not seen, and then what follows.
    fn attach(&mut self, call: CallId, id: AttemptId, offset: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if let Some(old) = attempt.listener.replace(call) {
            self.calls.remove(&old);
            self.actions.push(Action::Close { call: old });
        }
        self.calls.insert(call, id);
        self.orphans.retain(|(_, orphan)| *orphan != id);
        let from = offset.min(attempt.output.len());
        let data = attempt.output.from(from);
        let phase = attempt.phase.clone();
        if matches!(phase, Phase::Running { .. }) || !data.is_empty() {
            self.send(call, id, Reply::Begun);
        }
        if !data.is_empty() {
            self.send(call, id, Reply::Chunk { offset: from, data });
        }
        if let Phase::Ended(reply) = phase {
            self.send(call, id, reply);
            self.detach(id);
        }
    }

    fn detach(&mut self, id: AttemptId) {
        if let Some(call) = self.attempts.get_mut(&id).and_then(|a| a.listener.take()) {
            self.calls.remove(&call);
        }
    }

    fn on_call_closed(&mut self, call: CallId, now: Timestamp) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.listener != Some(call) {
            return;
        }
        attempt.listener = None;
        if attempt.phase == Phase::Queued {
            self.orphans.insert((now + self.bounds.orphan_grace, id));
        }
    }

    fn on_revoke(&mut self, call: CallId, id: AttemptId, agent: Incarnation, now: Timestamp) {
        let outcome = self.revoke(id, agent, now);
        self.actions.push(Action::Revoked { call, outcome });
    }

    fn revoke(&mut self, id: AttemptId, agent: Incarnation, now: Timestamp) -> Revocation {
        if let Some(attempt) = self.attempts.get(&id) {
            return match &attempt.phase {
                Phase::Queued => {
                    self.end_refused(id, Ran::NotRun, AgentReason::Revoked, now);
                    Revocation::NotRun
                }
                Phase::Ended(Reply::Refused { ran: Ran::NotRun, .. }) => Revocation::NotRun,
                Phase::Claiming | Phase::Running { .. } | Phase::Ended(_) => Revocation::Begun,
            };
        }
        let forgotten = self.floors.get(&id.gateway).is_some_and(|f| id.sequence <= f.sequence);
        if agent != self.incarnation || forgotten {
            return Revocation::Unknown;
        }
        self.insert_tombstone(id, now);
        Revocation::NotRun
    }

    /// The attempt's message may still be on its way; it must not be begun when it comes.
    fn insert_tombstone(&mut self, attempt: AttemptId, now: Timestamp) {
        let run = Run {
            attempt,
            agent: self.incarnation,
            endpoint: self.endpoint.clone(),
            request: String::new(),
            stage: String::new(),
            organisation: String::new(),
            priority: 0,
            time_left: Duration::ZERO,
            resume: None,
            claim: None,
            input: Bytes::new(),
        };
        self.attempts.insert(attempt, Attempt::new(run, None, Phase::Queued, now));
        self.end_refused(attempt, Ran::NotRun, AgentReason::Revoked, now);
    }

    fn on_cancel(&mut self, id: AttemptId, now: Timestamp) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        match attempt.phase {
            Phase::Queued => self.end_refused(id, Ran::NotRun, AgentReason::Revoked, now),
            Phase::Running { .. } => {
                self.actions.push(Action::CancelCall { attempt: id });
                self.end_refused(id, Ran::Unknown, AgentReason::Revoked, now);
            }
            Phase::Claiming | Phase::Ended(_) => {}
        }
    }

    fn on_endpoint(&mut self, id: AttemptId, event: EndpointEvent, now: Timestamp) {
        let running = self.attempts.get(&id).map(|a| &a.phase);
        let Some(Phase::Running { since, resumes }) = running.cloned() else {
            return;
        };
        match event {
            EndpointEvent::Chunk { offset, data } => self.on_chunk(id, offset, data, now),
            EndpointEvent::Done { length } => self.on_done(id, length, now - since, now),
            EndpointEvent::Failed(failure) => self.on_failed(id, failure, resumes, now),
        }
    }

    fn on_chunk(&mut self, id: AttemptId, offset: u64, data: Bytes, now: Timestamp) {
        let bound = self.bounds.result_bytes;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let have = attempt.output.len();
        let Ok(fresh) = attempt.output.append(offset, &data, bound) else {
            return self.fail_running(id, AgentReason::EndpointMisbehaved, now);
        };
        // A gateway that came back has what lies before its offset.
        let seen = attempt.run.resume.unwrap_or(0);
        let listener = attempt.listener;
        let skip = seen.saturating_sub(have).min(fresh.len() as u64) as usize;
        let (offset, data) = (have + skip as u64, fresh.slice(skip..));
        if let (Some(call), false) = (listener, data.is_empty()) {
            self.send(call, id, Reply::Chunk { offset, data });
        }
    }

    fn on_done(&mut self, id: AttemptId, length: u64, service: Duration, now: Timestamp) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.output.len() != length {
            return self.on_failed(id, EndpointFailure::Cut, ENGINE_RESUMES, now);
        }
        let digest = attempt.output.digest();
        self.service.add(service);
        self.end(id, Reply::Done { length, digest, service }, now);
    }

    fn on_failed(&mut self, id: AttemptId, failure: EndpointFailure, tried: u32, now: Timestamp) {
        match failure {
            // Only what was never connected is known not to have run, and only where it was not resumed.
            EndpointFailure::Unreachable if tried == 0 && self.is_first_call(id) => {
                self.end_refused(id, Ran::NotRun, AgentReason::EndpointUnreachable, now);
            }
            EndpointFailure::Cut | EndpointFailure::Unreachable
                if self.is_engine && tried < ENGINE_RESUMES =>
            {
                self.resume_at_engine(id, tried);
            }
            EndpointFailure::Misbehaved => {
                self.fail_running(id, AgentReason::EndpointMisbehaved, now);
            }
            _ => self.end_refused(id, Ran::Unknown, AgentReason::EndpointFailed, now),
        }
    }

    fn is_first_call(&self, id: AttemptId) -> bool {
        self.attempts.get(&id).is_some_and(|a| a.run.resume.is_none() && a.output.is_empty())
    }

    fn resume_at_engine(&mut self, id: AttemptId, tried: u32) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if let Phase::Running { resumes, .. } = &mut attempt.phase {
            *resumes = tried + 1;
        }
        let offset = attempt.output.len();
        self.actions.push(Action::Call { attempt: id, start: CallStart::Resume { offset } });
    }

    fn fail_running(&mut self, id: AttemptId, reason: AgentReason, now: Timestamp) {
        self.actions.push(Action::CancelCall { attempt: id });
        self.end_refused(id, Ran::Unknown, reason, now);
    }

    fn on_claimed(&mut self, id: AttemptId, answer: ClaimAnswer, now: Timestamp) {
        if self.attempts.get(&id).is_none_or(|a| a.phase != Phase::Claiming) {
            return;
        }
        match answer {
            ClaimAnswer::Granted => self.begin(id, now),
            // Nothing of this run has begun; whether another one has is the home's to say.
            ClaimAnswer::Refused | ClaimAnswer::Unreachable => {
                self.running -= 1;
                self.end_refused(id, Ran::NotRun, AgentReason::ClaimRefused, now);
            }
        }
    }

    fn end_refused(&mut self, id: AttemptId, ran: Ran, reason: AgentReason, now: Timestamp) {
        let retry_after = self.retry_after();
        self.end(id, Reply::Refused { ran, reason, retry_after }, now);
    }

    /// The one place where an attempt ends; it is kept for a while, for a gateway that comes back.
    fn end(&mut self, id: AttemptId, reply: Reply, now: Timestamp) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        match attempt.phase {
            Phase::Running { .. } => self.running -= 1,
            Phase::Queued => {
                self.queue.remove(id);
            }
            Phase::Claiming => {}
            Phase::Ended(_) => return,
        }
        attempt.phase = Phase::Ended(reply.clone());
        attempt.run.input = Bytes::new();
        attempt.expires = now + self.bounds.retain;
        let size = attempt.output.len() as usize;
        self.retained.insert((attempt.expires, id), size);
        self.retained_bytes += size;
        if let Some(call) = attempt.listener {
            self.send(call, id, reply);
        }
        self.detach(id);
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(id) = self.queue.pop_expired(now) {
            self.end_refused(id, Ran::NotRun, AgentReason::DeadlinePassed, now);
        }
        while let Some((at, id)) = self.orphans.first().copied() {
            if at > now {
                break;
            }
            self.orphans.remove(&(at, id));
            let waits = self
                .attempts
                .get(&id)
                .is_some_and(|a| a.phase == Phase::Queued && a.listener.is_none());
            if waits {
                self.end_refused(id, Ran::NotRun, AgentReason::Revoked, now);
            }
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((&(at, id), &size)) = self.retained.first_key_value() {
            let full = self.retained_bytes > self.bounds.retained_bytes
                || self.retained.len() > self.bounds.retained;
            if at > now && !full {
                return;
            }
            self.retained.remove(&(at, id));
            self.retained_bytes -= size;
            self.attempts.remove(&id);
            self.raise_floor(id, now);
        }
    }

    /// What was forgotten must never be begun again, so its gateway's floor covers it.
    fn raise_floor(&mut self, id: AttemptId, now: Timestamp) {
        let floor = self.floors.entry(id.gateway).or_insert(Floor { sequence: 0, used_at: now });
        floor.sequence = floor.sequence.max(id.sequence);
        floor.used_at = now;
        if self.floors.len() > self.bounds.gateways {
            let oldest = self.floors.iter().min_by_key(|(_, f)| f.used_at).map(|(g, _)| *g);
            if let Some(gateway) = oldest {
                self.floors.remove(&gateway);
            }
        }
    }

    fn dispatch(&mut self, now: Timestamp) {
        while self.running < self.concurrency {
            let Some(ticket) = self.queue.pop() else {
                return;
            };
            self.hand_over(ticket.attempt, now);
        }
    }

    /// From queued to handed over: after this, `not_run` is never said of the attempt again,
    /// unless its ticket's home refused it or no connection was made.
    fn hand_over(&mut self, id: AttemptId, now: Timestamp) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let violation = Violation::HandedOverTwice { attempt: id.to_string() };
        if !invariant!(attempt.phase == Phase::Queued, violation) {
            return;
        }
        self.running += 1;
        if let Some(claim) = attempt.run.claim.clone() {
            attempt.phase = Phase::Claiming;
            self.actions.push(Action::Claim { attempt: id, claim });
            return;
        }
        self.begin(id, now);
    }

    fn begin(&mut self, id: AttemptId, now: Timestamp) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.phase = Phase::Running { since: now, resumes: 0 };
        let mut run = attempt.run.clone();
        run.time_left = attempt.deadline.saturating_sub(now);
        attempt.run.input = Bytes::new();
        let listener = attempt.listener;
        self.actions.push(Action::Call { attempt: id, start: CallStart::Begin(Box::new(run)) });
        if let Some(call) = listener {
            self.send(call, id, Reply::Begun);
        }
    }
}
