//! Recomputes an owner's decisions from all jobs, slowly and simply, to check the state that the
//! owner keeps incrementally.

mod loads;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::AddAssign;
use std::time::Duration;

use stackmast::direct::event::Action;
use stackmast::direct::log_events::{LogEvent, ms};
use stackmast::direct::owner::inspect::PoolState;
use stackmast::direct::owner::jobs::{JobRun, Piece};
use stackmast::direct::owner::placement::{AwayReason, away_reason};
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId};
use stackmast::direct::published::model::{BatchSpec, Name};
use stackmast::direct::published::table::Table;
use stackmast::policy::path::{DEFERRAL_MARGIN, PathDecision, PathRefusal, StageLoad, admit_path};
use stackmast::policy::urgency::Urgency;

use loads::{gives_way, load};

/// Share of a call that is kept for pieces that missed their latest start long ago.
const KEPT_FOR_OVERDUE: f64 = 0.125;
/// Milliseconds after its latest start from which a piece belongs to them.
const OVERDUE_MS: i64 = 1_000;
/// Maximum number of jobs that give way to one.
const MAX_GIVING_WAY: usize = 4;
/// Results of this many bytes bind a piece to a data centre.
const HEAVY: u64 = 100_000;
/// A call that should have ended longer ago than this is not expected to end soon.
const OVERRUN: Duration = Duration::from_millis(50);

/// Number of full calls for which waiting pieces are examined.
const CALLS_EXAMINED: usize = 2;

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
    /// All jobs submitted so far, and when.
    arrived: Vec<(Duration, Job)>,
    /// Number of jobs that gave way, as recomputed.
    pub gave_way: usize,
    /// The first call of each pool as recomputed.
    next: HashMap<Name, Vec<(Name, usize, usize)>>,
}

impl Recount {
    pub fn submits(&mut self, owner: &mut Scheduler, job: &Job, table: &Table, now: Duration) {
        let mut without = BTreeSet::new();
        let mut decision = self.decide(owner, job, &without, table, now);
        while decision.refusal == Some(PathRefusal::InsufficientMemory)
            && without.len() < MAX_GIVING_WAY
        {
            let Some(next) = gives_way(owner, job, decision.bottleneck, &without) else {
                break;
            };
            without.insert(next);
            decision = self.decide(owner, job, &without, table, now);
        }
        self.gave_way += if decision.refusal.is_none() { without.len() } else { 0 };
        self.decided = Some(decision.refusal.is_none());
        if decision.refusal != Some(PathRefusal::NoEndpoint) {
            self.arrived.push((now, job.clone()));
        }
    }

    fn decide(
        &self,
        owner: &mut Scheduler,
        job: &Job,
        without: &BTreeSet<JobId>,
        table: &Table,
        now: Duration,
    ) -> PathDecision {
        let load = |stage| load(owner, job, stage, without, &self.arrived, table, now);
        let loads: Vec<StageLoad> = (0..job.stages.len()).map(load).collect();
        admit_path(&loads, job.after_stages, job.to_objective)
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
            // Only deferred stages that are queued: `compare` allows a delay of 25 ms for them.
            let queued = |w: &WaitingPiece| {
                is_prompt(owner, w.piece.0, w.piece.1)
                    || kept.queued.iter().any(|r| (r.job, r.stage) == (w.piece.0, w.piece.1))
            };
            let waiting = waiting.into_iter().filter(queued).collect();
            let batch = next_batch(&kept, spec, waiting, table, now);
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
        queued.retain(|(job, stage)| {
            is_prompt(owner, *job, *stage) || kept_queue.contains(&(*job, *stage))
        });
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

/// Whether a stage is never deferred.
fn is_prompt(owner: &Scheduler, job: JobId, stage: usize) -> bool {
    let run = owner.active_jobs().find(|(id, _)| **id == job);
    run.is_none_or(|(_, run)| !run.is_independent(stage))
}

/// A piece that may be sent.
struct WaitingPiece {
    urgency: Urgency,
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
            let slack_ms = ms(run.admitted_end) as i64 - ms(rest) as i64 - ms(now) as i64;
            let home = run.preferred_data_centre(stage).filter(|_| run.moved_bytes(stage) >= HEAVY);
            let pieces = run.stages[stage].pieces.iter().enumerate();
            let open = pieces.filter(|(_, p)| matches!(p, Piece::Waiting { .. }));
            waiting.extend(open.map(|(piece, _)| WaitingPiece {
                urgency: run.urgency,
                piece: (*id, stage, piece),
                slack_ms,
                bytes: spec.result_bytes,
                home: home.cloned(),
            }));
        }
    }
    waiting.sort_unstable_by_key(|w| (w.slack_ms < 0, w.urgency, w.slack_ms, w.piece));
    waiting
}

