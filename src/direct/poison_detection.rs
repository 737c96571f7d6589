//! Detection of poison requests: collects evidence of crashed endpoints from requests and owners,
//! exchanges suspects with other gateways, and distributes what is quarantined.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, PoisonEvent};
use crate::direct::peers::members::HEARTBEAT_INTERVAL;
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::neighbours::Recipients;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Quarantined, SuspectUpdate};
use crate::direct::poison::unanswered::{CrashedEndpoint, Verdict};
use crate::direct::poison::{Run, RunReport, SubjectKind};
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
            RunReport::Survived { parts, began_at } => {
                let suspects = self.suspects.clone();
                let cleared = parts.into_iter().filter(|p| suspects.is_exonerated(*p, began_at));
                cleared.for_each(|part| self.clear(part, now));
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
        let fingerprint = fingerprint.to_string();
        self.log(LogEvent::Poison(PoisonEvent::Cleared { fingerprint }));
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
            let rounds = |kind| {
                let of_kind = runs.iter().filter(move |run: &&Run| run.kind == kind);
                of_kind.map(|run| (run.fingerprint.to_string(), run.round)).collect()
            };
            self.log(LogEvent::Poison(PoisonEvent::EndpointCrashed {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                proof,
                suspects: rounds(SubjectKind::Content),
                prompt_parts: rounds(SubjectKind::PromptPart),
            }));
        }
        self.share_suspects(quarantined, "own", now);
        self.next_heartbeat = Timestamp::ZERO;
    }

    /// Merges the suspects of a kind that a peer sent.
    pub(super) fn suspects_received(
        &mut self,
        from: SocketAddr,
        kind: SubjectKind,
        received: &[SuspectUpdate],
        now: Timestamp,
    ) {
        let crashed = self.broken.crashes_reported(received, now);
        let updates = received.iter().filter(|update| self.suspects.is_new(&update.suspect, now));
        let updates: Vec<SuspectUpdate> = updates.cloned().collect();
        if !updates.is_empty() {
            let mut quarantined = Arc::make_mut(&mut self.suspects).merge(kind, &updates, now);
            let fingerprints = updates.iter().map(|update| update.suspect.fingerprint);
            let succeeded: Vec<_> =
                fingerprints.filter(|f| self.successes.contains(*f, now)).collect();
            quarantined.retain(|c| !succeeded.contains(&c.fingerprint));
            self.share_suspects(quarantined, &from.to_string(), now);
            succeeded.into_iter().for_each(|fingerprint| self.clear(fingerprint, now));
        }
        self.endpoints_crashed(crashed, now);
    }

    /// Responds to a peer that asks for suspects of a kind, unless its digest is the same.
    pub(super) fn suspects_requested(
        &mut self,
        from: SocketAddr,
        kind: SubjectKind,
        digest: u64,
        now: Timestamp,
    ) {
        if digest != self.suspects.digest(kind) {
            let suspects = self.suspects.announcements(kind, now);
            self.send(from, PeerMessage::suspects(kind, suspects));
        }
    }

    /// Distributes the current suspects to requests and owners.
    fn share_suspects(&mut self, quarantined: Vec<Quarantined>, source: &str, now: Timestamp) {
        for Quarantined { kind, fingerprint, endpoints } in &quarantined {
            self.log(LogEvent::Poison(PoisonEvent::Quarantined {
                kind: kind.as_str(),
                fingerprint: fingerprint.to_string(),
                endpoints: endpoints.clone(),
                source: source.to_owned(),
            }));
        }
        let count = |kind| self.suspects.quarantined_count(kind);
        crate::metrics::poison(count(SubjectKind::Content), count(SubjectKind::PromptPart));
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
        self.update_quarantine(now);
        if self.suspects.has_changes() {
            SubjectKind::ALL.into_iter().for_each(|kind| self.send_changes(kind, recipients, now));
        }
        if now >= self.next_suspects_request
            && let Some(to) = recipients.members().into_iter().choose(&mut self.rng)
        {
            self.next_suspects_request = now + SUSPECTS_REQUEST_INTERVAL;
            SubjectKind::ALL.into_iter().for_each(|kind| self.ask_suspects(to, kind));
        }
    }

    /// Quarantines parts of prompts that have now been observed for long enough.
    fn update_quarantine(&mut self, now: Timestamp) {
        if self.suspects.is_quarantine_due(now) {
            let quarantined = Arc::make_mut(&mut self.suspects).update_quarantine(now);
            self.share_suspects(quarantined, "own", now);
        }
    }

    fn ask_suspects(&mut self, to: SocketAddr, kind: SubjectKind) {
        if self.builds.knows(to, kind) {
            self.send(to, PeerMessage::ask_suspects(kind, self.suspects.digest(kind)));
        }
    }

    /// Sends updates of a kind to the peers that know it.
    fn send_changes(&mut self, kind: SubjectKind, recipients: &Recipients, now: Timestamp) {
        let updates = Arc::make_mut(&mut self.suspects).take_changes(kind, now);
        let mut to = recipients.members();
        to.retain(|peer| self.builds.knows(*peer, kind));
        if !updates.is_empty() {
            let message = PeerMessage::suspects(kind, updates);
            self.out.push(Action::Broadcast { to, message });
        }
    }

    /// Asks a peer for suspects with the next heartbeat, after a peer appeared: either side may
    /// have missed updates.
    pub(super) fn request_suspects_soon(&mut self, now: Timestamp) {
        self.next_suspects_request = self.next_suspects_request.min(now + HEARTBEAT_INTERVAL);
    }
}
