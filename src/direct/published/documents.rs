//! The published documents that one process has seen, by revision; revisions only grow.
//!
//! Documents come from the publisher's store and from other gateways, in any order and more than
//! once; the highest revision of each wins, so both sources merge without agreement.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::lapse::Absence;
use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::message::Timestamp;

/// How long the mark of an endpoint that is gone is kept.
const GONE_KEPT: Duration = Duration::from_secs(120);
/// How often such marks are looked at.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// One document as it was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Document {
    /// The configuration.
    Deployment(Arc<Deployment>),
    /// An endpoint's entry.
    Endpoint(Arc<Endpoint>),
    /// An endpoint's entry was taken away.
    Gone(Name),
}

/// A document with the store's revision of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revised {
    /// The revision of its last change.
    pub revision: u64,
    /// The document.
    pub document: Document,
}

impl Revised {
    /// Whether it is a configuration.
    pub const fn is_deployment(&self) -> bool {
        matches!(self.document, Document::Deployment(_))
    }
}

/// The highest revisions that a process has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Seen {
    /// The configuration's version.
    pub version: u64,
    /// Of all entries of endpoints.
    pub endpoints: u64,
}

impl Seen {
    /// Whether `other` has something that this lacks.
    pub const fn is_behind(&self, other: &Self) -> bool {
        self.version < other.version || self.endpoints < other.endpoints
    }
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    endpoint: Option<Arc<Endpoint>>,
    /// The last life of which it told.
    incarnation: u64,
    /// What the entry was before it lapsed, and until when it is used on.
    lapsed: Option<(Arc<Endpoint>, Timestamp)>,
    since: Timestamp,
}

