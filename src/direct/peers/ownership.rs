//! Duties that are derived from the membership: owners of cells, the issuer of permits, and the
//! gateways that read the publisher's store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::peers::member::{Member, MemberState};
use crate::direct::peers::members::{KnownMember, Members, SETTLE_TIME};
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Number of gateways in each data centre that read the publisher's store; two, so that one
/// remains while the failure of the other is detected.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Key by which readers of the store are ranked.
const READERS: &str = "readers of the publisher's store";

/// Whether a member serves, the capacity class of its host, and its hash weight.
type Rank = (bool, u32, u64);

/// The bytes of an address that are hashed.
pub(in crate::direct) fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Selects a first owner for each cell, distinct ones as far as enough members serve on hosts of
/// the best class.
fn first_owners<'a>(ranked: &[(&Name, Vec<(Rank, &'a Member)>)]) -> BTreeMap<Name, &'a Member> {
    let mut candidates: Vec<(Rank, &Name, &Member)> = Vec::new();
    for (cell, ranked) in ranked {
        let best_class = ranked.first().map(|((serves, class, _), _)| (*serves, *class));
        let in_best_class = ranked
            .iter()
            .take_while(|((serves, class, _), _)| Some((*serves, *class)) == best_class);
        candidates.extend(in_best_class.map(|(rank, member)| (*rank, *cell, *member)));
    }
    candidates.sort_unstable_by_key(|(rank, cell, _)| (Reverse(*rank), *cell));
    let mut first_owners: BTreeMap<Name, &Member> = BTreeMap::new();
    let mut assigned = BTreeSet::new();
    for (_, cell, member) in candidates {
        if !first_owners.contains_key(cell) && assigned.insert(member.address) {
            first_owners.insert(cell.clone(), member);
        }
    }
    first_owners
}

impl Members {
    /// Returns the member that decides on `key` for all gateways, among those for which `able` is
    /// true, and the time from which no other member decides: until then other gateways may still
    /// consider a failed or leaving member responsible.
    /// Serving members precede leaving ones; among equals the highest hash weight wins (rendezvous
    /// hashing).
    ///
    /// Takes time linear in the number of members.
    pub fn limiter(
        &self,
        key: &str,
        able: impl Fn(&Member) -> bool,
    ) -> Option<(SocketAddr, Timestamp)> {
        let seed = xxh3_64(key.as_bytes());
        let weight = |m: &Member| xxh3_64_with_seed(&address_bytes(m.address), seed);
        let rank = |m: &Member| (m.state == MemberState::Serving, weight(m));
        let up = self.up().filter(|m| able(m)).chain([&self.own]);
        let first = up.filter(|m| m.state != MemberState::Starting).max_by_key(|m| rank(m))?;
        let first_rank = rank(first);
        let ranks_higher = |known: &&KnownMember| (true, weight(&known.member)) > first_rank;
        let predecessors =
            self.others.values().filter(|known| known.member.address != first.address);
        let predecessors =
            predecessors.filter(ranks_higher).filter_map(|known| match known.last_heartbeat {
                None => Some(known.since + SETTLE_TIME),
                Some(_) if known.member.state == MemberState::Leaving => {
                    Some(known.state_since + SETTLE_TIME)
                }
                Some(_) => None,
            });
        Some((first.address, predecessors.max().unwrap_or(Timestamp::ZERO)))
    }

    /// Returns the fraction of all gateways that may exist which is `able` and has been up for
    /// [`SETTLE_TIME`], including this one. Members that can't be reached may be in another
    /// partition and follow other decisions.
    pub fn reachable_share(&self, able: impl Fn(&Member) -> bool, now: Timestamp) -> f64 {
        let reachable = self.others.values().filter(|known| {
            known.last_heartbeat.is_some()
                && now >= known.up_since + SETTLE_TIME
                && able(&known.member)
        });
        (1 + reachable.count()) as f64 / (self.known_count() + self.partitioned.len()) as f64
    }

