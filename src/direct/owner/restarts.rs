//! Recovery from endpoints that restart under their ids: pieces in their calls are sent again, and
//! lost results are produced again.

use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::jobs::{JobRun, Piece};
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{JobId, JobReason};
use crate::direct::poison::Unanswered;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;

impl Scheduler {
    /// Handles a new incarnation of an endpoint.
    pub fn restarted(&mut self, endpoint: &Name, table: &Table, now: Timestamp) {
        self.producers.restarted(endpoint);
        self.end_lost_calls(endpoint, table, now);
        for (job, stage) in self.drop_lost_results(endpoint) {
            self.rerun(job, stage, table, now);
        }
    }

    /// Ends the calls to the previous incarnation, which are never answered.
    fn end_lost_calls(&mut self, endpoint: &Name, table: &Table, now: Timestamp) {
        let incarnation = table.endpoint(endpoint).map(|e| e.incarnation);
        let lost = self.calls.iter().filter(|(_, call)| {
            call.endpoint.id == *endpoint && Some(call.endpoint.incarnation) != incarnation
        });
        let mut lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            self.ledger.call_ended(id, &call);
            self.out.push(Action::Log(LogEvent::BatchEnded {
                call: id,
                endpoint: endpoint.clone(),
                outcome: "endpoint restarted".to_owned(),
                took_ms: ms(now.saturating_sub(call.sent)),
            }));
            self.report_unanswered(&call, Unanswered::Silent);
            self.requeue_pieces(&call, id, true, table, now);
            self.dirty.insert(call.pool);
        }
    }

    /// Drops the results that the previous incarnation kept, and returns the stages that lack them.
    /// The results of a job that is ready are being fetched by its last endpoint, which reports if
    /// they are gone.
    fn drop_lost_results(&mut self, endpoint: &Name) -> Vec<(JobId, usize)> {
        let mut lacking = Vec::new();
        for (id, run) in &mut self.jobs {
            for stage in 0..run.stages.len() {
                if drop_results(run, stage, endpoint) {
                    lacking.push((*id, stage));
                }
            }
        }
        lacking
    }

    /// Runs a stage again that lacks results, unless its job is ready.
    fn rerun(&mut self, id: JobId, stage: usize, table: &Table, now: Timestamp) {
        let Some(run) = self.job_mut(id).filter(|run| !run.ready) else {
            return;
        };
        run.stages[stage].reported = false;
        let lacks_inputs = run.lacks_inputs(stage);
        let pool = run.job.stages[stage].pool.clone();
        if !self.take_repeat(&pool, table, now) {
            return self.cancel_job(id, JobReason::RepeatBudget, table);
        }
        self.dirty.insert(pool);
        if lacks_inputs {
            self.rerun_inputs(id, stage, table, now);
        }
    }
}

/// Drops the results of a stage that an endpoint kept; returns whether there were any.
fn drop_results(run: &mut JobRun, stage: usize, endpoint: &Name) -> bool {
    let replacement = if run.ready { Piece::Freed } else { Piece::Waiting { attempts: 1 } };
    let mut dropped = false;
    for piece in &mut run.stages[stage].pieces {
        if matches!(piece, Piece::Produced(made) if made.endpoint == *endpoint) {
            *piece = replacement.clone();
            dropped = true;
        }
    }
    dropped
}
