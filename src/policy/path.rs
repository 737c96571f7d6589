//! Admission over a whole graph of stages before the first one is begun.
//!
//! What is begun holds results at their makers while it waits for its next stage. To begin more than
//! can end in time is worse than to refuse: so a request is admitted only if its predicted end meets
//! its objective and its results find room at the time when each stage is planned to run, and is
//! refused at once otherwise.

use std::sync::Arc;
use std::time::Duration;

use super::timeline::Timeline;

/// Predictions lie high where calls fill up under load: so much of the time to the objective may be
/// predicted.
const CONFIDENT_SHARE: f64 = 1.1;
/// Of a pool's room, so much may be planned for: endpoints fill unevenly, and plans miss.
const ROOM_PLANNED: f64 = 0.7;
/// A stage is planned to wait for room so long at most.
const ROOM_WAIT: Duration = Duration::from_millis(100);
/// When to come back where no room is planned soon.
const NO_ROOM_RETRY: Duration = Duration::from_millis(400);
/// A call has fetched its inputs so long after it began.
pub const FETCHING: Duration = Duration::from_millis(40);
/// A stage that stands alone is begun so much earlier than it must be to end with the others: its
/// results only wait for them.
pub const HOLD_SLACK: Duration = Duration::from_millis(120);
/// The last results are kept for so long after the stages' end: until the request is with an endpoint,
/// which has fetched them.
pub const HANDED_ON: Duration = Duration::from_millis(90);
/// Each step down in priority leaves so much of time and room to the more urgent.
const LEFT_TO_MORE_URGENT: f64 = 0.12;
/// At least this share is open to every priority.
const OPEN_TO_ALL: f64 = 0.6;
/// The shortest time to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);
/// Work is never predicted to wait longer.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// The longest time to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(3);

/// One stage of a request, and the pool that makes it as it stands now.
#[derive(Debug, Clone, PartialEq)]
pub struct StageLoad {
    /// Positions of the stages before.
    pub after: Vec<usize>,
    /// Whether the stage has no pieces or is done.
    pub is_done: bool,
    /// Calls that the pool's endpoints run at once.
    pub slots: f64,
    /// Time of slots that is promised to others and not used yet.
    pub backlog: Duration,
    /// Time of the call that the stage needs.
    pub call: Duration,
    /// Bytes for results in the pool.
    pub room: f64,
    /// Bytes that are expected to be taken, over time.
    pub taken: Arc<Timeline>,
    /// Bytes that this stage needs.
    pub wanted: f64,
}

/// Why a path is not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathRefusal {
    /// No endpoint of a pool takes work.
    NoEndpoint,
    /// Its answer would start after the objective.
    WouldBeLate,
    /// Its results would not find room.
    NoRoom,
}

/// The decision, with what it was decided by.
#[derive(Debug, Clone, PartialEq)]
pub struct PathDecision {
    /// Why it is not begun.
    pub refusal: Option<PathRefusal>,
    /// The stage whose pool is narrowest.
    pub narrowest: usize,
    /// Predicted time to the answer's start.
    pub predicted: Duration,
    /// The share of the narrowest pool's room that is taken when this request needs it, with it.
    pub room_share: f64,
    /// When to come back.
    pub retry_after: Duration,
}

/// The share of time and room that is open to a priority; 0 is the most urgent.
pub fn open_share(priority: u8) -> f64 {
    (1.0 - LEFT_TO_MORE_URGENT * f64::from(priority)).max(OPEN_TO_ALL)
}

/// When a stage is predicted to run.
#[derive(Debug, Clone, Copy, Default)]
struct Run {
    end: Duration,
    /// How much of the wait before it is for room.
    for_room: Duration,
    /// The share of the room that is taken then, with this stage.
    room_share: f64,
}

/// A stage whose results find no room in time.
#[derive(Debug, Clone, Copy)]
struct NoRoom {
    stage: usize,
    /// How long after it wants it there will be room, where that can be told.
    wait: Option<Duration>,
}

