//! Requests that arrive before the first configuration and wait for it.
//!
//! When all gateways restart at once, callers connect before the new processes have read a
//! configuration. It follows within milliseconds, whereas refused callers would all retry at the
//! same time.

use std::time::Duration;

use crate::direct::event::IncomingRequest;
use crate::message::Timestamp;

/// Maximum wait for a configuration, which usually arrives 10 to 20 ms after a process starts.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Time after the first configuration until a process has received the state of its peers and
/// endpoints. Stages that start earlier compete with those of other owners for result memory that
/// is already in use.
pub const SETTLING: Duration = Duration::from_millis(25);
/// A request waits for at most its timeout divided by this.
const TIMEOUT_DIVISOR: u32 = 8;
/// Maximum number of waiting requests; bounds memory.
const MAX_WAITING: usize = 1_000;

/// A request that waits for the first configuration.
#[derive(Debug)]
pub struct DeferredRequest {
    /// Caller of the request.
    pub caller: u64,
    /// The request as received.
    pub incoming: IncomingRequest,
    /// When the request arrived.
    pub arrived: Timestamp,
    until: Timestamp,
}

/// Requests that wait for the first configuration, in order of arrival.
#[derive(Debug, Default)]
pub struct DeferredRequests {
    requests: Vec<DeferredRequest>,
}

impl DeferredRequests {
    /// Whether another request may be added.
    pub fn is_open(&self) -> bool {
        self.requests.len() < MAX_WAITING
    }

    /// Adds a request.
    pub fn add(&mut self, caller: u64, incoming: IncomingRequest, now: Timestamp) {
        let share = incoming.timeout.map_or(MAX_WAIT, |timeout| timeout / TIMEOUT_DIVISOR);
        let until = now + share.min(MAX_WAIT);
        self.requests.push(DeferredRequest { caller, incoming, arrived: now, until });
    }

    /// Removes the request of a caller that disconnected.
    pub fn caller_disconnected(&mut self, caller: u64) {
        self.requests.retain(|request| request.caller != caller);
    }

    /// Removes and returns the requests that can be decided now, and those whose wait is over.
    pub fn take_due(
        &mut self,
        can_decide: impl Fn(&IncomingRequest) -> bool,
        now: Timestamp,
    ) -> Vec<DeferredRequest> {
        let is_due =
            |request: &DeferredRequest| request.until <= now || can_decide(&request.incoming);
        let (due, waiting) = std::mem::take(&mut self.requests).into_iter().partition(is_due);
        self.requests = waiting;
        due
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When the first wait ends.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.requests.iter().map(|request| request.until).min()
    }
}
