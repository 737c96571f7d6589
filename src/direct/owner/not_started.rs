//! Jobs that were refused or cancelled as not started, kept for a few seconds.
//!
//! Such a refusal and a resubmission of its job may cross: the gateway submits the job again
//! because its connection failed. The job must not start then, since its caller is refused as not
//! run.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId};
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::PathRefusal;

/// Time for which a refusal is kept: longer than a gateway takes to notice that a connection failed
/// and to submit its jobs again.
const RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of refusals that are kept; the oldest ones are dropped first.
const MAX_KEPT: usize = 4_096;

/// Reason and retry delay of a refusal.
pub(super) type Refusal = (PathRefusal, Duration);

/// The jobs that were recently refused or cancelled as not started.
#[derive(Debug, Default)]
pub(super) struct NotStarted {
    refusals: HashMap<JobId, Refusal>,
    /// Times and jobs of the refusals, the oldest first.
    order: VecDeque<(Timestamp, JobId)>,
}

impl NotStarted {
    fn add(&mut self, job: JobId, refusal: Refusal, now: Timestamp) {
        self.expire(now);
        if self.order.len() >= MAX_KEPT {
            self.drop_oldest();
        }
        if self.refusals.insert(job, refusal).is_none() {
            self.order.push_back((now, job));
        }
    }

    /// The refusal of a job, if it is still kept.
    fn get(&mut self, job: JobId, now: Timestamp) -> Option<Refusal> {
        self.expire(now);
        self.refusals.get(&job).copied()
    }

    fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, job)) = self.order.pop_front() {
            self.refusals.remove(&job);
        }
    }
}

impl Scheduler {
    /// The earlier refusal of a resubmitted job. A job with results of another owner has started
    /// there since.
    pub(super) fn earlier_refusal(&mut self, job: &Job, now: Timestamp) -> Option<Refusal> {
        let has_started = job.stages.iter().any(|stage| !stage.done.is_empty());
        if !job.resubmitted || has_started {
            return None;
        }
        self.not_started.get(job.id, now)
    }

    /// Keeps the refusal of a job of which nothing has started, for resubmissions.
    pub(super) fn keep_refusal(&mut self, job: JobId, refusal: Refusal, now: Timestamp) {
        self.not_started.add(job, refusal, now);
    }

    /// Refuses a job of which nothing has started, and keeps the refusal.
    pub(super) fn refuse_not_started(
        &mut self,
        job: &Job,
        (refusal, retry_after): Refusal,
        table: &Table,
        now: Timestamp,
    ) {
        self.keep_refusal(job.id, (refusal, retry_after), now);
        self.refuse(job, refusal, retry_after, table, now);
    }
}
