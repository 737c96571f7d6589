//! Rate limits of endpoints as one gateway knows them.
//!
//! A limit applies to the incarnation that announced it. It ends when a response to a message sent
//! after the limit became known carries no limit: responses overlap, so one without a limit may
//! have been written before the limit and read after it. The rate then grows in steps until it is
//! unlimited, so that a limit which is repeatedly set and dropped does not cause a burst each time.
//!
//! Gateways share limits by gossip. A gateway that learns something new from a response increments
//! the version of the entry. The higher version wins; of two entries with the same version, updated
//! concurrently, the stricter one wins.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::{RateLimit, RequestRate};
use crate::message::Timestamp;

/// How long after its limit ended an endpoint becomes unlimited. Until then its rate doubles every
/// [`DOUBLING_INTERVAL`].
const UNLIMITED_AFTER: Duration = Duration::from_secs(5);
/// How often the rate doubles after a limit ended.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);
/// How long an entry is kept after its last change if its incarnation is no longer listed or no
/// longer limited.
const RETENTION: Duration = Duration::from_secs(600);
/// How often entries are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of incarnations that are kept; bounds memory. 3,000 endpoints are expected in two
/// years, few of which announce a limit at the same time.
const MAX_ENTRIES: usize = 4_096;
/// Number of heartbeats with which each gateway gossips a change, to eight peers each. By
/// calculation, one change in 9,000,000 is then gossiped by none of 580 gateways.
const HEARTBEATS_PER_CHANGE: u8 = 2;
/// Maximum number of limits in one heartbeat; the others follow with the next ones.
const MAX_PER_HEARTBEAT: usize = 256;

/// Incarnation of an endpoint: the endpoint's id and the time of its start.
pub type EndpointIncarnation = (Name, u64);

/// Limit of an endpoint, as gossiped between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedLimit {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Incarnation that announced the limit.
    pub incarnation: u64,
    /// Number of changes of this incarnation's limit; the highest version wins.
    pub version: u64,
    /// The limit that was announced last.
    pub limit: RateLimit,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    version: u64,
    limit: RateLimit,
    /// Last announced rate; the starting point of the growth after the limit ended.
    last_announced: RequestRate,
    /// When this gateway learned of `limit`.
    since: Timestamp,
    /// Number of heartbeats that still have to carry this entry.
    heartbeats_left: u8,
}

impl Entry {
    /// Rate allowed for the endpoint, from all gateways together; `None` if it is unlimited.
    fn rate(&self, now: Timestamp) -> Option<RequestRate> {
        let RateLimit::None = self.limit else {
            return Some(self.last_announced);
        };
        let age = now.saturating_sub(self.since);
        let doublings = (age.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64()) as i32;
        let first = self.last_announced.max(RequestRate::ONE).as_per_second();
        (age < UNLIMITED_AFTER).then(|| RequestRate::per_second(first * 2f64.powi(doublings)))
    }

    /// Whether a gossiped entry replaces this one: it has a higher version, or the same version and
    /// a stricter limit.
    fn is_superseded_by(&self, version: u64, limit: RateLimit) -> bool {
        let is_stricter = match (limit, self.limit) {
            (RateLimit::At(received), RateLimit::At(known)) => received < known,
            (RateLimit::At(_), RateLimit::None) => true,
            (RateLimit::None, _) => false,
        };
        version > self.version || version == self.version && is_stricter
    }
}

/// Limits that one gateway knows, by incarnation.
#[derive(Debug, Clone, Default)]
pub struct KnownLimits {
    /// By endpoint id, then by incarnation.
    endpoints: BTreeMap<Name, BTreeMap<u64, Entry>>,
    /// Number of incarnations in `endpoints`.
    count: usize,
    /// Whether an entry still has to be gossiped.
    has_changes: bool,
    /// When entries are next checked for expiry.
    next_expiry: Timestamp,
    /// Incarnations whose limit ended and that were not yet unlimited at the last
    /// [`Self::take_unlimited`].
    ramping: Vec<EndpointIncarnation>,
}

impl KnownLimits {
    fn get(&self, id: &str, incarnation: u64) -> Option<&Entry> {
        self.endpoints.get(id)?.get(&incarnation)
    }

