//! Read access to the state of an owner, for checks that recompute it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::log_events::ms;
use crate::direct::owner::jobs::JobRun;
use crate::direct::owner::plan::{Occupancy, PlanContext, expected_runs, occupancies};
use crate::direct::owner::queue::Rank;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::owner::timings::PoolTimings;
use crate::direct::peers::message::JobId;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::places::Amount;
use crate::policy::timeline::Timeline;

/// State of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolState {
    /// Waiting pieces, including those that may not be sent yet.
    pub waiting: usize,
    /// Pieces in running calls.
    pub running: usize,
    /// Stages whose pieces may be sent, most urgent first.
    pub queued: Vec<Rank>,
    /// Unfinished pieces by the data centre that they are bound to.
    pub unfinished_in: BTreeMap<Name, usize>,
    /// Result memory that is expected to be in use over time, in bytes.
    pub taken: Timeline,
    /// Number of endpoints in use, by data centre.
    pub usable: BTreeMap<Name, usize>,
    /// Data centres and expected ends of the calls at the endpoints in use.
    pub in_flight: Vec<(Name, Timestamp)>,
    /// Bytes of result memory that other owners use at these endpoints.
    pub used_by_others: u64,
    /// Whether overdue stages have had their share of the pool for now.
    pub owes_others: bool,
    /// Free result memory of the free endpoints in use, by endpoint id, in bytes.
    pub free: BTreeMap<Name, u64>,
}

impl Scheduler {
    /// The active jobs: admitted and not over.
    pub fn active_jobs(&self) -> impl Iterator<Item = (&JobId, &JobRun)> {
        self.jobs.iter()
    }

    /// Number of jobs and waiting stages examined for decisions since the start.
    pub const fn examined(&self) -> u64 {
        self.examined
    }

    /// State of a pool, brought up to date; `None` if the ledger has no such pool yet.
    pub fn pool_state(&mut self, pool: &str, table: &Table, now: Timestamp) -> Option<PoolState> {
        self.update_ledger(table, now);
        let name = pool;
        let pool = self.ledger.get_mut(name)?;
        let calls = self.calls.values().filter(|call| *call.pool == *name);
        let calls = calls.filter(|call| pool.endpoints.is_in_use(&call.endpoint.id));
        let in_flight =
            calls.map(|call| (call.endpoint.data_centre.clone(), call.expected_end())).collect();
        let by_data_centre =
            table.deployment.pools.iter().flat_map(|p| table.pool_endpoints(&p.name));
        let by_data_centre =
            by_data_centre.map(|e| (e.data_centre.clone(), pool.unfinished_in(&e.data_centre)));
        let data_centres = pool.endpoints.data_centres();
        let usable = data_centres.map(|dc| (dc.clone(), pool.endpoints.count_in(dc)));
        let unfinished_in = by_data_centre.filter(|(_, unfinished)| *unfinished > 0).collect();
        Some(PoolState {
            waiting: pool.waiting,
            running: pool.running,
            queued: pool.queue.in_order(ms(now) as i64),
            unfinished_in,
            usable: usable.collect(),
            in_flight,
            taken: pool.bookings.timeline(now),
            used_by_others: pool.endpoints.used_by_others(),
            owes_others: pool.queue.owes_others(),
            free: pool.endpoints.all_free(),
        })
    }

    /// Result memory that each stage of a job is expected to occupy, computed anew.
    pub fn planned_occupancy(
        &self,
        run: &JobRun,
        table: &Table,
        now: Timestamp,
    ) -> Vec<Option<Occupancy>> {
        let context = PlanContext { timings: &self.timings, calls: &self.calls, table, now };
        occupancies(run, &expected_runs(run, context))
    }

    /// Capacity of a pool that open places reserve against new callers at a level, computed
    /// anew.
    pub fn reserved_by_places(&self, pool: &str, level: u8, now: Timestamp) -> Amount {
        let mut reserved = Amount::default();
        for place in self.places.open() {
            reserved.add(place.reserved(pool, level, now));
        }
        reserved
    }

    /// Recent average duration of a call in a pool, and that of a full call.
    pub fn recent_calls(
        &self,
        pool: &str,
        table: &Table,
        now: Timestamp,
    ) -> Option<(Duration, Duration)> {
        let spec = table.batch_spec(pool)?;
        let pool_timings: PoolTimings = self.timings.get(pool, spec, now);
        Some((pool_timings.call(), pool_timings.full_call(spec)))
    }
}
