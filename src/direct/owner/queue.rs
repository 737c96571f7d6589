//! Waiting pieces of one pool in the order of service: stages that can still meet their objective
//! by urgency, and by latest start within one; then those that can't.
//!
//! Stages that missed their latest start long ago lead a part of the calls, so that a steady load
//! of more urgent ones does not keep them, and the results that their jobs hold, forever. A stage
//! is sent as a whole; the part is kept on average over calls.
//!
//! Stages are grouped by preferred data centre. Adding or removing a stage costs the logarithm of
//! the queue's length; choosing a call costs the number of different urgencies and of the seconds
//! over which their latest starts are spread, the size of one call and that of the next calls of
//! one data centre, whatever the length of the queue.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::owner::placement::{AwayReason, NearStarts};
use crate::direct::peers::message::JobId;
use crate::direct::published::model::Name;
use crate::direct::published::regions::AllowedRegions;
use crate::message::Timestamp;
use crate::policy::path::GUARANTEED_SHARE;
use crate::policy::urgency::Urgency;

/// Time after its latest start from which a stage is overdue. Its caller has waited longer than
/// its objective and keeps waiting; a begun job also holds the results of its earlier stages.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(1);

/// Number of other pieces that are sent for each piece of an overdue stage that led a call.
const OTHERS_PER_OVERDUE: usize = (1.0 / GUARANTEED_SHARE) as usize - 1;
/// Length of the intervals of latest starts by which waiting pieces are counted, in milliseconds.
const START_INTERVAL_MS: i64 = 1_000;

/// Position of a stage in the order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Latest start with which the response starts within the time that admission allowed, in
    /// milliseconds of the owner's clock.
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
    class: Class,
}

impl Candidate {
    /// Whether the pieces lead the call because they are overdue.
    pub(super) const fn leads_as_overdue(&self) -> bool {
        matches!(self.class, Class::Overdue)
    }

    /// Whether the pieces accept only endpoints in the preferred data centre for now.
    pub(super) const fn only_preferred(&self) -> bool {
        self.preferred.is_some() && self.away.is_none()
    }

    /// Orders pieces that leave their data centre only because the wait there is long after those
    /// that need a call now: they use endpoints, and capacity of calls, that would be idle.
    const fn order(&self) -> (Class, bool, Rank) {
        (self.class, matches!(self.away, Some(AwayReason::LongWait)), self.rank)
    }
}

/// Parts of the queue, in the order of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Missed their latest start long ago and get the part of the call that is kept for them.
    Overdue,
    /// Can meet their objective.
    InTime,
    /// Can no longer meet their objective.
    Missed,
}

/// Bounds of a search for candidates.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search {
    pub(super) now_ms: i64,
    /// Number of pieces after which the search of one urgency in a group ends.
    pub(super) max_pieces: usize,
    /// Number of pieces of the call that are kept for overdue stages, which may exceed it by the
    /// rest of the last stage.
    pub(super) overdue_pieces: usize,
}

impl Search {
    const fn is_overdue(&self, rank: Rank) -> bool {
        rank.latest_start_ms < self.now_ms - OVERDUE_AFTER.as_millis() as i64
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
    /// A candidate without a preferred data centre.
    fn candidate(&self, rank: Rank, class: Class) -> Candidate {
        let Self { pieces, bytes, ref allowed_regions } = *self;
        let allowed_regions = allowed_regions.clone();
        Candidate { rank, pieces, bytes, preferred: None, allowed_regions, away: None, class }
    }
}

/// Stages with the same preferred data centre.
#[derive(Debug, Default)]
struct Group {
    stages: BTreeMap<Rank, Queued>,
    pieces: usize,
    /// Pieces by urgency and interval of the latest start.
    pieces_by_start: BTreeMap<(Urgency, i64), usize>,
}

/// Interval of a latest start.
const fn start_interval(latest_start_ms: i64) -> i64 {
    latest_start_ms.div_euclid(START_INTERVAL_MS)
}

/// Key under which the pieces of a stage are counted.
const fn start_key(rank: Rank) -> (Urgency, i64) {
    (rank.urgency, start_interval(rank.latest_start_ms))
}

type Entry<'a> = (&'a Rank, &'a Queued);

impl Group {
    /// Lower bound of the ranks of one urgency whose latest start is not before `latest_start_ms`.
    const fn first_of(urgency: Urgency, latest_start_ms: i64) -> Rank {
        Rank { urgency, latest_start_ms, job: JobId::LOWEST, stage: 0 }
    }

