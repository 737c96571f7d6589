//! Published documents: merges what the publisher's store and peers send, pulls missing documents
//! from peers, and serves their pulls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::core::{GatewayCore, PUBLISHER};
use crate::direct::event::Action;
use crate::direct::log_events::{ListMerged, LogEvent, ms};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::OwnState;
use crate::direct::published::documents::{Document, Merged, Revised, Seen};
use crate::direct::published::evacuations::{EvacuationChange, Evacuations};
use crate::direct::published::figure_limits::limit_figures;
use crate::direct::published::list_position::{Extent, Verification};
use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::position::Position;
use crate::direct::published::store_read::StoreRead;
use crate::direct::store_reading::StoreUse;
use crate::direct::store_restore::{CompleteList, ListSender};
use crate::message::Timestamp;

/// Minimum wait of a watch of the publisher's store. A change that a silent connection does not
/// deliver is read by the next watch, soon enough even if all connections fall silent at once.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Average interval between the ends of two watches of all readers of the store. The first reader
/// whose new watch returns a change sends it to all others.
const WATCH_END_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay between a watch that returned changes and the next one. Endpoints write their
/// entries one after the other, and each watch is a call with a cost, so changes accumulate for
/// this long.
pub const MIN_WATCH_DELAY: Duration = Duration::from_millis(250);
/// Average interval at which the readers of the store resume watching after a change; the first one
/// sends the changes since to the others.
const WATCH_RESUME_INTERVAL: Duration = Duration::from_millis(60);
/// Random delay before a reread of the store in a new era, per gateway, since all gateways reread
/// everything.
const REREAD_DELAY_PER_GATEWAY: Duration = Duration::from_millis(4);
/// Maximum random delay before a reread of the store in a new era.
const MAX_REREAD_DELAY: Duration = Duration::from_secs(1);
/// Maximum wait of a watch; long, since each watch is a call with a cost.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of entries and removals of endpoints among documents.
fn count_entries(documents: &[Revised]) -> usize {
    documents.iter().filter(|revised| !revised.is_deployment()).count()
}

/// The list of a peer that sent entries.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerList {
    /// The position that the peer announces.
    pub announced: Position,
    /// How to verify that this gateway holds every change up to there; `None` if it can't.
    pub verification: Option<Verification>,
}

impl GatewayCore {
    /// How long a watch of the publisher's store waits. With 28 readers, whose watches end at
    /// random times every 7 s, none starts a new watch within 2.3 s in one of 70,000 cases.
    pub fn watch_timeout(&self) -> Duration {
        let watching = self.members.reader_count() as u32;
        (WATCH_END_INTERVAL * watching).clamp(MIN_WATCH_TIMEOUT, MAX_WATCH_TIMEOUT)
    }

    /// Range of the random delay between a watch that returned a change of the endpoint list and
    /// the next watch. The reader that resumes first sends the changes since to the others, so a
    /// change costs one call per reader only after a quiet period. 103 readers made 2,714 calls on
    /// a quiet day, and 4,051 when all of them resumed after 250 ms.
    pub fn watch_delay_range(&self) -> RangeInclusive<Duration> {
        let watching = self.members.reader_count() as u32;
        MIN_WATCH_DELAY
            ..=(WATCH_RESUME_INTERVAL * watching).clamp(MIN_WATCH_DELAY, MAX_WATCH_TIMEOUT)
    }

    /// Maximum of the random delay before this gateway rereads the store for an era that a peer
    /// reported.
    pub fn max_reread_delay(&self) -> Duration {
        let watching = self.members.reader_count() as u32;
        (REREAD_DELAY_PER_GATEWAY * watching).min(MAX_REREAD_DELAY)
    }

    /// Merges documents from the publisher's store.
    pub(super) fn on_published(&mut self, documents: Vec<Revised>, extent: Extent, now: Timestamp) {
        self.documents.set_publisher_available(true, now);
        if documents.iter().any(Revised::is_deployment) {
            self.pulls.read_ended();
            self.compare_published(&documents);
        }
        let (entries, before) = (count_entries(&documents), self.documents.seen().endpoints);
        let (merged, complete_to) = match extent {
            Extent::Partial => (self.documents.merge(documents, now), None),
            Extent::Changes { since, up_to } => {
                (self.documents.merge_changes(documents, since, up_to, now), Some(up_to))
            }
            Extent::Complete { at } => {
                let list = CompleteList { at, source: PUBLISHER, sender: ListSender::Publisher };
                (self.merge_complete_list(documents, list, now), Some(at))
            }
            Extent::Truncated => (self.documents.merge_truncated_list(documents, now), None),
        };
        self.log_list_merged(PUBLISHER, entries, complete_to, before);
        self.merged(&merged, PUBLISHER, true, now);
    }

