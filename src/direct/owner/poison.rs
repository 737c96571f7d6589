//! Isolation of jobs whose pieces crash endpoints.
//!
//! A call holds pieces of many jobs, and all of them fail if its endpoint crashes. If they were
//! sent in the next call together, they would be in its crash together again, and the cause could
//! not be identified. So pieces under which two endpoints have crashed are sent in calls of their
//! own: harmless ones succeed there and are cleared, and a poison request crashes at most one more
//! endpoint.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::direct::answers::PieceOutcome;
use crate::direct::event::Action;
use crate::direct::owner::calls::{Call, CallStage, PieceId};
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId, JobReason};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Quarantined, Suspects};
use crate::direct::poison::{Run, RunReport, SubjectKind, Unanswered};
use crate::direct::published::table::Table;

impl Scheduler {
    /// Replaces the fingerprints under which endpoints crashed.
    pub fn set_suspects(&mut self, suspects: Arc<Suspects>) {
        self.suspects = suspects;
    }

    /// The quarantined fingerprint of a job, if it has one.
    pub(super) fn poison_in(&self, job: &Job) -> Option<Fingerprint> {
        self.suspects.poison_in(job.fingerprint, job.stages.len())
    }

    /// Cancels the jobs whose fingerprints are now quarantined.
    pub fn quarantined(&mut self, quarantined: &[Quarantined], table: &Table) {
        if quarantined.is_empty() {
            return;
        }
        let jobs = self.jobs.iter().filter(|(_, run)| self.poison_in(&run.job).is_some());
        for id in jobs.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.cancel_job(id, JobReason::Failed, table);
        }
    }

    /// Whether pieces of a job's stage are sent in calls of their own.
    pub(super) fn is_isolated(&self, id: JobId, stage: usize) -> bool {
        let fingerprint = || Some(self.jobs.get(&id)?.job.fingerprint.of_stage(stage));
        !self.suspects.is_empty()
            && fingerprint().is_some_and(|of_stage| self.suspects.is_isolated(of_stage))
    }

    /// Stages that have pieces in a call, each listed once.
    pub(super) fn call_stages(&self, pieces: &[(PieceId, u64)]) -> Vec<CallStage> {
        let mut stages: Vec<_> = pieces.iter().map(|((id, stage, _), _)| (*id, *stage)).collect();
        stages.sort_unstable();
        stages.dedup();
        let alone = stages.len() == 1;
        let stage = |(job, stage)| {
            let fingerprint = self.jobs.get(&job)?.job.fingerprint.of_stage(stage);
            let round = self.suspects.rounds(fingerprint).saturating_add(1);
            let kind = SubjectKind::Content;
            let run = Run { kind, fingerprint, depth: 0, round, alone };
            Some(CallStage { job, stage, run })
        };
        stages.into_iter().filter_map(stage).collect()
    }

    /// Reports that a call was not answered.
    pub(super) fn report_unanswered(&mut self, call: &Call, how: Unanswered) {
        self.out.push(Action::PoisonReport(RunReport::Unanswered {
            endpoint: call.endpoint.clone(),
            runs: call.stages.iter().map(|stage| stage.run).collect(),
            how,
        }));
    }

    /// Reports the stages of a call that produced a result: they don't crash endpoints.
    pub(super) fn report_success(&mut self, call: &Call, outcomes: &[PieceOutcome]) {
        let made = call.pieces.iter().zip(outcomes);
        let made = made.filter(|(_, outcome)| matches!(outcome, PieceOutcome::Made(_)));
        let made: BTreeSet<(JobId, usize)> = made.map(|(((j, s, _), _), _)| (*j, *s)).collect();
        let succeeded = call.stages.iter().filter(|run| made.contains(&(run.job, run.stage)));
        let reports = succeeded
            .map(|stage| Action::PoisonReport(RunReport::Succeeded(stage.run.fingerprint)));
        self.out.extend(reports);
    }
}
