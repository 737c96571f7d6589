//! The published documents that a process has received, by their position in the store's history.
//!
//! Documents arrive from the publisher's store and from other gateways, in any order and
//! repeatedly. The latest position of each document wins, so both sources merge without
//! coordination. The configuration is ordered by the operator's version instead, independent of the
//! store's history.
//!
//! An era begins when the store is restored from an older copy. Until entries are written again, or
//! the time for that has passed, an entry that the copy restores after its removal is not used, and
//! an endpoint that is missing from the copy remains usable.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::departures::Departure;
use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::outage::Outage;
use crate::direct::published::position::Position;
pub use crate::direct::published::revised::{Document, Revised, Seen};
use crate::message::Timestamp;

/// Time for which the removal of an endpoint is remembered.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);
/// Time from the start of an era within which every running endpoint has written its entry again:
/// two seconds as documented by the platform, and one for the change to arrive here.
pub const REWRITE_WINDOW: Duration = Duration::from_secs(3);
/// A restored entry that its endpoint does not renew expires in the store within this time, after
/// three missed heartbeats; an entry that is still listed by then is confirmed.
const CONFIRMED_AFTER: Duration = Duration::from_secs(5);
/// Interval between cleanups of remembered removals.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct Entry {
    position: Position,
    endpoint: Option<Arc<Endpoint>>,
    /// The last known incarnation.
    incarnation: u64,
    /// Whether that incarnation was leaving when the entry was removed.
    was_leaving: bool,
    /// Position at which the entry was last listed, and the revision at which its key was created
    /// (0 if unknown).
    listed_at: Position,
    created_revision: u64,
    /// An endpoint that an older copy restored, and the time at which it is confirmed.
    unconfirmed: Option<(Arc<Endpoint>, Timestamp)>,
    /// The endpoint of an entry that expired or is missing from a restored copy, and the time until
    /// which it remains usable.
    expired: Option<(Arc<Endpoint>, Timestamp)>,
    changed_at: Timestamp,
}

impl Entry {
    /// Returns the endpoint if it may be used.
    fn usable(&self) -> Option<&Arc<Endpoint>> {
        self.endpoint.as_ref().or(self.expired.as_ref().map(|(endpoint, _)| endpoint))
    }

    /// Whether the list has the endpoint, confirmed or not.
    const fn is_in_list(&self) -> bool {
        self.endpoint.is_some() || self.unconfirmed.is_some()
    }

    /// Whether an older copy lists an endpoint as ready that is leaving or has left. An incarnation
    /// that leaves never becomes ready again.
    fn has_departed(&self, copied: &Endpoint, position: Position) -> bool {
        let was_leaving = self.endpoint.as_ref().map_or(self.was_leaving, |known| known.leaving);
        self.position.era < position.era
            && was_leaving
            && !copied.leaving
            && copied.incarnation == self.incarnation
    }

    /// Whether an older copy lists an endpoint whose entry was removed after the copy. The copy has
    /// the entry at its last known revision or an earlier one. An entry that was written again has
    /// a later revision, a newly created key, or another incarnation.
    fn was_removed_since(
        &self,
        copied: &Endpoint,
        position: Position,
        created_revision: u64,
    ) -> bool {
        self.position.era < position.era
            && self.usable().is_none()
            && copied.incarnation == self.incarnation
            && created_revision == self.created_revision
            && position.revision <= self.listed_at.revision
    }

    /// Whether an older copy lacks the entry because it was created after the copy: its endpoint
    /// may be running and has yet to write it again. An entry that the copy had was removed in the
    /// new era.
    const fn is_missing_from_copy(&self, removed: Position) -> bool {
        let is_in_copy = self.created_revision > 0 && self.created_revision <= removed.revision;
        self.position.era < removed.era && self.endpoint.is_some() && !is_in_copy
    }
}

/// State of an endpoint's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// The entry is listed.
    Listed,
    /// The entry is listed, and the endpoint accepts no new work.
    Leaving,
    /// The entry expired while the store was unavailable, or is missing from a restored copy; the
    /// endpoint remains usable for a short time.
    Expired,
    /// There is no entry.
    Removed,
}

impl EntryState {
    /// Name of the state in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Leaving => "leaving",
            Self::Expired => "lapsed",
            Self::Removed => "gone",
        }
    }
}

