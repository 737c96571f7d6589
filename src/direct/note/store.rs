//! Lines about the publisher's store: its eras, and what a return from an older copy changes.

use serde::Serialize;

use crate::direct::published::model::Name;

/// A newer era of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreEra {
    /// The era before.
    pub before: u64,
    /// The last revision of endpoints that was seen in it.
    pub revision_before: u64,
    /// The new one.
    pub era: u64,
    /// `publisher`, or the address of the gateway that named it.
    pub source: String,
}

/// What the first whole list of a new era lost and brought back; of endpoints, some names each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreReturned {
    /// The era before.
    pub before: u64,
    /// The last revision of endpoints that was seen in it.
    pub revision_before: u64,
    /// The new one.
    pub era: u64,
    /// The revision of the list.
    pub revision: u64,
    /// `publisher`, or the address of the gateway that sent it.
    pub source: String,
    /// Endpoints that it lists as ready and that go on leaving.
    pub leaving: Vec<Name>,
    /// Endpoints that it lists and whose entries were gone: no work for them yet.
    pub doubted: Vec<Name>,
    /// Endpoints that it lacks: used until they were due to write again.
    pub lacked: Vec<Name>,
}

/// The configuration in the store against the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PublishedVersion {
    /// The version in the store.
    pub published: u64,
    /// The one in force.
    pub in_force: u64,
    /// Whether the one in the store is older.
    pub is_older: bool,
}
