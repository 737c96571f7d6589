//! When the stages of an admitted job are expected to run and to occupy result memory.

use std::time::Duration;

use crate::direct::owner::calls::{Call, Calls};
use crate::direct::owner::jobs::{JobRun, Piece, StageRun};
use crate::direct::owner::timings::Timings;
use crate::direct::peers::message::JobStage;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::{DEFERRAL_MARGIN, FINAL_RESULT_HOLD_TIME, INPUT_FETCH_TIME};

/// Expected remaining time of a call that should have ended already.
const OVERTIME: Duration = Duration::from_millis(50);

/// State from which plans are computed.
#[derive(Clone, Copy)]
pub struct PlanContext<'a> {
    pub(super) timings: &'a Timings,
    pub(super) calls: &'a Calls,
    pub(super) table: &'a Table,
    pub(super) now: Timestamp,
}

/// Expected start and end of a stage, as times from now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExpectedRun {
    /// Start of the first call.
    pub start: Duration,
    /// End of the last call.
    pub end: Duration,
}

/// Result memory that a stage is expected to occupy, with times from now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Start of the first call.
    pub from: Duration,
    /// Time when the results are no longer needed.
    pub until: Duration,
    /// Size of the results in bytes.
    pub bytes: u64,
}

/// When each stage of a job is expected to run.
pub fn expected_runs(run: &JobRun, context: PlanContext<'_>) -> Vec<ExpectedRun> {
    let mut runs: Vec<ExpectedRun> = Vec::with_capacity(run.stages.len());
    for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
        let ready = spec.after.iter().map(|&a| runs[a].end).max().unwrap_or_default();
        let batch = context.table.batch_spec(&spec.pool).filter(|_| !stage.is_done());
        let Some(batch) = batch else {
            runs.push(ExpectedRun { start: Duration::ZERO, end: ready });
            continue;
        };
        let pool_timings = context.timings.get(&spec.pool, batch, context.now);
        let waiting = ready + pool_timings.wait() + pool_timings.call();
        let running = remaining_call_time(stage, context);
        runs.push(match running {
            Some(rest) if stage.waiting() == 0 => ExpectedRun { start: Duration::ZERO, end: rest },
            Some(rest) => ExpectedRun { start: Duration::ZERO, end: rest.max(waiting) },
            None => ExpectedRun { start: ready + pool_timings.wait(), end: waiting },
        });
    }
    defer(run, &mut runs);
    runs
}

/// Result memory that each stage occupies if the stages run as given; `None` where it occupies
/// none.
pub fn occupancies(run: &JobRun, runs: &[ExpectedRun]) -> Vec<Option<Occupancy>> {
    let end = runs.iter().map(|r| r.end).max().unwrap_or_default();
    let stages = run.job.stages.iter().zip(&run.stages).enumerate();
    let occupancy = |(index, (spec, stage)): (usize, (&_, &StageRun))| {
        let spec: &JobStage = spec;
        let bytes = stage.unfreed() as u64 * spec.result_bytes;
        let users = run.job.stages.iter().zip(runs);
        let users = users.filter(|(s, _)| s.after.contains(&index)).map(|(_, r)| r.start);
        let handed_on = end + run.job.after_stages.min(FINAL_RESULT_HOLD_TIME);
        let until = users.max().map_or(handed_on, |start| start + INPUT_FETCH_TIME);
        (bytes > 0).then_some(Occupancy { from: runs[index].start, until, bytes })
    };
    stages.map(occupancy).collect()
}

/// Moves deferred stages that have not started to where the others end: counted from the start,
/// their results would seem to occupy half as much memory again as they do.
fn defer(run: &JobRun, runs: &mut [ExpectedRun]) {
    let others = (0..runs.len()).filter(|&s| !run.is_independent(s)).map(|s| runs[s].end).max();
    let Some(others) = others else {
        return;
    };
    for stage in (0..runs.len()).filter(|&s| run.is_independent(s)) {
        if run.stages[stage].started.is_some() || run.stages[stage].is_done() {
            continue;
        }
        let length = runs[stage].end.saturating_sub(runs[stage].start);
        let start = others.saturating_sub(length + DEFERRAL_MARGIN).max(runs[stage].start);
        runs[stage] = ExpectedRun { start, end: start + length };
    }
}

/// Expected remaining time of the running calls of a stage; `None` if there are none.
fn remaining_call_time(stage: &StageRun, context: PlanContext<'_>) -> Option<Duration> {
    let calls = stage.pieces.iter().filter_map(|piece| match piece {
        Piece::Running { call, .. } => context.calls.get(call),
        _ => None,
    });
    let remaining =
        |call: &Call| (call.sent + call.expected).saturating_sub(context.now).max(OVERTIME);
    calls.map(remaining).max()
}
