//! When a gateway whose permit request was refused may request a permit again, so that it need not
//! do so for each request.

use std::collections::{BTreeMap, HashMap};

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Retry times of an endpoint, by the priority of the refused permit request.
#[derive(Debug, Clone, Default)]
struct EndpointRetries {
    incarnation: u64,
    by_priority: BTreeMap<u8, Timestamp>,
}

/// Retry times of endpoints that recently refused a permit.
#[derive(Debug, Clone, Default)]
pub struct RetryTimes {
    endpoints: HashMap<Name, EndpointRetries>,
}

impl RetryTimes {
    /// Records that a permit was refused to a request of this priority, and when one would be
    /// available.
    pub fn record(&mut self, endpoint: &Endpoint, priority: u8, available_at: Timestamp) {
        let retries = self.endpoints.entry(endpoint.id.clone()).or_default();
        if retries.incarnation != endpoint.incarnation {
            *retries =
                EndpointRetries { incarnation: endpoint.incarnation, ..EndpointRetries::default() };
        }
        retries.by_priority.insert(priority, available_at);
    }

    /// Earliest time for a permit of this priority, as far as is known: the latest retry time among
    /// requests of the same or a more urgent priority, which are queued before it.
    pub fn earliest(&self, endpoint: &Endpoint, priority: u8, now: Timestamp) -> Option<Timestamp> {
        let retries = self.endpoints.get(&endpoint.id)?;
        let is_same = retries.incarnation == endpoint.incarnation;
        let ahead = retries.by_priority.range(..=priority).map(|(_, available_at)| *available_at);
        ahead.filter(|available_at| is_same && *available_at > now).max()
    }

    /// Removes endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }

    /// Removes the retry times of an endpoint.
    pub fn forget(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }
}
