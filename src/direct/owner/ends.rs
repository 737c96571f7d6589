//! Jobs that end without results: cancelled ones, and those of gateways that are removed.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason, PeerMessage};
use crate::direct::published::table::Table;

impl Scheduler {
    /// Notifies other gateways, before this process ends, that it no longer owns their jobs.
    pub fn hand_back_jobs(&mut self, own: SocketAddr) {
        let others = self.jobs.keys().filter(|id| id.gateway != own).copied();
        for id in others.collect::<Vec<_>>() {
            self.send_given_up(id, JobReason::NotOwner, false, Duration::ZERO);
        }
    }

    /// Releases all jobs of a gateway that was removed.
    pub fn release_jobs_of(&mut self, gateway: SocketAddr, incarnation: u64, table: &Table) {
        let first = JobId { gateway, incarnation, number: 0 };
        let from_first = self.jobs.range(first..).map(|(id, _)| *id);
        let of_removed =
            from_first.take_while(|id| (id.gateway, id.incarnation) == (gateway, incarnation));
        for id in of_removed.collect::<Vec<_>>() {
            self.release(id, table);
        }
    }

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
