//! What a gateway knows of the limits that endpoints name.
//!
//! A limit holds for the life that named it until an answer lacks it to a message that went out after it was known:
//! answers overlap, and one that was written before may be read after. Then what the endpoint gets grows by degrees,
//! so that a limit that comes and goes is no stampede each time.
//!
//! Gateways tell each other. Whoever hears something new from an answer counts the version on, and of two accounts the
//! newer one holds; of two that were counted on at once, the stricter one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::{RateLimit, RequestRate};
use crate::message::Timestamp;

/// An endpoint that names no limit any more is free after so long; until then it gets twice as much each second.
const FREED_AFTER: Duration = Duration::from_secs(5);
/// Within that, it gets twice as much.
const DOUBLES_EVERY: Duration = Duration::from_secs(1);
/// A life that is not listed is forgotten so long after something new was last heard of it, as one without a limit is.
const KEPT: Duration = Duration::from_secs(600);
/// How often such lives are looked at.
const FORGET_EVERY: Duration = Duration::from_secs(5);
/// Lives that are kept at most; bounds memory. In two years 3,000 endpoints are expected, of which few are in need at once.
const MOST: usize = 4_096;
/// Each gateway that hears something new tells it with so many heartbeats, to eight others each: one that nobody of 580
/// tells is one in 9,000,000, by calculation.
const TOLD: u8 = 2;
/// Lives in one heartbeat at most; the others follow with the next ones.
const MOST_TOLD: usize = 256;

/// A life of an endpoint: its id, and when it started.
pub type Life = (Name, u64);

/// What one gateway tells another of the limit of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitTold {
    /// The endpoint's id.
    pub endpoint: Name,
    /// Its life.
    pub incarnation: u64,
    /// Counts what gateways heard of that life.
    pub version: u64,
    /// What they heard last.
    pub limit: RateLimit,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    version: u64,
    limit: RateLimit,
    /// The limit that was named last.
    last_named: RequestRate,
    /// When this gateway heard it.
    since: Timestamp,
    /// With so many heartbeats it has yet to be told.
    to_tell: u8,
}

impl Known {
    /// What the endpoint gets; `None` where nothing limits it.
    fn rate(&self, now: Timestamp) -> Option<RequestRate> {
        let RateLimit::None = self.limit else {
            return Some(self.last_named);
        };
        let age = now.saturating_sub(self.since);
        let doublings = (age.as_secs_f64() / DOUBLES_EVERY.as_secs_f64()) as i32;
        let first = self.last_named.max(RequestRate::ONE).as_per_second();
        (age < FREED_AFTER).then(|| RequestRate::per_second(first * 2f64.powi(doublings)))
    }

    /// Whether another account holds instead.
    fn is_superseded_by(&self, version: u64, limit: RateLimit) -> bool {
        let is_stricter = match (limit, self.limit) {
            (RateLimit::At(told), RateLimit::At(known)) => told < known,
            (RateLimit::At(_), RateLimit::None) => true,
            (RateLimit::None, _) => false,
        };
        version > self.version || version == self.version && is_stricter
    }
}

/// The limits that one gateway knows.
#[derive(Debug, Clone, Default)]
pub struct KnownLimits {
    /// By the endpoint's id and its life.
    endpoints: BTreeMap<Name, BTreeMap<u64, Known>>,
    /// How many lives there are.
    count: usize,
    /// Whether something has yet to be told.
    has_news: bool,
    /// No life is forgotten earlier.
    forget_from: Timestamp,
    /// Lives without a limit that were not yet free when that was last asked.
    freeing: Vec<Life>,
}

impl KnownLimits {
    fn get(&self, id: &str, incarnation: u64) -> Option<&Known> {
        self.endpoints.get(id)?.get(&incarnation)
    }

    fn iter(&self) -> impl Iterator<Item = (&Name, u64, &Known)> {
        let lives = |(id, lives)| std::iter::repeat(id).zip(lives);
        self.endpoints.iter().flat_map(lives).map(|(id, (life, known))| (id, *life, known))
    }

    fn remove(&mut self, (id, incarnation): &Life) {
        let Some(lives) = self.endpoints.get_mut(id) else {
            return;
        };
        self.count -= usize::from(lives.remove(incarnation).is_some());
        if lives.is_empty() {
            self.endpoints.remove(id);
        }
    }

    /// Whether it changes anything that an answer told a limit, or none; the message that it answers went out at a time.
    pub fn is_changed_by(&self, endpoint: &Endpoint, limit: RateLimit, sent: Timestamp) -> bool {
        let known = self.get(&endpoint.id, endpoint.incarnation);
        let is_newer = known.is_none_or(|known| sent >= known.since);
        match (known.map(|known| known.limit), limit) {
            (None | Some(RateLimit::None), RateLimit::None) => false,
            (None | Some(RateLimit::None), RateLimit::At(_)) => true,
            (Some(RateLimit::At(known)), RateLimit::At(told)) => {
                told < known || told > known && is_newer
            }
            (Some(RateLimit::At(_)), RateLimit::None) => is_newer,
        }
    }

    /// An answer told a limit, or none, and that changes something.
    pub fn stated(&mut self, endpoint: &Endpoint, limit: RateLimit, now: Timestamp) {
        let known = self.get(&endpoint.id, endpoint.incarnation);
        let version = known.map_or(0, |known| known.version).saturating_add(1);
        self.set((endpoint.id.clone(), endpoint.incarnation), version, limit, now);
    }

