//! Validates published configurations and holds the one in force; its version only increases.

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

/// The configuration in force and the parts that it was assembled from.
#[derive(Debug)]
pub struct Installed {
    /// The configuration.
    pub config: Arc<Config>,
    /// Manifest and parts, as served to peers.
    pub bundle: Bundle,
    assembled: Assembled,
}

/// Result of offering a configuration that passed all checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The offered configuration is now in force.
    Accepted,
    /// The offered version was already in force.
    Same,
    /// A newer version is in force.
    Older,
}

/// Why a configuration was not applied.
#[derive(Debug, Snafu)]
pub enum Rejection {
    /// The parts could not be assembled into a configuration.
    #[snafu(display("{source}"))]
    Parts {
        /// Cause of the failure.
        source: PartsError,
    },
    /// The configuration did not pass validation.
    #[snafu(display("version {version} has {count} findings"))]
    Findings {
        /// Version of the rejected configuration.
        version: u64,
        /// Number of findings.
        count: usize,
    },
    /// A configuration with the same version but different content is in force.
    #[snafu(display("version {version} is already in force with different content"))]
    Conflict {
        /// Version that both configurations have.
        version: u64,
    },
}

/// The configuration of one process.
#[derive(Debug)]
pub struct ConfigStore {
    installed: ArcSwapOption<Installed>,
    /// Digest of the last rejected manifest, so that each rejection is recorded once; the lock also
    /// serialises offers.
    rejected: Mutex<Option<String>>,
    announced: watch::Sender<u64>,
    audit: Audit,
}

impl ConfigStore {
    /// Creates a store without a configuration.
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

    /// The version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.installed.load().as_ref().map_or(0, |i| i.config.version)
    }

    /// Receives each version as it takes effect.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.announced.subscribe()
    }

    /// Whether the parts of a manifest should be fetched: its version is newer than the one in
    /// force and its digest is not the last one rejected.
    pub fn should_fetch(&self, version: u64, digest: &str) -> bool {
        let rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        version > self.version() && rejected.as_deref() != Some(digest)
    }

    /// Whether a manifest has the version in force but a different digest. The conflict is counted
    /// and recorded in the audit trail once for each digest.
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

    /// Validates a configuration and puts it in force as a whole, or rejects it without any effect.
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
        let validated = self.validate(&bundle, current.as_deref());
        let assembled = match validated {
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

    fn validate(
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
