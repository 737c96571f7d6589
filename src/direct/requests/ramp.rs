//! Endpoints that asked for a pause are filled again by degrees.
//!
//! When its pause is over an endpoint looks idle, and all that belongs there by its shared part waits to go back at
//! once, from every gateway. So the first request goes alone, and each one that is answered makes way for twice as
//! many, until all its slots may be filled.

use std::collections::HashMap;

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// How far an endpoint is filled again.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    incarnation: u64,
    /// The end of the pause.
    since: Timestamp,
    /// Requests that may be there at once, of those that were sent since.
    allowed: u32,
    /// And are.
    in_flight: u32,
}

/// The endpoints that one gateway fills by degrees.
#[derive(Debug, Default)]
pub(super) struct Ramps {
    endpoints: HashMap<Name, Ramp>,
}

impl Ramps {
    fn get_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Ramp> {
        let ramp = self.endpoints.get_mut(&endpoint.id)?;
        (ramp.incarnation == endpoint.incarnation).then_some(ramp)
    }

    /// An endpoint gets nothing until a time, and is filled by degrees from then on.
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

    /// A request that was sent at a time ended.
    pub(super) fn ended(&mut self, endpoint: &Endpoint, sent: Timestamp) {
        if let Some(ramp) = self.get_mut(endpoint) {
            ramp.in_flight = ramp.in_flight.saturating_sub(u32::from(sent >= ramp.since));
        }
    }

    /// A request that was sent at a time was answered well.
    pub(super) fn answered(&mut self, endpoint: &Endpoint, sent: Timestamp) {
        let Some(ramp) = self.get_mut(endpoint).filter(|ramp| sent >= ramp.since) else {
            return;
        };
        ramp.allowed = ramp.allowed.saturating_mul(2);
        if ramp.allowed >= endpoint.slots {
            self.endpoints.remove(&endpoint.id);
        }
    }

    /// Whether an endpoint has as much as it gets for now.
    pub(super) fn is_full(&self, endpoint: &Endpoint) -> bool {
        let ramp = self.endpoints.get(&endpoint.id);
        let ramp = ramp.filter(|ramp| ramp.incarnation == endpoint.incarnation);
        ramp.is_some_and(|ramp| ramp.in_flight >= ramp.allowed)
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }
}
