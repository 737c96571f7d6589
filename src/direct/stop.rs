//! The end of a process that was told to stop: a bound for whatever it takes on, as a caller's
//! deadline is.

use std::time::Duration;

use crate::direct::peers::members::{MemberState, Members};
use crate::message::Timestamp;

/// No process ends earlier after the signal: callers may still come, until the balancer has seen that
/// it is not ready.
pub const AT_LEAST: Duration = Duration::from_millis(3_400);
/// A process ends so long before it would be killed.
pub const BEFORE_KILL: Duration = Duration::from_millis(300);
/// After the signal, a gateway takes requests for so long where others serve.
const STILL_TAKING: Duration = Duration::from_millis(1_500);
/// An answer is on its way to its caller for so long at most.
const ON_THE_WAY: Duration = Duration::from_millis(200);
/// What is taken while a process is held up by what came before ends within that: its restart, which
/// serves all, must not wait for it.
const HELD_UP: Duration = Duration::from_millis(500);
/// From the end of a process until it serves again.
const RESTART: Duration = Duration::from_millis(1_200);
/// A balancer asks every second: it sends nobody to a member that has served for less.
const SEEN_READY: Duration = Duration::from_millis(1_000);
/// When to come back where others serve.
const ELSEWHERE: Duration = Duration::from_millis(100);

/// When a process ends.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    since: Timestamp,
    ends: Timestamp,
}

impl Stop {
    /// The signal came at `since`; the process is killed after `grace`.
    pub const fn new(since: Timestamp, grace: Duration) -> Self {
        Self { since, ends: since.saturating_add(latest(grace)) }
    }

    /// Time since the signal.
    pub const fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Time until the process ends by itself.
    pub const fn left(&self, now: Timestamp) -> Duration {
        self.ends.saturating_sub(now)
    }

    /// It ends now.
    pub fn end(&mut self, now: Timestamp) {
        self.ends = self.ends.min(now);
    }

    /// Whether an answer that is whole at `at` gets to its caller before the process ends.
    pub fn is_before_end(&self, at: Timestamp) -> bool {
        at + ON_THE_WAY <= self.ends
    }

    /// Whether a new request that is answered after `expected` is taken, as far as the end goes.
    pub fn takes(&self, expected: Duration, now: Timestamp) -> bool {
        self.is_before_end(now + expected) && (now < self.may_end() || expected <= HELD_UP)
    }

    /// Until when callers may come who know nothing better.
    pub fn may_end(&self) -> Timestamp {
        self.since + AT_LEAST
    }

    /// Whether new requests are looked at: for a while where others serve; where nobody does, until
    /// the process may end, and beyond that while it is held up by what came before.
    pub fn is_open(&self, others_serve: bool, is_held_up: bool, now: Timestamp) -> bool {
        if others_serve {
            return now < self.since + STILL_TAKING;
        }
        now < self.may_end() || is_held_up && now < self.ends
    }
}

/// The longest time from the signal to the process's own end.
pub const fn latest(grace: Duration) -> Duration {
    grace.saturating_sub(BEFORE_KILL)
}

/// Whether callers who come back find a gateway that serves.
pub fn others_serve(members: &Members, now: Timestamp) -> bool {
    let serving =
        |s: MemberState, since: Timestamp| s == MemberState::Serving && now >= since + SEEN_READY;
    members.others().any(|(member, since, is_alive)| is_alive && serving(member.state, since))
}

/// How long callers should wait who are refused because this process stops.
///
/// Where others serve, hardly at all. Where nobody does, until the first gateway is expected back:
/// one that leaves ends when nothing is in flight, at the earliest [`AT_LEAST`] after its signal. An
/// early return would meet another refusal, and callers return a few times only.
pub fn come_back_after(stop: &Stop, members: &Members, now: Timestamp) -> Duration {
    if others_serve(members, now) {
        return ELSEWHERE;
    }
    let back = members.others().filter_map(|(member, since, is_alive)| match member.state {
        MemberState::Serving if is_alive => Some(since + SEEN_READY),
        MemberState::Starting if is_alive => Some(now + SEEN_READY),
        MemberState::Leaving if is_alive => Some(now.max(since + AT_LEAST) + RESTART),
        // One that is dead for longer does not come back soon, if ever.
        _ => Some(since + RESTART).filter(|back| now <= *back),
    });
    let own = now.max(stop.may_end()) + RESTART;
    back.fold(own, Timestamp::min).saturating_sub(now).max(ELSEWHERE)
}
