//! Recomputes an owner's decisions from all jobs, slowly and simply, to check the state that the
//! owner keeps incrementally.

use std::collections::{BTreeMap, HashMap};
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;

use stackmast::direct::event::Action;
use stackmast::direct::log_events::{LogEvent, ms};
use stackmast::direct::owner::inspect::PoolState;
use stackmast::direct::owner::jobs::{JobRun, Piece};
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId};
use stackmast::direct::published::model::{BatchSpec, Name};
use stackmast::direct::published::table::Table;
use stackmast::policy::path::{DEFERRAL_MARGIN, Reserved, StageLoad, admit_path};
use stackmast::policy::timeline::Timeline;

/// Share of the time that all started work needs in full calls that is planned ahead of a new job.
const BEFORE_NEWCOMER: f64 = 0.3;
/// Share of its call's time that a piece in a call still needs.
const RUNNING_REST: f64 = 0.5;
/// Results of this many bytes bind a piece to a data centre.
const HEAVY: u64 = 100_000;
/// A piece waits for its data centre only if it has at least this much time to spare.
const TIME_FOR_PLACE_MS: i64 = 600;

type Pieces = Vec<(JobId, usize, usize)>;

/// Differences between the two computations.
#[derive(Debug, Default, Clone, Copy)]
pub struct Compared {
    pub states: usize,
    pub differing_states: usize,
    pub decisions: usize,
    pub refused: usize,
    pub refused_only_recomputed: usize,
    pub refused_only_kept: usize,
    pub calls: usize,
    pub differing_calls: usize,
}

impl AddAssign for Compared {
    fn add_assign(&mut self, other: Self) {
        self.states += other.states;
        self.differing_states += other.differing_states;
        self.decisions += other.decisions;
        self.refused += other.refused;
        self.refused_only_recomputed += other.refused_only_recomputed;
        self.refused_only_kept += other.refused_only_kept;
        self.calls += other.calls;
        self.differing_calls += other.differing_calls;
    }
}

/// Recomputes the decisions of an owner.
#[derive(Default)]
pub struct Recount {
    pub compared: Compared,
    /// Whether the job that was just submitted is admitted.
    decided: Option<bool>,
    /// The first call of each pool as recomputed.
    next: HashMap<Name, Vec<(Name, usize, usize)>>,
}

impl Recount {
    pub fn submits(&mut self, owner: &mut Scheduler, job: &Job, table: &Table, now: Duration) {
        let loads: Vec<StageLoad> =
            (0..job.stages.len()).map(|stage| load(owner, job, stage, table, now)).collect();
        let decision = admit_path(&loads, job.after_stages, job.to_objective, job.priority);
        self.decided = Some(decision.refusal.is_none());
    }

    pub fn fills(&mut self, owner: &mut Scheduler, table: &Table, now: Duration) {
        self.next.clear();
        for pool in &table.deployment.pools {
            let Some(kept) = owner.pool_state(&pool.name, table, now) else {
                continue;
            };
            let Some(spec) = table.batch_spec(&pool.name) else {
                continue;
            };
            let waiting = waiting(owner, &pool.name, now);
            self.compare(&kept, owner, &pool.name, &waiting, table, now);
            let batch = next_batch(&kept, spec, waiting, table);
            let named = batch.into_iter().map(|(id, stage, piece)| {
                let run = owner.active_jobs().find(|(held, _)| **held == id);
                (run.map(|(_, r)| r.job.request.clone()).unwrap_or_default(), stage, piece)
            });
            self.next.insert(pool.name.clone(), named.collect());
        }
    }

    pub fn acts(&mut self, actions: &[Action]) {
        let mut seen = Vec::new();
        for action in actions {
            match action {
                Action::Log(LogEvent::StagesDecided { admitted, .. }) => self.decision(*admitted),
                Action::CallBatch { endpoint, pieces, .. } => {
                    let pool = endpoint.labels.get("service").map_or("", String::as_str);
                    if seen.contains(&pool) {
                        continue;
                    }
                    seen.push(pool);
                    let pieces: Vec<_> =
                        pieces.iter().map(|p| (p.request.clone(), p.stage, p.piece)).collect();
                    self.compared.calls += 1;
                    let same = self.next.get(pool).is_some_and(|next| *next == pieces);
                    self.compared.differing_calls += usize::from(!same);
                }
                _ => {}
            }
        }
    }