    /// Whether it changes anything that another gateway tells.
    pub fn is_superseded_by(&self, told: &LimitTold) -> bool {
        let known = self.get(&told.endpoint, told.incarnation);
        known.is_none_or(|known| known.is_superseded_by(told.version, told.limit))
    }

    /// Another gateway tells of a limit, and that changes something.
    pub fn told(&mut self, told: &LimitTold, now: Timestamp) {
        self.set((told.endpoint.clone(), told.incarnation), told.version, told.limit, now);
    }

    fn set(&mut self, life: Life, version: u64, limit: RateLimit, now: Timestamp) {
        let before = self.get(&life.0, life.1).map(|known| known.last_named);
        if before.is_none() {
            self.make_room(now);
            self.count += 1;
        }
        let last_named = match limit {
            RateLimit::At(rate) => rate,
            RateLimit::None => before.unwrap_or(RequestRate::ONE),
        };
        self.freeing.retain(|freeing| *freeing != life);
        if limit == RateLimit::None {
            self.freeing.push(life.clone());
        }
        self.has_news = true;
        let known = Known { version, limit, last_named, since: now, to_tell: TOLD };
        self.endpoints.entry(life.0).or_default().insert(life.1, known);
    }

    /// Where there are too many, the one goes that is free, or else that was heard of the longest time ago.
    fn make_room(&mut self, now: Timestamp) {
        if self.count < MOST {
            return;
        }
        let order = |known: &Known| (known.rate(now).is_some(), known.since);
        let first = self.iter().min_by_key(|(_, _, known)| order(known));
        if let Some(life) = first.map(|(id, life, _)| (id.clone(), life)) {
            self.remove(&life);
        }
    }

    /// Requests a second that an endpoint gets from all gateways together; `None` where nothing limits it.
    pub fn rate(&self, endpoint: &Endpoint, now: Timestamp) -> Option<RequestRate> {
        self.get(&endpoint.id, endpoint.incarnation)?.rate(now)
    }

    /// As [`Self::rate`], by the endpoint's life.
    pub fn rate_of(&self, life: &Life, now: Timestamp) -> Option<RequestRate> {
        self.get(&life.0, life.1)?.rate(now)
    }

    /// What is known of a life, as it is told.
    pub fn account(&self, endpoint: &Endpoint) -> Option<LimitTold> {
        let known = self.get(&endpoint.id, endpoint.incarnation)?;
        Some(told(&endpoint.id, endpoint.incarnation, known))
    }

    /// The lives that something is known of.
    pub fn lives(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.iter().map(|(id, life, _)| (id, life))
    }

    /// Lives that are free since this was last asked.
    pub fn take_freed(&mut self, now: Timestamp) -> Vec<Life> {
        if self.freeing.is_empty() {
            return Vec::new();
        }
        let mut freeing = std::mem::take(&mut self.freeing);
        let is_free = |life: &mut Life| self.rate_of(life, now).is_none();
        let freed = freeing.extract_if(.., is_free).collect();
        self.freeing = freeing;
        freed
    }

    /// When the first of them is free.
    pub fn next_freed(&self) -> Option<Timestamp> {
        let since = self.freeing.iter().filter_map(|life| self.get(&life.0, life.1));
        since.map(|known| known.since + FREED_AFTER).min()
    }

    /// Whether something has yet to be told, or may be forgotten.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_news || !self.is_empty() && now >= self.forget_from
    }

    /// What goes with the next heartbeat.
    pub fn news(&mut self) -> Vec<LimitTold> {
        let mut news = Vec::new();
        self.has_news = false;
        for (id, lives) in &mut self.endpoints {
            for (life, known) in lives.iter_mut().filter(|(_, known)| known.to_tell > 0) {
                if news.len() < MOST_TOLD {
                    known.to_tell -= 1;
                    news.push(told(id, *life, known));
                }
                self.has_news |= known.to_tell > 0;
            }
        }
        news
    }

    /// What a gateway is told that is heard for the first time: the limits that hold, the last ones first.
    pub fn all(&self, now: Timestamp) -> Vec<LimitTold> {
        let mut held: Vec<_> = self.iter().filter(|(.., k)| k.rate(now).is_some()).collect();
        held.sort_unstable_by_key(|(id, life, known)| (Reverse(known.since), *id, *life));
        held.into_iter().take(MOST_TOLD).map(|(id, life, known)| told(id, life, known)).collect()
    }

    /// Forgets lives that are not listed, or free, for long; says which had a limit.
    pub fn forget(&mut self, is_listed: impl Fn(&Life) -> bool, now: Timestamp) -> Vec<Life> {
        if now < self.forget_from {
            return Vec::new();
        }
        self.forget_from = now + FORGET_EVERY;
        let lives = self.iter().map(|(id, life, known)| ((id.clone(), life), known));
        let old = lives.filter(|(_, known)| now >= known.since + KEPT);
        let over = old.filter(|(life, known)| known.rate(now).is_none() || !is_listed(life));
        let over: Vec<Life> = over.map(|(life, _)| life).collect();
        over.iter().for_each(|life| self.remove(life));
        over
    }

    /// How many lives are known.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

fn told(endpoint: &Name, incarnation: u64, known: &Known) -> LimitTold {
    LimitTold {
        endpoint: endpoint.clone(),
        incarnation,
        version: known.version,
        limit: known.limit,
    }
}
