//! Schedulers of the cells that this gateway owns, or owned until their jobs are over.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::{BatchOutcome, BatchReport};
use crate::direct::backoff::Backoffs;
use crate::direct::cold::ColdEndpoints;
use crate::direct::event::Action;
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::permits::Purpose;
use crate::direct::owner::producers::Usage;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId};
use crate::direct::poison::suspects::{Quarantined, Suspects};
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::repeats::RepeatBudget;
use crate::message::Timestamp;

/// Distance between the first call numbers of two cells.
const CALLS_PER_CELL: u64 = 1 << 48;

/// One scheduler for each owned cell, created on first use.
#[derive(Debug)]
pub struct Owners {
    bounds: RepeatBudget,
    cells: BTreeMap<Name, Scheduler>,
    /// Usage announced by other owners, for new schedulers.
    announced: HashMap<SocketAddr, Vec<Usage>>,
    event_lag: Duration,
    /// Cold endpoints, for new schedulers.
    cold: ColdEndpoints,
    /// Fingerprints under which endpoints crashed, for new schedulers.
    suspects: Arc<Suspects>,
    /// Endpoints that asked for a pause, for new schedulers.
    backoffs: Arc<Backoffs>,
    /// Rate limits announced by endpoints, for new schedulers.
    limits: Arc<KnownLimits>,
    /// Number of schedulers created so far.
    created: u64,
}

impl Owners {
    /// Creates an instance without schedulers.
    pub fn new(own: SocketAddr, bounds: RepeatBudget) -> Self {
        let (cells, announced) = Default::default();
        let cold = ColdEndpoints::new(own);
        let (event_lag, suspects) = (Duration::ZERO, Arc::default());
        let backoffs = Arc::new(Backoffs::new(own));
        let limits = Arc::default();
        Self { bounds, cells, announced, event_lag, cold, suspects, backoffs, limits, created: 0 }
    }

    /// Sets the event lag of this process.
    pub fn set_event_lag(&mut self, event_lag: Duration) {
        self.event_lag = event_lag;
        self.for_each(|owner| owner.set_event_lag(event_lag));
    }

    /// Handles the end of a suspension of this process.
    pub fn on_suspension(&mut self, now: Timestamp) {
        self.for_each(|owner| owner.on_suspension(now));
    }

    /// Replaces the fingerprints under which endpoints crashed; jobs of those in `quarantined`,
    /// which are refused from now on, are cancelled.
    pub fn set_suspects(
        &mut self,
        suspects: &Arc<Suspects>,
        quarantined: &[Quarantined],
        table: &Table,
    ) {
        self.suspects = suspects.clone();
        self.for_each(|owner| {
            owner.set_suspects(suspects.clone());
            owner.quarantined(quarantined, table);
        });
    }

    /// Number of active jobs.
    pub fn jobs(&self) -> usize {
        self.cells.values().map(Scheduler::jobs).sum()
    }

    /// Whether a job is active here.
    pub fn has(&self, job: &JobId) -> bool {
        self.cells.values().any(|owner| owner.has(job))
    }

