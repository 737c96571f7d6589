//! What a gateway that is short of time, or whose owner is, does with callers' requests.
//!
//! The pattern: a burst, on a host whose processor is spent. Each event waits, an answer that is there
//! goes out late, and whoever is not served comes back. An owner that is only busy must not be taken for
//! gone, or its stages are made once more elsewhere; and nobody may be held beyond the time for which their
//! operator allows it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::lateness::SHORT;
use crate::direct::requests::Requests;
use crate::direct::requests::experience::{Part, Sure};
use crate::direct::requests::request::Request;
use crate::message::Timestamp;

/// Events between a request and its answer in this process: its call and what came of it.
const EVENTS: u32 = 2;
/// And with stages: their submission, the owner's answer, the last results.
const EVENTS_OF_STAGES: u32 = 3;
/// A decision of an owner takes two of its events, and messages wait before they are read.
const OWNER_EVENTS: u32 = 3;
/// What an owner told of its lateness holds for so long; it tells five times a second.
const TOLD_KEPT: Duration = Duration::from_secs(1);
/// An owner is waited for so long at most: dead ones are found in that time without it.
const LONGEST_PATIENCE: Duration = Duration::from_millis(1_200);
/// When to come back to a process that is short of time, at the earliest.
const SHORTEST_RETRY: Duration = Duration::from_millis(150);

/// How late an owner was when it told, and when that was.
pub(super) type Told = (Duration, Timestamp);

impl Requests {
    /// How late this process handles its events.
    pub fn set_lateness(&mut self, lateness: Duration) {
        self.lateness = lateness;
    }

    /// Another gateway told how late it handles its events.
    pub fn told_lateness(&mut self, gateway: SocketAddr, lateness: Duration, now: Timestamp) {
        if lateness < SHORT {
            self.late_owners.remove(&gateway);
        } else {
            self.late_owners.insert(gateway, (lateness, now));
        }
    }

    /// How much longer than usual an owner's decision may take.
    pub(super) fn patience_with(&self, owner: SocketAddr, now: Timestamp) -> Duration {
        let told = self.late_owners.get(&owner).filter(|(_, at)| now < *at + TOLD_KEPT);
        let told = told.map_or(Duration::ZERO, |(late, _)| *late * OWNER_EVENTS);
        (told + self.lateness).min(LONGEST_PATIENCE)
    }

    /// When to come back if a new request could not be answered before its time is over, by how late
    /// this process is; it is refused then while nothing of it has run, instead of being held in vain.
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

    /// Refuses a request that came too late to be answered.
    pub(super) fn refuse_too_late(&mut self, caller: u64, request: &Request, retry: Duration) {
        self.refuse_with(caller, &request.incoming.id, Refused::Overloaded, retry);
    }
}
