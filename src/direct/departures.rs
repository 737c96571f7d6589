//! Endpoints that said in their answers that they leave.
//!
//! The list of endpoints may not tell for as long as its publisher is away. What an endpoint said itself holds for the
//! life that said so, whatever the list says of that life before or after: nobody who leaves stays. Only
//! another life under the id takes work again.
//!
//! Gateways tell each other, so that each endpoint has to say it once, and a gateway that starts knows. What is known is
//! a set that only grows, so accounts merge in any order; lives that are listed no more are forgotten in the end.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// A life that is not listed is remembered for so long after it was last heard of: entries may lapse and return while
/// their publisher is away for minutes.
const KEPT: Duration = Duration::from_secs(600);
/// How often such lives are looked at.
const FORGET_EVERY: Duration = Duration::from_secs(5);
/// Lives that are kept at most; bounds memory. In two years 3,000 endpoints are expected, of which few leave at once.
const MOST: usize = 4_096;
/// Each gateway that hears of a departure tells it with so many heartbeats, to eight others each: one that nobody of
/// 580 tells is one in 9,000,000, by calculation.
const TOLD: u8 = 2;
/// Departures in one heartbeat at most; the others follow with the next ones.
const MOST_TOLD: usize = 256;

/// A life of an endpoint that leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint's id.
    pub endpoint: Name,
    /// Its life.
    pub incarnation: u64,
}

impl Departure {
    /// That of the life that an endpoint is in.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation }
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    heard: Timestamp,
    /// With so many heartbeats it has yet to be told.
    to_tell: u8,
}

/// What one gateway knows of them.
#[derive(Debug, Default)]
pub struct Departures {
    lives: BTreeMap<Departure, Known>,
    /// Whether something has yet to be told.
    has_news: bool,
    /// No life is forgotten earlier.
    forget_from: Timestamp,
}

impl Departures {
    /// An endpoint or another gateway said that a life leaves; says whether that is new.
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

    /// Whether a life is known to leave.
    pub fn has(&self, departure: &Departure) -> bool {
        self.lives.contains_key(departure)
    }

    /// Whether the next one that is heard of takes another one's place.
    pub fn is_full(&self) -> bool {
        self.lives.len() >= MOST
    }

    /// How many lives are.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// What goes with the next heartbeat, but for what the list tells by now.
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

    /// What a gateway is told that is heard for the first time: the last ones that the list does not tell.
    pub fn all(&self, is_listed_so: impl Fn(&Departure) -> bool) -> Vec<Departure> {
        let untold = self.lives.iter().filter(|(departure, _)| !is_listed_so(departure));
        let mut untold: Vec<_> = untold.map(|(d, known)| (known.heard, d)).collect();
        untold.sort_unstable_by(|a, b| b.cmp(a));
        untold.into_iter().take(MOST_TOLD).map(|(_, departure)| departure.clone()).collect()
    }

    /// Forgets lives that were not listed and not heard of for long; says whether any was.
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
