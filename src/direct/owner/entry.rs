//! The ledger entry of a job, computed from its current state.

use std::time::Duration;

use crate::direct::log_events::ms;
use crate::direct::owner::bookings::Booking;
use crate::direct::owner::jobs::{HEAVY_BYTES, JobRun};
use crate::direct::owner::ledger::{Displaceable, Entry, StageEntry};
use crate::direct::owner::plan::{Occupancy, PlanContext, expected_runs, occupancies};
use crate::direct::owner::queue::{Rank, Waiting};
use crate::message::Timestamp;
use crate::policy::path::DEFERRAL_MARGIN;
use crate::policy::timeline::STEP;

/// Minimum time until a deferred stage is checked again.
const MIN_DEFERRAL: Duration = Duration::from_millis(25);

/// Computes the current ledger entry of a job.
///
/// The expected times of a job move with the clock while it waits for a call or for its results to
/// be fetched; its entry is then refreshed after each [`STEP`] of the timeline, and otherwise when
/// a stage should have started or ended. A job to which nothing happens is therefore refreshed at
/// most twenty times a second.
pub(super) fn entry(run: &mut JobRun, context: PlanContext<'_>) -> Entry {
    let occupancies = occupancies(run, &expected_runs(run, context));
    let moves_with_time = moves_with_time(run);
    let mut refresh_in: Option<Duration> = None;
    let mut stages = Vec::with_capacity(occupancies.len());
    for (stage, occupancy) in occupancies.into_iter().enumerate() {
        let deferral = remaining_deferral(run, stage, context.now);
        let next_plan_step =
            occupancy.map(|f| next_plan_step(run, stage, f)).filter(|_| !moves_with_time);
        let moves_with_time = moves_with_time.then_some(STEP);
        let recheck = deferral.filter(|wait| !wait.is_zero()).map(|w| w.max(MIN_DEFERRAL));
        refresh_in =
            [refresh_in, next_plan_step, moves_with_time, recheck].into_iter().flatten().min();
        if deferral == Some(Duration::ZERO) {
            run.stages[stage].runnable_since.get_or_insert(context.now);
        }
        stages.push(stage_entry(run, stage, deferral, occupancy, context.now));
    }
    Entry { stages, refresh_at: refresh_in.map(|time| context.now + time) }
}

/// Time until a stage should have started, or until its results should have been fetched.
fn next_plan_step(run: &JobRun, stage: usize, occupancy: Occupancy) -> Duration {
    let has_started = run.stages[stage].started.is_some() || occupancy.from.is_zero();
    let ends = if has_started { occupancy.until } else { occupancy.from };
    ends.max(STEP)
}

fn stage_entry(
    run: &JobRun,
    stage: usize,
    deferral: Option<Duration>,
    occupancy: Option<Occupancy>,
    now: Timestamp,
) -> StageEntry {
    let waiting = run.stages[stage].waiting();
    // On average, an entry that moves with the clock is refreshed this late.
    let late = if moves_with_time(run) { STEP / 2 } else { Duration::ZERO };
    let unfinished = run.stages[stage].unfinished();
    let displaceable = (unfinished > 0 && run.is_untouched()).then(|| displaceable(run, stage));
    StageEntry {
        urgency: run.urgency,
        waiting,
        deferred: if deferral.is_some_and(|time| !time.is_zero()) { waiting } else { 0 },
        running: unfinished - waiting,
        heavy_data_centre: run.heavy_data_centre.clone().filter(|_| run.is_heavy(stage)),
        queued: (deferral == Some(Duration::ZERO)).then(|| queued(run, stage, waiting)),
        booking: occupancy.map(|f| Booking::new(f.from + late, f.until + late, f.bytes, now)),
        displaceable,
    }
}

const fn displaceable(run: &JobRun, stage: usize) -> Displaceable {
    Displaceable { urgency: run.urgency, objective: run.objective, job: run.job.id, stage }
}

/// Whether the expected times of a job move with the clock: it waits for a call, or for its results
/// to be fetched.
fn moves_with_time(run: &JobRun) -> bool {
    let waits = |stage: usize| run.stages[stage].waiting() > 0 && run.is_runnable(stage);
    run.ready || (0..run.stages.len()).any(waits)
}

fn queued(run: &JobRun, stage: usize, pieces: usize) -> Waiting {
    let rest = run.critical_path_from(stage) + run.job.after_stages;
    let latest_start_ms = ms(run.admitted_end) as i64 - ms(rest) as i64;
    let preferred =
        run.preferred_data_centre(stage).filter(|_| run.moved_bytes(stage) >= HEAVY_BYTES).cloned();
    let rank = Rank { urgency: run.urgency, latest_start_ms, job: run.job.id, stage };
    let (bytes, allowed_regions) =
        (run.job.stages[stage].result_bytes, run.job.allowed_regions.clone());
    Waiting { rank, pieces, bytes, preferred, allowed_regions }
}

/// How much longer the waiting pieces of a stage are deferred if the job does not change: an
/// independent stage is started late enough to end with the others, so that its results don't
/// occupy memory while they wait. `None` where no piece may be sent.
fn remaining_deferral(run: &JobRun, stage: usize, now: Timestamp) -> Option<Duration> {
    if run.stages[stage].waiting() == 0 || !run.is_runnable(stage) {
        return None;
    }
    if !run.is_independent(stage) {
        return Some(Duration::ZERO);
    }
    let others = run.remaining_time(Some(stage), now);
    Some(others.saturating_sub(run.calls[stage] + DEFERRAL_MARGIN))
}
