//! Admission over a whole graph of stages before the first one is begun.
//!
//! What is begun holds results at their makers while it waits for its next stage. To begin more than
//! can end in time is worse than to refuse: so a request is admitted only if its predicted end meets
//! its objective and its results find room, and is refused at once otherwise.

use std::time::Duration;

/// Predictions lie high where calls fill up under load: so much of the time to the objective may be
/// predicted.
const CONFIDENT_SHARE: f64 = 1.1;
/// Results are not all held at once: so much of a pool's room may be promised.
const ROOM_PROMISED: f64 = 1.4;
/// Each step down in priority leaves so much of time and room to the more urgent.
const LEFT_TO_MORE_URGENT: f64 = 0.12;
/// At least this share is open to every priority.
const OPEN_TO_ALL: f64 = 0.6;
/// The shortest time to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);
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
    /// Bytes that are promised or taken.
    pub promised: f64,
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
    /// The share of the narrowest pool's room that is promised, with this request.
    pub room_share: f64,
    /// When to come back.
    pub retry_after: Duration,
}

/// The share of time and room that is open to a priority; 0 is the most urgent.
pub fn open_share(priority: u8) -> f64 {
    (1.0 - LEFT_TO_MORE_URGENT * f64::from(priority)).max(OPEN_TO_ALL)
}

/// When each stage is predicted to end, from now.
pub fn finishes(stages: &[StageLoad]) -> Vec<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
    for stage in stages {
        let start = stage.after.iter().map(|&a| ends[a]).max().unwrap_or_default();
        if stage.is_done {
            ends.push(start);
            continue;
        }
        let waiting = stage.backlog.div_f64(stage.slots.max(0.01));
        ends.push(start + waiting.min(Duration::from_secs(60)) + stage.call);
    }
    ends
}

/// Decides whether a request's stages are begun; `after` is the time from their end to the answer.
pub fn admit_path(
    stages: &[StageLoad],
    after: Duration,
    to_objective: Duration,
    priority: u8,
) -> PathDecision {
    let ends = finishes(stages);
    let predicted = ends.iter().max().copied().unwrap_or_default() + after;
    let open = open_share(priority);
    let share = |s: &StageLoad| (s.promised + s.wanted) / s.room.max(1.0);
    let needed = || (0..stages.len()).filter(|&i| !stages[i].is_done);
    let narrowest = needed().max_by(|&a, &b| share(&stages[a]).total_cmp(&share(&stages[b])));
    let narrowest = narrowest.unwrap_or_default();
    let room_share = stages.get(narrowest).map_or(0.0, share);
    let budget = to_objective.mul_f64(CONFIDENT_SHARE);
    // Waiting, not work, is what the less urgent must leave.
    let work = finishes(&unloaded(stages)).into_iter().max().unwrap_or_default() + after;
    let allowed = work + budget.saturating_sub(work).mul_f64(open);
    let refusal = if needed().any(|i| stages[i].slots <= 0.0) {
        Some(PathRefusal::NoEndpoint)
    } else if predicted > allowed {
        Some(PathRefusal::WouldBeLate)
    } else if room_share > ROOM_PROMISED * open {
        Some(PathRefusal::NoRoom)
    } else {
        None
    };
    let excess = match refusal {
        Some(PathRefusal::WouldBeLate) => predicted.saturating_sub(allowed),
        Some(PathRefusal::NoRoom) => {
            predicted.mul_f64((room_share - ROOM_PROMISED * open).max(0.0))
        }
        _ => Duration::from_secs(1),
    };
    let retry_after = excess.clamp(SHORTEST_RETRY, LONGEST_RETRY);
    PathDecision { refusal, narrowest, predicted, room_share, retry_after }
}

fn unloaded(stages: &[StageLoad]) -> Vec<StageLoad> {
    stages.iter().map(|s| StageLoad { backlog: Duration::ZERO, ..s.clone() }).collect()
}
