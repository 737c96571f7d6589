//! Membership of gateways, by heartbeats that are gossiped from a few seeds, and the ownership
//! derived from it.
//!
//! There is no consensus: two gateways may consider different members up for a while, so the
//! consequences (such as two owners of a pool) must be harmless.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Time between two heartbeats of a process.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a new heartbeat after which a member is considered down.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a new heartbeat after which a member whose connection failed is considered down.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a member that is down is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which a forgotten member that didn't announce its shutdown is still counted as
/// existing, since it may be running on the other side of a network partition. Partitions between
/// data centres last for minutes.
const PARTITION_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of forgotten members that are counted; bounds memory.
const MAX_PARTITIONED: usize = 1_024;
/// Delay before a gateway takes over a duty from a member that is down, or from one that is newly
/// up. Others may consider that member up until they, too, have missed its heartbeats for
/// `FAILURE_TIMEOUT` and have received this from their peers.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Number of members that receive each heartbeat.
const FANOUT: usize = 8;

/// Lifecycle state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member lacks data that it needs to serve.
    Starting,
    /// The member serves requests and may own cells.
    Serving,
    /// The member finishes what it has started, and owns nothing new.
    Leaving,
}

/// Gossiped state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the member's peers connect to it.
    pub address: SocketAddr,
    /// Incarnation of the member; a later one is a larger number.
    pub incarnation: u64,
    /// Heartbeat counter; it increases within an incarnation.
    pub heartbeat: u64,
    /// Lifecycle state.
    pub state: MemberState,
    /// Processor time available to the member's host, in thousandths of a core.
    pub capacity: u32,
}

impl Member {
    /// Class of the host's capacity, its binary order of magnitude: hosts whose capacities are
    /// within a factor of two count as equal.
    const fn capacity_class(&self) -> u32 {
        u32::BITS - self.capacity.leading_zeros()
    }
}

#[derive(Debug, Clone)]
struct KnownMember {
    member: Member,
    /// Time at which its heartbeat last increased; `None` while the member is considered down.
    last_heartbeat: Option<Timestamp>,
    since: Timestamp,
    /// Time since which the member is in its state, within its incarnation.
    state_since: Timestamp,
    /// Time since which the member is considered up, within its incarnation.
    up_since: Timestamp,
}

/// Changes found in received gossip.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MembershipChanges {
    /// Members that were unknown or considered down.
    pub joined: Vec<Member>,
    /// Incarnations that were considered up and whose members have restarted.
    pub replaced: Vec<Member>,
}

impl KnownMember {
    /// Incarnations are derived from clocks, which may have stepped back between two of them, so
    /// any other incarnation supersedes one that is considered down.
    const fn is_superseded_by(&self, received: &Member) -> bool {
        if self.member.incarnation == received.incarnation {
            return self.member.heartbeat < received.heartbeat;
        }
        self.last_heartbeat.is_none() || self.member.incarnation < received.incarnation
    }
}

/// The bytes of an address that are hashed.
fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Whether a member serves, the capacity class of its host, and its hash weight.
type Rank = (bool, u32, u64);

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

/// The members that one gateway knows.
#[derive(Debug)]
pub struct Members {
    own: Member,
    others: BTreeMap<SocketAddr, KnownMember>,
    /// Members whose connection failed and whose heartbeat has not increased since, with the time
    /// of the failure.
    suspected: BTreeMap<SocketAddr, Timestamp>,
    seeds: Vec<SocketAddr>,
    /// Earliest time at which a member times out or is forgotten.
    next_timeout: Timestamp,
    /// Number of changes to membership, states or capacities.
    changes: u64,
    /// Forgotten members that may still be running, with the time at which they were forgotten.
    partitioned: BTreeMap<SocketAddr, Timestamp>,
}

impl Members {
    /// Creates the membership of a gateway that knows only its seeds.
    pub fn new(
        address: SocketAddr,
        incarnation: u64,
        capacity: u32,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let state = MemberState::Starting;
        let own = Member { address, incarnation, heartbeat: 0, state, capacity };
        Self {
            own,
            others: BTreeMap::new(),
            suspected: BTreeMap::new(),
            seeds,
            next_timeout: Timestamp::ZERO,
            changes: 0,
            partitioned: BTreeMap::new(),
        }
    }

