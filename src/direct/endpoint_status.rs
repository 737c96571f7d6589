//! Endpoint status headers: departures, pauses, cold starts and rate limits that endpoints announce
//! in responses. They apply to everything that this gateway sends, whatever kind of call the
//! response belongs to and however that call ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::departures::Departure;
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::published::documents::{EntryState, Merged};
use crate::direct::published::model::Endpoint;
use crate::direct::statement::{Backoff, CallKind, RateLimit, Statement};
use crate::message::Timestamp;

impl GatewayCore {
    /// Handles the status headers of a response: `sent` is when the message was sent, `at` when the
    /// response's head was read.
    pub(super) fn on_endpoint_status(
        &mut self,
        endpoint: &Arc<Endpoint>,
        asked: CallKind,
        statement: Statement,
        (sent, at): (Timestamp, Timestamp),
        now: Timestamp,
    ) {
        let departure = Departure::of(endpoint);
        let is_known = self.departures.contains(&departure);
        let paused_until = statement.backoff.and_then(|b| self.start_pause(endpoint, b, at, now));
        if statement.leaving {
            self.on_departure(departure, asked.as_str(), now);
        }
        let turns_cold =
            statement.cold.is_some_and(|left| self.update_cold(endpoint, left, at, now));
        let leaves = statement.leaving && !is_known;
        let is_new_limit =
            statement.limit.is_some_and(|limit| self.on_limit_status(endpoint, limit, sent, now));
        if !leaves && statement.backoff.is_none() && !turns_cold && !is_new_limit {
            return;
        }
        let backoff_ms = match statement.backoff {
            Some(Backoff::For(time)) => Some(ms(time)),
            Some(Backoff::Unclear) | None => None,
        };
        self.log(LogEvent::EndpointStatus {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            asked: asked.as_str(),
            leaving: statement.leaving,
            backoff_ms,
            unclear: statement.backoff == Some(Backoff::Unclear),
            age_ms: ms(now.saturating_sub(at)),
            paused_ms: paused_until.map(|until| ms(until.saturating_sub(now))),
            cold_ms: statement.cold.map(ms),
            limit: match statement.limit {
                Some(RateLimit::At(rate)) => Some(rate.as_per_second()),
                Some(RateLimit::None) | None => None,
            },
        });
    }

    /// Records how much longer an endpoint is cold; returns whether it counted as warm until now.
    ///
    /// Owners are informed, too: whichever call the endpoint responded to, all calls of this
    /// gateway share its reduced capacity.
    fn update_cold(
        &mut self,
        endpoint: &Endpoint,
        left: Duration,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let was_cold = self.requests.cold_announced(endpoint, left, at, now);
        self.owners.cold_announced(endpoint, left, at);
        !left.is_zero() && !was_cold
    }

    /// Handles departures that a peer reports.
    pub(super) fn departures_received(
        &mut self,
        from: SocketAddr,
        departures: Vec<Departure>,
        now: Timestamp,
    ) {
        for departure in departures {
            self.on_departure(departure, &from.to_string(), now);
        }
    }

    /// Handles the departure of an incarnation of an endpoint, announced by itself or by a peer.
    ///
    /// The table marks the endpoint as leaving. So everything that avoids endpoints that the list
    /// marks as leaving avoids this one from now on, at any stage of a request; separate rules for
    /// each way of calling would miss one.
    pub(super) fn on_departure(&mut self, departure: Departure, source: &str, now: Timestamp) {
        let was_full = self.departures.is_full();
        if !self.departures.record(departure.clone(), now) {
            return;
        }
        if was_full {
            self.prune_departures();
        }
        let is_same_incarnation =
            |endpoint: &&Arc<Endpoint>| endpoint.incarnation == departure.incarnation;
        let endpoint =
            self.documents.endpoint(&departure.endpoint).filter(is_same_incarnation).cloned();
        let is_new = endpoint.as_ref().is_some_and(|endpoint| !endpoint.leaving);
        let (id, incarnation) = (departure.endpoint.clone(), departure.incarnation);
        let listed = self.documents.endpoint(&id).cloned();
        self.table.mark_departed(departure, listed.as_ref());
        self.out.push(Action::BlockSends { endpoint: id.clone(), incarnation, until: None });
        if !is_new {
            return;
        }
        self.log(LogEvent::endpoint(&id, EntryState::Leaving, listed.as_deref(), source));
        self.requests.table_changed(&self.table, &Merged::default(), &[], now);
        self.owners.table_changed(&self.table, &Merged::default(), &[], now);
        self.check_entries_for_crashes(&[id], now);
    }

