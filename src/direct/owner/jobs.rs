//! State of one job at its owner: which pieces wait, run or are finished.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::direct::owner::ledger::Entry;
use crate::direct::owner::timings::Timings;
use crate::direct::peers::message::{Job, JobStage, StoredResult};
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;
use crate::policy::urgency::Urgency;

/// Minimum size of a transfer between data centres, in bytes, for which a piece waits for an
/// endpoint in its preferred data centre.
pub(super) const HEAVY_BYTES: u64 = 100_000;

/// State of one piece of a stage.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    /// The piece waits for a call.
    Waiting {
        /// Earlier attempts that count against the limit.
        attempts: u32,
    },
    /// The piece is in a running call.
    Running {
        /// Number of the call.
        call: u64,
        /// Earlier attempts that count against the limit.
        attempts: u32,
    },
    /// The result was produced and is kept by an endpoint.
    Produced(StoredResult),
    /// The result was used and is no longer kept.
    Freed,
}

/// State of one stage of a job.
#[derive(Debug, Clone, Default)]
pub struct StageRun {
    /// Pieces of the stage.
    pub pieces: Vec<Piece>,
    /// Whether the results were reported to the gateway, or received from it.
    pub reported: bool,
    /// Time when the first piece was sent.
    pub started: Option<Timestamp>,
    /// Time when the pieces could first be sent.
    pub runnable_since: Option<Timestamp>,
}

impl StageRun {
    /// Whether every piece has been produced.
    pub fn is_done(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Piece::Produced(_) | Piece::Freed))
    }

    /// Whether a piece still has to fetch its inputs; `has_fetched` is asked about the numbers of
    /// calls.
    pub fn needs_inputs(&self, has_fetched: impl Fn(u64) -> bool) -> bool {
        self.pieces.iter().any(|p| match p {
            Piece::Waiting { .. } => true,
            Piece::Running { call, .. } => !has_fetched(*call),
            Piece::Produced(_) | Piece::Freed => false,
        })
    }

    /// Number of waiting pieces.
    pub fn waiting(&self) -> usize {
        self.pieces.iter().filter(|p| matches!(p, Piece::Waiting { .. })).count()
    }

    /// Number of pieces that have not been produced.
    pub fn unfinished(&self) -> usize {
        let made = |p: &&Piece| matches!(p, Piece::Produced(_) | Piece::Freed);
        self.pieces.len() - self.pieces.iter().filter(made).count()
    }

    /// Number of pieces whose results occupy result memory or will do so.
    pub fn unfreed(&self) -> usize {
        self.pieces.iter().filter(|p| !matches!(p, Piece::Freed)).count()
    }

    /// The results that are kept; one for each piece where the stage is done and nothing was freed.
    pub fn results(&self) -> Vec<StoredResult> {
        let made = |p: &Piece| match p {
            Piece::Produced(made) => Some(made.clone()),
            _ => None,
        };
        self.pieces.iter().filter_map(made).collect()
    }
}

/// An admitted job.
#[derive(Debug, Clone)]
pub struct JobRun {
    /// The job as submitted.
    pub job: Job,
    /// Order of service among jobs.
    pub urgency: Urgency,
    /// Time until which a response meets the objective.
    pub objective: Timestamp,
    /// Time until which admission allowed the response to start: later than the objective if that
    /// is shorter than the work.
    pub admitted_end: Timestamp,
    /// Time until which the caller waits.
    pub deadline: Timestamp,
    /// State of each stage.
    pub stages: Vec<StageRun>,
    /// Whether the gateway was notified that all results are there.
    pub ready: bool,
    /// Data centre of the stages that exchange large results.
    pub heavy_data_centre: Option<Name>,
    /// For each stage, the expected duration of its call.
    pub calls: Vec<Duration>,
    /// Current entry in the ledgers of the job's pools.
    pub(super) entry: Entry,
}

