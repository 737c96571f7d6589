//! Behaviour when this process or the owner of a request's stages is overloaded.
//!
//! Typically a burst exhausts the processor of a host: each event waits, completed answers are
//! delivered late, and refused callers retry. An owner that is only busy must not count as failed,
//! because its stages would then run a second time elsewhere. No caller may be held longer than the
//! configured timeout.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::event_lag::OVERLOAD_LAG;
use crate::direct::requests::Requests;
use crate::direct::requests::durations::{Confidence, Span};
use crate::direct::requests::request::Request;
use crate::message::Timestamp;

/// Number of events that this process handles between a request and its answer: the call and its
/// result.
const EVENTS_PER_REQUEST: u32 = 2;
/// Additional events of a request with stages: submission, the owner's decision, the last results.
const EVENTS_FOR_STAGES: u32 = 3;
/// Multiple of the event lag that an owner's decision may take: it involves two events, and
/// messages wait to be read.
const EVENTS_PER_DECISION: u32 = 3;
/// How long an announced event lag is used; gateways send it five times a second.
const LAG_TTL: Duration = Duration::from_secs(1);
/// Maximum timeout extension for an owner: within that time failed owners are detected by other
/// means.
const MAX_TIMEOUT_EXTENSION: Duration = Duration::from_millis(1_200);
/// Minimum delay after which callers should retry at an overloaded process.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Event lag that a gateway announced, and when.
pub(super) type AnnouncedLag = (Duration, Timestamp);

impl Requests {
    /// Sets the event lag of this process.
    pub fn set_event_lag(&mut self, event_lag: Duration) {
        self.event_lag = event_lag;
    }

    /// Another gateway announced its event lag.
    pub fn event_lag_announced(
        &mut self,
        gateway: SocketAddr,
        event_lag: Duration,
        now: Timestamp,
    ) {
        if event_lag < OVERLOAD_LAG {
            self.peer_lags.remove(&gateway);
        } else {
            self.peer_lags.insert(gateway, (event_lag, now));
        }
    }

    /// Additional time for an owner's decision, by its event lag and that of this process.
    pub(super) fn owner_timeout_extension(&self, owner: SocketAddr, now: Timestamp) -> Duration {
        let announced = self.peer_lags.get(&owner).filter(|(_, at)| now < *at + LAG_TTL);
        let announced = announced.map_or(Duration::ZERO, |(lag, _)| *lag * EVENTS_PER_DECISION);
        (announced + self.event_lag).min(MAX_TIMEOUT_EXTENSION)
    }

    /// If the event lag is too high to answer a new request before its deadline, the delay after
    /// which its caller should retry. Such a request is refused before it runs, rather than held
    /// until it times out.
    pub(super) fn overload_retry_after(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Option<Duration> {
        if self.event_lag < OVERLOAD_LAG {
            return None;
        }
        let stages = if request.has_stages() { EVENTS_FOR_STAGES } else { 0 };
        let route = &request.route;
        let typical =
            self.durations.expected(&route.name, Span::Total, request.size(), Confidence::Typical);
        let typical = typical.filter(|_| !route.streams).unwrap_or_default();
        let answered = now + self.event_lag * (EVENTS_PER_REQUEST + stages) + typical;
        (answered > request.deadline)
            .then(|| (self.event_lag * EVENTS_PER_REQUEST).max(MIN_RETRY_AFTER))
    }

    /// Refuses a new request that can't be answered in time because this process is overloaded.
    pub(super) fn refuse_overloaded(&mut self, caller: u64, request: &Request, retry: Duration) {
        self.refuse_new(caller, &request.incoming.id, Refused::Overloaded, retry);
    }
}
