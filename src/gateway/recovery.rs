//! Recovery of attempts that fail, stall or wait too long: resumes or revokes them, retries the
//! stage at another endpoint, or refuses the request.
//!
//! A second attempt requires a proof that the first did not run, or a stage that may be repeated.

use std::time::Duration;

use super::core::{GatewayCore, REPLY_TIMEOUT, RETRY_AFTER, Timer};
use super::event::{Action, EndpointChange};
use super::request::{Progress, run_request, wait_limit};
use super::shell::REVOKE_TIMEOUT;
use crate::message::{AgentReason, AttemptId, Incarnation, Revocation, Timestamp};
use crate::metrics as m;
use crate::policy::explain::Step;
use crate::policy::route::{RoutingContext, choose};
use crate::refusal::Reason;

/// Number of resumes without a reply before an attempt of a repeatable stage is abandoned.
const MAX_RESUMES: u32 = 2;
/// Initial delay before a lost call is resumed; it doubles with each further resume.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay before a lost call is resumed.
const MAX_RESUME_DELAY: Duration = Duration::from_millis(500);
/// Placeholder for a call that is lost and not yet resumed; calls are numbered from 1.
const NO_CALL: u64 = 0;
/// A waiting attempt is moved if another endpoint is predicted to need at most this share of the
/// remaining time.
const MAX_MOVE_SHARE: f64 = 0.5;
/// A waiting attempt is not checked again if the next check would be due within this time.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(20);
/// A begun attempt counts as stalled after this multiple of the stage's estimated service time.
const STALL_FACTOR: u32 = 3;
/// Minimum stall limit, unless the share of the remaining time is less.
const MIN_STALL_LIMIT: Duration = Duration::from_millis(100);
/// Maximum stall limit, as a share of the remaining time.
const STALL_SHARE: f64 = 0.4;

impl GatewayCore {
    /// Handles an attempt that is proved not to have run: retries the stage if possible.
    pub(super) fn on_not_run(
        &mut self,
        caller: u64,
        reason: AgentReason,
        retry_after: Duration,
        retry_same: bool,
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
        if reason == AgentReason::DeadlinePassed {
            return self.refuse_deadline_passed(caller, now);
        }
        if retry_same {
            return self.dispatch(caller, now);
        }
        request.tried.push(attempt.endpoint.name.clone());
        if reason == AgentReason::AgentUnreachable {
            self.suspect(attempt.endpoint.name.clone(), now);
        }
        self.retry(caller, reason, retry_after, now);
    }

