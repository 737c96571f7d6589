//! The owner of pools that work in batches: pieces of all gateways' requests meet here.
//!
//! A piece is bound to an endpoint only when that endpoint is free, most urgent first; room for
//! results is counted before a piece is sent, and given back the moment nobody needs the result.
//! Two owners at once are harmless: an endpoint that is full says so, and a piece may be made again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::event::{Action, BatchOutcome, CallFailure, PieceOrder, PieceOutcome};
use super::jobs::{JobRun, Piece};
use super::makers::{Makers, Usage};
use super::message::{Handle, Job, JobId, JobReason, Made, PeerMessage};
use super::model::{BatchSpec, Endpoint, Name};
use super::note::{Note, ms};
use super::repeats::{Bounds, Repeats};
use super::table::Table;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::Timestamp;
use crate::policy::path::{PathRefusal, StageLoad, admit_path};

/// Between two looks at jobs that hold a stage back, and at deadlines.
const LOOK: Duration = Duration::from_millis(25);
/// A call is given up after so many times its expected time, and [`PATIENCE`] more.
const OVERDUE: f64 = 2.0;
/// See [`OVERDUE`].
const PATIENCE: Duration = Duration::from_millis(250);
/// A piece that was sent so many times is given up.
const MAX_TRIES: u32 = 4;
/// A stage that is not needed before others is begun so much earlier than it must be.
const HOLD_SLACK: Duration = Duration::from_millis(120);
/// What is begun comes to its stages one after the other, and calls grow fuller under load: of the
/// time that all of it needs at full calls, so much stands before a newcomer.
const BEFORE_NEWCOMER: f64 = 0.3;
/// A piece that is in a call needs so much of its time, on average.
const RUNNING_REST: f64 = 0.5;
/// Calls of an owner before this one are over after so long.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Gateways that repeat calls with pieces at once: an owner, and the one before it.
const OWNERS: usize = 2;
/// Results of that many bytes would cross between data centres: their place is worth waiting for.
const HEAVY: u64 = 100_000;
/// A piece waits for an endpoint in its place only while it has so much time to spare.
const TIME_FOR_PLACE: Duration = Duration::from_millis(600);
/// Work that can't meet its objective any more comes after all that can.
const MISSED_PENALTY_MS: i64 = 20_000;

/// A piece: its job, its stage's position, its own position.
type PieceId = (JobId, usize, usize);

/// A piece that may be sent.
#[derive(Debug)]
struct Waiting {
    piece: PieceId,
    /// Time to spare; what is late already comes last.
    urgency_ms: i64,
    bytes: u64,
    /// The data centre where its inputs are and its result is needed, where that matters.
    home: Option<Name>,
    waits_for_home: bool,
}

/// An endpoint that may get a call.
#[derive(Debug)]
struct Free {
    endpoint: Arc<Endpoint>,
    room: u64,
}

#[derive(Debug)]
struct Call {
    pool: Name,
    endpoint: Arc<Endpoint>,
    pieces: Vec<(JobId, usize, usize, u64)>,
    sent: Timestamp,
    expected: Duration,
    overdue: Timestamp,
    /// Given up: whatever comes is freed.
    is_late: bool,
}