/// The changes that a merge made.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// The previous version, if a newer configuration is in force.
    pub previous_version: Option<u64>,
    /// Ids of endpoints that were added, changed or removed.
    pub endpoints: Vec<Name>,
    /// Ids of those endpoints that restarted: same id, another incarnation.
    pub restarted: Vec<Name>,
    /// Incarnations that are leaving or have left, and that an older copy lists as ready.
    pub departed: Vec<Departure>,
    /// Endpoints that an older copy lists although their entries were removed; unused until
    /// confirmed.
    pub unconfirmed: Vec<Name>,
    /// Endpoints that are missing from an older copy; they remain usable for a limited time.
    pub missing: Vec<Name>,
}

impl Merged {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.previous_version.is_none() && self.endpoints.is_empty()
    }
}

/// The documents that a process has received.
#[derive(Debug, Default)]
pub struct Documents {
    deployment: Arc<Deployment>,
    deployment_position: Position,
    endpoints: BTreeMap<Name, Entry>,
    seen: Seen,
    /// Whether the list of endpoints has been received completely at least once.
    has_full_list: bool,
    /// Position of the publisher's last complete list. Peers with older positions don't restore
    /// entries that were missing from it.
    list_read_at: Position,
    /// Era of the latest document, and the time at which the first document of that era arrived.
    era_start: (u64, Timestamp),
    outage: Outage,
    /// Lower bound for the next expiry; `None` if no entry will expire.
    next_expiry: Option<Timestamp>,
    /// Earliest time of the next cleanup of remembered removals.
    next_cleanup: Timestamp,
}

