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
    /// Number of requests whose prompt is not read yet.
    pub waiting: f64,
    /// Number of requests that were sent since the engine stated its load.
    pub sent_since: f64,
    /// Time since the engine stated its load; zero if its load is unknown.
    pub report_age: Duration,
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
    /// Mean duration of a run, for which a slot is in use.
    pub run: Duration,
}

impl Engine<'_> {
    /// Expected time to the first event of a prompt. Prompts that wait are read before it; beyond
    /// the slots, requests have to end before it starts.
    pub fn start_time(&self, times: &PromptTimes, has_part: bool) -> Duration {
        let shared = if has_part { Duration::ZERO } else { times.shared };
        let read = (shared + times.own).mul_f64(self.slowness);
        read + self.queue_time(times, self.waiting + self.sent_since)
    }

    /// Like [`Self::start_time`], if the engine has received no requests but those that are known:
    /// it has served the queue that it stated since then.
    fn earliest_start_time(&self, times: &PromptTimes, has_part: bool) -> Duration {
        let served = self.queue_time(times, self.waiting).min(self.report_age);
        self.start_time(times, has_part).saturating_sub(served)
    }

    /// Time that the engine takes for the requests before one that is sent now.
    fn queue_time(&self, times: &PromptTimes, waiting: f64) -> Duration {
        let slots = self.slots.max(1.0);
        let beyond = (self.running + waiting + 1.0 - slots).max(0.0);
        let time = times.waiting.mul_f64(waiting) + times.run.mul_f64(beyond / slots);
        time.mul_f64(self.slowness)
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

/// The engine that is expected to start a prompt first, if engines have received no requests but
/// those that are known, and the time until then; `None` if all engines are avoided.
pub fn earliest_start(
    engines: &[Engine<'_>],
    part: &str,
    times: &PromptTimes,
) -> Option<(usize, Duration)> {
    let ranked = order_by_hash(engines, part).into_iter().enumerate();
    let starts = ranked.map(|(rank, i)| {
        let engine = &engines[i];
        (i, engine.earliest_start_time(times, rank == 0 || engine.has_part))
    });
    starts.min_by_key(|(_, start)| *start)
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
    let ranked = order.iter().map(|&i| &engines[i]).enumerate();
    let starts: Vec<Duration> =
        ranked.map(|(rank, e)| e.start_time(times, rank == 0 || e.has_part)).collect();
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
