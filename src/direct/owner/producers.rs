//! What an owner records of its endpoints: running calls, result memory, failures and speed.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{BatchSpec, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Time without calls to an endpoint that had no memory for a result.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(150);
/// Time for which an endpoint is avoided after its first failure; doubles with each failure in a
/// row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// Maximum time for which an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(5);
/// Weight of a new measurement in the moving average.
const NEW_SAMPLE_WEIGHT: f64 = 0.3;
/// An endpoint is avoided if it is slower than the median of its pool by this factor.
const SLOW_FACTOR: f64 = 1.8;
/// An endpoint is compared with the current median of its pool only if it is slower than the cached
/// median by this factor: while the endpoint is not slow, the cost of a call does not depend on the
/// size of the pool.
const SLOW_CHECK_FACTOR: f64 = 1.4;
/// Time for which the cached median slowness of a pool is used.
const MEDIAN_MAX_AGE: Duration = Duration::from_secs(1);

/// Time after which endpoints have dropped results that are not freed, until the configuration
/// states it.
const DEFAULT_RETENTION: Duration = Duration::from_secs(5);

/// Bytes of results that no owner frees. They expire evenly over time, since they were produced at
/// different times before they were observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Expiring {
    bytes: u64,
    observed_at: Timestamp,
    /// Time when the last of them has expired.
    expires_at: Timestamp,
}

impl Expiring {
    /// Bytes that have not expired.
    fn left(&self, now: Timestamp) -> u64 {
        let lasts = self.expires_at.saturating_sub(self.observed_at).as_secs_f64();
        let left = self.expires_at.saturating_sub(now.max(self.observed_at)).as_secs_f64();
        (self.bytes as f64 * (left / lasts.max(f64::EPSILON))) as u64
    }
}

/// What is recorded of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Producer {
    /// Calls running at the endpoint.
    pub running: u32,
    /// Bytes of this owner's results that the endpoint keeps or produces.
    pub used: u64,
    /// Bytes used by unknown owners, the first observed ones first: the endpoint had less free
    /// memory than expected.
    unattributed: Vec<Expiring>,
    /// No calls are sent before this time.
    pub blocked_until: Timestamp,
    /// No calls are sent before this time unless all endpoints are avoided.
    pub avoided_until: Timestamp,
    /// Number of failures in a row.
    failures: u32,
    /// Moving average of measured over expected duration of calls.
    slowness: Option<f64>,
}

/// An endpoint of which nothing is recorded.
static UNUSED: Producer = Producer {
    running: 0,
    used: 0,
    unattributed: Vec::new(),
    blocked_until: Timestamp::ZERO,
    avoided_until: Timestamp::ZERO,
    failures: 0,
    slowness: None,
};

impl Producer {
    /// Bytes of unknown owners that have not expired.
    fn unattributed_bytes(&self, now: Timestamp) -> u64 {
        self.unattributed.iter().map(|expiring| expiring.left(now)).sum()
    }

    /// Replaces the bytes of unknown owners by those observed now. Bytes that were observed before
    /// expire as they would have: their results are found again, not produced anew.
    fn observe_unattributed(&mut self, bytes: u64, retention: Duration, now: Timestamp) {
        self.unattributed.retain(|expiring| now < expiring.expires_at);
        let mut new = bytes;
        for expiring in self.unattributed.iter_mut().rev() {
            expiring.bytes = expiring.bytes.min(new);
            expiring.observed_at = now;
            new -= expiring.bytes;
        }
        self.unattributed.retain(|expiring| expiring.bytes > 0);
        self.add_unattributed(new, retention, now);
    }

    /// Adds bytes of unknown owners that were not observed before.
    fn add_unattributed(&mut self, bytes: u64, retention: Duration, now: Timestamp) {
        if bytes > 0 {
            self.unattributed.retain(|expiring| now < expiring.expires_at);
            let expires_at = now + retention;
            self.unattributed.push(Expiring { bytes, observed_at: now, expires_at });
        }
    }
}

/// Bytes of results that an owner keeps at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Size of the results in bytes.
    pub bytes: u64,
}

/// Usage announced by another owner.
#[derive(Debug)]
struct AnnouncedUsage {
    usage: HashMap<Name, u64>,
    /// Time when the owner was removed; from then on its results expire.
    removed_at: Option<Timestamp>,
}

/// What an owner records of all its endpoints.
#[derive(Debug)]
pub struct Producers {
    /// Time after which endpoints have dropped the results of a lost owner.
    retention: Duration,
    producers: HashMap<Name, Producer>,
    /// Usage announced by other owners, by peer address.
    announced: HashMap<SocketAddr, AnnouncedUsage>,
    /// Cached median slowness of each pool, and when it was computed.
    medians: HashMap<Name, (f64, Timestamp)>,
    /// Endpoints that changed since [`Self::take_changed`] was last called.
    changed: BTreeSet<Name>,
}

