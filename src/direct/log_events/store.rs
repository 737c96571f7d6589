//! Log events about the publisher's store: its eras and restores from an older copy.

use std::sync::Arc;

use serde::Serialize;

use crate::direct::published::model::Name;

/// Entries of endpoints from the publisher's store or a peer were merged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ListMerged {
    /// `publisher`, or the address of the gateway that sent the entries.
    pub source: String,
    /// Number of entries and removals.
    pub entries: usize,
    /// Revision up to which the source states that the entries are complete; `None` for individual
    /// entries.
    pub complete_to: Option<u64>,
    /// Era of the position that this gateway announces to its peers.
    pub era: u64,
    /// Revision that this gateway announced before.
    pub before: u64,
    /// Revision that this gateway announces from now on.
    pub announced: u64,
}

/// An endpoint's entry was added, changed or removed, or the endpoint announced its departure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// `listed`, `leaving`, `gone` (removed) or `lapsed` (expired, store unavailable).
    pub state: &'static str,
    /// `publisher`, a gateway's address, or the kind of call that announced a departure.
    pub source: String,
    /// Software version in its entry; `None` if it has no entry.
    pub software_version: Option<String>,
}

/// A newer era of the store began: the store was restored from an older copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreEra {
    /// Previous era.
    pub before: u64,
    /// Last revision of endpoints seen in the previous era.
    pub revision_before: u64,
    /// The new era.
    pub era: u64,
    /// `publisher`, or the address of the gateway that reported the era.
    pub source: String,
}

/// The first complete list of a new era arrived. Of the endpoints that it affects, only some are
/// named.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreReturned {
    /// Previous era.
    pub before: u64,
    /// Last revision of endpoints seen in the previous era.
    pub revision_before: u64,
    /// The new era.
    pub era: u64,
    /// Revision of the list.
    pub revision: u64,
    /// `publisher`, or the address of the gateway that sent the list.
    pub source: String,
    /// Endpoints that the list shows as ready, but that announced their departure; they stay
    /// leaving.
    pub leaving: Vec<Name>,
    /// Listed endpoints whose entries had been removed; they get no work until confirmed.
    pub doubted: Vec<Name>,
    /// Endpoints missing from the restored copy; used until their next entry is due.
    pub lacked: Vec<Name>,
}

/// Logged when the configuration in the store becomes older than the one in force, and at each read
/// until it no longer is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PublishedVersion {
    /// Version in the store.
    pub published: u64,
    /// Version in force.
    pub in_force: u64,
    /// Whether the version in the store is older than the one in force.
    pub is_older: bool,
}

/// A long, failed or repeated read of the publisher's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoreReadOutcome {
    /// What was read: `configuration` or `endpoints`.
    pub subject: &'static str,
    /// Whether the read was a watch.
    pub watch: bool,
    /// `whole`, or `unreachable`, `silent`, `torn`, `outdated`, `refused`, `unreadable`, `unusable`
    /// or `endless`.
    pub outcome: &'static str,
    /// Path and query of a call that failed; with the cause if the outcome is `endless`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<Arc<str>>,
    /// What is wrong with a response that is not well-formed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fault: Option<String>,
    /// Bytes received.
    pub bytes: usize,
    /// Bytes announced as the length of the response.
    pub expected: Option<u64>,
    /// Whether a second connection responded while the first one was silent.
    pub again: bool,
    /// Milliseconds from the call to the response's head, or to the failure.
    pub waited_ms: u64,
    /// Milliseconds from the head to the end of the response.
    pub took_ms: u64,
    /// Milliseconds spent decoding.
    pub decode_ms: u64,
}
