//! Selection of an engine by the expected time to a prompt's first event.
//!
//! The first choice by the hash of the shared part is assumed to have that part; all others read it
//! first. A prompt leaves its first choice only if another engine is expected to start it earlier
//! by a margin, or if the first choice would miss the objective.

use std::cmp::Reverse;
use std::time::Duration;

use crate::policy::place::{PlacementReason, hash_weight};

/// Time by which another engine must start a prompt earlier to be preferred to one that precedes it
/// by hash. Callers don't notice it, and reports of load are older than this.
const MARGIN: Duration = Duration::from_millis(60);

/// An engine that a prompt may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine<'a> {
    /// Id of the engine.
    pub id: &'a str,
    /// Number of requests that run.
    pub running: f64,
    /// Number of requests whose prompt is not read yet, including those that were sent since.
    pub waiting: f64,
    /// Number of requests that the engine runs concurrently.
    pub slots: f64,
    /// Work time relative to that of the pool.
    pub slowness: f64,
    /// Whether the engine failed recently or can't be reached.
    pub avoided: bool,
    /// Whether the gateway recently sent the shared part to the engine.
    pub has_part: bool,
}

/// Times of a prompt at an engine of usual speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTimes {
    /// Time to read the shared part.
    pub shared: Duration,
    /// Time to read the rest of the prompt.
    pub own: Duration,
    /// Time to read one of the prompts that wait.
    pub waiting: Duration,
    /// Duration of a run, for which a slot is in use.
    pub run: Duration,
}

impl Engine<'_> {
    /// Expected time to the first event of a prompt. Prompts that wait are read before it; beyond
    /// the slots, requests have to end before it starts.
    pub fn start_time(&self, times: &PromptTimes, has_part: bool) -> Duration {
        let shared = if has_part { Duration::ZERO } else { times.shared };
        let read = shared + times.own + times.waiting.mul_f64(self.waiting);
        let slots = self.slots.max(1.0);
        let beyond = (self.running + self.waiting + 1.0 - slots).max(0.0);
        (read + times.run.mul_f64(beyond / slots)).mul_f64(self.slowness)
    }
}

/// The selected engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Selected {
    /// Index among the candidates.
    pub index: usize,
    /// Reason for the selection.
    pub reason: PlacementReason,
    /// Expected time to the first event.
    pub start_time: Duration,
}

/// Indexes of the engines in the order by hash of a shared part, the first choice first.
pub fn order_by_hash(engines: &[Engine<'_>], part: &str) -> Vec<usize> {
    let mut order: Vec<usize> = (0..engines.len()).filter(|&i| !engines[i].avoided).collect();
    order.sort_by_cached_key(|&i| Reverse(hash_weight(engines[i].id, part)));
    order
}

/// The shortest expected time to the first event of a prompt; `None` if all engines are avoided.
pub fn shortest_start(engines: &[Engine<'_>], part: &str, times: &PromptTimes) -> Option<Duration> {
    start_times(engines, &order_by_hash(engines, part), times).into_iter().min()
}

/// Expected times to the first event, in the order by hash.
fn start_times(engines: &[Engine<'_>], order: &[usize], times: &PromptTimes) -> Vec<Duration> {
    let ranked = order.iter().map(|&i| &engines[i]).enumerate();
    ranked.map(|(rank, e)| e.start_time(times, rank == 0 || e.has_part)).collect()
}

/// Selects an engine for a prompt with a shared part: the first one by hash whose start time is
/// within a margin of the shortest. `left` is the time until the objective. `None` if all engines
/// are avoided.
pub fn select(
    engines: &[Engine<'_>],
    part: &str,
    times: &PromptTimes,
    left: Duration,
) -> Option<Selected> {
    let order = order_by_hash(engines, part);
    let starts = start_times(engines, &order, times);
    let shortest = starts.iter().min().copied()?;
    let is_first_in_time = starts.first().is_some_and(|first| *first <= left);
    let margin = if is_first_in_time { MARGIN } else { Duration::ZERO };
    let rank = starts.iter().position(|start| *start <= shortest + margin)?;
    let reason = match rank {
        0 => PlacementReason::Prefix,
        1 => PlacementReason::SecondChoice,
        _ => PlacementReason::LeastLoad,
    };
    Some(Selected { index: order[rank], reason, start_time: starts[rank] })
}
