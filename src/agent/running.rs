//! Handling of attempts that were handed over: chunks, results, failures and claims.

use std::time::Duration;

use bytes::Bytes;

use super::core::{AgentCore, Phase};
use super::event::{Action, CallStart, ClaimAnswer, EndpointEvent, EndpointFailure};
use crate::message::{AgentReason, AttemptId, Ran, Reply, Timestamp};

/// Maximum number of consecutive resumes of a stream at the engine.
const MAX_ENGINE_RESUMES: u32 = 6;
/// Initial delay before a stream is resumed; it doubles with each further resume.
const INITIAL_ENGINE_RESUME_DELAY: Duration = Duration::from_millis(10);

impl AgentCore {
    pub(super) fn on_endpoint(&mut self, id: AttemptId, event: EndpointEvent, now: Timestamp) {
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

    pub(super) fn on_chunk(&mut self, id: AttemptId, offset: u64, data: Bytes, now: Timestamp) {
        let bound = self.bounds.result_bytes;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let have = attempt.output.len();
        let Ok(fresh) = attempt.output.append(offset, &data, bound) else {
            return self.fail_running(id, AgentReason::EndpointMisbehaved, now);
        };
        if let Phase::Running { resumes, .. } = &mut attempt.phase {
            *resumes = 0;
        }
        // A gateway that resumed already has the bytes before its offset.
        let seen = attempt.run.resume.unwrap_or(0);
        let listener = attempt.listener;
        let skip = seen.saturating_sub(have).min(fresh.len() as u64) as usize;
        let (offset, data) = (have + skip as u64, fresh.slice(skip..));
        if let (Some(call), false) = (listener, data.is_empty()) {
            self.send(call, id, Reply::Chunk { offset, data });
        }
    }

    pub(super) fn on_done(
        &mut self,
        id: AttemptId,
        length: u64,
        service: Duration,
        now: Timestamp,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.output.len() != length {
            return self.on_failed(id, EndpointFailure::ConnectionLost, MAX_ENGINE_RESUMES, now);
        }
        let digest = attempt.output.digest();
        self.service.add(service);
        self.end(id, Reply::Done { length, digest, service }, now);
    }

    pub(super) fn on_failed(
        &mut self,
        id: AttemptId,
        failure: EndpointFailure,
        tried: u32,
        now: Timestamp,
    ) {
        match failure {
            // A failed connection proves that the attempt did not run only if this is the
            // attempt's first call.
            EndpointFailure::Unreachable if tried == 0 && self.is_first_call(id) => {
                self.end_refused(id, Ran::NotRun, AgentReason::EndpointUnreachable, now);
            }
            EndpointFailure::ConnectionLost | EndpointFailure::Unreachable
                if self.is_engine && tried < MAX_ENGINE_RESUMES =>
            {
                self.resume_at_engine(id, tried);
            }
            EndpointFailure::Misbehaved => {
                self.fail_running(id, AgentReason::EndpointMisbehaved, now);
            }
            _ => self.end_refused(id, Ran::Unknown, AgentReason::EndpointFailed, now),
        }
    }

    pub(super) fn is_first_call(&self, id: AttemptId) -> bool {
        self.attempts.get(&id).is_some_and(|a| a.run.resume.is_none() && a.output.is_empty())
    }

    pub(super) fn resume_at_engine(&mut self, id: AttemptId, tried: u32) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if let Phase::Running { resumes, .. } = &mut attempt.phase {
            *resumes = tried + 1;
        }
        let offset = attempt.output.len();
        let after = INITIAL_ENGINE_RESUME_DELAY * 2u32.pow(tried);
        let start = CallStart::Resume { offset, after };
        self.actions.push(Action::Call { attempt: id, start });
    }

    pub(super) fn fail_running(&mut self, id: AttemptId, reason: AgentReason, now: Timestamp) {
        self.actions.push(Action::CancelCall { attempt: id });
        self.end_refused(id, Ran::Unknown, reason, now);
    }

    pub(super) fn on_claimed(&mut self, id: AttemptId, answer: ClaimAnswer, now: Timestamp) {
        if self.attempts.get(&id).is_none_or(|a| a.phase != Phase::Claiming) {
            return;
        }
        match answer {
            ClaimAnswer::Granted => self.begin(id, now),
            // Nothing of this run has begun; only the issuing agent knows whether another run has.
            ClaimAnswer::Refused | ClaimAnswer::Unreachable => {
                self.running -= 1;
                self.end_refused(id, Ran::NotRun, AgentReason::ClaimRefused, now);
            }
        }
    }
}