/// Plans each stage after those that it needs, those that are held back last.
fn plan(stages: &[StageLoad], after: Duration, open: f64) -> Result<Vec<Run>, NoRoom> {
    let mut runs = vec![Run::default(); stages.len()];
    let (held_back, others): (Vec<usize>, Vec<usize>) =
        (0..stages.len()).partition(|&index| stands_alone(stages, index));
    for &index in others.iter().chain(&held_back) {
        let stage = &stages[index];
        let ready = stage.after.iter().map(|&a| runs[a].end).max().unwrap_or_default();
        if stage.is_done {
            runs[index] = Run { end: ready, ..Run::default() };
            continue;
        }
        let earliest = if held_back.contains(&index) {
            let others = others.iter().map(|&o| runs[o].end).max().unwrap_or_default();
            others.saturating_sub(stage.call + HOLD_SLACK)
        } else {
            ready
        };
        let wanted_at = earliest.max(ready + stage.waiting());
        // Results are kept until the next stage has fetched them, or the answer begins.
        let next = stages.iter().filter(|s| s.after.contains(&index)).map(StageLoad::waiting).max();
        let length = stage.call + next.map_or(after.min(HANDED_ON), |waiting| waiting + FETCHING);
        let bound = (stage.room * ROOM_PLANNED * open).max(stage.wanted);
        let start = stage
            .taken
            .earliest(wanted_at, length, stage.wanted, bound)
            .ok_or(NoRoom { stage: index, wait: None })?;
        let share = (stage.taken.peak(start, length) + stage.wanted) / stage.room.max(1.0);
        let for_room = start.saturating_sub(wanted_at);
        if for_room > ROOM_WAIT {
            return Err(NoRoom { stage: index, wait: Some(for_room) });
        }
        runs[index] = Run { end: start + stage.call, for_room, room_share: share };
    }
    Ok(runs)
}

/// Whether a stage neither needs another one nor is needed by one.
fn stands_alone(stages: &[StageLoad], index: usize) -> bool {
    stages[index].after.is_empty() && !stages.iter().any(|s| s.after.contains(&index))
}

impl StageLoad {
    /// The time that work for it waits for an endpoint.
    fn waiting(&self) -> Duration {
        self.backlog.div_f64(self.slots.max(0.01)).min(LONGEST_WAIT)
    }
}

/// When each stage is predicted to end, from now, where nothing waits.
fn work(stages: &[StageLoad]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
    for stage in stages {
        let ready = stage.after.iter().map(|&a| ends[a]).max().unwrap_or_default();
        ends.push(if stage.is_done { ready } else { ready + stage.call });
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Decides whether a request's stages are begun; `after` is the time from their end to the answer.
pub fn admit_path(
    stages: &[StageLoad],
    after: Duration,
    to_objective: Duration,
    priority: u8,
) -> PathDecision {
    let open = open_share(priority);
    let runs = plan(stages, after, open);
    let needed = || (0..stages.len()).filter(|&i| !stages[i].is_done);
    let has_room = runs.is_ok();
    let by_share = |runs: &[Run]| {
        let share = |&a: &usize, &b: &usize| runs[a].room_share.total_cmp(&runs[b].room_share);
        needed().max_by(share).unwrap_or_default()
    };
    let narrowest = runs.as_deref().map_or_else(|full| full.stage, by_share);
    let wait = runs.as_ref().err().map(|full| full.wait.unwrap_or(NO_ROOM_RETRY));
    let runs = runs.unwrap_or_else(|_| vec![Run::default(); stages.len()]);
    let room_share = runs.get(narrowest).map_or(0.0, |r| r.room_share);
    let predicted = runs.iter().map(|r| r.end).max().unwrap_or_default() + after;
    let for_room = runs.iter().map(|r| r.for_room).sum();
    // Waiting, not work, is what the less urgent must leave.
    let budget = to_objective.mul_f64(CONFIDENT_SHARE);
    let work = work(stages) + after;
    let allowed = work + budget.saturating_sub(work).mul_f64(open);
    let refusal = if needed().any(|i| stages[i].slots <= 0.0) {
        Some(PathRefusal::NoEndpoint)
    } else if !has_room {
        Some(PathRefusal::NoRoom)
    } else if predicted > allowed {
        let is_late = predicted.saturating_sub(for_room) > allowed;
        Some(if is_late { PathRefusal::WouldBeLate } else { PathRefusal::NoRoom })
    } else {
        None
    };
    let excess = match refusal {
        Some(PathRefusal::NoEndpoint) => Duration::from_secs(1),
        _ => wait.unwrap_or_else(|| predicted.saturating_sub(allowed)),
    };
    let retry_after = excess.clamp(SHORTEST_RETRY, LONGEST_RETRY);
    PathDecision { refusal, narrowest, predicted, room_share, retry_after }
}