    fn iter(&self) -> impl Iterator<Item = (&Name, u64, &Entry)> {
        let incarnations = |(id, incarnations)| std::iter::repeat(id).zip(incarnations);
        self.endpoints
            .iter()
            .flat_map(incarnations)
            .map(|(id, (incarnation, entry))| (id, *incarnation, entry))
    }

    fn remove(&mut self, (id, incarnation): &EndpointIncarnation) {
        let Some(incarnations) = self.endpoints.get_mut(id) else {
            return;
        };
        self.count -= usize::from(incarnations.remove(incarnation).is_some());
        if incarnations.is_empty() {
            self.endpoints.remove(id);
        }
    }

    /// Whether a response with this limit, or with none, changes the entry. `sent` is when the
    /// message was sent to which the endpoint responded.
    pub fn is_changed_by(&self, endpoint: &Endpoint, limit: RateLimit, sent: Timestamp) -> bool {
        let entry = self.get(&endpoint.id, endpoint.incarnation);
        let is_newer = entry.is_none_or(|entry| sent >= entry.since);
        match (entry.map(|entry| entry.limit), limit) {
            (None | Some(RateLimit::None), RateLimit::None) => false,
            (None | Some(RateLimit::None), RateLimit::At(_)) => true,
            (Some(RateLimit::At(known)), RateLimit::At(stated)) => {
                stated < known || stated > known && is_newer
            }
            (Some(RateLimit::At(_)), RateLimit::None) => is_newer,
        }
    }

    /// Records the limit of a response, if [`Self::is_changed_by`] returned true for it.
    pub fn record(&mut self, endpoint: &Endpoint, limit: RateLimit, now: Timestamp) {
        let entry = self.get(&endpoint.id, endpoint.incarnation);
        let version = entry.map_or(0, |entry| entry.version).saturating_add(1);
        self.set((endpoint.id.clone(), endpoint.incarnation), version, limit, now);
    }

    /// Whether a gossiped limit replaces the known one.
    pub fn is_superseded_by(&self, received: &AnnouncedLimit) -> bool {
        let entry = self.get(&received.endpoint, received.incarnation);
        entry.is_none_or(|entry| entry.is_superseded_by(received.version, received.limit))
    }

    /// Records a gossiped limit, if [`Self::is_superseded_by`] returned true for it.
    pub fn merge(&mut self, received: &AnnouncedLimit, now: Timestamp) {
        self.set(
            (received.endpoint.clone(), received.incarnation),
            received.version,
            received.limit,
            now,
        );
    }

    fn set(&mut self, key: EndpointIncarnation, version: u64, limit: RateLimit, now: Timestamp) {
        let previous = self.get(&key.0, key.1).map(|entry| entry.last_announced);
        if previous.is_none() {
            self.evict_one(now);
            self.count += 1;
        }
        let last_announced = match limit {
            RateLimit::At(rate) => rate,
            RateLimit::None => previous.unwrap_or(RequestRate::ONE),
        };
        self.ramping.retain(|ramping| *ramping != key);
        if limit == RateLimit::None {
            self.ramping.push(key.clone());
        }
        self.has_changes = true;
        let entry = Entry {
            version,
            limit,
            last_announced,
            since: now,
            heartbeats_left: HEARTBEATS_PER_CHANGE,
        };
        self.endpoints.entry(key.0).or_default().insert(key.1, entry);
    }

    /// Removes one entry if the maximum is reached: one without a limit in force if there is one,
    /// and of several the one that changed the longest time ago.
    fn evict_one(&mut self, now: Timestamp) {
        if self.count < MAX_ENTRIES {
            return;
        }
        let order = |entry: &Entry| (entry.rate(now).is_some(), entry.since);
        let first = self.iter().min_by_key(|(_, _, entry)| order(entry));
        if let Some(key) = first.map(|(id, incarnation, _)| (id.clone(), incarnation)) {
            self.remove(&key);
        }
    }

    /// Requests per second allowed for an endpoint from all gateways together; `None` if it is
    /// unlimited.
    pub fn rate(&self, endpoint: &Endpoint, now: Timestamp) -> Option<RequestRate> {
        self.get(&endpoint.id, endpoint.incarnation)?.rate(now)
    }

