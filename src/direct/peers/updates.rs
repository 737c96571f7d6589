//! Updates of members that gateways gossip, and the repair of what gossip does not deliver.
//!
//! A heartbeat names the members that have changed, each in two heartbeats. What that does not
//! deliver is found by the digest in each heartbeat, and repaired by a complete list.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::peers::heartbeat::Probe;
use crate::direct::peers::member::{Member, MemberUpdate};
use crate::direct::peers::members::{
    HEARTBEAT_INTERVAL, KnownMember, Members, MembershipChanges, Suspicion,
};
use crate::direct::peers::ownership::address_bytes;
use crate::message::Timestamp;

/// Maximum number of updates in one heartbeat; the others follow with the next ones.
const MAX_PER_HEARTBEAT: usize = 256;
/// Silence of a monitored member after which it is asked for a heartbeat.
const PROBE_AFTER: Duration = Duration::from_millis(600);
/// Time for which both memberships must be as they are, and differ, before a complete list is sent:
/// changes are on their way until then.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of other digests that are remembered; more show that the membership is changing.
const MAX_OTHER_DIGESTS: usize = 16;
/// Minimum interval between two complete lists that this gateway sends.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a member is considered down after which a peer's complete list that names it
/// overrules this: all gateways agree by then if it is down.
const RECONSIDER_AFTER: Duration = Duration::from_millis(2_000);
/// Maximum number of members that are probed because a peer's complete list lacks them.
const MAX_PROBES: usize = 8;

/// Number of heartbeats with which each gateway gossips an update, each to several peers.
const HEARTBEATS_PER_UPDATE: u8 = 2;

/// A member whose record is to be gossiped.
#[derive(Debug, Clone, Copy)]
struct Pending {
    heartbeats_left: u8,
    is_suspected: bool,
}

/// The members whose records are to be gossiped.
#[derive(Debug, Default)]
pub(super) struct Updates {
    pending: BTreeMap<SocketAddr, Pending>,
}

impl Updates {
    /// Gossips a member's record with the next heartbeats, as suspected or as up.
    pub(super) fn add(&mut self, address: SocketAddr, is_suspected: bool) {
        let heartbeats_left = HEARTBEATS_PER_UPDATE;
        self.pending.insert(address, Pending { heartbeats_left, is_suspected });
    }

    /// Whether the next heartbeat has updates.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the updates of the next heartbeat. `record` returns a member's current record, or
    /// `None` if it is no longer known.
    pub(super) fn take(
        &mut self,
        record: impl Fn(SocketAddr) -> Option<MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for (address, pending) in self.pending.iter_mut().take(MAX_PER_HEARTBEAT) {
            pending.heartbeats_left -= 1;
            let is_suspected = pending.is_suspected;
            updates.extend(record(*address).map(|u| MemberUpdate { is_suspected, ..u }));
        }
        self.pending.retain(|_, pending| pending.heartbeats_left > 0);
        updates
    }
}

impl Members {
    /// Merges updates from a peer, or its complete list of members.
    pub fn merge_updates(
        &mut self,
        updates: &[MemberUpdate],
        is_complete: bool,
        now: Timestamp,
    ) -> MembershipChanges {
        let mut merged = MembershipChanges::default();
        for update in updates {
            if update.member.address == self.own.address {
                merged.suspects_own |=
                    update.is_suspected && update.member.incarnation == self.own.incarnation;
            } else if update.is_suspected {
                self.merge_suspicion(&update.member, now, &mut merged);
            } else {
                self.merge_update(update, is_complete, now, &mut merged);
            }
        }
        if merged.suspects_own {
            self.updates.add(self.own.address, false);
        }
        if is_complete {
            merged.unconfirmed = self.unconfirmed_by(updates, now);
        }
        merged
    }

    fn merge_update(
        &mut self,
        update: &MemberUpdate,
        is_complete: bool,
        now: Timestamp,
        merged: &mut MembershipChanges,
    ) {
        let member = &update.member;
        let known = self.others.get(&member.address);
        let lacks_location = known
            .is_some_and(|k| k.location.is_none() && k.member.incarnation == member.incarnation);
        let is_reconsidered = is_complete
            && known.is_some_and(|k| {
                k.last_heartbeat.is_none()
                    && k.member.incarnation == member.incarnation
                    && now >= k.since + RECONSIDER_AFTER
            });
        let is_news = known.is_none_or(|k| k.is_superseded_by(member));
        if !is_news && !lacks_location && !is_reconsidered {
            return;
        }
        let mut member = member.clone();
        if let Some(known) = known.filter(|_| !is_news) {
            member.heartbeat = member.heartbeat.max(known.member.heartbeat);
        }
        let was_suspected = self.suspected.contains_key(&member.address);
        let location = Some(update.location.clone());
        let has_changed = self.store(&member, location, update.reads_fail, now, merged);
        // All other members have the contents of a complete list, too.
        if (has_changed || was_suspected) && !is_complete {
            self.updates.add(member.address, false);
        }
    }

