//! How a gateway follows what is published: it merges what comes from the publisher's store and from
//! peers, asks peers for what it lacks, and gives them what they ask for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::core::{GatewayCore, PUBLISHER};
use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::Own;
use crate::direct::published::documents::{Document, Merged, Revised, Seen};
use crate::direct::published::evacuations::{Evacuation, Evacuations};
use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::position::Position;
use crate::direct::published::store_read::StoreRead;
use crate::message::Timestamp;

/// A watch of the publisher's store waits for so long where few gateways watch: what one over a silent
/// connection doesn't tell is known after that, in time also where all connections fall silent at once.
const SHORTEST_WATCH: Duration = Duration::from_secs(2);
/// Where many do, the first of them to ask again tells all: their watches end this often together.
const WATCH_ENDS: Duration = Duration::from_millis(250);
/// Endpoints write their entries one after the other, and each watch that hears of one is a call that costs:
/// between two that heard something, changes gather for so long at least.
pub const SHORTEST_GATHER: Duration = Duration::from_millis(250);
/// Where many gateways watch, one of them goes on this often after a change, and tells the others. Beyond 133
/// gateways, where [`LONGEST_WATCH`] bounds the rest, calls grow with the gateways.
const GATHER_ENDS: Duration = Duration::from_millis(60);
/// After an era has begun all gateways read everything anew: within so long for each of them, ...
const REREAD_EACH: Duration = Duration::from_millis(4);
/// ... and no later than that.
const LONGEST_REREAD: Duration = Duration::from_secs(1);
/// Each watch is a call that costs.
const LONGEST_WATCH: Duration = Duration::from_secs(8);

impl GatewayCore {
    /// How long a watch of the publisher's store waits. Of 28 gateways, whose watches end at random times
    /// every 7 s, none asks again within 2.3 s once in 70,000 times.
    pub fn watch_wait(&self) -> Duration {
        let watching = self.members.alive().count() as u32 + 1;
        (WATCH_ENDS * watching).clamp(SHORTEST_WATCH, LONGEST_WATCH)
    }

    /// Between which times a gateway that heard of a change of the list goes on to watch. Whoever goes on
    /// first tells the others what came meanwhile, so a change costs a call of each gateway only after a quiet
    /// time. Of 103 gateways 2,714 calls came on a quiet day, and 4,051 when all went on after 250 ms.
    pub fn gather_within(&self) -> RangeInclusive<Duration> {
        let watching = self.members.alive().count() as u32 + 1;
        SHORTEST_GATHER..=(GATHER_ENDS * watching).clamp(SHORTEST_GATHER, LONGEST_WATCH)
    }

    /// The random delay before a gateway reads everything again for an era that a peer reported.
    pub fn reread_within(&self) -> Duration {
        let watching = self.members.alive().count() as u32 + 1;
        (REREAD_EACH * watching).min(LONGEST_REREAD)
    }

    /// The publisher's store gave documents, or the whole list as it stood at `snapshot_at`.
    pub(super) fn published(
        &mut self,
        documents: Vec<Revised>,
        snapshot_at: Option<Position>,
        now: Timestamp,
    ) {
        self.documents.publisher(true, now);
        if documents.iter().any(Revised::is_deployment) {
            self.pulls.read_ended();
            self.compare_published(&documents);
        }
        let merged = match snapshot_at {
            Some(at) => {
                self.observe_era(at.era, PUBLISHER);
                self.merge_whole(documents, at, PUBLISHER, now)
            }
            None => self.documents.merge(documents, now),
        };
        self.merged(&merged, PUBLISHER, true, now);
    }

    /// A read of the publisher's store was long, or failed.
    pub(super) fn store_read(&mut self, read: &StoreRead) {
        // What a whole one gave follows as published; until then it is on its way.
        if read.subject == StoreRead::CONFIGURATION && read.outcome != StoreRead::WHOLE {
            self.pulls.read_ended();
        }
        self.log(LogEvent::store_read(read));
    }

    /// A peer sent its configuration.
    pub(super) fn on_configuration(
        &mut self,
        from: SocketAddr,
        position: Position,
        deployment: Arc<Deployment>,
        now: Timestamp,
    ) {
        self.pulls.answered(from);
        let document = Document::Deployment(deployment);
        let merged = self.documents.merge(vec![Revised { position, made: 0, document }], now);
        self.log_pull(from, "answered");
        self.merged(&merged, &from.to_string(), false, now);
    }

