//! Distributes documents in the fleet. All processes together poll the platform at a fixed rate; a
//! process that finds a newer version announces it to its neighbours, which pull the document and
//! announce it to theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use rand::RngExt;
use rand::seq::IndexedRandom;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::audit::{Audit, Change};
use crate::channels::{Channels, ConnectError};
use crate::config::parts::{Bundle, Manifest};
use crate::config_store::{ConfigStore, Outcome, Rejection};
use crate::metrics as m;
use crate::platform::{HostList, HostState, Platform, PlatformError};
use crate::wire::v1::peer_client::PeerClient;
use crate::wire::{MAX_MESSAGE_LEN, PROTOCOL, v1};

/// Name of the configuration document in exchanges.
pub const CONFIG: &str = "config";
/// Name of the host list document in exchanges.
pub const HOSTS: &str = "hosts";
/// Number of peers to which new versions are announced and with which versions are compared.
const NEIGHBOURS: usize = 8;
/// Mean interval at which versions are compared with one randomly chosen neighbour.
const EXCHANGE_EVERY: Duration = Duration::from_secs(2);
/// Timeout of one exchange or pull.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a starting process waits for the manifests requested from the platform and peers.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of calls in one poll: the manifest and the host list.
const CALLS_PER_POLL: f64 = 2.0;

/// Why documents could not be pulled from a peer or the platform.
#[derive(Debug, Snafu)]
pub enum PullError {
    /// The connection to the peer could not be established.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// Cause of the failure.
        source: ConnectError,
    },
    /// The peer responded with an error, or the connection failed.
    #[snafu(display("{source}"))]
    Call {
        /// Status of the failed call.
        source: Box<tonic::Status>,
    },
    /// The peer did not respond within the timeout.
    #[snafu(display("the peer did not respond in time"))]
    TimedOut,
    /// The peer's message is not a valid document.
    #[snafu(display("{source}"))]
    Syntax {
        /// Position and cause of the syntax error.
        source: serde_json::Error,
    },
    /// The platform could not be read.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Cause of the failure.
        source: PlatformError,
    },
    /// The document was not applied.
    #[snafu(display("{source}"), context(false))]
    Rejected {
        /// Reason for the rejection.
        source: Rejection,
    },
}

impl From<tonic::Status> for PullError {
    fn from(status: tonic::Status) -> Self {
        Self::Call { source: Box::new(status) }
    }
}

/// Document distribution of one process.
pub struct Distributor {
    /// Address at which this process serves its peers.
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    polls_per_second: f64,
    store: Arc<ConfigStore>,
    hosts: ArcSwap<HostList>,
    hosts_announced: watch::Sender<u64>,
    platform: Platform,
    platform_answered: std::sync::Mutex<Option<Instant>>,
    channels: Arc<Channels>,
    audit: Audit,
    started: watch::Sender<bool>,
    /// Held during a pull, so that several announcements of one version cause one transfer only.
    pulling: Mutex<()>,
}

/// Settings and dependencies of [`Distributor`].
pub struct Setup {
    /// Address at which this process serves its peers.
    pub address: SocketAddr,
    /// Addresses of peers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Calls per second to the platform, over the whole fleet.
    pub polls_per_second: u32,
    /// Store of the configuration in force.
    pub store: Arc<ConfigStore>,
    /// Client of the platform.
    pub platform: Platform,
    /// Connection cache for peers.
    pub channels: Arc<Channels>,
    /// Audit trail in which changes are recorded.
    pub audit: Audit,
}

impl Distributor {
    /// Creates the distribution state; [`Distributor::run`] starts it.
    pub fn new(setup: Setup) -> Self {
        Self {
            address: setup.address,
            seeds: setup.seeds,
            polls_per_second: f64::from(setup.polls_per_second),
            store: setup.store,
            hosts: ArcSwap::from_pointee(HostList::default()),
            hosts_announced: watch::Sender::new(0),
            platform: setup.platform,
            platform_answered: std::sync::Mutex::new(None),
            channels: setup.channels,
            audit: setup.audit,
            started: watch::Sender::new(false),
            pulling: Mutex::new(()),
        }
    }

