//! Keeps the documents in force: the configuration and the host list. Versions only grow.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use snafu::Snafu;
use tokio::sync::watch;

use crate::audit::{Audit, Change, SHOWN_CHANGES};
use crate::config::Config;
use crate::config::check::check;
use crate::config::diff::diff;
use crate::config::parts::{Assembled, Bundle, PartsError, join};
use crate::invariant;
use crate::invariant::Violation;
use crate::metrics as m;

/// A configuration in force, with the parts that it came in.
#[derive(Debug)]
pub struct Installed {
    /// The configuration.
    pub config: Arc<Config>,
    /// Its manifest and parts, for peers.
    pub bundle: Bundle,
    assembled: Assembled,
}

/// What became of a configuration that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force now.
    Accepted,
    /// It was in force already.
    Same,
    /// A newer one is in force.
    Older,
}

/// Why a configuration was not applied.
#[derive(Debug, Snafu)]
pub enum Rejection {
    /// Its parts make no configuration.
    #[snafu(display("{source}"))]
    Parts {
        /// Why.
        source: PartsError,
    },
    /// Checks found something wrong.
    #[snafu(display("version {version} has {count} findings"))]
    Findings {
        /// Its version.
        version: u64,
        /// How many.
        count: usize,
    },
    /// Another content has this version already.
    #[snafu(display("version {version} is in force with another content"))]
    Conflict {
        /// The version.
        version: u64,
    },
}

/// The configuration of one process.
#[derive(Debug)]
pub struct ConfigStore {
    installed: ArcSwapOption<Installed>,
    /// Serialises offers; holds the last rejected digest, so that it is recorded once.
    rejected: Mutex<Option<String>>,
    announced: watch::Sender<u64>,
    audit: Audit,
}

impl ConfigStore {
    /// A store of nothing yet.
    pub fn new(audit: Audit) -> Self {
        Self {
            installed: ArcSwapOption::empty(),
            rejected: Mutex::new(None),
            announced: watch::Sender::new(0),
            audit,
        }
    }

    /// The configuration in force.
    pub fn installed(&self) -> Option<Arc<Installed>> {
        self.installed.load_full()
    }

    /// The version in force; 0 where there is none.
    pub fn version(&self) -> u64 {
        self.installed.load().as_ref().map_or(0, |i| i.config.version)
    }

    /// Says each version that comes in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.announced.subscribe()
    }

    /// Whether a manifest is worth fetching: newer, and not rejected before.
    pub fn wants(&self, version: u64, digest: &str) -> bool {
        let rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        version > self.version() && rejected.as_deref() != Some(digest)
    }

    /// Counts and records another content under the version in force; returns whether it is one.
    pub fn is_conflict(&self, version: u64, digest: &str) -> bool {
        let Some(current) = self.installed() else {
            return false;
        };
        let ours = &current.bundle.manifest.digest;
        if version != current.config.version || digest == ours {
            return false;
        }
        let mut rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        if rejected.as_deref() != Some(digest) {
            *rejected = Some(digest.to_owned());
            count("conflict");
            let (ours, theirs) = (ours.clone(), digest.to_owned());
            self.audit.record(Change::ConfigConflict { version, ours, theirs });
        }
        true
    }

    /// Applies a configuration as a whole, or nothing of it.
    pub fn offer(&self, bundle: Bundle, source: &str) -> Result<Outcome, Rejection> {
        let (version, digest) = (bundle.manifest.version, bundle.manifest.digest.clone());
        if self.is_conflict(version, &digest) {
            return ConflictSnafu { version }.fail();
        }
        let mut rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.installed();
        let before = current.as_ref().map_or(0, |c| c.config.version);
        if version <= before {
            return Ok(if version == before { Outcome::Same } else { Outcome::Older });
        }
        let checked = self.checked(&bundle, current.as_deref());
        let assembled = match checked {
            Ok(assembled) => assembled,
            Err(rejection) => {
                *rejected = Some(digest);
                count("rejected");
                return Err(rejection);
            }
        };
        self.install(current.as_deref(), assembled, bundle, source);
        Ok(Outcome::Accepted)
    }

    fn checked(
        &self,
        bundle: &Bundle,
        current: Option<&Installed>,
    ) -> Result<Assembled, Rejection> {
        let version = bundle.manifest.version;
        let assembled = join(bundle, current.map(|c| &c.assembled)).map_err(|source| {
            let findings = vec![source.to_string()];
            self.audit.record(Change::ConfigRejected { version, findings });
            Rejection::Parts { source }
        })?;
        let findings = check(&assembled.config);
        if findings.is_empty() {
            return Ok(assembled);
        }
        let count = findings.len();
        let findings = findings.iter().map(ToString::to_string).collect();
        self.audit.record(Change::ConfigRejected { version, findings });
        FindingsSnafu { version, count }.fail()
    }

    fn install(
        &self,
        current: Option<&Installed>,
        assembled: Assembled,
        bundle: Bundle,
        source: &str,
    ) {
        let config = assembled.config.clone();
        let before = current.map_or(0, |c| c.config.version);
        let version = config.version;
        let violation = Violation::ConfigReverted { from: before, to: version };
        if !invariant!(version > before, violation) {
            return;
        }
        let changes = current.map_or_else(Vec::new, |c| diff(&c.config, &config));
        self.audit.record(Change::ConfigAccepted {
            version,
            before,
            source: source.to_owned(),
            changes: changes.iter().take(SHOWN_CHANGES).map(ToString::to_string).collect(),
            total: changes.len(),
        });
        count("accepted");
        metrics::gauge!(m::CONFIG_VERSION).set(version as f64);
        self.installed.store(Some(Arc::new(Installed { config, bundle, assembled })));
        self.announced.send_replace(version);
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(m::CONFIG_CHANGES, "outcome" => outcome).increment(1);
}
