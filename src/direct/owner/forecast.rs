//! What an owner expects of its pools: how long work waits there, and when results fill their room.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::owner::jobs::{JobRun, Piece, StageRun};
use crate::direct::owner::scheduler::{Scheduler, expected_call};
use crate::direct::peers::message::Job;
use crate::direct::published::model::{BatchSpec, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::{FETCHING, HANDED_ON, HOLD_SLACK, StageLoad};
use crate::policy::timeline::Timeline;

/// What is begun comes to its stages one after the other, and calls grow fuller under load: of the
/// time that all of it needs at full calls, so much stands before a newcomer.
const BEFORE_NEWCOMER: f64 = 0.3;
/// A piece that is in a call needs so much of its time, on average.
const RUNNING_REST: f64 = 0.5;
/// The weight of a new measurement.
const NEW_WEIGHT: f64 = 0.1;
/// A call that should have ended is expected to end after so long.
const OVERTIME: Duration = Duration::from_millis(50);

/// How a pool has worked lately, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// From the time when a piece may be made until it is sent.
    wait: f64,
    /// From there until its call ends.
    call: f64,
}

impl Pace {
    /// A pool of which nothing was seen yet: calls are half full and nothing waits.
    fn unknown(spec: &BatchSpec) -> Self {
        let call = spec.call + spec.piece * (spec.pieces as u32 / 2);
        Self { wait: 0.0, call: call.as_secs_f64() }
    }

    fn wait(self) -> Duration {
        Duration::from_secs_f64(self.wait)
    }

    fn call(self) -> Duration {
        Duration::from_secs_f64(self.call)
    }
}

fn towards(before: &mut f64, measured: Duration) {
    *before += (measured.as_secs_f64() - *before) * NEW_WEIGHT;
}

/// When a stage is expected to run, from now.
#[derive(Debug, Clone, Copy, Default)]
struct Run {
    start: Duration,
    end: Duration,
}

/// Moves stages that are held back and not begun to where the others end: counted from the start, their
/// results fill half as much room again as they do. Worth 0.015 of 0.655 in fifteen pairs of days with
/// bursts and losses.
fn hold_back(run: &JobRun, runs: &mut [Run]) {
    let others = (0..runs.len()).filter(|&s| !run.stands_alone(s)).map(|s| runs[s].end).max();
    let Some(others) = others else {
        return;
    };
    for stage in (0..runs.len()).filter(|&s| run.stands_alone(s)) {
        if run.stages[stage].started.is_some() || run.stages[stage].is_done() {
            continue;
        }
        let length = runs[stage].end.saturating_sub(runs[stage].start);
        let start = others.saturating_sub(length + HOLD_SLACK).max(runs[stage].start);
        runs[stage] = Run { start, end: start + length };
    }
}

impl Scheduler {
    fn pace(&self, pool: &Name, spec: &BatchSpec) -> Pace {
        self.paces.get(pool).copied().unwrap_or_else(|| Pace::unknown(spec))
    }

    /// A piece was sent so long after it could have been.
    pub(super) fn waited(&mut self, pool: &Name, spec: &BatchSpec, waited: Duration) {
        let pace = self.paces.entry(pool.clone()).or_insert_with(|| Pace::unknown(spec));
        towards(&mut pace.wait, waited);
    }

    /// A call ended after so long.
    pub(super) fn called(&mut self, pool: &Name, spec: &BatchSpec, took: Duration) {
        let pace = self.paces.entry(pool.clone()).or_insert_with(|| Pace::unknown(spec));
        towards(&mut pace.call, took);
    }

    /// How each pool of a job stands, for admission.
    pub(super) fn loads(&self, job: &Job, table: &Table, now: Timestamp) -> Vec<StageLoad> {
        let taken = self.rooms_taken(table, now).into_iter();
        let taken = taken.map(|(pool, timeline)| (pool, Arc::new(timeline))).collect();
        let stages = 0..job.stages.len();
        stages.map(|i| self.load(job, i, &taken, table, now)).collect()
    }

