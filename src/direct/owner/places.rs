//! Refusal of jobs, and the places that are kept for callers that return after one.

use std::time::Duration;

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobReason};
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::PathRefusal;

impl Scheduler {
    /// Refuses a job of which nothing has started.
    pub(super) fn refuse(
        &mut self,
        job: &Job,
        refusal: PathRefusal,
        retry_after: Duration,
        table: &Table,
        now: Timestamp,
    ) {
        let reason = match refusal {
            PathRefusal::NoEndpoint => JobReason::NoEndpoint,
            PathRefusal::WouldBeLate => JobReason::WouldBeLate,
            PathRefusal::InsufficientMemory => JobReason::NoRoom,
        };
        let needed = job.stages.iter().filter(|s| s.pieces > s.done.len());
        let needed = needed.filter(|_| refusal == PathRefusal::NoEndpoint);
        let pauses = needed.filter_map(|s| self.pool_pause(&s.pool, table, now));
        let retry_after = pauses.max().unwrap_or(retry_after);
        self.send_given_up(job.id, reason, true, retry_after);
    }
}