    /// Same as [`Self::rate`], by incarnation.
    pub fn rate_of(&self, key: &EndpointIncarnation, now: Timestamp) -> Option<RequestRate> {
        self.get(&key.0, key.1)?.rate(now)
    }

    /// The entry of an endpoint, in the form in which it is gossiped.
    pub fn announcement(&self, endpoint: &Endpoint) -> Option<AnnouncedLimit> {
        let entry = self.get(&endpoint.id, endpoint.incarnation)?;
        Some(announcement(&endpoint.id, endpoint.incarnation, entry))
    }

    /// All known incarnations.
    pub fn incarnations(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.iter().map(|(id, incarnation, _)| (id, incarnation))
    }

    /// Returns the incarnations that became unlimited since the last call.
    pub fn take_unlimited(&mut self, now: Timestamp) -> Vec<EndpointIncarnation> {
        if self.ramping.is_empty() {
            return Vec::new();
        }
        let mut ramping = std::mem::take(&mut self.ramping);
        let is_unlimited = |key: &mut EndpointIncarnation| self.rate_of(key, now).is_none();
        let unlimited = ramping.extract_if(.., is_unlimited).collect();
        self.ramping = ramping;
        unlimited
    }

    /// When the next incarnation becomes unlimited.
    pub fn next_unlimited(&self) -> Option<Timestamp> {
        let since = self.ramping.iter().filter_map(|key| self.get(&key.0, key.1));
        since.map(|entry| entry.since + UNLIMITED_AFTER).min()
    }

    /// Whether entries have to be gossiped or checked for expiry.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_changes || !self.is_empty() && now >= self.next_expiry
    }

    /// Changed limits to gossip with the next heartbeat.
    pub fn take_changes(&mut self) -> Vec<AnnouncedLimit> {
        let mut changes = Vec::new();
        self.has_changes = false;
        for (id, incarnations) in &mut self.endpoints {
            for (incarnation, entry) in
                incarnations.iter_mut().filter(|(_, entry)| entry.heartbeats_left > 0)
            {
                if changes.len() < MAX_PER_HEARTBEAT {
                    entry.heartbeats_left -= 1;
                    changes.push(announcement(id, *incarnation, entry));
                }
                self.has_changes |= entry.heartbeats_left > 0;
            }
        }
        changes
    }

    /// Limits sent to a gateway that joins: those in force, the most recently changed first.
    pub fn newest(&self, now: Timestamp) -> Vec<AnnouncedLimit> {
        let mut in_force: Vec<_> =
            self.iter().filter(|(.., entry)| entry.rate(now).is_some()).collect();
        in_force.sort_unstable_by_key(|(id, incarnation, entry)| {
            (Reverse(entry.since), *id, *incarnation)
        });
        in_force
            .into_iter()
            .take(MAX_PER_HEARTBEAT)
            .map(|(id, incarnation, entry)| announcement(id, incarnation, entry))
            .collect()
    }

    /// Removes entries that have not changed for `RETENTION` and whose incarnation is not listed
    /// or not limited; returns their incarnations.
    pub fn expire(
        &mut self,
        is_listed: impl Fn(&EndpointIncarnation) -> bool,
        now: Timestamp,
    ) -> Vec<EndpointIncarnation> {
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let incarnations =
            self.iter().map(|(id, incarnation, entry)| ((id.clone(), incarnation), entry));
        let old = incarnations.filter(|(_, entry)| now >= entry.since + RETENTION);
        let expired = old.filter(|(key, entry)| entry.rate(now).is_none() || !is_listed(key));
        let expired: Vec<EndpointIncarnation> = expired.map(|(key, _)| key).collect();
        expired.iter().for_each(|key| self.remove(key));
        expired
    }

    /// Number of known incarnations.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no incarnation is known.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

fn announcement(endpoint: &Name, incarnation: u64, entry: &Entry) -> AnnouncedLimit {
    AnnouncedLimit {
        endpoint: endpoint.clone(),
        incarnation,
        version: entry.version,
        limit: entry.limit,
    }
}
