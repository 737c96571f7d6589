//! The published documents that one process has seen, by their position in the store's history.
//!
//! Documents come from the publisher's store and from other gateways, in any order and more than
//! once; the latest position of each wins, so both sources merge without agreement. The configuration goes by the
//! operator's version instead, whatever the store's history does.
//!
//! An era begins with an older copy. What the copy brings back from before is not believed, and what it lacks is not
//! dropped, until it is written again or was due to be.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::departures::Departure;
use crate::direct::published::lapse::Absence;
use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::position::Position;
pub use crate::direct::published::revised::{Document, Revised, Seen};
use crate::message::Timestamp;

/// How long the mark of an endpoint that is gone is kept.
const GONE_KEPT: Duration = Duration::from_secs(120);
/// After an era has begun, whoever lives has written its entry again within that: two seconds by the platform's word,
/// and what the change takes to get here.
pub const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(3);
/// An entry that a copy brought back, and that nobody renews, goes within that: after three heartbeats.
const LAPSES_WITHIN: Duration = Duration::from_secs(5);
/// How often such marks are looked at.
const FORGET_EVERY: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct Entry {
    position: Position,
    endpoint: Option<Arc<Endpoint>>,
    /// The last life of which it told.
    incarnation: u64,
    /// Whether that life was leaving when the entry went.
    left: bool,
    /// Where the entry last stood, and the revision at which its key was created; 0 where that is not known.
    listed_at: Position,
    made: u64,
    /// What an older copy brought back, and when it is believed.
    doubted: Option<(Arc<Endpoint>, Timestamp)>,
    /// What the entry was before it lapsed, and until when it is used on.
    lapsed: Option<(Arc<Endpoint>, Timestamp)>,
    since: Timestamp,
}

impl Entry {
    /// The endpoint, if it may be used.
    fn in_use(&self) -> Option<&Arc<Endpoint>> {
        self.endpoint.as_ref().or(self.lapsed.as_ref().map(|(endpoint, _)| endpoint))
    }

    /// Whether the list names the endpoint, believed or not.
    const fn is_named(&self) -> bool {
        self.endpoint.is_some() || self.doubted.is_some()
    }

    /// Whether an older copy lists an endpoint as ready which leaves or has left: no life that leaves stays.
    fn is_leaving(&self, copied: &Endpoint, position: Position) -> bool {
        let was_leaving = self.endpoint.as_ref().map_or(self.left, |known| known.leaving);
        self.position.era < position.era
            && was_leaving
            && !copied.leaving
            && copied.incarnation == self.incarnation
    }

    /// Whether an older copy lists an endpoint whose entry is gone since. The copy holds what stood at the same or an
    /// earlier revision before; what was written again stands at a later one, was created anew, or tells another life.
    fn is_gone_before(&self, copied: &Endpoint, position: Position, made: u64) -> bool {
        self.position.era < position.era
            && self.in_use().is_none()
            && copied.incarnation == self.incarnation
            && made == self.made
            && position.revision <= self.listed_at.revision
    }

    /// Whether an older copy lacks the entry since it was created after the copy: its endpoint may live, and has yet to
    /// write it again. An entry that the copy had was taken away since.
    const fn is_lacked(&self, gone: Position) -> bool {
        let is_in_copy = self.made > 0 && self.made <= gone.revision;
        self.position.era < gone.era && self.endpoint.is_some() && !is_in_copy
    }
}

/// Where an endpoint's entry stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It is listed.
    Listed,
    /// It takes no new work.
    Leaving,
    /// Its entry went with its publisher; it is used on for a moment.
    Lapsed,
    /// It is gone.
    Gone,
}

impl EntryState {
    /// The word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Leaving => "leaving",
            Self::Lapsed => "lapsed",
            Self::Gone => "gone",
        }
    }
}