    /// A peer sent entries of endpoints: the whole list with `listed_at`, up to where it has seen them.
    ///
    /// Who is in an earlier era than the peer gets all that the peer has: whatever else is known is not there any more.
    pub(super) fn on_documents(
        &mut self,
        from: SocketAddr,
        mut documents: Vec<Revised>,
        listed_at: Option<Position>,
        now: Timestamp,
    ) {
        let source = from.to_string();
        for revised in &mut documents {
            revised.position = self.eras.adopt(revised.position);
        }
        let listed_at = listed_at.map(|at| self.eras.adopt(at));
        let own = self.documents.seen().endpoints;
        let merged = match listed_at {
            Some(at) if own.era < at.era => {
                self.observe_era(at.era, &source);
                self.merge_whole(documents, at, &source, now)
            }
            _ => self.documents.merge(documents, now),
        };
        if let Some(seen) = listed_at {
            self.documents.note_listed(seen);
        }
        self.pulls.list_came();
        self.merged(&merged, &source, false, now);
    }

    /// Tells what became of a pull.
    pub(super) fn log_pull(&mut self, peer: SocketAddr, outcome: &'static str) {
        let Seen { version, endpoints } = self.documents.seen();
        let Position { era, revision: endpoints } = endpoints;
        self.log(LogEvent::Pull { peer, outcome, version, era, endpoints });
    }

    /// What this gateway has.
    pub(super) fn own(&self) -> Own {
        Own {
            seen: self.documents.seen(),
            complete: self.documents.is_complete(),
            is_starting: self.complete_since.is_none(),
        }
    }

    /// A peer asks for what it lacks: entries of endpoints, and with `configuration`, the number of its
    /// pull, also a newer configuration.
    pub(super) fn on_pull(&mut self, from: SocketAddr, seen: Seen, configuration: Option<u64>) {
        let seen = Seen { endpoints: self.eras.adopt(seen.endpoints), ..seen };
        let documents = self.documents.endpoints_after(seen.endpoints);
        let complete = self.documents.is_complete();
        let newer =
            self.documents.deployment_after(seen.version).filter(|_| configuration.is_some());
        let (deployment, endpoints) = (newer.is_some(), documents.len());
        self.log(LogEvent::Pulled { peer: from, deployment, endpoints });
        let Position { era, revision: seen } = self.documents.seen().endpoints;
        self.tell(from, PeerMessage::Documents { documents, complete, seen, era });
        match newer {
            Some((Position { era, revision }, deployment)) => {
                let pull = configuration.unwrap_or_default();
                self.tell(from, PeerMessage::Configuration { revision, deployment, pull, era });
            }
            None if configuration.is_some() => self.tell(from, PeerMessage::NoConfiguration),
            None => {}
        }
    }

    /// A peer gives no configuration to this pull.
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

    /// Tells that a newer configuration is in force, and since when it was known of.
    pub(super) fn log_configured(&mut self, before: u64, source: &str, now: Timestamp) {
        let version = self.documents.deployment().version;
        let told = self.pulls.configured(version, now);
        self.log(LogEvent::Configured {
            version,
            before,
            source: source.to_owned(),
            known_ms: told.map_or(0, |t| ms(now.saturating_sub(t.at))),
            known_from: told.map(|t| t.peer),
        });
    }

    /// What follows from a merge: lines, the table, and with `spread` a heartbeat at once, so that peers hear
    /// of what the publisher gave.
    pub(super) fn merged(&mut self, merged: &Merged, source: &str, spread: bool, now: Timestamp) {
        for life in &merged.leaving_on {
            self.departed(life.clone(), source, now);
        }
        if let Some(before) = merged.deployment {
            self.log_configured(before, source, now);
            self.out.push(Action::SetCallerLimits(self.documents.deployment().limits.clone()));
        }
        for id in &merged.endpoints {
            let state = self.documents.state(id).as_str();
            let (endpoint, source) = (id.clone(), source.to_owned());
            self.out.push(Action::Log(LogEvent::Endpoint { endpoint, state, source }));
        }
        if merged.is_empty() {
            return;
        }
        if merged.deployment.is_some() {
            let deployment = self.documents.deployment().clone();
            self.table = self.table.with_deployment(deployment, self.documents.endpoints());
        } else {
            for id in &merged.endpoints {
                self.table.replace(id, self.documents.endpoint(id));
            }
            self.table.regroup();
        }
        for id in &merged.restarted {
            let incarnation = self.documents.endpoint(id).map_or(0, |e| e.incarnation);
            self.log(LogEvent::Restarted { endpoint: id.clone(), incarnation });
        }
        // An entry that lapsed tells nothing new.
        let entered = merged.endpoints.iter().filter(|id| self.documents.is_listed(id));
        let entered = entered.filter_map(|id| self.documents.endpoint(id));
        let entered: Vec<Arc<Endpoint>> = entered.cloned().collect();
        for endpoint in entered.iter().filter(|e| !e.cold.is_zero()) {
            let cold_ms = ms(endpoint.cold);
            self.log(LogEvent::Cold { endpoint: endpoint.id.clone(), cold_ms });
        }
        self.requests.changed(&self.table, merged, &entered, now);
        self.owners.changed(&self.table, merged, &entered, now);
        self.entries_may_prove(&merged.endpoints, now);
        if spread {
            self.next_beat = Timestamp::ZERO;
        }
    }