impl Entry {
    /// The endpoint, if it may be used.
    fn in_use(&self) -> Option<&Arc<Endpoint>> {
        self.endpoint.as_ref().or(self.lapsed.as_ref().map(|(endpoint, _)| endpoint))
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
    deployment_revision: u64,
    endpoints: BTreeMap<Name, Entry>,
    seen: Seen,
    /// Whether the list of endpoints was ever read as a whole.
    listed: bool,
    /// At which revision the publisher last gave the whole list: what it lacked then is not brought back by peers
    /// who know less.
    read_at: u64,
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

    /// Takes lapsed entries for gone that are not back by now. Looks at entries only when one is due.
    pub fn expire(&mut self, now: Timestamp) -> Merged {
        let mut merged = Merged::default();
        if self.next_expiry.is_none_or(|at| now < at) {
            return merged;
        }
        for (id, entry) in &mut self.endpoints {
            if entry.lapsed.take_if(|l| now >= l.1).is_some() {
                merged.endpoints.push(id.clone());
            }
        }
        self.next_expiry = self.endpoints.values().filter_map(|e| Some(e.lapsed.as_ref()?.1)).min();
        merged
    }

    /// The highest revisions seen.
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

    /// Whether it is an endpoint's entry that a whole list of a later revision did not have.
    fn was_missing(&self, document: &Revised) -> bool {
        let Document::Endpoint(endpoint) = &document.document else {
            return false;
        };
        document.revision <= self.read_at && !self.endpoints.contains_key(&endpoint.id)
    }

    fn take_in(&mut self, documents: Vec<Revised>, now: Timestamp) -> Merged {
        let gone = documents.iter().filter(|d| self.takes_away(d)).count();
        let held_until = self.held_until(gone, now);
        let mut merged = Merged::default();
        for Revised { revision, document } in documents {
            match document {
                Document::Deployment(deployment) => {
                    merged.deployment = self.install(revision, deployment).or(merged.deployment);
                }
                Document::Endpoint(endpoint) => {
                    let id = endpoint.id.clone();
                    self.set(id, revision, Some(endpoint), None, now, &mut merged);
                }
                Document::Gone(id) => self.set(id, revision, None, held_until, now, &mut merged),
            }
        }
        self.forget(now);
        merged
    }

    /// Takes in the whole list as it stood at revision `at`: what it lacks is gone.
    pub fn merge_list(&mut self, documents: Vec<Revised>, at: u64, now: Timestamp) -> Merged {
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
            .filter(|(id, e)| e.endpoint.is_some() && e.revision < at && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let held_until = self.held_until(missing.len(), now);
        for id in missing {
            self.set(id, at, None, held_until, now, &mut merged);
        }
        self.listed = true;
        merged
    }

    /// The configuration and its revision, if it is newer than `version`.
    pub fn deployment_after(&self, version: u64) -> Option<(u64, Arc<Deployment>)> {
        (self.seen.version > version).then(|| (self.deployment_revision, self.deployment.clone()))
    }

    /// The entries of endpoints that a process which has seen them up to `revision` lacks.
    pub fn endpoints_after(&self, revision: u64) -> Vec<Revised> {
        let newer = self.endpoints.iter().filter(|(_, e)| e.revision > revision);
        let revised = newer.map(|(id, entry)| {
            let document = match &entry.endpoint {
                Some(endpoint) => Document::Endpoint(endpoint.clone()),
                None => Document::Gone(id.clone()),
            };
            Revised { revision: entry.revision, document }
        });
        revised.collect()
    }

    /// A peer that had seen entries up to `seen` sent all that it has beyond what this process had seen.
    pub fn note_listed(&mut self, seen: u64) {
        self.listed = true;
        self.seen.endpoints = self.seen.endpoints.max(seen);
    }

    fn install(&mut self, revision: u64, deployment: Arc<Deployment>) -> Option<u64> {
        let before = self.seen.version;
        if deployment.version <= before {
            return None;
        }
        self.seen.version = deployment.version;
        self.deployment_revision = revision;
        self.deployment = deployment;
        Some(before)
    }

    /// Whether a document says that an endpoint is gone which is listed and not leaving.
    fn takes_away(&self, document: &Revised) -> bool {
        let Document::Gone(id) = &document.document else {
            return false;
        };
        let known = self.endpoints.get(id).filter(|e| e.revision < document.revision);
        known.and_then(|e| e.endpoint.as_ref()).is_some_and(|e| !e.leaving)
    }

    fn held_until(&self, gone: usize, now: Timestamp) -> Option<Timestamp> {
        if gone == 0 {
            return None;
        }
        let listed = self.endpoints.values().filter(|e| e.endpoint.is_some()).count();
        self.absence.held_until(gone, listed, now)
    }

    fn set(
        &mut self,
        id: Name,
        revision: u64,
        endpoint: Option<Arc<Endpoint>>,
        held_until: Option<Timestamp>,
        now: Timestamp,
        merged: &mut Merged,
    ) {
        self.seen.endpoints = self.seen.endpoints.max(revision);
        let known = self.endpoints.get(&id);
        if known.is_some_and(|k| k.revision >= revision) {
            return;
        }
        let before = known.and_then(|k| k.endpoint.as_ref());
        if before != endpoint.as_ref() {
            merged.endpoints.push(id.clone());
        }
        let last_life = known.map_or(0, |k| k.incarnation);
        let incarnation = endpoint.as_ref().map_or(last_life, |e| e.incarnation);
        if last_life != 0 && incarnation != last_life {
            merged.restarted.push(id.clone());
        }
        let lapsed = match known {
            _ if endpoint.is_some() => None,
            // Peers that read the list at other revisions tell once more that the entry is gone.
            Some(known) if known.endpoint.is_none() => known.lapsed.clone(),
            _ => before.filter(|e| !e.leaving).cloned().zip(held_until),
        };
        if let Some((_, until)) = &lapsed {
            self.next_expiry = Some(self.next_expiry.map_or(*until, |at| at.min(*until)));
        }
        self.endpoints.insert(id, Entry { revision, endpoint, incarnation, lapsed, since: now });
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
