//! What an owner looks at again when its time comes.

use std::collections::BTreeSet;

use crate::direct::peers::message::JobId;
use crate::message::Timestamp;

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// A job's caller stops waiting.
    Deadline(JobId),
    /// What a job has entered is out of date.
    Review(JobId),
    /// An endpoint has fetched the inputs of a call.
    Fetched(u64),
    /// A call should have ended.
    Overdue(u64),
}

/// Everything that is due, by time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Timestamp, Due)>,
}

impl Timers {
    pub(super) fn add(&mut self, at: Timestamp, due: Due) {
        self.due.insert((at, due));
    }

    pub(super) fn remove(&mut self, at: Timestamp, due: Due) {
        self.due.remove(&(at, due));
    }

    /// What is due by now is due later.
    pub(super) fn postpone(&mut self, now: Timestamp, until: Timestamp) {
        let later = self.due.split_off(&(now, Due::Deadline(JobId::LOWEST)));
        let due = std::mem::replace(&mut self.due, later).into_iter();
        self.due.extend(due.map(|(_, due)| (until, due)));
    }

    /// Takes what is due by now, the oldest first.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Due> {
        let (at, due) = *self.due.first()?;
        (at <= now).then(|| self.due.remove(&(at, due)))?;
        Some(due)
    }
}
