//! Timers of an owner.

use std::collections::BTreeSet;

use crate::direct::peers::message::JobId;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::message::Timestamp;

/// Event for which a timer is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of a job passes.
    Deadline(JobId),
    /// The ledger entry of a job is out of date.
    Refresh(JobId),
    /// The endpoint of a call is assumed to have fetched the inputs.
    InputsFetched(u64),
    /// A call should have ended.
    Overdue(u64),
    /// A place is not kept any longer.
    PlaceExpired(Fingerprint),
}

/// All timers, ordered by time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Timestamp, Timer)>,
}

impl Timers {
    pub(super) fn add(&mut self, at: Timestamp, due: Timer) {
        self.due.insert((at, due));
    }

    pub(super) fn remove(&mut self, at: Timestamp, due: Timer) {
        self.due.remove(&(at, due));
    }

    /// Moves the timers that are due by `now` to `until`.
    pub(super) fn postpone(&mut self, now: Timestamp, until: Timestamp) {
        let later = self.due.split_off(&(now, Timer::Deadline(JobId::LOWEST)));
        let due = std::mem::replace(&mut self.due, later).into_iter();
        self.due.extend(due.map(|(_, due)| (until, due)));
    }

    /// Removes and returns the oldest timer that is due by `now`.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, due) = *self.due.first()?;
        (at <= now).then(|| self.due.remove(&(at, due)))?;
        Some(due)
    }
}
