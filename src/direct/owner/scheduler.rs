//! The owner of pools that work in batches: pieces of all gateways' requests meet here.
//!
//! A piece is bound to an endpoint only when that endpoint is free, most urgent first; room for
//! results is counted before a piece is sent, and given back the moment nobody needs the result.
//! Two owners at once are harmless: an endpoint that is full says so, and a piece may be made again.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::{Action, BatchReport};
use crate::direct::note::{Note, ms};
use crate::direct::owner::forecast::Pace;
use crate::direct::owner::jobs::{JobRun, Piece};
use crate::direct::owner::makers::{Makers, Usage};
use crate::direct::owner::outcomes::SETTLING;
use crate::direct::peers::message::{Handle, Job, JobId, JobReason, Made, PeerMessage};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::repeats::{Bounds, Repeats};
use crate::message::Timestamp;
use crate::policy::path::{FETCHING, PathRefusal, admit_path};

/// Between two looks at jobs that hold a stage back, and at deadlines.
const LOOK: Duration = Duration::from_millis(25);

/// Endpoints are asked for reports of all that they hold no more often than that.
const REPORTS_KEPT: Duration = Duration::from_secs(1);

/// A piece: its job, its stage's position, its own position.
pub(super) type PieceId = (JobId, usize, usize);

/// A call with pieces that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) pool: Name,
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) pieces: Vec<(JobId, usize, usize, u64)>,
    pub(super) sent: Timestamp,
    pub(super) expected: Duration,
    pub(super) overdue: Timestamp,
    /// Given up: whatever comes is freed.
    pub(super) is_late: bool,
    /// Its endpoint is taken to have fetched the inputs of its pieces.
    pub(super) has_fetched: bool,
}

/// Stages of many gateways' requests.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) jobs: BTreeMap<JobId, JobRun>,
    pub(super) calls: HashMap<u64, Call>,
    pub(super) makers: Makers,
    pub(super) repeats: Repeats,
    pub(super) next_call: u64,
    pub(super) paces: HashMap<Name, Pace>,
    pub(super) to_free: BTreeMap<Name, (Arc<Endpoint>, Vec<Handle>)>,
    pub(super) dirty: HashSet<Name>,
    pub(super) last_look: Timestamp,
    /// When all endpoints were last asked how they stand.
    reports_asked: Option<Timestamp>,
    pub(super) last_submit: Option<Timestamp>,
    /// When jobs began to come, after none had for a while.
    pub(super) owner_since: Timestamp,
    pub(super) out: Vec<Action>,
}

