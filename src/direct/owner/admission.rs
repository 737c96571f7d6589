//! Admission of jobs, and the choice of a data centre for stages that exchange large results.
//!
//! The cost does not depend on the number of active jobs: pool totals are read from the ledger.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::booked::PlaceOutcome;
use crate::direct::owner::calls::TAKEOVER_PERIOD;
use crate::direct::owner::jobs::{JobRun, Piece, expected_call, urgency};
use crate::direct::owner::placement::expected_wait;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::owner::timers::Timer;
use crate::direct::peers::message::{Job, JobId, JobReason, JobStage, PeerMessage};
use crate::direct::poison::suspects::RETENTION;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::{PathDecision, PathRefusal, Reserved, StageLoad, admit_path};
use crate::policy::timeline::Timeline;
use crate::policy::urgency::Urgency;

impl Scheduler {
    /// Handles a job submitted by a gateway: admits it, or refuses it at once.
    pub fn submit(&mut self, job: Job, table: &Table, now: Timestamp) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return self.resend_state(id);
        }
        if self.poison_in(&job).is_some() {
            return self.send_given_up(id, JobReason::Failed, true, RETENTION);
        }
        if let Some(refusal) = self.earlier_refusal(&job, now) {
            return self.refuse_not_started(&job, refusal, table, now);
        }
        if self.last_submit.is_none_or(|last| now >= last + TAKEOVER_PERIOD) {
            self.active_since = now;
            self.ask_reports(table, now);
        }
        self.last_submit = Some(now);
        let urgency = urgency(&job, table);
        let place = self.places.take_due(job.fingerprint, now);
        let has_place = place.is_some();
        self.update_ledger(table, now);
        let mut decision = self.decide(&job, urgency, has_place, table, now);
        let excess_wait = self.excess_turn_wait(&job, table, now).filter(|_| !job.resubmitted);
        let displaced = if excess_wait.is_none() {
            self.displace_for(&job, (urgency, has_place), &decision, table, now)
        } else {
            Vec::new()
        };
        if !displaced.is_empty() {
            decision = self.decide(&job, urgency, has_place, table, now);
        }
        self.log_decision(&job, urgency, &decision);
        if excess_wait.is_none() && decision.refusal != Some(PathRefusal::NoEndpoint) {
            self.record_arrival(&job, urgency, now);
        }
        if let Some(refusal) = decision.refusal {
            self.end_place(place, PlaceOutcome::Refused, now);
            let refusal = (refusal, decision.retry_after);
            return self.refuse_not_started(&job, refusal, table, now);
        }
        if let Some(retry_after) = excess_wait {
            self.end_place(place, PlaceOutcome::Refused, now);
            self.keep_refusal(id, (PathRefusal::WouldBeLate, retry_after), now);
            return self.send_given_up(id, JobReason::WouldBeLate, true, retry_after);
        }
        self.end_place(place, PlaceOutcome::Used, now);
        self.release_place(job.fingerprint, PlaceOutcome::Early, now);
        self.send_to_gateway(id, PeerMessage::Accepted(id));
        let mut run = JobRun::new(job, decision.allowed, table, &self.timings, now);
        run.heavy_data_centre = self.least_loaded_data_centre(&run, table);
        for (spec, stage) in run.job.stages.iter().zip(&run.stages) {
            for made in stage.results() {
                self.producers.taken_over(&made.endpoint, spec.result_bytes);
            }
        }
        self.timers.add(run.deadline, Timer::Deadline(id));
        self.jobs.insert(id, run);
        self.advance(id, table);
        self.refuse_displaced(displaced, id, table, now);
    }

    /// Records the pieces and results that a job needs as demand for its pools. The decision on a
    /// job does not count its own arrival, and jobs that no pool can run are no demand.
    fn record_arrival(&mut self, job: &Job, urgency: Urgency, now: Timestamp) {
        for stage in &job.stages {
            let pieces = stage.pieces.saturating_sub(stage.done.len());
            let bytes = pieces as u64 * stage.result_bytes;
            let arrivals = &mut self.ledger.pool(&stage.pool).arrivals;
            arrivals.record(urgency, pieces as f64, bytes as f64, now);
        }
    }

    /// Decides on admission with the ledger as it is; a resubmitted job, which another owner has
    /// admitted before, is not refused. A job that has a place is not held back by more urgent
    /// arrivals, and only by the places of more urgent callers.
    pub(super) fn decide(
        &mut self,
        job: &Job,
        urgency: Urgency,
        has_place: bool,
        table: &Table,
        now: Timestamp,
    ) -> PathDecision {
        let mut loads = self.loads(job, urgency, table, now);
        self.reserve_places(job, urgency, has_place, &mut loads, now);
        // Each stage ends with an event, which this process handles with its event lag.
        let after = job.after_stages + self.event_lag * job.stages.len() as u32;
        let mut decision = admit_path(&loads, after, job.to_objective);
        decision.refusal = decision.refusal.filter(|_| !job.resubmitted);
        decision
    }

    fn log_decision(&mut self, job: &Job, urgency: Urgency, decision: &PathDecision) {
        let bottleneck = job.stages.get(decision.bottleneck);
        self.out.push(Action::Log(LogEvent::StagesDecided {
            request: job.request.clone(),
            urgency,
            admitted: decision.refusal.is_none(),
            pool: bottleneck.map_or_else(|| "".into(), |s| s.pool.clone()),
            predicted_ms: ms(decision.predicted),
            objective_ms: ms(job.to_objective),
            room_share: (decision.memory_share * 100.0).round() / 100.0,
        }));
    }

    /// Sends the state of a job to its gateway again, because earlier messages may be lost.
    fn resend_state(&mut self, id: JobId) {
        let Some(run) = self.jobs.get(&id) else {
            return;
        };
        let stages = run.stages.iter().enumerate();
        let done = stages.filter(|(_, s)| s.reported && !s.pieces.contains(&Piece::Freed));
        let done: Vec<_> = done.map(|(stage, s)| (stage, s.results())).collect();
        let is_ready = run.ready;
        self.send_to_gateway(id, PeerMessage::Accepted(id));
        for (stage, results) in done {
            self.send_to_gateway(id, PeerMessage::StageDone { job: id, stage, results });
        }
        if is_ready {
            self.send_to_gateway(id, PeerMessage::Ready(id));
        }
    }

    /// Current load of each stage's pool.
    fn loads(
        &mut self,
        job: &Job,
        urgency: Urgency,
        table: &Table,
        now: Timestamp,
    ) -> Vec<StageLoad> {
        let mut taken: HashMap<&Name, Arc<Timeline>> = HashMap::new();
        for stage in &job.stages {
            let bookings = self.ledger.get_mut(&stage.pool).map(|pool| &mut pool.bookings);
            let timeline = || Arc::new(bookings.map(|b| b.timeline(now)).unwrap_or_default());
            taken.entry(&stage.pool).or_insert_with(timeline);
        }
        let stages = job.stages.iter();
        stages
            .map(|stage| {
                let memory_in_use = taken[&stage.pool].clone();
                self.load(job, urgency, stage, memory_in_use, table, now)
            })
            .collect()
    }

    fn load(
        &self,
        job: &Job,
        urgency: Urgency,
        stage: &JobStage,
        memory_in_use: Arc<Timeline>,
        table: &Table,
        now: Timestamp,
    ) -> StageLoad {
        let call = expected_call(stage, table, &self.timings, now);
        let mut load = StageLoad {
            after: stage.after.clone(),
            is_done: stage.pieces == 0 || stage.done.len() == stage.pieces,
            slots: 0.0,
            backlog: Duration::ZERO,
            slot_share: 1.0,
            usual_wait: Duration::ZERO,
            call,
            full_call: call,
            result_memory: 0.0,
            memory_in_use,
            required_memory: (stage.pieces as u64 * stage.result_bytes) as f64,
            urgent_memory_rate: 0.0,
            reserved: Reserved::default(),
        };
        let (Some(spec), Some(pool)) =
            (table.batch_spec(&stage.pool), self.ledger.get(&stage.pool))
        else {
            return load;
        };
        let endpoints = pool.endpoints.count_in_regions(&job.allowed_regions) as f64;
        load.slots = endpoints * f64::from(spec.slots);
        load.result_memory = (spec.result_memory_bytes as f64)
            .mul_add(endpoints, -(pool.endpoints.used_by_others() as f64));
        let full_call = self.timings.get(&stage.pool, spec, now).full_call(spec);
        let piece = full_call.div_f64(spec.pieces.max(1) as f64);
        let urgent = pool.arrivals.more_urgent_than(urgency, now);
        let all = pool.arrivals.total(now);
        let busy_share =
            |pieces: f64| (piece.as_secs_f64() * pieces / load.slots.max(0.01)).min(1.0);
        load.backlog = piece.mul_f64(pool.waiting_before(urgency) as f64);
        load.slot_share = 1.0 - busy_share(urgent.pieces);
        load.usual_wait = call.mul_f64(busy_share(all.pieces) / load.slots.max(1.0));
        load.full_call = full_call;
        load.urgent_memory_rate = urgent.bytes;
        load
    }

    /// Chooses the data centre for the stages that exchange large results, among those with
    /// endpoints in all of the stages' pools: the one in which the path is expected to wait least,
    /// see [`expected_wait`]; the callers' own data centre on a tie.
    fn least_loaded_data_centre(&self, run: &JobRun, table: &Table) -> Option<Name> {
        let pool = |stage: usize| {
            let name = &run.job.stages[stage].pool;
            Some((self.ledger.get(name)?, table.batch_spec(name)?))
        };
        let pools: Vec<_> = run.heavy_stages().map(pool).collect::<Option<_>>()?;
        let ((first, _), others) = pools.split_first()?;
        let data_centres = first.endpoints.data_centres();
        let data_centres = data_centres
            .filter(|h| others.iter().all(|(pool, _)| pool.endpoints.count_in(h) > 0))
            .filter(|h| first.endpoints.is_allowed(h, &run.job.allowed_regions));
        let wait = |data_centre: &Name| -> Duration {
            let waits = pools.iter().map(|(pool, spec)| {
                let endpoints = pool.endpoints.listed_in(data_centre);
                expected_wait(pool.unfinished_in(data_centre), endpoints, spec)
            });
            waits.sum()
        };
        data_centres.min_by_key(|h| (wait(h), **h != run.job.data_centre, (*h).clone())).cloned()
    }
}
