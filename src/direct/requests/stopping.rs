//! Requests of a stopping process: nothing is started, and no answer begun, that can't finish before
//! the process ends.

use std::time::Duration;

use crate::direct::event::{Action, Refused};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::published::model::Name;
use crate::direct::requests::Requests;
use crate::direct::requests::durations::{Confidence, Span, required_confidence};
use crate::direct::requests::request::{Phase, Request};
use crate::direct::stop::Stop;
use crate::message::Timestamp;

/// Interval between checks of the requests that wait for their stages.
const STAGES_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a stopping process records the durations of running requests.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the stopping process that decisions on requests depend on.
#[derive(Debug, Clone, Copy)]
pub struct Stopping {
    /// When the process ends.
    pub stop: Stop,
    /// Whether other gateways serve.
    pub others_serve: bool,
    /// Delay after which refused callers should retry.
    pub retry_after: Duration,
}

/// Phase of a request at which it is checked whether it can finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Checkpoint {
    Arrival,
    Stages,
    Dispatch,
    Answer,
}

impl Checkpoint {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Arrival => "door",
            Self::Stages => "stages",
            Self::Dispatch => "dispatch",
            Self::Answer => "answer",
        }
    }

    /// The span of the request that is still ahead.
    const fn remaining_span(self) -> Span {
        match self {
            Self::Arrival => Span::Total,
            Self::Stages | Self::Dispatch => Span::Run,
            Self::Answer => Span::Answer,
        }
    }
}

impl Requests {
    /// The process is stopping; called again with each event to update the state.
    pub fn set_stopping(&mut self, stopping: Stopping, now: Timestamp) {
        self.stopping = Some(stopping);
        if now >= self.running_sampled_at + SAMPLE_INTERVAL {
            self.running_sampled_at = now;
            self.record_running(now);
        }
    }

    /// Records the durations so far of running requests. Long requests end last; without this only
    /// short ones would be recorded.
    fn record_running(&mut self, now: Timestamp) {
        for caller in self.callers_where(|_| true) {
            self.record_durations(caller, false, now);
        }
    }

    /// Delay after which callers refused by an unconfigured or stopping process should retry.
    pub(super) fn retry_elsewhere_after(&self) -> Duration {
        self.stopping.map_or(crate::direct::requests::RETRY_ELSEWHERE, |s| s.retry_after)
    }

