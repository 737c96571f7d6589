//! The audit trail: changes of the configuration, of endpoints and of the process itself.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use slog::{Logger, info};

/// Entries kept in memory; the oldest are dropped first. All entries are also logged.
const MAX_ENTRIES: usize = 1_024;
/// Differences recorded for an accepted configuration; further ones are only counted.
pub const SHOWN_CHANGES: usize = 32;

/// A recorded change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    /// The process started.
    Started {
        /// Incarnation of the process.
        incarnation: String,
    },
    /// The process received the order to stop.
    Draining,
    /// A configuration came into force.
    ConfigAccepted {
        /// Version of the configuration.
        version: u64,
        /// Version of the previous configuration; 0 if there was none.
        before: u64,
        /// Source of the configuration.
        source: String,
        /// The first differences from the previous configuration.
        changes: Vec<String>,
        /// Total number of differences.
        total: usize,
    },
    /// A configuration was rejected; the previous one stays in force.
    ConfigRejected {
        /// Version of the rejected configuration.
        version: u64,
        /// Errors found in the configuration.
        findings: Vec<String>,
    },
    /// Different content was received for the version that is in force.
    ConfigConflict {
        /// Version of the configuration.
        version: u64,
        /// Digest of the configuration in force.
        ours: String,
        /// Digest of the conflicting content.
        theirs: String,
    },
    /// An endpoint's agent failed or is unreachable.
    EndpointSuspected {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// A suspected endpoint's agent is reachable again.
    EndpointBack {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// An endpoint accepts no new work.
    EndpointLeaving {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// An endpoint accepts new work.
    EndpointServing {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// The platform stopped responding, or responds again.
    Platform {
        /// Whether the platform responds.
        answers: bool,
    },
    /// An engine was ordered to load a model.
    OrderGiven {
        /// Name of the endpoint.
        endpoint: String,
        /// Content of the order.
        order: String,
        /// Whether the engine accepted the order.
        accepted: bool,
    },
}

/// A change with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the Unix epoch, by the clock of this host.
    pub at_unix_ms: u64,
    /// The recorded change.
    pub change: Change,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = serde_json::to_string(&self.change).map_err(|_| fmt::Error)?;
        write!(f, "{} {change}", self.at_unix_ms)
    }
}

/// The audit trail of one process; clones share their entries.
#[derive(Debug, Clone)]
pub struct Audit {
    entries: Arc<Mutex<VecDeque<Entry>>>,
    log: Logger,
}

impl Audit {
    /// Creates an empty trail that also writes to `log`.
    pub fn new(log: Logger) -> Self {
        Self { entries: Arc::default(), log }
    }

    /// Records and logs a change.
    pub fn record(&self, change: Change) {
        let text = serde_json::to_string(&change).unwrap_or_default();
        info!(self.log, "change"; "change" => text);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = Entry { at_unix_ms: since.as_millis() as u64, change };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns up to `count` entries, newest first.
    pub fn recent(&self, count: usize) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.iter().rev().take(count).cloned().collect()
    }
}
