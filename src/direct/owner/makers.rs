//! What the owner of a pool knows of its endpoints: calls at work, room for results, slowness.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
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
/// One that is so many times slower than its pool was lately is compared with all others as they are
/// now; so a call costs nothing by the size of its pool as long as its endpoint is not slow.
const DOUBTFUL: f64 = 1.4;
/// How slow a pool usually is, is told anew after so long.
const USUAL_KEPT: Duration = Duration::from_secs(1);

/// Results that nobody frees have run out after so long.
const RUNS_OUT: Duration = Duration::from_secs(5);

/// What is left of results that run out since `at`.
fn rest(bytes: u64, at: Timestamp, now: Timestamp) -> u64 {
    let gone = now.saturating_sub(at).as_secs_f64() / RUNS_OUT.as_secs_f64();
    (bytes as f64 * (1.0 - gone).max(0.0)) as u64
}

/// One endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Maker {
    /// Calls at work.
    pub running: u32,
    /// Bytes of results that it keeps or makes.
    pub used: u64,
    /// Bytes that it must keep for somebody unknown, as of the time beside it: it had no room.
    unknown: Option<(u64, Timestamp)>,
    /// No call before that.
    pub blocked_until: Timestamp,
    /// No call before that, unless nothing else is there.
    pub avoided_until: Timestamp,
    failures: u32,
    /// Measured over expected time of calls.
    slowness: Option<f64>,
}

/// Bytes of results that another owner keeps at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The endpoint's id.
    pub endpoint: Name,
    /// Bytes.
    pub bytes: u64,
}

/// What another owner said that it uses.
#[derive(Debug)]
struct Told {
    usage: HashMap<Name, u64>,
    /// When its owner was lost: from then on its results run out.
    lost: Option<Timestamp>,
}

/// The endpoints of all pools that one gateway calls.
#[derive(Debug, Default)]
pub struct Makers {
    makers: HashMap<Name, Maker>,
    /// What other owners use, by where their peers connect.
    told: HashMap<SocketAddr, Told>,
    /// How slow the endpoints of each pool usually are, and since when that is known.
    usual: HashMap<Name, (f64, Timestamp)>,
    /// Endpoints of which something changed since that was last asked.
    changed: BTreeSet<Name>,
}

impl Makers {
    /// What is known of an endpoint.
    pub fn get(&self, endpoint: &str) -> Maker {
        self.makers.get(endpoint).copied().unwrap_or_default()
    }

    /// An endpoint is to be looked at anew.
    pub fn look_at(&mut self, endpoint: &Name) {
        self.changed.insert(endpoint.clone());
    }

    /// Endpoints of which something changed since this was last asked.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Whether an endpoint stands differently after a while though nothing happens to it.
    pub fn changes_with_time(&self, endpoint: &str, now: Timestamp) -> bool {
        let runs_out = |at: Timestamp| now < at + RUNS_OUT;
        let lost = self.told.values().filter(|t| t.usage.contains_key(endpoint));
        lost.filter_map(|t| t.lost).any(runs_out)
            || self.makers.get(endpoint).is_some_and(|maker| {
                maker.blocked_until > now
                    || maker.avoided_until > now
                    || maker.unknown.is_some_and(|(_, at)| runs_out(at))
            })
    }

