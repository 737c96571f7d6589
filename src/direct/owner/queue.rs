//! Waiting pieces of one pool, stages with the least slack first.
//!
//! Stages are grouped by preferred data centre. Adding or removing a stage costs the logarithm of
//! the queue's length; choosing a call costs the size of one call and of the next calls of one data
//! centre, whatever the length of the queue.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::owner::placement::{AwayReason, NearStarts};
use crate::direct::peers::message::JobId;
use crate::direct::published::model::Name;
use crate::direct::published::regions::AllowedRegions;
use crate::message::Timestamp;

/// Position of a stage in the order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Latest start with which the response meets its objective, in milliseconds of the owner's
    /// clock.
    pub latest_start_ms: i64,
    /// Job of the stage.
    pub job: JobId,
    /// Index of the stage in the job.
    pub stage: usize,
}

impl Rank {
    /// Latest start as a time of the owner's clock.
    fn latest_start(&self) -> Timestamp {
        Duration::from_millis(self.latest_start_ms.max(0) as u64)
    }
}

/// Waiting pieces of one stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) rank: Rank,
    pub(super) pieces: usize,
    /// Size of each result in bytes.
    pub(super) bytes: u64,
    /// Preferred data centre, which has the inputs or needs the results; `None` where that does not
    /// matter.
    pub(super) preferred: Option<Name>,
    /// Regions in which the pieces may run.
    pub(super) allowed_regions: AllowedRegions,
}

/// Pieces that may go into the next call.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) pieces: usize,
    pub(super) bytes: u64,
    pub(super) preferred: Option<Name>,
    /// Regions in which the pieces may run.
    pub(super) allowed_regions: AllowedRegions,
    /// Why the pieces accept endpoints outside the preferred data centre; `None` if they don't, or
    /// if they have no preferred data centre.
    pub(super) away: Option<AwayReason>,
}

impl Candidate {
    /// Whether the pieces accept only endpoints in the preferred data centre for now.
    pub(super) const fn only_preferred(&self) -> bool {
        self.preferred.is_some() && self.away.is_none()
    }
}

/// Bounds of a search for candidates.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search {
    pub(super) now_ms: i64,
    /// Number of pieces after which the search of a group ends.
    pub(super) max_pieces: usize,
}

impl Search {
    /// Orders stages that can no longer meet their objective after all that can.
    const fn order(&self, rank: Rank) -> (bool, Rank) {
        (rank.latest_start_ms < self.now_ms, rank)
    }

    /// Orders pieces that leave their data centre only because the wait there is long after those
    /// that need a call now: they use endpoints, and capacity of calls, that would be idle.
    const fn candidate_order(&self, candidate: &Candidate) -> (bool, bool, Rank) {
        let (is_missed, rank) = self.order(candidate.rank);
        (is_missed, matches!(candidate.away, Some(AwayReason::LongWait)), rank)
    }
}

/// Waiting pieces of a stage, stored by rank.
#[derive(Debug)]
struct Queued {
    pieces: usize,
    bytes: u64,
    allowed_regions: AllowedRegions,
}

impl Queued {
    fn candidate(
        &self,
        rank: Rank,
        preferred: Option<&Name>,
        away: Option<AwayReason>,
    ) -> Candidate {
        let Self { pieces, bytes, ref allowed_regions } = *self;
        let (preferred, allowed_regions) = (preferred.cloned(), allowed_regions.clone());
        Candidate { rank, pieces, bytes, preferred, allowed_regions, away }
    }
}

/// Stages with the same preferred data centre.
#[derive(Debug, Default)]
struct Group {
    stages: BTreeMap<Rank, Queued>,
    pieces: usize,
}

type Entry<'a> = (&'a Rank, &'a Queued);

impl Group {
    /// Lower bound of the ranks of stages that can still meet their objective.
    const fn first_in_time(now_ms: i64) -> Rank {
        Rank { latest_start_ms: now_ms, job: JobId::LOWEST, stage: 0 }
    }

    /// Stages that can meet their objective, most urgent first.
    fn in_time(&self, now_ms: i64) -> impl Iterator<Item = Entry<'_>> {
        self.stages.range(Self::first_in_time(now_ms)..)
    }

    /// Stages that can no longer meet their objective.
    fn missed(&self, now_ms: i64) -> impl Iterator<Item = Entry<'_>> {
        self.stages.range(..Self::first_in_time(now_ms))
    }
}

