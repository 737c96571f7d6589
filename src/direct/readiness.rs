//! Readiness: a gateway is ready once it has a configuration and a complete endpoint list, and no
//! peer has a newer one. Until then requests wait or are refused.

use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::event::{Action, IncomingRequest};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::members::MemberState;
use crate::message::Timestamp;

/// How long a gateway that starts waits for a peer to respond before it becomes ready. The store
/// may have been restored from an older copy, so peers may have newer documents.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a gateway that starts waits for a newer configuration that a peer has.
const NEWEST_DOCUMENTS_TIMEOUT: Duration = Duration::from_millis(1_500);
impl GatewayCore {
    /// When [`Self::update_state`] stops waiting for peers to respond, or for their documents.
    pub(super) fn next_completion(&self) -> impl Iterator<Item = Timestamp> {
        let since = self.documents_since.filter(|_| self.complete_since.is_none());
        since.into_iter().flat_map(|at| {
            let waited =
                [PEER_ANSWER_TIMEOUT, NEWEST_DOCUMENTS_TIMEOUT].map(|timeout| at + timeout);
            waited.into_iter().filter(|at| *at > self.readiness_checked_at)
        })
    }

    /// Whether requests can be decided with the newest known configuration.
    pub(super) const fn is_complete(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Whether a request can be decided: there is a configuration and, for a request with stages,
    /// peers and endpoints had time to report. A process that stops waits for neither.
    pub(super) fn can_decide(&self, incoming: &IncomingRequest, now: Timestamp) -> bool {
        let is_settled = |since: Timestamp| !incoming.has_pieces() || now >= since + self.settling;
        self.stop.is_some() || self.complete_since.is_some_and(is_settled)
    }

    /// Submits the deferred requests that can be decided now or have waited long enough.
    pub(super) fn submit_deferred_requests(&mut self, now: Timestamp) {
        if self.deferred_requests.is_empty() {
            return;
        }
        let mut deferred = std::mem::take(&mut self.deferred_requests);
        let due = deferred.take_due(|incoming| self.can_decide(incoming, now), now);
        self.deferred_requests = deferred;
        let known = self.is_complete();
        for waiting in due {
            let (caller, incoming) = (waiting.caller, waiting.incoming);
            let request = incoming.id.clone();
            let waited_ms = ms(now.saturating_sub(waiting.arrived));
            self.log(LogEvent::Waited { request, waited_ms, known });
            self.requests.submit(caller, incoming, &self.table, known, waiting.arrived, now);
        }
    }

    pub(super) fn update_state(&mut self, now: Timestamp) {
        self.readiness_checked_at = now;
        let draining = self.stop.is_some();
        if self.documents.is_complete() && self.complete_since.is_none() {
            let since = *self.documents_since.get_or_insert(now);
            let has_answer = self.unanswered_peers.is_empty() || now >= since + PEER_ANSWER_TIMEOUT;
            let has_newest = !self.pulls.has_newer() || now >= since + NEWEST_DOCUMENTS_TIMEOUT;
            if has_answer && has_newest {
                self.complete_since = Some(now);
            }
        }
        let complete = self.is_complete();
        let ready = complete && !draining;
        let state = match (draining, ready) {
            (true, _) => MemberState::Leaving,
            (false, true) => MemberState::Serving,
            (false, false) => MemberState::Starting,
        };
        if self.members.set_state(state) {
            self.next_heartbeat = Timestamp::ZERO;
        }
        if ready != self.is_ready {
            self.is_ready = ready;
            if ready {
                self.request_reports(now);
            }
            self.out.push(Action::SetReady(ready));
            self.log(LogEvent::Ready { ready });
        }
    }

    /// Requests load reports from the endpoints of the cells that this gateway owns.
    fn request_reports(&mut self, now: Timestamp) {
        let cells: Vec<_> = self.table.cells().names().cloned().collect();
        let own = self.members.own().address;
        for (cell, ranked) in self.members.owners(&cells, 1) {
            if ranked.first().is_some_and(|owner| owner.address == own) {
                self.owners.ask_reports(&cell, &self.table, now);
            }
        }
    }
}