impl JobRun {
    /// Starts a job that may take the time `allowed` until its response starts; results of stages
    /// that were finished under another owner are kept.
    pub(super) fn new(
        job: Job,
        allowed: Duration,
        table: &Table,
        timings: &Timings,
        now: Timestamp,
    ) -> Self {
        let stages = job
            .stages
            .iter()
            .map(|stage| {
                let is_done = stage.pieces > 0 && stage.done.len() == stage.pieces;
                let pieces = if is_done {
                    stage.done.iter().cloned().map(Piece::Produced).collect()
                } else {
                    vec![Piece::Waiting { attempts: u32::from(job.resubmitted) }; stage.pieces]
                };
                StageRun { pieces, reported: is_done, started: None, runnable_since: None }
            })
            .collect();
        let objective = now + job.to_objective;
        let admitted_end = now + allowed;
        let deadline = now + job.to_deadline;
        let calls = expected_calls(&job, table, timings, now);
        let urgency = urgency(&job, table);
        let (heavy_data_centre, entry) = (None, Entry::default());
        Self {
            job,
            urgency,
            objective,
            admitted_end,
            deadline,
            stages,
            ready: false,
            heavy_data_centre,
            calls,
            entry,
        }
    }

    /// Whether no piece was ever sent, here or under another owner.
    pub fn is_untouched(&self) -> bool {
        let is_new = |piece: &Piece| *piece == Piece::Waiting { attempts: 0 };
        let is_unsent =
            |stage: &StageRun| stage.started.is_none() && stage.pieces.iter().all(is_new);
        !self.job.resubmitted && self.stages.iter().all(is_unsent)
    }

    /// Whether all stages are done.
    pub fn is_done(&self) -> bool {
        self.stages.iter().all(StageRun::is_done)
    }

    /// Whether all stages that this one depends on are done.
    pub fn is_runnable(&self, stage: usize) -> bool {
        self.job.stages[stage].after.iter().all(|&a| self.stages[a].is_done())
    }

    /// Whether another stage still needs the results of this one. Pieces in calls for which
    /// `has_fetched` holds don't need them any more.
    pub fn is_needed(&self, stage: usize, has_fetched: impl Fn(u64) -> bool + Copy) -> bool {
        let mut later = self.job.stages.iter().zip(&self.stages);
        later.any(|(spec, run)| spec.after.contains(&stage) && run.needs_inputs(has_fetched))
    }

    /// Whether inputs of a stage were freed.
    pub fn lacks_inputs(&self, stage: usize) -> bool {
        let mut before = self.job.stages[stage].after.iter();
        before.any(|&b| self.stages[b].pieces.contains(&Piece::Freed))
    }

    /// Whether no other stage depends on this one.
    pub fn is_last(&self, stage: usize) -> bool {
        !self.job.stages.iter().any(|s| s.after.contains(&stage))
    }

    /// Whether a stage depends on no other and no other depends on it. Such a stage is deferred, so
    /// that its results don't wait for those of the others.
    pub fn is_independent(&self, stage: usize) -> bool {
        self.is_last(stage) && self.job.stages[stage].after.is_empty()
    }

    /// Whether a stage exchanges results with others that are large enough for its data centre to
    /// matter.
    pub fn is_heavy(&self, stage: usize) -> bool {
        !self.is_independent(stage) && self.moved_bytes(stage) >= HEAVY_BYTES
    }