    /// Time when timers must be run next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.cells.values().filter_map(Scheduler::next_wakeup).min()
    }

    /// Result memory that this gateway uses at endpoints.
    pub fn usage(&self) -> Vec<Usage> {
        self.cells.values().flat_map(Scheduler::usage).collect()
    }

    /// Whether this gateway uses endpoints as an owner.
    pub fn uses_endpoints(&self) -> bool {
        self.cells.values().any(|cell| !cell.usage().is_empty())
    }

    /// The scheduler of a cell, created if there is none.
    fn cell(&mut self, cell: &Name, table: &Table) -> &mut Scheduler {
        let (bounds, created, event_lag) = (self.bounds, &mut self.created, self.event_lag);
        let (announced, cold, suspects) = (&self.announced, &self.cold, &self.suspects);
        let (backoffs, limits) = (&self.backoffs, &self.limits);
        self.cells.entry(cell.clone()).or_insert_with(|| {
            let first_call = *created * CALLS_PER_CELL;
            let mut owner = Scheduler::of_cell(cell.clone(), bounds, first_call, cold.clone());
            *created += 1;
            owner.set_event_lag(event_lag);
            owner.set_suspects(suspects.clone());
            owner.backoffs = backoffs.clone();
            owner.limits = limits.clone();
            for (other, usage) in announced {
                owner.usage_announced(*other, usage.clone(), table);
            }
            owner
        })
    }

    fn for_each(&mut self, act: impl FnMut(&mut Scheduler)) {
        self.cells.values_mut().for_each(act);
    }

    /// Handles a job submitted by a gateway.
    pub fn submit(&mut self, job: Job, table: &Table, now: Timestamp) {
        let (cell, id, fingerprint) = (job.cell.clone(), job.id, job.fingerprint);
        let owner = self.cell(&cell, table);
        owner.submit(job, table, now);
        if owner.has(&id) {
            let others = self.cells.iter_mut().filter(|(name, _)| **name != cell);
            others.for_each(|(_, owner)| owner.served_elsewhere(fingerprint, now));
        }
    }

    /// Handles the end of a call.
    pub fn batch_ended(&mut self, call: u64, outcome: BatchOutcome, table: &Table, now: Timestamp) {
        let owner = self.cells.values_mut().find(|owner| owner.has_call(call));
        if let Some(owner) = owner {
            owner.batch_ended(call, outcome, table, now);
        }
    }

    /// Handles a report of an endpoint.
    pub fn reported(
        &mut self,
        endpoint: &Name,
        report: BatchReport,
        table: &Table,
        now: Timestamp,
    ) {
        self.for_each(|owner| owner.reported(endpoint, report, table, now));
    }

    /// Asks the endpoints of a cell that this gateway begins to own for reports.
    pub fn ask_reports(&mut self, cell: &Name, table: &Table, now: Timestamp) {
        self.cell(cell, table).ask_reports(table, now);
    }

    /// Handles the usage announced by another owner.
    pub fn usage_announced(&mut self, owner: SocketAddr, usage: Vec<Usage>, table: &Table) {
        self.for_each(|cell| cell.usage_announced(owner, usage.clone(), table));
        if usage.is_empty() {
            self.announced.remove(&owner);
        } else {
            self.announced.insert(owner, usage);
        }
    }

    /// Handles the removal of another owner.
    pub fn owner_removed(&mut self, owner: SocketAddr, now: Timestamp) {
        self.announced.remove(&owner);
        self.for_each(|cell| cell.owner_removed(owner, now));
    }

    /// Releases a job whose results are no longer needed.
    pub fn release(&mut self, job: JobId, table: &Table) {
        self.for_each(|owner| owner.release(job, table));
    }

    /// Releases all jobs of a gateway that was removed.
    pub fn release_jobs_of(&mut self, gateway: SocketAddr, incarnation: u64, table: &Table) {
        self.for_each(|owner| owner.release_jobs_of(gateway, incarnation, table));
    }

    /// Notifies other gateways, before this process ends, that it no longer owns their jobs.
    pub fn hand_back_jobs(&mut self, own: SocketAddr) {
        self.for_each(|owner| owner.hand_back_jobs(own));
    }

    /// Handles changes of endpoints or of the configuration.
    pub fn table_changed(
        &mut self,
        table: &Table,
        merged: &Merged,
        entered: &[Arc<Endpoint>],
        now: Timestamp,
    ) {
        self.cold.apply_changes(table, entered, now);
        self.for_each(|owner| {
            owner.table_changed(table);
            owner.cold.apply_changes(table, entered, now);
            for endpoint in &merged.restarted {
                owner.restarted(endpoint, table, now);
            }
        });
    }

    /// Handles the announcement of an endpoint, made at `at`, that it stays cold for `left`.
    pub fn cold_announced(&mut self, endpoint: &Endpoint, left: Duration, at: Timestamp) {
        self.cold.reported(endpoint, left, at);
        self.for_each(|owner| {
            owner.cold.reported(endpoint, left, at);
            owner.producers.mark_changed(&endpoint.id);
        });
    }

    /// Handles an endpoint's request for a pause.
    pub fn paused(
        &mut self,
        endpoint: &Endpoint,
        backoffs: &Arc<Backoffs>,
        table: &Table,
        now: Timestamp,
    ) {
        self.backoffs = backoffs.clone();
        self.for_each(|owner| {
            owner.backoffs = backoffs.clone();
            owner.paused(endpoint, table, now);
        });
    }

    /// Replaces the rate limits announced by endpoints.
    pub fn set_limits(&mut self, limits: &Arc<KnownLimits>, table: &Table, now: Timestamp) {
        self.limits = limits.clone();
        self.for_each(|owner| owner.set_limits(limits, table, now));
    }

    /// Handles a permit that is valid until `until`.
    pub fn permit_granted(
        &mut self,
        endpoint: &Arc<Endpoint>,
        purpose: Purpose,
        until: Timestamp,
        table: &Table,
    ) {
        self.for_each(|owner| owner.permit_granted(endpoint, purpose, until, table));
    }

    /// Handles the refusal of a permit; the next turn for `priority` is at `turn`.
    pub fn permit_refused(
        &mut self,
        endpoint: &Endpoint,
        purpose: Purpose,
        priority: u8,
        turn: Timestamp,
    ) {
        self.for_each(|owner| owner.permit_refused(endpoint, purpose, priority, turn));
    }

    /// Handles the return of data centres whose evacuation was withdrawn.
    pub fn data_centres_returned(
        &mut self,
        data_centres: &BTreeSet<Name>,
        table: &Table,
        now: Timestamp,
    ) {
        self.cold.evacuation_ended(data_centres, table, now);
        self.for_each(|owner| owner.cold.evacuation_ended(data_centres, table, now));
    }

    /// Runs timers that are due.
    pub fn run_timers(&mut self, table: &Table, now: Timestamp) {
        self.for_each(|owner| owner.run_timers(table, now));
    }

    /// Takes the actions to perform.
    pub fn actions(&mut self, table: &Table, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.for_each(|owner| actions.extend(owner.actions(table, now)));
        actions
    }
}
