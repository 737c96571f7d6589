//! The store of the list model: every write of each era, pages that are no snapshot, and a history
//! that may be lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use stackmast::direct::published::documents::{Document, Revised};
use stackmast::direct::published::model::{Endpoint, Name};
use stackmast::direct::published::position::Position;

use super::super::endpoint;

/// Entries on a page.
const PAGE: usize = 4;

/// Id of an endpoint.
pub fn name(key: u16) -> Name {
    format!("engine-{key}").into()
}

/// A write of one key; without an endpoint it removed the entry.
#[derive(Clone)]
pub struct Write {
    pub key: u16,
    pub position: Position,
    created_revision: u64,
    endpoint: Option<Arc<Endpoint>>,
}

impl Write {
    pub fn is_listed(&self) -> bool {
        self.endpoint.is_some()
    }

    pub fn document(&self) -> Revised {
        let (document, created_revision) = match &self.endpoint {
            Some(endpoint) => (Document::Endpoint(endpoint.clone()), self.created_revision),
            None => (Document::Removed(name(self.key)), 0),
        };
        Revised { position: self.position, created_revision, document }
    }
}

/// The store, and all that was ever written to it.
pub struct Store {
    pub at: Position,
    /// Writes by era, each in their order; an era begins with those of its copy.
    writes: BTreeMap<u64, Vec<Write>>,
    /// Watches from before this revision find their history gone.
    pub compacted_to: u64,
}

impl Store {
    pub fn new(keys: u16) -> Self {
        let at = Position::new(1, 0);
        let mut store = Self { at, writes: BTreeMap::new(), compacted_to: 0 };
        (0..keys).for_each(|key| store.put(key, false));
        store
    }

    /// The last write of each key up to a position of any era.
    pub fn state(&self, at: Position) -> BTreeMap<u16, &Write> {
        let writes = self.writes.get(&at.era).into_iter().flatten();
        let until = writes.take_while(|write| write.position <= at);
        until.map(|write| (write.key, write)).collect()
    }

    /// Whether a key was removed after a write of it, in the same era or a later one.
    pub fn is_removed_after(&self, write: &Write) -> bool {
        let later = self.writes.range(write.position.era..).flat_map(|(_, writes)| writes);
        let mut later = later.filter(|w| w.key == write.key && w.position > write.position);
        later.any(|w| !w.is_listed())
    }

    pub fn is_listed(&self, key: u16) -> bool {
        self.state(self.at).get(&key).is_some_and(|write| write.is_listed())
    }

    /// Writes an entry, or changes whether its endpoint leaves.
    pub fn put(&mut self, key: u16, leaving: bool) {
        let before = self.state(self.at).get(&key).map(|write| (*write).clone());
        let created = before.filter(Write::is_listed).map(|write| write.created_revision);
        let endpoint = Endpoint { leaving, ..(*endpoint("engine", key)).clone() };
        self.write(key, created, Some(Arc::new(endpoint)));
    }

    pub fn remove(&mut self, key: u16) {
        if self.is_listed(key) {
            self.write(key, Some(0), None);
        }
    }

    fn write(&mut self, key: u16, created: Option<u64>, endpoint: Option<Arc<Endpoint>>) {
        self.at.revision += 1;
        let created_revision = created.unwrap_or(self.at.revision);
        let write = Write { key, position: self.at, created_revision, endpoint };
        self.writes.entry(self.at.era).or_default().push(write);
    }

    /// Restores the store from its copy of a number of writes ago, in the next era.
    pub fn restore(&mut self, lost_writes: u64) {
        let era = self.at.era + 1;
        let revision = self.at.revision.saturating_sub(lost_writes);
        let kept = self.writes[&self.at.era].iter().filter(|w| w.position.revision <= revision);
        let in_era = |write: &Write| {
            let position = Position::new(era, write.position.revision);
            Write { position, ..write.clone() }
        };
        let kept = kept.map(in_era).collect();
        self.writes.insert(era, kept);
        self.at = Position::new(era, revision);
        self.compacted_to = revision;
    }

    /// The entries of the page after a key, and the last key if there are more pages.
    pub fn page(&self, after: Option<u16>) -> (Vec<Revised>, Option<u16>) {
        let state = self.state(self.at);
        let listed = state.values().filter(|write| write.is_listed());
        let rest: Vec<_> = listed.filter(|write| after.is_none_or(|key| write.key > key)).collect();
        let page = rest.iter().take(PAGE);
        let last = rest.get(PAGE - 1).filter(|_| rest.len() > PAGE);
        (page.map(|write| write.document()).collect(), last.map(|write| write.key))
    }

    /// The last writes of the keys that were written after a revision.
    pub fn changes(&self, since: u64) -> Vec<Revised> {
        let state = self.state(self.at);
        let changed = state.values().filter(|write| write.position.revision > since);
        changed.map(|write| write.document()).collect()
    }
}