impl Documents {
    /// The configuration in force; version 0 if there is none.
    pub const fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// The endpoints that may be used: those with a listed entry, or with one that expired
    /// recently.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> + Clone {
        self.endpoints.values().filter_map(Entry::usable)
    }

    /// Returns the endpoint with this id if it may be used.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).and_then(Entry::usable)
    }

    /// Whether an endpoint has a listed entry.
    pub fn is_listed(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|entry| entry.endpoint.is_some())
    }

    /// State of an endpoint's entry.
    pub fn entry_state(&self, id: &str) -> EntryState {
        let entry = self.endpoints.get(id);
        match entry.map(|e| (&e.endpoint, &e.expired)) {
            Some((Some(endpoint), _)) if endpoint.leaving => EntryState::Leaving,
            Some((Some(_), _)) => EntryState::Listed,
            Some((None, Some(_))) => EntryState::Expired,
            Some((None, None)) | None => EntryState::Removed,
        }
    }

    /// Records whether the publisher's store responds.
    pub fn set_publisher_available(&mut self, available: bool, now: Timestamp) {
        self.outage.set_publisher_available(available, now);
    }

    /// Time at which [`Self::expire`] is due.
    pub const fn next_expiry(&self) -> Option<Timestamp> {
        self.next_expiry
    }

    /// Removes endpoints whose expired entries were not restored in time, and confirms unconfirmed
    /// ones that are still listed. Scans the entries only when one is due.
    pub fn expire(&mut self, now: Timestamp) -> Merged {
        let mut merged = Merged::default();
        if self.next_expiry.is_none_or(|at| now < at) {
            return merged;
        }
        for (id, entry) in &mut self.endpoints {
            if entry.expired.take_if(|l| now >= l.1).is_some() {
                merged.endpoints.push(id.clone());
            }
            if let Some((endpoint, _)) = entry.unconfirmed.take_if(|d| now >= d.1) {
                entry.endpoint = Some(endpoint);
                entry.listed_at = entry.position;
                merged.endpoints.push(id.clone());
            }
        }
        let due = |e: &Entry| e.expired.iter().chain(&e.unconfirmed).map(|(_, at)| *at).min();
        self.next_expiry = self.endpoints.values().filter_map(due).min();
        merged
    }

    /// The latest version and position received.
    pub const fn seen(&self) -> Seen {
        self.seen
    }

    /// Whether a configuration and a complete list of endpoints have been received.
    pub const fn is_complete(&self) -> bool {
        self.seen.version > 0 && self.has_full_list
    }

    /// Merges documents; those with older positions change nothing.
    pub fn merge(&mut self, mut documents: Vec<Revised>, now: Timestamp) -> Merged {
        documents.retain(|document| !self.was_absent_from_list(document));
        self.apply(documents, now)
    }

    /// Whether the document is an endpoint's entry that was missing from a complete list at a later
    /// position.
    fn was_absent_from_list(&self, document: &Revised) -> bool {
        let Document::Endpoint(endpoint) = &document.document else {
            return false;
        };
        document.position <= self.list_read_at && !self.endpoints.contains_key(&endpoint.id)
    }

    fn apply(&mut self, documents: Vec<Revised>, now: Timestamp) -> Merged {
        let removed = documents.iter().filter(|d| self.removes_listed(d)).count();
        let retained_until = self.retained_until(removed, now);
        let mut merged = Merged::default();
        for Revised { position, created_revision, document } in documents {
            match document {
                Document::Deployment(deployment) => {
                    merged.previous_version =
                        self.install_deployment(position, deployment).or(merged.previous_version);
                }
                Document::Endpoint(endpoint) => {
                    self.list_entry(position, created_revision, endpoint, now, &mut merged);
                }
                Document::Removed(id) => {
                    self.remove_entry(id, position, retained_until, now, &mut merged)
                }
            }
        }
        self.forget_removed(now);
        merged
    }

    /// Merges the complete list as of a position; entries that are missing from it are removed.
    pub fn merge_list(&mut self, documents: Vec<Revised>, at: Position, now: Timestamp) -> Merged {
        let listed: HashSet<Name> = documents
            .iter()
            .filter_map(|d| match &d.document {
                Document::Endpoint(endpoint) => Some(endpoint.id.clone()),
                _ => None,
            })
            .collect();
        let mut merged = self.apply(documents, now);
        self.list_read_at = self.list_read_at.max(at);
        let missing: Vec<Name> = self
            .endpoints
            .iter()
            .filter(|(id, e)| e.is_in_list() && e.position < at && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let retained_until = self.retained_until(missing.len(), now);
        for id in missing {
            self.remove_entry(id, at, retained_until, now, &mut merged);
        }
        // An empty list has no entry to carry its era.
        self.seen.endpoints = self.seen.endpoints.max(Position::new(at.era, 0));
        self.has_full_list = true;
        merged
    }

    /// Returns the configuration and its position, if it is newer than `version`.
    pub fn deployment_after(&self, version: u64) -> Option<(Position, Arc<Deployment>)> {
        (self.seen.version > version).then(|| (self.deployment_position, self.deployment.clone()))
    }

    /// Returns the entries and removals that a process lacks which has received those up to
    /// `position`.
    pub fn endpoints_after(&self, position: Position) -> Vec<Revised> {
        let newer = self.endpoints.iter().filter(|(_, e)| e.position > position);
        let revised = newer.map(|(id, entry)| {
            let unconfirmed = entry.unconfirmed.as_ref().map(|(endpoint, _)| endpoint);
            let document = match entry.endpoint.as_ref().or(unconfirmed) {
                Some(endpoint) => Document::Endpoint(endpoint.clone()),
                None => Document::Removed(id.clone()),
            };
            Revised { position: entry.position, created_revision: entry.created_revision, document }
        });
        revised.collect()
    }

    /// Records that a peer sent all entries that this process lacked, up to the position `seen`.
    pub fn mark_list_complete(&mut self, seen: Position) {
        self.has_full_list = true;
        self.seen.endpoints = self.seen.endpoints.max(seen);
    }

    fn install_deployment(
        &mut self,
        position: Position,
        deployment: Arc<Deployment>,
    ) -> Option<u64> {
        let before = self.seen.version;
        if deployment.version <= before {
            return None;
        }
        self.seen.version = deployment.version;
        self.deployment_position = position;
        self.deployment = deployment;
        Some(before)
    }

    /// Whether the document removes an endpoint that is listed and not leaving.
    fn removes_listed(&self, document: &Revised) -> bool {
        let Document::Removed(id) = &document.document else {
            return false;
        };
        let known = self.endpoints.get(id).filter(|e| e.position < document.position);
        known.and_then(|e| e.endpoint.as_ref()).is_some_and(|e| !e.leaving)
    }

    fn retained_until(&self, removed: usize, now: Timestamp) -> Option<Timestamp> {
        if removed == 0 {
            return None;
        }
        let listed = self.endpoints.values().filter(|e| e.endpoint.is_some()).count();
        self.outage.retained_until(removed, listed, now)
    }

    /// Merges an endpoint's entry as of a position.
    fn list_entry(
        &mut self,
        position: Position,
        created_revision: u64,
        endpoint: Arc<Endpoint>,
        now: Timestamp,
        merged: &mut Merged,
    ) {
        let id = endpoint.id.clone();
        let Some(known) = self.superseded_entry(&id, position, now) else {
            return;
        };
        let incarnation = endpoint.incarnation;
        let mut entry = Entry {
            position,
            endpoint: Some(endpoint.clone()),
            incarnation,
            was_leaving: false,
            listed_at: position,
            created_revision,
            unconfirmed: None,
            expired: None,
            changed_at: now,
        };
        if let Some(known) = known {
            if known.incarnation != 0 && incarnation != known.incarnation {
                merged.restarted.push(id.clone());
            }
            if known.has_departed(&endpoint, position) {
                merged.departed.push(Departure::of(&endpoint));
            } else if known.was_removed_since(&endpoint, position, created_revision) {
                let until = now + CONFIRMED_AFTER;
                entry.unconfirmed = entry.endpoint.take().zip(Some(until));
                entry.listed_at = known.listed_at;
                merged.unconfirmed.push(id.clone());
                self.schedule_expiry(until);
            }
        }
        self.store_entry(id, entry, merged);
    }

    /// Merges the removal of an endpoint's entry as of a position. The endpoint remains usable
    /// until `retained_until`.
    fn remove_entry(
        &mut self,
        id: Name,
        position: Position,
        retained_until: Option<Timestamp>,
        now: Timestamp,
        merged: &mut Merged,
    ) {
        let Some(known) = self.superseded_entry(&id, position, now) else {
            return;
        };
        let mut entry = Entry {
            position,
            endpoint: None,
            incarnation: 0,
            was_leaving: false,
            listed_at: position,
            created_revision: 0,
            unconfirmed: None,
            expired: None,
            changed_at: now,
        };
        if let Some(known) = known {
            entry.incarnation = known.incarnation;
            (entry.listed_at, entry.created_revision) = (known.listed_at, known.created_revision);
            entry.was_leaving = known.endpoint.as_ref().map_or(known.was_leaving, |e| e.leaving);
            let is_missing_from_copy = known.is_missing_from_copy(position);
            let missing_until = is_missing_from_copy.then(|| self.era_start.1 + REWRITE_WINDOW);
            let retained_until = missing_until.filter(|until| now < *until).max(retained_until);
            entry.expired = match &known.endpoint {
                // Peers that read the list at another position report the same removal again.
                None => known.expired.clone(),
                Some(endpoint) => (!endpoint.leaving).then(|| endpoint.clone()).zip(retained_until),
            };
            if is_missing_from_copy && entry.expired.is_some() {
                merged.missing.push(id.clone());
            }
        }
        if let Some((_, until)) = &entry.expired {
            self.schedule_expiry(*until);
        }
        self.store_entry(id, entry, merged);
    }

    /// Returns the known entry (`Some(None)` if there is none), or `None` if it is not older than
    /// `position`.
    fn superseded_entry(
        &mut self,
        id: &str,
        position: Position,
        now: Timestamp,
    ) -> Option<Option<Entry>> {
        self.seen.endpoints = self.seen.endpoints.max(position);
        if self.era_start.0 < position.era {
            self.era_start = (position.era, now);
        }
        let known = self.endpoints.get(id);
        known.is_none_or(|known| known.position < position).then(|| known.cloned())
    }

    fn schedule_expiry(&mut self, until: Timestamp) {
        self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
    }

    fn store_entry(&mut self, id: Name, entry: Entry, merged: &mut Merged) {
        let before = self.endpoints.get(&id).and_then(|known| known.endpoint.as_ref());
        if before != entry.endpoint.as_ref() {
            merged.endpoints.push(id.clone());
        }
        self.endpoints.insert(id, entry);
    }

    /// Forgets endpoints that were removed long ago.
    fn forget_removed(&mut self, now: Timestamp) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.endpoints
            .retain(|_, e| e.endpoint.is_some() || now < e.changed_at + REMOVAL_RETENTION);
    }
}
