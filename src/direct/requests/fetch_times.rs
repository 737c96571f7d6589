//! How long results are kept for endpoints that fetch them, learnt from past first events.
//!
//! An endpoint has its inputs by the time it sends its first event. The minimum over the recent
//! first events of a pool is therefore an upper bound of its fetch time, independent of its hosts
//! and links.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::Name;

/// Minimum number of first events for an estimate; until then results are kept until the first
/// event.
const MIN_FIRST_EVENTS: u32 = 8;
/// Growth of the minimum with each first event, so that it adapts after a change.
const MINIMUM_GROWTH: f64 = 1.02;
/// Minimum time for which results are kept, however quick the first events were.
const MIN_RETENTION: Duration = Duration::from_millis(60);

/// First events of one pool.
#[derive(Debug)]
struct FirstEvents {
    count: u32,
    /// Minimum time from sending a call to its first event, raised by a small factor with each
    /// event.
    quickest: Duration,
}

/// First events of all pools.
#[derive(Debug, Default)]
pub struct FetchTimes {
    pools: HashMap<Name, FirstEvents>,
}

impl FetchTimes {
    /// The first event arrived this long after its call was sent.
    pub fn first_event(&mut self, pool: &Name, after: Duration) {
        let first = FirstEvents { count: 0, quickest: after };
        let events = self.pools.entry(pool.clone()).or_insert(first);
        events.count = events.count.saturating_add(1);
        events.quickest = after.min(events.quickest.mul_f64(MINIMUM_GROWTH));
    }

    /// Results were freed before they were fetched: discards the estimate of the pool.
    pub fn freed_too_early(&mut self, pool: &Name) {
        self.pools.remove(pool);
    }

    /// How long results are kept after a call was sent; `None` if they are kept until its first
    /// event.
    pub fn retention(&self, pool: &Name) -> Option<Duration> {
        let events = self.pools.get(pool).filter(|p| p.count >= MIN_FIRST_EVENTS)?;
        Some(events.quickest.max(MIN_RETENTION))
    }

    /// Removes pools that are not published any more.
    pub fn retain(&mut self, is_published: impl Fn(&Name) -> bool) {
        self.pools.retain(|pool, _| is_published(pool));
    }
}