impl Default for Producers {
    fn default() -> Self {
        Self {
            retention: DEFAULT_RETENTION,
            producers: HashMap::new(),
            announced: HashMap::new(),
            medians: HashMap::new(),
            changed: BTreeSet::new(),
        }
    }
}

impl Producers {
    /// Sets the time after which endpoints have dropped the results of a lost owner, from the
    /// configuration: the duration of its last call, and the retention of the results.
    pub fn set_retention(&mut self, table: &Table) {
        let pools = table.deployment.pools.iter().filter_map(|p| table.batch_spec(&p.name));
        let retention = |spec: &BatchSpec| spec.full_call() + spec.result_retention;
        self.retention = pools.map(retention).max().unwrap_or(DEFAULT_RETENTION);
    }

    /// What is recorded of an endpoint.
    pub fn get(&self, endpoint: &str) -> &Producer {
        self.producers.get(endpoint).unwrap_or(&UNUSED)
    }

    /// Marks an endpoint as changed.
    pub fn mark_changed(&mut self, endpoint: &Name) {
        self.changed.insert(endpoint.clone());
    }

    /// Takes the endpoints that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// Whether the state of an endpoint changes with time alone.
    pub fn changes_with_time(&self, endpoint: &str, now: Timestamp) -> bool {
        let is_expiring = |removed: Timestamp| now < removed + self.retention;
        let removed = self.announced.values().filter(|t| t.usage.contains_key(endpoint));
        removed.filter_map(|t| t.removed_at).any(is_expiring)
            || self.producers.get(endpoint).is_some_and(|producer| {
                producer.blocked_until > now
                    || producer.avoided_until > now
                    || producer.unattributed.iter().any(|u| now < u.expires_at)
            })
    }

    fn entry(&mut self, endpoint: &Name) -> &mut Producer {
        if !self.changed.contains(endpoint) {
            self.changed.insert(endpoint.clone());
        }
        self.producers.entry(endpoint.clone()).or_default()
    }

    /// Records that a call was sent whose results need `bytes`.
    pub fn sent(&mut self, endpoint: &Name, bytes: u64) {
        let producer = self.entry(endpoint);
        producer.running += 1;
        producer.used += bytes;
    }

    /// Records that a call ended.
    pub fn ended(&mut self, endpoint: &Name) {
        let producer = self.entry(endpoint);
        producer.running = producer.running.saturating_sub(1);
    }

    /// Records that results of `bytes` were freed.
    pub fn freed(&mut self, endpoint: &Name, bytes: u64) {
        let producer = self.entry(endpoint);
        producer.used = producer.used.saturating_sub(bytes);
    }

    /// Records that results of `bytes` were taken over from another owner.
    pub fn taken_over(&mut self, endpoint: &Name, bytes: u64) {
        self.entry(endpoint).used += bytes;
    }

    /// Records that a call succeeded, and took `ratio` times its expected duration.
    pub fn succeeded(&mut self, endpoint: &Name, ratio: f64) {
        let producer = self.entry(endpoint);
        producer.failures = 0;
        producer.avoided_until = Timestamp::ZERO;
        let before = producer.slowness.unwrap_or(ratio);
        producer.slowness = Some(before + (ratio - before) * NEW_SAMPLE_WEIGHT);
    }

    /// Records that an endpoint refused a call of the `expected` duration because it is full. It is
    /// not called for half of that, the mean time until a running call ends; each refused call
    /// counts against the repeat budget.
    pub fn full(&mut self, endpoint: &Name, expected: Duration, now: Timestamp) {
        self.entry(endpoint).blocked_until = now + expected / 2;
    }

    /// Records that an endpoint had no memory for a result though `expected_free` bytes were
    /// thought to be free: they are used by an unknown owner.
    pub fn no_result_memory(&mut self, endpoint: &Name, expected_free: u64, now: Timestamp) {
        let retention = self.retention;
        let producer = self.entry(endpoint);
        producer.blocked_until = now + NO_MEMORY_PAUSE;
        producer.add_unattributed(expected_free, retention, now);
    }

    /// Records a report that `free` of `capacity` bytes are free at an endpoint; what this owner
    /// does not use of the rest is used by others.
    pub fn reported(&mut self, endpoint: &Name, capacity: u64, free: u64, now: Timestamp) {
        let retention = self.retention;
        let producer = self.entry(endpoint);
        let others = capacity.saturating_sub(free).saturating_sub(producer.used);
        producer.observe_unattributed(others, retention, now);
    }

