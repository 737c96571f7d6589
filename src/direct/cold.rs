//! Limits requests to cold endpoints, which have just started: each gateway uses only its share of
//! what such an endpoint can handle.
//!
//! The failure this prevents: all endpoints of a data centre restart together while callers send
//! their full load. Each endpoint handles only a few requests per second, from all gateways
//! together, and fails well above that. Each looks idle, so that all gateways would choose it at
//! once.
//!
//! No gateway assigns time slots, so none has to be reachable or known. Each gateway sends at most
//! one request per period; a period is as long as all possible gateways need for one request each.
//! The slot is at a random moment of the first period, so that gateways which learn of an endpoint
//! together do not send to it together. Alternatives considered: one gateway that sends for all
//! (with two views of the members there are two such gateways, and where all endpoints are cold
//! most gateways have nowhere to send); a random choice for each request (does not dampen a burst).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Share of a cold endpoint's capacity that is used. Gateways with random slots send at random
/// moments, so that some seconds have more requests than the average.
const USED_SHARE: f64 = 0.6;
/// How long a process sends to no cold endpoint after its start, since it knows too few other
/// gateways to calculate its share. A heartbeat reaches all of 100 gateways in four rounds of 200
/// ms.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);
/// How long a slot stays open; afterwards it is lost. Slots that were not used, while an endpoint
/// was evacuated or no requests arrived, must not be used all at once.
const SLOT_OPEN: Duration = Duration::from_millis(500);
/// An unreachable endpoint is retried within this time, and may have started in between.
const RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Longest time for which an endpoint counts as cold after it reported so; bounds memory.
const MAX_COLD: Duration = Duration::from_secs(60);

/// State of one cold endpoint.
#[derive(Debug, Clone)]
struct ColdState {
    incarnation: u64,
    /// Whether the endpoint is only assumed to be cold, after a failed connection or an evacuation.
    /// An entry of the same incarnation that reports it as warm is then ignored, since it may have
    /// been written before.
    is_assumed: bool,
    until: Timestamp,
    /// Number of periods between `since` and the next slot.
    periods_to_slot: f64,
    /// When the last request was sent, or when the endpoint became cold.
    since: Timestamp,
}

/// Endpoints that one gateway treats as cold.
#[derive(Debug, Clone)]
pub struct ColdEndpoints {
    /// Seed from the gateway's address; makes the slots differ between gateways.
    seed: u64,
    /// When this gateway received its first configuration.
    started: Option<Timestamp>,
    endpoints: HashMap<Name, ColdState>,
}

/// Length of the period in which `gateways` send one request each.
fn period(cold_start: ColdStart, gateways: usize) -> Duration {
    let seconds =
        gateways.max(1) as f64 / (cold_start.per_second * USED_SHARE).max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Start of the slot that is open at `now`, or else of the next one; the first slot starts at
/// `first`.
fn next_slot(first: Timestamp, period: Duration, now: Timestamp) -> Timestamp {
    let since_first = now.saturating_sub(first);
    if since_first.is_zero() || period <= SLOT_OPEN {
        return first;
    }
    let into_period = Duration::from_nanos((since_first.as_nanos() % period.as_nanos()) as u64);
    let period_start = now.saturating_sub(into_period);
    if into_period <= SLOT_OPEN { period_start } else { period_start.saturating_add(period) }
}

impl ColdEndpoints {
    /// Creates the empty set for the gateway with this address.
    pub fn new(own: SocketAddr) -> Self {
        let seed = xxh3_64(own.to_string().as_bytes());
        Self { seed, started: None, endpoints: HashMap::new() }
    }

    /// Applies changed entries, including those that arrive before the configuration.
    pub fn apply_changes(&mut self, table: &Table, changed: &[Arc<Endpoint>], now: Timestamp) {
        if table.is_configured() {
            self.started.get_or_insert(now);
        }
        for endpoint in changed {
            self.reported(endpoint, endpoint.cold_for, now);
        }
        self.endpoints.retain(|_, cold| now < cold.until);
    }

    /// Records how much longer an endpoint reports to be cold.
    pub fn reported(&mut self, endpoint: &Endpoint, left: Duration, now: Timestamp) {
        if !left.is_zero() {
            return self.set_cold(endpoint, false, now + left.min(MAX_COLD), now);
        }
        let known = self.endpoints.get(&endpoint.id);
        if known.is_some_and(|c| !c.is_assumed || c.incarnation != endpoint.incarnation) {
            self.endpoints.remove(&endpoint.id);
        }
    }

    /// Assumes an unreachable endpoint to be cold: once it is reachable again, it has probably
    /// restarted.
    pub fn record_unreachable(
        &mut self,
        endpoint: &Endpoint,
        cold_start: ColdStart,
        now: Timestamp,
    ) {
        self.set_cold(endpoint, true, now + RETRY_INTERVAL + cold_start.duration, now);
    }

    /// Assumes the endpoints of data centres whose evacuation ended to be cold: they may have
    /// restarted in the meantime without receiving any calls.
    pub fn evacuation_ended(
        &mut self,
        data_centres: &BTreeSet<Name>,
        table: &Table,
        now: Timestamp,
    ) {
        for pool in &table.deployment.pools {
            let Some(cold_start) = pool.cold else {
                continue;
            };
            let returned = table.pool_endpoints(&pool.name).iter();
            for endpoint in returned.filter(|e| data_centres.contains(&e.data_centre)) {
                self.set_cold(endpoint, true, now + cold_start.duration, now);
            }
        }
    }

    fn set_cold(
        &mut self,
        endpoint: &Endpoint,
        is_assumed: bool,
        until: Timestamp,
        now: Timestamp,
    ) {
        let incarnation = endpoint.incarnation;
        if let Some(cold) = self.endpoints.get_mut(&endpoint.id)
            && cold.incarnation == incarnation
            && cold.until > now
        {
            cold.until = until;
            cold.is_assumed = is_assumed;
            return;
        }
        let random = xxh3_64_with_seed(endpoint.id.as_bytes(), self.seed ^ incarnation);
        let periods_to_slot = random as f64 / u64::MAX as f64;
        let cold = ColdState { incarnation, is_assumed, until, periods_to_slot, since: now };
        self.endpoints.insert(endpoint.id.clone(), cold);
    }

    /// When this gateway, one of `gateways`, may next send to an endpoint; `None` if it may send
    /// now.
    pub fn available_at(
        &self,
        endpoint: &Endpoint,
        cold_start: Option<ColdStart>,
        gateways: usize,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let cold_start = cold_start?;
        let cold = self.endpoints.get(&endpoint.id)?;
        if cold.incarnation != endpoint.incarnation || now >= cold.until {
            return None;
        }
        let may_start = self.started.map_or(Timestamp::MAX, |started| started + STARTUP_DELAY);
        let period = period(cold_start, gateways);
        let wait = Duration::try_from_secs_f64(period.as_secs_f64() * cold.periods_to_slot);
        let first = cold.since.max(may_start).saturating_add(wait.unwrap_or(Duration::MAX));
        Some(next_slot(first, period, now).min(cold.until))
            .filter(|available_at| *available_at > now)
    }

    /// Records that a number of requests were sent to an endpoint together.
    pub fn record_sent(&mut self, endpoint: &Endpoint, requests: usize, now: Timestamp) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint.id) {
            cold.since = now;
            cold.periods_to_slot = requests as f64;
        }
    }

    /// Whether an endpoint currently counts as cold.
    pub fn is_cold(&self, endpoint: &str, now: Timestamp) -> bool {
        self.endpoints.get(endpoint).is_some_and(|cold| now < cold.until)
    }
}