    fn decision(&mut self, admitted: bool) {
        let Some(recomputed) = self.decided.take() else {
            return;
        };
        self.compared.decisions += 1;
        self.compared.refused += usize::from(!recomputed);
        self.compared.refused_only_recomputed += usize::from(!recomputed && admitted);
        self.compared.refused_only_kept += usize::from(recomputed && !admitted);
    }

    fn compare(
        &mut self,
        kept: &PoolState,
        owner: &Scheduler,
        pool: &str,
        waiting: &[WaitingPiece],
        table: &Table,
        now: Duration,
    ) {
        self.compared.states += 1;
        let (mut waits, mut open) = (0, 0);
        let mut open_at: BTreeMap<Name, usize> = BTreeMap::new();
        for (_, run) in owner.active_jobs() {
            for (index, (spec, stage)) in run.job.stages.iter().zip(&run.stages).enumerate() {
                if *spec.pool != *pool {
                    continue;
                }
                waits += stage.waiting();
                open += stage.unfinished();
                let home = run.heavy_data_centre.clone().filter(|_| run.is_heavy(index));
                if let Some(home) = home.filter(|_| stage.unfinished() > 0) {
                    *open_at.entry(home).or_default() += stage.unfinished();
                }
            }
        }
        // A deferred stage is checked every 25 ms; it may be queued later than recomputed, never
        // earlier.
        let mut queued: Vec<(JobId, usize)> =
            waiting.iter().map(|w| (w.piece.0, w.piece.1)).collect();
        queued.dedup();
        let kept_queue: Vec<_> = kept.queued.iter().map(|r| (r.job, r.stage)).collect();
        let is_prompt = |job: &JobId, stage: usize| {
            let run = owner.active_jobs().find(|(id, _)| *id == job);
            run.is_none_or(|(_, run)| !run.is_independent(stage))
        };
        queued
            .retain(|(job, stage)| is_prompt(job, *stage) || kept_queue.contains(&(*job, *stage)));
        let free: Vec<&Name> = kept.free.keys().collect();
        let listed = free.iter().all(|id| table.pool_endpoints(pool).iter().any(|e| e.id == **id));
        let same = (kept.waiting, kept.waiting + kept.running) == (waits, open)
            && kept.unfinished_in == open_at
            && kept_queue == queued
            && listed;
        if !same {
            println!("{now:?} {pool}: {kept:?}\n{waits} {open} {open_at:?} {queued:?}");
        }
        self.compared.differing_states += usize::from(!same);
    }
}

/// A piece that may be sent.
struct WaitingPiece {
    piece: (JobId, usize, usize),
    slack_ms: i64,
    bytes: u64,
    home: Option<Name>,
}

fn waiting(owner: &Scheduler, pool: &str, now: Duration) -> Vec<WaitingPiece> {
    let mut waiting = Vec::new();
    for (id, run) in owner.active_jobs() {
        for (stage, spec) in run.job.stages.iter().enumerate() {
            if *spec.pool != *pool || !run.is_runnable(stage) || is_held_back(run, stage, now) {
                continue;
            }
            let rest = run.critical_path_from(stage) + run.job.after_stages;
            let slack_ms = ms(run.objective) as i64 - ms(rest) as i64 - ms(now) as i64;
            let home = run.preferred_data_centre(stage).filter(|_| run.moved_bytes(stage) >= HEAVY);
            let pieces = run.stages[stage].pieces.iter().enumerate();
            let open = pieces.filter(|(_, p)| matches!(p, Piece::Waiting { .. }));
            waiting.extend(open.map(|(piece, _)| WaitingPiece {
                piece: (*id, stage, piece),
                slack_ms,
                bytes: spec.result_bytes,
                home: home.cloned(),
            }));
        }
    }
    waiting.sort_unstable_by_key(|w| (w.slack_ms < 0, w.slack_ms, w.piece));
    waiting
}

fn is_held_back(run: &JobRun, stage: usize, now: Duration) -> bool {
    run.is_independent(stage)
        && run.remaining_time(Some(stage), now) > run.calls[stage] + DEFERRAL_MARGIN
}