    /// Handles a long or failed read of the publisher's store.
    pub(super) fn on_store_read(&mut self, read: &StoreRead) {
        // A complete read is followed by its documents, which end the read; only a failed one ends
        // here.
        if read.subject == StoreRead::CONFIGURATION && read.outcome != StoreRead::COMPLETE {
            self.pulls.read_ended();
        }
        self.log(LogEvent::store_read(read));
    }

    /// Merges the configuration that a peer sent.
    pub(super) fn on_configuration(
        &mut self,
        from: SocketAddr,
        position: Position,
        mut deployment: Arc<Deployment>,
        now: Timestamp,
    ) {
        self.pulls.answered(from, now);
        // A peer of an earlier build limits no figures.
        limit_figures(Arc::make_mut(&mut deployment));
        let document = Document::Deployment(deployment);
        let merged =
            self.documents.merge(vec![Revised { position, created_revision: 0, document }], now);
        self.log_pull(from, "answered");
        self.merged(&merged, &from.to_string(), false, now);
    }

    /// Merges endpoint entries that a peer sent; `list` is its list, if that is complete.
    pub(super) fn on_documents(
        &mut self,
        from: SocketAddr,
        mut documents: Vec<Revised>,
        list: Option<PeerList>,
        now: Timestamp,
    ) {
        let source = from.to_string();
        for revised in &mut documents {
            revised.position = self.eras.resolve(revised.position);
        }
        let (entries, before) = (count_entries(&documents), self.documents.seen().endpoints);
        let list = list.map(|l| PeerList { announced: self.eras.resolve(l.announced), ..l });
        let merged = match list {
            Some(list) => self.merge_peer_list(documents, list, &source, now),
            None => self.documents.merge(documents, now),
        };
        self.pulls.list_received();
        let complete_to = list.filter(|list| list.verification.is_some()).map(|l| l.announced);
        self.log_list_merged(&source, entries, complete_to, before);
        self.merged(&merged, &source, false, now);
        if let Some(announced) = complete_to.filter(|at| !self.documents.is_complete_to(*at)) {
            self.request_complete_list(from, announced, now);
        }
    }

    /// Merges entries of a peer that has a complete list.
    fn merge_peer_list(
        &mut self,
        documents: Vec<Revised>,
        list: PeerList,
        source: &str,
        now: Timestamp,
    ) -> Merged {
        let PeerList { announced: at, verification } = list;
        let is_newer_era = self.documents.received().era < at.era;
        match verification {
            Some(Verification::CompleteList) if !self.documents.is_complete_to(at) => {
                let list = CompleteList { at, source, sender: ListSender::Peer };
                self.merge_complete_list(documents, list, now)
            }
            // An outdated list: this gateway has received later changes meanwhile.
            Some(Verification::CompleteList) => self.documents.merge(documents, now),
            Some(Verification::Digest(digest)) => {
                self.documents.merge_verified(documents, at, digest, now)
            }
            // A build before form 11 sends its complete list to a gateway in an earlier era.
            None if is_newer_era => {
                let list = CompleteList { at, source, sender: ListSender::EarlierBuild };
                self.merge_complete_list(documents, list, now)
            }
            None => {
                self.documents.mark_list_received();
                self.documents.merge(documents, now)
            }
        }
    }

    /// Requests the complete list of a peer whose list up to `announced` differs from the own one:
    /// this gateway missed a change, or the removal of an entry is no longer remembered.
    fn request_complete_list(&mut self, peer: SocketAddr, announced: Position, now: Timestamp) {
        let own = self.documents.digest(announced).entries;
        self.log(LogEvent::ListDiffers { peer, announced: announced.revision, own });
        let seen = Seen { endpoints: Position::default(), ..self.documents.seen() };
        self.pulls.record_list_request(now);
        self.send(peer, PeerMessage::Pull { seen, configuration: false, number: 0 });
    }

    /// Logs a merge of endpoint entries. `complete_to` is the position up to which the source states
    /// that they are complete, `before` the position that this gateway announced before.
    fn log_list_merged(
        &mut self,
        source: &str,
        entries: usize,
        complete_to: Option<Position>,
        before: Position,
    ) {
        let announced = self.documents.seen().endpoints;
        if entries == 0 && before == announced {
            return;
        }
        self.log(LogEvent::ListMerged(ListMerged {
            source: source.to_owned(),
            entries,
            complete_to: complete_to.map(|at| at.revision),
            era: announced.era,
            before: before.revision,
            announced: announced.revision,
        }));
    }