    /// The store of the configuration in force.
    pub const fn store(&self) -> &Arc<ConfigStore> {
        &self.store
    }

    /// The newest known host list.
    pub fn hosts(&self) -> Arc<HostList> {
        self.hosts.load_full()
    }

    /// Receives each new revision of the host list.
    pub fn subscribe_hosts(&self) -> watch::Receiver<u64> {
        self.hosts_announced.subscribe()
    }

    /// Number of live gateways in the host list, at least 1.
    pub fn gateways(&self) -> usize {
        let hosts = self.hosts();
        let live = hosts.hosts.iter().filter(|h| h.gateway && h.state == HostState::Live);
        live.count().max(1)
    }

    /// Time since the platform last responded; `None` if it never has.
    pub fn platform_age(&self) -> Option<Duration> {
        let answered = self.platform_answered.lock().unwrap_or_else(|p| p.into_inner());
        answered.map(|at| at.elapsed())
    }

    /// Addresses of all other known processes: seeds and listed hosts.
    pub fn peers(&self) -> BTreeSet<SocketAddr> {
        let listed = self.hosts();
        let listed = listed.hosts.iter().map(|h| h.internal);
        let mut peers: BTreeSet<_> = self.seeds.iter().copied().chain(listed).collect();
        peers.remove(&self.address);
        peers
    }

