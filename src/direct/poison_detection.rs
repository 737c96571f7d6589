//! Detection of poison requests: collects evidence of crashed endpoints from requests and owners,
//! exchanges suspects with other gateways, and distributes what is quarantined.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::members::HEARTBEAT_INTERVAL;
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::neighbours::Recipients;
use crate::direct::poison::RunReport;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{AnnouncedSuspect, Quarantined};
use crate::direct::poison::unanswered::{CrashedEndpoint, Verdict};
use crate::direct::published::documents::EntryState;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Interval at which one random peer is asked for suspects that this gateway lacks. A gateway that
/// missed updates, because it was cut off or not started yet, gets them in time. The message is a
/// digest of ten bytes where nothing differs.
const SUSPECTS_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

impl GatewayCore {
    /// Handles the result of a run that requests or owners report.
    pub(super) fn on_poison_report(&mut self, report: RunReport, now: Timestamp) {
        match report {
            RunReport::Unanswered { endpoint, runs, how } => {
                let verdict = self.broken.record(&endpoint, &runs, how, &self.table, now);
                self.apply_verdict(verdict, now);
            }
            RunReport::Succeeded(fingerprint) => {
                self.successes.record(fingerprint, now);
                self.clear(fingerprint, now);
            }
            RunReport::Refused(fingerprint) => {
                if self.suspects.is_refreshed_by(fingerprint, now) {
                    Arc::make_mut(&mut self.suspects).record_repeat(fingerprint, now);
                }
            }
        }
    }

    /// Clears a fingerprint that ran without a crash: it was not the cause of one.
    fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if !self.suspects.is_suspect(fingerprint) {
            return;
        }
        let quarantined = Arc::make_mut(&mut self.suspects).clear(fingerprint, now);
        self.log(LogEvent::Cleared { fingerprint: fingerprint.to_string() });
        self.share_suspects(quarantined, "own", now);
    }

    /// Handles the result of an endpoint's probe.
    pub(super) fn on_probed(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        is_closed: bool,
        now: Timestamp,
    ) {
        let verdict = self.broken.probed(endpoint, incarnation, is_closed, now);
        self.apply_verdict(verdict, now);
    }

    fn apply_verdict(&mut self, verdict: Verdict, now: Timestamp) {
        match verdict {
            Verdict::Crashed(crashed) => self.endpoints_crashed(vec![crashed], now),
            Verdict::Probe(endpoint) => self.probe_unless_paused(endpoint, now),
            Verdict::Wait => {}
        }
    }

    /// Checks changed endpoint entries for evidence of a crash.
    pub(super) fn check_entries_for_crashes(&mut self, ids: &[Name], now: Timestamp) {
        let documents = &self.documents;
        let is_gone = |id: &str| documents.entry_state(id) == EntryState::Removed;
        let crashed = self.broken.entries_changed(ids, &self.table, is_gone, now);
        self.endpoints_crashed(crashed, now);
    }

    fn endpoints_crashed(&mut self, crashed: Vec<CrashedEndpoint>, now: Timestamp) {
        if crashed.is_empty() {
            return;
        }
        let mut quarantined = Vec::new();
        for CrashedEndpoint { endpoint, mut runs, proof } in crashed {
            runs.retain(|run| !self.successes.contains(run.fingerprint, now));
            let suspects = Arc::make_mut(&mut self.suspects);
            quarantined.extend(suspects.record_crash(
                &endpoint.id,
                endpoint.incarnation,
                &runs,
                now,
            ));
            let rounds = runs.iter().map(|run| (run.fingerprint.to_string(), run.round));
            self.log(LogEvent::EndpointCrashed {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                proof,
                suspects: rounds.collect(),
            });
        }
        self.share_suspects(quarantined, "own", now);
        self.next_heartbeat = Timestamp::ZERO;
    }

    /// Merges the suspects that a peer sent.
    pub(super) fn suspects_received(
        &mut self,
        from: SocketAddr,
        accounts: &[AnnouncedSuspect],
        now: Timestamp,
    ) {
        let crashed = self.broken.crashes_reported(accounts, now);
        let updates = accounts.iter().filter(|account| self.suspects.is_new(account, now));
        let updates: Vec<AnnouncedSuspect> = updates.cloned().collect();
        if !updates.is_empty() {
            let mut quarantined = Arc::make_mut(&mut self.suspects).merge(&updates, now);
            let fingerprints = updates.iter().map(|account| account.fingerprint);
            let succeeded: Vec<_> =
                fingerprints.filter(|f| self.successes.contains(*f, now)).collect();
            quarantined.retain(|c| !succeeded.contains(&c.fingerprint));
            self.share_suspects(quarantined, &from.to_string(), now);
            succeeded.into_iter().for_each(|fingerprint| self.clear(fingerprint, now));
        }
        self.endpoints_crashed(crashed, now);
    }

    /// Responds to a peer that asks for suspects, unless its digest is the same.
    pub(super) fn suspects_requested(&mut self, from: SocketAddr, digest: u64, now: Timestamp) {
        if digest != self.suspects.digest() {
            self.send(from, PeerMessage::Suspects(self.suspects.announcements(now)));
        }
    }

    /// Distributes the current suspects to requests and owners.
    fn share_suspects(&mut self, quarantined: Vec<Quarantined>, source: &str, now: Timestamp) {
        for Quarantined { fingerprint, endpoints } in &quarantined {
            let (fingerprint, endpoints) = (fingerprint.to_string(), endpoints.clone());
            let source = source.to_owned();
            self.log(LogEvent::Quarantined { fingerprint, endpoints, source });
        }
        crate::metrics::poison_requests(self.suspects.quarantined_count());
        self.requests.set_suspects(self.suspects.clone());
        self.requests.quarantined(&quarantined, now);
        self.owners.set_suspects(&self.suspects, &quarantined, &self.table);
    }

    /// Sends suspect updates with a heartbeat to the same peers, removes expired suspects, and asks
    /// one of them for its suspects when that is due.
    pub(super) fn exchange_suspects(&mut self, recipients: &Recipients, now: Timestamp) {
        self.broken.expire(now);
        if self.suspects.has_expired(now) {
            Arc::make_mut(&mut self.suspects).expire(now);
            self.share_suspects(Vec::new(), "own", now);
        }
        if self.suspects.has_changes() {
            let updates = Arc::make_mut(&mut self.suspects).take_changes(now);
            let message = PeerMessage::Suspects(updates);
            self.out.push(Action::Broadcast { to: recipients.members(), message });
        }
        if now >= self.next_suspects_request
            && let Some(to) = recipients.members().into_iter().choose(&mut self.rng)
        {
            self.next_suspects_request = now + SUSPECTS_REQUEST_INTERVAL;
            self.send(to, PeerMessage::AskSuspects(self.suspects.digest()));
        }
    }

    /// Asks a peer for suspects with the next heartbeat, after a peer appeared: either side may
    /// have missed updates.
    pub(super) fn request_suspects_soon(&mut self, now: Timestamp) {
        self.next_suspects_request = self.next_suspects_request.min(now + HEARTBEAT_INTERVAL);
    }
}
