//! Membership of gateways, learned from a few seeds and kept by heartbeats.
//!
//! Each gateway sends its heartbeats to the few members that monitor it. A monitor that misses them
//! gossips its suspicion; all consider the member down after [`SUSPICION_TIMEOUT`] unless a newer
//! heartbeat refutes it. A gateway that can't connect to a member considers it down at once, and
//! gossips the suspicion. Members whose location is unknown run a build of an earlier form: their
//! heartbeats are gossiped by all, and each gateway times them out by itself.
//!
//! There is no consensus: two gateways may consider different members up for a while, so the
//! consequences (such as two owners of a pool) must be harmless.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::peers::member::Location;
pub use crate::direct::peers::member::{Member, MemberState};
use crate::direct::peers::neighbours::Monitors;
use crate::direct::peers::updates::Updates;
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

#[derive(Debug, Clone)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    /// Where the member runs; `None` for a build of an earlier form.
    pub(super) location: Option<Location>,
    /// Whether its reads of the publisher's store fail.
    pub(super) reads_fail: bool,
    /// Time at which its heartbeat last increased; `None` while the member is considered down.
    pub(super) last_heartbeat: Option<Timestamp>,
    /// Time of the last change between up and down, or of the last heartbeat.
    pub(super) since: Timestamp,
    /// Time since which the member is in its state, within its incarnation.
    pub(super) state_since: Timestamp,
    /// Time since which the member is considered up, within its incarnation.
    pub(super) up_since: Timestamp,
}

/// Suspicion that a member is down.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    pub(super) since: Timestamp,
    /// Whether it is gossiped; otherwise only a connection of this gateway failed.
    pub(super) is_gossiped: bool,
}

/// Changes found in received gossip.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MembershipChanges {
    /// Members that were unknown or considered down.
    pub joined: Vec<Member>,
    /// Incarnations that were considered up and whose members have restarted.
    pub replaced: Vec<Member>,
    /// Members that a peer considers down.
    pub suspected: Vec<Member>,
    /// Suspected members that a newer heartbeat proves to be up.
    pub refuted: Vec<Member>,
    /// Members that are considered up and that a peer's complete list lacks.
    pub unconfirmed: Vec<SocketAddr>,
    /// Whether a peer suspects this gateway.
    pub suspects_own: bool,
}

impl KnownMember {
    /// Incarnations are derived from clocks, which may have stepped back between two of them, so
    /// any other incarnation supersedes one that is considered down.
    pub(super) const fn is_superseded_by(&self, received: &Member) -> bool {
        if self.member.incarnation == received.incarnation {
            return self.member.heartbeat < received.heartbeat;
        }
        self.last_heartbeat.is_none() || self.member.incarnation < received.incarnation
    }
}

/// The members that one gateway knows.
#[derive(Debug)]
pub struct Members {
    pub(super) own: Member,
    pub(super) location: Location,
    /// Whether this gateway's reads of the publisher's store fail.
    pub(super) own_reads_fail: bool,
    pub(super) others: BTreeMap<SocketAddr, KnownMember>,
    pub(super) monitors: Monitors,
    /// Members that this gateway monitors, with the time of their last direct heartbeat.
    pub(super) monitored: BTreeMap<SocketAddr, Timestamp>,
    pub(super) updates: Updates,
    /// Digest of the members that are up, and the number of changes that it includes.
    pub(super) digest: (Option<u64>, u64),
    /// Digests of peers that differ from the own one, with the time of the first such heartbeat.
    pub(super) other_digests: BTreeMap<u64, Timestamp>,
    /// Earliest time of the next complete list.
    pub(super) next_list: Timestamp,
    /// Suspected members whose heartbeat has not increased since.
    pub(super) suspected: BTreeMap<SocketAddr, Suspicion>,
    pub(super) seeds: Vec<SocketAddr>,
    /// Earliest time at which a member times out or is forgotten.
    next_timeout: Timestamp,
    /// Number of changes to membership, states or capacities.
    pub(super) changes: u64,
    /// Forgotten members that may still be running, with the time at which they were forgotten.
    pub(super) partitioned: BTreeMap<SocketAddr, Timestamp>,
}

