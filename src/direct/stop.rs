//! Planned stop of a process: it limits what the process still accepts, as a caller's deadline
//! does.

use std::time::Duration;

use crate::direct::peers::members::{MemberState, Members};
use crate::message::Timestamp;

/// Minimum time from the signal to the end of the process. Callers may still be sent here until the
/// load balancer has seen that the process is not ready.
pub const MIN_DURATION: Duration = Duration::from_millis(3_400);
/// A process ends this long before it would be killed.
pub const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How long after the signal a gateway accepts requests if other gateways serve.
const ACCEPT_WITH_OTHERS: Duration = Duration::from_millis(1_500);
/// Maximum time for a response to reach its caller.
const MAX_DELIVERY: Duration = Duration::from_millis(200);
/// Maximum expected duration of requests that are accepted after [`MIN_DURATION`], while earlier
/// requests keep the process running: its restart, which serves all callers, must not wait for
/// them.
const MAX_LATE_EXPECTED: Duration = Duration::from_millis(500);
/// Time from the end of a process until it serves again.
const RESTART: Duration = Duration::from_millis(1_200);
/// Interval of the load balancer's checks: it sends no callers to a gateway that has served for
/// less.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Retry delay for refused callers if other gateways serve.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);

/// Schedule of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    since: Timestamp,
    ends: Timestamp,
}

impl Stop {
    /// Creates the schedule for a signal at `since`; the process is killed `grace` later.
    pub const fn new(since: Timestamp, grace: Duration) -> Self {
        Self { since, ends: since.saturating_add(max_duration(grace)) }
    }

    /// Time since the signal.
    pub const fn elapsed(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Time until the process ends by itself.
    pub const fn remaining(&self, now: Timestamp) -> Duration {
        self.ends.saturating_sub(now)
    }

    /// Moves the end of the process to now.
    pub fn end_now(&mut self, now: Timestamp) {
        self.ends = self.ends.min(now);
    }

    /// Whether a response that is complete at `at` reaches its caller before the process ends.
    pub fn is_before_end(&self, at: Timestamp) -> bool {
        at + MAX_DELIVERY <= self.ends
    }

    /// Whether the schedule allows a new request whose response takes `expected`.
    pub fn accepts(&self, expected: Duration, now: Timestamp) -> bool {
        self.is_before_end(now + expected)
            && (now < self.earliest_end() || expected <= MAX_LATE_EXPECTED)
    }

    /// Earliest end of the process; until then callers may arrive that have not noticed the stop.
    pub fn earliest_end(&self) -> Timestamp {
        self.since + MIN_DURATION
    }

    /// Whether new requests are considered. If other gateways serve, for a while after the signal.
    /// If none does, until the earliest end of the process, and after that while earlier requests
    /// keep it running.
    pub fn is_open(&self, others_serve: bool, has_earlier_requests: bool, now: Timestamp) -> bool {
        if others_serve {
            return now < self.since + ACCEPT_WITH_OTHERS;
        }
        now < self.earliest_end() || has_earlier_requests && now < self.ends
    }
}

/// Maximum time from the signal to the process's own end.
pub const fn max_duration(grace: Duration) -> Duration {
    grace.saturating_sub(KILL_MARGIN)
}

/// Whether callers that try again reach a gateway that serves.
pub fn others_serve(members: &Members, now: Timestamp) -> bool {
    let serving = |s: MemberState, since: Timestamp| {
        s == MemberState::Serving && now >= since + READY_CHECK_INTERVAL
    };
    members.others().any(|(member, since, is_alive)| is_alive && serving(member.state, since))
}

/// How long callers should wait that are refused because this process stops.
///
/// Short if other gateways serve. If none does, until the first gateway is expected to serve again:
/// a leaving one ends when nothing is in flight, but not before [`MIN_DURATION`] after its signal.
/// Earlier attempts would be refused again, and callers try only a few times.
pub fn retry_after(stop: &Stop, members: &Members, now: Timestamp) -> Duration {
    if others_serve(members, now) {
        return RETRY_ELSEWHERE;
    }
    let back = members.others().filter_map(|(member, since, is_alive)| match member.state {
        MemberState::Serving if is_alive => Some(since + READY_CHECK_INTERVAL),
        MemberState::Starting if is_alive => Some(now + READY_CHECK_INTERVAL),
        MemberState::Leaving if is_alive => Some(now.max(since + MIN_DURATION) + RESTART),
        // A gateway that has been down for longer is not expected to serve again soon, if ever.
        _ => Some(since + RESTART).filter(|back| now <= *back),
    });
    let own = now.max(stop.earliest_end()) + RESTART;
    back.fold(own, Timestamp::min).saturating_sub(now).max(RETRY_ELSEWHERE)
}