/// Computes the first call: the endpoint for the most urgent piece that fits anywhere, and the
/// pieces that are sent with it.
fn next_batch(
    kept: &PoolState,
    spec: &BatchSpec,
    waiting: Vec<WaitingPiece>,
    table: &Table,
) -> Pieces {
    let place = |id: &Name| table.endpoint(id).map(|e| e.data_centre.clone()).unwrap_or_default();
    let free: Vec<(Name, u64)> = kept.free.iter().map(|(id, room)| (place(id), *room)).collect();
    let next_calls = kept.usable.iter().map(|(dc, count)| (dc.clone(), count * spec.pieces));
    let mut held: HashMap<Name, usize> = next_calls.collect();
    let waits_for_home: Vec<bool> = waiting
        .iter()
        .map(|w| {
            let left = w.home.as_ref().and_then(|home| held.get_mut(home));
            match left {
                Some(0) | None => false,
                Some(left) => {
                    *left -= 1;
                    w.slack_ms > TIME_FOR_PLACE_MS
                }
            }
        })
        .collect();
    let suits = |index: usize, place: &(Name, u64)| {
        let w = &waiting[index];
        let is_home = w.home.as_ref().is_none_or(|home| *home == place.0);
        place.1 >= w.bytes && (is_home || !waits_for_home[index])
    };
    let first = (0..waiting.len()).find_map(|index| {
        let suiting = free.iter().filter(|place| suits(index, place));
        let at_home = |p: &&(Name, u64)| waiting[index].home.as_ref() == Some(&p.0);
        Some((index, suiting.max_by_key(|p| (at_home(p), p.1))?.clone()))
    });
    let Some((first, place)) = first else {
        return Vec::new();
    };
    let mut room = place.1;
    let mut batch = Vec::new();
    let mut rest: Vec<usize> = (first..waiting.len()).collect();
    while let Some(index) = rest.first().copied() {
        // The pieces of one stage are sent together, or not with pieces of other stages.
        let of = |i: &usize| (waiting[*i].piece.0, waiting[*i].piece.1, waits_for_home[*i]);
        let count = rest.iter().take_while(|i| of(i) == of(&index)).count();
        let pieces: Vec<usize> = rest.drain(..count).collect();
        let bytes = waiting[index].bytes;
        let fit = room.checked_div(bytes).map_or(usize::MAX, |fit| fit as usize);
        let taken = count.min(spec.pieces - batch.len()).min(fit);
        if suits(index, &place) && (taken == count || batch.is_empty()) {
            room -= taken as u64 * bytes;
            batch.extend(pieces[..taken].iter().map(|i| waiting[*i].piece));
        }
    }
    batch
}

fn load(owner: &mut Scheduler, job: &Job, index: usize, table: &Table, now: Duration) -> StageLoad {
    let stage = &job.stages[index];
    let spec = table.batch_spec(&stage.pool).expect("it works in batches");
    let kept = owner.pool_state(&stage.pool, table, now).expect("endpoints are listed");
    let endpoints = kept.usable.values().sum::<usize>() as f64;
    let call = spec.call_overhead + spec.piece_time * stage.pieces.min(spec.pieces) as u32;
    let mut pieces = 0.0;
    let mut memory_in_use = Timeline::default();
    for (_, run) in owner.active_jobs() {
        let fillings = owner.planned_occupancy(run, table, now);
        for ((spec, state), filling) in run.job.stages.iter().zip(&run.stages).zip(fillings) {
            if spec.pool != stage.pool {
                continue;
            }
            let waiting = state.waiting() as f64;
            pieces += (state.unfinished() as f64 - waiting).mul_add(RUNNING_REST, waiting);
            if let Some(filling) = filling {
                memory_in_use.add(filling.from, filling.until, filling.bytes as f64);
            }
        }
    }
    let full_call = spec.call_overhead.div_f64(spec.pieces as f64) + spec.piece_time;
    let reserved = owner.reserved_by_places(&stage.pool, job.priority, now);
    StageLoad {
        after: stage.after.clone(),
        is_done: false,
        slots: endpoints,
        backlog: full_call.mul_f64(BEFORE_NEWCOMER).mul_f64(pieces),
        call,
        result_memory: endpoints * spec.result_memory_bytes as f64 - kept.used_by_others as f64,
        memory_in_use: Arc::new(memory_in_use),
        required_memory: (stage.pieces as u64 * stage.result_bytes) as f64,
        reserved: Reserved { slot_time: reserved.slot_time, memory: reserved.memory as f64 },
    }
}