    /// The urgencies of the waiting pieces, the highest first.
    fn urgencies(&self) -> impl Iterator<Item = Urgency> + '_ {
        let mut last = None;
        let urgencies = self.pieces_by_start.keys().map(|(urgency, _)| *urgency);
        urgencies.filter(move |urgency| last.replace(*urgency) != Some(*urgency))
    }

    /// Number of pieces of one urgency that can meet their objective; those whose latest start has
    /// passed in the current interval are included.
    fn pieces_in_time(&self, urgency: Urgency, now_ms: i64) -> usize {
        let first = (urgency, start_interval(now_ms));
        let in_time = self.pieces_by_start.range(first..=(urgency, i64::MAX));
        in_time.map(|(_, pieces)| pieces).sum()
    }

    /// Stages of one urgency that can meet their objective, most urgent first.
    fn in_time(&self, urgency: Urgency, now_ms: i64) -> impl Iterator<Item = Entry<'_>> {
        let from_first = self.stages.range(Self::first_of(urgency, now_ms)..);
        from_first.take_while(move |(rank, _)| rank.urgency == urgency)
    }

    /// Stages of one urgency that can no longer meet their objective, the oldest first.
    fn missed(&self, urgency: Urgency, now_ms: i64) -> impl Iterator<Item = Entry<'_>> {
        let first = Self::first_of(urgency, i64::MIN);
        self.stages.range(first..Self::first_of(urgency, now_ms))
    }
}