impl Scheduler {
    /// Owns nothing yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            jobs: BTreeMap::new(),
            calls: HashMap::new(),
            makers: Makers::default(),
            repeats: Repeats::new(bounds),
            next_call: 0,
            paces: HashMap::new(),
            to_free: BTreeMap::new(),
            dirty: HashSet::new(),
            last_look: Timestamp::ZERO,
            reports_asked: None,
            last_submit: None,
            owner_since: Timestamp::ZERO,
            out: Vec::new(),
        }
    }

    /// Jobs that were begun and are not over.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Whether a job is begun here and not over.
    pub fn has(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether something is at work.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// When the next look is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        (!self.jobs.is_empty() || !self.calls.is_empty()).then_some(self.last_look + LOOK)
    }

    /// What this owner uses at endpoints.
    pub fn usage(&self) -> Vec<Usage> {
        self.makers.usage()
    }

    /// Another owner tells what it uses.
    pub fn told_usage(&mut self, owner: SocketAddr, usage: Vec<Usage>) {
        self.makers.told(owner, usage);
    }

    /// Another owner is gone.
    pub fn owner_lost(&mut self, owner: SocketAddr, now: Timestamp) {
        self.makers.owner_lost(owner, now);
    }

    /// Takes what must be done, after filling calls with what waits.
    pub fn actions(&mut self, table: &Table, now: Timestamp) -> Vec<Action> {
        let dirty: Vec<Name> = self.dirty.drain().collect();
        for pool in dirty {
            self.fill(&pool, table, now);
        }
        let to_free = std::mem::take(&mut self.to_free);
        self.out.extend(
            to_free.into_values().map(|(endpoint, handles)| Action::Free { endpoint, handles }),
        );
        std::mem::take(&mut self.out)
    }

    /// A gateway submits a job: it is begun, or refused at once.
    pub fn submit(&mut self, job: Job, table: &Table, now: Timestamp) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return self.tell_again(id);
        }
        if self.last_submit.is_none_or(|last| now >= last + SETTLING) {
            self.owner_since = now;
            self.ask_reports(table, now);
        }
        self.last_submit = Some(now);
        let loads = self.loads(&job, table, now);
        let decision = admit_path(&loads, job.after, job.to_objective, job.priority);
        let refusal = decision.refusal.filter(|_| !job.resubmitted);
        let narrowest = job.stages.get(decision.narrowest);
        self.out.push(Action::Note(Note::StagesDecided {
            request: job.request.clone(),
            admitted: refusal.is_none(),
            pool: narrowest.map_or_else(|| "".into(), |s| s.pool.clone()),
            predicted_ms: ms(decision.predicted),
            objective_ms: ms(job.to_objective),
            room_share: (decision.room_share * 100.0).round() / 100.0,
        }));
        if let Some(refusal) = refusal {
            let reason = match refusal {
                PathRefusal::NoEndpoint => JobReason::NoEndpoint,
                PathRefusal::WouldBeLate => JobReason::WouldBeLate,
                PathRefusal::NoRoom => JobReason::NoRoom,
            };
            return self.tell_given_up(id, reason, true, decision.retry_after);
        }
        self.tell(id, PeerMessage::Accepted(id));
        let mut run = JobRun::new(job, now);
        run.inner_home = self.least_loaded_home(&run, table, now);
        for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
            for made in stage.results() {
                self.makers.taken_over(&made.endpoint, spec.result_bytes);
            }
            self.dirty.insert(spec.pool.clone());
        }
        self.jobs.insert(id, run);
        self.advance(id, table);
    }

    /// Asks all endpoints how they stand: an owner that begins does not know what those before it left
    /// there.
    pub fn ask_reports(&mut self, table: &Table, now: Timestamp) {
        if self.reports_asked.is_some_and(|at| now < at + REPORTS_KEPT) {
            return;
        }
        self.reports_asked = Some(now);
        let pools = table.deployment.pools.iter().filter(|p| table.batch(&p.name).is_some());
        let endpoints = pools.flat_map(|p| table.members(&p.name)).filter(|e| !e.leaving);
        self.out.extend(endpoints.map(|e| Action::AskReport(e.clone())));
    }

    /// An endpoint told how it stands.
    pub fn reported(
        &mut self,
        endpoint: &Name,
        report: BatchReport,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(spec) = table.batch_of(endpoint) else {
            return;
        };
        self.makers.reported(endpoint, spec.room_bytes, report.free_bytes, now);
        self.out.push(Action::Note(Note::Reported {
            endpoint: endpoint.clone(),
            free_bytes: report.free_bytes,
            of_others: self.makers.of_others(endpoint, now),
            waiting: report.waiting,
        }));
    }

    /// Tells a job's gateway how it stands: what was told before may be lost.
    fn tell_again(&mut self, id: JobId) {
        let Some(run) = self.jobs.get(&id) else {
            return;
        };
        let stages = run.stages.iter().enumerate();
        let done = stages.filter(|(_, s)| s.told && !s.pieces.contains(&Piece::Used));
        let done: Vec<_> = done.map(|(stage, s)| (stage, s.results())).collect();
        let is_ready = run.ready;
        self.tell(id, PeerMessage::Accepted(id));
        for (stage, results) in done {
            self.tell(id, PeerMessage::StageDone { job: id, stage, results });
        }
        if is_ready {
            self.tell(id, PeerMessage::Ready(id));
        }
    }

    /// The data centre for the stages between which much is moved: the one whose endpoints have
    /// least to do in any of the stages' pools, among those that have all; the callers' own among equals.
    /// Worth 0.005 to 0.007 of 0.60 to 0.68 in pairs of days of three deployments.
    pub(super) fn least_loaded_home(
        &self,
        run: &JobRun,
        table: &Table,
        now: Timestamp,
    ) -> Option<Name> {
        let pools: Vec<&Name> = run.heavy_stages().map(|s| &run.job.stages[s].pool).collect();
        let (first, others) = pools.split_first()?;
        let mut homes = self.usable_homes(first, table, now);
        for pool in others {
            let here = self.usable_homes(pool, table, now);
            homes.retain(|h| here.contains(h));
        }
        let load = |home: &Name| {
            let loads = pools.iter().map(|pool| self.load_at_home(pool, home, table));
            loads.max().unwrap_or_default()
        };
        homes.into_iter().min_by_key(|h| (load(h), *h != run.job.data_centre, h.clone()))
    }

    /// Pieces of a pool that are to be made in a data centre, for each endpoint there, in thousandths.
    fn load_at_home(&self, pool: &Name, home: &Name, table: &Table) -> usize {
        let jobs = self.jobs.values().filter(|j| j.inner_home.as_ref() == Some(home));
        let stages = jobs.flat_map(|j| j.heavy_stages().map(|s| (&j.job.stages[s], &j.stages[s])));
        let open: usize =
            stages.filter(|(spec, _)| spec.pool == *pool).map(|(_, s)| s.open()).sum();
        let members = table.members(pool).iter().filter(|e| !e.leaving);
        let here = members.filter(|e| e.data_centre == *home).count();
        (open * 1_000) / here.max(1)
    }

    /// Nobody needs a job's results any more.
    pub fn release(&mut self, id: JobId, table: &Table) {
        let Some(run) = self.jobs.remove(&id) else {
            return;
        };
        for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
            for made in stage.results() {
                self.free(&made, spec.result_bytes, table);
            }
            self.dirty.insert(spec.pool.clone());
        }
    }

    /// The process ends: other gateways are told that their jobs go on elsewhere or nowhere.
    pub fn end_all(&mut self, own: SocketAddr) {
        let others = self.jobs.keys().filter(|id| id.gateway != own).copied();
        for id in others.collect::<Vec<_>>() {
            self.tell_given_up(id, JobReason::NotOwner, false, Duration::ZERO);
        }
    }

    /// A gateway is gone, and its jobs with it.
    pub fn release_all_of(&mut self, is_gone: impl Fn(&JobId) -> bool, table: &Table) {
        let gone: Vec<JobId> = self.jobs.keys().filter(|id| is_gone(id)).copied().collect();
        for id in gone {
            self.release(id, table);
        }
    }

    /// Endpoints or the configuration changed.
    pub fn changed(&mut self, table: &Table) {
        self.makers.retain(|id| table.endpoint(id).is_some());
        self.dirty.extend(table.deployment.pools.iter().map(|p| p.name.clone()));
    }

    /// Looks at deadlines, overdue calls and stages that were held back.
    pub fn look(&mut self, table: &Table, now: Timestamp) {
        if now < self.last_look + LOOK {
            return;
        }
        self.last_look = now;
        self.makers.tidy(now);
        let overdue: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.is_late && now >= c.overdue)
            .map(|(id, _)| *id)
            .collect();
        for call in overdue {
            self.give_up_call(call, table, now);
        }
        self.free_fetched(table, now);
        let over: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| now >= j.deadline).map(|(id, _)| *id).collect();
        for id in over {
            self.give_up(id, JobReason::DeadlinePassed, table);
        }
        let waiting = self.jobs.values().flat_map(|j| j.job.stages.iter().zip(&j.stages));
        let waiting = waiting.filter(|(_, run)| run.waiting() > 0).map(|(spec, _)| &spec.pool);
        self.dirty.extend(waiting.cloned());
    }

    /// Frees the inputs of calls that have fetched them. Where another owner may call the same
    /// endpoints, a call may wait for its turn, and nothing is known.
    fn free_fetched(&mut self, table: &Table, now: Timestamp) {
        if now < self.owner_since + SETTLING || self.makers.is_shared() {
            return;
        }
        let mut jobs = BTreeSet::new();
        for call in self.calls.values_mut() {
            let is_due = !call.has_fetched && !call.is_late && now >= call.sent + FETCHING;
            if is_due {
                call.has_fetched = true;
                jobs.extend(call.pieces.iter().map(|p| p.0));
            }
        }
        for job in jobs {
            self.advance(job, table);
        }
    }

    pub(super) fn give_up(&mut self, id: JobId, reason: JobReason, table: &Table) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        self.release(id, table);
        self.tell_given_up(id, reason, false, Duration::from_millis(300));
    }

    pub(super) fn tell_given_up(
        &mut self,
        job: JobId,
        reason: JobReason,
        untouched: bool,
        retry_after: Duration,
    ) {
        self.tell(job, PeerMessage::GivenUp { job, reason, untouched, retry_after });
    }

    pub(super) fn tell(&mut self, job: JobId, message: PeerMessage) {
        self.out.push(Action::Tell { to: job.gateway, message });
    }

    pub(super) fn free(&mut self, made: &Made, bytes: u64, table: &Table) {
        self.makers.freed(&made.endpoint, bytes);
        if let Some(endpoint) = table.endpoint(&made.endpoint) {
            let entry = self.to_free.entry(made.endpoint.clone());
            entry.or_insert_with(|| (endpoint.clone(), Vec::new())).1.push(made.handle.clone());
        }
    }

    /// Tells what is done, frees what was used, and opens what comes next.
    pub(super) fn advance(&mut self, id: JobId, table: &Table) {
        let calls = &self.calls;
        let has_fetched = |call: u64| calls.get(&call).is_some_and(|c| c.has_fetched);
        let Some(run) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut told = Vec::new();
        let mut used = Vec::new();
        for stage in 0..run.stages.len() {
            let is_done = run.stages[stage].is_done();
            if is_done && !run.stages[stage].told {
                run.stages[stage].told = true;
                told.push((stage, run.stages[stage].results()));
            }
            if is_done && !run.is_last(stage) && !run.is_needed(stage, has_fetched) {
                let bytes = run.job.stages[stage].result_bytes;
                for piece in &mut run.stages[stage].pieces {
                    if let Piece::Made(made) = std::mem::replace(piece, Piece::Used) {
                        used.push((made, bytes));
                    }
                }
            }
            if run.stages[stage].waiting() > 0 {
                self.dirty.insert(run.job.stages[stage].pool.clone());
            }
        }
        let becomes_ready = run.is_done() && !run.ready;
        run.ready |= becomes_ready;
        for (stage, results) in told {
            self.tell(id, PeerMessage::StageDone { job: id, stage, results });
        }
        for (made, bytes) in used {
            self.free(&made, bytes, table);
        }
        if becomes_ready {
            self.tell(id, PeerMessage::Ready(id));
        }
    }
}

/// The time of a call that holds a whole stage.
pub(super) fn expected_call(job: &Job, stage: usize, table: &Table) -> Duration {
    let stage = &job.stages[stage];
    let Some(spec) = table.batch(&stage.pool) else {
        return Duration::ZERO;
    };
    spec.call + spec.piece * stage.pieces.min(spec.pieces) as u32
}
