//! Where something stands in the history of the publisher's store, and which eras of it are known.
//!
//! A store that comes back from an older copy begins an era: it has lost what it acknowledged after the copy, and gives
//! revisions out again. So a revision says something only within its era.

use serde::{Deserialize, Serialize};

/// A point of the store's history; one of a later era comes after all of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era; 0 for a store that names none.
    pub era: u64,
    /// The revision within it.
    pub revision: u64,
}

impl Position {
    /// A revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// The newest era that one process knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    newest: Option<u64>,
    has_changed: bool,
}

/// A newer era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewEra {
    /// The one before; `None` for the first.
    pub before: Option<u64>,
}

impl Eras {
    /// Takes an era in; `None` unless it is newer than all before.
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

    /// Completes the position of a build without eras: in the only known era its revision counts as it is; once another
    /// has begun, the era is ambiguous and the position counts as older than all.
    pub fn adopt(&self, position: Position) -> Position {
        let is_of_the_only_one = position.era == 0 && !self.has_changed;
        if is_of_the_only_one { Position::new(self.newest(), position.revision) } else { position }
    }
}