fn is_held_back(run: &JobRun, stage: usize, now: Duration) -> bool {
    run.is_independent(stage)
        && run.remaining_time(Some(stage), now) > run.calls[stage] + DEFERRAL_MARGIN
}

/// For each piece, why it accepts an endpoint away from its home; decided for all pieces of a stage
/// at once.
fn placements(
    kept: &PoolState,
    spec: &BatchSpec,
    waiting: &[WaitingPiece],
    free: &[(Name, u64)],
    now: Duration,
) -> Vec<Option<AwayReason>> {
    let mut ahead: HashMap<&Name, usize> = HashMap::new();
    let mut examined: BTreeMap<(&Name, Urgency, bool), usize> = BTreeMap::new();
    let mut placed = Vec::new();
    let same_stage =
        |a: &WaitingPiece, b: &WaitingPiece| a.piece.0 == b.piece.0 && a.piece.1 == b.piece.1;
    for stage in waiting.chunk_by(same_stage) {
        let Some(home) = &stage[0].home else {
            placed.extend(stage.iter().map(|_| None));
            continue;
        };
        let before = ahead.entry(home).or_default();
        let near = near_start(kept, spec, free, (home, stage[0].bytes), *before + stage.len(), now);
        let now_ms = ms(now) as i64;
        let latest_ms = now_ms + stage[0].slack_ms;
        let latest = (stage[0].slack_ms >= 0).then(|| Duration::from_millis(latest_ms as u64));
        let rooms = free.iter().filter(|place| place.0 == *home).map(|place| place.1);
        let lacks_memory = rooms.max().is_some_and(|room| room < stage[0].bytes);
        let is_stuck = lacks_memory && latest.is_none();
        let away = if is_stuck {
            Some(AwayReason::NoMemory)
        } else {
            away_reason(near, latest, spec, now)
        };
        *before += if away.is_none() { stage.len() } else { 0 };
        // Only two full calls of each urgency of a home are examined; further ones wait.
        let is_home_free = is_home_free(&stage[0], free);
        let class = (home, stage[0].urgency, stage[0].slack_ms < 0);
        let examined = examined.entry(class).or_default();
        let is_examined = *examined < CALLS_EXAMINED * spec.pieces;
        *examined += if away.is_some() || is_home_free { stage.len() } else { 0 };
        let away = away.filter(|_| is_examined);
        placed.extend(stage.iter().map(|_| away));
    }
    placed
}

/// When the last of the first `pieces` pieces of a home, which has this many bytes, is expected to
/// start there.
fn near_start(
    kept: &PoolState,
    spec: &BatchSpec,
    free: &[(Name, u64)],
    (home, bytes): (&Name, u64),
    pieces: usize,
    now: Duration,
) -> Option<Duration> {
    let rooms: Vec<u64> = free.iter().filter(|f| f.0 == *home).map(|f| f.1).collect();
    let mut round = vec![now; rooms.len()];
    let ends = kept.in_flight.iter().filter(|(place, end)| place == home && *end + OVERRUN >= now);
    round.extend(ends.map(|(_, end)| (*end).max(now + Duration::from_millis(1))));
    round.sort_unstable();
    let call = (pieces - 1) / spec.pieces;
    let start = round.get(call % round.len().max(1))?;
    let start = *start + spec.full_call() * (call / round.len()) as u32;
    let lacks_memory = rooms.iter().max().is_some_and(|room| *room < bytes);
    Some(if lacks_memory { start.max(now + spec.full_call()) } else { start })
}

