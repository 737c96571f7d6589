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
use crate::direct::owner::calls::{Call, Part, PieceId};
use crate::direct::owner::scheduler::Scheduler;
use crate::direct::peers::message::{Job, JobId, JobReason};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Quarantined, Suspects};
use crate::direct::poison::{Report, Run, Unanswered};
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
            self.give_up(id, JobReason::Failed, table);
        }
    }

    /// Whether pieces of a job's stage are sent in calls of their own.
    pub(super) fn goes_alone(&self, id: JobId, stage: usize) -> bool {
        let part = || Some(self.jobs.get(&id)?.job.fingerprint.of_stage(stage));
        !self.suspects.is_empty() && part().is_some_and(|part| self.suspects.goes_alone(part))
    }

    /// Stages that have pieces in a call, each listed once.
    pub(super) fn parts(&self, pieces: &[(PieceId, u64)]) -> Vec<Part> {
        let mut stages: Vec<_> = pieces.iter().map(|((id, stage, _), _)| (*id, *stage)).collect();
        stages.sort_unstable();
        stages.dedup();
        let alone = stages.len() == 1;
        let part = |(job, stage)| {
            let fingerprint = self.jobs.get(&job)?.job.fingerprint.of_stage(stage);
            let round = self.suspects.rounds(fingerprint).saturating_add(1);
            Some(Part { job, stage, run: Run { fingerprint, round, alone } })
        };
        stages.into_iter().filter_map(part).collect()
    }

    /// Reports that a call was not answered.
    pub(super) fn report_unanswered(&mut self, call: &Call, how: Unanswered) {
        self.out.push(Action::PoisonReport(Report::Unanswered {
            endpoint: call.endpoint.clone(),
            runs: call.parts.iter().map(|part| part.run).collect(),
            how,
        }));
    }

    /// Reports the stages of a call that produced a result: they don't crash endpoints.
    pub(super) fn report_success(&mut self, call: &Call, outcomes: &[PieceOutcome]) {
        let made = call.pieces.iter().zip(outcomes);
        let made = made.filter(|(_, outcome)| matches!(outcome, PieceOutcome::Made(_)));
        let made: BTreeSet<(JobId, usize)> = made.map(|(((j, s, _), _), _)| (*j, *s)).collect();
        let well = call.parts.iter().filter(|part| made.contains(&(part.job, part.stage)));
        let reports =
            well.map(|part| Action::PoisonReport(Report::Succeeded(part.run.fingerprint)));
        self.out.extend(reports);
    }
}
