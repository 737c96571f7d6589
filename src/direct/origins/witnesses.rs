//! The witnesses of a stream: processes beside endpoints that hold the record of its origin, so
//! that it survives the loss of all gateways.
//!
//! The witnesses of a stream run beside endpoints of the version that began it, since only those
//! can continue it. A witness listens at the address of its endpoint, at a port that is the same on
//! all hosts; a host without one refuses the connection, and is not asked again for some time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::origins::Origin;
use crate::direct::origins::holders::{first_ranked, weight};
use crate::direct::origins::versions::Version;
use crate::direct::published::model::{Endpoint, Name, Work};
use crate::direct::published::software::version_of;
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// Number of witnesses that hold the record of a stream.
const WITNESSES_PER_STREAM: usize = 3;
/// Number of witnesses of each list of a version that are asked for a record: more than hold it,
/// since endpoints may have been added since the record was sent.
const ASKED_PER_LIST: usize = 6;
/// Maximum number of witnesses of a version among which those of a stream are selected; bounds the
/// number of connections of a gateway.
const MAX_CANDIDATES: usize = 16;
/// Key by which these witnesses are ranked.
const CANDIDATES: &str = "witnesses of the origins of streams";
/// Time for which a witness is not used after it could not be reached; doubled each time.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum of that time.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// The witnesses of one version of a pool, the highest hash weight first.
#[derive(Debug, Default, PartialEq, Eq)]
struct Candidates {
    /// Those beside endpoints that are not leaving.
    staying: Vec<SocketAddr>,
    all: Vec<SocketAddr>,
}

impl Candidates {
    fn add(&mut self, endpoint: &Endpoint, port: u16) {
        let address = SocketAddr::new(endpoint.address.ip(), port);
        self.all.push(address);
        if !endpoint.leaving {
            self.staying.push(address);
        }
    }

    fn rank(&mut self) {
        let seed = xxh3_64(CANDIDATES.as_bytes());
        for list in [&mut self.staying, &mut self.all] {
            list.sort_unstable();
            list.dedup();
            list.sort_by_cached_key(|address| Reverse(weight(*address, seed)));
            list.truncate(MAX_CANDIDATES);
        }
    }

    /// Those that receive new records.
    fn receiving(&self) -> &[SocketAddr] {
        if self.staying.is_empty() { &self.all } else { &self.staying }
    }
}

/// A witness that could not be reached.
#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Timestamp,
    length: Duration,
}

/// The witnesses of all pools that run whole requests.
#[derive(Debug, Default)]
pub struct Witnesses {
    /// Port at which witnesses listen; `None` if there are none.
    port: Option<u16>,
    candidates: HashMap<Name, BTreeMap<Version, Candidates>>,
    pauses: HashMap<SocketAddr, Pause>,
}

impl Witnesses {
    /// Sets the port at which witnesses listen.
    pub const fn set_port(&mut self, port: Option<u16>) {
        self.port = port;
    }

    /// Selects the candidates again after the configuration or endpoints changed; returns whether
    /// other ones were selected.
    ///
    /// Takes time proportional to the number of endpoints.
    pub fn update(&mut self, table: &Table) -> bool {
        let Some(port) = self.port else {
            return false;
        };
        let pools = table.deployment.pools.iter();
        let pools = pools.filter(|pool| !matches!(pool.work, Work::Batch(_)));
        let candidates =
            |pool: &Name| (pool.clone(), candidates(table.pool_endpoints(pool).iter(), port));
        let selected = pools.map(|pool| candidates(&pool.name)).collect();
        if self.candidates == selected {
            return false;
        }
        self.candidates = selected;
        let is_candidate = |address: &SocketAddr| self.is_witness(*address);
        let gone: Vec<SocketAddr> =
            self.pauses.keys().filter(|address| !is_candidate(address)).copied().collect();
        for address in gone {
            self.pauses.remove(&address);
        }
        true
    }

    /// Whether an address is the one of a witness.
    pub fn is_witness(&self, address: SocketAddr) -> bool {
        let mut candidates = self.candidates.values().flat_map(BTreeMap::values);
        Some(address.port()) == self.port && candidates.any(|c| c.all.contains(&address))
    }

    /// The witnesses that hold the record of a stream.
    pub fn of(&self, stream: &str, origin: &Origin, now: Timestamp) -> Vec<SocketAddr> {
        let candidates = self.candidates.get(&origin.pool).and_then(|p| p.get(&origin.version));
        let receiving = candidates.map_or(&[][..], Candidates::receiving);
        self.first(receiving, stream, WITNESSES_PER_STREAM, now)
    }

    /// The witnesses that are asked for the record of a stream of a pool: those that hold it now,
    /// and those that did before endpoints began to leave.
    pub fn asked(&self, stream: &str, pool: &str, now: Timestamp) -> BTreeSet<SocketAddr> {
        let versions = self.candidates.get(pool).into_iter().flat_map(BTreeMap::values);
        let lists = versions.flat_map(|candidates| [candidates.receiving(), &candidates.all]);
        lists.flat_map(|list| self.first(list, stream, ASKED_PER_LIST, now)).collect()
    }

    fn first(
        &self,
        candidates: &[SocketAddr],
        stream: &str,
        count: usize,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let is_used =
            |address: &SocketAddr| self.pauses.get(address).is_none_or(|p| now >= p.until);
        first_ranked(candidates.iter().copied().filter(is_used), |address| *address, stream, count)
    }

    /// Records that a witness could not be reached, so that it is not used for some time.
    pub fn unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        if !self.is_witness(address) {
            return;
        }
        let recent = self.pauses.get(&address).filter(|pause| now < pause.until + MAX_PAUSE);
        let length = recent.map_or(MIN_PAUSE, |pause| (pause.length * 2).min(MAX_PAUSE));
        self.pauses.insert(address, Pause { until: now + length, length });
    }

    /// Records that a witness responded.
    pub fn reached(&mut self, address: SocketAddr) {
        self.pauses.remove(&address);
    }
}

/// The candidates of each version among the endpoints of a pool.
fn candidates<'a>(
    endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    port: u16,
) -> BTreeMap<Version, Candidates> {
    let mut versions: BTreeMap<Version, Candidates> = BTreeMap::new();
    for endpoint in endpoints {
        let version = version_of(endpoint).map(Name::from);
        versions.entry(version).or_default().add(endpoint, port);
    }
    versions.values_mut().for_each(Candidates::rank);
    versions
}
