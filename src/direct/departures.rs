//! Endpoints that announced in their responses that they are leaving.
//!
//! While the publisher is unavailable, the list of endpoints may not show that an endpoint is
//! leaving. An announcement by the endpoint itself is final for its incarnation, whatever the list
//! states before or after it: an endpoint that is leaving never returns to service. Only another
//! incarnation under the same id gets work again.
//!
//! Gateways gossip departures, so that each endpoint has to announce its departure only once and a
//! starting gateway learns of it. The known departures form a set that only grows, so gossip can be
//! merged in any order. Incarnations that are no longer listed are removed after [`KEPT`].

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// How long a departure is kept after its incarnation was last listed or announced: entries may
/// expire and be restored while their publisher is unavailable for minutes.
const KEPT: Duration = Duration::from_secs(600);
/// How often departures are checked for expiry.
const FORGET_EVERY: Duration = Duration::from_secs(5);
/// Maximum number of departures that are kept; bounds memory. 3,000 endpoints are expected in two
/// years, few of which leave at the same time.
const MOST: usize = 4_096;
/// Number of heartbeats with which each gateway gossips a departure, to eight peers each. By
/// calculation, one departure in 9,000,000 is then gossiped by none of 580 gateways.
const TOLD: u8 = 2;
/// Maximum number of departures in one heartbeat; the others follow with the next ones.
const MOST_TOLD: usize = 256;

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
struct Known {
    heard: Timestamp,
    /// Number of heartbeats that still have to carry this departure.
    to_tell: u8,
}

/// Departures that one gateway knows.
#[derive(Debug, Default)]
pub struct Departures {
    lives: BTreeMap<Departure, Known>,
    /// Whether a departure still has to be gossiped.
    has_news: bool,
    /// When departures are next checked for expiry.
    forget_from: Timestamp,
}

impl Departures {
    /// Records a departure announced by the endpoint or by another gateway; returns whether it is
    /// new.
    pub fn heard(&mut self, departure: Departure, now: Timestamp) -> bool {
        if let Some(known) = self.lives.get_mut(&departure) {
            known.heard = now;
            return false;
        }
        if self.is_full() {
            let oldest = self.lives.iter().min_by_key(|(_, known)| known.heard);
            if let Some(oldest) = oldest.map(|(departure, _)| departure.clone()) {
                self.lives.remove(&oldest);
            }
        }
        self.has_news = true;
        self.lives.insert(departure, Known { heard: now, to_tell: TOLD });
        true
    }

    /// Whether an incarnation is known to be leaving.
    pub fn has(&self, departure: &Departure) -> bool {
        self.lives.contains_key(departure)
    }

    /// Whether the next new departure replaces the oldest one.
    pub fn is_full(&self) -> bool {
        self.lives.len() >= MOST
    }

    /// Number of known departures.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether no departure is known.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Departures to gossip with the next heartbeat, without those that the list already shows.
    pub fn news(&mut self, is_listed_so: impl Fn(&Departure) -> bool) -> Vec<Departure> {
        if !self.has_news {
            return Vec::new();
        }
        let mut news = Vec::new();
        for (departure, known) in self.lives.iter_mut().filter(|(_, known)| known.to_tell > 0) {
            if is_listed_so(departure) {
                known.to_tell = 0;
            } else if news.len() < MOST_TOLD {
                known.to_tell -= 1;
                news.push(departure.clone());
            }
        }
        self.has_news = self.lives.values().any(|known| known.to_tell > 0);
        news
    }

    /// Departures sent to a gateway that joins: the latest ones that the list does not show.
    pub fn all(&self, is_listed_so: impl Fn(&Departure) -> bool) -> Vec<Departure> {
        let untold = self.lives.iter().filter(|(departure, _)| !is_listed_so(departure));
        let mut untold: Vec<_> = untold.map(|(d, known)| (known.heard, d)).collect();
        untold.sort_unstable_by(|a, b| b.cmp(a));
        untold.into_iter().take(MOST_TOLD).map(|(_, departure)| departure.clone()).collect()
    }

    /// Removes departures that have not been listed or announced for [`KEPT`]; returns whether any
    /// was removed.
    pub fn forget(&mut self, is_listed: impl Fn(&Departure) -> bool, now: Timestamp) -> bool {
        if now < self.forget_from {
            return false;
        }
        self.forget_from = now + FORGET_EVERY;
        let before = self.lives.len();
        self.lives.retain(|departure, known| {
            if is_listed(departure) {
                known.heard = known.heard.max(now);
            }
            now < known.heard + KEPT
        });
        self.lives.len() != before
    }
}