    /// Returns the owner of `key`, ignoring the members in `skip`; see [`Self::owners`].
    pub fn owner(&self, key: &str, skip: &[SocketAddr]) -> Option<Member> {
        let ranked = self.ranked(key).into_iter();
        ranked.map(|(_, m)| m).find(|m| !skip.contains(&m.address)).cloned()
    }

    /// Ranks the candidate owners of `key`, the best first: serving members before leaving ones,
    /// then by capacity class, then by hash weight.
    fn ranked(&self, key: &str) -> Vec<(Rank, &Member)> {
        let seed = xxh3_64(key.as_bytes());
        let weight = |m: &Member| xxh3_64_with_seed(m.address.to_string().as_bytes(), seed);
        let rank = |m: &Member| (m.state == MemberState::Serving, m.capacity_class(), weight(m));
        let members = self.up().chain([&self.own]);
        let able = members.filter(|m| m.state != MemberState::Starting);
        let mut ranked: Vec<_> = able.map(|m| (rank(m), m)).collect();
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked
    }

    /// Returns for each of `cells` its owner and the next candidates, at most `count` members. No
    /// gateway is the first for two cells as long as another of equal rank is available. The member
    /// with the highest weight for a cell gets it, so the loss of one owner rarely moves another
    /// cell.
    ///
    /// Takes time proportional to the number of members, for each cell.
    pub fn owners(&self, cells: &[Name], count: usize) -> BTreeMap<Name, Vec<Member>> {
        let ranked: Vec<_> = cells.iter().map(|cell| (cell, self.ranked(cell))).collect();
        let first_owners = first_owners(&ranked);
        let owners = ranked.into_iter().map(|(cell, ranked)| {
            let first = first_owners.get(cell).copied();
            let ranked = ranked.into_iter().map(|(_, member)| member);
            let others = ranked.filter(|m| Some(m.address) != first.map(|f| f.address));
            (cell.clone(), first.into_iter().chain(others).take(count).cloned().collect())
        });
        owners.collect()
    }

    /// Whether this gateway is one of those that read the publisher's store for its data centre:
    /// members whose reads succeed precede others, then serving ones, then those on strong hosts.
    /// Only members whose announced positions are reliable count.
    ///
    /// Takes time linear in the number of members.
    pub fn is_reader(&self, is_reliable: impl Fn(SocketAddr) -> bool) -> bool {
        let seed = xxh3_64(READERS.as_bytes());
        let rank = |member: &Member, reads_fail: bool| {
            let weight = xxh3_64_with_seed(&address_bytes(member.address), seed);
            let serves = member.state == MemberState::Serving;
            (!reads_fail, serves, member.capacity_class(), weight)
        };
        let own = rank(&self.own, self.own_reads_fail);
        let in_data_centre = self.others.values().filter(|known| {
            known.last_heartbeat.is_some()
                && is_reliable(known.member.address)
                && known
                    .location
                    .as_ref()
                    .is_some_and(|location| location.data_centre == self.location.data_centre)
        });
        let before = in_data_centre.filter(|known| rank(&known.member, known.reads_fail) > own);
        before.take(READERS_PER_DATA_CENTRE).count() < READERS_PER_DATA_CENTRE
    }

    /// Number of gateways that read the publisher's store. Members of builds that don't follow
    /// peers all read it.
    ///
    /// Takes time linear in the number of members.
    pub fn reader_count(&self) -> usize {
        let mut per_data_centre: BTreeMap<&Name, usize> = BTreeMap::new();
        per_data_centre.insert(&self.location.data_centre, 1);
        let mut without_location = 0;
        for known in self.others.values().filter(|known| known.last_heartbeat.is_some()) {
            match &known.location {
                Some(location) => *per_data_centre.entry(&location.data_centre).or_default() += 1,
                None => without_location += 1,
            }
        }
        let readers = per_data_centre.values().map(|count| (*count).min(READERS_PER_DATA_CENTRE));
        without_location + readers.sum::<usize>()
    }
}
