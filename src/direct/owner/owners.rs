//! The cells that this gateway owns, or did until their jobs are over.

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
use crate::direct::owner::makers::Usage;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId};
use crate::direct::poison::suspects::{Quarantined, Suspects};
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::repeats::Bounds;
use crate::message::Timestamp;

/// Calls of each cell are numbered from a multiple of this on.
const CALLS: u64 = 1 << 48;

/// A scheduler for each cell that jobs came for.
#[derive(Debug)]
pub struct Owners {
    bounds: Bounds,
    cells: BTreeMap<Name, Scheduler>,
    /// What other owners use, for a cell that is begun.
    told: HashMap<SocketAddr, Vec<Usage>>,
    lateness: Duration,
    /// For a cell that is begun.
    cold: ColdEndpoints,
    /// Contents under which endpoints crashed.
    suspects: Arc<Suspects>,
    /// Endpoints that asked for a pause, for a cell that is begun.
    backoffs: Arc<Backoffs>,
    /// Limits that endpoints name, for a cell that is begun.
    limits: Arc<KnownLimits>,
    begun: u64,
}

impl Owners {
    /// Owns nothing yet.
    pub fn new(own: SocketAddr, bounds: Bounds) -> Self {
        let (cells, told) = Default::default();
        let cold = ColdEndpoints::new(own);
        let (lateness, suspects) = (Duration::ZERO, Arc::default());
        let backoffs = Arc::new(Backoffs::new(own));
        let limits = Arc::default();
        Self { bounds, cells, told, lateness, cold, suspects, backoffs, limits, begun: 0 }
    }

    /// How late this process handles its events.
    pub fn set_lateness(&mut self, lateness: Duration) {
        self.lateness = lateness;
        self.each(|owner| owner.set_lateness(lateness));
    }

    /// This process stood still until now.
    pub fn on_suspension(&mut self, now: Timestamp) {
        self.each(|owner| owner.on_suspension(now));
    }

    /// Contents under which endpoints crashed; those `quarantined` are refused since.
    pub fn set_suspects(
        &mut self,
        suspects: &Arc<Suspects>,
        quarantined: &[Quarantined],
        table: &Table,
    ) {
        self.suspects = suspects.clone();
        self.each(|owner| {
            owner.set_suspects(suspects.clone());
            owner.quarantined(quarantined, table);
        });
    }

    /// Jobs that were begun and are not over.
    pub fn jobs(&self) -> usize {
        self.cells.values().map(Scheduler::jobs).sum()
    }

    /// Whether a job is begun here and not over.
    pub fn has(&self, job: &JobId) -> bool {
        self.cells.values().any(|owner| owner.has(job))
    }

