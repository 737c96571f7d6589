//! What a gateway may send to endpoints that are cold: its part of what each of them bears.
//!
//! The pattern: a data centre's endpoints come back together while callers press. Each bears a few requests a
//! second, from all gateways together, and falls over well above that; each looks idle, so that everybody
//! would choose it at once.
//!
//! Nobody hands the places out, so nobody has to be asked, known or alive. Each gateway sends at most one
//! request in a turn; a turn is as long as all gateways that may exist need for one request each. It begins
//! at a random moment of its first turn, so that gateways which learn of an endpoint together don't send to it
//! together. Ways weighed: one gateway that sends for all (two views of the members are two such gateways,
//! and where all endpoints are cold most gateways have nothing to send to); chance alone, for each request (a
//! burst passes it on).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Of what an endpoint bears, so much is used. Gateways that begin at random moments send at random moments:
/// of 10 a second, 6 are sent on average, and more than 15 in one second once in 2,000 seconds, by
/// calculation.
const USED: f64 = 0.6;
/// A process that has just started knows too few others for its part: it sends to no cold endpoint for so
/// long. A heartbeat reaches all of 100 gateways in four rounds of 200 ms.
const GATHERING: Duration = Duration::from_millis(1_500);
/// A turn is open for so long, and lost then: turns that are not used, while an endpoint is evacuated or nobody
/// calls, must not be used all at once. In a schedule of 97 gateways 23 requests were, in the second after.
const OPEN: Duration = Duration::from_millis(500);
/// An endpoint that could not be reached is tried again within that, and may have started meanwhile.
const TRIED_AGAIN: Duration = Duration::from_secs(4);

/// No endpoint is taken for cold for longer than that after it told so; bounds memory.
const LONGEST: Duration = Duration::from_secs(60);

/// One cold endpoint.
#[derive(Debug, Clone)]
struct Cold {
    incarnation: u64,
    /// Whether nothing but a failed connection says so: then its entry tells nothing to the contrary, which may
    /// have been written before.
    is_suspected: bool,
    until: Timestamp,
    /// The next request is sent so many turns, ...
    turns: f64,
    /// ... after this.
    since: Timestamp,
}

/// The endpoints that one gateway takes for cold.
#[derive(Debug, Clone)]
pub struct ColdEndpoints {
    /// Sets the random moments of this gateway apart from others'.
    seed: u64,
    /// When this gateway had its first configuration.
    started: Option<Timestamp>,
    endpoints: HashMap<Name, Cold>,
}

/// The time in which `gateways` send one request each.
fn turn(bears: ColdStart, gateways: usize) -> Duration {
    let seconds = gateways.max(1) as f64 / (bears.per_second * USED).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// When the turn begins that is open at a time or comes next; the first one begins at `first`.
fn next_turn(first: Timestamp, turn: Duration, now: Timestamp) -> Timestamp {
    let since_first = now.saturating_sub(first);
    if since_first.is_zero() || turn <= OPEN {
        return first;
    }
    let into_turn = Duration::from_nanos((since_first.as_nanos() % turn.as_nanos()) as u64);
    let begun = now.saturating_sub(into_turn);
    if into_turn <= OPEN { begun } else { begun.saturating_add(turn) }
}

impl ColdEndpoints {
    /// None is known to the gateway of this address.
    pub fn new(own: SocketAddr) -> Self {
        let seed = xxh3_64(own.to_string().as_bytes());
        Self { seed, started: None, endpoints: HashMap::new() }
    }

    /// Learns from entries that changed, also those that come before the configuration.
    pub fn learn(&mut self, table: &Table, changed: &[Arc<Endpoint>], now: Timestamp) {
        if table.is_configured() {
            self.started.get_or_insert(now);
        }
        for endpoint in changed {
            self.told(endpoint, endpoint.cold, now);
        }
        self.endpoints.retain(|_, cold| now < cold.until);
    }

    /// An endpoint told how much longer it is cold.
    pub fn told(&mut self, endpoint: &Endpoint, left: Duration, now: Timestamp) {
        if !left.is_zero() {
            return self.until(endpoint, false, now + left.min(LONGEST), now);
        }
        let known = self.endpoints.get(&endpoint.id);
        if known.is_some_and(|c| !c.is_suspected || c.incarnation != endpoint.incarnation) {
            self.endpoints.remove(&endpoint.id);
        }
    }

    /// An endpoint can't be reached: if it is back, it has probably started anew.
    pub fn unreachable(&mut self, endpoint: &Endpoint, bears: ColdStart, now: Timestamp) {
        self.until(endpoint, true, now + TRIED_AGAIN + bears.lasts, now);
    }

    /// Data centres get work again: their endpoints, which may have started meanwhile without anybody's calling
    /// them, are filled by degrees.
    pub fn return_of(&mut self, data_centres: &BTreeSet<Name>, table: &Table, now: Timestamp) {
        for pool in &table.deployment.pools {
            let Some(bears) = pool.cold else {
                continue;
            };
            let returned = table.members(&pool.name).iter();
            for endpoint in returned.filter(|e| data_centres.contains(&e.data_centre)) {
                self.until(endpoint, true, now + bears.lasts, now);
            }
        }
    }

    fn until(&mut self, endpoint: &Endpoint, is_suspected: bool, until: Timestamp, now: Timestamp) {
        let incarnation = endpoint.incarnation;
        if let Some(cold) = self.endpoints.get_mut(&endpoint.id)
            && cold.incarnation == incarnation
            && cold.until > now
        {
            cold.until = until;
            cold.is_suspected = is_suspected;
            return;
        }
        let drawn = xxh3_64_with_seed(endpoint.id.as_bytes(), self.seed ^ incarnation);
        let turns = drawn as f64 / u64::MAX as f64;
        let cold = Cold { incarnation, is_suspected, until, turns, since: now };
        self.endpoints.insert(endpoint.id.clone(), cold);
    }

    /// When this gateway, one of so many, may send to an endpoint; `None` if at any time.
    pub fn opens(
        &self,
        endpoint: &Endpoint,
        bears: Option<ColdStart>,
        gateways: usize,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let bears = bears?;
        let cold = self.endpoints.get(&endpoint.id)?;
        if cold.incarnation != endpoint.incarnation || now >= cold.until {
            return None;
        }
        let gathered = self.started.map_or(Timestamp::MAX, |started| started + GATHERING);
        let turn = turn(bears, gateways);
        let wait = Duration::try_from_secs_f64(turn.as_secs_f64() * cold.turns);
        let first = cold.since.max(gathered).saturating_add(wait.unwrap_or(Duration::MAX));
        Some(next_turn(first, turn, now).min(cold.until)).filter(|opens| *opens > now)
    }

    /// So many requests were sent to an endpoint together.
    pub fn sent(&mut self, endpoint: &Endpoint, requests: usize, now: Timestamp) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint.id) {
            cold.since = now;
            cold.turns = requests as f64;
        }
    }

    /// Whether an endpoint is taken for cold.
    pub fn is_cold(&self, endpoint: &str, now: Timestamp) -> bool {
        self.endpoints.get(endpoint).is_some_and(|cold| now < cold.until)
    }
}