    /// Logs the outcome of a pull.
    pub(super) fn log_pull(&mut self, peer: SocketAddr, outcome: &'static str) {
        let Seen { version, endpoints } = self.documents.seen();
        let Position { era, revision: endpoints } = endpoints;
        self.log(LogEvent::Pull { peer, outcome, version, era, endpoints });
    }

    /// State of this gateway's documents, from which pulls are derived.
    pub(super) fn pull_state(&self) -> OwnState {
        OwnState {
            seen: self.documents.seen(),
            complete: self.documents.is_complete(),
            is_starting: self.complete_since.is_none(),
            reads_store: self.store_reading.store_use() != StoreUse::Follow,
        }
    }

    /// Responds to a peer's pull with the endpoint entries that it lacks. `configuration` is the
    /// number of a pull that asks for a newer configuration, too.
    pub(super) fn on_pull(&mut self, from: SocketAddr, seen: Seen, configuration: Option<u64>) {
        let asks_for_all = seen.endpoints.revision == 0;
        let seen = Seen { endpoints: self.eras.resolve(seen.endpoints), ..seen };
        let own = self.documents.seen().endpoints;
        let is_complete_list = asks_for_all || seen.endpoints.era < own.era;
        let since = if is_complete_list { Position::default() } else { seen.endpoints };
        let documents = self.documents.endpoints_after(since);
        let newer =
            self.documents.deployment_after(seen.version).filter(|_| configuration.is_some());
        self.log(LogEvent::Pulled {
            peer: from,
            deployment: newer.is_some(),
            endpoints: documents.len(),
            since: since.revision,
            announced: own.revision,
        });
        let verification = self.verification(is_complete_list);
        let complete = self.documents.is_complete();
        let Position { era, revision: seen } = own;
        self.send(from, PeerMessage::Documents { documents, complete, seen, era, verification });
        match newer {
            Some((position, deployment)) => {
                let pull = configuration.unwrap_or_default();
                self.send(from, PeerMessage::configuration(position, deployment, pull));
            }
            None if configuration.is_some() => self.send(from, PeerMessage::NoConfiguration),
            None => {}
        }
    }

    /// How a peer verifies entries of this gateway, which are its complete list or those after the
    /// peer's position; `None` if this gateway's list may lack changes.
    fn verification(&self, is_complete_list: bool) -> Option<Verification> {
        if !self.documents.is_verified() {
            None
        } else if is_complete_list {
            Some(Verification::CompleteList)
        } else {
            Some(Verification::Digest(self.documents.digest(self.documents.seen().endpoints)))
        }
    }

    /// Handles a pull to which a peer sends no configuration.
    pub(super) fn pull_failed(
        &mut self,
        peer: SocketAddr,
        pull: u64,
        outcome: &'static str,
        now: Timestamp,
    ) {
        if self.pulls.failed(peer, pull, now) {
            self.log_pull(peer, outcome);
        }
    }

    /// Logs that a newer configuration is in force, and since when a peer had announced it.
    pub(super) fn log_configured(&mut self, before: u64, source: &str, now: Timestamp) {
        let version = self.documents.deployment().version;
        let announced = self.pulls.configured(version, now);
        self.log(LogEvent::Configured {
            version,
            before,
            source: source.to_owned(),
            known_ms: announced.map_or(0, |t| ms(now.saturating_sub(t.at))),
            known_from: announced.map(|t| t.peer),
        });
    }

    /// Applies a merge: logs the changes, updates the table, and informs requests and owners. With
    /// `spread`, a heartbeat is sent at once, so that peers learn of changes from the publisher's
    /// store.
    pub(super) fn merged(&mut self, merged: &Merged, source: &str, spread: bool, now: Timestamp) {
        for departure in &merged.departed {
            self.on_departure(departure.clone(), source, now);
        }
        if let Some(before) = merged.previous_version {
            self.log_configured(before, source, now);
            self.out.push(Action::SetCallerLimits(self.documents.deployment().limits.clone()));
        }
        for id in &merged.endpoints {
            let state = self.documents.entry_state(id);
            let entry = self.documents.endpoint(id).map(|endpoint| &**endpoint);
            self.out.push(Action::Log(LogEvent::endpoint(id, state, entry, source)));
        }
        if merged.is_empty() {
            return;
        }
        if merged.previous_version.is_some() {
            let deployment = self.documents.deployment().clone();
            self.table = self.table.with_deployment(deployment, self.documents.endpoints());
        } else {
            for id in &merged.endpoints {
                self.table.replace_endpoint(id, self.documents.endpoint(id));
            }
            self.table.rebuild_cells();
        }
        for id in &merged.restarted {
            let incarnation = self.documents.endpoint(id).map_or(0, |e| e.incarnation);
            self.log(LogEvent::Restarted { endpoint: id.clone(), incarnation });
        }
        // The expiry of an entry brings no new information about its endpoint.
        let entered = merged.endpoints.iter().filter(|id| self.documents.is_listed(id));
        let entered = entered.filter_map(|id| self.documents.endpoint(id));
        let entered: Vec<Arc<Endpoint>> = entered.cloned().collect();
        for endpoint in entered.iter().filter(|e| !e.cold_for.is_zero()) {
            let cold_ms = ms(endpoint.cold_for);
            self.log(LogEvent::Cold { endpoint: endpoint.id.clone(), cold_ms });
        }
        self.requests.table_changed(&self.table, merged, &entered, now);
        self.owners.table_changed(&self.table, merged, &entered, now);
        self.check_entries_for_crashes(&merged.endpoints, now);
        if spread {
            self.next_heartbeat = Timestamp::ZERO;
        }
    }

