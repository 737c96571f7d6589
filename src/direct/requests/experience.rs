//! How long requests took here, by route and size: what a stopping process goes by when it decides
//! what it can still end.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::direct::published::model::Name;

/// So many of the last requests of a route and a class of sizes count.
const KEPT: usize = 64;
/// So many alike say enough.
const FEW: usize = 8;
/// Classes of smaller sizes that are alike, their times scaled up: sizes of a quarter and more.
const SMALLER_CLASSES: u32 = 2;
/// The share of requests that take no longer than is usual.
const USUAL: f64 = 0.95;
/// What surely ends may take so much of the worst that was seen.
const SAFETY: f64 = 1.2;

/// A balancer that asks every second has missed two answers by then.
pub const NOTICED: Duration = Duration::from_millis(2_600);

/// A part of a request's way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    /// From its arrival to its whole answer.
    Whole,
    /// Its stages, from its arrival on.
    Stages,
    /// Its run, from the call to the whole answer.
    Run,
}

/// How sure an expectation must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sure {
    /// Nearly all such requests took no longer.
    Usually,
    /// No request alike took as long, and there were some.
    Surely,
    /// Whatever it takes: its time is over by then.
    ByDeadline,
}

#[derive(Debug, Clone, Copy)]
struct Took {
    size: u64,
    time: Duration,
}

impl Took {
    /// The time that a request of this size would take: a longer run takes longer in proportion.
    fn scaled_to(self, size: u64) -> Duration {
        let factor = size as f64 / self.size.max(1) as f64;
        self.time.mul_f64(factor.max(1.0))
    }
}

/// What requests of one route took for one part of their way, by class of sizes.
type Classes = BTreeMap<u32, VecDeque<Took>>;

/// The times that requests took lately.
#[derive(Debug, Default)]
pub struct Experience {
    took: HashMap<Name, HashMap<Part, Classes>>,
}

/// Sizes within a factor of two are a class.
const fn class(size: u64) -> u32 {
    u64::BITS - size.leading_zeros()
}

impl Experience {
    /// A request of this size took so long for a part of its way.
    pub fn took(&mut self, route: &Name, part: Part, size: u64, time: Duration) {
        let parts = self.took.entry(route.clone()).or_default();
        let took = parts.entry(part).or_default().entry(class(size)).or_default();
        if took.len() == KEPT {
            took.pop_front();
        }
        took.push_back(Took { size, time });
    }

    /// A request did not end within this time: that tells something only where it is more than others
    /// of its class took.
    pub fn took_more(&mut self, route: &Name, part: Part, size: u64, than: Duration) {
        let of_class = self.classes(route, part).and_then(|c| c.get(&class(size)));
        let worst = of_class.and_then(|took| took.iter().map(|t| t.time).max());
        if worst.is_some_and(|worst| than > worst) {
            self.took(route, part, size, than);
        }
    }

    /// Forgets routes that are not published any more.
    pub fn retain<'a>(&mut self, published: impl Iterator<Item = &'a Name>) {
        let published: HashSet<&Name> = published.collect();
        self.took.retain(|route, _| published.contains(route));
    }

    /// How long a request takes by experience; `None` where there is none.
    pub fn expected(&self, route: &Name, part: Part, size: u64, sure: Sure) -> Option<Duration> {
        let classes = self.classes(route, part)?;
        match sure {
            Sure::Usually => usual(classes, class(size)),
            Sure::Surely => worst(classes, size).map(|worst| worst.mul_f64(SAFETY)),
            Sure::ByDeadline => None,
        }
    }

    fn classes(&self, route: &Name, part: Part) -> Option<&Classes> {
        self.took.get(route)?.get(&part)
    }
}

/// What is usual for a class of sizes, or for all where too few of the class were seen.
fn usual(classes: &Classes, class: u32) -> Option<Duration> {
    let own = classes.get(&class).filter(|took| took.len() >= FEW);
    let mut times: Vec<Duration> = match own {
        Some(took) => took.iter().map(|t| t.time).collect(),
        None => classes.values().flatten().map(|t| t.time).collect(),
    };
    times.sort_unstable();
    times.get((times.len() as f64 * USUAL) as usize).copied()
}

/// The worst that a request of this size may take, by those alike; `None` if there are too few: what
/// is much smaller, or was seen once, says nothing of it.
fn worst(classes: &Classes, size: u64) -> Option<Duration> {
    let own = class(size);
    let alike = classes.range(own.saturating_sub(SMALLER_CLASSES)..=own + 1);
    let times: Vec<Duration> = alike.flat_map(|(_, t)| t).map(|t| t.scaled_to(size)).collect();
    if times.len() < FEW {
        return None;
    }
    times.into_iter().max()
}

/// How sure it must be that what is taken on ends before the process does.
///
/// Until the balancer has seen that the process is not ready, callers come who could not know, and
/// what waits for its stages is half made: what usually ends is worth its small risk, unless others
/// serve, who take a new request at once. After that, only what surely ends. A new stream then has to be
/// over by its own deadline: streams of one route differ by far, the long ones end last, and a refusal
/// costs its caller no more than the process's restart.
pub fn must_be(stop_age: Duration, is_new: bool, is_stream: bool, others_serve: bool) -> Sure {
    let is_noticed = stop_age >= NOTICED;
    if is_noticed && is_new && is_stream {
        return Sure::ByDeadline;
    }
    if is_noticed || is_new && others_serve { Sure::Surely } else { Sure::Usually }
}
