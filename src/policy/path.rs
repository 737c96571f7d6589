//! Admission of a complete stage graph before its first stage is started.
//!
//! The results of a started request occupy memory at the producing endpoints while the request
//! waits for its next stage. Starting more requests than can complete in time is therefore worse
//! than refusing some: a request is admitted only if its predicted completion meets its objective
//! and its results fit into the result memory at the time each stage is planned to run; otherwise
//! it is refused at once.

use std::sync::Arc;
use std::time::Duration;

use super::timeline::Timeline;

/// Share of a pool's result memory that may be planned for; the rest is a margin for uneven use of
/// the endpoints and for prediction errors.
pub const PLANNED_MEMORY_SHARE: f64 = 0.7;
/// Longest time that a stage may be planned to wait for result memory.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// Retry delay if no result memory is expected to be free within the timeline.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time that a call takes to fetch its inputs.
pub const INPUT_FETCH_TIME: Duration = Duration::from_millis(40);
/// Margin by which an isolated stage is started earlier than needed to complete together with the
/// other stages. A still earlier start would only hold its results for longer.
pub const DEFERRAL_MARGIN: Duration = Duration::from_millis(120);
/// How long the final results are kept after the last stage: until the request has been sent to an
/// endpoint that has fetched them.
pub const FINAL_RESULT_HOLD_TIME: Duration = Duration::from_millis(90);
/// Share of a pool's slots and planned result memory that every priority can claim, whatever more
/// urgent callers need. With an eighth of a pool, work that fills one call of a third of a second
/// ends within 3 s; callers wait at least twice as long before they give up.
pub const GUARANTEED_SHARE: f64 = 0.125;
/// Minimum retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Upper limit of predicted waiting times.
const MAX_PREDICTED_WAIT: Duration = Duration::from_secs(60);
/// Maximum retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// One stage of a request and the current state of the pool that runs it.
#[derive(Debug, Clone, PartialEq)]
pub struct StageLoad {
    /// Indexes of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// Whether the stage has no pieces or is done.
    pub is_done: bool,
    /// Number of calls that the pool's endpoints run concurrently.
    pub slots: f64,
    /// Slot time of the waiting pieces, at any stage of their jobs, that are served before this
    /// stage: those of the same and of more urgent priorities.
    pub backlog: Duration,
    /// Share of the slots that arrivals of more urgent priorities leave.
    pub slot_share: f64,
    /// Expected time until a call ends, if nothing waits.
    pub usual_wait: Duration,
    /// Duration of the call that runs the stage, if nothing waits.
    pub call: Duration,
    /// Duration of a full call.
    pub full_call: Duration,
    /// Result memory of the pool, in bytes.
    pub result_memory: f64,
    /// Expected use of the result memory over time, in bytes.
    pub memory_in_use: Arc<Timeline>,
    /// Result memory that this stage needs, in bytes.
    pub required_memory: f64,
    /// Result memory that more urgent arrivals need, in bytes per second.
    pub urgent_memory_rate: f64,
    /// Capacity that is kept for others while the stage waits and runs.
    pub reserved: Reserved,
}

/// Capacity of a pool that is kept for callers that were refused and are expected to return.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Reserved {
    /// Slot time of their pieces.
    pub slot_time: Duration,
    /// Result memory in bytes.
    pub memory: f64,
}

/// Why the stages of a request are not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathRefusal {
    /// A pool has no endpoint that accepts work.
    NoEndpoint,
    /// The response is predicted to start after the objective.
    WouldBeLate,
    /// The results would not fit into the result memory in time.
    InsufficientMemory,
}

