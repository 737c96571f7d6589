//! Fills calls of free endpoints with the pieces that wait, most urgent first.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::{Action, PieceOrder};
use crate::direct::note::{Note, ms};
use crate::direct::owner::jobs::{HEAVY, JobRun, Piece};
use crate::direct::owner::scheduler::{Call, PieceId, Scheduler, expected_call};
use crate::direct::published::model::{BatchSpec, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::invariant;
use crate::invariant::Violation;
use crate::message::Timestamp;
use crate::policy::path::HOLD_SLACK;

/// A call is given up after so many times its expected time, and [`PATIENCE`] more.
const OVERDUE: f64 = 2.0;
/// See [`OVERDUE`].
const PATIENCE: Duration = Duration::from_millis(250);
/// A piece waits for an endpoint in its place only while it has so much time to spare. With 350 ms
/// results that cross between data centres cost two fifths less and as much is lost by late answers.
const TIME_FOR_PLACE: Duration = Duration::from_millis(600);
/// Work that can't meet its objective any more comes after all that can.
const MISSED_PENALTY_MS: i64 = 20_000;

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

impl Scheduler {
    /// Fills calls of a pool's free endpoints with the most urgent pieces.
    pub(super) fn fill(&mut self, pool: &Name, table: &Table, now: Timestamp) {
        let Some(spec) = table.batch(pool).cloned() else {
            return;
        };
        let mut waiting = self.waiting(pool, table, now);
        while !waiting.is_empty() {
            let free = self.free_endpoints(pool, &spec, table, now);
            let Some((endpoint, batch)) = next_batch(&free, spec.pieces, &mut waiting) else {
                return;
            };
            self.send(pool, &spec, endpoint, batch, waiting.len(), now);
        }
    }

    /// Pieces of a pool that may be sent, most urgent first.
    fn waiting(&mut self, pool: &Name, table: &Table, now: Timestamp) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for (id, run) in &mut self.jobs {
            for (stage, job_stage) in run.job.stages.iter().enumerate() {
                let is_due = job_stage.pool == *pool && run.stages[stage].waiting() > 0;
                if !is_due || !run.is_open(stage) {
                    continue;
                }
                let call = |i: usize| expected_call(&run.job, i, table);
                if is_held_back(run, stage, now, call) {
                    continue;
                }
                run.stages[stage].opened.get_or_insert(now);
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
        self.let_overflow_go(pool, &mut waiting, table, now);
        waiting
    }

    /// What the next calls at its home can't hold does not wait for them: it would keep endpoints elsewhere
    /// idle. Worth 0.006 of 0.674 in fifteen pairs of days with bursts and losses.
    fn let_overflow_go(&self, pool: &Name, waiting: &mut [Waiting], table: &Table, now: Timestamp) {
        let Some(spec) = table.batch(pool) else {
            return;
        };
        let mut left: HashMap<Name, usize> = HashMap::new();
        for endpoint in self.usable(pool, table, now) {
            *left.entry(endpoint.data_centre.clone()).or_default() += spec.pieces;
        }
        for piece in waiting {
            let left = piece.home.as_ref().and_then(|home| left.get_mut(home));
            match left {
                Some(0) | None => piece.waits_for_home = false,
                Some(left) => *left -= 1,
            }
        }
    }

    /// Data centres with an endpoint of a pool that works.
    pub(super) fn usable_homes(&self, pool: &Name, table: &Table, now: Timestamp) -> HashSet<Name> {
        let usable = self.usable(pool, table, now);
        usable.into_iter().map(|e| e.data_centre.clone()).collect()
    }

    /// Endpoints that take work; avoided ones only where nothing else is left.
    pub(super) fn usable<'a>(
        &self,
        pool: &Name,
        table: &'a Table,
        now: Timestamp,
    ) -> Vec<&'a Arc<Endpoint>> {
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
        let mut waited = Vec::new();
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
            if run.stages[stage].started.is_none() {
                run.stages[stage].started = Some(now);
                waited.extend(run.stages[stage].opened.map(|at| now.saturating_sub(at)));
            }
            total += bytes;
            pieces.push((id, stage, piece, bytes));
        }
        for waited in waited {
            self.waited(pool, spec, waited);
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
                has_fetched: false,
            },
        );
        let timeout = patience * 4;
        self.out.push(Action::Batch { call, endpoint, pieces: orders, timeout });
    }
}

/// The endpoint for the most urgent piece that fits anywhere, and what goes with it in a call of
/// `most` pieces.
fn next_batch(
    free: &[Free],
    most: usize,
    waiting: &mut Vec<Waiting>,
) -> Option<(Arc<Endpoint>, Vec<PieceId>)> {
    let suits = |w: &Waiting, place: &Free| {
        let is_home = w.home.as_ref().is_none_or(|h| *h == place.endpoint.data_centre);
        place.room >= w.bytes && (is_home || !w.waits_for_home)
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
        let fits = batch.len() < most && waiting.bytes <= room;
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

/// Whether a stage that others don't need is begun later, so that its results don't wait.
fn is_held_back(
    run: &JobRun,
    stage: usize,
    now: Timestamp,
    call: impl Fn(usize) -> Duration + Copy,
) -> bool {
    if !run.stands_alone(stage) {
        return false;
    }
    let others = run.remaining(Some(stage), now, call);
    others > call(stage) + HOLD_SLACK
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
