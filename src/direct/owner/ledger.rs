//! Totals that an owner keeps for each pool, so that no decision has to iterate over all jobs.
//!
//! Each job stores its current entry; when the job changes, the entry is removed and a new one is
//! added. The cost of a change depends on the stages of the job alone, and a pool's backlog, load
//! and memory use are read, not recomputed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::direct::owner::bookings::{Booking, Bookings};
use crate::direct::owner::calls::Call;
use crate::direct::owner::endpoints::Endpoints;
use crate::direct::owner::jobs::JobRun;
use crate::direct::owner::placement::CallsInFlight;
use crate::direct::owner::queue::{Queue, Waiting};
use crate::direct::peers::message::JobId;
use crate::direct::published::model::Name;
use crate::message::Timestamp;
use crate::policy::arrivals::Arrivals;
use crate::policy::urgency::Urgency;

/// A stage of a job of which no piece was ever sent, in the order in which jobs give way: from the
/// last one on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Displaceable {
    pub(super) urgency: Urgency,
    /// Time until which a response meets the objective.
    pub(super) objective: Timestamp,
    pub(super) job: JobId,
    /// Index of the stage in the job.
    pub(super) stage: usize,
}

/// Entry of one stage of a job in the ledger of its pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct StageEntry {
    pub(super) urgency: Urgency,
    /// Waiting pieces, including those that may not be sent yet.
    pub(super) waiting: usize,
    /// Those among the waiting pieces that are deferred; new jobs are not behind them.
    pub(super) deferred: usize,
    /// Pieces in running calls.
    pub(super) running: usize,
    /// Data centre that the pieces are bound to, if the stage exchanges large results.
    pub(super) heavy_data_centre: Option<Name>,
    /// Pieces that may be sent.
    pub(super) queued: Option<Waiting>,
    /// Result memory that the results occupy or will occupy.
    pub(super) booking: Option<Booking>,
    /// The stage, if its job can give way to others.
    pub(super) displaceable: Option<Displaceable>,
}

/// Entry of a job in the ledgers of its pools.
#[derive(Debug, Clone, Default)]
pub(super) struct Entry {
    pub(super) stages: Vec<StageEntry>,
    /// Time at which the entry must be refreshed even if the job does not change.
    pub(super) refresh_at: Option<Timestamp>,
}

/// Totals of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolLedger {
    pub(super) waiting: usize,
    pub(super) running: usize,
    /// Waiting pieces by urgency, without deferred ones.
    waiting_by_urgency: BTreeMap<Urgency, usize>,
    /// Stages of jobs that can give way to more urgent ones.
    displaceable: BTreeSet<Displaceable>,
    /// Rates at which pieces arrive, those of refused jobs included.
    pub(super) arrivals: Arrivals,
    /// Unfinished pieces by the data centre that they are bound to.
    unfinished_in: HashMap<Name, usize>,
    pub(super) queue: Queue,
    pub(super) bookings: Bookings,
    pub(super) endpoints: Endpoints,
    pub(super) in_flight: CallsInFlight,
}

impl PoolLedger {
    /// Unfinished pieces that are bound to a data centre.
    pub(super) fn unfinished_in(&self, data_centre: &str) -> usize {
        self.unfinished_in.get(data_centre).copied().unwrap_or_default()
    }

    /// Waiting pieces, without deferred ones, that are at least as urgent as `urgency`. The cost
    /// depends on the number of different urgencies alone.
    pub(super) fn waiting_before(&self, urgency: Urgency) -> usize {
        self.waiting_by_urgency.range(..=urgency).map(|(_, waiting)| waiting).sum()
    }

    /// The stage whose job gives way first, if it is less urgent than `urgency`.
    pub(super) fn first_to_displace(&self, urgency: Urgency) -> Option<Displaceable> {
        self.displaceable.last().copied().filter(|stage| stage.urgency > urgency)
    }

    fn add_entry(&mut self, entry: &StageEntry) {
        self.waiting += entry.waiting;
        *self.waiting_by_urgency.entry(entry.urgency).or_default() +=
            entry.waiting - entry.deferred;
        self.displaceable.extend(entry.displaceable);
        self.running += entry.running;
        if let Some(data_centre) = &entry.heavy_data_centre {
            *self.unfinished_in.entry(data_centre.clone()).or_default() +=
                entry.waiting + entry.running;
        }
        if let Some(queued) = &entry.queued {
            self.queue.add(queued);
        }
        if let Some(booking) = entry.booking {
            self.bookings.add(booking);
        }
    }

    fn remove_entry(&mut self, entry: &StageEntry) {
        self.waiting -= entry.waiting;
        if let Some(waiting) = self.waiting_by_urgency.get_mut(&entry.urgency) {
            *waiting -= entry.waiting - entry.deferred;
        }
        if let Some(displaceable) = &entry.displaceable {
            self.displaceable.remove(displaceable);
        }
        self.running -= entry.running;
        let open = entry
            .heavy_data_centre
            .as_ref()
            .and_then(|data_centre| self.unfinished_in.get_mut(data_centre));
        if let Some(open) = open {
            *open -= entry.waiting + entry.running;
        }
        if let Some(queued) = &entry.queued {
            self.queue.remove(queued);
        }
        if let Some(booking) = entry.booking {
            self.bookings.remove(booking);
        }
    }
}

/// Totals of all pools.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pools: HashMap<Name, PoolLedger, foldhash::fast::RandomState>,
}

impl Ledger {
    pub(super) fn get(&self, pool: &str) -> Option<&PoolLedger> {
        self.pools.get(pool)
    }

    pub(super) fn get_mut(&mut self, pool: &str) -> Option<&mut PoolLedger> {
        self.pools.get_mut(pool)
    }

    /// The totals of a pool, created empty if there are none.
    pub(super) fn pool(&mut self, pool: &Name) -> &mut PoolLedger {
        self.pools.entry(pool.clone()).or_default()
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = (&Name, &PoolLedger)> {
        self.pools.iter()
    }

    /// Adds a call that was sent.
    pub(super) fn call_sent(&mut self, id: u64, call: &Call) {
        self.pool(&call.pool).in_flight.add(id, call);
    }

    /// Removes a call that has ended.
    pub(super) fn call_ended(&mut self, id: u64, call: &Call) {
        self.pool(&call.pool).in_flight.remove(id, call);
    }

    /// Removes the endpoints of all pools.
    pub(super) fn clear_endpoints(&mut self) {
        for pool in self.pools.values_mut() {
            pool.endpoints = Endpoints::default();
        }
    }

    /// Replaces the entry of a job; stages whose entries are equal are left as they are.
    pub(super) fn replace(&mut self, run: &JobRun, before: &Entry, after: &Entry) {
        for (index, spec) in run.job.stages.iter().enumerate() {
            let (before, after) = (before.stages.get(index), after.stages.get(index));
            if before == after {
                continue;
            }
            let pool = self.pool(&spec.pool);
            if let Some(before) = before {
                pool.remove_entry(before);
            }
            if let Some(after) = after {
                pool.add_entry(after);
            }
        }
    }
}
