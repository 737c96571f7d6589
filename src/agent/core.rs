//! Decision logic of the agent, without I/O or clock: maps events to actions.
//!
//! An attempt is handed over to the endpoint in one step, in one place (`AgentCore::hand_over`);
//! only attempts that were not handed over may be refused as `not_run`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;

use super::event::{Action, Bounds, CallId, CallStart, Event};
use super::queue::Queue;
use crate::actor::Core;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::{AgentReason, AttemptId, Incarnation, Load, Ran, Reply, Run, Timestamp};
use crate::policy::predict::Estimate;
use crate::result::ResultBuffer;

/// An attempt is not begun if less than this share of the typical service time is left.
const MIN_TIME_SHARE: f64 = 0.5;
/// Number of service time samples required before [`MIN_TIME_SHARE`] is applied.
const MIN_SAMPLES: u32 = 20;

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    Queued,
    Claiming,
    Running { since: Timestamp, resumes: u32 },
    Ended(Reply),
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) run: Run,
    pub(super) phase: Phase,
    pub(super) listener: Option<CallId>,
    pub(super) output: ResultBuffer,
    pub(super) deadline: Timestamp,
    pub(super) expires: Timestamp,
}

impl Attempt {
    pub(super) fn new(run: Run, listener: Option<CallId>, phase: Phase, now: Timestamp) -> Self {
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

/// Highest sequence number of a gateway's forgotten attempts; attempts up to it are not begun.
#[derive(Debug, Clone, Copy)]
pub(super) struct Floor {
    pub(super) sequence: u64,
    used_at: Timestamp,
}

/// Core of one agent: its state and its decisions.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) incarnation: Incarnation,
    pub(super) endpoint: String,
    pub(super) is_engine: bool,
    pub(super) bounds: Bounds,
    pub(super) concurrency: u32,
    pub(super) leaving: bool,
    pub(super) draining: bool,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) calls: HashMap<CallId, AttemptId>,
    pub(super) queue: Queue,
    pub(super) running: u32,
    pub(super) retained: BTreeMap<(Timestamp, AttemptId), usize>,
    pub(super) retained_bytes: usize,
    pub(super) orphans: BTreeSet<(Timestamp, AttemptId)>,
    pub(super) floors: HashMap<Incarnation, Floor>,
    pub(super) service: Estimate,
    pub(super) actions: Vec<Action>,
}

impl Core for AgentCore {
    type Event = Event;
    type Action = Action;
    const TICK: Event = Event::Tick;

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let opened = match &event {
            Event::Run { call, run } => Some((*call, run.attempt)),
            _ => None,
        };
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
        if let Some((call, attempt)) = opened {
            self.acknowledge(call, attempt);
        }
        std::mem::take(&mut self.actions)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let retained = self.retained.first_key_value().map(|((at, _), _)| *at);
        let orphans = self.orphans.first().map(|(at, _)| *at);
        let expiry = self.queue.first_deadline().map(|d| d.saturating_sub(self.min_time_needed()));
        [expiry, retained, orphans].into_iter().flatten().min()
    }
}

impl AgentCore {
    /// Creates an agent of `endpoint`; it begins no attempts until it is configured.
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

    /// Incarnation of this agent.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Current load, reported with every reply.
    pub fn load(&self) -> Load {
        Load { queued: self.queue.len() as u32, running: self.running, limit: self.concurrency }
    }

    /// Whether the agent refuses new attempts.
    pub const fn is_leaving(&self) -> bool {
        self.leaving || self.draining
    }

    /// Whether no attempt is queued, claiming or running.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0 && !self.has_claims()
    }

    /// Whether a configuration with this agent's endpoint was received.
    pub const fn is_configured(&self) -> bool {
        self.concurrency > 0
    }

    fn has_claims(&self) -> bool {
        self.attempts.values().any(|a| a.phase == Phase::Claiming)
    }

    /// Acknowledges a queued attempt, so that its gateway can tell it from a lost one.
    fn acknowledge(&mut self, call: CallId, id: AttemptId) {
        if self.attempts.get(&id).is_some_and(|a| a.phase == Phase::Queued) {
            self.send(call, id, Reply::Queued);
        }
    }

    pub(super) fn send(&mut self, call: CallId, attempt: AttemptId, reply: Reply) {
        self.actions.push(Action::Send { call, attempt, reply });
    }

    /// Estimated time until the queue is empty, from the typical service time.
    pub(super) fn retry_after(&self) -> Duration {
        let waiting = self.queue.len() as u32 + self.running;
        self.service.typical() * waiting / self.concurrency.max(1)
    }

    pub(super) fn end_refused(
        &mut self,
        id: AttemptId,
        ran: Ran,
        reason: AgentReason,
        now: Timestamp,
    ) {
        let retry_after = self.retry_after();
        self.end(id, Reply::Refused { ran, reason, retry_after }, now);
    }

    /// Ends an attempt and keeps it for a while for gateways that reattach. The only function that
    /// ends attempts.
    pub(super) fn end(&mut self, id: AttemptId, reply: Reply, now: Timestamp) {
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
        let latest = now + self.min_time_needed();
        while let Some(id) = self.queue.pop_expired(latest) {
            self.end_refused(id, Ran::NotRun, AgentReason::DeadlinePassed, now);
        }
        while let Some((at, id)) = self.orphans.first().copied() {
            if at > now {
                break;
            }
            self.orphans.remove(&(at, id));
            let is_orphan = self
                .attempts
                .get(&id)
                .is_some_and(|a| a.phase == Phase::Queued && a.listener.is_none());
            if is_orphan {
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

    /// Raises the gateway's floor to a forgotten attempt, so that it is never begun again.
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
            let Some(entry) = self.queue.pop() else {
                return;
            };
            self.hand_over(entry.attempt, now);
        }
    }

    /// Minimum remaining time with which an attempt is begun; with less it would miss its deadline.
    fn min_time_needed(&self) -> Duration {
        if self.service.samples() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        self.service.typical().mul_f64(MIN_TIME_SHARE)
    }

    /// Hands a queued attempt over to the endpoint. From here on the attempt is never reported as
    /// `not_run`, unless its ticket's claim is refused or no connection could be established.
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

    pub(super) fn begin(&mut self, id: AttemptId, now: Timestamp) {
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