/// Admission decision with the values that it is based on.
#[derive(Debug, Clone, PartialEq)]
pub struct PathDecision {
    /// Reason of a refusal; `None` if the request is admitted.
    pub refusal: Option<PathRefusal>,
    /// Index of the stage whose results don't fit, or else of the stage whose pool has the highest
    /// share of its result memory in use.
    pub bottleneck: usize,
    /// Longest time until the response starts with which the request is admitted: the time to its
    /// objective, or the time that an empty backlog allows if that is longer.
    pub allowed: Duration,
    /// Predicted time until the response starts.
    pub predicted: Duration,
    /// Share of that pool's result memory in use when the stage runs, including this request; 0 if
    /// the results don't fit.
    pub memory_share: f64,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Planned run of a stage.
#[derive(Debug, Clone, Copy, Default)]
struct Run {
    end: Duration,
    /// Part of the waiting time that is spent waiting for result memory.
    memory_wait: Duration,
    /// Share of the result memory in use during the run, including this stage.
    memory_share: f64,
}

/// A stage whose results don't fit into the result memory in time.
#[derive(Debug, Clone, Copy)]
struct InsufficientMemory {
    stage: usize,
    /// Time from when the stage could start until memory is free; `None` if it is unknown.
    wait: Option<Duration>,
}

/// Plans each stage after the stages that it depends on; deferred stages are planned last.
fn plan(stages: &[StageLoad], after: Duration) -> Result<Vec<Run>, InsufficientMemory> {
    let mut runs = vec![Run::default(); stages.len()];
    let (deferred, others): (Vec<usize>, Vec<usize>) =
        (0..stages.len()).partition(|&index| is_isolated(stages, index));
    for &index in others.iter().chain(&deferred) {
        let stage = &stages[index];
        let ready = stage.after.iter().map(|&a| runs[a].end).max().unwrap_or_default();
        if stage.is_done {
            runs[index] = Run { end: ready, ..Run::default() };
            continue;
        }
        let earliest = if deferred.contains(&index) {
            let others = others.iter().map(|&o| runs[o].end).max().unwrap_or_default();
            others.saturating_sub(stage.call + DEFERRAL_MARGIN)
        } else {
            ready
        };
        let can_start_at = earliest.max(ready + stage.expected_wait(ready));
        let call = stage.expected_call(ready);
        // Results are kept until the next stage has fetched them or the response starts.
        let next = stages.iter().filter(|s| s.after.contains(&index));
        let next = next.map(|s| s.expected_wait(can_start_at + call)).max();
        let length = call
            + next.map_or(after.min(FINAL_RESULT_HOLD_TIME), |expected_wait| {
                expected_wait + INPUT_FETCH_TIME
            });
        let bound = stage.memory_bound(length);
        let start = stage
            .memory_in_use
            .earliest_fit(can_start_at, length, stage.required_memory, bound)
            .ok_or(InsufficientMemory { stage: index, wait: None })?;
        let share = (stage.memory_in_use.peak(start, length) + stage.required_memory)
            / stage.result_memory.max(1.0);
        let memory_wait = start.saturating_sub(can_start_at);
        if memory_wait > MAX_MEMORY_WAIT {
            return Err(InsufficientMemory { stage: index, wait: Some(memory_wait) });
        }
        runs[index] = Run { end: start + call, memory_wait, memory_share: share };
    }
    Ok(runs)
}

/// Whether a stage is isolated: it depends on no other stage and no other stage depends on it.
fn is_isolated(stages: &[StageLoad], index: usize) -> bool {
    stages[index].after.is_empty() && !stages.iter().any(|s| s.after.contains(&index))
}

impl StageLoad {
    /// Expected time, from `at` on, in which the pool still works on what is served before the
    /// stage. The pool works on it from now on, not only once the stage is ready; only while the
    /// stage waits do more urgent requests that arrive later get ahead of it.
    fn backlog_wait(&self, at: Duration) -> Duration {
        let ahead = self.backlog + self.reserved.slot_time;
        let rest = ahead.div_f64(self.slots.max(0.01)).saturating_sub(at);
        rest.div_f64(self.slot_share.max(GUARANTEED_SHARE)).min(MAX_PREDICTED_WAIT)
    }

    /// Expected time that the stage waits for a free slot if it is ready at `at`.
    fn expected_wait(&self, at: Duration) -> Duration {
        self.backlog_wait(at) + self.usual_wait
    }

    /// Expected duration of the call that runs the stage: a call is full if pieces wait for it.
    fn expected_call(&self, ready: Duration) -> Duration {
        let is_full = !self.backlog_wait(ready).is_zero();
        if is_full { self.call.max(self.full_call) } else { self.call }
    }

    /// Result memory that may be in use while the stage keeps its results for `length`. More urgent
    /// arrivals meanwhile need none at the beginning and that of the whole time at the end.
    fn memory_bound(&self, length: Duration) -> f64 {
        let planned = self.result_memory * PLANNED_MEMORY_SHARE;
        let urgent = self.urgent_memory_rate * length.as_secs_f64() / 2.0;
        let available = (planned - urgent).max(planned * GUARANTEED_SHARE);
        (available - self.reserved.memory).max(self.required_memory)
    }
}

/// Time until the last stage ends, from now, if no stage waits for pieces or memory.
fn time_without_backlog(stages: &[StageLoad]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(stages.len());
    for stage in stages {
        let ready = stage.after.iter().map(|&a| ends[a]).max().unwrap_or_default();
        ends.push(if stage.is_done { ready } else { ready + stage.usual_wait + stage.call });
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Decides whether the stages of a request are started; `after` is the time from the end of the
/// last stage to the start of the response.
pub fn admit_path(stages: &[StageLoad], after: Duration, to_objective: Duration) -> PathDecision {
    let runs = plan(stages, after);
    let needed = || (0..stages.len()).filter(|&i| !stages[i].is_done);
    let has_memory = runs.is_ok();
    let by_share = |runs: &[Run]| {
        let share = |&a: &usize, &b: &usize| runs[a].memory_share.total_cmp(&runs[b].memory_share);
        needed().max_by(share).unwrap_or_default()
    };
    let bottleneck = runs.as_deref().map_or_else(|shortage| shortage.stage, by_share);
    let wait = runs.as_ref().err().map(|shortage| shortage.wait.unwrap_or(NO_MEMORY_RETRY_DELAY));
    let runs = runs.unwrap_or_else(|_| vec![Run::default(); stages.len()]);
    let memory_share = runs.get(bottleneck).map_or(0.0, |r| r.memory_share);
    let predicted = runs.iter().map(|r| r.end).max().unwrap_or_default() + after;
    let memory_wait = runs.iter().map(|r| r.memory_wait).sum();
    let allowed = to_objective.max(time_without_backlog(stages) + after);
    let refusal = if needed().any(|i| stages[i].slots <= 0.0) {
        Some(PathRefusal::NoEndpoint)
    } else if !has_memory {
        Some(PathRefusal::InsufficientMemory)
    } else if predicted > allowed {
        let is_late = predicted.saturating_sub(memory_wait) > allowed;
        Some(if is_late { PathRefusal::WouldBeLate } else { PathRefusal::InsufficientMemory })
    } else {
        None
    };
    let excess = match refusal {
        Some(PathRefusal::NoEndpoint) => Duration::from_secs(1),
        _ => wait.unwrap_or_else(|| predicted.saturating_sub(allowed)),
    };
    let retry_after = excess.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    PathDecision { refusal, bottleneck, allowed, predicted, memory_share, retry_after }
}
