//! How long results are kept for an endpoint that fetches them, by experience.
//!
//! An endpoint has its inputs when its first event comes, so the quickest of the last first events of
//! a pool bounds what fetches take there, whatever its hosts and links are like.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::Name;

/// So many first events say enough; until then results are kept until each.
const FEW: u32 = 8;
/// With each first event, the quickest counts for so much more: it is forgotten after a change.
const FORGETTING: f64 = 1.02;
/// Results are kept for so long at least: with that, freeing them early was measured.
const SHORTEST: Duration = Duration::from_millis(60);

/// First events of one pool.
#[derive(Debug)]
struct FirstEvents {
    count: u32,
    /// From when a call went out.
    quickest: Duration,
}

/// First events of all pools.
#[derive(Debug, Default)]
pub struct Fetches {
    pools: HashMap<Name, FirstEvents>,
}

impl Fetches {
    /// The first event came so long after its call went out.
    pub fn begun(&mut self, pool: &Name, after: Duration) {
        let first = FirstEvents { count: 0, quickest: after };
        let events = self.pools.entry(pool.clone()).or_insert(first);
        events.count = events.count.saturating_add(1);
        events.quickest = after.min(events.quickest.mul_f64(FORGETTING));
    }

    /// Results were freed before they were fetched: what was known of the pool is wrong.
    pub fn missed(&mut self, pool: &Name) {
        self.pools.remove(pool);
    }

    /// How long after a call went out its results are kept; `None` until its first event.
    pub fn kept_for(&self, pool: &Name) -> Option<Duration> {
        let known = self.pools.get(pool).filter(|p| p.count >= FEW)?;
        Some(known.quickest.max(SHORTEST))
    }

    /// Forgets pools that are not published any more.
    pub fn retain(&mut self, is_published: impl Fn(&Name) -> bool) {
        self.pools.retain(|pool, _| is_published(pool));
    }
}
