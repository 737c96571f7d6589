//! Endpoints that asked this gateway for a pause: they get no calls, are asked nothing, and what they keep is freed
//! when it is over.

use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::owner::jobs::Piece;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

impl Scheduler {
    /// An endpoint asked for a pause. What waits for its pool and has nobody else before its deadline is given up: it
    /// can't be made, and its caller is told when it could.
    pub(super) fn paused(&mut self, endpoint: &Endpoint, table: &Table, now: Timestamp) {
        self.makers.look_at(&endpoint.id);
        let pools: Vec<Name> = table.batch_pools_of(&endpoint.id).cloned().collect();
        for pool in pools {
            if let Some(pause) = self.pause_of(&pool, table, now) {
                self.give_up_hopeless(&pool, pause, table, now);
            }
        }
    }

    /// How long all endpoints of a pool that take work want nothing; `None` if one of them does, or none is there.
    pub(super) fn pause_of(&self, pool: &Name, table: &Table, now: Timestamp) -> Option<Duration> {
        table.batch(pool)?;
        let members = table.members(pool).iter().filter(|e| !e.leaving);
        let own = members.filter(|e| self.calls_endpoint(e, table));
        let until = own.map(|endpoint| self.backoffs.until(endpoint, now).unwrap_or(now)).min()?;
        Some(until.saturating_sub(now)).filter(|pause| !pause.is_zero())
    }

    fn give_up_hopeless(&mut self, pool: &Name, pause: Duration, table: &Table, now: Timestamp) {
        let is_hopeless = |id: &JobId| {
            self.jobs.get(id).is_some_and(|run| {
                let stages = run.job.stages.iter().zip(&run.stages);
                let mut waiting = stages.filter(|(spec, _)| spec.pool == *pool);
                let waits = |p: &Piece| matches!(p, Piece::Waiting { .. });
                run.deadline <= now + pause && waiting.any(|(_, s)| s.pieces.iter().any(waits))
            })
        };
        let hopeless: Vec<JobId> = self.jobs.keys().filter(|id| is_hopeless(id)).copied().collect();
        for id in hopeless {
            self.release(id, table);
            self.tell_given_up(id, JobReason::NoEndpoint, false, pause);
        }
    }

    /// Whether an endpoint may be asked how it stands.
    pub(super) fn may_be_asked(&self, called: &Endpoint, table: &Table, now: Timestamp) -> bool {
        let is_leaving = table.endpoint(&called.id).is_none_or(|endpoint| endpoint.leaving);
        let is_limited = self.limits.rate(called, now).is_some();
        !is_leaving && !is_limited && self.backoffs.until(called, now).is_none()
    }

    /// Tells endpoints what they need not keep any more, but for those that want nothing now.
    pub(super) fn free_what_may_be(&mut self, now: Timestamp) {
        if self.to_free.is_empty() {
            return;
        }
        self.free_with_permits(now);
        let (backoffs, limits) = (&self.backoffs, &self.limits);
        let may_be = |endpoint: &Endpoint| {
            backoffs.until(endpoint, now).is_none() && limits.rate(endpoint, now).is_none()
        };
        let freed = self.to_free.extract_if(.., |_, (endpoint, _)| may_be(endpoint));
        let freed = freed.map(|(_, (endpoint, handles))| {
            let permit = None;
            Action::FreeResults { endpoint, handles, permit }
        });
        self.out.extend(freed);
    }
}
