//! Ends of answers without framing: the endpoint confirms that it did not crash.
//!
//! An answer with neither a length nor chunks ends with its connection, and a crash of the endpoint
//! ends the connection as well. So the endpoint is asked for its identity after the end: if it
//! responds, its process is running, and the end is the regular one. A closed port, or another
//! endpoint at the address, proves the contrary. Without a usable response the endpoint is asked
//! again for a short time; an unconfirmed end counts as a crash. An end at the deadline of
//! the request is not asked about: a running endpoint stops there.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::Identity;
use crate::direct::event::Action;
use crate::direct::forwarded_stream::ForwardedStream;
use crate::direct::log_events::{LogEvent, StreamEvent, ms};
use crate::direct::published::model::Endpoint;
use crate::direct::published::table::Table;
use crate::direct::requests::failure::Failure;
use crate::direct::requests::request::Attempt;
use crate::direct::requests::{Requests, Timer};
use crate::message::Timestamp;

/// Pause between two questions to an endpoint that gave no usable response.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the end of an answer within which its endpoint must confirm it. Callers abandon a
/// stream after a gap of two seconds at the earliest.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An endpoint stops at the deadline that it was sent, which is a whole number of milliseconds. An
/// end this close to the deadline may be that stop.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// An answer that ended with its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnframedAnswer {
    /// A stream, whose events have been forwarded.
    Stream(ForwardedStream),
    /// An answer that is not a stream, and has not been delivered.
    Whole {
        /// Status of the answer.
        status: u16,
    },
}

impl UnframedAnswer {
    /// Word for this answer in log events.
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Stream(_) => "stream",
            Self::Whole { .. } => "answer",
        }
    }
}

/// The end of an answer without framing, until its endpoint has confirmed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedEnd {
    /// The answer that ended.
    answer: UnframedAnswer,
    /// When it ended.
    pub at: Timestamp,
    /// Number of questions that were sent.
    checks: u32,
    /// Whether the last question has no response yet, or waits for a permit.
    is_question_open: bool,
}

/// Whether the endpoint of an attempt is listed with another incarnation now.
fn has_restarted(endpoint: &Endpoint, table: &Table) -> bool {
    let listed = table.endpoint(&endpoint.id);
    let listed = listed.filter(|_| endpoint.incarnation != 0);
    listed.is_some_and(|listed| listed.incarnation != endpoint.incarnation)
}

impl Requests {
    /// The answer of the open attempt ended with its connection: asks its endpoint for its identity.
    pub(super) fn check_end(
        &mut self,
        caller: u64,
        answer: UnframedAnswer,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(open) = &mut request.attempt else {
            return;
        };
        open.unconfirmed_end =
            Some(UnconfirmedEnd { answer, at: now, checks: 0, is_question_open: false });
        if now + DEADLINE_MARGIN >= request.deadline {
            return self.conclude(caller, Identity::Unknown, table, now);
        }
        let attempt = open.number;
        self.timers.insert((now + CHECK_TIMEOUT, caller, Timer::EndCheck(attempt)));
        self.ask_identity(caller, now);
    }

    /// The time for confirming an end, or the pause between two questions, is over.
    pub(super) fn end_check_due(
        &mut self,
        caller: u64,
        attempt: u64,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(end) =
            self.unconfirmed_end(caller).filter(|_| self.is_current_attempt(caller, attempt))
        else {
            return;
        };
        let (until, is_open) = (self.check_until(end), end.is_question_open);
        if now >= until {
            return self.conclude(caller, Identity::Unknown, table, now);
        }
        self.timers.insert((until, caller, Timer::EndCheck(attempt)));
        if !is_open {
            self.ask_identity(caller, now);
        }
    }

    /// When the end counts as unconfirmed. Time in which this process was suspended does not count.
    fn check_until(&self, end: &UnconfirmedEnd) -> Timestamp {
        end.at.max(self.resumed_at) + CHECK_TIMEOUT
    }

    fn unconfirmed_end(&self, caller: u64) -> Option<&UnconfirmedEnd> {
        self.requests.get(&caller)?.attempt.as_ref()?.unconfirmed_end.as_ref()
    }

    /// Whether the end of the open attempt's answer is being confirmed.
    pub(super) fn is_checking_end(&self, caller: u64) -> bool {
        self.unconfirmed_end(caller).is_some()
    }