/// Stages of many gateways' requests.
#[derive(Debug)]
pub struct Scheduler {
    jobs: BTreeMap<JobId, JobRun>,
    calls: HashMap<u64, Call>,
    makers: Makers,
    repeats: Repeats,
    next_call: u64,
    to_free: BTreeMap<Name, (Arc<Endpoint>, Vec<Handle>)>,
    dirty: HashSet<Name>,
    last_look: Timestamp,
    last_submit: Timestamp,
    /// When jobs began to come, after none had for a while.
    owner_since: Timestamp,
    out: Vec<Action>,
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
            to_free: BTreeMap::new(),
            dirty: HashSet::new(),
            last_look: Timestamp::ZERO,
            last_submit: Timestamp::ZERO,
            owner_since: Timestamp::ZERO,
            out: Vec::new(),
        }
    }

    /// Jobs that were begun and are not over.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
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
            return;
        }
        if now >= self.last_submit + SETTLING {
            self.owner_since = now;
        }
        self.last_submit = now;
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
        self.advance(id, table, now);
    }

    /// The data centre for the stages between which much is moved: the one whose endpoints have
    /// least to do among those that have all of the stages' pools; the callers' own among equals.
    fn least_loaded_home(&self, run: &JobRun, table: &Table, now: Timestamp) -> Option<Name> {
        let pools: Vec<&Name> = run.inner_stages().map(|s| &run.job.stages[s].pool).collect();
        let (first, others) = pools.split_first()?;
        let mut homes = self.usable_homes(first, table, now);
        for pool in others {
            let here = self.usable_homes(pool, table, now);
            homes.retain(|h| here.contains(h));
        }
        let load = |home: &Name| {
            let jobs = self.jobs.values().filter(|j| j.inner_home.as_ref() == Some(home));
            let open: usize = jobs.flat_map(|j| j.inner_stages().map(|s| j.stages[s].open())).sum();
            let members = pools.iter().map(|p| {
                let here = table.members(p).iter().filter(|e| !e.leaving);
                here.filter(|e| e.data_centre == *home).count()
            });
            (open * 1_000) / members.min().unwrap_or(1).max(1)
        };
        homes.into_iter().min_by_key(|h| (load(h), *h != run.job.data_centre, h.clone()))
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
        let over: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| now >= j.deadline).map(|(id, _)| *id).collect();
        for id in over {
            self.give_up(id, JobReason::DeadlinePassed, table);
        }
        let waiting = self.jobs.values().flat_map(|j| j.job.stages.iter().zip(&j.stages));
        let waiting = waiting.filter(|(_, run)| run.waiting() > 0).map(|(spec, _)| &spec.pool);
        self.dirty.extend(waiting.cloned());
    }

    /// A call ended.
    pub fn batch_ended(&mut self, id: u64, outcome: BatchOutcome, table: &Table, now: Timestamp) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let took = now.saturating_sub(call.sent);
        self.makers.ended(&call.endpoint.id);
        self.dirty.insert(call.pool.clone());
        self.out.push(Action::Note(Note::BatchEnded {
            call: id,
            endpoint: call.endpoint.id.clone(),
            outcome: describe(&outcome),
            took_ms: ms(took),
        }));
        match outcome {
            BatchOutcome::Pieces(outcomes) => {
                self.judge_speed(&call, took, table, now);
                self.pieces_ended(&call, id, outcomes, table, now);
            }
            BatchOutcome::Full => {
                self.makers.full(&call.endpoint.id, now);
                self.put_back(&call, id, false, table, now);
            }
            BatchOutcome::OtherEndpoint | BatchOutcome::Failed(CallFailure::NotSent) => {
                self.avoid(&call.endpoint.id, "unreachable", now);
                self.put_back(&call, id, false, table, now);
            }
            BatchOutcome::Failed(_) => {
                self.avoid(&call.endpoint.id, "broken", now);
                self.put_back(&call, id, true, table, now);
            }
        }
    }

    fn avoid(&mut self, endpoint: &Name, cause: &'static str, now: Timestamp) {
        self.makers.failed(endpoint, now);
        let endpoint = endpoint.clone();
        self.out.push(Action::Note(Note::Suspicion { endpoint, avoided: true, cause }));
    }

    fn judge_speed(&mut self, call: &Call, took: Duration, table: &Table, now: Timestamp) {
        // Early calls may have waited behind those of an owner that is gone.
        if call.sent < self.owner_since + SETTLING {
            return;
        }
        let ratio = took.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
        self.makers.worked(&call.endpoint.id, ratio);
        let pool: Vec<Name> = table.members(&call.pool).iter().map(|e| e.id.clone()).collect();
        if self.makers.avoid_if_slow(&call.endpoint.id, &pool, now) {
            let endpoint = call.endpoint.id.clone();
            let note = Note::Suspicion { endpoint, avoided: true, cause: "slow" };
            self.out.push(Action::Note(note));
        }
    }

    fn pieces_ended(
        &mut self,
        call: &Call,
        id: u64,
        outcomes: Vec<PieceOutcome>,
        table: &Table,
        now: Timestamp,
    ) {
        let missing = call.pieces.len().saturating_sub(outcomes.len());
        let outcomes = outcomes.into_iter().chain(vec![PieceOutcome::Failed; missing]);
        for (&(job, stage, piece, bytes), outcome) in call.pieces.iter().zip(outcomes) {
            if let PieceOutcome::Made(handle) = outcome {
                let made = Made { handle, endpoint: call.endpoint.id.clone() };
                self.made(job, stage, piece, bytes, made, table);
                continue;
            }
            self.makers.freed(&call.endpoint.id, bytes);
            if !self.is_running(job, stage, piece, id) {
                continue;
            }
            match outcome {
                PieceOutcome::NoRoom => {
                    let room = table.batch(&call.pool).map_or(0, |s| s.room_bytes);
                    let left = self.makers.left(&call.endpoint.id, room, now);
                    self.makers.no_room(&call.endpoint.id, left, now);
                    self.wait_again(job, stage, piece, true, table, now);
                }
                PieceOutcome::Failed => self.wait_again(job, stage, piece, true, table, now),
                PieceOutcome::InputGone => self.make_inputs_again(job, stage, table, now),
                PieceOutcome::Late | PieceOutcome::Made(_) => {
                    self.give_up(job, JobReason::DeadlinePassed, table);
                }
            }
        }
        let mut jobs: Vec<JobId> = call.pieces.iter().map(|p| p.0).collect();
        jobs.dedup();
        for job in jobs {
            self.advance(job, table, now);
        }
    }

    fn made(
        &mut self,
        job: JobId,
        stage: usize,
        piece: usize,
        bytes: u64,
        made: Made,
        table: &Table,
    ) {
        let slot = self.jobs.get_mut(&job).map(|j| &mut j.stages[stage].pieces[piece]);
        match slot {
            // A piece that was given up and is made after all is as good as any.
            Some(slot @ (Piece::Running { .. } | Piece::Waiting { .. })) => {
                *slot = Piece::Made(made)
            }
            _ => self.free(&made, bytes, table),
        }
    }

    fn is_running(&self, job: JobId, stage: usize, piece: usize, call: u64) -> bool {
        let run = self.jobs.get(&job);
        let piece = run.map(|r| &r.stages[stage].pieces[piece]);
        matches!(piece, Some(Piece::Running { call: c, .. }) if *c == call)
    }

    /// Every piece of a call that did not end waits again.
    fn put_back(
        &mut self,
        call: &Call,
        id: u64,
        may_have_run: bool,
        table: &Table,
        now: Timestamp,
    ) {
        for &(job, stage, piece, bytes) in &call.pieces {
            self.makers.freed(&call.endpoint.id, bytes);
            if self.is_running(job, stage, piece, id) {
                self.wait_again(job, stage, piece, may_have_run, table, now);
            }
        }
    }

    /// A piece waits again, where the budget and its tries allow it; otherwise its job is given up.
    fn wait_again(
        &mut self,
        job: JobId,
        stage: usize,
        piece: usize,
        counts: bool,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(run) = self.jobs.get_mut(&job) else {
            return;
        };
        let slot = &mut run.stages[stage].pieces[piece];
        let Piece::Running { tries, .. } = *slot else {
            return;
        };
        let tries = tries + u32::from(counts);
        *slot = Piece::Waiting { tries };
        let pool = run.job.stages[stage].pool.clone();
        if tries >= MAX_TRIES {
            return self.give_up(job, JobReason::Failed, table);
        }
        // Also a piece that was refused arrives twice.
        if !self.repeats.take(&pool, OWNERS, now) {
            return self.give_up(job, JobReason::RepeatBudget, table);
        }
        self.dirty.insert(pool);
    }

    /// An input of a stage is gone: the stages before it are made again, and those before them
    /// whose own results were used and freed.
    fn make_inputs_again(&mut self, job: JobId, stage: usize, table: &Table, now: Timestamp) {
        let Some(run) = self.jobs.get_mut(&job) else {
            return;
        };
        for piece in &mut run.stages[stage].pieces {
            if let Piece::Running { tries, .. } = *piece {
                *piece = Piece::Waiting { tries: tries + 1 };
            }
        }
        let mut freed = Vec::new();
        let mut again = Vec::new();
        for index in run.to_make_again(stage) {
            let spec = &run.job.stages[index];
            for piece in &mut run.stages[index].pieces {
                if let Piece::Made(made) = piece {
                    freed.push((made.clone(), spec.result_bytes));
                }
                *piece = Piece::Waiting { tries: MAX_TRIES - 1 };
                again.push(spec.pool.clone());
            }
            run.stages[index].told = false;
        }
        for (made, bytes) in freed {
            self.free(&made, bytes, table);
        }
        self.dirty.extend(again.iter().cloned());
        if !again.iter().all(|pool| self.repeats.take(pool, OWNERS, now)) {
            self.give_up(job, JobReason::RepeatBudget, table);
        }
    }

    fn give_up_call(&mut self, id: u64, table: &Table, now: Timestamp) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.is_late = true;
        let (endpoint, pieces) = (call.endpoint.id.clone(), call.pieces.clone());
        self.avoid(&endpoint, "overdue", now);
        for (job, stage, piece, _) in pieces {
            if self.is_running(job, stage, piece, id) {
                self.wait_again(job, stage, piece, true, table, now);
            }
        }
    }

    fn give_up(&mut self, id: JobId, reason: JobReason, table: &Table) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        self.release(id, table);
        self.tell_given_up(id, reason, false, Duration::from_millis(300));
    }

    fn tell_given_up(
        &mut self,
        job: JobId,
        reason: JobReason,
        untouched: bool,
        retry_after: Duration,
    ) {
        self.tell(job, PeerMessage::GivenUp { job, reason, untouched, retry_after });
    }

    fn tell(&mut self, job: JobId, message: PeerMessage) {
        self.out.push(Action::Tell { to: job.gateway, message });
    }

    fn free(&mut self, made: &Made, bytes: u64, table: &Table) {
        self.makers.freed(&made.endpoint, bytes);
        if let Some(endpoint) = table.endpoint(&made.endpoint) {
            let entry = self.to_free.entry(made.endpoint.clone());
            entry.or_insert_with(|| (endpoint.clone(), Vec::new())).1.push(made.handle.clone());
        }
    }

    /// Tells what is done, frees what was used, and opens what comes next.
    fn advance(&mut self, id: JobId, table: &Table, _now: Timestamp) {
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
            if is_done && !run.is_last(stage) && !run.is_needed(stage) {
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

    /// Fills calls of a pool's free endpoints with the most urgent pieces.
    fn fill(&mut self, pool: &Name, table: &Table, now: Timestamp) {
        let Some(spec) = table.batch(pool).cloned() else {
            return;
        };
        let mut waiting = self.waiting(pool, table, now);
        while !waiting.is_empty() {
            let free = self.free_endpoints(pool, &spec, table, now);
            let Some((endpoint, batch)) = self.next_batch(&free, pool, &mut waiting, table, now)
            else {
                return;
            };
            self.send(pool, &spec, endpoint, batch, waiting.len(), now);
        }
    }

    /// Pieces of a pool that may be sent, most urgent first.
    fn waiting(&self, pool: &Name, table: &Table, now: Timestamp) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for (id, run) in &self.jobs {
            for (stage, job_stage) in run.job.stages.iter().enumerate() {
                let is_due = job_stage.pool == *pool && run.stages[stage].waiting() > 0;
                if !is_due || !run.is_open(stage) {
                    continue;
                }
                let call = |i: usize| expected_call(&run.job, i, table);
                if is_held_back(run, stage, now, call) {
                    continue;
                }
                let rest = run.from_stage(stage, call) + run.job.after;
                let slack_ms = ms(run.objective) as i64 - ms(now + rest) as i64;
                let home = run.home(stage).filter(|_| run.moved_bytes(stage) >= HEAVY);
                let waits = slack_ms > ms(TIME_FOR_PLACE) as i64;
                let pieces = run.stages[stage].pieces.iter().enumerate();
                let open = pieces.filter(|(_, p)| matches!(p, Piece::Waiting { .. }));
                waiting.extend(open.map(|(piece, _)| Waiting {
                    piece: (*id, stage, piece),
                    urgency_ms: slack_ms + if slack_ms < 0 { MISSED_PENALTY_MS } else { 0 },
                    bytes: job_stage.result_bytes,
                    home: home.cloned(),
                    waits_for_home: waits,
                }));
            }
        }
        waiting.sort_unstable_by_key(|w| (w.urgency_ms, w.piece));
        waiting
    }

    /// The endpoint for the most urgent piece that fits anywhere, and what goes with it.
    fn next_batch(
        &self,
        free: &[Free],
        pool: &Name,
        waiting: &mut Vec<Waiting>,
        table: &Table,
        now: Timestamp,
    ) -> Option<(Arc<Endpoint>, Vec<PieceId>)> {
        let spec = table.batch(pool)?;
        let homes = self.usable_homes(pool, table, now);
        let suits = |w: &Waiting, place: &Free| {
            let is_home = w.home.as_ref().is_none_or(|h| *h == place.endpoint.data_centre);
            let can_wait = w.waits_for_home && w.home.as_ref().is_some_and(|h| homes.contains(h));
            place.room >= w.bytes && (is_home || !can_wait)
        };
        let (first, place) = waiting.iter().enumerate().find_map(|(index, w)| {
            let suiting = free.iter().filter(|place| suits(w, place));
            let at_home = |p: &&Free| w.home.as_ref() == Some(&p.endpoint.data_centre);
            Some((index, suiting.max_by_key(|p| (at_home(p), p.room))?))
        })?;
        let mut room = place.room;
        let mut batch = Vec::new();
        let mut rest = Vec::with_capacity(waiting.len());
        for (index, waiting) in std::mem::take(waiting).into_iter().enumerate() {
            let fits = batch.len() < spec.pieces && waiting.bytes <= room;
            if index >= first && fits && suits(&waiting, place) {
                room -= waiting.bytes;
                batch.push(waiting.piece);
            } else {
                rest.push(waiting);
            }
        }
        *waiting = rest;
        Some((place.endpoint.clone(), batch))
    }

    /// Data centres with an endpoint of a pool that works.
    fn usable_homes(&self, pool: &Name, table: &Table, now: Timestamp) -> HashSet<Name> {
        let usable = self.usable(pool, table, now);
        usable.into_iter().map(|e| e.data_centre.clone()).collect()
    }

    /// Endpoints that take work; avoided ones only where nothing else is left.
    fn usable<'a>(&self, pool: &Name, table: &'a Table, now: Timestamp) -> Vec<&'a Arc<Endpoint>> {
        let members = table.members(pool).iter().filter(|e| !e.leaving);
        let usable: Vec<&Arc<Endpoint>> =
            members.clone().filter(|e| self.makers.get(&e.id).avoided_until <= now).collect();
        if usable.is_empty() { members.collect() } else { usable }
    }

    /// Endpoints that may get a call now, with the room that they have.
    fn free_endpoints(
        &self,
        pool: &Name,
        spec: &BatchSpec,
        table: &Table,
        now: Timestamp,
    ) -> Vec<Free> {
        let usable = self.usable(pool, table, now).into_iter();
        let is_free = |e: &&Arc<Endpoint>| {
            let maker = self.makers.get(&e.id);
            maker.running < spec.slots && maker.blocked_until <= now
        };
        let room = |e: &Arc<Endpoint>| self.makers.left(&e.id, spec.room_bytes, now);
        usable.filter(is_free).map(|e| Free { endpoint: e.clone(), room: room(e) }).collect()
    }

    fn send(
        &mut self,
        pool: &Name,
        spec: &BatchSpec,
        endpoint: Arc<Endpoint>,
        batch: Vec<PieceId>,
        waiting: usize,
        now: Timestamp,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        let mut pieces = Vec::with_capacity(batch.len());
        let mut orders = Vec::with_capacity(batch.len());
        let mut firsts = 0;
        let mut total = 0;
        for (id, stage, piece) in batch {
            let Some(run) = self.jobs.get_mut(&id) else {
                continue;
            };
            let bytes = run.job.stages[stage].result_bytes;
            let order = piece_order(run, stage, piece, now);
            let violation =
                Violation::MissingInputs { request: run.job.request.to_string(), stage };
            if !invariant!(order.inputs.len() == run.inputs_of(stage), violation) {
                continue;
            }
            orders.push(order);
            let slot = &mut run.stages[stage].pieces[piece];
            let tries = if let Piece::Waiting { tries } = *slot { tries } else { 0 };
            firsts += u32::from(tries == 0);
            *slot = Piece::Running { call, tries };
            run.stages[stage].started.get_or_insert(now);
            total += bytes;
            pieces.push((id, stage, piece, bytes));
        }
        self.repeats.first(pool, firsts, now);
        self.makers.sent(&endpoint.id, total);
        let expected = spec.call + spec.piece * orders.len() as u32;
        let patience = expected.mul_f64(OVERDUE) + PATIENCE;
        self.out.push(Action::Note(Note::BatchSent {
            call,
            endpoint: endpoint.id.clone(),
            pieces: orders.iter().map(|o| (o.request.clone(), o.stage, o.piece)).collect(),
            waiting,
        }));
        self.calls.insert(
            call,
            Call {
                pool: pool.clone(),
                endpoint: endpoint.clone(),
                pieces,
                sent: now,
                expected,
                overdue: now + patience,
                is_late: false,
            },
        );
        let timeout = patience * 4;
        self.out.push(Action::Batch { call, endpoint, pieces: orders, timeout });
    }

    /// How each pool of a job stands, for admission.
    fn loads(&self, job: &Job, table: &Table, now: Timestamp) -> Vec<StageLoad> {
        job.stages.iter().enumerate().map(|(i, _)| self.load(job, i, table, now)).collect()
    }

    fn load(&self, job: &Job, index: usize, table: &Table, now: Timestamp) -> StageLoad {
        let stage = &job.stages[index];
        let is_done = stage.pieces == 0 || stage.done.len() == stage.pieces;
        let mut load = StageLoad {
            after: stage.after.clone(),
            is_done,
            slots: 0.0,
            backlog: Duration::ZERO,
            call: expected_call(job, index, table),
            room: 0.0,
            promised: 0.0,
            wanted: (stage.pieces as u64 * stage.result_bytes) as f64,
        };
        let Some(spec) = table.batch(&stage.pool) else {
            return load;
        };
        let usable = self.usable(&stage.pool, table, now).len() as f64;
        load.slots = usable * f64::from(spec.slots);
        load.room = usable * spec.room_bytes as f64;
        let full_call = spec.call.div_f64(spec.pieces as f64) + spec.piece;
        let share = full_call.mul_f64(BEFORE_NEWCOMER);
        for run in self.jobs.values() {
            for (other, state) in run.job.stages.iter().zip(&run.stages) {
                if other.pool == stage.pool {
                    let waiting = state.waiting() as f64;
                    let running = state.open() as f64 - waiting;
                    load.backlog += share.mul_f64(running.mul_add(RUNNING_REST, waiting));
                    load.promised += (state.unused() as u64 * other.result_bytes) as f64;
                }
            }
        }
        load
    }
}