impl Members {
    /// Creates the membership of a gateway that knows only its seeds.
    pub fn new(
        address: SocketAddr,
        incarnation: u64,
        capacity: u32,
        location: Location,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let state = MemberState::Starting;
        let own = Member { address, incarnation, heartbeat: 0, state, capacity };
        Self {
            own,
            location,
            own_reads_fail: false,
            others: BTreeMap::new(),
            monitors: Monitors::default(),
            monitored: BTreeMap::new(),
            updates: Updates::default(),
            digest: (None, 0),
            other_digests: BTreeMap::new(),
            next_list: Timestamp::ZERO,
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
        if changed {
            self.own_changed();
        }
        changed
    }

    /// Sets whether this process's reads of the publisher's store fail; returns whether it changed.
    pub fn set_reads_fail(&mut self, reads_fail: bool) -> bool {
        let changed = std::mem::replace(&mut self.own_reads_fail, reads_fail) != reads_fail;
        if changed {
            self.own_changed();
        }
        changed
    }

    fn own_changed(&mut self) {
        self.changes += 1;
        self.updates.add(self.own.address, false);
    }

    /// Returns the members to gossip: all that are considered up, and this process.
    pub fn list(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.up().cloned().collect();
        members.push(self.own.clone());
        members
    }

    /// Merges gossip of an earlier form; returns the members that are newly up, and the
    /// incarnations that were replaced before they were considered down.
    pub fn merge(&mut self, members: &[Member], now: Timestamp) -> MembershipChanges {
        let mut merged = MembershipChanges::default();
        let own = self.own.address;
        for member in members.iter().filter(|m| m.address != own) {
            let known = self.others.get(&member.address);
            if known.is_some_and(|k| !k.is_superseded_by(member)) {
                continue;
            }
            let known = known.filter(|k| k.member.incarnation == member.incarnation);
            let location = known.and_then(|k| k.location.clone());
            let reads_fail = known.is_some_and(|k| k.reads_fail);
            self.store(member, location, reads_fail, now, &mut merged);
        }
        merged
    }

    /// Stores a member's newer record; returns whether more than its heartbeat changed.
    pub(super) fn store(
        &mut self,
        member: &Member,
        location: Option<Location>,
        reads_fail: bool,
        now: Timestamp,
        merged: &mut MembershipChanges,
    ) -> bool {
        let known = self.others.get(&member.address);
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
        let is_as_before = was_up
            && known.is_some_and(|k| {
                k.member.state == member.state
                    && k.member.capacity == member.capacity
                    && k.location == location
                    && k.reads_fail == reads_fail
            });
        self.changes += u64::from(!is_as_before);
        self.partitioned.remove(&member.address);
        if self.suspected.remove(&member.address).is_some() {
            merged.refuted.push(member.clone());
        }
        let known = KnownMember {
            member: member.clone(),
            location,
            reads_fail,
            last_heartbeat: Some(now),
            since: now,
            state_since,
            up_since,
        };
        self.others.insert(member.address, known);
        !is_as_before
    }

    /// Suspects an incarnation of a member after a connection from it failed; it may be up, since
    /// connections also get reset. Returns whether it was considered up.
    pub fn suspect(&mut self, address: SocketAddr, incarnation: u64, now: Timestamp) -> bool {
        let is_up = self.is_up(address, incarnation) && address != self.own.address;
        if is_up {
            let suspicion = Suspicion { since: now, is_gossiped: false };
            self.suspected.entry(address).or_insert(suspicion);
        }
        is_up
    }

    /// Time at which [`Self::expire`] is due for a suspected member.
    pub fn next_suspicion(&self) -> Option<Timestamp> {
        let since = self.suspected.values().map(|suspicion| suspicion.since).min();
        since.map(|since| since + SUSPICION_TIMEOUT)
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
        self.monitored.remove(&address);
        self.updates.add(address, true);
        self.changes += 1;
        true
    }

    /// Suspects monitored members that have been silent for [`FAILURE_TIMEOUT`], extended by the
    /// time that events of this process wait; returns those that were not suspected before.
    pub fn suspect_silent(&mut self, extension: Duration, now: Timestamp) -> Vec<Member> {
        let is_silent = |at: &Timestamp| now >= *at + FAILURE_TIMEOUT + extension;
        let silent = self.monitored.iter().filter(|(_, at)| is_silent(at));
        let silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        let mut suspected = Vec::new();
        for address in silent {
            self.monitored.remove(&address);
            let known = self.others.get(&address).filter(|k| k.last_heartbeat.is_some());
            let Some(known) = known.filter(|_| !self.suspected.contains_key(&address)) else {
                continue;
            };
            suspected.push(known.member.clone());
            self.suspected.insert(address, Suspicion { since: now, is_gossiped: true });
            self.updates.add(address, true);
        }
        suspected
    }

    /// Marks members whose heartbeats have timed out as down and returns them; `extension` is added
    /// to the time-outs, for a process whose events wait. All members are scanned only when one may
    /// have timed out, about once in `FAILURE_TIMEOUT`, however often this is called.
    pub fn expire(&mut self, extension: Duration, now: Timestamp) -> Vec<Member> {
        let is_suspicion_over = self.next_suspicion().is_some_and(|at| now >= at);
        if now < self.next_timeout && !is_suspicion_over {
            return Vec::new();
        }
        let timeout = FAILURE_TIMEOUT + extension;
        let mut failed = Vec::new();
        for (address, known) in &mut self.others {
            let Some(last_heartbeat) = known.last_heartbeat else {
                continue;
            };
            let suspected = self.suspected.get(address);
            let is_timed_out = known.location.is_none() && now >= last_heartbeat + timeout;
            let is_suspected =
                suspected.is_some_and(|s| now >= s.since + SUSPICION_TIMEOUT + extension);
            if is_timed_out || is_suspected {
                known.last_heartbeat = None;
                known.since = now;
                failed.push(known.member.clone());
            }
        }
        for member in &failed {
            let suspicion = self.suspected.remove(&member.address);
            if !suspicion.is_some_and(|suspicion| suspicion.is_gossiped) {
                self.updates.add(member.address, true);
            }
            self.monitored.remove(&member.address);
        }
        self.changes += failed.len() as u64;
        self.forget(now);
        let next = self.others.values().map(|k| match k.last_heartbeat {
            None => k.since + FORGET_AFTER,
            Some(at) if k.location.is_none() => at + FAILURE_TIMEOUT,
            Some(_) => Timestamp::MAX,
        });
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
        let suspected = self.suspected.values_mut().map(|suspicion| &mut suspicion.since);
        for at in suspected.chain(self.monitored.values_mut()) {
            *at = (*at + suspended_for).min(now);
        }
    }

    /// The other members that are considered up.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|k| k.last_heartbeat.is_some()).map(|k| &k.member)
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

    /// The other members, each with the time since which it is in its state or down, and whether it
    /// is considered up.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Timestamp, bool)> {
        self.others.values().map(|k| match k.last_heartbeat {
            Some(_) => (&k.member, k.state_since, true),
            None => (&k.member, k.since, false),
        })
    }
}
