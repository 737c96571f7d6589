//! Ends of answers without framing: the endpoint confirms that it did not crash.
//!
//! An answer with neither a length nor chunks ends with its connection, and a crash of the endpoint
//! ends the connection as well. So the endpoint is asked for its identity after the end: if it
//! responds, its process is running, and the end is the regular one. A closed port, or another
//! endpoint at the address, proves the contrary. Without a usable response the endpoint is asked
//! again for a short time; an end that nobody confirmed counts as a crash.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::Identity;
use crate::direct::event::Action;
use crate::direct::forwarded_stream::ForwardedStream;
use crate::direct::log_events::{LogEvent, StreamEvent, ms};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::failure::Failure;
use crate::direct::requests::request::Attempt;
use crate::direct::requests::{Requests, Timer};
use crate::message::Timestamp;

/// Pause between two questions to an endpoint that gave no usable response.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the end of an answer after which its endpoint is not asked again. Callers abandon a
/// stream after a gap of two seconds at the earliest.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

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
}

/// Whether the endpoint of an attempt is listed with another incarnation now.
fn has_restarted(endpoint: &Endpoint, table: &Table) -> bool {
    let listed = table.endpoint(&endpoint.id);
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
        if let Some(open) = self.open_attempt(caller) {
            open.unconfirmed_end = Some(UnconfirmedEnd { answer, at: now, checks: 0 });
            self.ask_identity(caller, table);
        }
    }

    /// The pause after a question without a usable response is over.
    pub(super) fn check_end_again(&mut self, caller: u64, attempt: u64, table: &Table) {
        if self.is_current_attempt(caller, attempt) {
            self.ask_identity(caller, table);
        }
    }

    fn open_attempt(&mut self, caller: u64) -> Option<&mut Attempt> {
        self.requests.get_mut(&caller)?.attempt.as_mut()
    }

    fn ask_identity(&mut self, caller: u64, table: &Table) {
        let pool = self.requests.get(&caller).and_then(|request| table.pool(&request.pool));
        let health_path: Option<Name> = pool.and_then(|pool| pool.health_path.clone());
        let Some(open) = self.open_attempt(caller) else {
            return;
        };
        let Some(end) = &mut open.unconfirmed_end else {
            return;
        };
        end.checks += 1;
        let (attempt, endpoint) = (open.number, Arc::clone(&open.endpoint));
        self.out.push(Action::Identify { caller, attempt, endpoint, health_path });
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
        let Some(open) = self.open_attempt(caller) else {
            return;
        };
        let Some(end) = open.unconfirmed_end.clone() else {
            return;
        };
        let identity = if has_restarted(&open.endpoint, table) { Identity::Gone } else { identity };
        if identity == Identity::Unknown && now < end.at + CHECK_TIMEOUT {
            self.timers.insert((now + CHECK_INTERVAL, caller, Timer::EndCheck(attempt)));
            return;
        }
        self.log_end_checked(caller, &end, identity, now);
        let is_same = identity == Identity::Same;
        match end.answer {
            UnframedAnswer::Stream(_) if is_same => self.stream_is_complete(caller, now),
            UnframedAnswer::Stream(stream) => self.stream_broke(caller, stream, table, now),
            UnframedAnswer::Whole { status } if is_same => {
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
