//! Admitted jobs that have not started give way to more urgent ones.

use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::Job;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::PathRefusal;

impl Scheduler {
    /// Cancels admitted jobs that have not started and are less urgent than a job for which there
    /// is no capacity. Returns whether the job can be admitted now.
    pub(super) const fn displace_for(
        &mut self,
        _job: &Job,
        _refusal: PathRefusal,
        _table: &Table,
        _now: Timestamp,
    ) -> bool {
        false
    }
}
