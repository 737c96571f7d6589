//! Handling of agents' replies: matches them with the open call, or drops and counts them as stray.

use std::time::Duration;

use bytes::Bytes;

use super::core::{GatewayCore, Timer};
use super::event::{Action, EndpointChange};
use super::request::{Attempt, Progress};
use crate::message::{AgentReason, AttemptId, Incarnation, Load, Ran, Reply, Timestamp};
use crate::metrics as m;
use crate::policy::explain::Step;
use crate::result::AppendError;

impl GatewayCore {
    pub(super) fn on_reply(
        &mut self,
        call: u64,
        id: AttemptId,
        from: Incarnation,
        load: Option<Load>,
        reply: Reply,
        now: Timestamp,
    ) {
        let Some((caller, attempt)) = self.open_attempt(id) else {
            m::stray_reply();
            return;
        };
        if attempt.call != call {
            m::stray_reply();
            return;
        }
        attempt.resumes = 0;
        attempt.last_reply_at = Some(now);
        let name = attempt.endpoint.name.clone();
        let was_suspected = self.fleet.get(&name).is_some_and(|e| e.is_suspected(now));
        self.fleet.replied(&name, from, load, now);
        if was_suspected {
            self.endpoint_changed(name, EndpointChange::Recovered);
        }
        match reply {
            Reply::Queued => {}
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

    pub(super) fn open_attempt(&mut self, id: AttemptId) -> Option<(u64, &mut Attempt)> {
        let caller = *self.attempts.get(&id)?;
        let attempt = self.requests.get_mut(&caller)?.attempt.as_mut()?;
        (attempt.id == id).then_some((caller, attempt))
    }

    pub(super) fn endpoint_changed(&mut self, endpoint: String, change: EndpointChange) {
        self.actions.push(Action::EndpointChanged { endpoint, change });
    }

    pub(super) fn on_begun(&mut self, caller: u64, now: Timestamp) {
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
        m::stage_wait(waited);
        let id = attempt.id;
        let due = now + self.stall_limit(caller, now);
        self.timers.insert((due, caller, Timer::Stall(id)));
    }

    pub(super) fn on_chunk(&mut self, caller: u64, offset: u64, data: &Bytes, now: Timestamp) {
        self.on_begun(caller, now);
        let bound = self.setup.result_bytes;
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let forwards = request.submission.stream && request.is_last_stage();
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        let received = attempt.output.len();
        let fresh = match attempt.output.append(offset, data, bound) {
            Ok(fresh) => fresh,
            // A chunk is missing: resume from the end of the received result.
            Err(AppendError::Gap { .. }) => return self.recover_call(caller, now),
            Err(AppendError::TooLong { .. }) => {
                return self.on_outcome_unknown(caller, AgentReason::EndpointMisbehaved, now);
            }
        };
        if forwards && !fresh.is_empty() {
            request.streamed = true;
            self.actions.push(Action::Chunk { caller, offset: received, data: fresh });
        }
    }

    pub(super) fn on_done(
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
            return self.recover_call(caller, now);
        }
        if attempt.output.len() != length || attempt.output.digest() != digest {
            m::result_mismatch();
            return self.on_outcome_unknown(caller, AgentReason::EndpointMisbehaved, now);
        }
        self.adopt(caller, digest, service, now);
    }

    pub(super) fn on_refused(
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
        let is_new_incarnation = reason == AgentReason::WrongIncarnation && attempt.agent != from;
        request
            .record
            .steps
            .push((now, Step::AgentRefused { endpoint: endpoint.name.clone(), reason }));
        if ran != Ran::NotRun {
            return self.on_outcome_unknown(caller, reason, now);
        }
        if reason == AgentReason::Leaving && self.fleet.leaving(&endpoint.name, now) {
            self.endpoint_changed(endpoint.name.clone(), EndpointChange::Leaving);
        }
        if reason == AgentReason::EndpointUnreachable {
            self.suspect(endpoint.name.clone(), now);
        }
        self.on_not_run(caller, reason, retry_after, is_new_incarnation, now);
    }
}
