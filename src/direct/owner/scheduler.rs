//! The scheduler of batch pools, which combines pieces of all gateways' requests into calls.
//!
//! A piece is assigned to an endpoint only when the endpoint is free, most urgent pieces first.
//! Result memory is reserved before a piece is sent, and released as soon as the result is no
//! longer needed. Two owners at once do no harm: an endpoint that is full refuses calls, and a
//! piece may be produced twice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::BatchReport;
use crate::direct::backoff::Backoffs;
use crate::direct::cold::ColdEndpoints;
use crate::direct::event::Action;
use crate::direct::limits::known::KnownLimits;
use crate::direct::log_events::LogEvent;
use crate::direct::owner::booked::Places;
use crate::direct::owner::calls::{Calls, TAKEOVER_PERIOD};
use crate::direct::owner::endpoints::EndpointState;
use crate::direct::owner::entry::entry;
use crate::direct::owner::jobs::{JobRun, Piece, expected_calls};
use crate::direct::owner::ledger::{Entry, Ledger};
use crate::direct::owner::not_started::NotStarted;
use crate::direct::owner::outcomes::OWNERS_PER_CELL;
use crate::direct::owner::permits::Permits;
use crate::direct::owner::plan::PlanContext;
use crate::direct::owner::producers::{Producers, Usage};
use crate::direct::owner::timers::{Timer, Timers};
use crate::direct::owner::timings::Timings;
use crate::direct::peers::message::{Handle, JobId, JobReason, PeerMessage, StoredResult};
use crate::direct::poison::suspects::Suspects;
use crate::direct::published::model::{BatchSpec, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::repeats::{RepeatBudget, RepeatLimiter};
use crate::direct::requests::RESUME_GRACE;
use crate::message::Timestamp;
use crate::policy::path::INPUT_FETCH_TIME;

/// Interval between two runs of timers, and between two checks of endpoints that change with time.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum interval between requests for reports of all endpoints.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Schedules the stages of all gateways' jobs in the pools of a cell.
#[derive(Debug)]
pub struct Scheduler {
    /// Cell whose endpoints are called; `None` for all endpoints.
    cell: Option<Name>,
    pub(super) jobs: BTreeMap<JobId, JobRun>,
    pub(super) calls: Calls,
    pub(super) producers: Producers,
    pub(super) cold: ColdEndpoints,
    /// Endpoints that asked for a pause.
    pub(super) backoffs: Arc<Backoffs>,
    /// Rate limits announced by endpoints.
    pub(super) limits: Arc<KnownLimits>,
    pub(super) permits: Permits,
    pub(super) repeats: RepeatLimiter,
    /// Jobs that were recently refused as not started.
    pub(super) not_started: NotStarted,
    /// Fingerprints under which endpoints crashed.
    pub(super) suspects: Arc<Suspects>,
    pub(super) next_call: u64,
    pub(super) timings: Timings,
    /// Places of refused callers.
    pub(super) places: Places,
    /// Totals of each pool, up to date except for changed jobs and endpoints.
    pub(super) ledger: Ledger,
    /// Jobs that changed since their ledger entries were computed.
    changed_jobs: Vec<JobId>,
    /// Whether the ledger holds the endpoints of the table.
    is_listed: bool,
    /// Endpoints whose state changes with time alone.
    time_dependent: BTreeSet<Name>,
    time_dependent_checked_at: Timestamp,
    pub(super) timers: Timers,
    /// Handles of results to free, by endpoint id.
    pub(super) to_free: BTreeMap<Name, (Arc<Endpoint>, Vec<Handle>)>,
    /// Pools for which calls may be filled.
    pub(super) dirty: BTreeSet<Name>,
    pub(super) last_check: Timestamp,
    /// Time when all endpoints were last asked for reports.
    reports_asked_at: Option<Timestamp>,
    pub(super) event_lag: Duration,
    /// Time when this process last resumed after a suspension.
    pub(super) resumed_at: Timestamp,
    pub(super) last_submit: Option<Timestamp>,
    /// Time when jobs began to arrive after an interval without any.
    pub(super) active_since: Timestamp,
    pub(super) examined: u64,
    pub(super) out: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler for all endpoints.
    pub fn new(bounds: RepeatBudget) -> Self {
        Self {
            cell: None,
            jobs: BTreeMap::new(),
            calls: Calls::default(),
            producers: Producers::default(),
            cold: ColdEndpoints::new(JobId::LOWEST.gateway),
            backoffs: Arc::new(Backoffs::new(JobId::LOWEST.gateway)),
            limits: Arc::default(),
            permits: Permits::default(),
            repeats: RepeatLimiter::new(bounds),
            not_started: NotStarted::default(),
            suspects: Arc::default(),
            next_call: 0,
            timings: Timings::default(),
            places: Places::default(),
            ledger: Ledger::default(),
            changed_jobs: Vec::new(),
            is_listed: false,
            time_dependent: BTreeSet::new(),
            time_dependent_checked_at: Timestamp::ZERO,
            timers: Timers::default(),
            to_free: BTreeMap::new(),
            dirty: BTreeSet::new(),
            last_check: Timestamp::ZERO,
            reports_asked_at: None,
            event_lag: Duration::ZERO,
            resumed_at: Timestamp::ZERO,
            last_submit: None,
            active_since: Timestamp::ZERO,
            examined: 0,
            out: Vec::new(),
        }
    }

    /// Creates a scheduler for the endpoints of a cell; its calls are numbered after `first_call`.
    pub fn of_cell(cell: Name, bounds: RepeatBudget, first_call: u64, cold: ColdEndpoints) -> Self {
        Self { cell: Some(cell), next_call: first_call, cold, ..Self::new(bounds) }
    }

    /// Whether this scheduler calls an endpoint.
    pub(super) fn calls_endpoint(&self, endpoint: &Endpoint, table: &Table) -> bool {
        let cell = self.cell.as_ref();
        cell.is_none_or(|cell| table.cells().contains(cell, &endpoint.data_centre))
    }

    /// Whether a call was sent by this scheduler and has not ended.
    pub(super) fn has_call(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// Sets the event lag of this process, by which stages end later.
    pub fn set_event_lag(&mut self, event_lag: Duration) {
        self.event_lag = event_lag;
    }

    /// Handles the end of a suspension of this process: due timers wait until the results that
    /// arrived meanwhile are read, and calls that were running are no measurements of speed.
    pub fn on_suspension(&mut self, now: Timestamp) {
        self.resumed_at = now;
        self.timers.postpone(now, now + RESUME_GRACE);
    }

    /// Number of active jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether a job is active here.
    pub fn has(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether there are no active jobs.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Time when timers must be run next; `None` if there is nothing to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let is_busy = !self.jobs.is_empty() || !self.calls.is_empty() || !self.to_free.is_empty();
        let is_busy = is_busy || !self.places.is_empty();
        is_busy.then_some(self.last_check + CHECK_INTERVAL)
    }

    /// Result memory that this owner uses at endpoints.
    pub fn usage(&self) -> Vec<Usage> {
        self.producers.usage()
    }

    /// Handles the usage announced by another owner; endpoints of other cells are ignored.
    pub fn usage_announced(&mut self, owner: SocketAddr, mut usage: Vec<Usage>, table: &Table) {
        usage
            .retain(|u| table.endpoint(&u.endpoint).is_some_and(|e| self.calls_endpoint(e, table)));
        self.producers.usage_announced(owner, usage);
    }

    /// Handles the removal of another owner.
    pub fn owner_removed(&mut self, owner: SocketAddr, now: Timestamp) {
        self.producers.owner_removed(owner, now);
    }

    /// Fills calls with waiting pieces, and takes the actions to perform.
    pub fn actions(&mut self, table: &Table, now: Timestamp) -> Vec<Action> {
        if !self.is_idle() || !self.dirty.is_empty() {
            self.update_ledger(table, now);
        }
        while let Some(pool) = self.dirty.pop_first() {
            self.fill_calls(&pool, table, now);
        }
        self.free_results(now);
        std::mem::take(&mut self.out)
    }

    /// Asks all endpoints for reports: a new owner does not know what previous owners left there.
    pub fn ask_reports(&mut self, table: &Table, now: Timestamp) {
        if self.reports_asked_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return;
        }
        self.reports_asked_at = Some(now);
        let pools = table.deployment.pools.iter().filter(|p| table.batch_spec(&p.name).is_some());
        let endpoints = pools.flat_map(|p| table.pool_endpoints(&p.name)).filter(|e| !e.leaving);
        let endpoints = endpoints.filter(|e| self.backoffs.paused_until(e, now).is_none());
        let endpoints = endpoints.filter(|e| self.limits.rate(e, now).is_none());
        let endpoints: Vec<_> = endpoints.filter(|e| self.calls_endpoint(e, table)).collect();
        self.out.extend(endpoints.into_iter().map(|e| Action::RequestReport(e.clone())));
    }

    /// Handles a report of an endpoint.
    pub fn reported(
        &mut self,
        endpoint: &Name,
        report: BatchReport,
        table: &Table,
        now: Timestamp,
    ) {
        let is_called = table.endpoint(endpoint).is_some_and(|e| self.calls_endpoint(e, table));
        let Some(spec) = table.batch_spec_of(endpoint).filter(|_| is_called) else {
            return;
        };
        let listed = table.endpoint(endpoint).map_or(0, |e| e.incarnation);
        if report.incarnation != 0 && listed != 0 && report.incarnation != listed {
            // The endpoint's entry of this incarnation is still to arrive, or the report is
            // outdated.
            return self.out.push(Action::Log(LogEvent::NoReport { endpoint: endpoint.clone() }));
        }
        self.producers.reported(endpoint, spec.result_memory_bytes, report.free_bytes, now);
        self.out.push(Action::Log(LogEvent::ReportReceived {
            endpoint: endpoint.clone(),
            free_bytes: report.free_bytes,
            of_others: self.producers.used_by_others(endpoint, now),
            waiting: report.waiting,
        }));
    }

    /// Releases a job whose results are no longer needed.
    pub fn release(&mut self, id: JobId, table: &Table) {
        let Some(run) = self.jobs.remove(&id) else {
            return;
        };
        self.ledger.replace(&run, &run.entry, &Entry::default());
        self.timers.remove(run.deadline, Timer::Deadline(id));
        if let Some(at) = run.entry.refresh_at {
            self.timers.remove(at, Timer::Refresh(id));
        }
        for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
            for made in stage.results() {
                self.free_result(&made, spec.result_bytes, table);
            }
            self.dirty.insert(spec.pool.clone());
        }
    }

    /// Handles changes of endpoints or of the configuration.
    pub fn table_changed(&mut self, table: &Table) {
        self.producers.retain(|id| table.endpoint(id).is_some());
        self.permits.retain(|id| table.endpoint(id).is_some());
        self.dirty.extend(table.deployment.pools.iter().map(|p| p.name.clone()));
        self.is_listed = false;
        self.release_unservable_places(table);
    }

    /// Runs timers that are due.
    pub fn run_timers(&mut self, table: &Table, now: Timestamp) {
        if now < self.last_check + CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        self.producers.expire(now);
        while let Some(due) = self.timers.take(now) {
            match due {
                Timer::Deadline(job) => self.cancel_job(job, JobReason::DeadlinePassed, table),
                Timer::Refresh(job) => self.refresh_due(job, table, now),
                Timer::InputsFetched(call) => self.inputs_fetched(call, table, now),
                Timer::Overdue(call) => self.abandon_call(call, table, now),
                Timer::PlaceExpired(fingerprint) => self.expire_place(fingerprint, now),
            }
        }
        self.update_ledger(table, now);
        // Pieces accept endpoints elsewhere as their slack shrinks, and result memory becomes free
        // with time.
        let waiting = self.ledger.pools().filter(|(_, pool)| !pool.queue.is_empty());
        self.dirty.extend(waiting.map(|(name, _)| name.clone()));
        self.ask_permits(table, now);
    }

    /// Frees the inputs of a call, which its endpoint has had the time to fetch. Where another
    /// owner may call the same endpoints, the call may still be queued there and is checked again
    /// later.
    fn inputs_fetched(&mut self, id: u64, table: &Table, now: Timestamp) {
        let is_only_caller =
            now >= self.active_since + TAKEOVER_PERIOD && !self.producers.is_shared();
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_abandoned) else {
            return;
        };
        if !is_only_caller {
            return self.timers.add(now + INPUT_FETCH_TIME, Timer::InputsFetched(id));
        }
        call.has_fetched = true;
        for job in call.jobs() {
            self.advance(job, table);
        }
    }

    /// The job, marked as changed so that its ledger entry is recomputed.
    pub(super) fn job_mut(&mut self, id: JobId) -> Option<&mut JobRun> {
        let run = self.jobs.get_mut(&id)?;
        self.changed_jobs.push(id);
        Some(run)
    }

    /// Applies all changes to the ledger, at a cost that depends on what changed. Only after a
    /// change of endpoints or of the configuration are all endpoints and jobs entered anew.
    pub(super) fn update_ledger(&mut self, table: &Table, now: Timestamp) {
        if !self.is_listed {
            self.list_endpoints(table, now);
        }
        let mut changed = self.producers.take_changed();
        if now >= self.time_dependent_checked_at + CHECK_INTERVAL {
            self.time_dependent_checked_at = now;
            changed.append(&mut self.time_dependent);
        }
        for endpoint in changed {
            for pool in table.batch_pools_of(&endpoint) {
                self.list_endpoint(pool, &endpoint, table, now);
            }
        }
        let mut changed_jobs = std::mem::take(&mut self.changed_jobs);
        changed_jobs.sort_unstable();
        changed_jobs.dedup();
        for job in changed_jobs {
            self.refresh_entry(job, table, now);
        }
    }

    fn list_endpoints(&mut self, table: &Table, now: Timestamp) {
        self.is_listed = true;
        self.producers.set_retention(table);
        self.ledger.clear_endpoints();
        let pools = table.deployment.pools.iter().map(|pool| &pool.name);
        for pool in pools.filter(|pool| table.batch_spec(pool).is_some()) {
            for endpoint in table.pool_endpoints(pool) {
                self.list_endpoint(pool, &endpoint.id, table, now);
            }
        }
        for (id, run) in &mut self.jobs {
            run.calls = expected_calls(&run.job, table, &self.timings, now);
            self.changed_jobs.push(*id);
        }
    }

    fn list_endpoint(&mut self, pool: &Name, id: &Name, table: &Table, now: Timestamp) {
        let (Some(spec), Some(endpoint)) = (table.batch_spec(pool), table.endpoint(id)) else {
            return;
        };
        if endpoint.leaving || !self.calls_endpoint(endpoint, table) {
            return;
        }
        if self.backoffs.paused_until(endpoint, now).is_some() {
            self.time_dependent.insert(id.clone());
            return self.ledger.pool(pool).endpoints.remove(id);
        }
        let is_limited = self.limits.rate(endpoint, now).is_some();
        if is_limited || self.producers.changes_with_time(id, now) || self.cold.is_cold(id, now) {
            self.time_dependent.insert(id.clone());
        }
        let cold_start = table.pool(pool).and_then(|pool| pool.cold);
        let accepts_calls =
            self.cold.available_at(endpoint, cold_start, OWNERS_PER_CELL, now).is_none();
        let mut state = self.state_of(id, spec, now);
        state.is_free &= accepts_calls && self.is_permitted(endpoint, now);
        self.ledger.pool(pool).endpoints.set(endpoint.clone(), state);
    }

    pub(super) fn state_of(&self, id: &Name, spec: &BatchSpec, now: Timestamp) -> EndpointState {
        let producer = self.producers.get(id);
        EndpointState {
            free_bytes: self.producers.free_bytes(id, spec.result_memory_bytes, now),
            used_by_others: self.producers.used_by_others(id, now).min(spec.result_memory_bytes),
            is_free: producer.running < spec.slots && producer.blocked_until <= now,
            is_avoided: producer.avoided_until > now,
        }
    }

    /// Recomputes the ledger entry of a job.
    fn refresh_entry(&mut self, id: JobId, table: &Table, now: Timestamp) {
        let Some(run) = self.jobs.get_mut(&id) else {
            return;
        };
        self.examined += 1;
        let context = PlanContext { timings: &self.timings, calls: &self.calls, table, now };
        let after = entry(run, context);
        let before = std::mem::replace(&mut run.entry, after);
        self.ledger.replace(run, &before, &run.entry);
        if before.refresh_at != run.entry.refresh_at {
            if let Some(at) = before.refresh_at {
                self.timers.remove(at, Timer::Refresh(id));
            }
            if let Some(at) = run.entry.refresh_at {
                self.timers.add(at, Timer::Refresh(id));
            }
        }
        let waits = run.entry.stages.iter().enumerate().filter(|(_, s)| s.queued.is_some());
        self.dirty.extend(waits.map(|(stage, _)| run.job.stages[stage].pool.clone()));
    }

    pub(super) fn send_to_gateway(&mut self, job: JobId, message: PeerMessage) {
        self.out.push(Action::Send { to: job.gateway, message });
    }

    pub(super) fn free_result(&mut self, made: &StoredResult, bytes: u64, table: &Table) {
        self.producers.freed(&made.endpoint, bytes);
        if let Some(endpoint) = table.endpoint(&made.endpoint) {
            let entry = self.to_free.entry(made.endpoint.clone());
            entry.or_insert_with(|| (endpoint.clone(), Vec::new())).1.push(made.handle.clone());
        }
    }

    /// Reports finished stages to the gateway, frees results that are no longer needed, and marks
    /// the job as changed.
    pub(super) fn advance(&mut self, id: JobId, table: &Table) {
        self.changed_jobs.push(id);
        let calls = &self.calls;
        let has_fetched = |call: u64| calls.get(&call).is_some_and(|c| c.has_fetched);
        let Some(run) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut finished = Vec::new();
        let mut used = Vec::new();
        for stage in 0..run.stages.len() {
            let is_done = run.stages[stage].is_done();
            if is_done && !run.stages[stage].reported {
                run.stages[stage].reported = true;
                finished.push((stage, run.stages[stage].results()));
            }
            if is_done && !run.is_last(stage) && !run.is_needed(stage, has_fetched) {
                let bytes = run.job.stages[stage].result_bytes;
                for piece in &mut run.stages[stage].pieces {
                    if let Piece::Produced(made) = std::mem::replace(piece, Piece::Freed) {
                        used.push((made, bytes));
                    }
                }
            }
        }
        let becomes_ready = run.is_done() && !run.ready;
        run.ready |= becomes_ready;
        for (stage, results) in finished {
            self.send_to_gateway(id, PeerMessage::StageDone { job: id, stage, results });
        }
        for (made, bytes) in used {
            self.free_result(&made, bytes, table);
        }
        if becomes_ready {
            self.send_to_gateway(id, PeerMessage::Ready(id));
        }
    }
}