    /// Whether new requests are considered at all.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.stopping.is_none_or(|s| {
            let is_older = |r: &Request| r.arrived < s.stop.earliest_end();
            let is_held_up = self.requests.values().any(is_older);
            s.stop.is_open(s.others_serve, is_held_up, now)
        })
    }

    /// Whether the answer of a request will be complete before the process ends, by its deadline or
    /// the expected duration, with the log event of that decision.
    fn can_finish(
        &self,
        request: &Request,
        at: Checkpoint,
        now: Timestamp,
    ) -> (bool, Option<LogEvent>) {
        let Some(Stopping { stop, others_serve, .. }) = self.stopping else {
            return (true, None);
        };
        let confidence = required_confidence(
            stop.elapsed(now),
            at == Checkpoint::Arrival,
            request.route.streams,
            others_serve,
        );
        let time_left = request.deadline.saturating_sub(now);
        let (route, size) = (&request.route.name, request.size());
        let expected = match at {
            Checkpoint::Answer => self.expected_answer(request),
            _ => self.durations.expected(route, at.remaining_span(), size, confidence),
        };
        // A young process has no samples. Where a typical duration would suffice, it accepts,
        // because a refusal has a certain cost.
        let unknown = if confidence == Confidence::Typical { Duration::ZERO } else { time_left };
        let expected = expected.unwrap_or(unknown) + self.stages_time_left(request, at, now);
        let expected = expected.min(time_left);
        let taken = match at {
            Checkpoint::Arrival => stop.accepts(expected, now),
            Checkpoint::Stages | Checkpoint::Dispatch | Checkpoint::Answer => {
                stop.is_before_end(now + expected)
            }
        };
        let is_logged = at == Checkpoint::Arrival || !taken;
        let event = is_logged
            .then(|| self.stop_decision(&request.incoming.id, at, taken, Some(expected), now));
        (taken, event.flatten())
    }

    /// Expected duration of an answer whose head was received: a safe upper bound if there are
    /// enough similar ones, else a typical duration. Without any, the answer is begun.
    fn expected_answer(&self, request: &Request) -> Option<Duration> {
        let expected = |confidence| {
            let (route, size) = (&request.route.name, request.size());
            self.durations.expected(route, Span::Answer, size, confidence)
        };
        let known = expected(Confidence::UpperBound).or_else(|| expected(Confidence::Typical));
        Some(known.unwrap_or_default())
    }

    /// Typical remaining time of the stages of a request that waits for them.
    fn stages_time_left(&self, request: &Request, at: Checkpoint, now: Timestamp) -> Duration {
        if at != Checkpoint::Stages {
            return Duration::ZERO;
        }
        let typical =
            self.durations.expected(&request.route.name, Span::Stages, 1, Confidence::Typical);
        typical.unwrap_or_default().saturating_sub(now.saturating_sub(request.arrived))
    }

    /// Log event of a decision on a request; `None` if the process is not stopping.
    fn stop_decision(
        &self,
        request: &Name,
        at: Checkpoint,
        taken: bool,
        expected: Option<Duration>,
        now: Timestamp,
    ) -> Option<LogEvent> {
        let Stopping { stop, others_serve, .. } = self.stopping?;
        Some(LogEvent::StopDecided {
            request: request.clone(),
            at: at.as_str(),
            taken,
            stopping_ms: ms(stop.elapsed(now)),
            left_ms: ms(stop.remaining(now)),
            expected_ms: expected.map(ms),
            others_serve,
        })
    }

    /// Whether a new request can finish before the process ends.
    pub(super) fn can_accept(&mut self, request: &Request, now: Timestamp) -> bool {
        let (taken, event) = self.can_finish(request, Checkpoint::Arrival, now);
        self.out.extend(event.map(Action::Log));
        taken
    }

    /// Whether a request can finish before the process ends if it is sent to an endpoint now;
    /// otherwise refuses it as not run.
    ///
    /// This includes streams that are to be resumed, because their callers may resume them at
    /// another gateway.
    pub(super) fn may_be_sent(&mut self, caller: u64, now: Timestamp) -> bool {
        self.refuse_if_too_late(caller, Checkpoint::Dispatch, now)
    }

    /// Refuses a request that can't finish before the process ends; returns whether it can.
    fn refuse_if_too_late(&mut self, caller: u64, at: Checkpoint, now: Timestamp) -> bool {
        let Some(request) = self.requests.get(&caller) else {
            return false;
        };
        let (taken, event) = self.can_finish(request, at, now);
        self.out.extend(event.map(Action::Log));
        if !taken {
            self.refuse(caller, Refused::Draining, self.retry_elsewhere_after(), now);
        }
        taken
    }

    /// Whether a stream whose head was received can end before the process does; otherwise its
    /// caller gets a failure, since a stream that has begun would be cut off. It may have run.
    pub(super) fn may_begin_answer(&mut self, caller: u64, now: Timestamp) -> bool {
        let is_begun = self.requests.get(&caller).is_none_or(|r| r.phase == Phase::Streaming);
        is_begun || self.refuse_if_too_late(caller, Checkpoint::Answer, now)
    }

    /// Logs that a new request was refused without considering it.
    pub(super) fn log_closed(&mut self, request: &Name, now: Timestamp) {
        let event = self.stop_decision(request, Checkpoint::Arrival, false, None, now);
        self.out.extend(event.map(Action::Log));
    }

    /// Whether the stages of a route finish before the process ends, by the longest observed
    /// duration.
    pub fn stages_can_finish(&self, route: &Name, longest: Duration, now: Timestamp) -> bool {
        self.stopping.is_none_or(|s| {
            let expected = self.durations.expected(route, Span::Stages, 1, Confidence::UpperBound);
            s.stop.is_before_end(now + expected.map_or(longest, |e| e.min(longest)))
        })
    }

    /// Refuses requests that wait for their stages and can't finish their run any more. They have
    /// not run, and their callers have time to go to another gateway.
    pub(super) fn refuse_unfinishable_stages(&mut self, now: Timestamp) {
        if self.stopping.is_none() || now < self.stages_checked_at + STAGES_CHECK_INTERVAL {
            return;
        }
        self.stages_checked_at = now;
        let waiting = self.callers_where(|r| matches!(r.phase, Phase::Stages { .. })).into_iter();
        let waiting = waiting.filter_map(|caller| Some((caller, self.requests.get(&caller)?)));
        let checked =
            waiting.map(|(caller, r)| (caller, self.can_finish(r, Checkpoint::Stages, now)));
        let too_late: Vec<_> = checked.filter(|(_, (can_finish, _))| !can_finish).collect();
        for (caller, (_, event)) in too_late {
            self.out.extend(event.map(Action::Log));
            self.refuse(caller, Refused::Draining, self.retry_elsewhere_after(), now);
        }
    }

    /// The process ends: refuses requests without an answer and aborts open streams. Returns the
    /// number of each.
    pub fn end_all(&mut self, now: Timestamp) -> (usize, usize) {
        let streams = self.streams();
        let callers = self.callers_where(|_| true);
        let unanswered = callers.len() - streams;
        for caller in callers {
            self.refuse(caller, Refused::Draining, self.retry_elsewhere_after(), now);
        }
        (unanswered, streams)
    }

    /// Records the duration of a request that is complete, or a lower bound of it if it is not.
    pub(super) fn record_durations(&mut self, caller: u64, is_complete: bool, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(attempt) = &request.attempt else {
            return;
        };
        let (route, size) = (&request.route.name, request.size());
        let spans = [
            (Span::Total, Some(request.arrived)),
            (Span::Run, Some(attempt.ordered_at)),
            (Span::Answer, attempt.answered_at),
        ];
        for (span, since) in spans {
            let Some(took) = since.and_then(|since| self.elapsed_since(since, now)) else {
                continue;
            };
            if is_complete {
                self.durations.record(route, span, size, took);
            } else {
                self.durations.record_lower_bound(route, span, size, took);
            }
        }
    }
}