    /// When the next look is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.cells.values().filter_map(Scheduler::next_wakeup).min()
    }

    /// What this gateway uses at endpoints.
    pub fn usage(&self) -> Vec<Usage> {
        self.cells.values().flat_map(Scheduler::usage).collect()
    }

    /// The owner of a cell, which is begun if it is new.
    fn cell(&mut self, cell: &Name, table: &Table) -> &mut Scheduler {
        let (bounds, begun, lateness) = (self.bounds, &mut self.begun, self.lateness);
        let (told, cold, suspects) = (&self.told, &self.cold, &self.suspects);
        let (backoffs, limits) = (&self.backoffs, &self.limits);
        self.cells.entry(cell.clone()).or_insert_with(|| {
            let first_call = *begun * CALLS;
            let mut owner = Scheduler::of_cell(cell.clone(), bounds, first_call, cold.clone());
            *begun += 1;
            owner.set_lateness(lateness);
            owner.set_suspects(suspects.clone());
            owner.backoffs = backoffs.clone();
            owner.limits = limits.clone();
            for (other, usage) in told {
                owner.told_usage(*other, usage.clone(), table);
            }
            owner
        })
    }

    fn each(&mut self, act: impl FnMut(&mut Scheduler)) {
        self.cells.values_mut().for_each(act);
    }

    /// A gateway submits a job.
    pub fn submit(&mut self, job: Job, table: &Table, now: Timestamp) {
        let cell = job.cell.clone();
        self.cell(&cell, table).submit(job, table, now);
    }

    /// A call ended.
    pub fn batch_ended(&mut self, call: u64, outcome: BatchOutcome, table: &Table, now: Timestamp) {
        let owner = self.cells.values_mut().find(|owner| owner.has_call(call));
        if let Some(owner) = owner {
            owner.batch_ended(call, outcome, table, now);
        }
    }

    /// An endpoint told how it stands.
    pub fn reported(
        &mut self,
        endpoint: &Name,
        report: BatchReport,
        table: &Table,
        now: Timestamp,
    ) {
        self.each(|owner| owner.reported(endpoint, report, table, now));
    }

    /// Asks the endpoints of a cell that this gateway begins to own how they stand.
    pub fn ask_reports(&mut self, cell: &Name, table: &Table, now: Timestamp) {
        self.cell(cell, table).ask_reports(table, now);
    }

    /// Another gateway tells what it uses as an owner.
    pub fn told_usage(&mut self, owner: SocketAddr, usage: Vec<Usage>, table: &Table) {
        self.each(|cell| cell.told_usage(owner, usage.clone(), table));
        if usage.is_empty() {
            self.told.remove(&owner);
        } else {
            self.told.insert(owner, usage);
        }
    }

    /// Another owner is gone.
    pub fn owner_lost(&mut self, owner: SocketAddr, now: Timestamp) {
        self.told.remove(&owner);
        self.each(|cell| cell.owner_lost(owner, now));
    }

    /// Nobody needs a job's results any more.
    pub fn release(&mut self, job: JobId, table: &Table) {
        self.each(|owner| owner.release(job, table));
    }

    /// A gateway is gone, and its jobs with it.
    pub fn release_all_of(&mut self, gateway: SocketAddr, incarnation: u64, table: &Table) {
        self.each(|owner| owner.release_all_of(gateway, incarnation, table));
    }

    /// The process ends: other gateways are told that their jobs go on elsewhere or nowhere.
    pub fn end_all(&mut self, own: SocketAddr) {
        self.each(|owner| owner.end_all(own));
    }

    /// Endpoints or the configuration changed.
    pub fn changed(
        &mut self,
        table: &Table,
        merged: &Merged,
        entered: &[Arc<Endpoint>],
        now: Timestamp,
    ) {
        self.cold.learn(table, entered, now);
        self.each(|owner| {
            owner.changed(table);
            owner.cold.learn(table, entered, now);
            for endpoint in &merged.restarted {
                owner.restarted(endpoint, table, now);
            }
        });
    }

    /// An endpoint told at a time how much longer it is cold.
    pub fn told_cold(&mut self, endpoint: &Endpoint, left: Duration, at: Timestamp) {
        self.cold.told(endpoint, left, at);
        self.each(|owner| {
            owner.cold.told(endpoint, left, at);
            owner.makers.look_at(&endpoint.id);
        });
    }

    /// An endpoint asked for a pause.
    pub fn paused(
        &mut self,
        endpoint: &Endpoint,
        backoffs: &Arc<Backoffs>,
        table: &Table,
        now: Timestamp,
    ) {
        self.backoffs = backoffs.clone();
        self.each(|owner| {
            owner.backoffs = backoffs.clone();
            owner.paused(endpoint, table, now);
        });
    }

    /// What endpoints name.
    pub fn set_limits(&mut self, limits: &Arc<KnownLimits>, table: &Table, now: Timestamp) {
        self.limits = limits.clone();
        self.each(|owner| owner.set_limits(limits, table, now));
    }

    /// A permit was given that holds until a time.
    pub fn permit_given(
        &mut self,
        endpoint: &Arc<Endpoint>,
        purpose: Purpose,
        until: Timestamp,
        table: &Table,
    ) {
        self.each(|owner| owner.permit_given(endpoint, purpose, until, table));
    }

    /// A permit was refused: it would be its turn at a time.
    pub fn permit_refused(
        &mut self,
        endpoint: &Endpoint,
        purpose: Purpose,
        priority: u8,
        turn: Timestamp,
    ) {
        self.each(|owner| owner.permit_refused(endpoint, purpose, priority, turn));
    }

    /// Data centres get work again after an order was taken back.
    pub fn return_of(&mut self, data_centres: &BTreeSet<Name>, table: &Table, now: Timestamp) {
        self.cold.return_of(data_centres, table, now);
        self.each(|owner| owner.cold.return_of(data_centres, table, now));
    }

    /// Looks at what is due.
    pub fn look(&mut self, table: &Table, now: Timestamp) {
        self.each(|owner| owner.look(table, now));
    }

    /// Takes what must be done.
    pub fn actions(&mut self, table: &Table, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.each(|owner| actions.extend(owner.actions(table, now)));
        actions
    }
}
