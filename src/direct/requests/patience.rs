//! Behaviour when this process or the owner of a request's stages is overloaded.
//!
//! Typically a burst exhausts the processor of a host: each event waits, completed answers are
//! delivered late, and refused callers retry. An owner that is only busy must not count as failed,
//! because its stages would then run a second time elsewhere. No caller may be held longer than the
//! configured timeout.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::lateness::SHORT;
use crate::direct::requests::Requests;
use crate::direct::requests::experience::{Part, Sure};
use crate::direct::requests::request::Request;
use crate::message::Timestamp;

/// Number of events that this process handles between a request and its answer: the call and its
/// result.
const EVENTS: u32 = 2;
/// Additional events of a request with stages: submission, the owner's decision, the last results.
const EVENTS_OF_STAGES: u32 = 3;
/// Multiple of the event lag that an owner's decision may take: it involves two events, and
/// messages wait to be read.
const OWNER_EVENTS: u32 = 3;
/// How long a reported event lag is used; gateways report it five times a second.
const TOLD_KEPT: Duration = Duration::from_secs(1);
/// Maximum timeout extension for an owner: within that time failed owners are detected by other
/// means.
const LONGEST_PATIENCE: Duration = Duration::from_millis(1_200);
/// Minimum delay after which callers should retry at an overloaded process.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);

/// Event lag that a gateway reported, and when.
pub(super) type Told = (Duration, Timestamp);

impl Requests {
    /// Sets the event lag of this process.
    pub fn set_lateness(&mut self, lateness: Duration) {
        self.lateness = lateness;
    }

    /// Another gateway reported its event lag.
    pub fn told_lateness(&mut self, gateway: SocketAddr, lateness: Duration, now: Timestamp) {
        if lateness < SHORT {
            self.late_owners.remove(&gateway);
        } else {
            self.late_owners.insert(gateway, (lateness, now));
        }
    }

    /// Additional time for an owner's decision, by its event lag and that of this process.
    pub(super) fn patience_with(&self, owner: SocketAddr, now: Timestamp) -> Duration {
        let told = self.late_owners.get(&owner).filter(|(_, at)| now < *at + TOLD_KEPT);
        let told = told.map_or(Duration::ZERO, |(late, _)| *late * OWNER_EVENTS);
        (told + self.lateness).min(LONGEST_PATIENCE)
    }

    /// If the event lag is too high to answer a new request before its deadline, the delay after
    /// which its caller should retry. Such a request is refused before it runs, rather than held
    /// until it times out.
    pub(super) fn too_late_for(&self, request: &Request, now: Timestamp) -> Option<Duration> {
        if self.lateness < SHORT {
            return None;
        }
        let stages = if request.has_stages() { EVENTS_OF_STAGES } else { 0 };
        let route = &request.route;
        let usual =
            self.experience.expected(&route.name, Part::Whole, request.size(), Sure::Usually);
        let usual = usual.filter(|_| !route.streams).unwrap_or_default();
        let answered = now + self.lateness * (EVENTS + stages) + usual;
        (answered > request.deadline).then(|| (self.lateness * EVENTS).max(SHORTEST_RETRY))
    }

    /// Refuses a new request that can't be answered in time because this process is overloaded.
    pub(super) fn refuse_too_late(&mut self, caller: u64, request: &Request, retry: Duration) {
        self.refuse_with(caller, &request.incoming.id, Refused::Overloaded, retry);
    }
}
