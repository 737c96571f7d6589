//! Published documents with their position, as stores and gateways exchange them.
//!
//! The serialized form has the revision in the field that builds without eras read, and the era in
//! a field of its own.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Deployment, Endpoint, Name};
use crate::direct::published::position::Position;

/// A published document, or the removal of one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Document {
    /// The configuration.
    Deployment(Arc<Deployment>),
    /// An endpoint's entry.
    Endpoint(Arc<Endpoint>),
    /// An endpoint's entry was removed.
    #[serde(rename = "Gone")]
    Removed(Name),
}

/// A document and its position in the store's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "WrittenRevised", into = "WrittenRevised")]
pub struct Revised {
    /// Position of the last change.
    pub position: Position,
    /// Revision at which the document's key was created; 0 if unknown, and for a removal.
    pub created_revision: u64,
    /// The document.
    pub document: Document,
}

/// Serialized form of [`Revised`]; builds without eras ignore the fields that they don't know.
#[derive(Serialize, Deserialize)]
struct WrittenRevised {
    revision: u64,
    document: Document,
    #[serde(default)]
    era: u64,
    #[serde(default)]
    #[serde(rename = "made")]
    created_revision: u64,
}

impl From<WrittenRevised> for Revised {
    fn from(written: WrittenRevised) -> Self {
        let WrittenRevised { revision, document, era, created_revision } = written;
        Self { position: Position::new(era, revision), created_revision, document }
    }
}

impl From<Revised> for WrittenRevised {
    fn from(revised: Revised) -> Self {
        let Revised { position: Position { era, revision }, created_revision, document } = revised;
        Self { revision, document, era, created_revision }
    }
}

impl Revised {
    /// Whether it is a configuration.
    pub const fn is_deployment(&self) -> bool {
        matches!(self.document, Document::Deployment(_))
    }
}

/// The latest configuration that a process has received, and the position up to which it holds
/// every change of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(from = "WrittenSeen", into = "WrittenSeen")]
pub struct Seen {
    /// Version of the configuration.
    pub version: u64,
    /// Highest position of an entry up to which the process holds every change; from builds before
    /// form 11 the highest position among all entries, of which earlier ones may be missing.
    pub endpoints: Position,
}

/// Serialized form of [`Seen`]; builds without eras ignore the fields that they don't know.
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
    /// Whether `other` includes something that `self` does not.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.version < other.version || self.endpoints < other.endpoints
    }
}
