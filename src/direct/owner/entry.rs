//! The ledger entry of a job, computed from its current state.

use std::time::Duration;

use crate::direct::log_events::ms;
use crate::direct::owner::bookings::Booking;
use crate::direct::owner::jobs::{HEAVY, JobRun};
use crate::direct::owner::ledger::{Entry, StageEntry};
use crate::direct::owner::plan::{Basis, Filling, expected_runs, fillings};
use crate::direct::owner::queue::{Rank, Waiting};
use crate::message::Timestamp;
use crate::policy::path::HOLD_SLACK;
use crate::policy::timeline::STEP;

/// Minimum time until a deferred stage is checked again.
const HELD_LOOK: Duration = Duration::from_millis(25);

/// Computes the current ledger entry of a job.
///
/// The expected times of a job move with the clock while it waits for a call or for its results to
/// be fetched; its entry is then refreshed after each [`STEP`] of the timeline, and otherwise when
/// a stage should have started or ended. A job to which nothing happens is therefore refreshed at
/// most twenty times a second.
pub(super) fn entry(run: &mut JobRun, basis: Basis<'_>) -> Entry {
    let fillings = fillings(run, &expected_runs(run, basis));
    let moves_on = moves_on(run);
    let mut review: Option<Duration> = None;
    let mut stages = Vec::with_capacity(fillings.len());
    for (stage, filling) in fillings.into_iter().enumerate() {
        let held_for = held_back_for(run, stage, basis.now);
        let plan_ends = filling.map(|f| plan_ends(run, stage, f)).filter(|_| !moves_on);
        let moves_on = moves_on.then_some(STEP);
        let held_for_more = held_for.filter(|wait| !wait.is_zero()).map(|w| w.max(HELD_LOOK));
        review = [review, plan_ends, moves_on, held_for_more].into_iter().flatten().min();
        if held_for == Some(Duration::ZERO) {
            run.stages[stage].opened.get_or_insert(basis.now);
        }
        stages.push(stage_entry(run, stage, held_for, filling, basis.now));
    }
    Entry { stages, review: review.map(|time| basis.now + time) }
}

/// Time until a stage should have started, or until its results should have been fetched.
fn plan_ends(run: &JobRun, stage: usize, filling: Filling) -> Duration {
    let is_begun = run.stages[stage].started.is_some() || filling.from.is_zero();
    let ends = if is_begun { filling.until } else { filling.from };
    ends.max(STEP)
}

fn stage_entry(
    run: &JobRun,
    stage: usize,
    held_for: Option<Duration>,
    filling: Option<Filling>,
    now: Timestamp,
) -> StageEntry {
    let waiting = run.stages[stage].waiting();
    // On average, an entry that moves with the clock is refreshed this late.
    let late = if moves_on(run) { STEP / 2 } else { Duration::ZERO };
    StageEntry {
        waiting,
        running: run.stages[stage].open() - waiting,
        home: run.inner_home.clone().filter(|_| run.is_heavy(stage)),
        queued: (held_for == Some(Duration::ZERO)).then(|| queued(run, stage, waiting)),
        booking: filling.map(|f| Booking::new(f.from + late, f.until + late, f.bytes, now)),
    }
}

/// Whether the expected times of a job move with the clock: it waits for a call, or for its results
/// to be fetched.
fn moves_on(run: &JobRun) -> bool {
    let waits = |stage: usize| run.stages[stage].waiting() > 0 && run.is_open(stage);
    run.ready || (0..run.stages.len()).any(waits)
}

fn queued(run: &JobRun, stage: usize, pieces: usize) -> Waiting {
    let rest = run.from_stage(stage) + run.job.after;
    let latest_start_ms = ms(run.objective) as i64 - ms(rest) as i64;
    let home = run.home(stage).filter(|_| run.moved_bytes(stage) >= HEAVY).cloned();
    let rank = Rank { latest_start_ms, job: run.job.id, stage };
    let (bytes, homes) = (run.job.stages[stage].result_bytes, run.job.homes.clone());
    Waiting { rank, pieces, bytes, home, homes }
}

/// How much longer the waiting pieces of a stage are deferred if the job does not change: an
/// independent stage is started late enough to end with the others, so that its results don't
/// occupy memory while they wait. `None` where no piece may be sent.
fn held_back_for(run: &JobRun, stage: usize, now: Timestamp) -> Option<Duration> {
    if run.stages[stage].waiting() == 0 || !run.is_open(stage) {
        return None;
    }
    if !run.stands_alone(stage) {
        return Some(Duration::ZERO);
    }
    let others = run.remaining(Some(stage), now);
    Some(others.saturating_sub(run.calls[stage] + HOLD_SLACK))
}