    /// Indices of the stages for which [`Self::is_heavy`] holds.
    pub fn heavy_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.job.stages.len()).filter(|&s| self.is_heavy(s))
    }

    /// Preferred data centre of a stage: that of the stages with which it exchanges results or, for
    /// an independent stage, the data centre of the job, where the last results are needed.
    pub fn preferred_data_centre(&self, stage: usize) -> Option<&Name> {
        if self.is_independent(stage) {
            Some(&self.job.data_centre)
        } else {
            self.heavy_data_centre.as_ref()
        }
    }

    /// Bytes transferred between data centres if one piece of a stage runs outside its preferred
    /// data centre.
    pub fn moved_bytes(&self, stage: usize) -> u64 {
        let stages = &self.job.stages;
        let inputs =
            stages[stage].after.iter().map(|&a| stages[a].result_bytes * stages[a].pieces as u64);
        let users = stages.iter().filter(|s| s.after.contains(&stage)).map(|s| s.pieces as u64);
        inputs.sum::<u64>() + stages[stage].result_bytes * users.sum::<u64>().max(1)
    }

    /// Number of results that each piece of a stage has as inputs.
    pub fn inputs_of(&self, stage: usize) -> usize {
        self.job.stages[stage].after.iter().map(|&a| self.stages[a].pieces.len()).sum()
    }

    /// Stages that must run again to provide the inputs of `stage`: those that it depends on, and
    /// the stages before them as far as their results are no longer kept.
    pub fn stages_to_rerun(&self, stage: usize) -> BTreeSet<usize> {
        let mut again = BTreeSet::new();
        let mut open = self.job.stages[stage].after.clone();
        while let Some(index) = open.pop() {
            if again.insert(index) {
                let before = self.job.stages[index].after.iter().copied();
                open.extend(before.filter(|&b| self.stages[b].pieces.contains(&Piece::Freed)));
            }
        }
        again
    }

    /// Time from `now` until all stages are done if each takes one call, without the branch that
    /// ends in stage `without`.
    pub fn remaining_time(&self, without: Option<usize>, now: Timestamp) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.stages.len());
        let mut longest = Duration::ZERO;
        for (i, (spec, run)) in self.job.stages.iter().zip(&self.stages).enumerate() {
            let start = spec.after.iter().map(|&a| ends[a]).max().unwrap_or_default();
            let end = if run.is_done() {
                start
            } else {
                let begun = run.started.map_or(Duration::ZERO, |s| now.saturating_sub(s));
                start + self.calls[i].saturating_sub(begun)
            };
            ends.push(end);
            if without != Some(i) {
                longest = longest.max(end);
            }
        }
        longest
    }

    /// Time from the start of a stage until all stages that depend on it are done.
    pub fn critical_path_from(&self, stage: usize) -> Duration {
        let mut tails: Vec<Duration> = vec![Duration::ZERO; self.stages.len()];
        for i in (stage..self.stages.len()).rev() {
            let later =
                (i + 1..self.stages.len()).filter(|&l| self.job.stages[l].after.contains(&i));
            tails[i] = self.calls[i] + later.map(|l| tails[l]).max().unwrap_or_default();
        }
        tails[stage]
    }
}

/// Urgency of a job. A route that is not in this gateway's configuration is taken for one with the
/// priority of the job.
pub(super) fn urgency(job: &Job, table: &Table) -> Urgency {
    let route = table.deployment.routes.iter().find(|route| route.name == job.route);
    Urgency { priority: job.priority, route: route.map_or(job.priority, |r| r.priority) }
}

/// For each stage of a job, the expected duration of its call.
pub(super) fn expected_calls(
    job: &Job,
    table: &Table,
    timings: &Timings,
    now: Timestamp,
) -> Vec<Duration> {
    job.stages.iter().map(|stage| expected_call(stage, table, timings, now)).collect()
}

/// Expected duration of a stage's call: as long as the pool's recent calls, which hold pieces of
/// other jobs, but at least as long as its own pieces take, or as many as a call can hold.
pub(super) fn expected_call(
    stage: &JobStage,
    table: &Table,
    timings: &Timings,
    now: Timestamp,
) -> Duration {
    let Some(spec) = table.batch_spec(&stage.pool) else {
        return Duration::ZERO;
    };
    let own = spec.call_with(stage.pieces.min(spec.pieces));
    own.max(timings.get(&stage.pool, spec, now).call())
}
