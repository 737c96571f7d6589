//! Refusal of jobs, and the places that are kept for callers that return after one.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::log_events::{LoadEvent, LogEvent, ms};
use crate::direct::owner::booked::{Need, Place, PlaceOutcome, Wish};
use crate::direct::owner::jobs::{expected_calls, urgency};
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::owner::timers::Timer;
use crate::direct::peers::message::{Job, JobReason, JobStage};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::{FINAL_RESULT_HOLD_TIME, PathRefusal, StageLoad};
use crate::policy::places::{Amount, Capacity, Demand, HORIZON, MAX_WAIT};
use crate::policy::urgency::Urgency;

/// Share of its remaining time that a refused caller waits before it returns.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Maximum share by which the times of callers without a place are spread, so that those refused
/// together don't return together.
const SPREAD_SHARE: f64 = 0.5;
/// Number of steps in which times are spread.
const SPREAD_STEPS: u64 = 64;

impl Scheduler {
    /// Refuses a job of which nothing has started. A job that lacks capacity gets a place if there
    /// is one; `retry_after` is the time until capacity is free for a caller without one.
    pub(super) fn refuse(
        &mut self,
        job: &Job,
        refusal: PathRefusal,
        retry_after: Duration,
        table: &Table,
        now: Timestamp,
    ) {
        let (reason, retry_after) = match refusal {
            PathRefusal::NoEndpoint => {
                let pauses = unfinished(job).filter_map(|s| self.pool_pause(&s.pool, table, now));
                (JobReason::NoEndpoint, pauses.max().unwrap_or(retry_after))
            }
            PathRefusal::WouldBeLate => {
                (JobReason::WouldBeLate, self.return_after(job, retry_after, table, now))
            }
            PathRefusal::InsufficientMemory => {
                (JobReason::NoRoom, self.return_after(job, retry_after, table, now))
            }
        };
        self.send_given_up(job.id, reason, true, retry_after);
    }

