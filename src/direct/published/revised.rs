//! Published documents with their position, as stores and gateways hand them over.
//!
//! They are written with the revision where builds without eras read it, and with the era beside it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::position::Position;

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

/// A document and where it stands in the store's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "WrittenRevised", into = "WrittenRevised")]
pub struct Revised {
    /// Its last change.
    pub position: Position,
    /// The revision at which its key was created; 0 where that is not known, and for what is gone.
    pub made: u64,
    /// The document.
    pub document: Document,
}

/// How it is written: builds that know no eras read what they know of it.
#[derive(Serialize, Deserialize)]
struct WrittenRevised {
    revision: u64,
    document: Document,
    #[serde(default)]
    era: u64,
    #[serde(default)]
    made: u64,
}

impl From<WrittenRevised> for Revised {
    fn from(written: WrittenRevised) -> Self {
        let WrittenRevised { revision, document, era, made } = written;
        Self { position: Position::new(era, revision), made, document }
    }
}

impl From<Revised> for WrittenRevised {
    fn from(revised: Revised) -> Self {
        let Revised { position: Position { era, revision }, made, document } = revised;
        Self { revision, document, era, made }
    }
}

impl Revised {
    /// Whether it is a configuration.
    pub const fn is_deployment(&self) -> bool {
        matches!(self.document, Document::Deployment(_))
    }
}

/// The latest that a process has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(from = "WrittenSeen", into = "WrittenSeen")]
pub struct Seen {
    /// The configuration's version.
    pub version: u64,
    /// Of all entries of endpoints.
    pub endpoints: Position,
}

/// How it is written: builds that know no eras read what they know of it.
#[derive(Serialize, Deserialize)]
struct WrittenSeen {
    version: u64,
    endpoints: u64,
    #[serde(default)]
    era: u64,
}

impl From<WrittenSeen> for Seen {
    fn from(written: WrittenSeen) -> Self {
        let WrittenSeen { version, endpoints, era } = written;
        Self { version, endpoints: Position::new(era, endpoints) }
    }
}

impl From<Seen> for WrittenSeen {
    fn from(seen: Seen) -> Self {
        let Seen { version, endpoints: Position { era, revision } } = seen;
        Self { version, endpoints: revision, era }
    }
}

impl Seen {
    /// Whether `other` has something that this lacks.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.version < other.version || self.endpoints < other.endpoints
    }
}
