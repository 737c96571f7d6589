//! How long requests took here, by route and size: what a stopping process goes by when it decides
//! what it can still end.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::model::Name;

/// So many of the last requests of a route count.
const KEPT: usize = 128;
/// So many of one size say enough; with fewer, all of the route count.
const FEW: usize = 8;
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
    /// No such request took as long.
    Surely,
}

#[derive(Debug, Clone, Copy)]
struct Took {
    /// Sizes within a factor of two are a class.
    class: u32,
    time: Duration,
}

/// The times that requests took lately.
#[derive(Debug, Default)]
pub struct Experience {
    took: HashMap<(Name, Part), VecDeque<Took>>,
}

const fn class(size: u64) -> u32 {
    u64::BITS - size.leading_zeros()
}

impl Experience {
    /// A request of this size took so long for a part of its way.
    pub fn took(&mut self, route: &Name, part: Part, size: u64, time: Duration) {
        let took = self.took.entry((route.clone(), part)).or_default();
        if took.len() == KEPT {
            took.pop_front();
        }
        took.push_back(Took { class: class(size), time });
    }

    /// A request did not end within this time: that tells something only where it is more than others
    /// took.
    pub fn took_more(&mut self, route: &Name, part: Part, size: u64, than: Duration) {
        let took = self.took.get(&(route.clone(), part)).into_iter().flatten();
        if took.map(|t| t.time).max().is_some_and(|worst| than > worst) {
            self.took(route, part, size, than);
        }
    }

    /// Forgets routes that are not published any more.
    pub fn retain<'a>(&mut self, published: impl Iterator<Item = &'a Name>) {
        let published: HashSet<&Name> = published.collect();
        self.took.retain(|(route, _), _| published.contains(route));
    }

    /// How long a request takes by experience; `None` where there is none.
    pub fn expected(&self, route: &Name, part: Part, size: u64, sure: Sure) -> Option<Duration> {
        let took = self.took.get(&(route.clone(), part))?;
        let own = class(size);
        // What is a little larger shows what may happen to this one, too.
        let is_like = |t: &&Took| match sure {
            Sure::Usually => t.class == own,
            Sure::Surely => t.class <= own + 1,
        };
        let mut times: Vec<Duration> = took.iter().filter(is_like).map(|t| t.time).collect();
        if times.len() < FEW {
            times = took.iter().map(|t| t.time).collect();
        }
        times.sort_unstable();
        match sure {
            Sure::Usually => times.get((times.len() as f64 * USUAL) as usize).copied(),
            Sure::Surely => times.last().map(|worst| worst.mul_f64(SAFETY)),
        }
    }
}

/// How sure it must be that what is taken on ends before the process does.
///
/// Until the balancer has seen that the process is not ready, callers come who could not know, and
/// what waits for its stages is half made: what usually ends is worth its small risk, unless others
/// serve, who take a new request at once. After that, only what surely ends.
pub fn must_be(stop_age: Duration, is_new: bool, others_serve: bool) -> Sure {
    let is_noticed = stop_age >= NOTICED;
    if is_noticed || is_new && others_serve { Sure::Surely } else { Sure::Usually }
}
