//! Admitted jobs that have not started: they give way to more urgent ones, and are rejected once
//! they can no longer start in time.
//!
//! Only jobs of which no piece was ever sent are concerned, so that their refusal is true.

use crate::direct::event::Action;
use crate::direct::log_events::{LoadEvent, LogEvent, ms};
use crate::direct::owner::jobs::JobRun;
use crate::direct::owner::ledger::Entry;
use crate::direct::owner::queue::Waiting;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId};
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::path::{PathDecision, PathRefusal};
use crate::policy::urgency::Urgency;

/// Maximum number of jobs that give way to one. It bounds the cost of a decision, and one caller is
/// not served at the expense of many others.
const MAX_DISPLACED: usize = 4;

/// A job that gives way, and the pool that lacked capacity.
pub(super) struct Displaced {
    job: JobId,
    pool: Name,
}

impl Scheduler {
    /// Chooses admitted jobs that give way to a job for which there is no result memory: the least
    /// urgent ones, those with the latest objective first, and as few as needed. None if the job
    /// would be refused all the same.
    ///
    /// A job refused as late is not helped by it: less urgent pieces are not served before its own.
    pub(super) fn displace_for(
        &mut self,
        job: &Job,
        (urgency, has_place): (Urgency, bool),
        decision: &PathDecision,
        table: &Table,
        now: Timestamp,
    ) -> Vec<Displaced> {
        let mut displaced = Vec::new();
        let mut bottleneck = decision.bottleneck;
        let mut refusal = decision.refusal;
        while refusal == Some(PathRefusal::InsufficientMemory) && displaced.len() < MAX_DISPLACED {
            let Some(next) = self.first_to_displace(job, urgency, bottleneck) else {
                break;
            };
            self.set_counted(next.job, false);
            displaced.push(next);
            let decision = self.decide(job, urgency, has_place, table, now);
            (refusal, bottleneck) = (decision.refusal, decision.bottleneck);
        }
        if refusal.is_some() {
            for unneeded in displaced.drain(..) {
                self.set_counted(unneeded.job, true);
            }
        }
        self.keep_needed(displaced, job, (urgency, has_place), table, now)
    }

    /// Restores each job, except for the last, without which the more urgent one is admitted.
    fn keep_needed(
        &mut self,
        mut displaced: Vec<Displaced>,
        job: &Job,
        (urgency, has_place): (Urgency, bool),
        table: &Table,
        now: Timestamp,
    ) -> Vec<Displaced> {
        let last = displaced.pop();
        displaced.retain(|earlier| {
            self.set_counted(earlier.job, true);
            let is_needed = self.decide(job, urgency, has_place, table, now).refusal.is_some();
            if is_needed {
                self.set_counted(earlier.job, false);
            }
            is_needed
        });
        displaced.extend(last);
        displaced
    }

    /// The job that gives way first in the pool of a stage.
    fn first_to_displace(&self, job: &Job, urgency: Urgency, stage: usize) -> Option<Displaced> {
        let pool = job.stages.get(stage)?.pool.clone();
        let first = self.ledger.get(&pool)?.first_to_displace(urgency)?;
        Some(Displaced { job: first.job, pool })
    }

    /// Sets whether a job counts in the totals of its pools.
    fn set_counted(&mut self, id: JobId, is_counted: bool) {
        let Some(run) = self.jobs.get(&id) else {
            return;
        };
        let none = Entry::default();
        let (before, after) = if is_counted { (&none, &run.entry) } else { (&run.entry, &none) };
        self.ledger.replace(run, before, after);
    }

    /// Cancels jobs that gave way to an admitted one. Their callers return when a job like theirs
    /// is expected to be admitted.
    pub(super) fn refuse_displaced(
        &mut self,
        displaced: Vec<Displaced>,
        admitted: JobId,
        table: &Table,
        now: Timestamp,
    ) {
        for Displaced { job, pool } in displaced {
            self.set_counted(job, true);
            let Some(run) = self.jobs.get(&job).cloned() else {
                continue;
            };
            self.release(job, table);
            self.update_ledger(table, now);
            let retry_after = self.decide(&run.job, run.urgency, false, table, now).retry_after;
            if let Some(for_run) = self.jobs.get(&admitted) {
                let event = LoadEvent::GaveWay {
                    request: run.job.request.clone(),
                    urgency: run.urgency,
                    for_request: for_run.job.request.clone(),
                    for_urgency: for_run.urgency,
                    pool,
                    retry_after_ms: ms(retry_after),
                };
                self.out.push(Action::Log(LogEvent::Load(event)));
            }
            let refusal = (PathRefusal::InsufficientMemory, retry_after);
            self.refuse_not_started(&run.job, refusal, table, now);
        }
    }

    /// Handles the time at which the ledger entry of a job is out of date: the job is rejected if
    /// it can no longer start in time for lack of capacity, and refreshed otherwise.
    pub(super) fn refresh_due(&mut self, id: JobId, table: &Table, now: Timestamp) {
        let Some(run) = self.jobs.get(&id) else {
            return;
        };
        let Some(pool) = self.missed_start(run, now) else {
            self.job_mut(id);
            return;
        };
        let run = run.clone();
        self.release(id, table);
        self.update_ledger(table, now);
        let retry_after = self.decide(&run.job, run.urgency, false, table, now).retry_after;
        self.out.push(Action::Log(LogEvent::Load(LoadEvent::MissedStart {
            request: run.job.request.clone(),
            urgency: run.urgency,
            pool,
            retry_after_ms: ms(retry_after),
        })));
        self.refuse_not_started(&run.job, (PathRefusal::WouldBeLate, retry_after), table, now);
    }

    /// The pool whose lack of capacity keeps a job from starting in time: all its pieces still
    /// wait, their latest start has passed, pieces of other jobs wait there as well, and no
    /// endpoint is free for them.
    fn missed_start(&self, run: &JobRun, now: Timestamp) -> Option<Name> {
        if !run.is_untouched() {
            return None;
        }
        let stages = run.job.stages.iter().zip(&run.entry.stages);
        let mut missed = stages.filter(|(spec, entry)| {
            let late = entry.queued.as_ref().filter(|q| q.rank.latest_start_ms < ms(now) as i64);
            late.is_some_and(|queued| self.lacks_capacity(run, &spec.pool, queued))
        });
        missed.next().map(|(spec, _)| spec.pool.clone())
    }

    /// Whether pieces of other jobs wait in the pool of a waiting stage, and no endpoint in the
    /// allowed regions is free that has result memory for a piece.
    fn lacks_capacity(&self, run: &JobRun, pool: &Name, queued: &Waiting) -> bool {
        let Some(ledger) = self.ledger.get(pool) else {
            return false;
        };
        let stages = run.job.stages.iter().zip(&run.entry.stages);
        let own =
            stages.filter(|(spec, _)| spec.pool == *pool).filter_map(|(_, e)| e.queued.as_ref());
        let own_pieces: usize = own.map(|queued| queued.pieces).sum();
        let free = ledger.endpoints.most_free_in_regions(&queued.allowed_regions, queued.bytes);
        ledger.queue.pieces() > own_pieces && free.is_none()
    }
}