/// Whether a stage that others don't need is begun later, so that its results don't wait.
fn is_held_back(
    run: &JobRun,
    stage: usize,
    now: Timestamp,
    call: impl Fn(usize) -> Duration + Copy,
) -> bool {
    if !run.is_last(stage) || !run.job.stages[stage].after.is_empty() {
        return false;
    }
    let others = run.remaining(Some(stage), now, call);
    others > call(stage) + HOLD_SLACK
}

/// The time of a call that holds a whole stage.
fn expected_call(job: &Job, stage: usize, table: &Table) -> Duration {
    let stage = &job.stages[stage];
    let Some(spec) = table.batch(&stage.pool) else {
        return Duration::ZERO;
    };
    spec.call + spec.piece * stage.pieces.min(spec.pieces) as u32
}

fn piece_order(run: &JobRun, stage: usize, piece: usize, now: Timestamp) -> PieceOrder {
    let spec = &run.job.stages[stage];
    let inputs = spec.after.iter().flat_map(|&a| run.stages[a].results());
    PieceOrder {
        request: run.job.request.clone(),
        stage,
        piece,
        remaining: run.deadline.saturating_sub(now),
        key: if spec.after.is_empty() { run.job.key.clone() } else { None },
        inputs: inputs.map(|m| m.handle).collect(),
    }
}

fn describe(outcome: &BatchOutcome) -> String {
    let BatchOutcome::Pieces(pieces) = outcome else {
        return format!("{outcome:?}");
    };
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for piece in pieces {
        let word = match piece {
            PieceOutcome::Made(_) => "made",
            PieceOutcome::Late => "late",
            PieceOutcome::InputGone => "input_gone",
            PieceOutcome::NoRoom => "no_room",
            PieceOutcome::Failed => "failed",
        };
        *counts.entry(word).or_default() += 1;
    }
    counts.iter().map(|(word, count)| format!("{word}={count}")).collect::<Vec<_>>().join(" ")
}
