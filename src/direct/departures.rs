//! Endpoints that announced in their responses that they are leaving.
//!
//! While the publisher is unavailable, the list of endpoints may not show that an endpoint is
//! leaving. An announcement by the endpoint itself is final for its incarnation, whatever the list
//! states before or after it: an endpoint that is leaving never returns to service. Only another
//! incarnation under the same id gets work again.
//!
//! Gateways gossip departures, so that each endpoint has to announce its departure only once and a
//! starting gateway learns of it. The known departures form a set that only grows, so gossip can be
//! merged in any order. Incarnations that are no longer listed are removed after `RETENTION`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// How long a departure is kept after its incarnation was last listed or announced: entries may
/// expire and be restored while their publisher is unavailable for minutes.
const RETENTION: Duration = Duration::from_secs(600);
/// How often departures are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of departures that are kept; bounds memory. 3,000 endpoints are expected in two
/// years, few of which leave at the same time.
const MAX_DEPARTURES: usize = 4_096;
/// Number of heartbeats with which each gateway gossips a departure, to eight random peers each.
const HEARTBEATS_PER_CHANGE: u8 = 2;
/// Maximum number of departures in one heartbeat; the others follow with the next ones.
const MAX_PER_HEARTBEAT: usize = 256;

/// Incarnation of an endpoint that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Incarnation that is leaving.
    pub incarnation: u64,
}

impl Departure {
    /// Departure of the endpoint's current incarnation.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation }
    }
}

#[derive(Debug, Clone, Copy)]
struct Gossiped {
    last_seen: Timestamp,
    /// Number of heartbeats that still have to carry this departure.
    heartbeats_left: u8,
}

/// Departures that one gateway knows.
#[derive(Debug, Default)]
pub struct Departures {
    entries: BTreeMap<Departure, Gossiped>,
    /// Whether a departure still has to be gossiped.
    has_changes: bool,
    /// When departures are next checked for expiry.
    next_expiry: Timestamp,
}

impl Departures {
    /// Records a departure announced by the endpoint or by another gateway; returns whether it is
    /// new.
    pub fn record(&mut self, departure: Departure, now: Timestamp) -> bool {
        if let Some(entry) = self.entries.get_mut(&departure) {
            entry.last_seen = now;
            return false;
        }
        if self.is_full() {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_seen);
            if let Some(oldest) = oldest.map(|(departure, _)| departure.clone()) {
                self.entries.remove(&oldest);
            }
        }
        self.has_changes = true;
        self.entries
            .insert(departure, Gossiped { last_seen: now, heartbeats_left: HEARTBEATS_PER_CHANGE });
        true
    }

    /// Whether an incarnation is known to be leaving.
    pub fn contains(&self, departure: &Departure) -> bool {
        self.entries.contains_key(departure)
    }

    /// Whether the next new departure replaces the oldest one.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= MAX_DEPARTURES
    }

    /// Number of known departures.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no departure is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Departures to gossip with the next heartbeat, without those that the list already shows.
    pub fn take_changes(
        &mut self,
        is_listed_as_leaving: impl Fn(&Departure) -> bool,
    ) -> Vec<Departure> {
        if !self.has_changes {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (departure, entry) in
            self.entries.iter_mut().filter(|(_, entry)| entry.heartbeats_left > 0)
        {
            if is_listed_as_leaving(departure) {
                entry.heartbeats_left = 0;
            } else if changes.len() < MAX_PER_HEARTBEAT {
                entry.heartbeats_left -= 1;
                changes.push(departure.clone());
            }
        }
        self.has_changes = self.entries.values().any(|entry| entry.heartbeats_left > 0);
        changes
    }

    /// Departures sent to a gateway that joins: the latest ones that the list does not show.
    pub fn newest(&self, is_listed_as_leaving: impl Fn(&Departure) -> bool) -> Vec<Departure> {
        let unlisted =
            self.entries.iter().filter(|(departure, _)| !is_listed_as_leaving(departure));
        let mut unlisted: Vec<_> = unlisted.map(|(d, entry)| (entry.last_seen, d)).collect();
        unlisted.sort_unstable_by(|a, b| b.cmp(a));
        unlisted
            .into_iter()
            .take(MAX_PER_HEARTBEAT)
            .map(|(_, departure)| departure.clone())
            .collect()
    }

    /// Removes departures not listed or announced for `RETENTION`; returns whether any was
    /// removed.
    pub fn expire(&mut self, is_listed: impl Fn(&Departure) -> bool, now: Timestamp) -> bool {
        if now < self.next_expiry {
            return false;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let before = self.entries.len();
        self.entries.retain(|departure, entry| {
            if is_listed(departure) {
                entry.last_seen = entry.last_seen.max(now);
            }
            now < entry.last_seen + RETENTION
        });
        self.entries.len() != before
    }
}
