//! Endpoints that asked this gateway for a pause (backoff).
//!
//! An endpoint that refuses a request may state for how long this gateway should send it nothing.
//! The pause applies to this gateway only, to everything sent to the endpoint (requests, pieces,
//! reports, results to be freed, probes), and to the incarnation that asked for it. It ends when
//! its time is over or when another incarnation starts; later responses do not shorten it. A
//! gateway starts without any pauses.
//!
//! To avoid that all gateways resume at the same moment, each adds a different delay to the pause,
//! and each ramps up its requests to the endpoint (`requests::ramp`).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::Backoff;
use crate::message::Timestamp;

/// Pause for an endpoint whose backoff time can't be parsed: the shortest in whole seconds.
const UNPARSABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest pause that one response can cause. No endpoint sheds load for an hour, and one that
/// sends a date as a number of seconds would otherwise be unusable by this gateway until either
/// process restarts.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Maximum share of the backoff time that is added as a delay, different for each gateway and
/// endpoint. An endpoint that refused 100 gateways within one second is called again over that
/// second plus a quarter of the pause.
const MAX_DELAY_SHARE: f64 = 0.25;
/// Maximum delay that is added to a pause.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of pauses that are kept; bounds memory. 3,000 endpoints are expected in two
/// years.
const MAX_PAUSES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Pause {
    incarnation: u64,
    until: Timestamp,
}

/// Endpoints to which one gateway currently sends nothing.
#[derive(Debug, Clone)]
pub struct Backoffs {
    /// Seed from the gateway's address; makes the delay differ between gateways.
    seed: u64,
    endpoints: HashMap<Name, Pause>,
}

impl Backoffs {
    /// Creates the empty set of pauses for the gateway with this address.
    pub fn new(own: SocketAddr) -> Self {
        Self { seed: xxh3_64(own.to_string().as_bytes()), endpoints: HashMap::new() }
    }

    /// Records the backoff of a response that was read `at` this time. Returns when the pause ends,
    /// if that is later than known before.
    pub fn record(
        &mut self,
        endpoint: &Endpoint,
        backoff: Backoff,
        at: Timestamp,
    ) -> Option<Timestamp> {
        let requested = match backoff {
            Backoff::For(time) => time.min(MAX_PAUSE),
            Backoff::Unclear => UNPARSABLE_BACKOFF,
        };
        if requested.is_zero() {
            return None;
        }
        let until = at + requested + self.delay(endpoint, requested);
        let known = self.endpoints.get(&endpoint.id);
        if known.is_some_and(|k| k.incarnation == endpoint.incarnation && k.until >= until) {
            return None;
        }
        self.evict(at);
        let pause = Pause { incarnation: endpoint.incarnation, until };
        self.endpoints.insert(endpoint.id.clone(), pause);
        Some(until)
    }

    /// Delay that this gateway adds to a pause.
    fn delay(&self, endpoint: &Endpoint, requested: Duration) -> Duration {
        let random = xxh3_64_with_seed(endpoint.id.as_bytes(), self.seed) as f64 / u64::MAX as f64;
        requested.mul_f64(MAX_DELAY_SHARE).min(MAX_DELAY).mul_f64(random)
    }

    /// If the maximum is reached, removes expired pauses, and then, if needed, the one that ends
    /// first.
    fn evict(&mut self, now: Timestamp) {
        if self.endpoints.len() < MAX_PAUSES {
            return;
        }
        self.endpoints.retain(|_, pause| now < pause.until);
        let first = self.endpoints.iter().min_by_key(|(id, pause)| (pause.until, (*id).clone()));
        if let Some(first) =
            first.map(|(id, _)| id.clone()).filter(|_| self.endpoints.len() >= MAX_PAUSES)
        {
            self.endpoints.remove(&first);
        }
    }

    /// When the pause of an endpoint ends; `None` if it has none.
    pub fn paused_until(&self, endpoint: &Endpoint, now: Timestamp) -> Option<Timestamp> {
        let pause = self.endpoints.get(&endpoint.id)?;
        (pause.incarnation == endpoint.incarnation && now < pause.until).then_some(pause.until)
    }

    /// Number of pauses that are kept.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no pause is kept.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
