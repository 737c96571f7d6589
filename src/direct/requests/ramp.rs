//! Gradual refill of endpoints after a pause.
//!
//! At the end of its pause an endpoint looks idle, and all gateways would send it the requests that
//! belong there by their prompt prefix at once. Therefore one request is sent first, and each
//! answered one doubles the number allowed, up to all slots of the endpoint.

use std::collections::HashMap;

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Refill state of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    incarnation: u64,
    /// The end of the pause.
    since: Timestamp,
    /// Maximum number of concurrent requests among those sent since the end of the pause.
    allowed: u32,
    /// Current number of these requests.
    in_flight: u32,
}

/// The endpoints that one gateway is refilling.
#[derive(Debug, Default)]
pub(super) struct Ramps {
    endpoints: HashMap<Name, Ramp>,
}

impl Ramps {
    fn get_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Ramp> {
        let ramp = self.endpoints.get_mut(&endpoint.id)?;
        (ramp.incarnation == endpoint.incarnation).then_some(ramp)
    }

    /// An endpoint is paused until `since` and refilled gradually after that.
    pub(super) fn begin(&mut self, endpoint: &Endpoint, since: Timestamp) {
        let incarnation = endpoint.incarnation;
        let ramp = Ramp { incarnation, since, allowed: 1, in_flight: 0 };
        self.endpoints.insert(endpoint.id.clone(), ramp);
    }

    /// A request was sent.
    pub(super) fn sent(&mut self, endpoint: &Endpoint, now: Timestamp) {
        if let Some(ramp) = self.get_mut(endpoint) {
            ramp.in_flight += u32::from(now >= ramp.since);
        }
    }

    /// A request that was sent at `sent` ended.
    pub(super) fn ended(&mut self, endpoint: &Endpoint, sent: Timestamp) {
        if let Some(ramp) = self.get_mut(endpoint) {
            ramp.in_flight = ramp.in_flight.saturating_sub(u32::from(sent >= ramp.since));
        }
    }

    /// A request that was sent at `sent` was answered without a server error.
    pub(super) fn answered(&mut self, endpoint: &Endpoint, sent: Timestamp) {
        let Some(ramp) = self.get_mut(endpoint).filter(|ramp| sent >= ramp.since) else {
            return;
        };
        ramp.allowed = ramp.allowed.saturating_mul(2);
        if ramp.allowed >= endpoint.slots {
            self.endpoints.remove(&endpoint.id);
        }
    }

    /// Whether an endpoint has as many requests as currently allowed.
    pub(super) fn is_full(&self, endpoint: &Endpoint) -> bool {
        let ramp = self.endpoints.get(&endpoint.id);
        let ramp = ramp.filter(|ramp| ramp.incarnation == endpoint.incarnation);
        ramp.is_some_and(|ramp| ramp.in_flight >= ramp.allowed)
    }

    /// Removes endpoints that are not listed any more.
    pub(super) fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }
}