    /// Merges a peer's suspicion that a member is down. One who has a newer heartbeat refutes it;
    /// the others gossip it.
    fn merge_suspicion(
        &mut self,
        suspected: &Member,
        now: Timestamp,
        merged: &mut MembershipChanges,
    ) {
        let known = self.others.get(&suspected.address);
        let known = known.filter(|k| k.member.incarnation == suspected.incarnation);
        let Some(known) = known.filter(|k| k.last_heartbeat.is_some()) else {
            return;
        };
        let address = suspected.address;
        if known.member.heartbeat > suspected.heartbeat {
            self.updates.add(address, false);
        } else if let Entry::Vacant(entry) = self.suspected.entry(address) {
            merged.suspected.push(known.member.clone());
            entry.insert(Suspicion { since: now, is_gossiped: true });
            self.updates.add(address, true);
        }
    }

    /// Members that are considered up and that a peer's complete list lacks, at most
    /// [`MAX_PROBES`].
    fn unconfirmed_by(&self, list: &[MemberUpdate], now: Timestamp) -> Vec<SocketAddr> {
        let listed: BTreeSet<SocketAddr> = list.iter().map(|u| u.member.address).collect();
        let is_unconfirmed = |(address, known): &(&SocketAddr, &KnownMember)| {
            known.location.is_some()
                && known.last_heartbeat.is_some_and(|at| now >= at + MISMATCH_TIMEOUT)
                && !listed.contains(*address)
        };
        let unconfirmed = self.others.iter().filter(is_unconfirmed);
        unconfirmed.map(|(address, _)| *address).take(MAX_PROBES).collect()
    }

    /// Records a heartbeat that a member sent itself; `monitors` is whether it asks this gateway to
    /// monitor it.
    pub fn heard(&mut self, address: SocketAddr, monitors: bool, now: Timestamp) {
        if monitors {
            self.monitored.insert(address, now);
        } else {
            self.monitored.remove(&address);
        }
    }

    /// The record of this gateway.
    pub fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.own.clone(),
            location: self.location.clone(),
            reads_fail: self.own_reads_fail,
            is_suspected: false,
        }
    }

    fn update_of(&self, address: SocketAddr) -> Option<MemberUpdate> {
        if address == self.own.address {
            return Some(self.own_update());
        }
        let known = self.others.get(&address)?;
        Some(MemberUpdate {
            member: known.member.clone(),
            location: known.location.clone()?,
            reads_fail: known.reads_fail,
            is_suspected: false,
        })
    }

    /// Whether the next heartbeat has updates of members.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Takes the updates of members for the next heartbeat.
    pub fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let mut updates = std::mem::take(&mut self.updates);
        let taken = updates.take(|address| self.update_of(address));
        self.updates = updates;
        taken
    }

    /// Returns all members that are up, with this gateway.
    pub fn complete_list(&self) -> Vec<MemberUpdate> {
        let up = self.up().map(|m| m.address).chain([self.own.address]);
        up.filter_map(|address| self.update_of(address)).collect()
    }

    /// Digest of the members that are up, with their incarnations and states; equal memberships
    /// have equal digests.
    pub fn digest(&mut self) -> u64 {
        if self.digest.0 != Some(self.changes) {
            let of_member = |m: &Member| {
                let seed = m.incarnation.rotate_left(2) ^ m.state as u64;
                xxh3_64_with_seed(&address_bytes(m.address), seed)
            };
            let up = self.others.values().filter(|k| k.last_heartbeat.is_some());
            let up = up.filter(|k| k.location.is_some()).map(|k| &k.member).chain([&self.own]);
            let digest = up.map(of_member).fold(0, |digest, of_member| digest ^ of_member);
            self.digest = (Some(self.changes), digest);
            self.other_digests.clear();
        }
        self.digest.1
    }

    /// Compares a peer's digest with the own one; returns whether a complete list is to be sent to
    /// the peer.
    pub fn compare_digest(&mut self, digest: u64, now: Timestamp) -> bool {
        if digest == self.digest() || self.other_digests.len() >= MAX_OTHER_DIGESTS {
            return false;
        }
        let since = *self.other_digests.entry(digest).or_insert(now);
        let is_due = now >= (since + MISMATCH_TIMEOUT).max(self.next_list);
        if is_due {
            self.next_list = now + LIST_INTERVAL;
        }
        is_due
    }

    /// Monitored members that have been silent for [`PROBE_AFTER`], extended by the time that
    /// events of this process wait, and how to probe them.
    pub fn silent(
        &self,
        extension: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (SocketAddr, Probe)> + '_ {
        self.monitored.iter().filter_map(move |(address, heard)| {
            let silence = now.saturating_sub(*heard + extension);
            let is_probed = silence >= PROBE_AFTER;
            let is_repeated = silence >= PROBE_AFTER + HEARTBEAT_INTERVAL;
            let probe = if is_repeated { Probe::Reconnect } else { Probe::Silent };
            is_probed.then_some((*address, probe))
        })
    }
}
