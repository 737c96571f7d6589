//! The gateway that gives permits for an endpoint: at most as many as its limit allows, evenly.
//!
//! Whoever asks says how long it may wait. What fits waits in turn, the most urgent first, then whoever must be sent
//! first; what does not is refused at once with the time at which it would be its turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::limits::known::Life;
use crate::direct::statement::RequestRate;
use crate::message::Timestamp;

/// Of a limit, so much is given out: messages arrive with less distance than they were sent with.
const USED: f64 = 0.9;
/// An endpoint that takes nothing gets one request in ten seconds: only an answer tells whether that still holds.
const LEAST_PER_SECOND: f64 = 0.1;
/// Asks that wait for one endpoint at most; bounds memory.
const MOST_WAITING: usize = 1_024;

/// Permits of an endpoint: one each so long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace(Duration);

impl Pace {
    /// The pace of a limit of which this gateway gives out a part, by the gateways that it hears.
    pub fn new(limit: RequestRate, part: f64) -> Self {
        let per_second = limit.as_per_second().max(LEAST_PER_SECOND) * USED * part;
        Self(Duration::try_from_secs_f64(per_second.recip()).unwrap_or(Duration::MAX))
    }

    fn times(self, permits: usize) -> Duration {
        self.0.saturating_mul(u32::try_from(permits).unwrap_or(u32::MAX))
    }
}

/// One that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// Which gateway.
    pub gateway: SocketAddr,
    /// Its number for what it asks.
    pub number: u64,
}

/// What is asked.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// By whom.
    pub asker: Asker,
    /// 0 is the most urgent.
    pub priority: u8,
    /// It may wait until then.
    pub latest: Timestamp,
}

/// What is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decided {
    /// One message may go out, now.
    Given(Asker),
    /// None; the time is when it would be its turn.
    Refused(Asker, Duration),
}

/// In the order of turns: priority, until when it may wait, and a count of all that asked.
type Rank = (u8, Timestamp, u64);

#[derive(Debug)]
struct Endpoint {
    /// The last permit was given then, or a little later: see [`Self::give`].
    last: Timestamp,
    waiting: BTreeMap<Rank, Asker>,
    /// When the first that waits is due, as it was last reckoned.
    due: Option<Timestamp>,
}

impl Endpoint {
    /// When it is the turn of what stands behind so many others.
    fn turn(&self, pace: Pace, others: usize, now: Timestamp) -> Timestamp {
        self.last.saturating_add(pace.0).max(now).saturating_add(pace.times(others))
    }

    /// A permit is given. One that nobody asked for in time may be made up for, and no more than one.
    fn give(&mut self, pace: Pace, now: Timestamp) {
        let earliest = now.saturating_sub(pace.0);
        self.last = self.last.saturating_add(pace.0).max(earliest).min(now);
    }

    /// Gives permits that are due, and refuses what can't wait for its turn any more.
    fn serve(&mut self, pace: Pace, now: Timestamp, decided: &mut Vec<Decided>) {
        while now >= self.turn(pace, 0, now)
            && let Some((_, asker)) = self.waiting.pop_first()
        {
            self.give(pace, now);
            decided.push(Decided::Given(asker));
        }
        let first = self.turn(pace, 0, now);
        let mut turn = first;
        self.waiting.retain(|(_, latest, _), asker| {
            let fits = turn <= *latest;
            if fits {
                turn = turn.saturating_add(pace.0);
            } else {
                decided.push(Decided::Refused(*asker, turn.saturating_sub(now)));
            }
            fits
        });
        self.due = (!self.waiting.is_empty()).then_some(first);
    }
}

/// The endpoints for which a gateway gives permits.
#[derive(Debug, Default)]
pub struct Limiter {
    endpoints: BTreeMap<Life, Endpoint>,
    asked: u64,
}

impl Limiter {
    /// Somebody asks for a permit. The first one is given after as long as any other: what told of the limit was an
    /// answer to what the endpoint has just had.
    pub fn ask(&mut self, life: &Life, pace: Pace, ask: Ask, now: Timestamp) -> Vec<Decided> {
        self.asked += 1;
        let new = || Endpoint { last: now, waiting: BTreeMap::new(), due: None };
        let endpoint = self.endpoints.entry(life.clone()).or_insert_with(new);
        let mut decided = Vec::new();
        endpoint.serve(pace, now, &mut decided);
        let rank = (ask.priority, ask.latest, self.asked);
        let before = endpoint.waiting.range(..rank).count();
        let turn = endpoint.turn(pace, before, now);
        if turn <= now {
            endpoint.give(pace, now);
            decided.push(Decided::Given(ask.asker));
        } else if turn > ask.latest || endpoint.waiting.len() >= MOST_WAITING {
            decided.push(Decided::Refused(ask.asker, turn.saturating_sub(now)));
        } else {
            endpoint.waiting.insert(rank, ask.asker);
            endpoint.serve(pace, now, &mut decided);
        }
        decided
    }

    /// Gives what is due, and looks at an endpoint whose limit changed; `pace` says how each stands, and `None` that this
    /// gateway gives no permits for it.
    pub fn look(
        &mut self,
        changed: Option<&Life>,
        pace: impl Fn(&Life) -> Option<Pace>,
        retry: Duration,
        now: Timestamp,
    ) -> Vec<Decided> {
        let mut decided = Vec::new();
        self.endpoints.retain(|life, endpoint| {
            if changed != Some(life) && endpoint.due.is_none_or(|due| now < due) {
                return true;
            }
            let Some(pace) = pace(life) else {
                let waiting = std::mem::take(&mut endpoint.waiting).into_values();
                decided.extend(waiting.map(|asker| Decided::Refused(asker, retry)));
                return false;
            };
            endpoint.serve(pace, now, &mut decided);
            true
        });
        decided
    }

    /// When [`Self::look`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.endpoints.values().filter_map(|endpoint| endpoint.due).min()
    }

    /// A gateway is gone: nothing of it waits.
    pub fn lost(&mut self, gateway: SocketAddr) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.waiting.retain(|_, asker| asker.gateway != gateway);
        }
    }

    /// Whether it was asked for none.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