    pub(super) fn retry(
        &mut self,
        caller: u64,
        reason: AgentReason,
        retry_after: Duration,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        // Revocations and refusals by leaving agents are the fleet's own decisions and used no
        // endpoint time, so they are not charged to the retry budget.
        let is_free = matches!(reason, AgentReason::Leaving | AgentReason::Revoked);
        if !is_free && !self.budget.spend() {
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

    /// Makes the endpoints whose agents did not answer in time eligible for the current stage
    /// again: they may be slow rather than down. Returns whether there were any and a further
    /// attempt can end before the deadline, or be proved not to have run if that is still possible.
    /// Each of their attempts has lasted for a timeout, which bounds the rate of repetitions.
    pub(super) fn readmit_unanswered(&mut self, caller: u64, now: Timestamp) -> bool {
        let Some(request) = self.requests.get_mut(&caller) else {
            return false;
        };
        let proof =
            if request.stage_begun { Duration::ZERO } else { REPLY_TIMEOUT + REVOKE_TIMEOUT };
        let required = proof + request.expected_time();
        if request.unanswered.is_empty() || now + required > request.deadline {
            return false;
        }
        let unanswered = std::mem::take(&mut request.unanswered);
        request.tried.retain(|name| !unanswered.contains(name));
        true
    }

    /// Records that the agent of the open attempt did not answer in time.
    fn note_unanswered(&mut self, caller: u64) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        if let Some(attempt) = &request.attempt {
            request.unanswered.push(attempt.endpoint.name.clone());
            request.met_silence = true;
        }
    }

    /// Handles an attempt whose outcome can't be determined: retries a repeatable stage, otherwise
    /// refuses the request.
    pub(super) fn on_outcome_unknown(&mut self, caller: u64, reason: AgentReason, now: Timestamp) {
        let Some(attempt) = self.close_attempt(caller, now) else {
            return;
        };
        let endpoint = attempt.endpoint.clone();
        self.suspect(endpoint.name.clone(), now);
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
        m::stage_wasted(&self.requests[&caller].stage_view().stage.name);
        self.retry(caller, reason, RETRY_AFTER, now);
    }

    pub(super) fn on_call_lost(&mut self, call: u64, id: AttemptId, now: Timestamp) {
        let Some((caller, attempt)) = self.open_attempt(id) else {
            return;
        };
        if attempt.call == call {
            self.recover_call(caller, now);
        }
    }

    pub(super) fn on_call_unsent(&mut self, call: u64, id: AttemptId, now: Timestamp) {
        let Some((caller, attempt)) = self.open_attempt(id) else {
            return;
        };
        if attempt.call != call {
            return;
        }
        if attempt.was_sent {
            return self.recover_call(caller, now);
        }
        self.on_not_run(caller, AgentReason::AgentUnreachable, RETRY_AFTER, false, now);
    }

    /// Handles a lost call: the attempt may still run at the agent, so schedules a resume.
    pub(super) fn recover_call(&mut self, caller: u64, now: Timestamp) {
        if self.is_probe(caller) {
            return self.on_not_run(caller, AgentReason::AgentUnreachable, RETRY_AFTER, false, now);
        }
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
        request.record.steps.push((now, Step::ConnectionFailed { endpoint: endpoint.clone() }));
        self.actions.push(Action::CloseCall { call });
        self.suspect(endpoint, now);
        if may_repeat && tries > MAX_RESUMES {
            return self.on_outcome_unknown(caller, AgentReason::EndpointUnreachable, now);
        }
        let wait = (INITIAL_RESUME_DELAY * 2u32.pow(tries.min(10) - 1)).min(MAX_RESUME_DELAY);
        self.timers.insert((now + wait, caller, Timer::Resume(id)));
    }

    pub(super) fn resume(&mut self, caller: u64, now: Timestamp) {
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
        let run = run_request(request, id, agent, &endpoint, Some(offset), now);
        self.actions.push(Action::Run { endpoint, call, run });
    }

    /// Handles an attempt that has waited its share of the time: revokes it if another endpoint is
    /// predicted to finish well before the deadline; otherwise it keeps its place in the queue.
    pub(super) fn on_wait_limit(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_ref() else {
            return;
        };
        let mut tried = request.tried.clone();
        tried.push(attempt.endpoint.name.clone());
        let context = RoutingContext {
            view: &request.view,
            stage: request.stage_view(),
            rules: &request.rules,
            size: request.size(),
            tried: &tried,
            avoid_failed: request.met_silence,
            turn: 0,
            now,
        };
        let elsewhere = choose(&context, &self.fleet, &mut self.rng).predicted();
        let left = request.deadline.saturating_sub(now);
        if elsewhere.is_some_and(|time| time <= left.mul_f64(MAX_MOVE_SHARE)) {
            return self.revoke_waiting(caller);
        }
        let again = wait_limit(request, now);
        if again > now + MIN_WAIT_LIMIT {
            self.timers.insert((again, caller, Timer::WaitLimit(attempt.id)));
        }
    }

    /// Asks the agent to revoke a waiting attempt.
    pub(super) fn revoke_waiting(&mut self, caller: u64) {
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

    pub(super) fn on_revoked(&mut self, id: AttemptId, outcome: Revocation, now: Timestamp) {
        let Some((caller, attempt)) = self.open_attempt(id) else {
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
                self.note_unanswered(caller);
                self.on_not_run(caller, AgentReason::Revoked, RETRY_AFTER, false, now);
            }
            Revocation::Begun => self.on_begun(caller, now),
            Revocation::Unknown => self.on_outcome_unknown(caller, AgentReason::Forgotten, now),
            Revocation::Unreachable => self.on_unreachable(caller, now),
        }
    }

    /// Whether the open attempt is a probe: it names no incarnation, so no agent begins it.
    fn is_probe(&self, caller: u64) -> bool {
        let attempt = self.requests.get(&caller).and_then(|r| r.attempt.as_ref());
        attempt.is_some_and(|a| a.agent == Incarnation::UNKNOWN)
    }

    /// Handles an agent that answers neither an attempt nor its revocation: retries a repeatable
    /// stage elsewhere. Other stages wait, because only the agent knows whether the attempt ran.
    fn on_unreachable(&mut self, caller: u64, now: Timestamp) {
        if self.is_probe(caller) {
            self.note_unanswered(caller);
            return self.on_not_run(caller, AgentReason::AgentUnreachable, RETRY_AFTER, false, now);
        }
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(attempt) = request.attempt.as_ref() else {
            return;
        };
        let endpoint = attempt.endpoint.name.clone();
        if request.may_repeat_stage() {
            self.note_unanswered(caller);
            return self.on_outcome_unknown(caller, AgentReason::AgentUnreachable, now);
        }
        self.suspect(endpoint, now);
    }

    pub(super) fn suspect(&mut self, endpoint: String, now: Timestamp) {
        if self.fleet.failed(&endpoint, now) {
            self.endpoint_changed(endpoint, EndpointChange::Suspected);
        }
    }

    pub(super) fn is_unanswered(&self, id: AttemptId) -> bool {
        let request = self.attempts.get(&id).and_then(|caller| self.requests.get(caller));
        let attempt = request.and_then(|r| r.attempt.as_ref());
        attempt.is_some_and(|a| a.last_reply_at.is_none())
    }

    /// How long a begun attempt may go without a reply: well above the stage's service time, but
    /// short enough for another endpoint to finish before the deadline.
    pub(super) fn stall_limit(&self, caller: u64, now: Timestamp) -> Duration {
        let Some(request) = self.requests.get(&caller) else {
            return MIN_STALL_LIMIT;
        };
        let stage = request.stage_view();
        let expected = Duration::from_millis(stage.stage.expected_ms);
        let estimate = self.fleet.stage_estimate(stage.key, request.size());
        let typical = estimate.map_or(expected, |e| e.high());
        let left = request.deadline.saturating_sub(now).mul_f64(STALL_SHARE);
        (typical * STALL_FACTOR).max(MIN_STALL_LIMIT).min(left)
    }

    /// Abandons a stalled attempt of a repeatable stage, or schedules the next check.
    pub(super) fn check_progress(&mut self, caller: u64, now: Timestamp) {
        let limit = self.stall_limit(caller, now);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let may_repeat = request.may_repeat_stage();
        let Some(attempt) = request.attempt.as_ref() else {
            return;
        };
        let (id, last_reply_at) = (attempt.id, attempt.last_reply_at.unwrap_or(attempt.sent_at));
        if now < last_reply_at + limit {
            self.timers.insert((last_reply_at + limit, caller, Timer::Stall(id)));
            return;
        }
        if !may_repeat {
            return;
        }
        let endpoint = attempt.endpoint.name.clone();
        let reason = AgentReason::Stalled;
        request.record.steps.push((now, Step::AgentRefused { endpoint, reason }));
        self.on_outcome_unknown(caller, reason, now);
    }
}