    /// Time until the caller of a refused job should return: to its place if it has one or if one
    /// can be booked. If there is none, capacity is short for longer than callers wait.
    fn return_after(
        &mut self,
        job: &Job,
        free_after: Duration,
        table: &Table,
        now: Timestamp,
    ) -> Duration {
        if let Some(time) = self.places.time_of(job.fingerprint) {
            return time.saturating_sub(now);
        }
        let spread = SPREAD_SHARE * (job.id.number % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
        if job.fingerprint == Fingerprint::default() {
            return free_after.mul_f64(1.0 + spread);
        }
        let wish = self.wish(job, free_after, table, now);
        let Some(time) = wish.and_then(|wish| self.places.book(wish, now)) else {
            return HORIZON.mul_f64(1.0 + spread);
        };
        self.place_booked(job, time, now);
        time.saturating_sub(now)
    }

    /// The place that a refused job needs; `None` if no capacity is known, or if the request would
    /// be late without any other work, too.
    fn wish(
        &mut self,
        job: &Job,
        free_after: Duration,
        table: &Table,
        now: Timestamp,
    ) -> Option<Wish> {
        let calls = expected_calls(job, table, &self.timings, now);
        let mut needs: Vec<Need> = Vec::new();
        for (stage, call) in job.stages.iter().zip(&calls) {
            if stage.pieces > stage.done.len() {
                add_need(&mut needs, self.need(stage, *call, job, table, now)?);
            }
        }
        let shortest = shortest_path(&job.stages, &calls) + job.after_stages;
        let in_time = job.to_objective.min(job.to_deadline);
        if needs.is_empty() || shortest > in_time {
            return None;
        }
        let call_ends = needs.iter().map(|need| need.call_interval).max().unwrap_or_default();
        let patience = job.to_deadline.mul_f64(MAX_WAIT_SHARE);
        let longest_wait = patience.min(MAX_WAIT).min(job.to_deadline.saturating_sub(shortest));
        Some(Wish {
            fingerprint: job.fingerprint,
            organisation: job.organisation.clone(),
            level: urgency(job, table).engine_level(),
            needs,
            from: now + free_after + call_ends,
            until: now + longest_wait,
        })
    }

    fn need(
        &mut self,
        stage: &JobStage,
        call: Duration,
        job: &Job,
        table: &Table,
        now: Timestamp,
    ) -> Option<Need> {
        let spec = table.batch_spec(&stage.pool)?;
        let endpoints = &self.ledger.get(&stage.pool)?.endpoints;
        let count = endpoints.count_in_regions(&job.allowed_regions) as f64;
        let others = endpoints.used_by_others() as f64;
        let piece = spec.call_overhead.div_f64(spec.pieces as f64) + spec.piece_time;
        let amount = Amount {
            slot_time: piece * stage.pieces as u32,
            memory: stage.pieces as u64 * stage.result_bytes,
        };
        let pool = self.ledger.get_mut(&stage.pool)?;
        let capacity = Capacity {
            slots: count * f64::from(spec.slots),
            memory: (spec.result_memory_bytes as f64).mul_add(count, -others),
            in_use: Arc::new(pool.bookings.timeline(now)),
            now,
        };
        let timings = self.timings.get(&stage.pool, spec, now);
        let hold = call.max(timings.call()) + timings.wait() + FINAL_RESULT_HOLD_TIME;
        let demand = Demand { amount, hold };
        let call_interval = call.div_f64(capacity.slots.max(1.0));
        Some(Need { pool: stage.pool.clone(), demand, capacity, call_interval })
    }

    /// Enters what is reserved for places into the loads of a job: for those of its urgency and
    /// more urgent ones, or of more urgent ones alone if it has a place itself. The capacity of a
    /// place is not kept for more urgent arrivals.
    pub(super) fn reserve_places(
        &self,
        job: &Job,
        urgency: Urgency,
        has_place: bool,
        loads: &mut [StageLoad],
        now: Timestamp,
    ) {
        let level = urgency.engine_level();
        let level = if has_place { level.checked_sub(1) } else { Some(level) };
        for (stage, load) in job.stages.iter().zip(loads) {
            if has_place {
                (load.slot_share, load.urgent_memory_rate) = (1.0, 0.0);
            }
            if let Some(level) = level {
                load.reserved = self.places.reserved(&stage.pool, level, now);
            }
        }
    }

    fn place_booked(&mut self, job: &Job, time: Timestamp, now: Timestamp) {
        let expires_at = self.places.expires_at(job.fingerprint).unwrap_or(time);
        self.timers.add(expires_at, Timer::PlaceExpired(job.fingerprint));
        self.out.push(Action::Log(LogEvent::Load(LoadEvent::PlaceBooked {
            request: job.request.clone(),
            fingerprint: job.fingerprint.to_string(),
            organisation: job.organisation.clone(),
            in_ms: ms(time.saturating_sub(now)),
            booked: self.places.len(),
        })));
    }

    /// Records the end of a place that was removed.
    pub(super) fn end_place(
        &mut self,
        place: Option<Place>,
        outcome: PlaceOutcome,
        now: Timestamp,
    ) {
        let Some(place) = place else {
            return;
        };
        self.timers.remove(place.expires_at(), Timer::PlaceExpired(place.fingerprint));
        self.out.push(Action::Log(LogEvent::Load(LoadEvent::PlaceEnded {
            fingerprint: place.fingerprint.to_string(),
            outcome: outcome.as_str(),
            after_ms: ms(now.saturating_sub(place.booked_at)),
            booked: self.places.len(),
        })));
    }

    /// Releases the place of a request, if it has one.
    pub(super) fn release_place(
        &mut self,
        fingerprint: Fingerprint,
        outcome: PlaceOutcome,
        now: Timestamp,
    ) {
        let place = self.places.release(fingerprint, now);
        self.end_place(place, outcome, now);
    }

    /// The place of a request is not kept any longer.
    pub(super) fn expire_place(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        self.release_place(fingerprint, PlaceOutcome::Unused, now);
    }

    /// Releases the place of a request that another cell has admitted.
    pub(super) fn served_elsewhere(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        self.release_place(fingerprint, PlaceOutcome::Elsewhere, now);
    }

    /// Releases all places, before this process ends.
    pub(super) fn release_places(&mut self) {
        for place in self.places.clear() {
            self.end_place(Some(place), PlaceOutcome::Released, self.last_check);
        }
    }

    /// Releases the places that need a pool without endpoints.
    pub(super) fn release_unservable_places(&mut self, table: &Table) {
        if self.places.is_empty() {
            return;
        }
        let pools = table.deployment.pools.iter().map(|pool| &pool.name);
        let has_endpoint = |pool: &str| {
            let mut endpoints = table.pool_endpoints(pool).iter().filter(|e| !e.leaving);
            endpoints.any(|e| self.calls_endpoint(e, table))
        };
        let empty: Vec<_> = pools.filter(|pool| !has_endpoint(pool)).collect();
        let places = self.places.open().filter(|place| empty.iter().any(|pool| place.uses(pool)));
        let unservable: Vec<_> = places.map(|place| place.fingerprint).collect();
        for fingerprint in unservable {
            self.release_place(fingerprint, PlaceOutcome::Released, self.last_check);
        }
    }
}

fn unfinished(job: &Job) -> impl Iterator<Item = &JobStage> {
    job.stages.iter().filter(|s| s.pieces > s.done.len())
}

/// Adds a need to those of the same pool: stages of one pool share its calendar.
fn add_need(needs: &mut Vec<Need>, need: Need) {
    let Some(same) = needs.iter_mut().find(|n| n.pool == need.pool) else {
        return needs.push(need);
    };
    same.demand.amount.slot_time += need.demand.amount.slot_time;
    same.demand.amount.memory += need.demand.amount.memory;
    same.demand.hold = same.demand.hold.max(need.demand.hold);
}

/// Time until all stages end, if none has to wait.
fn shortest_path(stages: &[JobStage], calls: &[Duration]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
    for (stage, call) in stages.iter().zip(calls) {
        let ready = stage.after.iter().map(|&a| ends[a]).max().unwrap_or_default();
        let is_done = stage.pieces == stage.done.len();
        ends.push(if is_done { ready } else { ready + *call });
    }
    ends.into_iter().max().unwrap_or_default()
}
