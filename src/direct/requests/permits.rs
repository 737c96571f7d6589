//! Requests that wait for a permit, because the endpoint selected for them has a rate limit.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::{Action, Refused};
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::permits::{NeededPermit, Purpose};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::choice::Choice;
use crate::direct::requests::request::Request;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;

/// Share of a request's remaining time that it may wait for a permit if all its endpoints have rate
/// limits. The rest is reserved for its run.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Maximum number of permits asked for one request.
const MAX_PERMITS_ASKED: u32 = 8;

/// A permit that a request waits for.
#[derive(Debug, Clone)]
pub struct AwaitedPermit {
    /// Number of the permit, unique among all that this gateway's requests asked for.
    pub number: u64,
    /// Why the endpoint was selected.
    reason: &'static str,
    /// Number of endpoints that were available for the selection.
    candidates: usize,
    endpoint: Arc<Endpoint>,
}

impl Request {
    /// Maximum time to wait for a permit.
    pub(super) fn max_permit_wait(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_sub(now).mul_f64(MAX_WAIT_SHARE)
    }
}

impl Requests {
    /// Sets the rate limits that endpoints announced.
    pub fn set_limits(&mut self, limits: &Arc<KnownLimits>) {
        self.limits = limits.clone();
    }

    /// The caller's id of a request.
    pub fn request_id(&self, caller: u64) -> Option<Name> {
        self.requests.get(&caller).map(|request| request.incoming.id.clone())
    }

    /// Asks for a permit. The request continues once it is granted or refused.
    pub(super) fn await_permit(&mut self, caller: u64, choice: Choice, now: Timestamp) {
        let Choice { endpoint, reason, candidates, wait } = choice;
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        if request.permits_asked >= MAX_PERMITS_ASKED {
            return self.refuse(caller, Refused::AllLimited, RETRY_SOON, now);
        }
        request.permits_asked += 1;
        self.last_permit += 1;
        let number = self.last_permit;
        let priority = request.priority;
        request.permit =
            Some(AwaitedPermit { number, reason, candidates, endpoint: endpoint.clone() });
        let purpose = Purpose::Request { caller, number };
        self.out.push(Action::RequestPermit(NeededPermit { endpoint, purpose, priority, wait }));
    }

    /// Asks for a permit for the question that confirms the end of an answer.
    pub(super) fn await_check_permit(
        &mut self,
        caller: u64,
        endpoint: Arc<Endpoint>,
        wait: Duration,
    ) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        self.last_permit += 1;
        let (number, priority) = (self.last_permit, request.priority);
        let awaited = AwaitedPermit {
            number,
            reason: "end check",
            candidates: 1,
            endpoint: endpoint.clone(),
        };
        request.permit = Some(awaited);
        let purpose = Purpose::Request { caller, number };
        self.out.push(Action::RequestPermit(NeededPermit { endpoint, purpose, priority, wait }));
    }

    /// Removes the permit with this number if the request still waits for it.
    fn take_awaited(&mut self, caller: u64, number: u64) -> Option<AwaitedPermit> {
        self.requests.get_mut(&caller)?.permit.take_if(|awaited| awaited.number == number)
    }

    /// A permit was granted that is valid until `until`. Checks again whether the request and the
    /// endpoint are still suitable.
    pub fn permit_granted(
        &mut self,
        caller: u64,
        number: u64,
        until: Timestamp,
        table: &Table,
        now: Timestamp,
    ) {
        let Some(awaited) = self.take_awaited(caller, number) else {
            return;
        };
        if self.is_checking_end(caller) {
            return self.send_question(caller, Some(until));
        }
        let AwaitedPermit { endpoint, reason, candidates, .. } = awaited;
        if !self.check_before_send(caller, now) {
            return;
        }
        if !self.is_still_available(caller, &endpoint, table, now) {
            return self.dispatch(caller, table, now);
        }
        let choice = Choice { endpoint, reason, candidates, wait: Duration::ZERO };
        self.send(caller, choice, Some(until), table, now);
    }

    /// Whether an endpoint is still available to a request, regardless of its rate limit.
    fn is_still_available(
        &self,
        caller: u64,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) -> bool {
        let listed = table.endpoint(&endpoint.id);
        let is_listed = listed.is_some_and(|e| e.incarnation == endpoint.incarnation && !e.leaving);
        let request = self.requests.get(&caller);
        let cold_start = request.and_then(|r| table.pool(&r.pool)).and_then(|pool| pool.cold);
        is_listed && self.unavailability_for_all(endpoint, cold_start, now).is_none()
    }

    /// A permit was refused. Requests of the same or a lower priority should not ask again before
    /// `retry_at`.
    pub fn permit_refused(
        &mut self,
        (caller, number): (u64, u64),
        endpoint: &Endpoint,
        priority: u8,
        retry_at: Timestamp,
        table: &Table,
        now: Timestamp,
    ) {
        self.retry_times.record(endpoint, priority, retry_at);
        if self.take_awaited(caller, number).is_none() {
            return;
        }
        if self.is_checking_end(caller) {
            self.ask_again(caller, now);
        } else {
            self.dispatch(caller, table, now);
        }
    }
}
