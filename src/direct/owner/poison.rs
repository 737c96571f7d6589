//! Jobs whose pieces crash the endpoints that make them.
//!
//! A call holds pieces of many jobs, and all of them break off when its endpoint crashes. Put into the next call
//! together, they would be there again when that one crashes, and nobody could tell the innocent from the guilty. So
//! what two endpoints have crashed under goes into a call of its own: the innocent are made there and
//! cleared, and the guilty one crashes at most one more endpoint.

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
    /// What is known of contents under which endpoints crashed.
    pub fn set_suspects(&mut self, suspects: Arc<Suspects>) {
        self.suspects = suspects;
    }

    /// What of a job is refused.
    pub(super) fn poison_in(&self, job: &Job) -> Option<Fingerprint> {
        self.suspects.poison_in(job.fingerprint, job.stages.len())
    }

    /// Contents are refused from now on: their jobs are given up.
    pub fn quarantined(&mut self, quarantined: &[Quarantined], table: &Table) {
        if quarantined.is_empty() {
            return;
        }
        let jobs = self.jobs.iter().filter(|(_, run)| self.poison_in(&run.job).is_some());
        for id in jobs.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.give_up(id, JobReason::Failed, table);
        }
    }

    /// Whether pieces of a job's stage go into a call of their own.
    pub(super) fn goes_alone(&self, id: JobId, stage: usize) -> bool {
        let part = || Some(self.jobs.get(&id)?.job.fingerprint.of_stage(stage));
        !self.suspects.is_empty() && part().is_some_and(|part| self.suspects.goes_alone(part))
    }

    /// What runs in a call, each stage of a job once.
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

    /// A call was not answered.
    pub(super) fn report_unanswered(&mut self, call: &Call, how: Unanswered) {
        self.out.push(Action::PoisonReport(Report::Unanswered {
            endpoint: call.endpoint.clone(),
            runs: call.parts.iter().map(|part| part.run).collect(),
            how,
        }));
    }

    /// A call ended well: stages of which something was made crash no endpoints.
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
