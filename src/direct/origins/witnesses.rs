//! The witnesses of a stream: processes beside endpoints that hold the record of its origin, so
//! that it survives the loss of all gateways.
//!
//! The witnesses of a stream run beside endpoints of the version that began it, since only those
//! can continue it. A witness listens at the address of its endpoint, at a port that is the same on
//! all hosts; a host without one refuses the connection, and is not asked again for some time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
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
/// Number of witnesses of each version that are asked for a record: more than hold it, since
/// endpoints may have been added since the record was sent.
const ASKED_PER_VERSION: usize = 6;
/// Maximum number of witnesses of a version among which those of a stream are selected; bounds the
/// number of connections of a gateway.
const MAX_CANDIDATES: usize = 64;
/// Key by which these witnesses are ranked.
const CANDIDATES: &str = "witnesses of the origins of streams";
/// Time for which a witness is not used after it could not be reached; doubled each time.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum of that time.
const MAX_PAUSE: Duration = Duration::from_secs(30);

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
    candidates: HashMap<Name, BTreeMap<Version, Vec<SocketAddr>>>,
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
        Some(address.port()) == self.port && candidates.any(|c| c.contains(&address))
    }

    /// The witnesses that hold the record of a stream.
    pub fn of(&self, stream: &str, origin: &Origin, now: Timestamp) -> Vec<SocketAddr> {
        let candidates = self.candidates.get(&origin.pool).and_then(|p| p.get(&origin.version));
        self.first(candidates.into_iter().flatten(), stream, WITNESSES_PER_STREAM, now)
    }

    /// The witnesses that are asked for the record of a stream of a pool.
    pub fn asked(&self, stream: &str, pool: &str, now: Timestamp) -> Vec<SocketAddr> {
        let versions = self.candidates.get(pool).into_iter().flat_map(BTreeMap::values);
        let asked = versions.map(|c| self.first(c.iter(), stream, ASKED_PER_VERSION, now));
        asked.flatten().collect()
    }

    fn first<'a>(
        &self,
        candidates: impl Iterator<Item = &'a SocketAddr>,
        stream: &str,
        count: usize,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let is_used =
            |address: &SocketAddr| self.pauses.get(address).is_none_or(|p| now >= p.until);
        first_ranked(candidates.copied().filter(is_used), |address| *address, stream, count)
    }

    /// Records that a witness could not be reached, so that it is not used for some time.
    pub fn unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        if !self.is_witness(address) {
            return;
        }
        let length = self.pauses.get(&address).map_or(MIN_PAUSE, |p| (p.length * 2).min(MAX_PAUSE));
        self.pauses.insert(address, Pause { until: now + length, length });
    }

    /// Records that a witness responded.
    pub fn reached(&mut self, address: SocketAddr) {
        self.pauses.remove(&address);
    }
}

/// The candidates of each version. Endpoints that are leaving count where a version has no others.
fn candidates<'a>(
    endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    port: u16,
) -> BTreeMap<Version, Vec<SocketAddr>> {
    let mut versions: BTreeMap<Version, (Vec<SocketAddr>, Vec<SocketAddr>)> = BTreeMap::new();
    for endpoint in endpoints {
        let (staying, leaving) = versions.entry(version_of(endpoint).map(Name::from)).or_default();
        let list = if endpoint.leaving { leaving } else { staying };
        list.push(SocketAddr::new(endpoint.address.ip(), port));
    }
    let seed = xxh3_64(CANDIDATES.as_bytes());
    let select = |(staying, leaving): (Vec<SocketAddr>, Vec<SocketAddr>)| {
        let mut selected = if staying.is_empty() { leaving } else { staying };
        selected.sort_unstable();
        selected.dedup();
        selected.sort_by_cached_key(|address| Reverse(weight(*address, seed)));
        selected.truncate(MAX_CANDIDATES);
        selected
    };
    versions.into_iter().map(|(version, lists)| (version, select(lists))).collect()
}