/// What a merge changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// A newer configuration is in force; the version before.
    pub deployment: Option<u64>,
    /// Endpoints that are new, changed or gone.
    pub endpoints: Vec<Name>,
    /// Those among them that are in another life under the same id.
    pub restarted: Vec<Name>,
    /// Lives that were known to leave, or to have left, and that an older copy lists as ready.
    pub leaving_on: Vec<Departure>,
    /// Endpoints that an older copy lists and whose entries are gone since: they get nothing for now.
    pub doubted: Vec<Name>,
    /// Endpoints that an older copy lacks: they are used on for now.
    pub lacked: Vec<Name>,
}

impl Merged {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.deployment.is_none() && self.endpoints.is_empty()
    }
}

/// The documents of one process.
#[derive(Debug, Default)]
pub struct Documents {
    deployment: Arc<Deployment>,
    deployment_position: Position,
    endpoints: BTreeMap<Name, Entry>,
    seen: Seen,
    /// Whether the list of endpoints was ever read as a whole.
    listed: bool,
    /// Where the publisher last gave the whole list: what it lacked then is not brought back by peers who know less.
    read_at: Position,
    /// The era of the latest document, and when the first one of it came.
    era_began: (u64, Timestamp),
    absence: Absence,
    /// No entry lapses earlier; `None` where none will.
    next_expiry: Option<Timestamp>,
    /// No mark of an endpoint that is gone is forgotten earlier.
    forget_from: Timestamp,
}

