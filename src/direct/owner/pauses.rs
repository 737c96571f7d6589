//! Endpoints that asked this gateway for a pause: until it is over they are sent no calls, no
//! requests for reports and no requests to free results.

use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::owner::jobs::Piece;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

impl Scheduler {
    /// Handles an endpoint's request for a pause. A job that waits for one of its pools is
    /// cancelled if no other endpoint of the pool is available before the job's deadline; its
    /// gateway is sent the time until one is.
    pub(super) fn paused(&mut self, endpoint: &Endpoint, table: &Table, now: Timestamp) {
        self.producers.mark_changed(&endpoint.id);
        let pools: Vec<Name> = table.batch_pools_of(&endpoint.id).cloned().collect();
        for pool in pools {
            if let Some(pause) = self.pool_pause(&pool, table, now) {
                self.cancel_unservable(&pool, pause, table, now);
            }
        }
    }

    /// Time until an endpoint of a pool accepts calls again; `None` if one does so now or if there
    /// are none.
    pub(super) fn pool_pause(
        &self,
        pool: &Name,
        table: &Table,
        now: Timestamp,
    ) -> Option<Duration> {
        table.batch_spec(pool)?;
        let members = table.pool_endpoints(pool).iter().filter(|e| !e.leaving);
        let own = members.filter(|e| self.calls_endpoint(e, table));
        let until =
            own.map(|endpoint| self.backoffs.paused_until(endpoint, now).unwrap_or(now)).min()?;
        Some(until.saturating_sub(now)).filter(|pause| !pause.is_zero())
    }

    /// Cancels the jobs that wait for a pool and whose deadlines pass before its pause is over.
    fn cancel_unservable(&mut self, pool: &Name, pause: Duration, table: &Table, now: Timestamp) {
        let is_unservable = |id: &JobId| {
            self.jobs.get(id).is_some_and(|run| {
                let stages = run.job.stages.iter().zip(&run.stages);
                let mut waiting = stages.filter(|(spec, _)| spec.pool == *pool);
                let waits = |p: &Piece| matches!(p, Piece::Waiting { .. });
                run.deadline <= now + pause && waiting.any(|(_, s)| s.pieces.iter().any(waits))
            })
        };
        let unservable: Vec<JobId> =
            self.jobs.keys().filter(|id| is_unservable(id)).copied().collect();
        for id in unservable {
            self.release(id, table);
            self.send_given_up(id, JobReason::NoEndpoint, false, pause);
        }
    }

    /// Whether an endpoint may be asked for a report.
    pub(super) fn may_ask_report(&self, called: &Endpoint, table: &Table, now: Timestamp) -> bool {
        let is_leaving = table.endpoint(&called.id).is_none_or(|endpoint| endpoint.leaving);
        let is_limited = self.limits.rate(called, now).is_some();
        !is_leaving && !is_limited && self.backoffs.paused_until(called, now).is_none()
    }

    /// Sends endpoints the handles of results that they may free; paused endpoints are left out,
    /// and those with a rate limit need a permit.
    pub(super) fn free_results(&mut self, now: Timestamp) {
        if self.to_free.is_empty() {
            return;
        }
        self.free_with_permits(now);
        let (backoffs, limits) = (&self.backoffs, &self.limits);
        let may_free = |endpoint: &Endpoint| {
            backoffs.paused_until(endpoint, now).is_none() && limits.rate(endpoint, now).is_none()
        };
        let freed = self.to_free.extract_if(.., |_, (endpoint, _)| may_free(endpoint));
        let freed = freed.map(|(_, (endpoint, handles))| {
            let permit = None;
            Action::FreeResults { endpoint, handles, permit }
        });
        self.out.extend(freed);
    }
}
