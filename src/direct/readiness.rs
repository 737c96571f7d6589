//! When a gateway is ready: it has a configuration and a whole list, and none of its peers has a newer one. Until then
//! requests wait or are refused.

use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::event::{Action, IncomingRequest};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::members::MemberState;
use crate::message::Timestamp;

/// The store may have come back from an older copy: a gateway that starts asks its peers before it calls itself ready, and
/// waits so long for one to answer, ...
const MET_WITHIN: Duration = Duration::from_millis(150);
/// ... and so long for a newer configuration that one has.
const NEWEST_WITHIN: Duration = Duration::from_millis(1_500);
impl GatewayCore {
    /// When [`Self::update_state`] waits no longer for peers to answer, or for what they have.
    pub(super) fn next_completion(&self) -> impl Iterator<Item = Timestamp> {
        let since = self.documented_since.filter(|_| self.complete_since.is_none());
        since.into_iter().flat_map(|at| {
            let waited = [MET_WITHIN, NEWEST_WITHIN].map(|patience| at + patience);
            waited.into_iter().filter(|at| *at > self.updated_at)
        })
    }

    /// Whether requests are decided, by the newest configuration that is known of.
    pub(super) const fn is_complete(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Whether a request can be decided: with a configuration, and with stages once the peers and the
    /// endpoints were heard. A process that stops waits for nothing.
    pub(super) fn knows_enough(&self, incoming: &IncomingRequest, now: Timestamp) -> bool {
        let is_settled = |since: Timestamp| !incoming.has_pieces() || now >= since + self.settling;
        self.stop.is_some() || self.complete_since.is_some_and(is_settled)
    }

    /// Requests that waited go on once enough is known, or their wait is over.
    pub(super) fn look_at_early(&mut self, now: Timestamp) {
        if self.early.is_empty() {
            return;
        }
        let mut early = std::mem::take(&mut self.early);
        let due = early.take_due(|incoming| self.knows_enough(incoming, now), now);
        self.early = early;
        let known = self.is_complete();
        for early in due {
            let (caller, incoming) = (early.caller, early.incoming);
            let request = incoming.id.clone();
            let waited_ms = ms(now.saturating_sub(early.arrived));
            self.log(LogEvent::Waited { request, waited_ms, known });
            self.requests.submit(caller, incoming, &self.table, known, early.arrived, now);
        }
    }

    pub(super) fn update_state(&mut self, now: Timestamp) {
        self.updated_at = now;
        let draining = self.stop.is_some();
        if self.documents.is_complete() && self.complete_since.is_none() {
            let since = *self.documented_since.get_or_insert(now);
            let has_met = self.unmet.is_empty() || now >= since + MET_WITHIN;
            let has_newest = !self.pulls.knows_newer() || now >= since + NEWEST_WITHIN;
            if has_met && has_newest {
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
            self.next_beat = Timestamp::ZERO;
        }
        if ready != self.is_ready {
            self.is_ready = ready;
            if ready {
                self.ask_reports(now);
            }
            self.out.push(Action::SetReady(ready));
            self.log(LogEvent::Ready { ready });
        }
    }

    /// Asks the endpoints of the cells that this gateway owns how they stand.
    fn ask_reports(&mut self, now: Timestamp) {
        let cells: Vec<_> = self.table.cells().names().cloned().collect();
        let own = self.members.own().address;
        for (cell, ranked) in self.members.owners(&cells, 1) {
            if ranked.first().is_some_and(|owner| owner.address == own) {
                self.owners.ask_reports(&cell, &self.table, now);
            }
        }
    }
}