    /// Merges evacuation orders from the publisher's store: some changes, or all orders in force at
    /// `snapshot_at`.
    pub(super) fn evacuations_published(
        &mut self,
        changes: &[EvacuationChange],
        snapshot_at: Option<Position>,
        now: Timestamp,
    ) {
        let mut evacuations = self.evacuations.clone();
        match snapshot_at {
            Some(at) => evacuations.merge(&Evacuations::from_read(changes, at)),
            None => changes.iter().for_each(|change| evacuations.apply(change)),
        }
        for change in changes.iter().filter(|change| evacuations.is_rejected(change)) {
            let key = change.data_centre.to_string();
            self.log(LogEvent::Unreadable { key, cause: "too many evacuation orders".to_owned() });
        }
        if self.evacuations_merged(evacuations, PUBLISHER, now) {
            self.next_heartbeat = Timestamp::ZERO;
        }
    }

    /// Merges the evacuation orders that a peer knows.
    pub(super) fn evacuations_received(
        &mut self,
        from: SocketAddr,
        received: &Evacuations,
        now: Timestamp,
    ) {
        if *received == self.evacuations {
            return;
        }
        let mut evacuations = self.evacuations.clone();
        evacuations.merge(&received.with_era(&self.eras));
        self.evacuations_merged(evacuations, &from.to_string(), now);
    }

    /// Applies evacuation orders to everything that is not sent yet; returns whether any changed.
    fn evacuations_merged(&mut self, known: Evacuations, source: &str, now: Timestamp) -> bool {
        self.unconfirmed_orders.on_change(&self.evacuated, &self.evacuations, &known, now);
        self.evacuations = known;
        self.apply_orders(source, now)
    }

    /// Lifts orders from before an era that were not written again in time: they count as
    /// withdrawn.
    pub(super) fn confirm_orders(&mut self, now: Timestamp) {
        if self.unconfirmed_orders.expire(now) {
            self.apply_orders("not confirmed", now);
        }
    }

    /// Applies the orders that are in force and confirmed; returns whether that changed anything.
    fn apply_orders(&mut self, source: &str, now: Timestamp) -> bool {
        let standing = self.unconfirmed_orders.in_force(self.evacuations.evacuated());
        let before = std::mem::replace(&mut self.evacuated, standing.clone());
        if before == standing {
            return false;
        }
        for data_centre in &before ^ &standing {
            let affected = self.documents.endpoints().filter(|e| e.data_centre == data_centre);
            self.log(LogEvent::Evacuation {
                stands: standing.contains(&data_centre),
                endpoints: affected.count(),
                data_centre,
                source: source.to_owned(),
            });
        }
        let returned: BTreeSet<Name> = &before - &standing;
        self.table.set_evacuated(standing, self.documents.endpoints());
        self.requests.table_changed(&self.table, &Merged::default(), &[], now);
        self.owners.table_changed(&self.table, &Merged::default(), &[], now);
        self.requests.data_centres_returned(&returned, &self.table, now);
        self.owners.data_centres_returned(&returned, &self.table, now);
        true
    }

    /// Pulls documents that peers have and this gateway lacks.
    pub(super) fn pull_missing_documents(&mut self, now: Timestamp) {
        let own = self.pull_state();
        let due = self.pulls.due(own, &self.members, &mut self.rng, now);
        for peer in due.timed_out {
            self.log_pull(peer, "silent");
        }
        let seen = if own.complete { own.seen } else { Seen::default() };
        if let Some(peer) = due.list {
            self.send(peer, PeerMessage::Pull { seen, configuration: false, number: 0 });
        }
        if let Some((peer, number)) = due.configuration {
            self.log_pull(peer, "asked");
            let (seen, configuration) = (own.seen, true);
            self.send(peer, PeerMessage::Pull { seen, configuration, number });
        }
    }
}
