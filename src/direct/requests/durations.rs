//! Durations of past requests by route and size. A stopping process uses them to decide which
//! requests can still finish.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::direct::published::model::Name;

/// Number of samples kept for each route and size class.
const MAX_SAMPLES: usize = 64;
/// Minimum number of samples for an estimate.
const MIN_SAMPLES: usize = 8;
/// Number of smaller size classes whose scaled samples count for a size: down to a quarter of it.
const SMALLER_CLASSES: u32 = 2;
/// Quantile of the durations that counts as typical.
const TYPICAL_QUANTILE: f64 = 0.95;
/// Factor on the longest observed duration for a safe upper bound.
const SAFETY_FACTOR: f64 = 1.2;

/// Time after which a balancer that probes every second has seen two failed probes.
pub const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// A span of a request's duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Span {
    /// From the arrival to the complete answer.
    Total,
    /// From the arrival to the last result of the stages.
    Stages,
    /// From the call of the endpoint to the complete answer.
    Run,
    /// From the head of the answer to its end.
    Answer,
}

/// Required confidence of an estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confidence {
    /// Nearly all requests of this size took no longer.
    Typical,
    /// No similar request took longer, and there are enough of them.
    UpperBound,
    /// No estimate from past requests: only the request's own deadline bounds its duration.
    Deadline,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    size: u64,
    time: Duration,
}

impl Sample {
    /// The duration scaled to a larger size in proportion; never scaled down.
    fn scaled_to(self, size: u64) -> Duration {
        let factor = size as f64 / self.size.max(1) as f64;
        self.time.mul_f64(factor.max(1.0))
    }
}

/// Samples of one span of one route, by size class.
type Classes = BTreeMap<u32, VecDeque<Sample>>;

/// Recent durations of requests.
#[derive(Debug, Default)]
pub struct DurationHistory {
    samples: HashMap<Name, HashMap<Span, Classes>>,
}

/// Size class: sizes within a factor of two share one.
const fn size_class(size: u64) -> u32 {
    u64::BITS - size.leading_zeros()
}

impl DurationHistory {
    /// Records the duration of a span of a request.
    pub fn record(&mut self, route: &Name, span: Span, size: u64, time: Duration) {
        let spans = self.samples.entry(route.clone()).or_default();
        let samples = spans.entry(span).or_default().entry(size_class(size)).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(Sample { size, time });
    }

    /// Records that a request has not finished within this time. This adds information only if the
    /// time exceeds the longest sample of its class.
    pub fn record_lower_bound(&mut self, route: &Name, span: Span, size: u64, time: Duration) {
        let samples = self.classes(route, span).and_then(|c| c.get(&size_class(size)));
        let longest = samples.and_then(|samples| samples.iter().map(|s| s.time).max());
        if longest.is_some_and(|longest| time > longest) {
            self.record(route, span, size, time);
        }
    }

    /// Removes routes that are not published any more.
    pub fn retain<'a>(&mut self, published: impl Iterator<Item = &'a Name>) {
        let published: HashSet<&Name> = published.collect();
        self.samples.retain(|route, _| published.contains(route));
    }

    /// Expected duration of a request; `None` without enough samples.
    pub fn expected(
        &self,
        route: &Name,
        span: Span,
        size: u64,
        confidence: Confidence,
    ) -> Option<Duration> {
        let classes = self.classes(route, span)?;
        match confidence {
            Confidence::Typical => typical(classes, size_class(size)),
            Confidence::UpperBound => longest(classes, size).map(|d| d.mul_f64(SAFETY_FACTOR)),
            Confidence::Deadline => None,
        }
    }

    /// Mean duration of requests of about this size; `None` without samples.
    pub fn mean(&self, route: &Name, span: Span, size: u64) -> Option<Duration> {
        let times = similar_times(self.classes(route, span)?, size_class(size));
        let sum: Duration = times.iter().sum();
        sum.checked_div(u32::try_from(times.len()).ok()?)
    }

    fn classes(&self, route: &Name, span: Span) -> Option<&Classes> {
        self.samples.get(route)?.get(&span)
    }
}

/// Durations in a size class, or in all classes if this class has too few samples.
fn similar_times(classes: &Classes, class: u32) -> Vec<Duration> {
    let own = classes.get(&class).filter(|samples| samples.len() >= MIN_SAMPLES);
    match own {
        Some(samples) => samples.iter().map(|s| s.time).collect(),
        None => classes.values().flatten().map(|s| s.time).collect(),
    }
}

/// Duration that nearly all requests of a size class don't exceed.
fn typical(classes: &Classes, class: u32) -> Option<Duration> {
    let mut times = similar_times(classes, class);
    times.sort_unstable();
    times.get((times.len() as f64 * TYPICAL_QUANTILE) as usize).copied()
}

/// Longest duration of similar requests, scaled to this size; `None` if there are too few. Much
/// smaller requests, or a single one, give no bound.
fn longest(classes: &Classes, size: u64) -> Option<Duration> {
    let own = size_class(size);
    let similar = classes.range(own.saturating_sub(SMALLER_CLASSES)..=own + 1);
    let times: Vec<Duration> = similar.flat_map(|(_, t)| t).map(|s| s.scaled_to(size)).collect();
    if times.len() < MIN_SAMPLES {
        return None;
    }
    times.into_iter().max()
}

/// The confidence required to accept work in a stopping process.
///
/// Until the balancer has noticed that the process is not ready, callers are still routed here and
/// requests in their stages are half done, so a typical duration suffices. New requests are an
/// exception if other gateways serve, which can accept them at once. After that a safe upper bound
/// is required. A new stream must then end by its own deadline: durations of streams vary widely
/// within a route, the long ones end last, and a refusal costs the caller no more than the restart
/// of the process.
pub fn required_confidence(
    stop_age: Duration,
    is_new: bool,
    is_stream: bool,
    others_serve: bool,
) -> Confidence {
    let is_noticed = stop_age >= BALANCER_NOTICE_TIME;
    if is_noticed && is_new && is_stream {
        return Confidence::Deadline;
    }
    if is_noticed || is_new && others_serve { Confidence::UpperBound } else { Confidence::Typical }
}