    fn entry(&mut self, endpoint: &Name) -> &mut Maker {
        if !self.changed.contains(endpoint) {
            self.changed.insert(endpoint.clone());
        }
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

    /// The endpoint has no room for a result of `bytes`, though `left` were thought to be free:
    /// somebody unknown uses the rest.
    pub fn no_room(&mut self, endpoint: &Name, left: u64, now: Timestamp) {
        let maker = self.entry(endpoint);
        maker.blocked_until = now + ROOM_PAUSE;
        let before = maker.unknown.map_or(0, |(bytes, at)| rest(bytes, at, now));
        maker.unknown = Some((before + left, now));
    }

    /// The endpoint told that `free` bytes of its `room` are free: what this owner does not use of
    /// the rest is somebody else's.
    pub fn reported(&mut self, endpoint: &Name, room: u64, free: u64, now: Timestamp) {
        let maker = self.entry(endpoint);
        let others = room.saturating_sub(free).saturating_sub(maker.used);
        maker.unknown = (others > 0).then_some((others, now));
    }

    /// Another owner tells what it uses.
    pub fn told(&mut self, owner: SocketAddr, usage: Vec<Usage>) {
        if let Some(before) = self.told.remove(&owner) {
            self.changed.extend(before.usage.into_keys());
        }
        if usage.is_empty() {
            return;
        }
        self.changed.extend(usage.iter().map(|u| u.endpoint.clone()));
        let usage = usage.into_iter().map(|u| (u.endpoint, u.bytes)).collect();
        self.told.insert(owner, Told { usage, lost: None });
    }

    /// Whether another owner uses endpoints, or did until lately.
    pub fn is_shared(&self) -> bool {
        !self.told.is_empty()
    }

    /// Another owner is gone: nobody frees what it had.
    pub fn owner_lost(&mut self, owner: SocketAddr, now: Timestamp) {
        if let Some(told) = self.told.get_mut(&owner) {
            told.lost.get_or_insert(now);
            self.changed.extend(told.usage.keys().cloned());
        }
    }

    /// What this owner uses, for others.
    pub fn usage(&self) -> Vec<Usage> {
        let used = self.makers.iter().filter(|(_, m)| m.used > 0);
        used.map(|(endpoint, m)| Usage { endpoint: endpoint.clone(), bytes: m.used }).collect()
    }

    /// Bytes that are free at an endpoint with `room` in all.
    pub fn left(&self, endpoint: &str, room: u64, now: Timestamp) -> u64 {
        let used = self.makers.get(endpoint).map_or(0, |m| m.used);
        room.saturating_sub(self.of_others(endpoint, now) + used)
    }

    /// Bytes at an endpoint that others use.
    pub fn of_others(&self, endpoint: &str, now: Timestamp) -> u64 {
        let maker = self.makers.get(endpoint);
        let unknown = maker.and_then(|m| m.unknown).map_or(0, |(bytes, at)| rest(bytes, at, now));
        let told = self.told.values().filter_map(|t| {
            let bytes = *t.usage.get(endpoint)?;
            Some(t.lost.map_or(bytes, |lost| rest(bytes, lost, now)))
        });
        unknown.max(told.sum())
    }

    /// The endpoint failed; it is avoided for a while.
    pub fn failed(&mut self, endpoint: &Name, now: Timestamp) {
        let maker = self.entry(endpoint);
        let pause = FIRST_AVOIDANCE * 2u32.saturating_pow(maker.failures.min(6));
        maker.avoided_until = now + pause.min(LONGEST_AVOIDANCE);
        maker.failures += 1;
    }

    /// Avoids an endpoint that is far slower than the others of its pool; says whether it does.
    pub fn avoid_if_slow(
        &mut self,
        endpoint: &Name,
        name: &Name,
        pool: &[Arc<Endpoint>],
        now: Timestamp,
    ) -> bool {
        let Some(own) = self.get(endpoint).slowness else {
            return false;
        };
        let usual = self.usual.get(name).filter(|(_, at)| now < *at + USUAL_KEPT);
        if usual.is_some_and(|(usual, _)| own < usual * DOUBTFUL) {
            return false;
        }
        let Some(median) = self.median_slowness(pool, endpoint) else {
            return false;
        };
        self.usual.insert(name.clone(), (median, now));
        if own < median * SLOW {
            return false;
        }
        // The next measurement starts anew, so that one good call brings it back.
        self.entry(endpoint).slowness = None;
        self.failed(endpoint, now);
        true
    }

    /// How slow the others of a pool are.
    fn median_slowness(&self, pool: &[Arc<Endpoint>], endpoint: &Name) -> Option<f64> {
        let others = pool.iter().filter(|e| e.id != *endpoint);
        let mut others: Vec<f64> =
            others.filter_map(|e| self.makers.get(&e.id)?.slowness).collect();
        others.sort_by(f64::total_cmp);
        others.get(others.len() / 2).copied()
    }

    /// Forgets what lost owners used once it has run out.
    pub fn tidy(&mut self, now: Timestamp) {
        let has_run_out = |t: &Told| t.lost.is_some_and(|lost| now >= lost + RUNS_OUT);
        for (_, over) in self.told.extract_if(|_, t| has_run_out(t)) {
            self.changed.extend(over.usage.into_keys());
        }
    }

    /// An endpoint is in another life: what was known of it, and what it kept for anybody, is over.
    pub fn restarted(&mut self, endpoint: &Name) {
        self.makers.remove(endpoint);
        for told in self.told.values_mut() {
            told.usage.remove(endpoint);
        }
        self.changed.insert(endpoint.clone());
    }

    /// Forgets endpoints that are not listed any more and keep nothing.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.makers.retain(|id, m| listed(id) || m.running > 0);
    }
}