    /// Increases whenever the owner of something may have changed; heartbeats alone don't change
    /// it.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// The member of this process.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the state of this process; returns whether it changed.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        let changed = self.own.state != state;
        self.own.state = state;
        self.changes += u64::from(changed);
        changed
    }

    /// Increases the heartbeat and returns the addresses to send it to.
    pub fn next_heartbeat(&mut self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.own.heartbeat += 1;
        let up: Vec<SocketAddr> = self.up().map(|m| m.address).collect();
        let seeds = self.seeds.iter().copied().filter(|s| *s != self.own.address);
        let mut unreachable: Vec<SocketAddr> = seeds.chain(self.down()).collect();
        unreachable.retain(|a| !up.contains(a));
        // While no other member is up, several seeds are contacted; the first response introduces
        // the others.
        if up.is_empty() {
            return unreachable.sample(rng, FANOUT).copied().collect();
        }
        let mut to: Vec<SocketAddr> = up.sample(rng, FANOUT).copied().collect();
        to.extend(unreachable.choose(rng));
        to
    }

    /// Returns the members to gossip: all that are considered up, and this process.
    pub fn digest(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.up().cloned().collect();
        members.push(self.own.clone());
        members
    }

    /// Merges received gossip; returns the members that are newly up, and the incarnations that
    /// were replaced before they were considered down.
    pub fn merge(&mut self, members: &[Member], now: Timestamp) -> MembershipChanges {
        let mut merged = MembershipChanges::default();
        for member in members.iter().filter(|m| m.address != self.own.address) {
            let known = self.others.get(&member.address);
            if known.is_some_and(|k| !k.is_superseded_by(member)) {
                continue;
            }
            let was_up = known.is_some_and(|k| {
                k.last_heartbeat.is_some() && k.member.incarnation == member.incarnation
            });
            if !was_up {
                merged.joined.push(member.clone());
                let before = known.filter(|k| k.last_heartbeat.is_some()).map(|k| k.member.clone());
                merged.replaced.extend(before);
            }
            let is_same = |k: &&KnownMember| {
                k.member.incarnation == member.incarnation && k.member.state == member.state
            };
            let state_since = known.filter(is_same).map_or(now, |k| k.state_since);
            let up_since = known.filter(|_| was_up).map_or(now, |k| k.up_since);
            self.partitioned.remove(&member.address);
            let is_as_before = was_up
                && known.is_some_and(|k| {
                    k.member.state == member.state && k.member.capacity == member.capacity
                });
            self.changes += u64::from(!is_as_before);
            self.suspected.remove(&member.address);
            let member = member.clone();
            let known = KnownMember {
                member,
                last_heartbeat: Some(now),
                since: now,
                state_since,
                up_since,
            };
            self.others.insert(known.member.address, known);
        }
        merged
    }

    /// Suspects an incarnation of a member after a connection from it failed; it may be up, since
    /// connections also get reset. Returns whether it was considered up.
    pub fn suspect(&mut self, address: SocketAddr, incarnation: u64, now: Timestamp) -> bool {
        let is_up = self.is_up(address, incarnation) && address != self.own.address;
        if is_up {
            self.suspected.entry(address).or_insert(now);
        }
        is_up
    }

    /// Time at which [`Self::expire`] is due for a suspected member.
    pub fn next_suspicion(&self) -> Option<Timestamp> {
        self.suspected.values().min().map(|at| *at + SUSPICION_TIMEOUT)
    }

    /// Marks an incarnation of a member as down, since it is unreachable, until its heartbeat
    /// increases; returns whether it was considered up.
    pub fn mark_unreachable(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let Some(known) = self.others.get_mut(&address) else {
            return false;
        };
        if known.member.incarnation != incarnation || known.last_heartbeat.is_none() {
            return false;
        }
        known.last_heartbeat = None;
        known.since = now;
        self.suspected.remove(&address);
        self.changes += 1;
        true
    }

    /// Marks members whose heartbeats have timed out as down and returns them. All members are
    /// scanned only when one may have timed out, about once in `FAILURE_TIMEOUT`, however often
    /// this is called.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Member> {
        let is_suspicion_over = self.next_suspicion().is_some_and(|at| now >= at);
        if now < self.next_timeout && !is_suspicion_over {
            return Vec::new();
        }
        let mut failed = Vec::new();
        for known in self.others.values_mut() {
            let suspected = self.suspected.get(&known.member.address);
            let is_timed_out = known.last_heartbeat.is_some_and(|h| now >= h + FAILURE_TIMEOUT);
            let is_suspected = suspected.is_some_and(|s| now >= *s + SUSPICION_TIMEOUT);
            if known.last_heartbeat.is_some() && (is_timed_out || is_suspected) {
                known.last_heartbeat = None;
                known.since = now;
                failed.push(known.member.clone());
            }
        }
        for member in &failed {
            self.suspected.remove(&member.address);
        }
        self.changes += failed.len() as u64;
        self.forget(now);
        let next = self
            .others
            .values()
            .map(|k| k.last_heartbeat.map_or(k.since + FORGET_AFTER, |h| h + FAILURE_TIMEOUT));
        // A member whose first heartbeat arrives after this scan times out later than that.
        self.next_timeout = next.chain([now + FAILURE_TIMEOUT]).min().unwrap_or_default();
        failed
    }

    /// Forgets members that have been down for a long time.
    fn forget(&mut self, now: Timestamp) {
        self.partitioned.retain(|_, forgotten| now < *forgotten + PARTITION_RETENTION);
        let is_forgettable = |known: &KnownMember| {
            known.last_heartbeat.is_none() && now >= known.since + FORGET_AFTER
        };
        for (address, known) in self.others.extract_if(.., |_, known| is_forgettable(known)) {
            if known.member.state != MemberState::Leaving
                && self.partitioned.len() < MAX_PARTITIONED
            {
                self.partitioned.insert(address, now);
            }
        }
    }

    /// This process was suspended for the given time, until now, and received nothing; that does
    /// not mean that the others are down. Their timeouts are extended by the time of the
    /// suspension.
    pub fn on_suspension(&mut self, suspended_for: Duration, now: Timestamp) {
        for last_heartbeat in
            self.others.values_mut().filter_map(|known| known.last_heartbeat.as_mut())
        {
            *last_heartbeat = (*last_heartbeat + suspended_for).min(now);
        }
        for suspected in self.suspected.values_mut() {
            *suspected = (*suspected + suspended_for).min(now);
        }
    }

    /// The other members that are considered up.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|k| k.last_heartbeat.is_some()).map(|k| &k.member)
    }

    fn down(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.others.iter().filter(|(_, k)| k.last_heartbeat.is_none()).map(|(a, _)| *a)
    }

    /// Capacity class of a member's host; 0 if the member is unknown.
    pub fn capacity_class_of(&self, address: SocketAddr) -> u32 {
        self.others.get(&address).map_or(0, |k| k.member.capacity_class())
    }

    /// Whether an incarnation of a member is considered up.
    pub fn is_up(&self, address: SocketAddr, incarnation: u64) -> bool {
        if address == self.own.address {
            return incarnation == self.own.incarnation;
        }
        self.incarnation_of(address) == Some(incarnation)
    }

    /// Returns the incarnation of another member that is considered up.
    pub fn incarnation_of(&self, address: SocketAddr) -> Option<u64> {
        let known = self.others.get(&address).filter(|k| k.last_heartbeat.is_some())?;
        Some(known.member.incarnation)
    }

    /// Number of members that are known to exist, including this process and members that are down:
    /// this process's share of a common budget must not grow because others are unreachable.
    pub fn known_count(&self) -> usize {
        1 + self.others.len().max(self.seeds.len().saturating_sub(1))
    }

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

    /// The other members, each with the time since which it is in its state or down, and whether it
    /// is considered up.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Timestamp, bool)> {
        self.others.values().map(|k| match k.last_heartbeat {
            Some(_) => (&k.member, k.state_since, true),
            None => (&k.member, k.since, false),
        })
    }
}
