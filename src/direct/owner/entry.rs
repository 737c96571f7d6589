//! What a job enters in the ledgers of its pools, as it stands at a moment.

use std::time::Duration;

use crate::direct::note::ms;
use crate::direct::owner::bookings::Booking;
use crate::direct::owner::jobs::{HEAVY, JobRun};
use crate::direct::owner::ledger::{Entry, StageEntry};
use crate::direct::owner::plan::{Basis, expected_runs, fillings};
use crate::direct::owner::queue::{Rank, Waiting};
use crate::message::Timestamp;
use crate::policy::path::HOLD_SLACK;
use crate::policy::timeline::STEP;

/// A stage that is held back is looked at again no earlier than that.
const HELD_LOOK: Duration = Duration::from_millis(25);

/// What a job enters now.
///
/// What it is expected to do moves on with time: it is entered anew a [`STEP`] of the time-line later
/// while it waits for a call or for its results to be fetched, and otherwise when a stage should have
/// begun or ended. So a job that does nothing is entered twenty times a second at most.
pub(super) fn entry(run: &mut JobRun, basis: Basis<'_>) -> Entry {
    let now = basis.now;
    let runs = expected_runs(run, basis);
    let fillings = fillings(run, &runs);
    let moves_on = moves_on(run);
    // On average, it is as late as that when it is entered anew.
    let late = if moves_on { STEP / 2 } else { Duration::ZERO };
    let mut review: Option<Duration> = None;
    let mut review_in = |time: Duration| review = Some(review.map_or(time, |r| r.min(time)));
    let mut stages = Vec::with_capacity(fillings.len());
    for (stage, filling) in fillings.into_iter().enumerate() {
        let waiting = run.stages[stage].waiting();
        let is_begun = run.stages[stage].started.is_some();
        let home = run.inner_home.clone().filter(|_| run.is_heavy(stage));
        let is_open = waiting > 0 && run.is_open(stage);
        let held_for = is_open.then(|| held_back_for(run, stage, now));
        if let Some(filling) = filling {
            let begins = Some(filling.from).filter(|from| !is_begun && !from.is_zero());
            let next = begins.unwrap_or(filling.until);
            review_in(if moves_on { STEP } else { next.max(STEP) });
        }
        if let Some(wait) = held_for.filter(|wait| !wait.is_zero()) {
            review_in(wait.max(HELD_LOOK));
        }
        let may_be_sent = held_for.is_some_and(|wait| wait.is_zero());
        if may_be_sent {
            run.stages[stage].opened.get_or_insert(now);
        }
        stages.push(StageEntry {
            waiting,
            running: run.stages[stage].open() - waiting,
            home,
            queued: may_be_sent.then(|| queued(run, stage, waiting)),
            booking: filling.map(|f| Booking::new(f.from + late, f.until + late, f.bytes, now)),
        });
    }
    Entry { stages, review: review.map(|time| now + time) }
}

/// Whether all that is expected of a job moves on as time passes: it waits for a call, or for its results
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
    Waiting { rank, pieces, bytes: run.job.stages[stage].result_bytes, home }
}

/// How much longer a stage that others don't need is held back, so that its results don't wait; if
/// nothing happens to the job, not at all earlier.
fn held_back_for(run: &JobRun, stage: usize, now: Timestamp) -> Duration {
    if !run.stands_alone(stage) {
        return Duration::ZERO;
    }
    let others = run.remaining(Some(stage), now);
    others.saturating_sub(run.calls[stage] + HOLD_SLACK)
}
