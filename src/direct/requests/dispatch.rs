//! Sending of requests that are ready to run, after a permit if the endpoint has a rate limit.

use std::time::Duration;

use crate::direct::event::{Action, Refused};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::published::software::version_of;
use crate::direct::published::table::Table;
use crate::direct::requests::choice::Choice;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;

/// Minimum time before the deadline at which a request is still sent.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

impl Requests {
    /// Sends a request to an endpoint, asks for a permit to do so, or refuses the request.
    pub(super) fn dispatch(&mut self, caller: u64, table: &Table, now: Timestamp) {
        if !self.check_before_send(caller, now) {
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
            Err(unplaced) => self.refuse_unplaced(caller, unplaced, now),
        }
    }

    /// Whether a request may be sent now. Otherwise refuses it, or submits its stages again if
    /// their results were freed.
    pub(super) fn check_before_send(&mut self, caller: u64, now: Timestamp) -> bool {
        let Some(request) = self.requests.get_mut(&caller) else {
            return false;
        };
        request.permit = None;
        if now + MIN_TIME_LEFT >= request.deadline {
            self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
            return false;
        }
        self.may_be_sent(caller, now)
            && !self.refuse_if_poison(caller, now)
            && !self.restart_stages_if_freed(caller)
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
        let Choice { endpoint, reason, candidates, .. } = choice;
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let selector = table.pool(&request.pool).map(|p| p.endpoints.to_string());
        self.out.push(Action::Log(LogEvent::Sent {
            request: request.incoming.id.clone(),
            attempt: self.last_attempt + 1,
            selector: selector.unwrap_or_default(),
            endpoint: endpoint.id.clone(),
            software_version: version_of(&endpoint).map(ToOwned::to_owned),
            because: reason.to_owned(),
            candidates,
            left_ms: ms(request.deadline.saturating_sub(now)),
        }));
        self.start_attempt(caller, endpoint, permit, table, now);
    }

    /// Submits the stages of a request again if their results were freed after an endpoint accepted
    /// it. Returns whether they were.
    fn restart_stages_if_freed(&mut self, caller: u64) -> bool {
        let Some(request) = self.requests.get_mut(&caller).filter(|r| r.results_freed()) else {
            return false;
        };
        request.results.iter_mut().for_each(Vec::clear);
        self.pending_submissions.push(caller);
        true
    }
}