    /// Starts the pause that an endpoint asked for; returns its end if it is new.
    ///
    /// Requests and owners share it: the pause is for this gateway, not for the part of it that
    /// sent the request.
    fn start_pause(
        &mut self,
        endpoint: &Arc<Endpoint>,
        backoff: Backoff,
        at: Timestamp,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let until = Arc::make_mut(&mut self.backoffs).record(endpoint, backoff, at)?;
        let (id, incarnation) = (endpoint.id.clone(), endpoint.incarnation);
        self.out.push(Action::BlockSends { endpoint: id, incarnation, until: Some(until) });
        self.requests.paused(endpoint, until, &self.backoffs, &self.table, now);
        self.owners.paused(endpoint, &self.backoffs, &self.table, now);
        Some(until)
    }

    /// Removes departures from the table that are no longer kept.
    fn prune_departures(&mut self) {
        let departures = &self.departures;
        self.table.retain_departures(|departure| departures.contains(departure));
    }

    /// Whether the list already marks the endpoint of a departure as leaving, or no longer has it.
    fn is_listed_as_leaving(&self, departure: &Departure) -> bool {
        match self.documents.entry_state(&departure.endpoint) {
            EntryState::Leaving | EntryState::Removed => true,
            EntryState::Listed | EntryState::Expired => false,
        }
    }

    /// Returns the departures to send with the next heartbeat, and removes expired ones.
    pub(super) fn departure_updates(&mut self, now: Timestamp) -> Vec<Departure> {
        if self.departures.is_empty() {
            return Vec::new();
        }
        let documents = &self.documents;
        let is_listed = |departure: &Departure| {
            let endpoint = documents.endpoint(&departure.endpoint);
            endpoint.is_some_and(|e| e.incarnation == departure.incarnation)
        };
        if self.departures.expire(is_listed, now) {
            self.prune_departures();
        }
        let mut departures = std::mem::take(&mut self.departures);
        let updates = departures.take_changes(|departure| self.is_listed_as_leaving(departure));
        self.departures = departures;
        updates
    }

    /// Departures to send to a peer that is new.
    pub(super) fn all_departures(&self) -> Vec<Departure> {
        self.departures.newest(|departure| self.is_listed_as_leaving(departure))
    }

    /// Probes an endpoint, or defers the probe to the end of its pause; until then its entry may
    /// show whether it crashed.
    pub(super) fn probe_unless_paused(&mut self, endpoint: Arc<Endpoint>, now: Timestamp) {
        match self.backoffs.paused_until(&endpoint, now) {
            Some(until) => {
                self.deferred_probes.insert(endpoint.id.clone(), (until, endpoint));
            }
            None => self.out.push(Action::Probe(endpoint)),
        }
    }

    /// Sends deferred probes whose pauses are over.
    pub(super) fn send_deferred_probes(&mut self, now: Timestamp) {
        if self.deferred_probes.is_empty() {
            return;
        }
        let due = self.deferred_probes.extract_if(.., |_, (until, _)| now >= *until);
        let due: Vec<Arc<Endpoint>> = due.map(|(_, (_, endpoint))| endpoint).collect();
        for endpoint in due {
            self.probe_unless_paused(endpoint, now);
        }
    }
}