/// All waiting pieces of one pool.
#[derive(Debug, Default)]
pub(super) struct Queue {
    groups: BTreeMap<Option<Name>, Group>,
}

impl Queue {
    pub(super) fn add(&mut self, waiting: &Waiting) {
        let group = self.groups.entry(waiting.preferred.clone()).or_default();
        let Waiting { pieces, bytes, ref allowed_regions, .. } = *waiting;
        group.stages.insert(
            waiting.rank,
            Queued { pieces, bytes, allowed_regions: allowed_regions.clone() },
        );
        group.pieces += waiting.pieces;
    }

    pub(super) fn remove(&mut self, waiting: &Waiting) {
        let Some(group) = self.groups.get_mut(&waiting.preferred) else {
            return;
        };
        if let Some(queued) = group.stages.remove(&waiting.rank) {
            group.pieces -= queued.pieces;
        }
        if group.stages.is_empty() {
            self.groups.remove(&waiting.preferred);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Number of waiting pieces.
    pub(super) fn pieces(&self) -> usize {
        self.groups.values().map(|g| g.pieces).sum()
    }

    /// The waiting stages, most urgent first.
    pub(super) fn in_order(&self, now_ms: i64) -> Vec<Rank> {
        let search = Search { now_ms, max_pieces: 0 };
        let mut ranks: Vec<Rank> =
            self.groups.values().flat_map(|g| g.stages.keys().copied()).collect();
        ranks.sort_unstable_by_key(|rank| search.order(*rank));
        ranks
    }

    /// The pieces that may go into the next call, most urgent first.
    ///
    /// `near_starts` returns the expected starts of the next calls in a data centre.
    pub(super) fn candidates<'a>(
        &self,
        search: Search,
        near_starts: impl Fn(&Name) -> NearStarts<'a>,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (preferred, group) in &self.groups {
            match preferred {
                Some(preferred) => {
                    let near = near_starts(preferred);
                    add_bound(group, preferred, near, search, &mut candidates);
                }
                None => add_unbound(group, search, &mut candidates),
            }
        }
        candidates.sort_unstable_by_key(|c| search.candidate_order(c));
        candidates
    }
}

/// Adds the candidates of the stages without a preferred data centre.
fn add_unbound(group: &Group, search: Search, candidates: &mut Vec<Candidate>) {
    let mut found = 0;
    let missed = group.missed(search.now_ms);
    for (rank, queued) in group.in_time(search.now_ms).chain(missed) {
        if found >= search.max_pieces {
            return;
        }
        found += queued.pieces;
        candidates.push(queued.candidate(*rank, None, None));
    }
}

/// Adds the candidates of the stages with one preferred data centre; those that wait for it are
/// skipped if no endpoint is free there.
fn add_bound(
    group: &Group,
    preferred: &Name,
    mut near: NearStarts<'_>,
    search: Search,
    candidates: &mut Vec<Candidate>,
) {
    let (mut ahead, mut found) = (0, 0);
    let in_time = group.in_time(search.now_ms).map(|entry| (entry, true));
    let missed = group.missed(search.now_ms).map(|entry| (entry, false));
    for ((rank, queued), is_in_time) in in_time.chain(missed) {
        if !near.is_allowed(&queued.allowed_regions) {
            found += queued.pieces;
            candidates.push(queued.candidate(*rank, Some(preferred), Some(AwayReason::NoEndpoint)));
            continue;
        }
        let is_free = near.is_free_for(queued.bytes);
        let latest_start = is_in_time.then(|| rank.latest_start());
        let all_wait = latest_start.is_some_and(|latest| near.all_wait(latest, group.pieces));
        if found >= search.max_pieces || all_wait && !is_free {
            return;
        }
        let last = ahead + queued.pieces.saturating_sub(1);
        let away = near.away_reason(last, queued.bytes, latest_start);
        if away.is_none() {
            ahead += queued.pieces;
        }
        if away.is_some() || is_free {
            found += queued.pieces;
            candidates.push(queued.candidate(*rank, Some(preferred), away));
        }
    }
}