    /// Asks the endpoint of the open attempt, once a pause is over and a permit is granted if it
    /// asked for that.
    fn ask_identity(&mut self, caller: u64, now: Timestamp) {
        let Some(open) = self.requests.get(&caller).and_then(|request| request.attempt.as_ref())
        else {
            return;
        };
        let (attempt, endpoint) = (open.number, Arc::clone(&open.endpoint));
        if let Some(until) = self.backoffs.paused_until(&endpoint, now) {
            self.timers.insert((until, caller, Timer::EndCheck(attempt)));
        } else if self.limits.rate(&endpoint, now).is_some() {
            self.set_question_open(caller, true);
            self.await_check_permit(caller, endpoint, CHECK_TIMEOUT);
        } else {
            self.send_question(caller, None);
        }
    }

    /// Sends the question; `permit` is when its permit expires, for an endpoint with a rate limit.
    pub(super) fn send_question(&mut self, caller: u64, permit: Option<Timestamp>) {
        self.set_question_open(caller, true);
        let Some(open) = self.requests.get_mut(&caller).and_then(|r| r.attempt.as_mut()) else {
            return;
        };
        if let Some(end) = &mut open.unconfirmed_end {
            end.checks += 1;
        }
        self.out.push(Action::Identify {
            caller,
            attempt: open.number,
            endpoint: Arc::clone(&open.endpoint),
            health_path: open.health_path.clone(),
            permit,
        });
    }

    /// The question got no usable response, or no permit: asks again after a pause.
    pub(super) fn ask_again(&mut self, caller: u64, now: Timestamp) {
        self.set_question_open(caller, false);
        let attempt = self.requests.get(&caller).and_then(|r| r.attempt.as_ref());
        if let Some(attempt) = attempt.map(|a| a.number) {
            self.timers.insert((now + CHECK_INTERVAL, caller, Timer::EndCheck(attempt)));
        }
    }

    fn set_question_open(&mut self, caller: u64, is_open: bool) {
        let open = self.requests.get_mut(&caller).and_then(|r| r.attempt.as_mut());
        if let Some(end) = open.and_then(|open| open.unconfirmed_end.as_mut()) {
            end.is_question_open = is_open;
        }
    }

    /// The endpoint of an attempt was asked for its identity.
    pub fn identified(
        &mut self,
        caller: u64,
        attempt: u64,
        identity: Identity,
        table: &Table,
        now: Timestamp,
    ) {
        if !self.is_current_attempt(caller, attempt) {
            return;
        }
        let Some(until) = self.unconfirmed_end(caller).map(|end| self.check_until(end)) else {
            return;
        };
        if identity == Identity::Unknown && now < until {
            self.ask_again(caller, now);
        } else {
            self.conclude(caller, identity, table, now);
        }
    }

    /// Takes the answer of the open attempt for whole, or for cut.
    fn conclude(&mut self, caller: u64, identity: Identity, table: &Table, now: Timestamp) {
        let Some(open) = self.requests.get(&caller).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        let Some(end) = open.unconfirmed_end.clone() else {
            return;
        };
        let identity = if has_restarted(&open.endpoint, table) { Identity::Gone } else { identity };
        self.log_end_checked(caller, &end, identity, now);
        let is_same = identity == Identity::Same;
        match end.answer {
            UnframedAnswer::Stream(_) if is_same => self.stream_is_complete(caller, now),
            UnframedAnswer::Stream(stream) => self.stream_broke(caller, stream, table, now),
            UnframedAnswer::Whole { status } if is_same => {
                self.record_answer(caller, status, now);
                self.deliver_answer(caller, status, now);
            }
            UnframedAnswer::Whole { .. } => {
                self.attempt_may_have_run(caller, Failure::EndUnconfirmed, table, now);
            }
        }
    }

    fn log_end_checked(
        &mut self,
        caller: u64,
        end: &UnconfirmedEnd,
        identity: Identity,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(Attempt { endpoint, .. }) = &request.attempt else {
            return;
        };
        self.out.push(Action::Log(LogEvent::Stream(StreamEvent::EndChecked {
            request: request.incoming.id.clone(),
            endpoint: endpoint.id.clone(),
            ended: end.answer.as_str(),
            identity: identity.as_str(),
            checks: end.checks,
            took_ms: ms(now.saturating_sub(end.at)),
        })));
    }
}
