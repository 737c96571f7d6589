//! Sending of requests that are ready to run, after a permit if the endpoint has a rate limit.

use std::time::Duration;

use crate::direct::event::{Action, Refused};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::published::table::Table;
use crate::direct::requests::choice::Choice;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;

/// Minimum time before the deadline at which a request is still sent.
pub(super) const TOO_LATE: Duration = Duration::from_millis(5);

impl Requests {
    /// Sends a request to an endpoint, asks for a permit to do so, or refuses the request.
    pub(super) fn dispatch(&mut self, caller: u64, table: &Table, now: Timestamp) {
        if !self.may_go_on(caller, now) {
            return;
        }
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        match self.choose(request, table, now) {
            // A rate limit holds for the sum over all gateways, so only a permit tells whether this
            // request is within it. A refused permit makes the request try endpoints with free
            // capacity.
            Ok(choice) if self.limits.rate(&choice.endpoint, now).is_some() => {
                self.await_permit(caller, choice, now);
            }
            Ok(choice) => self.send(caller, choice, None, table, now),
            Err(no_place) => self.refuse_without_place(caller, no_place, now),
        }
    }

    /// Whether a request may be sent now. Otherwise refuses it, or submits its stages again if
    /// their results were freed.
    pub(super) fn may_go_on(&mut self, caller: u64, now: Timestamp) -> bool {
        let Some(request) = self.requests.get_mut(&caller) else {
            return false;
        };
        request.permit = None;
        if now + TOO_LATE >= request.deadline {
            self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
            return false;
        }
        self.may_be_sent(caller, now)
            && !self.is_refused_as_poison(caller, now)
            && !self.make_again(caller)
    }

    /// Sends a request to the selected endpoint.
    pub(super) fn send(
        &mut self,
        caller: u64,
        choice: Choice,
        permit: Option<Timestamp>,
        table: &Table,
        now: Timestamp,
    ) {
        let Choice { endpoint, because, candidates, .. } = choice;
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let selector = table.pool(&request.pool).map(|p| p.endpoints.to_string());
        self.out.push(Action::Log(LogEvent::Sent {
            request: request.incoming.id.clone(),
            attempt: self.next_attempt + 1,
            selector: selector.unwrap_or_default(),
            endpoint: endpoint.id.clone(),
            because: because.to_owned(),
            candidates,
            left_ms: ms(request.deadline.saturating_sub(now)),
        }));
        self.call(caller, endpoint, permit, table, now);
    }

    /// Submits the stages of a request again if their results were freed after an endpoint accepted
    /// it. Returns whether they were.
    fn make_again(&mut self, caller: u64) -> bool {
        let Some(request) = self.requests.get_mut(&caller).filter(|r| r.lacks_results()) else {
            return false;
        };
        request.results.iter_mut().for_each(Vec::clear);
        self.to_submit.push(caller);
        true
    }
}
