//! Jobs that are cancelled or refused.

use std::time::Duration;

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason, PeerMessage};
use crate::direct::published::table::Table;

impl Scheduler {
    pub(super) fn cancel_job(&mut self, id: JobId, reason: JobReason, table: &Table) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        self.release(id, table);
        self.send_given_up(id, reason, false, Duration::from_millis(300));
    }

    pub(super) fn send_given_up(
        &mut self,
        job: JobId,
        reason: JobReason,
        not_started: bool,
        retry_after: Duration,
    ) {
        self.send_to_gateway(job, PeerMessage::Cancelled { job, reason, not_started, retry_after });
    }
}
