//! What an owner holds and keeps, for checks that count it anew.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::log_events::ms;
use crate::direct::owner::jobs::JobRun;
use crate::direct::owner::pace::Pace;
use crate::direct::owner::plan::{Basis, Filling, expected_runs, fillings};
use crate::direct::owner::queue::Rank;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::JobId;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::timeline::Timeline;

/// What is kept of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolState {
    /// Pieces that wait, whether they may be sent or not.
    pub waiting: usize,
    /// Pieces in calls.
    pub running: usize,
    /// Stages whose pieces may be sent, most urgent first.
    pub queued: Vec<Rank>,
    /// Pieces that are to be made in each data centre, where they are bound to one.
    pub open_at: BTreeMap<Name, usize>,
    /// Bytes that are expected to be taken.
    pub taken: Timeline,
    /// Endpoints that take work, by data centre.
    pub usable: BTreeMap<Name, usize>,
    /// Bytes that others use at them.
    pub of_others: u64,
    /// Free endpoints and the room that they have.
    pub free: BTreeMap<Name, u64>,
}

impl Scheduler {
    /// The jobs that are held.
    pub fn held(&self) -> impl Iterator<Item = (&JobId, &JobRun)> {
        self.jobs.iter()
    }

    /// Jobs that were looked at for decisions, since the start.
    pub const fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// What is kept of a pool; `None` where no job or endpoint has been there.
    pub fn pool_state(&mut self, pool: &str, table: &Table, now: Timestamp) -> Option<PoolState> {
        self.settle(table, now);
        let pool = self.ledger.get_mut(pool)?;
        let homes = table.deployment.pools.iter().flat_map(|p| table.members(&p.name));
        let homes = homes.map(|e| (e.data_centre.clone(), pool.open_at(&e.data_centre)));
        let data_centres = pool.endpoints.data_centres();
        let usable = data_centres.map(|dc| (dc.clone(), pool.endpoints.count_in(dc)));
        let open_at = homes.filter(|(_, open)| *open > 0).collect();
        Some(PoolState {
            waiting: pool.waiting,
            running: pool.running,
            queued: pool.queue.in_order(ms(now) as i64),
            open_at,
            usable: usable.collect(),
            taken: pool.bookings.timeline(now),
            of_others: pool.endpoints.of_others(),
            free: pool.endpoints.all_free(),
        })
    }

    /// The room that each stage of a job is expected to fill, planned anew.
    pub fn planned(&self, run: &JobRun, table: &Table, now: Timestamp) -> Vec<Option<Filling>> {
        let basis = Basis { paces: &self.paces, calls: &self.calls, table, now };
        fillings(run, &expected_runs(run, basis))
    }

    /// How a pool has worked lately: the wait for a call, and the time of one.
    pub fn pace(&self, pool: &str, table: &Table) -> Option<(Duration, Duration)> {
        let pace: Pace = self.paces.get(pool, table.batch(pool)?);
        Some((pace.wait(), pace.call()))
    }
}