    /// Peers to exchange versions with; stable while the fleet is unchanged, to reuse connections.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let own = u64::from(self.address.port()) ^ hash_ip(self.address);
        let mut ranked: Vec<_> = self
            .peers()
            .into_iter()
            .map(|peer| (xxh3_64_with_seed(peer.to_string().as_bytes(), own), peer))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(NEIGHBOURS).map(|(_, peer)| peer).collect()
    }

    /// Loads the newest configuration from the platform or a peer, then polls, exchanges and
    /// announces versions until the process stops.
    pub async fn run(self: Arc<Self>) {
        self.bootstrap().await;
        tokio::join!(self.run_polls(), self.run_exchanges(), self.run_announcements());
    }

    /// Collects the versions of the platform and the neighbours before any is adopted, so that an
    /// old copy is never served first.
    async fn bootstrap(self: &Arc<Self>) {
        let mut queries = JoinSet::new();
        let platform = self.platform.clone();
        queries.spawn(async move { Some((Source::Platform, platform.manifest().await.ok()??)) });
        for peer in self.neighbours() {
            let this = self.clone();
            queries.spawn(async move {
                let manifest = this.fetch_manifest(peer, CONFIG).await.ok()?;
                Some((Source::Peer(peer), serde_json::from_slice(&manifest).ok()?))
            });
        }
        let mut offers: Vec<(Source, Manifest)> = Vec::new();
        let all = async {
            while let Some(answer) = queries.join_next().await {
                offers.extend(answer.ok().flatten());
            }
        };
        tokio::time::timeout(BOOTSTRAP_TIMEOUT, all).await.ok();
        offers.sort_by_key(|(_, manifest)| std::cmp::Reverse(manifest.version));
        for (source, manifest) in offers {
            let adopted = tokio::time::timeout(PEER_TIMEOUT, self.adopt(manifest, source)).await;
            if adopted.is_ok_and(|a| a.is_ok()) && self.store.version() > 0 {
                break;
            }
        }
        if let Ok(hosts) = self.platform.hosts().await {
            self.adopt_hosts(hosts);
        }
        self.started.send_replace(true);
    }

    /// Waits until the initial load has ended, successfully or not.
    pub async fn started(&self) {
        self.started.subscribe().wait_for(|started| *started).await.ok();
    }

    async fn run_polls(&self) {
        // The first delay is a random part of one interval, so that the poll rate also holds right
        // after the whole fleet has started at once.
        let mut phases = 0.0..1.0;
        loop {
            let processes = self.peers().len() as f64 + 1.0;
            let every = CALLS_PER_POLL * processes / self.polls_per_second;
            let phase = rand::rng().random_range(phases);
            phases = 0.5..1.5;
            tokio::time::sleep(Duration::from_secs_f64(every * phase)).await;
            // Failed polls are visible in the call counter and in the platform age metric.
            self.poll().await.ok();
        }
    }

    async fn run_exchanges(&self) {
        loop {
            let phase = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(EXCHANGE_EVERY.mul_f64(phase)).await;
            let peer = self.neighbours().choose(&mut rand::rng()).copied();
            if let Some(peer) = peer {
                self.exchange(peer).await.ok();
            }
        }
    }

    async fn run_announcements(self: &Arc<Self>) {
        let mut configs = self.store.subscribe();
        let mut hosts = self.subscribe_hosts();
        loop {
            tokio::select! {
                changed = configs.changed() => if changed.is_err() { return },
                changed = hosts.changed() => if changed.is_err() { return },
            }
            for peer in self.neighbours() {
                let this = self.clone();
                tokio::spawn(async move { this.exchange(peer).await.ok() });
            }
        }
    }

    /// Reads the manifest and the host list from the platform once.
    pub async fn poll(&self) -> Result<(), PullError> {
        let polled = self.poll_documents().await;
        let answers = !matches!(polled, Err(PullError::Platform { .. }));
        self.record_platform_state(answers);
        polled
    }

    async fn poll_documents(&self) -> Result<(), PullError> {
        let hosts = self.platform.hosts().await;
        let manifest = self.platform.manifest().await?;
        if let Some(manifest) = manifest {
            self.adopt(manifest, Source::Platform).await?;
        }
        self.adopt_hosts(hosts?);
        Ok(())
    }

    fn record_platform_state(&self, answers: bool) {
        let mut answered = self.platform_answered.lock().unwrap_or_else(|p| p.into_inner());
        let before = answered.is_some_and(|at| at.elapsed() < Duration::from_secs(60));
        if answers {
            *answered = Some(Instant::now());
        }
        drop(answered);
        if answers && !before {
            self.audit.record(Change::Platform { answers });
        }
        let age = self.platform_age().map_or(f64::INFINITY, |a| a.as_secs_f64());
        metrics::gauge!(m::PLATFORM_AGE).set(age);
    }

    fn adopt_hosts(&self, hosts: HostList) {
        if hosts.revision <= self.hosts.load().revision {
            return;
        }
        let revision = hosts.revision;
        self.hosts.store(Arc::new(hosts));
        self.hosts_announced.send_replace(revision);
    }

    /// Fetches the parts of a manifest that are not yet present and offers the configuration to the
    /// store.
    async fn adopt(&self, manifest: Manifest, source: Source) -> Result<(), PullError> {
        if self.store.is_conflict(manifest.version, &manifest.digest) {
            return Ok(());
        }
        if !self.store.should_fetch(manifest.version, &manifest.digest) {
            return Ok(());
        }
        let parts = self.collect_parts(&manifest, source).await?;
        let outcome = self.store.offer(Bundle { manifest, parts }, &source.to_string())?;
        debug_assert!(outcome != Outcome::Older || self.store.version() > 0);
        Ok(())
    }

    async fn collect_parts(
        &self,
        manifest: &Manifest,
        source: Source,
    ) -> Result<BTreeMap<String, Bytes>, PullError> {
        let mut parts = BTreeMap::new();
        let mut missing = Vec::new();
        let installed = self.store.installed();
        for entry in &manifest.parts {
            let have = installed.as_ref().and_then(|i| i.bundle.parts.get(&entry.digest));
            match have {
                Some(bytes) => {
                    parts.insert(entry.digest.clone(), bytes.clone());
                }
                None => missing.push(entry.digest.clone()),
            }
        }
        match source {
            Source::Platform => {
                for digest in missing {
                    let bytes = self.platform.part(&digest).await?;
                    parts.insert(digest, bytes);
                }
            }
            Source::Peer(peer) => parts.extend(self.fetch_parts(peer, missing).await?),
        }
        Ok(parts)
    }

    async fn fetch_parts(
        &self,
        peer: SocketAddr,
        digests: Vec<String>,
    ) -> Result<BTreeMap<String, Bytes>, PullError> {
        let mut parts = BTreeMap::new();
        if digests.is_empty() {
            return Ok(parts);
        }
        let mut client = self.client(peer).await?;
        let request = v1::PartsRequest { document: CONFIG.to_owned(), digests };
        let mut stream = client.parts(request).await?.into_inner();
        while let Some(part) = stream.next().await {
            let part = part?;
            m::control_bytes("in", part.content.len());
            parts.insert(part.digest, Bytes::from(part.content));
        }
        Ok(parts)
    }

    async fn client(
        &self,
        peer: SocketAddr,
    ) -> Result<PeerClient<tonic::transport::Channel>, PullError> {
        let channel = self.channels.get(peer).await?;
        Ok(PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_LEN))
    }

    /// Compares versions with a peer and pulls the documents of which the peer has a newer one.
    pub async fn exchange(&self, peer: SocketAddr) -> Result<(), PullError> {
        let exchanged = tokio::time::timeout(PEER_TIMEOUT, self.exchange_once(peer)).await;
        let result = exchanged.unwrap_or(Err(PullError::TimedOut));
        if matches!(result, Err(PullError::Call { .. } | PullError::TimedOut)) {
            self.channels.forget(peer);
        }
        result
    }

    async fn exchange_once(&self, peer: SocketAddr) -> Result<(), PullError> {
        let request = v1::ExchangeRequest {
            protocol: PROTOCOL,
            documents: self.versions(),
            address: self.address.to_string(),
        };
        let reply = self.client(peer).await?.exchange(request).await?.into_inner();
        self.pull_newer(peer, &reply.documents).await
    }

    /// The versions of this process's documents.
    pub fn versions(&self) -> Vec<v1::DocumentVersion> {
        let config = self.store.installed();
        let config = config.map(|i| v1::DocumentVersion {
            document: CONFIG.to_owned(),
            version: i.config.version,
            digest: i.bundle.manifest.digest.clone(),
        });
        let hosts = v1::DocumentVersion {
            document: HOSTS.to_owned(),
            version: self.hosts.load().revision,
            digest: String::new(),
        };
        config.into_iter().chain([hosts]).collect()
    }

    /// Pulls the documents of which a peer reports a newer version.
    pub async fn pull_newer(
        &self,
        peer: SocketAddr,
        theirs: &[v1::DocumentVersion],
    ) -> Result<(), PullError> {
        let pulled = tokio::time::timeout(PEER_TIMEOUT, self.pull_each(peer, theirs)).await;
        pulled.unwrap_or(Err(PullError::TimedOut))
    }

    async fn pull_each(
        &self,
        peer: SocketAddr,
        theirs: &[v1::DocumentVersion],
    ) -> Result<(), PullError> {
        for document in theirs {
            match document.document.as_str() {
                CONFIG => self.pull_config(peer, document).await?,
                HOSTS if document.version > self.hosts.load().revision => {
                    let bytes = self.fetch_manifest(peer, HOSTS).await?;
                    self.adopt_hosts(serde_json::from_slice(&bytes).context(SyntaxSnafu)?);
                }
                _ => {}
            }
        }
        Ok(())
    }

    async fn pull_config(
        &self,
        peer: SocketAddr,
        theirs: &v1::DocumentVersion,
    ) -> Result<(), PullError> {
        if self.store.is_conflict(theirs.version, &theirs.digest) {
            return Ok(());
        }
        let _one_at_a_time = self.pulling.lock().await;
        if !self.store.should_fetch(theirs.version, &theirs.digest) {
            return Ok(());
        }
        let bytes = self.fetch_manifest(peer, CONFIG).await?;
        let manifest: Manifest = serde_json::from_slice(&bytes).context(SyntaxSnafu)?;
        self.adopt(manifest, Source::Peer(peer)).await
    }

    async fn fetch_manifest(&self, peer: SocketAddr, document: &str) -> Result<Vec<u8>, PullError> {
        let request = v1::ManifestRequest { document: document.to_owned() };
        let reply = self.client(peer).await?.manifest(request).await?.into_inner();
        m::control_bytes("in", reply.manifest.len());
        Ok(reply.manifest)
    }
}

/// Source of a document.
#[derive(Debug, Clone, Copy)]
enum Source {
    Platform,
    Peer(SocketAddr),
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(peer) => write!(f, "peer {peer}"),
        }
    }
}

fn hash_ip(address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.ip().to_string().as_bytes(), 0)
}
