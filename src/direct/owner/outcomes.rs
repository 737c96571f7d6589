//! Handling of batch calls that end, fail or are overdue.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::answers::{BatchOutcome, CallFailure, PieceOutcome};
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::calls::{Call, PieceId, TAKEOVER_PERIOD};
use crate::direct::owner::jobs::Piece;
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason, StoredResult};
use crate::direct::poison::Unanswered;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// A job fails if one of its pieces has had this many attempts.
const MAX_ATTEMPTS: u32 = 4;
/// Gateways that may repeat calls with pieces of a cell at the same time: its owner and the
/// previous one.
pub(super) const OWNERS_PER_CELL: usize = 2;

impl Scheduler {
    /// Handles the end of a call.
    pub fn batch_ended(&mut self, id: u64, outcome: BatchOutcome, table: &Table, now: Timestamp) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.ledger.call_ended(id, &call);
        let took = now.saturating_sub(call.sent);
        self.producers.ended(&call.endpoint.id);
        self.dirty.insert(call.pool.clone());
        self.out.push(Action::Log(LogEvent::BatchEnded {
            call: id,
            endpoint: call.endpoint.id.clone(),
            outcome: describe(&outcome),
            took_ms: ms(took),
        }));
        match outcome {
            BatchOutcome::Pieces(outcomes) => {
                if call.sent >= self.resumed_at {
                    if let Some(spec) = table.batch_spec(&call.pool) {
                        self.timings.record_call(&call.pool, spec, call.pieces.len(), took, now);
                    }
                    self.check_speed(&call, took, table, now);
                }
                self.report_success(&call, &outcomes);
                self.handle_pieces(&call, id, outcomes, table, now);
            }
            BatchOutcome::Full | BatchOutcome::Failed(CallFailure::TurnedAway) => {
                self.producers.full(&call.endpoint.id, call.expected, now);
                self.requeue_pieces(&call, id, false, table, now);
            }
            BatchOutcome::Failed(CallFailure::Withheld) => {
                self.requeue_pieces(&call, id, false, table, now);
            }
            BatchOutcome::OtherEndpoint | BatchOutcome::Failed(CallFailure::NotSent) => {
                self.avoid(&call.endpoint.id, "unreachable", now);
                self.requeue_pieces(&call, id, false, table, now);
            }
            BatchOutcome::Failed(CallFailure::TooLong) => {
                self.avoid(&call.endpoint.id, "answer too long", now);
                self.requeue_pieces(&call, id, true, table, now);
            }
            BatchOutcome::Failed(CallFailure::Malformed(_)) => {
                self.avoid(&call.endpoint.id, "malformed response", now);
                self.requeue_pieces(&call, id, true, table, now);
            }
            BatchOutcome::Failed(CallFailure::ForeignAnswer) => {
                self.avoid(&call.endpoint.id, "foreign answer", now);
                self.requeue_pieces(&call, id, true, table, now);
            }
            BatchOutcome::Failed(failure) => {
                let is_silent = failure == CallFailure::Silent;
                let how = if is_silent { Unanswered::Silent } else { Unanswered::Broken };
                self.report_unanswered(&call, how);
                self.avoid(&call.endpoint.id, "broken", now);
                self.requeue_pieces(&call, id, true, table, now);
            }
        }
    }

    /// Records a failure of an endpoint, which is avoided for a while.
    pub(super) fn avoid(&mut self, endpoint: &Name, cause: &'static str, now: Timestamp) {
        self.producers.failed(endpoint, now);
        let endpoint = endpoint.clone();
        self.out.push(Action::Log(LogEvent::Suspicion { endpoint, avoided: true, cause }));
    }

    /// Records the duration of a call, and avoids its endpoint if that is slow.
    pub(super) fn check_speed(
        &mut self,
        call: &Call,
        took: Duration,
        table: &Table,
        now: Timestamp,
    ) {
        // Early calls may have queued behind those of the previous owner.
        if call.sent < self.active_since + TAKEOVER_PERIOD {
            return;
        }
        let ratio = took.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
        self.producers.succeeded(&call.endpoint.id, ratio);
        let pool = table.pool_endpoints(&call.pool);
        if self.producers.avoid_if_slow(&call.endpoint.id, &call.pool, pool, now) {
            let endpoint = call.endpoint.id.clone();
            let event = LogEvent::Suspicion { endpoint, avoided: true, cause: "slow" };
            self.out.push(Action::Log(event));
        }
    }

    /// Handles the outcome of each piece of a call; pieces without one have failed.
    pub(super) fn handle_pieces(
        &mut self,
        call: &Call,
        id: u64,
        outcomes: Vec<PieceOutcome>,
        table: &Table,
        now: Timestamp,
    ) {
        let missing = call.pieces.len().saturating_sub(outcomes.len());
        let outcomes = outcomes.into_iter().chain(vec![PieceOutcome::Failed; missing]);
        let mut no_memory = false;
        for (&(piece, bytes), outcome) in call.pieces.iter().zip(outcomes) {
            let (job, stage, _) = piece;
            if let PieceOutcome::Made(handle) = outcome {
                let made = StoredResult { handle, endpoint: call.endpoint.id.clone() };
                self.piece_produced(piece, bytes, made, table);
                continue;
            }
            self.producers.freed(&call.endpoint.id, bytes);
            if !self.is_running(piece, id) {
                continue;
            }
            match outcome {
                PieceOutcome::NoRoom => {
                    let capacity =
                        table.batch_spec(&call.pool).map_or(0, |s| s.result_memory_bytes);
                    let free_bytes = self.producers.free_bytes(&call.endpoint.id, capacity, now);
                    self.producers.no_result_memory(&call.endpoint.id, free_bytes, now);
                    no_memory = true;
                    self.requeue(piece, true, table, now);
                }
                PieceOutcome::Failed => self.requeue(piece, true, table, now),
                PieceOutcome::InputGone => self.rerun_inputs(job, stage, table, now),
                PieceOutcome::Late | PieceOutcome::Made(_) => {
                    self.cancel_job(job, JobReason::DeadlinePassed, table);
                }
            }
        }
        if no_memory && self.may_ask_report(&call.endpoint, table, now) {
            self.out.push(Action::RequestReport(call.endpoint.clone()));
        }
        for job in call.jobs() {
            self.advance(job, table);
        }
    }

    /// Records the result of a piece, or frees it if it is not needed.
    pub(super) fn piece_produced(
        &mut self,
        (job, stage, piece): PieceId,
        bytes: u64,
        made: StoredResult,
        table: &Table,
    ) {
        let slot = self.job_mut(job).map(|j| &mut j.stages[stage].pieces[piece]);
        match slot {
            // The result of a piece that was requeued in the meantime is as good as any.
            Some(slot @ (Piece::Running { .. } | Piece::Waiting { .. })) => {
                *slot = Piece::Produced(made)
            }
            _ => self.free_result(&made, bytes, table),
        }
    }

    /// Whether a piece runs in the given call.
    pub(super) fn is_running(&self, (job, stage, piece): PieceId, call: u64) -> bool {
        let run = self.jobs.get(&job);
        let piece = run.map(|r| &r.stages[stage].pieces[piece]);
        matches!(piece, Some(Piece::Running { call: c, .. }) if *c == call)
    }

    /// Requeues every unfinished piece of a failed call.
    pub(super) fn requeue_pieces(
        &mut self,
        call: &Call,
        id: u64,
        may_have_run: bool,
        table: &Table,
        now: Timestamp,
    ) {
        for &(piece, bytes) in &call.pieces {
            self.producers.freed(&call.endpoint.id, bytes);
            if self.is_running(piece, id) {
                self.requeue(piece, may_have_run, table, now);
            }
        }
    }

    /// Requeues a piece if its attempts and the repeat budget allow it, and cancels its job
    /// otherwise. `counts` is whether the attempt counts against the limit.
    pub(super) fn requeue(
        &mut self,
        (job, stage, piece): PieceId,
        counts: bool,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(run) = self.job_mut(job) else {
            return;
        };
        let slot = &mut run.stages[stage].pieces[piece];
        let Piece::Running { attempts, .. } = *slot else {
            return;
        };
        let attempts = attempts + u32::from(counts);
        *slot = Piece::Waiting { attempts };
        let lacks_inputs = run.lacks_inputs(stage);
        let pool = run.job.stages[stage].pool.clone();
        if attempts >= MAX_ATTEMPTS {
            return self.cancel_job(job, JobReason::Failed, table);
        }
        // The budget is also charged for pieces that were refused, because they are sent twice,
        // too.
        if !self.take_repeat(&pool, table, now) {
            return self.cancel_job(job, JobReason::RepeatBudget, table);
        }
        self.dirty.insert(pool);
        if lacks_inputs {
            self.rerun_inputs(job, stage, table, now);
        }
    }

    /// Takes a repeat from the budget of a pool; returns whether there was one.
    pub(super) fn take_repeat(&mut self, pool: &Name, table: &Table, now: Timestamp) -> bool {
        let owners = OWNERS_PER_CELL * table.cells().names().len();
        self.repeats.try_take(pool, owners, now)
    }

    /// Handles the loss of an input of a stage: the stages before it run again, and so do those
    /// before them whose own results were used and freed.
    pub(super) fn rerun_inputs(&mut self, job: JobId, stage: usize, table: &Table, now: Timestamp) {
        let Some(run) = self.job_mut(job) else {
            return;
        };
        for piece in &mut run.stages[stage].pieces {
            if let Piece::Running { attempts, .. } = *piece {
                *piece = Piece::Waiting { attempts: attempts + 1 };
            }
        }
        let mut freed = Vec::new();
        let mut pools = Vec::new();
        for index in run.stages_to_rerun(stage) {
            let spec = &run.job.stages[index];
            for piece in &mut run.stages[index].pieces {
                if let Piece::Produced(made) = piece {
                    freed.push((made.clone(), spec.result_bytes));
                }
                *piece = Piece::Waiting { attempts: MAX_ATTEMPTS - 1 };
                pools.push(spec.pool.clone());
            }
            run.stages[index].reported = false;
        }
        for (made, bytes) in freed {
            self.free_result(&made, bytes, table);
        }
        self.dirty.extend(pools.iter().cloned());
        if !pools.iter().all(|pool| self.take_repeat(pool, table, now)) {
            self.cancel_job(job, JobReason::RepeatBudget, table);
        }
    }

    /// Avoids the endpoint of an overdue call, and requeues the pieces of the call.
    pub(super) fn abandon_call(&mut self, id: u64, table: &Table, now: Timestamp) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.is_abandoned = true;
        let (endpoint, pieces) = (call.endpoint.id.clone(), call.pieces.clone());
        self.avoid(&endpoint, "overdue", now);
        for (piece, _) in pieces {
            if self.is_running(piece, id) {
                self.requeue(piece, true, table, now);
            }
        }
    }
}

/// Outcome of a call as text for the log.
fn describe(outcome: &BatchOutcome) -> String {
    let BatchOutcome::Pieces(pieces) = outcome else {
        return format!("{outcome:?}");
    };
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for piece in pieces {
        let word = match piece {
            PieceOutcome::Made(_) => "made",
            PieceOutcome::Late => "late",
            PieceOutcome::InputGone => "input_gone",
            PieceOutcome::NoRoom => "no_room",
            PieceOutcome::Failed => "failed",
        };
        *counts.entry(word).or_default() += 1;
    }
    counts.iter().map(|(word, count)| format!("{word}={count}")).collect::<Vec<_>>().join(" ")
}