impl Documents {
    /// The configuration in force; version 0 where there is none.
    pub const fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// The endpoints that are listed, or whose entries lapsed a moment ago.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> + Clone {
        self.endpoints.values().filter_map(Entry::in_use)
    }

    /// The endpoint of this id, if it may be used.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).and_then(Entry::in_use)
    }

    /// Whether an endpoint's entry is there.
    pub fn is_listed(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|entry| entry.endpoint.is_some())
    }

    /// Where an endpoint's entry stands.
    pub fn state(&self, id: &str) -> EntryState {
        let entry = self.endpoints.get(id);
        match entry.map(|e| (&e.endpoint, &e.lapsed)) {
            Some((Some(endpoint), _)) if endpoint.leaving => EntryState::Leaving,
            Some((Some(_), _)) => EntryState::Listed,
            Some((None, Some(_))) => EntryState::Lapsed,
            Some((None, None)) | None => EntryState::Gone,
        }
    }

    /// The publisher answers, or stopped to.
    pub fn publisher(&mut self, answers: bool, now: Timestamp) {
        self.absence.publisher(answers, now);
    }

    /// When [`Self::expire`] is due.
    pub const fn next_expiry(&self) -> Option<Timestamp> {
        self.next_expiry
    }

    /// Takes lapsed entries for gone that are not back by now, and doubted ones for listed that are still there. Looks
    /// at entries only when one is due.
    pub fn expire(&mut self, now: Timestamp) -> Merged {
        let mut merged = Merged::default();
        if self.next_expiry.is_none_or(|at| now < at) {
            return merged;
        }
        for (id, entry) in &mut self.endpoints {
            if entry.lapsed.take_if(|l| now >= l.1).is_some() {
                merged.endpoints.push(id.clone());
            }
            if let Some((endpoint, _)) = entry.doubted.take_if(|d| now >= d.1) {
                entry.endpoint = Some(endpoint);
                entry.listed_at = entry.position;
                merged.endpoints.push(id.clone());
            }
        }
        let due = |e: &Entry| e.lapsed.iter().chain(&e.doubted).map(|(_, at)| *at).min();
        self.next_expiry = self.endpoints.values().filter_map(due).min();
        merged
    }

    /// The latest that was seen.
    pub const fn seen(&self) -> Seen {
        self.seen
    }

    /// Whether a configuration and a whole list of endpoints were had.
    pub const fn is_complete(&self) -> bool {
        self.seen.version > 0 && self.listed
    }

    /// Takes documents in; older ones change nothing.
    pub fn merge(&mut self, mut documents: Vec<Revised>, now: Timestamp) -> Merged {
        documents.retain(|document| !self.was_missing(document));
        self.take_in(documents, now)
    }

    /// Whether it is an endpoint's entry that a whole list of a later position did not have.
    fn was_missing(&self, document: &Revised) -> bool {
        let Document::Endpoint(endpoint) = &document.document else {
            return false;
        };
        document.position <= self.read_at && !self.endpoints.contains_key(&endpoint.id)
    }

    fn take_in(&mut self, documents: Vec<Revised>, now: Timestamp) -> Merged {
        let gone = documents.iter().filter(|d| self.takes_away(d)).count();
        let held_until = self.held_until(gone, now);
        let mut merged = Merged::default();
        for Revised { position, made, document } in documents {
            match document {
                Document::Deployment(deployment) => {
                    merged.deployment = self.install(position, deployment).or(merged.deployment);
                }
                Document::Endpoint(endpoint) => {
                    self.list(position, made, endpoint, now, &mut merged);
                }
                Document::Gone(id) => self.take_away(id, position, held_until, now, &mut merged),
            }
        }
        self.forget(now);
        merged
    }

    /// Takes in the whole list as it stood at a position: what it lacks is gone.
    pub fn merge_list(&mut self, documents: Vec<Revised>, at: Position, now: Timestamp) -> Merged {
        let listed: HashSet<Name> = documents
            .iter()
            .filter_map(|d| match &d.document {
                Document::Endpoint(endpoint) => Some(endpoint.id.clone()),
                _ => None,
            })
            .collect();
        let mut merged = self.take_in(documents, now);
        self.read_at = self.read_at.max(at);
        let missing: Vec<Name> = self
            .endpoints
            .iter()
            .filter(|(id, e)| e.is_named() && e.position < at && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let held_until = self.held_until(missing.len(), now);
        for id in missing {
            self.take_away(id, at, held_until, now, &mut merged);
        }
        // An empty list has no entry to carry its era.
        self.seen.endpoints = self.seen.endpoints.max(Position::new(at.era, 0));
        self.listed = true;
        merged
    }

    /// The configuration and where it stands, if it is newer than `version`.
    pub fn deployment_after(&self, version: u64) -> Option<(Position, Arc<Deployment>)> {
        (self.seen.version > version).then(|| (self.deployment_position, self.deployment.clone()))
    }

    /// The entries of endpoints that a process which has seen them up to a position lacks.
    pub fn endpoints_after(&self, position: Position) -> Vec<Revised> {
        let newer = self.endpoints.iter().filter(|(_, e)| e.position > position);
        let revised = newer.map(|(id, entry)| {
            let doubted = entry.doubted.as_ref().map(|(endpoint, _)| endpoint);
            let document = match entry.endpoint.as_ref().or(doubted) {
                Some(endpoint) => Document::Endpoint(endpoint.clone()),
                None => Document::Gone(id.clone()),
            };
            Revised { position: entry.position, made: entry.made, document }
        });
        revised.collect()
    }

    /// A peer that had seen entries up to `seen` sent all that it has beyond what this process had seen.
    pub fn note_listed(&mut self, seen: Position) {
        self.listed = true;
        self.seen.endpoints = self.seen.endpoints.max(seen);
    }

    fn install(&mut self, position: Position, deployment: Arc<Deployment>) -> Option<u64> {
        let before = self.seen.version;
        if deployment.version <= before {
            return None;
        }
        self.seen.version = deployment.version;
        self.deployment_position = position;
        self.deployment = deployment;
        Some(before)
    }

    /// Whether a document says that an endpoint is gone which is listed and not leaving.
    fn takes_away(&self, document: &Revised) -> bool {
        let Document::Gone(id) = &document.document else {
            return false;
        };
        let known = self.endpoints.get(id).filter(|e| e.position < document.position);
        known.and_then(|e| e.endpoint.as_ref()).is_some_and(|e| !e.leaving)
    }

    fn held_until(&self, gone: usize, now: Timestamp) -> Option<Timestamp> {
        if gone == 0 {
            return None;
        }
        let listed = self.endpoints.values().filter(|e| e.endpoint.is_some()).count();
        self.absence.held_until(gone, listed, now)
    }

    /// An endpoint's entry stands at a position.
    fn list(
        &mut self,
        position: Position,
        made: u64,
        endpoint: Arc<Endpoint>,
        now: Timestamp,
        merged: &mut Merged,
    ) {
        let id = endpoint.id.clone();
        let Some(known) = self.superseded(&id, position, now) else {
            return;
        };
        let incarnation = endpoint.incarnation;
        let mut entry = Entry {
            position,
            endpoint: Some(endpoint.clone()),
            incarnation,
            left: false,
            listed_at: position,
            made,
            doubted: None,
            lapsed: None,
            since: now,
        };
        if let Some(known) = known {
            if known.incarnation != 0 && incarnation != known.incarnation {
                merged.restarted.push(id.clone());
            }
            if known.is_leaving(&endpoint, position) {
                merged.leaving_on.push(Departure::of(&endpoint));
            } else if known.is_gone_before(&endpoint, position, made) {
                let until = now + LAPSES_WITHIN;
                entry.doubted = entry.endpoint.take().zip(Some(until));
                entry.listed_at = known.listed_at;
                merged.doubted.push(id.clone());
                self.expires_at(until);
            }
        }
        self.enter(id, entry, merged);
    }

    /// An endpoint's entry is gone as of a position; `held_until` is how long it is used on.
    fn take_away(
        &mut self,
        id: Name,
        position: Position,
        held_until: Option<Timestamp>,
        now: Timestamp,
        merged: &mut Merged,
    ) {
        let Some(known) = self.superseded(&id, position, now) else {
            return;
        };
        let mut entry = Entry {
            position,
            endpoint: None,
            incarnation: 0,
            left: false,
            listed_at: position,
            made: 0,
            doubted: None,
            lapsed: None,
            since: now,
        };
        if let Some(known) = known {
            entry.incarnation = known.incarnation;
            (entry.listed_at, entry.made) = (known.listed_at, known.made);
            entry.left = known.endpoint.as_ref().map_or(known.left, |e| e.leaving);
            let is_lacked = known.is_lacked(position);
            let lacked_until = is_lacked.then(|| self.era_began.1 + WRITTEN_AGAIN_WITHIN);
            let held_until = lacked_until.filter(|until| now < *until).max(held_until);
            entry.lapsed = match &known.endpoint {
                // Peers that read the list at another position report the same removal again.
                None => known.lapsed.clone(),
                Some(endpoint) => (!endpoint.leaving).then(|| endpoint.clone()).zip(held_until),
            };
            if is_lacked && entry.lapsed.is_some() {
                merged.lacked.push(id.clone());
            }
        }
        if let Some((_, until)) = &entry.lapsed {
            self.expires_at(*until);
        }
        self.enter(id, entry, merged);
    }

    /// What is known of an endpoint, where that is older than a position; `None` if it is not.
    fn superseded(
        &mut self,
        id: &str,
        position: Position,
        now: Timestamp,
    ) -> Option<Option<Entry>> {
        self.seen.endpoints = self.seen.endpoints.max(position);
        if self.era_began.0 < position.era {
            self.era_began = (position.era, now);
        }
        let known = self.endpoints.get(id);
        known.is_none_or(|known| known.position < position).then(|| known.cloned())
    }

    fn expires_at(&mut self, until: Timestamp) {
        self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
    }

    fn enter(&mut self, id: Name, entry: Entry, merged: &mut Merged) {
        let before = self.endpoints.get(&id).and_then(|known| known.endpoint.as_ref());
        if before != entry.endpoint.as_ref() {
            merged.endpoints.push(id.clone());
        }
        self.endpoints.insert(id, entry);
    }

    /// Forgets endpoints that are gone for long.
    fn forget(&mut self, now: Timestamp) {
        if now < self.forget_from {
            return;
        }
        self.forget_from = now + FORGET_EVERY;
        self.endpoints.retain(|_, e| e.endpoint.is_some() || now < e.since + GONE_KEPT);
    }
}
