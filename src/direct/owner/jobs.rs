//! The state of one job at the owner of its pools: pieces that wait, run or are made.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::direct::owner::ledger::Entry;
use crate::direct::peers::message::{Job, JobStage, Made};
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Results of that many bytes would cross between data centres: their place is worth waiting for.
pub(super) const HEAVY: u64 = 100_000;

/// One piece of a stage.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    /// It waits; so many times it was sent before.
    Waiting {
        /// Sends before.
        tries: u32,
    },
    /// It is in this call.
    Running {
        /// The call.
        call: u64,
        /// Sends before this one.
        tries: u32,
    },
    /// Its result is there.
    Made(Made),
    /// Its result was used and is freed.
    Used,
}

/// One stage.
#[derive(Debug, Clone, Default)]
pub struct StageRun {
    /// Its pieces.
    pub pieces: Vec<Piece>,
    /// Whether the gateway knows its results.
    pub told: bool,
    /// When its first piece was sent.
    pub started: Option<Timestamp>,
    /// When its pieces could first be made.
    pub opened: Option<Timestamp>,
}

impl StageRun {
    /// Whether every piece is made.
    pub fn is_done(&self) -> bool {
        self.pieces.iter().all(|p| matches!(p, Piece::Made(_) | Piece::Used))
    }

    /// Whether a piece still has to fetch its inputs.
    pub fn needs_inputs(&self, has_fetched: impl Fn(u64) -> bool) -> bool {
        self.pieces.iter().any(|p| match p {
            Piece::Waiting { .. } => true,
            Piece::Running { call, .. } => !has_fetched(*call),
            Piece::Made(_) | Piece::Used => false,
        })
    }

    /// Pieces that wait.
    pub fn waiting(&self) -> usize {
        self.pieces.iter().filter(|p| matches!(p, Piece::Waiting { .. })).count()
    }

    /// Pieces that are not made.
    pub fn open(&self) -> usize {
        let made = |p: &&Piece| matches!(p, Piece::Made(_) | Piece::Used);
        self.pieces.len() - self.pieces.iter().filter(made).count()
    }

    /// Pieces whose results fill or will fill room.
    pub fn unused(&self) -> usize {
        self.pieces.iter().filter(|p| !matches!(p, Piece::Used)).count()
    }

    /// The results, where the stage is done.
    pub fn results(&self) -> Vec<Made> {
        let made = |p: &Piece| match p {
            Piece::Made(made) => Some(made.clone()),
            _ => None,
        };
        self.pieces.iter().filter_map(made).collect()
    }
}

/// A job that was begun.
#[derive(Debug, Clone)]
pub struct JobRun {
    /// What was asked.
    pub job: Job,
    /// Until when the answer is in time.
    pub objective: Timestamp,
    /// Until when the caller waits.
    pub deadline: Timestamp,
    /// Its stages.
    pub stages: Vec<StageRun>,
    /// Whether the gateway was told that all is there.
    pub ready: bool,
    /// The data centre of the stages between which results are moved.
    pub inner_home: Option<Name>,
    /// For each stage, the time of a call that holds all of it.
    pub calls: Vec<Duration>,
    /// What it has entered in the ledgers of its pools.
    pub(super) entry: Entry,
}

impl JobRun {
    /// Begins a job; what another owner has made is taken over.
    pub fn new(job: Job, table: &Table, now: Timestamp) -> Self {
        let stages = job
            .stages
            .iter()
            .map(|stage| {
                let is_done = stage.pieces > 0 && stage.done.len() == stage.pieces;
                let pieces = if is_done {
                    stage.done.iter().cloned().map(Piece::Made).collect()
                } else {
                    vec![Piece::Waiting { tries: u32::from(job.resubmitted) }; stage.pieces]
                };
                StageRun { pieces, told: is_done, started: None, opened: None }
            })
            .collect();
        let objective = now + job.to_objective;
        let deadline = now + job.to_deadline;
        let calls = expected_calls(&job, table);
        let (inner_home, entry) = (None, Entry::default());
        Self { job, objective, deadline, stages, ready: false, inner_home, calls, entry }
    }

    /// Whether everything is made.
    pub fn is_done(&self) -> bool {
        self.stages.iter().all(StageRun::is_done)
    }

    /// Whether the stages before this one are done.
    pub fn is_open(&self, stage: usize) -> bool {
        self.job.stages[stage].after.iter().all(|&a| self.stages[a].is_done())
    }

