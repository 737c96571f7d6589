//! The published documents that a process has received, by their position in the store's history.
//!
//! Documents arrive from the publisher's store and from other gateways, in any order and
//! repeatedly. The latest position of each document wins, so both sources merge without
//! coordination. The configuration is ordered by the operator's version instead, independent of the
//! store's history. Entries may arrive without earlier ones: `list_position` has what is complete.
//!
//! An era begins when the store is restored from an older copy. Until entries are written again, or
//! the time for that has passed, an entry that the copy restores after its removal is not used, and
//! an endpoint that is missing from the copy remains usable.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::departures::Departure;
use crate::direct::published::entry::Entry;
pub use crate::direct::published::entry::EntryState;
use crate::direct::published::list_position::{ListDigest, ListPosition};
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
    /// Whether the list of endpoints has been received completely at least once, though possibly
    /// from a peer whose position can't be verified.
    has_full_list: bool,
    list: ListPosition,
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

    /// The version of the configuration, and the highest position of an entry up to which this
    /// process holds every change of the list.
    pub const fn seen(&self) -> Seen {
        self.seen
    }

    /// The highest position among all received entries; earlier changes may be missing.
    pub const fn received(&self) -> Position {
        self.list.received
    }

    /// Whether this process holds every change of the list up to a position.
    pub fn is_complete_to(&self, position: Position) -> bool {
        self.list.is_complete_to(position)
    }

    /// Whether a configuration and a complete list of endpoints have been received, and the
    /// position of the list is known.
    pub fn is_verified(&self) -> bool {
        self.is_complete() && self.list.is_complete_to(Position::default())
    }

    /// Whether a configuration and a complete list of endpoints have been received.
    pub const fn is_complete(&self) -> bool {
        self.seen.version > 0 && self.has_full_list
    }

    /// Merges individual documents, in addition to which others may have changed; those with older
    /// positions change nothing.
    pub fn merge(&mut self, mut documents: Vec<Revised>, now: Timestamp) -> Merged {
        documents.retain(|document| !self.is_superseded(document));
        self.apply(documents, now)
    }

    /// Merges every change after `since` up to `up_to` from the publisher's store.
    pub fn merge_changes(
        &mut self,
        documents: Vec<Revised>,
        since: Position,
        up_to: Position,
        now: Timestamp,
    ) -> Merged {
        let merged = self.apply(documents, now);
        self.list.record_changes(since, up_to);
        self.update_seen();
        merged
    }

    /// Merges entries from a peer that has the list with this digest up to a position. This process
    /// then holds every change up to there if it has the same list.
    pub fn merge_verified(
        &mut self,
        documents: Vec<Revised>,
        up_to: Position,
        digest: ListDigest,
        now: Timestamp,
    ) -> Merged {
        let merged = self.merge(documents, now);
        if !self.is_complete_to(up_to) && self.digest(up_to) == digest {
            self.has_full_list = true;
            self.list.record_complete(up_to);
        }
        self.record_announcement(up_to);
        merged
    }

    /// Merges the complete list of a peer that holds every change up to a position.
    pub fn merge_peer_list(
        &mut self,
        documents: Vec<Revised>,
        up_to: Position,
        now: Timestamp,
    ) -> Merged {
        let merged = self.merge_list(documents, up_to, now);
        self.record_announcement(up_to);
        merged
    }

    /// Announces the position that a peer announced, too, if this process holds every change up to
    /// there. It may be that of a removal which this process has not received by itself.
    pub fn record_announcement(&mut self, position: Position) {
        if self.is_complete_to(position) {
            self.list.record(position);
            self.update_seen();
        }
    }

    /// Whether the document is a change of the list that this process has received, though it may
    /// no longer remember the entry.
    fn is_superseded(&self, document: &Revised) -> bool {
        !document.is_deployment() && self.is_complete_to(document.position)
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
        let merged = self.merge_unverified_list(documents, at, now);
        self.list.record_complete(at);
        self.update_seen();
        merged
    }

    /// As [`Self::merge_list`], for a list that may lack changes before that position.
    pub fn merge_unverified_list(
        &mut self,
        documents: Vec<Revised>,
        at: Position,
        now: Timestamp,
    ) -> Merged {
        let listed: HashSet<Name> = documents
            .iter()
            .filter_map(|d| match &d.document {
                Document::Endpoint(endpoint) => Some(endpoint.id.clone()),
                _ => None,
            })
            .collect();
        let mut merged = self.apply(documents, now);
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
        self.has_full_list = true;
        merged
    }

    /// Digest of the listed entries up to a position.
    pub fn digest(&self, up_to: Position) -> ListDigest {
        let listed = self.endpoints.values().filter(|entry| entry.is_in_list());
        let positions = listed.map(|entry| entry.position);
        ListDigest::of(positions.filter(|position| *position <= up_to))
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

    /// Merges the part of the publisher's list that can be read. The endpoints in it are used; whether
    /// others are listed is not known, so the list is not verified. A part without endpoints says
    /// nothing about the list.
    pub fn merge_truncated_list(&mut self, documents: Vec<Revised>, now: Timestamp) -> Merged {
        let is_endpoint = |d: &Revised| matches!(d.document, Document::Endpoint(_));
        self.has_full_list |= documents.iter().any(is_endpoint);
        self.merge(documents, now)
    }

    /// Records that a peer sent its complete list, whose position can't be verified.
    pub const fn mark_list_received(&mut self) {
        self.has_full_list = true;
    }

    /// Raises the announced position to the highest entry up to which the list is complete. Scans
    /// the entries only if some are newer than that.
    fn update_seen(&mut self) {
        let highest = if self.list.has_newer_entries() {
            let positions = self.endpoints.values().map(|entry| entry.position);
            positions.filter(|position| self.list.is_complete_to(*position)).max()
        } else {
            Some(self.list.received)
        };
        self.seen.endpoints = self.seen.endpoints.max(highest.unwrap_or_default());
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
        let mut entry = Entry::new(position, now);
        entry.endpoint = Some(endpoint.clone());
        entry.incarnation = incarnation;
        entry.created_revision = created_revision;
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
        let mut entry = Entry::new(position, now);
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
        self.list.record(position);
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
