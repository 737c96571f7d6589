//! Handling of gateways' calls: run, resume, revoke and cancel.

use std::time::Duration;

use bytes::Bytes;

use super::core::{AgentCore, Attempt, Phase};
use super::event::{Action, CallId, CallStart};
use super::queue::QueueEntry;
use crate::message::{AgentReason, AttemptId, Incarnation, Ran, Reply, Revocation, Run, Timestamp};

impl AgentCore {
    pub(super) fn refuse_call(
        &mut self,
        call: CallId,
        attempt: AttemptId,
        ran: Ran,
        reason: AgentReason,
    ) {
        let retry_after = self.retry_after();
        self.send(call, attempt, Reply::Refused { ran, reason, retry_after });
    }

    pub(super) fn on_run(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        if run.endpoint != self.endpoint {
            return self.refuse_call(call, attempt, Ran::NotRun, AgentReason::WrongEndpoint);
        }
        if self.attempts.contains_key(&attempt) {
            return self.attach(call, attempt, run.resume.unwrap_or(0));
        }
        if run.agent != self.incarnation {
            return self.on_run_for_other_incarnation(call, run, now);
        }
        if self.floors.get(&attempt.gateway).is_some_and(|f| attempt.sequence <= f.sequence) {
            return self.refuse_call(call, attempt, Ran::Unknown, AgentReason::Forgotten);
        }
        if run.resume.is_some() {
            // The original run request has not arrived; if it arrives later, it must be refused.
            return self.refuse_new(call, run, AgentReason::Revoked, now);
        }
        if self.is_leaving() || !self.is_configured() {
            return self.refuse_new(call, run, AgentReason::Leaving, now);
        }
        if self.queue.len() >= self.bounds.queue {
            return self.refuse_new(call, run, AgentReason::QueueFull, now);
        }
        self.enqueue(call, run, now);
    }

    /// Handles a run request for another incarnation of this agent: an engine may still run an
    /// attempt that an earlier incarnation handed over.
    pub(super) fn on_run_for_other_incarnation(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        let Some(offset) = run.resume else {
            return self.refuse_call(call, attempt, Ran::NotRun, AgentReason::WrongIncarnation);
        };
        if !self.is_configured() {
            // It is not known yet whether the endpoint is an engine; the gateway retries later.
            self.actions.push(Action::Close { call });
            return;
        }
        if !self.is_engine {
            return self.refuse_call(call, attempt, Ran::Unknown, AgentReason::WrongIncarnation);
        }
        let phase = Phase::Running { since: now, resumes: 0 };
        let mut adopted = Attempt::new(run, Some(call), phase, now);
        // The digest covers the complete result, so the stream is read from its start.
        adopted.run.resume = Some(offset);
        self.attempts.insert(attempt, adopted);
        self.calls.insert(call, attempt);
        self.running += 1;
        let start = CallStart::Resume { offset: 0, after: Duration::ZERO };
        self.actions.push(Action::Call { attempt, start });
    }

    pub(super) fn refuse_new(
        &mut self,
        call: CallId,
        run: Run,
        reason: AgentReason,
        now: Timestamp,
    ) {
        let attempt = run.attempt;
        self.attempts.insert(attempt, Attempt::new(run, Some(call), Phase::Queued, now));
        self.end_refused(attempt, Ran::NotRun, reason, now);
    }

    pub(super) fn enqueue(&mut self, call: CallId, run: Run, now: Timestamp) {
        let attempt = run.attempt;
        let entry = QueueEntry {
            attempt,
            priority: run.priority,
            organisation: run.organisation.clone(),
            deadline: now + run.time_left,
        };
        self.attempts.insert(attempt, Attempt::new(run, Some(call), Phase::Queued, now));
        self.calls.insert(call, attempt);
        self.queue.push(entry);
    }

    /// Attaches a call to a known attempt: sends the result from `offset` on, and later replies.
    pub(super) fn attach(&mut self, call: CallId, id: AttemptId, offset: u64) {
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
        let data = attempt.output.copy_from(from);
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

    pub(super) fn detach(&mut self, id: AttemptId) {
        if let Some(call) = self.attempts.get_mut(&id).and_then(|a| a.listener.take()) {
            self.calls.remove(&call);
        }
    }

    pub(super) fn on_call_closed(&mut self, call: CallId, now: Timestamp) {
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

    pub(super) fn on_revoke(
        &mut self,
        call: CallId,
        id: AttemptId,
        agent: Incarnation,
        now: Timestamp,
    ) {
        let outcome = self.revoke(id, agent, now);
        self.actions.push(Action::Revoked { call, outcome });
    }

    pub(super) fn revoke(
        &mut self,
        id: AttemptId,
        agent: Incarnation,
        now: Timestamp,
    ) -> Revocation {
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
        if agent == Incarnation::UNKNOWN {
            // No agent begins an attempt that names no incarnation.
            return Revocation::NotRun;
        }
        let forgotten = self.floors.get(&id.gateway).is_some_and(|f| id.sequence <= f.sequence);
        if agent != self.incarnation || forgotten {
            return Revocation::Unknown;
        }
        self.insert_tombstone(id, now);
        Revocation::NotRun
    }

    /// Inserts an ended attempt, so that its run request is refused if it arrives later.
    pub(super) fn insert_tombstone(&mut self, attempt: AttemptId, now: Timestamp) {
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

    pub(super) fn on_cancel(&mut self, id: AttemptId, now: Timestamp) {
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
}
