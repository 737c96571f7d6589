//! The gateways that hold the record of a stream's origin, so that any gateway finds it after the
//! one that began the stream is lost.
//!
//! Holders are selected by hash of the stream, among a bounded number of gateways: a gateway then
//! has a bounded number of connections to holders, however many gateways there are.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::peers::build::Builds;
use crate::direct::peers::member::{Member, MemberState};
use crate::direct::peers::members::Members;
use crate::direct::peers::ownership::address_bytes;

/// Number of gateways that hold a record, besides the one that began the stream.
const HOLDERS_PER_STREAM: usize = 3;
/// Number of gateways that are asked for a record: one more than hold it, since one may have become
/// a holder since the record was sent.
const ASKED_PER_STREAM: usize = HOLDERS_PER_STREAM + 1;
/// Maximum number of gateways among which holders are selected.
const MAX_CANDIDATES: usize = 128;
/// Key by which these gateways are ranked.
const CANDIDATES: &str = "holders of the origins of streams";

/// A process that holds records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Address at which others connect to the process.
    pub address: SocketAddr,
    /// Incarnation of a gateway; another one has lost the records. `None` for a witness, whose
    /// incarnations are not known.
    pub incarnation: Option<u64>,
}

/// The gateways among which holders are selected. Ranked once for each change of the members.
#[derive(Debug, Default)]
pub struct Holders {
    changes: Option<(u64, u64)>,
    candidates: Vec<Holder>,
}

impl Holders {
    /// Updates the candidates if members or their builds changed; returns whether the candidates
    /// did.
    ///
    /// Takes time proportional to the number of members, only after a change.
    pub fn update(&mut self, members: &Members, builds: &Builds) -> bool {
        let changes = Some((members.changes(), builds.changes()));
        if self.changes == changes {
            return false;
        }
        self.changes = changes;
        let able = members.up().filter(|m| builds.holds_origins(m.address)).chain([members.own()]);
        let able = able.filter(|member| member.state != MemberState::Leaving);
        let holder = |m: &Member| Holder { address: m.address, incarnation: Some(m.incarnation) };
        let mut candidates: Vec<Holder> = able.map(holder).collect();
        let seed = xxh3_64(CANDIDATES.as_bytes());
        candidates.sort_by_cached_key(|holder| Reverse(weight(holder.address, seed)));
        candidates.truncate(MAX_CANDIDATES);
        let has_changed = self.candidates != candidates;
        self.candidates = candidates;
        has_changed
    }

    /// The gateways that hold the record of a stream.
    pub fn of(&self, stream: &str) -> Vec<Holder> {
        self.ranked(stream, HOLDERS_PER_STREAM)
    }

    /// The gateways that are asked for the record of a stream.
    pub fn asked(&self, stream: &str) -> Vec<Holder> {
        self.ranked(stream, ASKED_PER_STREAM)
    }

    fn ranked(&self, stream: &str, count: usize) -> Vec<Holder> {
        first_ranked(self.candidates.iter().copied(), |holder| holder.address, stream, count)
    }
}

/// The first candidates of a stream by hash weight.
pub(super) fn first_ranked<T>(
    candidates: impl Iterator<Item = T>,
    address: impl Fn(&T) -> SocketAddr,
    stream: &str,
    count: usize,
) -> Vec<T> {
    let seed = xxh3_64(stream.as_bytes());
    let mut ranked: Vec<T> = candidates.collect();
    ranked.sort_by_cached_key(|candidate| Reverse(weight(address(candidate), seed)));
    ranked.truncate(count);
    ranked
}

/// Hash weight of an address.
pub(super) fn weight(address: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(&address_bytes(address), seed)
}
