//! Positions in the history of the publisher's store, and the eras of that history.
//!
//! An era begins when the store is restored from an older copy: changes acknowledged after the copy
//! are lost, and their revisions are assigned again. Revisions are therefore comparable only within
//! an era.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A point in the store's history; a later era is after all of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era; 0 for a store that reports none.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl Position {
    /// Creates a position from an era and a revision.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Term of the position in a digest of a list; the same in all processes.
    pub(super) fn digest_term(self) -> u64 {
        xxh3_64_with_seed(&self.revision.to_le_bytes(), self.era)
    }
}

/// The newest era that a process has observed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    newest: Option<u64>,
    has_changed: bool,
}

/// Returned by [`Eras::observe`] when a newer era has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewEra {
    /// The previous era; `None` for the first observed one.
    pub before: Option<u64>,
}

impl Eras {
    /// Records an era; returns `None` unless it is newer than all previous ones.
    pub fn observe(&mut self, era: u64) -> Option<NewEra> {
        let before = self.newest;
        if before.is_some_and(|newest| newest >= era) {
            return None;
        }
        self.newest = Some(era);
        self.has_changed |= before.is_some();
        Some(NewEra { before })
    }

    /// The newest era; 0 if none is known.
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Adds the era to a position from a build without eras. While only one era has been observed,
    /// the revision is in that era. After that the era is ambiguous, and the position counts as
    /// older than all others.
    pub fn resolve(&self, position: Position) -> Position {
        let is_unambiguous = position.era == 0 && !self.has_changed;
        if is_unambiguous { Position::new(self.newest(), position.revision) } else { position }
    }
}