    /// Replaces the usage announced by another owner.
    pub fn usage_announced(&mut self, owner: SocketAddr, usage: Vec<Usage>) {
        if let Some(before) = self.announced.remove(&owner) {
            self.changed.extend(before.usage.into_keys());
        }
        if usage.is_empty() {
            return;
        }
        self.changed.extend(usage.iter().map(|u| u.endpoint.clone()));
        let usage = usage.into_iter().map(|u| (u.endpoint, u.bytes)).collect();
        self.announced.insert(owner, AnnouncedUsage { usage, removed_at: None });
    }

    /// Whether another owner uses endpoints, or did so recently.
    pub fn is_shared(&self) -> bool {
        !self.announced.is_empty()
    }

    /// Records that another owner was removed: its results are freed by no one, and expire.
    pub fn owner_removed(&mut self, owner: SocketAddr, now: Timestamp) {
        if let Some(announced) = self.announced.get_mut(&owner) {
            announced.removed_at.get_or_insert(now);
            self.changed.extend(announced.usage.keys().cloned());
        }
    }

    /// Usage of this owner, to be announced to others.
    pub fn usage(&self) -> Vec<Usage> {
        let used = self.producers.iter().filter(|(_, m)| m.used > 0);
        used.map(|(endpoint, m)| Usage { endpoint: endpoint.clone(), bytes: m.used }).collect()
    }

    /// Free result memory in bytes at an endpoint with `capacity` bytes in all.
    pub fn free_bytes(&self, endpoint: &str, capacity: u64, now: Timestamp) -> u64 {
        let used = self.producers.get(endpoint).map_or(0, |m| m.used);
        capacity.saturating_sub(self.used_by_others(endpoint, now) + used)
    }

    /// Bytes of result memory that other owners use at an endpoint.
    pub fn used_by_others(&self, endpoint: &str, now: Timestamp) -> u64 {
        let producer = self.producers.get(endpoint);
        let unattributed = producer.map_or(0, |m| m.unattributed_bytes(now));
        let from_announcements = self.announced.values().filter_map(|t| {
            let bytes = *t.usage.get(endpoint)?;
            let expiring = |removed_at| Expiring {
                bytes,
                observed_at: removed_at,
                expires_at: removed_at + self.retention,
            };
            Some(t.removed_at.map_or(bytes, |removed_at| expiring(removed_at).left(now)))
        });
        unattributed.max(from_announcements.sum())
    }

    /// Records a failure; the endpoint is avoided for a while.
    pub fn failed(&mut self, endpoint: &Name, now: Timestamp) {
        let producer = self.entry(endpoint);
        let pause = FIRST_AVOIDANCE * 2u32.saturating_pow(producer.failures.min(6));
        producer.avoided_until = now + pause.min(LONGEST_AVOIDANCE);
        producer.failures += 1;
    }

    /// Avoids an endpoint that is far slower than the others of its pool; returns whether it does.
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
        let cached = self.medians.get(name).filter(|(_, at)| now < *at + MEDIAN_MAX_AGE);
        if cached.is_some_and(|(cached, _)| own < cached * SLOW_CHECK_FACTOR) {
            return false;
        }
        let Some(median) = self.median_slowness(pool, endpoint) else {
            return false;
        };
        self.medians.insert(name.clone(), (median, now));
        if own < median * SLOW_FACTOR {
            return false;
        }
        // The moving average starts anew, so that one fast call is enough to use the endpoint
        // again.
        self.entry(endpoint).slowness = None;
        self.failed(endpoint, now);
        true
    }

    /// Median slowness of the other endpoints of a pool.
    fn median_slowness(&self, pool: &[Arc<Endpoint>], endpoint: &Name) -> Option<f64> {
        let others = pool.iter().filter(|e| e.id != *endpoint);
        let mut others: Vec<f64> =
            others.filter_map(|e| self.producers.get(&e.id)?.slowness).collect();
        others.sort_by(f64::total_cmp);
        others.get(others.len() / 2).copied()
    }

    /// Removes the usage of removed owners once it has expired.
    pub fn expire(&mut self, now: Timestamp) {
        let retention = self.retention;
        let has_expired =
            |t: &AnnouncedUsage| t.removed_at.is_some_and(|removed| now >= removed + retention);
        for (_, expired) in self.announced.extract_if(|_, t| has_expired(t)) {
            self.changed.extend(expired.usage.into_keys());
        }
    }

    /// Forgets an endpoint that has a new incarnation, including the results that it kept for any
    /// owner.
    pub fn restarted(&mut self, endpoint: &Name) {
        self.producers.remove(endpoint);
        for announced in self.announced.values_mut() {
            announced.usage.remove(endpoint);
        }
        self.changed.insert(endpoint.clone());
    }

    /// Forgets endpoints that are no longer listed and run no calls.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.producers.retain(|id, m| listed(id) || m.running > 0);
    }
}