    /// Whether a stage's results are needed by another stage that is not done, leaving out pieces
    /// whose call `has_fetched` its inputs.
    pub fn is_needed(&self, stage: usize, has_fetched: impl Fn(u64) -> bool + Copy) -> bool {
        let mut later = self.job.stages.iter().zip(&self.stages);
        later.any(|(spec, run)| spec.after.contains(&stage) && run.needs_inputs(has_fetched))
    }

    /// Whether results that this stage needs were freed.
    pub fn lacks_inputs(&self, stage: usize) -> bool {
        let mut before = self.job.stages[stage].after.iter();
        before.any(|&b| self.stages[b].pieces.contains(&Piece::Used))
    }

    /// Whether no other stage needs this one's results.
    pub fn is_last(&self, stage: usize) -> bool {
        !self.job.stages.iter().any(|s| s.after.contains(&stage))
    }

    /// Whether a stage neither needs another one nor is needed by one: it is held back, so that its
    /// results don't wait for the others.
    pub fn stands_alone(&self, stage: usize) -> bool {
        self.is_last(stage) && self.job.stages[stage].after.is_empty()
    }

    /// Whether a stage and others hand results to one another, so much that their place matters.
    pub fn is_heavy(&self, stage: usize) -> bool {
        !self.stands_alone(stage) && self.moved_bytes(stage) >= HEAVY
    }

    /// Stages whose place matters to one another.
    pub fn heavy_stages(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.job.stages.len()).filter(|&s| self.is_heavy(s))
    }

    /// Where a stage's pieces are best made: with the stages that it hands results to or gets them
    /// from, or else where the last results are needed.
    pub fn home(&self, stage: usize) -> Option<&Name> {
        if self.stands_alone(stage) {
            Some(&self.job.data_centre)
        } else {
            self.inner_home.as_ref()
        }
    }

    /// Bytes that would cross between data centres for one piece that is made elsewhere.
    pub fn moved_bytes(&self, stage: usize) -> u64 {
        let stages = &self.job.stages;
        let inputs =
            stages[stage].after.iter().map(|&a| stages[a].result_bytes * stages[a].pieces as u64);
        let users = stages.iter().filter(|s| s.after.contains(&stage)).map(|s| s.pieces as u64);
        inputs.sum::<u64>() + stages[stage].result_bytes * users.sum::<u64>().max(1)
    }

    /// The results that a stage's pieces need.
    pub fn inputs_of(&self, stage: usize) -> usize {
        self.job.stages[stage].after.iter().map(|&a| self.stages[a].pieces.len()).sum()
    }

    /// The stages that must be made again so that `stage` gets inputs: those before it, and those
    /// before them as far as their results are not kept any more.
    pub fn to_make_again(&self, stage: usize) -> BTreeSet<usize> {
        let mut again = BTreeSet::new();
        let mut open = self.job.stages[stage].after.clone();
        while let Some(index) = open.pop() {
            if again.insert(index) {
                let before = self.job.stages[index].after.iter().copied();
                open.extend(before.filter(|&b| self.stages[b].pieces.contains(&Piece::Used)));
            }
        }
        again
    }

    /// The time from now until everything is made, if each stage takes one call; the branch that ends
    /// in `without`, if any, is left out.
    pub fn remaining(&self, without: Option<usize>, now: Timestamp) -> Duration {
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

    /// The time from the start of a stage until everything after it is made.
    pub fn from_stage(&self, stage: usize) -> Duration {
        let mut tails: Vec<Duration> = vec![Duration::ZERO; self.stages.len()];
        for i in (stage..self.stages.len()).rev() {
            let later =
                (i + 1..self.stages.len()).filter(|&l| self.job.stages[l].after.contains(&i));
            tails[i] = self.calls[i] + later.map(|l| tails[l]).max().unwrap_or_default();
        }
        tails[stage]
    }
}

/// For each stage of a job, the time of a call that holds all of it.
pub(super) fn expected_calls(job: &Job, table: &Table) -> Vec<Duration> {
    let call = |stage: &JobStage| {
        let spec = table.batch(&stage.pool)?;
        Some(spec.call + spec.piece * stage.pieces.min(spec.pieces) as u32)
    };
    job.stages.iter().map(|stage| call(stage).unwrap_or_default()).collect()
}
