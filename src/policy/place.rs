//! Endpoint selection with prefix affinity: a prompt is sent to the endpoint that caches its shared
//! prefix, as long as the load of that endpoint is within a bound; all other requests are sent to
//! the least loaded endpoint.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Load up to which an endpoint receives prompts by prefix, as a multiple of its pool's mean load.
const LOAD_BOUND: f64 = 1.3;
/// Number of requests that is added to this bound, so that it leaves some slack at low loads.
const LOAD_SLACK: f64 = 6.0;
/// Cost of another data centre when the least loaded endpoint is chosen, in load per slot.
const REMOTE_COST: f64 = 0.15;

/// Candidate endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the endpoint.
    pub id: &'a str,
    /// Known number of running and queued requests.
    pub load: f64,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: f64,
    /// Whether the endpoint failed recently.
    pub avoided: bool,
    /// Whether the endpoint is in this gateway's data centre.
    pub is_local: bool,
    /// Response time relative to that of the pool.
    pub slowness: f64,
}

/// Reason for the choice of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// First choice by the hash of the shared prefix.
    Prefix,
    /// Second choice by the hash of the shared prefix; the first one exceeds the load bound.
    SecondChoice,
    /// The endpoint is the least loaded one.
    LeastLoad,
    /// All endpoints failed recently; the least loaded one was chosen.
    LastResort,
}

impl PlacementReason {
    /// Name of the reason in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::SecondChoice => "second_home",
            Self::LeastLoad => "least_load",
            Self::LastResort => "last_resort",
        }
    }
}

/// Chooses an endpoint for a request, by its shared prefix if it has one. Returns the index of the
/// endpoint; `None` if there are no candidates.
pub fn place(
    candidates: &[Candidate<'_>],
    prefix: Option<&str>,
) -> Option<(usize, PlacementReason)> {
    let usable: Vec<usize> = (0..candidates.len()).filter(|&i| !candidates[i].avoided).collect();
    if usable.is_empty() {
        let all: Vec<usize> = (0..candidates.len()).collect();
        return least_loaded(candidates, &all).map(|i| (i, PlacementReason::LastResort));
    }
    let Some(prefix) = prefix else {
        return least_loaded(candidates, &usable).map(|i| (i, PlacementReason::LeastLoad));
    };
    let mean = usable.iter().map(|&i| candidates[i].load).sum::<f64>() / usable.len() as f64;
    let bound = mean * LOAD_BOUND + LOAD_SLACK;
    let (choice, second_choice) = preferred(candidates, &usable, prefix);
    for (choice, reason) in
        [(choice, PlacementReason::Prefix), (second_choice, PlacementReason::SecondChoice)]
    {
        if let Some(i) = choice.filter(|&i| candidates[i].load <= bound) {
            return Some((i, reason));
        }
    }
    least_loaded(candidates, &usable).map(|i| (i, PlacementReason::LeastLoad))
}

/// Rendezvous hash weight of an endpoint for a prefix; the endpoint with the highest weight is the
/// first choice.
pub fn hash_weight(endpoint: &str, prefix: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), xxh3_64(prefix.as_bytes()))
}

/// The two candidates with the highest rendezvous hash weights for a prefix, highest first.
fn preferred(
    candidates: &[Candidate<'_>],
    usable: &[usize],
    prefix: &str,
) -> (Option<usize>, Option<usize>) {
    let weight = |i: usize| hash_weight(candidates[i].id, prefix);
    let mut best: [Option<(u64, usize)>; 2] = [None; 2];
    for &i in usable {
        let found = Some((weight(i), i));
        if found.map(|f| f.0) > best[0].map(|b| b.0) {
            best = [found, best[0]];
        } else if found.map(|f| f.0) > best[1].map(|b| b.0) {
            best[1] = found;
        }
    }
    (best[0].map(|b| b.1), best[1].map(|b| b.1))
}

fn least_loaded(candidates: &[Candidate<'_>], among: &[usize]) -> Option<usize> {
    let cost = |p: &Candidate<'_>| {
        let distance = if p.is_local { 0.0 } else { REMOTE_COST };
        (p.load / p.slots.max(1.0)).mul_add(p.slowness, distance)
    };
    among.iter().copied().min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}
