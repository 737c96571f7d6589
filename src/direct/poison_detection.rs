//! Detection of poison requests: collects evidence of crashed endpoints from requests and owners,
//! exchanges suspects with other gateways, and distributes what is quarantined.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::members::HEARTBEAT;
use crate::direct::peers::message::PeerMessage;
use crate::direct::poison::Report;
use crate::direct::poison::broken::{Crashed, Verdict};
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::poison::suspects::{Account, Quarantined};
use crate::direct::published::documents::EntryState;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Interval at which one random peer is asked for suspects that this gateway lacks. A gateway that
/// missed updates, because it was cut off or not started yet, gets them in time. The message is a
/// digest of ten bytes where nothing differs.
const ASKED_EVERY: Duration = Duration::from_secs(2);

impl GatewayCore {
    /// Handles the result of a run that requests or owners report.
    pub(super) fn poison_reported(&mut self, report: Report, now: Timestamp) {
        match report {
            Report::Unanswered { endpoint, runs, how } => {
                let verdict = self.broken.unanswered(&endpoint, &runs, how, &self.table, now);
                self.follow(verdict, now);
            }
            Report::Succeeded(fingerprint) => {
                self.successes.ran(fingerprint, now);
                self.clear(fingerprint, now);
            }
            Report::Refused(fingerprint) => {
                if self.suspects.is_refreshed_by(fingerprint, now) {
                    Arc::make_mut(&mut self.suspects).came(fingerprint, now);
                }
            }
        }
    }

    /// Clears a fingerprint that ran without a crash: it was not the cause of one.
    fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if !self.suspects.knows(fingerprint) {
            return;
        }
        let quarantined = Arc::make_mut(&mut self.suspects).clear(fingerprint, now);
        self.log(LogEvent::Cleared { fingerprint: fingerprint.to_string() });
        self.hand_out_suspects(quarantined, "own", now);
    }

    /// Handles the result of an endpoint's probe.
    pub(super) fn probed(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        is_closed: bool,
        now: Timestamp,
    ) {
        let verdict = self.broken.probed(endpoint, incarnation, is_closed, now);
        self.follow(verdict, now);
    }

    fn follow(&mut self, verdict: Verdict, now: Timestamp) {
        match verdict {
            Verdict::Crashed(crashed) => self.endpoints_crashed(vec![crashed], now),
            Verdict::Probe(endpoint) => self.probe_unless_paused(endpoint, now),
            Verdict::Wait => {}
        }
    }

    /// Checks changed endpoint entries for evidence of a crash.
    pub(super) fn entries_may_prove(&mut self, ids: &[Name], now: Timestamp) {
        let documents = &self.documents;
        let is_gone = |id: &str| documents.state(id) == EntryState::Gone;
        let crashed = self.broken.changed(ids, &self.table, is_gone, now);
        self.endpoints_crashed(crashed, now);
    }

    fn endpoints_crashed(&mut self, crashed: Vec<Crashed>, now: Timestamp) {
        if crashed.is_empty() {
            return;
        }
        let mut quarantined = Vec::new();
        for Crashed { endpoint, mut runs, proof } in crashed {
            runs.retain(|run| !self.successes.has(run.fingerprint, now));
            let suspects = Arc::make_mut(&mut self.suspects);
            quarantined.extend(suspects.crashed(&endpoint.id, endpoint.incarnation, &runs, now));
            let rounds = runs.iter().map(|run| (run.fingerprint.to_string(), run.round));
            self.log(LogEvent::EndpointCrashed {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                proof,
                suspects: rounds.collect(),
            });
        }
        self.hand_out_suspects(quarantined, "own", now);
        self.next_beat = Timestamp::ZERO;
    }

    /// Merges the suspects that a peer sent.
    pub(super) fn suspects_told(&mut self, from: SocketAddr, told: &[Account], now: Timestamp) {
        let crashed = self.broken.told(told, now);
        let news = told.iter().filter(|account| self.suspects.is_news(account, now));
        let news: Vec<Account> = news.cloned().collect();
        if !news.is_empty() {
            let mut quarantined = Arc::make_mut(&mut self.suspects).told(&news, now);
            let told = news.iter().map(|account| account.fingerprint);
            let well: Vec<_> = told.filter(|f| self.successes.has(*f, now)).collect();
            quarantined.retain(|c| !well.contains(&c.fingerprint));
            self.hand_out_suspects(quarantined, &from.to_string(), now);
            well.into_iter().for_each(|fingerprint| self.clear(fingerprint, now));
        }
        self.endpoints_crashed(crashed, now);
    }

    /// Responds to a peer that asks for suspects, unless its digest is the same.
    pub(super) fn suspects_asked(&mut self, from: SocketAddr, digest: u64, now: Timestamp) {
        if digest != self.suspects.digest() {
            self.tell(from, PeerMessage::Suspects(self.suspects.accounts(now)));
        }
    }

    /// Distributes the current suspects to requests and owners.
    fn hand_out_suspects(&mut self, quarantined: Vec<Quarantined>, source: &str, now: Timestamp) {
        for Quarantined { fingerprint, endpoints } in &quarantined {
            let (fingerprint, endpoints) = (fingerprint.to_string(), endpoints.clone());
            let source = source.to_owned();
            self.log(LogEvent::Quarantined { fingerprint, endpoints, source });
        }
        crate::metrics::poison(self.suspects.poison());
        self.requests.set_suspects(self.suspects.clone());
        self.requests.quarantined(&quarantined, now);
        self.owners.set_suspects(&self.suspects, &quarantined, &self.table);
    }

    /// Sends suspect updates with a heartbeat to the same peers, removes expired suspects, and asks
    /// a random peer for its suspects when that is due.
    pub(super) fn tell_suspects(&mut self, to: &[SocketAddr], now: Timestamp) {
        self.broken.forget(now);
        if self.suspects.is_outdated(now) {
            Arc::make_mut(&mut self.suspects).forget(now);
            self.hand_out_suspects(Vec::new(), "own", now);
        }
        if self.suspects.has_news() {
            let news = Arc::make_mut(&mut self.suspects).news(now);
            let message = PeerMessage::Suspects(news);
            self.out.push(Action::Broadcast { to: to.to_vec(), message });
        }
        if now >= self.next_ask
            && let Some(peer) = self.members.alive().choose(&mut self.rng)
        {
            let to = peer.address;
            self.next_ask = now + ASKED_EVERY;
            self.tell(to, PeerMessage::AskSuspects(self.suspects.digest()));
        }
    }

    /// Asks a peer for suspects with the next heartbeat: a peer is new or back, and either side may
    /// have missed updates.
    pub(super) fn ask_suspects_soon(&mut self, now: Timestamp) {
        self.next_ask = self.next_ask.min(now + HEARTBEAT);
    }
}
