//! Calls to endpoints for a request: sending, evaluating the response, and deciding on a repeat.

use std::sync::Arc;

use crate::direct::answers::{AnswerProof, CallFailure, Framing};
use crate::direct::event::{Action, CallParams, Refused};
use crate::direct::event_order::Place;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::dispatch::MIN_TIME_LEFT;
use crate::direct::requests::failure::{Failure, is_endpoint_failure};
use crate::direct::requests::request::{Attempt, Phase, Request};
use crate::direct::requests::unframed_end::UnframedAnswer;
use crate::direct::requests::{RETRY_SOON, Requests, Timer};
use crate::invariant;
use crate::invariant::Violation;
use crate::message::Timestamp;

/// Maximum number of calls for one request, including refused ones.
const MAX_SENDS: u32 = 4;
/// Status by which an endpoint reports that a result it needs as input is gone.
const STATUS_RESULTS_GONE: u16 = 409;

impl Requests {
    /// Starts a call to an endpoint and the timer for its response, if the request may be repeated.
    pub(super) fn start_attempt(
        &mut self,
        caller: u64,
        endpoint: Arc<Endpoint>,
        permit: Option<Timestamp>,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let connections = self.connection_share(&request.pool, table);
        let health_path = table.pool(&request.pool).and_then(|pool| pool.health_path.clone());
        let runs = self.runs_of_next_call(request);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let violation = Violation::DispatchWithoutProof {
            request: request.incoming.id.to_string(),
            stage: request.route.stages.len(),
        };
        if !invariant!(request.uncertain_attempts == 0 || request.may_repeat(), violation) {
            return;
        }
        self.record_stream(caller, &endpoint, now);
        let (prompt, prompt_source) = self.prepare_prompt(caller, &endpoint, table, now);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        self.last_attempt += 1;
        let number = self.last_attempt;
        if request.sends == 0 {
            self.repeats.record_first_sends(&request.pool, 1, now);
        }
        request.sends += 1;
        request.runs = runs;
        request.tried.push(endpoint.id.clone());
        request.attempt = Some(Attempt {
            number,
            endpoint: endpoint.clone(),
            ordered_at: now,
            sent_at: None,
            framing: Framing::default(),
            answered_at: None,
            began_at: None,
            health_path,
            unconfirmed_end: None,
            prompt,
        });
        if request.may_repeat() && request.uncertain_attempts + 1 < request.route.max_attempts {
            let timeout_at = now + request.response_timeout();
            self.timers.insert((timeout_at, caller, Timer::Response(number)));
        }
        self.observations.sent(&endpoint);
        self.ramps.sent(&endpoint, now);
        self.cold.record_sent(&endpoint, 1, now);
        let params = CallParams {
            endpoint,
            timeout: request.deadline.saturating_sub(now),
            organisation: request.organisation.clone(),
            inputs: request.inputs().into_iter().map(|m| m.handle).collect(),
            after_event: request.after_event().map(ToOwned::to_owned),
            level: request.urgency().engine_level(),
            reuse_connection: request.may_repeat(),
            streams: request.route.streams,
            connections,
            permit,
            prompt_source,
        };
        self.out.push(Action::Call { caller, attempt: number, params });
    }

    /// Whether this is the open attempt of the request.
    pub(super) fn is_current_attempt(&self, caller: u64, attempt: u64) -> bool {
        let open = self.requests.get(&caller).and_then(|r| r.attempt.as_ref());
        open.is_some_and(|a| a.number == attempt)
    }

