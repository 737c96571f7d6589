//! Chooses the endpoint of a request: prompts go where their shared parts are kept, bounded by load;
//! everything else goes where least is running.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// An endpoint may hold so many times the mean load of its pool before prompts go elsewhere.
const LOAD_BOUND: f64 = 1.3;
/// And so many requests more.
const LOAD_SLACK: f64 = 6.0;
/// Another data centre counts as so much of a slot for what is not kept anywhere.
const REMOTE: f64 = 0.15;

/// One endpoint that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Place<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// Requests that run or wait there, as far as is known.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Whether it failed lately.
    pub avoided: bool,
    /// Whether it stands in the own data centre.
    pub is_near: bool,
    /// Time of its answers, relative to the pool's.
    pub slowness: f64,
}

/// What a choice was made by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Because {
    /// The shared part of its prompt belongs there.
    Prefix,
    /// Its own place is loaded: the second home of the shared part.
    SecondHome,
    /// Least is running there.
    LeastLoad,
    /// Everything is avoided; least is running there.
    LastResort,
}

impl Because {
    /// The word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::SecondHome => "second_home",
            Self::LeastLoad => "least_load",
            Self::LastResort => "last_resort",
        }
    }
}

/// The position of the chosen place; `None` where there is none.
pub fn place(places: &[Place<'_>], prefix: Option<&str>) -> Option<(usize, Because)> {
    let open: Vec<usize> = (0..places.len()).filter(|&i| !places[i].avoided).collect();
    if open.is_empty() {
        let all: Vec<usize> = (0..places.len()).collect();
        return least_loaded(places, &all).map(|i| (i, Because::LastResort));
    }
    let Some(prefix) = prefix else {
        return least_loaded(places, &open).map(|i| (i, Because::LeastLoad));
    };
    let mean = open.iter().map(|&i| places[i].load).sum::<f64>() / open.len() as f64;
    let bound = mean * LOAD_BOUND + LOAD_SLACK;
    let seed = xxh3_64(prefix.as_bytes());
    let (home, second) = homes(places, &open, seed);
    for (home, because) in [(home, Because::Prefix), (second, Because::SecondHome)] {
        if let Some(i) = home.filter(|&i| places[i].load <= bound) {
            return Some((i, because));
        }
    }
    least_loaded(places, &open).map(|i| (i, Because::LeastLoad))
}

/// The two places with the highest weights for a shared part, the first one first.
fn homes(places: &[Place<'_>], open: &[usize], seed: u64) -> (Option<usize>, Option<usize>) {
    let weight = |i: usize| xxh3_64_with_seed(places[i].id.as_bytes(), seed);
    let mut best: [Option<(u64, usize)>; 2] = [None; 2];
    for &i in open {
        let found = Some((weight(i), i));
        if found.map(|f| f.0) > best[0].map(|b| b.0) {
            best = [found, best[0]];
        } else if found.map(|f| f.0) > best[1].map(|b| b.0) {
            best[1] = found;
        }
    }
    (best[0].map(|b| b.1), best[1].map(|b| b.1))
}

fn least_loaded(places: &[Place<'_>], among: &[usize]) -> Option<usize> {
    let cost = |p: &Place<'_>| {
        let distance = if p.is_near { 0.0 } else { REMOTE };
        (p.load / p.slots.max(1.0)).mul_add(p.slowness, distance)
    };
    among.iter().copied().min_by(|&a, &b| cost(&places[a]).total_cmp(&cost(&places[b])))
}
