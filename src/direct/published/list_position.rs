//! Positions of the endpoint list: of what a process has received, and up to which it holds every
//! change.
//!
//! The two differ while a list is read in pages, which are no snapshot, and while entries arrive
//! one by one. Only the second position is announced to peers, since they pull what is after it.

use serde::{Deserialize, Serialize};

use crate::direct::published::position::Position;

/// What a set of entries from the publisher's store is complete for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// Individual entries; others may have changed, too.
    Partial,
    /// Every change after `since` up to `up_to`.
    Changes {
        /// Position after which changes are included.
        since: Position,
        /// Position of the last included change, or a later one.
        up_to: Position,
    },
    /// The complete list. Each entry is as of `at` or newer, and changes after `at` may be missing.
    Complete {
        /// Position of the list; for a list in pages, that of the first page.
        at: Position,
    },
    /// The part of the list that can be read; the rest can't be asked for.
    Truncated,
}

/// How the receiver of a peer's entries verifies that it holds every change up to the peer's
/// position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verification {
    /// The entries are the complete list.
    CompleteList,
    /// The entries are those after the position of the pull. The receiver holds every change if its
    /// list up to the peer's position has this digest; see [`ListDigest`].
    Digest(ListDigest),
}

/// Digest of the listed entries up to a position.
///
/// A revision belongs to one change of one key, so lists with the same positions have the same
/// entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Number of entries.
    pub entries: u64,
    /// Sum of the terms of their positions; see [`Position::digest_term`].
    pub positions: u64,
}

impl ListDigest {
    /// Computes the digest of entries with these positions, in any order.
    pub fn of(positions: impl Iterator<Item = Position>) -> Self {
        let empty = Self { entries: 0, positions: 0 };
        positions.fold(empty, |digest, position| Self {
            entries: digest.entries + 1,
            positions: digest.positions.wrapping_add(position.digest_term()),
        })
    }
}

/// How far a process has received the endpoint list.
#[derive(Debug, Default)]
pub(super) struct ListPosition {
    /// Highest position among the received entries; entries at lower positions may be missing.
    pub(super) received: Position,
    /// Position up to which every change was received; `None` before the first complete list.
    complete_to: Option<Position>,
}

impl ListPosition {
    /// Records an entry or a removal at a position.
    pub(super) fn record(&mut self, position: Position) {
        self.received = self.received.max(position);
    }

    /// Records that every change up to a position was received.
    pub(super) fn record_complete(&mut self, at: Position) {
        self.complete_to = self.complete_to.max(Some(at));
        // An empty list has no entry to carry its era.
        self.record(Position::new(at.era, 0));
    }

    /// Records that every change after `since` up to `up_to` was received. Without the changes up
    /// to `since` this completes nothing.
    pub(super) fn record_changes(&mut self, since: Position, up_to: Position) {
        if self.is_complete_to(since) {
            self.record_complete(up_to);
        }
    }

    /// Whether every change up to a position was received.
    pub(super) fn is_complete_to(&self, position: Position) -> bool {
        self.complete_to.is_some_and(|complete_to| position <= complete_to)
    }

    /// Whether a received entry is newer than the position up to which the list is complete.
    pub(super) fn has_newer_entries(&self) -> bool {
        !self.is_complete_to(self.received)
    }
}
