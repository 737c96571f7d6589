//! Builds of this gateway and of its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::direct::peers::codec::FORM;
use crate::direct::poison::SubjectKind;

/// The build of a gateway as its process reports it; the version is empty if it reports none.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Build {
    /// Version of the program.
    pub version: String,
    /// Commit, if `STACKMAST_COMMIT` was set for the build.
    pub commit: Option<String>,
    /// The compact message form that the build writes.
    pub form: u32,
}

impl Build {
    /// The build of this process.
    pub fn own() -> Self {
        let version = env!("CARGO_PKG_VERSION").to_owned();
        let commit = option_env!("STACKMAST_COMMIT").map(ToOwned::to_owned);
        Self { version, commit, form: FORM }
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let commit = self.commit.as_deref().unwrap_or("commit not known");
        write!(f, "{} ({commit}, form {})", self.version, self.form)
    }
}

/// The first form whose builds exchange permits for endpoint limits.
const PERMITS_SINCE: u32 = 5;
/// The first form with heartbeats that name only what changed.
const HEARTBEATS_SINCE: u32 = 7;
/// The first form whose builds hold the origins of streams.
const ORIGINS_SINCE: u32 = 9;
/// The first form whose builds know poison parts of prompts.
const PROMPT_PARTS_SINCE: u32 = 10;
/// The first form whose builds announce a position only if they hold every change of the endpoint
/// list up to it.
const VERIFIED_LISTS_SINCE: u32 = 11;
/// Maximum number of tracked peers; bounds memory. 580 gateways are expected within two years.
const MAX_OTHER_BUILDS: usize = 1_024;

/// The peers that run another build than this gateway, and the message forms that could not be
/// read.
#[derive(Debug, Default)]
pub struct Builds {
    others: BTreeMap<SocketAddr, (u64, Build)>,
    /// Number of changes to the peers that run another build.
    changes: u64,
    /// Peers and message forms whose unreadable messages have been logged.
    reported_unreadable: BTreeSet<(SocketAddr, u32)>,
}

/// The change caused by a peer's greeting.
#[derive(Debug, PartialEq, Eq)]
pub enum GreetingChange {
    /// No change.
    Unchanged,
    /// The peer is newly known to run another build.
    OtherBuild,
    /// The peer ran the contained build before and now runs the same build as this gateway.
    OwnBuild(Build),
}

impl Builds {
    /// Records the build in a peer's greeting.
    pub fn on_greeting(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        build: &Build,
    ) -> GreetingChange {
        let before = self.others.get(&address);
        if *build == Build::own() {
            return self
                .remove(address)
                .map_or(GreetingChange::Unchanged, |(_, build)| GreetingChange::OwnBuild(build));
        }
        if before.is_some_and(|(known_incarnation, known)| {
            *known_incarnation == incarnation && known == build
        }) {
            return GreetingChange::Unchanged;
        }
        if self.others.len() >= MAX_OTHER_BUILDS && before.is_none() {
            return GreetingChange::Unchanged;
        }
        self.others.insert(address, (incarnation, build.clone()));
        self.changes += 1;
        self.reported_unreadable.retain(|(peer, _)| *peer != address);
        GreetingChange::OtherBuild
    }

    /// Removes a peer; returns its incarnation and build if it ran another build.
    pub fn remove(&mut self, address: SocketAddr) -> Option<(u64, Build)> {
        self.reported_unreadable.retain(|(peer, _)| *peer != address);
        let removed = self.others.remove(&address);
        self.changes += u64::from(removed.is_some());
        removed
    }

    /// Records an unreadable message form of a peer; returns whether it is to be logged.
    pub fn report_unreadable(&mut self, address: SocketAddr, form: u32) -> bool {
        self.reported_unreadable.len() < MAX_OTHER_BUILDS
            && self.reported_unreadable.insert((address, form))
    }

    /// Whether a peer exchanges permits, which builds before `PERMITS_SINCE` don't. A peer that
    /// has not sent a greeting yet is assumed to run this build.
    pub fn gives_permits(&self, address: SocketAddr) -> bool {
        self.others.get(&address).is_none_or(|(_, build)| build.form >= PERMITS_SINCE)
    }

    /// Whether a peer reads heartbeats. A peer that has not sent a greeting yet is assumed to run
    /// this build.
    pub fn reads_heartbeats(&self, address: SocketAddr) -> bool {
        self.others.get(&address).is_none_or(|(_, build)| build.form >= HEARTBEATS_SINCE)
    }

    /// Whether a peer holds the origins of streams. A peer that has not sent a greeting yet is
    /// assumed to run this build.
    pub fn holds_origins(&self, address: SocketAddr) -> bool {
        self.others.get(&address).is_none_or(|(_, build)| build.form >= ORIGINS_SINCE)
    }

    /// Whether a peer knows poison of a kind. A peer that has not sent a greeting yet is assumed to
    /// run this build.
    pub fn knows(&self, address: SocketAddr, kind: SubjectKind) -> bool {
        kind == SubjectKind::Content
            || self.others.get(&address).is_none_or(|(_, build)| build.form >= PROMPT_PARTS_SINCE)
    }

    /// Whether a peer holds every change of the endpoint list up to the position that it announces.
    /// A peer that has not sent a greeting yet is assumed to run this build.
    pub fn verifies_lists(&self, address: SocketAddr) -> bool {
        self.others.get(&address).is_none_or(|(_, build)| build.form >= VERIFIED_LISTS_SINCE)
    }

    /// Increases whenever a peer begins or ceases to run another build.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of peers that run another build.
    pub fn other_count(&self) -> usize {
        self.others.len()
    }
}