/// Computes the first call: the endpoint for the most urgent piece that fits anywhere, and the
/// pieces that are sent with it.
fn next_batch(
    kept: &PoolState,
    spec: &BatchSpec,
    waiting: Vec<WaitingPiece>,
    table: &Table,
    now: Duration,
) -> Pieces {
    let place = |id: &Name| table.endpoint(id).map(|e| e.data_centre.clone()).unwrap_or_default();
    let free: Vec<(Name, u64)> = kept.free.iter().map(|(id, room)| (place(id), *room)).collect();
    let placed = placements(kept, spec, &waiting, &free, now);
    let waiting = waiting.into_iter().zip(placed).collect();
    let waiting =
        if kept.owes_others { by_rank(waiting) } else { overdue_first(waiting, &free, spec) };
    let (waiting, waits_for_home): (Vec<_>, Vec<bool>) = waiting
        .into_iter()
        .map(|(w, placed)| {
            let waits = w.home.is_some() && placed.is_none();
            (w, waits)
        })
        .unzip();
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

/// Whether the home of a piece has a free endpoint with room for it.
fn is_home_free(w: &WaitingPiece, free: &[(Name, u64)]) -> bool {
    free.iter().any(|f| Some(&f.0) == w.home.as_ref() && f.1 >= w.bytes)
}

/// Moves the stages that missed their latest start long ago to the front, the oldest first, until
/// the part of the call that is kept for them is full. Pieces that only use idle capacity elsewhere
/// are examined after the others.
fn overdue_first(
    waiting: Vec<(WaitingPiece, Option<AwayReason>)>,
    free: &[(Name, u64)],
    spec: &BatchSpec,
) -> Vec<(WaitingPiece, Option<AwayReason>)> {
    let kept = ((spec.pieces as f64 * KEPT_FOR_OVERDUE) as usize).max(1);
    let is_overdue = |(w, placed): &(WaitingPiece, Option<AwayReason>)| {
        let may_be_sent = w.home.is_none() || placed.is_some() || is_home_free(w, free);
        may_be_sent && w.slack_ms < -OVERDUE_MS
    };
    let (mut overdue, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_overdue);
    overdue.sort_by_key(|(w, _)| (w.slack_ms, w.urgency, w.piece));
    let mut stages: Vec<(JobId, usize)> = Vec::new();
    for (pieces, (w, _)) in overdue.iter().enumerate() {
        let stage = (w.piece.0, w.piece.1);
        if !stages.contains(&stage) {
            if pieces >= kept {
                break;
            }
            stages.push(stage);
        }
    }
    let (mut front, mut back): (Vec<_>, Vec<_>) =
        overdue.into_iter().partition(|(w, _)| stages.contains(&(w.piece.0, w.piece.1)));
    back.extend(rest);
    front = by_rank(front);
    back = by_rank(back);
    front.into_iter().chain(back).collect()
}

/// Orders pieces by rank; those that only use idle capacity elsewhere are examined after the
/// others.
fn by_rank(
    mut waiting: Vec<(WaitingPiece, Option<AwayReason>)>,
) -> Vec<(WaitingPiece, Option<AwayReason>)> {
    waiting.sort_by_key(|(w, placed)| {
        let is_last = *placed == Some(AwayReason::LongWait);
        (w.slack_ms < 0, is_last, w.urgency, w.slack_ms, w.piece)
    });
    waiting
}