    /// The publisher's store told of orders to evacuate data centres, or of all that stand.
    pub(super) fn evacuations_published(
        &mut self,
        changes: &[Evacuation],
        snapshot_at: Option<Position>,
        now: Timestamp,
    ) {
        let mut evacuations = self.evacuations.clone();
        match snapshot_at {
            Some(at) => evacuations.merge(&Evacuations::read(changes, at)),
            None => changes.iter().for_each(|change| evacuations.change(change)),
        }
        for change in changes.iter().filter(|change| evacuations.left_out(change)) {
            let key = change.data_centre.to_string();
            self.log(LogEvent::Unreadable { key, cause: "too many orders to evacuate".to_owned() });
        }
        if self.evacuations_merged(evacuations, PUBLISHER, now) {
            self.next_beat = Timestamp::ZERO;
        }
    }

    /// A peer told what it knows of orders to evacuate data centres.
    pub(super) fn evacuations_told(
        &mut self,
        from: SocketAddr,
        told: &Evacuations,
        now: Timestamp,
    ) {
        if *told == self.evacuations {
            return;
        }
        let mut evacuations = self.evacuations.clone();
        evacuations.merge(&told.adopted(&self.eras));
        self.evacuations_merged(evacuations, &from.to_string(), now);
    }

    /// Puts orders in force, from now on and for all that is not yet sent; says whether any changed.
    fn evacuations_merged(&mut self, known: Evacuations, source: &str, now: Timestamp) -> bool {
        self.unconfirmed.changed(&self.evacuated, &self.evacuations, &known, now);
        self.evacuations = known;
        self.obey_orders(source, now)
    }

    /// Orders of before an era that were not written again since are believed to be gone.
    pub(super) fn confirm_orders(&mut self, now: Timestamp) {
        if self.unconfirmed.expire(now) {
            self.obey_orders("not confirmed", now);
        }
    }

    /// Obeys the orders that stand and are confirmed; says whether that changed anything.
    fn obey_orders(&mut self, source: &str, now: Timestamp) -> bool {
        let standing = self.unconfirmed.in_force(self.evacuations.standing());
        let before = std::mem::replace(&mut self.evacuated, standing.clone());
        if before == standing {
            return false;
        }
        for data_centre in &before ^ &standing {
            let there = self.documents.endpoints().filter(|e| e.data_centre == data_centre);
            self.log(LogEvent::Evacuation {
                stands: standing.contains(&data_centre),
                endpoints: there.count(),
                data_centre,
                source: source.to_owned(),
            });
        }
        let returned: BTreeSet<Name> = &before - &standing;
        self.table.evacuate(standing, self.documents.endpoints());
        self.requests.changed(&self.table, &Merged::default(), &[], now);
        self.owners.changed(&self.table, &Merged::default(), &[], now);
        self.requests.return_of(&returned, &self.table, now);
        self.owners.return_of(&returned, &self.table, now);
        true
    }

    /// Asks peers for what they have seen and this gateway has not.
    pub(super) fn catch_up(&mut self, now: Timestamp) {
        let own = self.own();
        let due = self.pulls.due(own, &self.members, &mut self.rng, now);
        for peer in due.silent {
            self.log_pull(peer, "silent");
        }
        let seen = if own.complete { own.seen } else { Seen::default() };
        if let Some(peer) = due.list {
            self.tell(peer, PeerMessage::Pull { seen, configuration: false, number: 0 });
        }
        if let Some((peer, number)) = due.configuration {
            self.log_pull(peer, "asked");
            let (seen, configuration) = (own.seen, true);
            self.tell(peer, PeerMessage::Pull { seen, configuration, number });
        }
    }
}
