//! Issues permits for the endpoints of which this gateway is the limiter, evenly spaced and no more
//! than the endpoint's limit allows.
//!
//! Each permit request states how long it may wait. Requests that can be granted in time are
//! queued, the most urgent priority first, then the earliest deadline. All others are refused at
//! once, with the time at which a permit would be available.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::limits::known::EndpointIncarnation;
use crate::direct::statement::RequestRate;
use crate::message::Timestamp;

/// Share of a limit that is issued as permits: messages arrive closer together than they were sent.
const ISSUED_SHARE: f64 = 0.9;
/// Minimum number of permits per second. An endpoint whose limit is 0 still gets one request every
/// ten seconds, since only a response shows whether the limit still applies.
const MIN_PER_SECOND: f64 = 0.1;
/// Maximum number of queued permit requests for one endpoint; bounds memory.
const MAX_QUEUED: usize = 1_024;

/// Interval between two permits of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace(Duration);

impl Pace {
    /// Interval for this gateway's `part` of a limit, which depends on the gateways that it hears
    /// from.
    pub fn new(limit: RequestRate, part: f64) -> Self {
        let per_second = limit.as_per_second().max(MIN_PER_SECOND) * ISSUED_SHARE * part;
        Self(Duration::try_from_secs_f64(per_second.recip()).unwrap_or(Duration::MAX))
    }

    fn times(self, permits: usize) -> Duration {
        self.0.saturating_mul(u32::try_from(permits).unwrap_or(u32::MAX))
    }
}

/// Gateway that requested a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Number that the gateway gave its permit request.
    pub number: u64,
}

/// Request for a permit.
#[derive(Debug, Clone, Copy)]
pub struct PermitRequest {
    /// The gateway that receives the decision.
    pub asker: Asker,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the permit is of use.
    pub latest: Timestamp,
}

/// Decision on a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// One message may be sent now.
    Granted(Asker),
    /// No permit; the duration is the time until one would be available.
    Refused(Asker, Duration),
}

/// Queue order: priority, latest time, arrival number.
type Rank = (u8, Timestamp, u64);

#[derive(Debug)]
struct Endpoint {
    /// Nominal time of the last permit, which was issued then or up to one interval later; see
    /// [`Self::issue`].
    last_issued: Timestamp,
    queue: BTreeMap<Rank, Asker>,
    /// When the first queued request is due, as last calculated.
    due: Option<Timestamp>,
}

impl Endpoint {
    /// When a request with `ahead` requests queued before it gets a permit.
    fn available_at(&self, pace: Pace, ahead: usize, now: Timestamp) -> Timestamp {
        self.last_issued.saturating_add(pace.0).max(now).saturating_add(pace.times(ahead))
    }

    /// Counts one permit as issued. At most one unused interval of the past can be made up for.
    fn issue(&mut self, pace: Pace, now: Timestamp) {
        let earliest = now.saturating_sub(pace.0);
        self.last_issued = self.last_issued.saturating_add(pace.0).max(earliest).min(now);
    }

    /// Issues due permits and refuses queued requests that can no longer be granted in time.
    fn serve(&mut self, pace: Pace, now: Timestamp, decisions: &mut Vec<PermitDecision>) {
        while now >= self.available_at(pace, 0, now)
            && let Some((_, asker)) = self.queue.pop_first()
        {
            self.issue(pace, now);
            decisions.push(PermitDecision::Granted(asker));
        }
        let first = self.available_at(pace, 0, now);
        let mut available_at = first;
        self.queue.retain(|(_, latest, _), asker| {
            let is_in_time = available_at <= *latest;
            if is_in_time {
                available_at = available_at.saturating_add(pace.0);
            } else {
                decisions.push(PermitDecision::Refused(*asker, available_at.saturating_sub(now)));
            }
            is_in_time
        });
        self.due = (!self.queue.is_empty()).then_some(first);
    }
}

/// Endpoints for which one gateway issues permits.
#[derive(Debug, Default)]
pub struct Limiter {
    endpoints: BTreeMap<EndpointIncarnation, Endpoint>,
    arrivals: u64,
}

impl Limiter {
    /// Handles a permit request. The first permit for an endpoint is issued only after a full
    /// interval, since the limit was learned from a response to a message that has just been sent.
    pub fn request(
        &mut self,
        incarnation: &EndpointIncarnation,
        pace: Pace,
        request: PermitRequest,
        now: Timestamp,
    ) -> Vec<PermitDecision> {
        self.arrivals += 1;
        let new_entry = || Endpoint { last_issued: now, queue: BTreeMap::new(), due: None };
        let endpoint = self.endpoints.entry(incarnation.clone()).or_insert_with(new_entry);
        let mut decisions = Vec::new();
        endpoint.serve(pace, now, &mut decisions);
        let rank = (request.priority, request.latest, self.arrivals);
        let ahead = endpoint.queue.range(..rank).count();
        let available_at = endpoint.available_at(pace, ahead, now);
        if available_at <= now {
            endpoint.issue(pace, now);
            decisions.push(PermitDecision::Granted(request.asker));
        } else if available_at > request.latest || endpoint.queue.len() >= MAX_QUEUED {
            decisions
                .push(PermitDecision::Refused(request.asker, available_at.saturating_sub(now)));
        } else {
            endpoint.queue.insert(rank, request.asker);
            endpoint.serve(pace, now, &mut decisions);
        }
        decisions
    }

    /// Issues due permits. Also processes `changed`, an endpoint whose limit changed. `pace`
    /// returns the interval of an endpoint, or `None` if this gateway issues no permits for it:
    /// then its queued requests are refused with `retry`.
    pub fn issue_due(
        &mut self,
        changed: Option<&EndpointIncarnation>,
        pace: impl Fn(&EndpointIncarnation) -> Option<Pace>,
        retry: Duration,
        now: Timestamp,
    ) -> Vec<PermitDecision> {
        let mut decisions = Vec::new();
        self.endpoints.retain(|incarnation, endpoint| {
            if changed != Some(incarnation) && endpoint.due.is_none_or(|due| now < due) {
                return true;
            }
            let Some(pace) = pace(incarnation) else {
                let queue = std::mem::take(&mut endpoint.queue).into_values();
                decisions.extend(queue.map(|asker| PermitDecision::Refused(asker, retry)));
                return false;
            };
            endpoint.serve(pace, now, &mut decisions);
            true
        });
        decisions
    }

    /// When [`Self::issue_due`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.endpoints.values().filter_map(|endpoint| endpoint.due).min()
    }

    /// Removes the queued requests of a gateway that was removed from the members.
    pub fn remove_gateway(&mut self, gateway: SocketAddr) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.queue.retain(|_, asker| asker.gateway != gateway);
        }
    }

    /// Whether no permit request has been received for any endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
