//! What the owner of a pool knows of its endpoints: calls at work, room for results, slowness.

use std::collections::HashMap;
use std::time::Duration;

use super::model::Name;
use crate::message::Timestamp;

/// An endpoint that said it was full is asked again after so long.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// An endpoint without room for a result is asked again after so long.
const ROOM_PAUSE: Duration = Duration::from_millis(150);
/// The first time that an endpoint which failed is avoided; doubles with each failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// The longest time that an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(5);
/// The weight of a new measurement.
const NEW_WEIGHT: f64 = 0.3;
/// An endpoint so many times slower than its pool is avoided.
const SLOW: f64 = 1.8;

/// One endpoint.
#[derive(Debug, Clone, Default)]
pub struct Maker {
    /// Calls at work.
    pub running: u32,
    /// Bytes of results that it keeps or makes.
    pub used: u64,
    /// No call before that.
    pub blocked_until: Timestamp,
    /// No call before that, unless nothing else is there.
    pub avoided_until: Timestamp,
    failures: u32,
    /// Measured over expected time of calls.
    slowness: Option<f64>,
}

/// The endpoints of all pools that one gateway calls.
#[derive(Debug, Default)]
pub struct Makers {
    makers: HashMap<Name, Maker>,
}

impl Makers {
    /// What is known of an endpoint.
    pub fn get(&self, endpoint: &str) -> Maker {
        self.makers.get(endpoint).cloned().unwrap_or_default()
    }

    fn entry(&mut self, endpoint: &Name) -> &mut Maker {
        self.makers.entry(endpoint.clone()).or_default()
    }

    /// A call was sent whose results need `bytes`.
    pub fn sent(&mut self, endpoint: &Name, bytes: u64) {
        let maker = self.entry(endpoint);
        maker.running += 1;
        maker.used += bytes;
    }

    /// A call ended.
    pub fn ended(&mut self, endpoint: &Name) {
        let maker = self.entry(endpoint);
        maker.running = maker.running.saturating_sub(1);
    }

    /// Room for results was given back.
    pub fn freed(&mut self, endpoint: &Name, bytes: u64) {
        let maker = self.entry(endpoint);
        maker.used = maker.used.saturating_sub(bytes);
    }

    /// Results were taken over from another owner.
    pub fn taken_over(&mut self, endpoint: &Name, bytes: u64) {
        self.entry(endpoint).used += bytes;
    }

    /// The endpoint works; its call took `ratio` times as long as expected.
    pub fn worked(&mut self, endpoint: &Name, ratio: f64) {
        let maker = self.entry(endpoint);
        maker.failures = 0;
        maker.avoided_until = Timestamp::ZERO;
        let before = maker.slowness.unwrap_or(ratio);
        maker.slowness = Some(before + (ratio - before) * NEW_WEIGHT);
    }

    /// The endpoint is full.
    pub fn full(&mut self, endpoint: &Name, now: Timestamp) {
        self.entry(endpoint).blocked_until = now + FULL_PAUSE;
    }

    /// The endpoint has no room.
    pub fn no_room(&mut self, endpoint: &Name, now: Timestamp) {
        self.entry(endpoint).blocked_until = now + ROOM_PAUSE;
    }

    /// The endpoint failed; it is avoided for a while.
    pub fn failed(&mut self, endpoint: &Name, now: Timestamp) {
        let maker = self.entry(endpoint);
        let pause = FIRST_AVOIDANCE * 2u32.saturating_pow(maker.failures.min(6));
        maker.avoided_until = now + pause.min(LONGEST_AVOIDANCE);
        maker.failures += 1;
    }

    /// Avoids an endpoint that is far slower than the others of its pool; says whether it does.
    pub fn avoid_if_slow(&mut self, endpoint: &Name, pool: &[Name], now: Timestamp) -> bool {
        let others = pool.iter().filter(|e| *e != endpoint);
        let mut others: Vec<f64> = others.filter_map(|e| self.makers.get(e)?.slowness).collect();
        if others.is_empty() {
            return false;
        }
        others.sort_by(f64::total_cmp);
        let median = others[others.len() / 2];
        let maker = self.entry(endpoint);
        if maker.slowness.is_none_or(|s| s < median * SLOW) {
            return false;
        }
        // The next measurement starts anew, so that one good call brings it back.
        maker.slowness = None;
        self.failed(endpoint, now);
        true
    }

    /// Forgets endpoints that are not listed any more and keep nothing.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.makers.retain(|id, m| listed(id) || m.running > 0);
    }
}