/// All waiting pieces of one pool.
#[derive(Debug, Default)]
pub(super) struct Queue {
    groups: BTreeMap<Option<Name>, Group>,
    /// Number of other pieces to send before an overdue stage leads a call again.
    others_due: usize,
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
        *group.pieces_by_start.entry(start_key(waiting.rank)).or_default() += waiting.pieces;
    }

    pub(super) fn remove(&mut self, waiting: &Waiting) {
        let Some(group) = self.groups.get_mut(&waiting.preferred) else {
            return;
        };
        if let Some(queued) = group.stages.remove(&waiting.rank) {
            group.pieces -= queued.pieces;
            let key = start_key(waiting.rank);
            if let Some(pieces) = group.pieces_by_start.get_mut(&key) {
                *pieces -= queued.pieces;
                if *pieces == 0 {
                    group.pieces_by_start.remove(&key);
                }
            }
        }
        if group.stages.is_empty() {
            self.groups.remove(&waiting.preferred);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Whether overdue stages have had their share of the pool for now.
    pub(super) const fn owes_others(&self) -> bool {
        self.others_due > 0
    }

    /// Records the pieces of a call: those of overdue stages that led it, and others.
    pub(super) fn record_sent(&mut self, overdue: usize, others: usize) {
        self.others_due += overdue * OTHERS_PER_OVERDUE;
        self.others_due = self.others_due.saturating_sub(others);
    }

    /// Number of waiting pieces.
    pub(super) fn pieces(&self) -> usize {
        self.groups.values().map(|g| g.pieces).sum()
    }

    /// The waiting stages, most urgent first.
    pub(super) fn in_order(&self, now_ms: i64) -> Vec<Rank> {
        let mut ranks: Vec<Rank> =
            self.groups.values().flat_map(|g| g.stages.keys().copied()).collect();
        ranks.sort_unstable_by_key(|rank| (rank.latest_start_ms < now_ms, *rank));
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
        keep_part_for_overdue(&mut candidates, search);
        candidates.sort_unstable_by_key(Candidate::order);
        candidates
    }
}

/// Moves the oldest overdue stages to the front, up to the part of the call that is kept for them.
fn keep_part_for_overdue(candidates: &mut [Candidate], search: Search) {
    let overdue = candidates.iter_mut().filter(|c| search.is_overdue(c.rank));
    let mut overdue: Vec<&mut Candidate> = overdue.collect();
    overdue.sort_unstable_by_key(|c| (c.rank.latest_start_ms, c.rank));
    let mut kept = 0;
    for candidate in overdue {
        if kept >= search.overdue_pieces {
            return;
        }
        candidate.class = Class::Overdue;
        kept += candidate.pieces;
    }
}

/// Adds the candidates of the stages without a preferred data centre.
fn add_unbound(group: &Group, search: Search, candidates: &mut Vec<Candidate>) {
    for urgency in group.urgencies() {
        let in_time = group.in_time(urgency, search.now_ms);
        let in_time = in_time.map(|(rank, queued)| queued.candidate(*rank, Class::InTime));
        add_up_to(search.max_pieces, in_time, candidates);
        let missed = group.missed(urgency, search.now_ms);
        let missed = missed.map(|(rank, queued)| queued.candidate(*rank, Class::Missed));
        add_up_to(search.max_pieces, missed, candidates);
    }
}

/// Adds candidates until they have at least `max_pieces` pieces.
fn add_up_to(
    max_pieces: usize,
    from: impl Iterator<Item = Candidate>,
    candidates: &mut Vec<Candidate>,
) {
    let mut found = 0;
    for candidate in from {
        if found >= max_pieces {
            return;
        }
        found += candidate.pieces;
        candidates.push(candidate);
    }
}

/// Adds the candidates of the stages with one preferred data centre; those that wait for it are
/// skipped if no endpoint is free there.
fn add_bound(
    group: &Group,
    preferred: &Name,
    near: NearStarts<'_>,
    search: Search,
    candidates: &mut Vec<Candidate>,
) {
    let mut search = BoundSearch { group, preferred, near, search, ahead: 0, candidates };
    for urgency in group.urgencies() {
        search.add(urgency, Class::InTime, group.in_time(urgency, search.search.now_ms));
    }
    for urgency in group.urgencies() {
        search.add(urgency, Class::Missed, group.missed(urgency, search.search.now_ms));
    }
}

/// Search of a group with a preferred data centre.
struct BoundSearch<'a, 'b> {
    group: &'a Group,
    preferred: &'a Name,
    near: NearStarts<'b>,
    search: Search,
    /// Pieces that wait for the preferred data centre before those that are examined next.
    ahead: usize,
    candidates: &'a mut Vec<Candidate>,
}

impl BoundSearch<'_, '_> {
    /// Adds stages of one urgency and class.
    fn add<'c>(
        &mut self,
        urgency: Urgency,
        class: Class,
        entries: impl Iterator<Item = Entry<'c>>,
    ) {
        let (mut found, mut examined) = (0, 0);
        let mut is_complete = true;
        for (rank, queued) in entries {
            if found >= self.search.max_pieces {
                is_complete = false;
                break;
            }
            let candidate = Candidate {
                preferred: Some(self.preferred.clone()),
                ..queued.candidate(*rank, class)
            };
            let pieces = queued.pieces;
            if !self.near.is_allowed(&queued.allowed_regions) {
                found += pieces;
                examined += pieces;
                self.candidates.push(Candidate { away: Some(AwayReason::NoEndpoint), ..candidate });
                continue;
            }
            let is_free = self.near.is_free_for(queued.bytes);
            let latest_start = (class == Class::InTime).then(|| rank.latest_start());
            let all_wait =
                latest_start.is_some_and(|latest| self.near.all_wait(latest, self.group.pieces));
            if all_wait && !is_free {
                is_complete = false;
                break;
            }
            let last = self.ahead + pieces.saturating_sub(1);
            let away = self.near.away_reason(last, queued.bytes, latest_start);
            self.ahead += if away.is_none() { pieces } else { 0 };
            examined += pieces;
            if away.is_some() || is_free {
                found += pieces;
                self.candidates.push(Candidate { away, ..candidate });
            }
        }
        if !is_complete && class == Class::InTime {
            let in_time = self.group.pieces_in_time(urgency, self.search.now_ms);
            self.ahead += in_time.saturating_sub(examined);
        }
    }
}