    /// Removes the open attempt from its request.
    pub(super) fn close_attempt(&mut self, caller: u64) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&caller)?.attempt.take()?;
        self.observations.ended(&attempt.endpoint);
        if attempt.prompt.as_ref().is_some_and(|prompt| prompt.fetches) {
            crate::metrics::prompt_fetched("not_started");
        }
        self.ramps.ended(&attempt.endpoint, attempt.ordered_at);
        Some(attempt)
    }

    /// An endpoint responded, completely or with the head of a stream.
    pub fn answered(
        &mut self,
        caller: u64,
        attempt: u64,
        proof: AnswerProof,
        is_open: bool,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_current_attempt(caller, attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(open) = request.attempt.as_mut() else {
            return;
        };
        open.framing = proof.framing;
        open.answered_at = Some(now);
        let open = open.clone();
        let place = request.place.clone();
        let endpoint = open.endpoint.clone();
        // A misdirected request was answered by another endpoint, so its load report does not
        // apply.
        if let Some(load) = proof.load.filter(|_| !proof.from_other_endpoint) {
            self.observations.reported(&endpoint, load.running + load.waiting, now);
            self.record_engine_load(caller, &endpoint, load, table, now);
        }
        if proof.not_run || proof.from_other_endpoint {
            return self.attempt_not_run(caller, proof, table, now);
        }
        if let Some(failure) = Failure::of_answer(&proof) {
            return self.attempt_may_have_run(caller, failure, table, now);
        }
        if proof.status >= 500 && self.may_retry(caller, now) {
            return self.attempt_may_have_run(caller, Failure::ServerError, table, now);
        }
        if !is_open && proof.framing == Framing::Connection {
            let answer = UnframedAnswer::Whole { status: proof.status };
            return self.check_end(caller, answer, table, now);
        }
        if is_open && !self.may_begin_answer(caller, now) {
            return;
        }
        self.record_answer(caller, proof.status, now);
        if is_open {
            self.out.push(Action::Deliver { caller, attempt, place });
            if let Some(request) = self.requests.get_mut(&caller) {
                request.phase = Phase::Streaming;
            }
        } else {
            self.deliver_answer(caller, proof.status, now);
        }
    }

    /// Records what an answer shows about the endpoint of the open attempt.
    pub(super) fn record_answer(&mut self, caller: u64, status: u16, now: Timestamp) {
        let Some(open) = self.requests.get(&caller).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        let (endpoint, ordered_at) = (open.endpoint.clone(), open.ordered_at);
        let answered_at = open.unconfirmed_end.as_ref().map_or(now, |end| end.at);
        if !is_endpoint_failure(status) {
            let took = self.elapsed_since(ordered_at, answered_at);
            self.observations.answered(&endpoint, took);
            self.ramps.answered(&endpoint, ordered_at);
        } else if self.observations.failed(&endpoint, now) {
            self.log_avoided(&endpoint.id, "server errors");
        }
    }

    /// Delivers the complete answer of the open attempt.
    pub(super) fn deliver_answer(&mut self, caller: u64, status: u16, now: Timestamp) {
        let Some(attempt) = self.requests.get(&caller).and_then(|r| r.attempt.clone()) else {
            return;
        };
        let place = Place::default();
        self.out.push(Action::Deliver { caller, attempt: attempt.number, place });
        if (200..300).contains(&status) {
            self.record_durations(caller, true, now);
        }
        self.report_answered(caller, &attempt, status);
        self.close_attempt(caller);
        self.end(caller, &format!("answered {status}"), None, now);
    }

    /// A call that needs results is sent. An endpoint with a free slot fetches them right away.
    /// They are freed once it has them rather than with its first event, which arrives 100 to 300
    /// ms after the call: this raised the benchmark score by 0.010 of 0.690 in fifteen pairs of
    /// test days with bursts and losses, and refusals of returning callers fell by a fifth.
    ///
    /// The time counts from here, not from the order of the call, because a connection may be
    /// established late on a saturated link. Counted from the order, the results of 292 of 5,900
    /// requests were freed too early on hosts of 10 Mbit/s that were receiving 20 long
    /// configurations, which wasted 52 s of stage work; counted from here, none were, and 0.6 s
    /// were wasted.
    pub fn call_sent(&mut self, caller: u64, attempt: u64, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller).filter(|r| r.holds_results) else {
            return;
        };
        let Some(open) = request.attempt.as_mut().filter(|a| a.number == attempt) else {
            return;
        };
        open.sent_at = Some(now);
        let retention = self.fetch_times.retention(&request.pool);
        let retention = retention.filter(|_| self.observations.has_free_slot(&open.endpoint, now));
        if let Some(retention) = retention {
            self.timers.insert((now + retention, caller, Timer::InputsFetched(attempt)));
        }
    }

    /// The endpoint of an attempt has had enough time to fetch its inputs.
    pub(super) fn inputs_fetched(&mut self, caller: u64, attempt: u64) {
        if self.is_current_attempt(caller, attempt) {
            self.release(caller);
        }
    }

    /// The first event of a stream was forwarded, so its endpoint has fetched the inputs.
    pub fn first_event(&mut self, caller: u64, now: Timestamp) {
        if let Some(request) = self.requests.get(&caller)
            && let Some(sent) = request.attempt.as_ref().and_then(|a| a.sent_at)
            && let Some(took) = self.elapsed_since(sent, now)
        {
            self.fetch_times.first_event(&request.pool, took);
        }
        self.writing_began(caller, now);
        self.prompt_read(caller, now);
        self.release(caller);
    }

    /// An endpoint did not find the results that a request needs. Logs it, and discards the
    /// estimate of the fetch time if this gateway had them freed.
    fn results_gone(&mut self, caller: u64, attempt: &Attempt, now: Timestamp) {
        let Some(request) = self.requests.get(&caller).filter(|r| r.has_stages()) else {
            return;
        };
        let freed = request.results_freed();
        if freed {
            self.fetch_times.freed_too_early(&request.pool);
        }
        self.out.push(Action::Log(LogEvent::ResultsGone {
            request: request.incoming.id.clone(),
            endpoint: attempt.endpoint.id.clone(),
            ordered_ms: ms(now.saturating_sub(attempt.ordered_at)),
            sent_ms: attempt.sent_at.map(|sent| ms(now.saturating_sub(sent))),
            freed,
        }));
    }

    /// Whether the request may be sent again after a call that may have run.
    pub(super) fn may_retry(&self, caller: u64, now: Timestamp) -> bool {
        self.requests.get(&caller).is_some_and(|r| {
            r.may_repeat()
                && r.uncertain_attempts + 1 < r.route.max_attempts
                && r.sends < MAX_SENDS
                && now + MIN_TIME_LEFT < r.deadline
        })
    }

    /// The open attempt is proved not to have run.
    pub(super) fn attempt_not_run(
        &mut self,
        caller: u64,
        proof: AnswerProof,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(attempt) = self.close_attempt(caller) else {
            return;
        };
        let endpoint = &attempt.endpoint;
        if proof.from_other_endpoint {
            self.avoid(endpoint, "other endpoint", now);
        } else {
            self.observations.full(endpoint, now);
        }
        if proof.status == STATUS_RESULTS_GONE {
            self.results_gone(caller, &attempt, now);
        }
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let (pool, sends) = (request.pool.clone(), request.sends);
        // Results that one endpoint can't fetch are missing for others as well. If this gateway had
        // them freed, the stages run again.
        let is_permanent = proof.status == STATUS_RESULTS_GONE && !request.results_freed();
        let can_retry = !is_permanent && proof.status != 400 && sends < MAX_SENDS;
        let will_retry = can_retry && self.repeats.try_take(&pool, self.gateway_count, now);
        let failure = format!("not run: status {}", proof.status);
        self.log_attempt_failed(
            caller,
            &attempt,
            failure,
            if will_retry { "again" } else { "refused" },
        );
        if will_retry {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::Overloaded, RETRY_SOON, now);
        }
    }

    /// The open attempt failed and may have run.
    pub(super) fn attempt_may_have_run(
        &mut self,
        caller: u64,
        failure: Failure,
        table: &Table,
        now: Timestamp,
    ) {
        let may_retry = self.may_retry(caller, now);
        let Some(attempt) = self.close_attempt(caller) else {
            return;
        };
        self.out.push(Action::CancelAttempt { caller, attempt: attempt.number });
        if let Some(how) = failure.unanswered() {
            self.report_unanswered(caller, &attempt, how, now);
        }
        if self.observations.failed(&attempt.endpoint, now) {
            self.log_avoided(&attempt.endpoint.id, "failures");
        }
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.uncertain_attempts += 1;
        let pool = request.pool.clone();
        let will_retry = may_retry && self.repeats.try_take(&pool, self.gateway_count, now);
        let next = if will_retry { "again" } else { "abandoned" };
        self.log_attempt_failed(caller, &attempt, failure.to_string(), next);
        if will_retry {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::OutcomeUnknown, RETRY_SOON, now);
        }
    }

    /// A call failed without a response.
    pub fn call_failed(
        &mut self,
        caller: u64,
        attempt: u64,
        failure: CallFailure,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_current_attempt(caller, attempt) {
            return;
        }
        match failure {
            CallFailure::Broken => {
                return self.attempt_may_have_run(caller, Failure::ConnectionFailed, table, now);
            }
            CallFailure::Malformed(fault) => {
                return self.attempt_may_have_run(caller, Failure::Malformed(fault), table, now);
            }
            CallFailure::ForeignAnswer => {
                return self.attempt_may_have_run(caller, Failure::InvalidResponse, table, now);
            }
            CallFailure::TooLong => {
                return self.attempt_may_have_run(caller, Failure::AnswerTooLong, table, now);
            }
            CallFailure::Silent => {
                return self.attempt_may_have_run(caller, Failure::NoResponse, table, now);
            }
            CallFailure::NotSent | CallFailure::TurnedAway | CallFailure::Withheld => {}
        }
        let Some(closed) = self.close_attempt(caller) else {
            return;
        };
        match failure {
            CallFailure::TurnedAway => self.observations.full(&closed.endpoint, now),
            CallFailure::Withheld => {}
            _ => {
                self.avoid(&closed.endpoint, "unreachable", now);
                self.expect_cold_restart(caller, &closed.endpoint, table, now);
            }
        }
        let sends = self.requests.get(&caller).map_or(MAX_SENDS, |r| r.sends);
        let will_retry = sends < MAX_SENDS;
        let next = if will_retry { "again" } else { "refused" };
        self.log_attempt_failed(caller, &closed, format!("not sent: {failure:?}"), next);
        if will_retry {
            self.dispatch(caller, table, now);
        } else {
            self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        }
    }

    /// No response arrived in time: the call counts as failed, unless it is already being streamed.
    pub(super) fn response_timed_out(
        &mut self,
        caller: u64,
        attempt: u64,
        table: &Table,
        now: Timestamp,
    ) {
        let is_unanswered = |request: &Request| {
            let open = request.attempt.as_ref();
            request.phase == Phase::Running && open.is_some_and(|a| a.unconfirmed_end.is_none())
        };
        if self.requests.get(&caller).is_some_and(is_unanswered)
            && self.is_current_attempt(caller, attempt)
        {
            self.attempt_may_have_run(caller, Failure::NoResponse, table, now);
        }
    }

    /// Avoids an unreachable endpoint for a while.
    pub(super) fn avoid(&mut self, endpoint: &Endpoint, cause: &'static str, now: Timestamp) {
        if self.observations.unreachable(endpoint, now) {
            self.log_avoided(&endpoint.id, cause);
        }
    }

    pub(super) fn log_avoided(&mut self, endpoint: &Name, cause: &'static str) {
        let endpoint = endpoint.clone();
        self.out.push(Action::Log(LogEvent::Suspicion { endpoint, avoided: true, cause }));
    }

    pub(super) fn log_attempt_failed(
        &mut self,
        caller: u64,
        attempt: &Attempt,
        failure: String,
        next: &'static str,
    ) {
        if let Some(request) = self.requests.get(&caller) {
            self.out.push(Action::Log(LogEvent::AttemptFailed {
                request: request.incoming.id.clone(),
                endpoint: attempt.endpoint.id.clone(),
                failure,
                next,
            }));
        }
    }
}
