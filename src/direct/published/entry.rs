//! The entry of one endpoint, across its removals and the eras of the publisher's store.

use std::sync::Arc;

use crate::direct::published::model::Endpoint;
use crate::direct::published::position::Position;
use crate::message::Timestamp;

/// What is known of one endpoint's entry.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) position: Position,
    pub(super) endpoint: Option<Arc<Endpoint>>,
    /// The last known incarnation.
    pub(super) incarnation: u64,
    /// Whether that incarnation was leaving when the entry was removed.
    pub(super) was_leaving: bool,
    /// Position at which the entry was last listed, and the revision at which its key was created
    /// (0 if unknown).
    pub(super) listed_at: Position,
    pub(super) created_revision: u64,
    /// An endpoint that an older copy restored, and the time at which it is confirmed.
    pub(super) unconfirmed: Option<(Arc<Endpoint>, Timestamp)>,
    /// The endpoint of an entry that expired or is missing from a restored copy, and the time until
    /// which it remains usable.
    pub(super) expired: Option<(Arc<Endpoint>, Timestamp)>,
    pub(super) changed_at: Timestamp,
}

impl Entry {
    /// Creates an entry as of a position, without an endpoint.
    pub(super) const fn new(position: Position, now: Timestamp) -> Self {
        Self {
            position,
            endpoint: None,
            incarnation: 0,
            was_leaving: false,
            listed_at: position,
            created_revision: 0,
            unconfirmed: None,
            expired: None,
            changed_at: now,
        }
    }

    /// Returns the endpoint if it may be used.
    pub(super) fn usable(&self) -> Option<&Arc<Endpoint>> {
        self.endpoint.as_ref().or(self.expired.as_ref().map(|(endpoint, _)| endpoint))
    }

    /// Whether the list has the endpoint, confirmed or not.
    pub(super) const fn is_in_list(&self) -> bool {
        self.endpoint.is_some() || self.unconfirmed.is_some()
    }

    /// Whether an older copy lists an endpoint as ready that is leaving or has left. An incarnation
    /// that leaves never becomes ready again.
    pub(super) fn has_departed(&self, copied: &Endpoint, position: Position) -> bool {
        let was_leaving = self.endpoint.as_ref().map_or(self.was_leaving, |known| known.leaving);
        self.position.era < position.era
            && was_leaving
            && !copied.leaving
            && copied.incarnation == self.incarnation
    }

    /// Whether an older copy lists an endpoint whose entry was removed after the copy. The copy has
    /// the entry at its last known revision or an earlier one. An entry that was written again has
    /// a later revision, a newly created key, or another incarnation.
    pub(super) fn was_removed_since(
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
    pub(super) const fn is_missing_from_copy(&self, removed: Position) -> bool {
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
