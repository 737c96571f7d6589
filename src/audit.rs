//! The audit trail of changes: configuration, endpoints, orders, the process itself.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use slog::{Logger, info};

/// Entries that are kept; the oldest are let go of first, the log has them all.
const KEPT: usize = 1_024;
/// Differences shown with one accepted configuration.
pub const SHOWN_CHANGES: usize = 32;

/// What changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    /// The process started.
    Started {
        /// Its incarnation.
        incarnation: String,
    },
    /// The process was told to stop.
    Draining,
    /// A configuration is in force.
    ConfigAccepted {
        /// Its version.
        version: u64,
        /// The version before; 0 where there was none.
        before: u64,
        /// Where it came from.
        source: String,
        /// What it changes; the first few.
        changes: Vec<String>,
        /// Changes in all.
        total: usize,
    },
    /// A configuration was refused; the one before stays in force.
    ConfigRejected {
        /// Its version.
        version: u64,
        /// What is wrong with it.
        findings: Vec<String>,
    },
    /// Another content came under a version that is in force.
    ConfigConflict {
        /// The version.
        version: u64,
        /// The digest in force.
        ours: String,
        /// The other digest.
        theirs: String,
    },
    /// An endpoint's agent failed or can't be reached.
    EndpointSuspected {
        /// The endpoint.
        endpoint: String,
    },
    /// A suspected endpoint's agent was heard of again.
    EndpointBack {
        /// The endpoint.
        endpoint: String,
    },
    /// An endpoint takes no new work.
    EndpointLeaving {
        /// The endpoint.
        endpoint: String,
    },
    /// An endpoint takes new work.
    EndpointServing {
        /// The endpoint.
        endpoint: String,
    },
    /// The platform stopped answering, or answers again.
    Platform {
        /// Whether it answers.
        answers: bool,
    },
    /// An engine was ordered to load.
    OrderGiven {
        /// The endpoint.
        endpoint: String,
        /// What it was told.
        order: String,
        /// Whether the engine took it.
        accepted: bool,
    },
}

/// One change, with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since 1970, by this host's clock.
    pub at_unix_ms: u64,
    /// What changed.
    pub change: Change,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = serde_json::to_string(&self.change).map_err(|_| fmt::Error)?;
        write!(f, "{} {change}", self.at_unix_ms)
    }
}

/// The trail of one process; clones share it.
#[derive(Debug, Clone)]
pub struct Audit {
    entries: Arc<Mutex<VecDeque<Entry>>>,
    log: Logger,
}

impl Audit {
    /// An empty trail that also goes to `log`.
    pub fn new(log: Logger) -> Self {
        Self { entries: Arc::default(), log }
    }

    /// Records a change.
    pub fn record(&self, change: Change) {
        let text = serde_json::to_string(&change).unwrap_or_default();
        info!(self.log, "change"; "change" => text);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = Entry { at_unix_ms: since.as_millis() as u64, change };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == KEPT {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// The entries that are kept, the newest first.
    pub fn recent(&self, count: usize) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.iter().rev().take(count).cloned().collect()
    }
}