    fn load(
        &self,
        job: &Job,
        index: usize,
        taken: &HashMap<Name, Arc<Timeline>>,
        table: &Table,
        now: Timestamp,
    ) -> StageLoad {
        let stage = &job.stages[index];
        let is_done = stage.pieces == 0 || stage.done.len() == stage.pieces;
        let mut load = StageLoad {
            after: stage.after.clone(),
            is_done,
            slots: 0.0,
            backlog: Duration::ZERO,
            call: expected_call(job, index, table),
            room: 0.0,
            taken: taken.get(&stage.pool).cloned().unwrap_or_default(),
            wanted: (stage.pieces as u64 * stage.result_bytes) as f64,
        };
        let Some(spec) = table.batch(&stage.pool) else {
            return load;
        };
        let usable = self.usable(&stage.pool, table, now);
        load.slots = usable.len() as f64 * f64::from(spec.slots);
        load.room = usable.iter().map(|e| self.room_of(e, spec, now) as f64).sum();
        load.backlog = self.backlog(&stage.pool, spec);
        load
    }

    /// The room of an endpoint that others leave to this owner.
    fn room_of(&self, endpoint: &Endpoint, spec: &BatchSpec, now: Timestamp) -> u64 {
        spec.room_bytes.saturating_sub(self.makers.of_others(&endpoint.id, now))
    }

    /// The time of slots that stands before a newcomer.
    fn backlog(&self, pool: &Name, spec: &BatchSpec) -> Duration {
        let full_call = spec.call.div_f64(spec.pieces as f64) + spec.piece;
        let share = full_call.mul_f64(BEFORE_NEWCOMER);
        let stages = self.jobs.values().flat_map(|run| run.job.stages.iter().zip(&run.stages));
        let here = stages.filter(|(spec, _)| spec.pool == *pool);
        let pieces = here.map(|(_, state)| {
            let waiting = state.waiting() as f64;
            (state.open() as f64 - waiting).mul_add(RUNNING_REST, waiting)
        });
        share.mul_f64(pieces.sum())
    }

    /// When the results of all that is begun fill room, by pool.
    fn rooms_taken(&self, table: &Table, now: Timestamp) -> HashMap<Name, Timeline> {
        let mut rooms: HashMap<Name, Timeline> = HashMap::new();
        for run in self.jobs.values() {
            let runs = self.expected_runs(run, table, now);
            let end = runs.iter().map(|r| r.end).max().unwrap_or_default();
            for (index, (spec, stage)) in run.job.stages.iter().zip(&run.stages).enumerate() {
                let users = run.job.stages.iter().zip(&runs);
                let users = users.filter(|(s, _)| s.after.contains(&index)).map(|(_, r)| r.start);
                let freed = users
                    .max()
                    .map_or(end + run.job.after.min(HANDED_ON), |start| start + FETCHING);
                let bytes = (stage.unused() as u64 * spec.result_bytes) as f64;
                if bytes > 0.0 {
                    let room = rooms.entry(spec.pool.clone()).or_default();
                    room.add(runs[index].start, freed, bytes);
                }
            }
        }
        rooms
    }

    /// When the stages of a job that was begun are expected to run.
    fn expected_runs(&self, run: &JobRun, table: &Table, now: Timestamp) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::with_capacity(run.stages.len());
        for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
            let ready = spec.after.iter().map(|&a| runs[a].end).max().unwrap_or_default();
            let Some(batch) = table.batch(&spec.pool).filter(|_| !stage.is_done()) else {
                runs.push(Run { start: Duration::ZERO, end: ready });
                continue;
            };
            let pace = self.pace(&spec.pool, batch);
            let waiting = ready + pace.wait() + pace.call();
            let at_work = self.rest_of_calls(stage, now);
            runs.push(match at_work {
                Some(rest) if stage.waiting() == 0 => Run { start: Duration::ZERO, end: rest },
                Some(rest) => Run { start: Duration::ZERO, end: rest.max(waiting) },
                None => Run { start: ready + pace.wait(), end: waiting },
            });
        }
        hold_back(run, &mut runs);
        runs
    }

    /// How long the calls with pieces of a stage still take, where there are any.
    fn rest_of_calls(&self, stage: &StageRun, now: Timestamp) -> Option<Duration> {
        let calls = stage.pieces.iter().filter_map(|piece| match piece {
            Piece::Running { call, .. } => self.calls.get(call),
            _ => None,
        });
        calls.map(|call| (call.sent + call.expected).saturating_sub(now).max(OVERTIME)).max()
    }
}
