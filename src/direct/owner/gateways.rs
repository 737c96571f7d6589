//! Jobs of gateways that were removed, and of this gateway's peers when it stops.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason};
use crate::direct::published::table::Table;

impl Scheduler {
    /// Notifies other gateways, before this process ends, that it no longer owns their jobs.
    pub fn hand_back_jobs(&mut self, own: SocketAddr) {
        self.release_places();
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
}
