//! Recomputed loads of pools, from which admission decides, and the jobs that give way.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stackmast::direct::owner::jobs::JobRun;
use stackmast::direct::owner::scheduler::Scheduler;
use stackmast::direct::peers::message::{Job, JobId};
use stackmast::direct::published::model::Name;
use stackmast::direct::published::table::Table;
use stackmast::policy::path::{Reserved, StageLoad};
use stackmast::policy::timeline::Timeline;
use stackmast::policy::urgency::Urgency;

use super::is_held_back;

/// Seconds after which the weight of an arrival has fallen to 1 / e.
const ARRIVAL_DECAY_S: f64 = 1.0;

/// The job that gives way first in the pool of a stage: of those of which nothing was sent, the
/// least urgent with the latest objective.
pub(super) fn gives_way(
    owner: &Scheduler,
    job: &Job,
    stage: usize,
    without: &BTreeSet<JobId>,
) -> Option<JobId> {
    let pool = &job.stages[stage].pool;
    let waits = |run: &JobRun| {
        let stages = run.job.stages.iter().zip(&run.stages);
        let mut in_pool = stages.filter(|(spec, state)| spec.pool == *pool && state.waiting() > 0);
        in_pool.next().is_some()
    };
    let less_urgent = owner.active_jobs().filter(|(id, run)| {
        let is_less_urgent = run.urgency > urgency(job);
        is_less_urgent && run.is_untouched() && waits(run) && !without.contains(*id)
    });
    let last = less_urgent.max_by_key(|(id, run)| (run.urgency, run.objective, **id));
    last.map(|(id, _)| *id)
}

/// Urgency of a job whose route is in no configuration.
const fn urgency(job: &Job) -> Urgency {
    Urgency { priority: job.priority, route: job.priority }
}

/// Pieces and bytes per second that arrive at a pool, of jobs for which `counts` holds.
fn arrivals(
    arrived: &[(Duration, Job)],
    pool: &Name,
    now: Duration,
    counts: impl Fn(&Job) -> bool,
) -> (f64, f64) {
    let (mut pieces, mut bytes) = (0.0, 0.0);
    for (at, job) in arrived.iter().filter(|(_, job)| counts(job)) {
        let weight = (-(now - *at).as_secs_f64() / ARRIVAL_DECAY_S).exp() / ARRIVAL_DECAY_S;
        for stage in job.stages.iter().filter(|s| s.pool == *pool) {
            pieces += weight * stage.pieces as f64;
            bytes += weight * stage.pieces as f64 * stage.result_bytes as f64;
        }
    }
    (pieces, bytes)
}

/// Current load of the pool of a stage.
pub(super) fn load(
    owner: &mut Scheduler,
    job: &Job,
    index: usize,
    without: &BTreeSet<JobId>,
    arrived: &[(Duration, Job)],
    table: &Table,
    now: Duration,
) -> StageLoad {
    let stage = &job.stages[index];
    let spec = table.batch_spec(&stage.pool).expect("it works in batches");
    let kept = owner.pool_state(&stage.pool, table, now).expect("endpoints are listed");
    let endpoints = kept.usable.values().sum::<usize>() as f64;
    let own = spec.call_with(stage.pieces.min(spec.pieces));
    let recent = owner.recent_calls(&stage.pool, table, now);
    let (recent, full_call) = recent.expect("it works in batches");
    let call = own.max(recent);
    let mut pieces = 0.0;
    let mut memory_in_use = Timeline::default();
    for (_, run) in owner.active_jobs().filter(|(id, _)| !without.contains(*id)) {
        let fillings = owner.planned_occupancy(run, table, now);
        let stages = run.job.stages.iter().zip(&run.stages).zip(fillings).enumerate();
        for (index, ((spec, state), filling)) in stages {
            if spec.pool != stage.pool {
                continue;
            }
            let is_deferred = run.is_runnable(index) && is_held_back(run, index, now);
            if run.urgency <= urgency(job) && !is_deferred {
                pieces += state.waiting() as f64;
            }
            if let Some(filling) = filling {
                memory_in_use.add(filling.from, filling.until, filling.bytes as f64);
            }
        }
    }
    let piece_time = full_call.div_f64(spec.pieces as f64);
    let busy = |pieces: f64| (piece_time.as_secs_f64() * pieces / endpoints.max(0.01)).min(1.0);
    let all = arrivals(arrived, &stage.pool, now, |_| true);
    let urgent = arrivals(arrived, &stage.pool, now, |other| urgency(other) < urgency(job));
    let level = urgency(job).engine_level();
    let reserved = owner.reserved_by_places(&stage.pool, level, now);
    StageLoad {
        after: stage.after.clone(),
        is_done: false,
        slots: endpoints,
        backlog: piece_time.mul_f64(pieces),
        slot_share: 1.0 - busy(urgent.0),
        usual_wait: call.mul_f64(busy(all.0) / endpoints.max(1.0)),
        call,
        full_call,
        result_memory: endpoints * spec.result_memory_bytes as f64 - kept.used_by_others as f64,
        memory_in_use: Arc::new(memory_in_use),
        required_memory: (stage.pieces as u64 * stage.result_bytes) as f64,
        urgent_memory_rate: urgent.1,
        reserved: Reserved { slot_time: reserved.slot_time, memory: reserved.memory as f64 },
    }
}
