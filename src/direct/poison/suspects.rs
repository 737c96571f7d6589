//! Requests that were running at endpoints that crashed: kept by all gateways until they are
//! cleared or quarantined.
//!
//! Entries can be merged from any source and in any order: the crashes of a fingerprint form a set,
//! and the entry that was cleared more often is newer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::poison::Run;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Number of endpoints that must crash under a fingerprint before it is quarantined. An endpoint
/// may crash for many reasons and aborts everything that runs there: in 2,000 random schedules of
/// fleets that lose one of 24 endpoints each second, one innocent request in 15,000 was running at
/// three crashes.
const POISON_CRASHES: usize = 3;
/// Minimum number of rounds in which these crashes must occur: the same content may run at many
/// endpoints that crash at once, as when a rack fails. A round ends when its crash is known, so
/// what is sent with that knowledge belongs to the next round.
const POISON_ROUNDS: u8 = 2;
/// Number of crashes after which a fingerprint is isolated: it no longer shares a call with others.
/// An innocent one then runs to completion, and only what crashes an endpoint alone can be poison.
const ISOLATION_CRASHES: usize = 2;
/// Number of crashes after which a fingerprint is quarantined even if another one ran at each of
/// them.
const UNCONDITIONAL_CRASHES: usize = 5;
/// Maximum number of crashes that are kept per fingerprint; more would not change any decision.
const MAX_CRASHES: usize = 6;
/// How long an entry is kept after its request was last received; refused callers get this as their
/// retry time. Callers that respect it are then run again, so that a repaired endpoint serves them.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Minimum difference in time for which a repeated request is gossiped: otherwise each refusal
/// would be an update for all gateways.
const REFRESH_INTERVAL: Duration = Duration::from_secs(150);
/// Maximum number of fingerprints that are kept; bounds memory to about 100 KB. Those with the most
/// crashes are kept, and of these the latest.
const MAX_ENTRIES: usize = 512;
/// Number of heartbeats that carry an update. Each goes to eight peers, all of which pass it on:
/// 580 gateways have it after three rounds.
const HEARTBEATS_PER_CHANGE: u8 = 4;
/// Maximum number of updates in one heartbeat, those with the most crashes first: 600 bytes.
const MAX_PER_HEARTBEAT: usize = 16;
/// Maximum number of entries in the reply to a gateway that compares digests: 4 KB.
const MAX_IN_REPLY: usize = 64;

/// Crash of an endpoint while a fingerprint was running there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Incarnation that crashed.
    pub incarnation: u64,
    /// One more than the number of crash rounds known when the request was sent there.
    pub round: u8,
    /// Whether the request was isolated: alone in its call.
    pub alone: bool,
}

impl Crash {
    /// Incarnation that crashed, with the endpoint's id.
    fn endpoint_incarnation(&self) -> (&Name, u64) {
        (&self.endpoint, self.incarnation)
    }
}

/// Entry for one fingerprint, as gossiped between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSuspect {
    /// Fingerprint of the request or stage.
    pub fingerprint: Fingerprint,
    /// How often it was cleared; crashes before the last time no longer count.
    pub cleared: u32,
    /// Seconds since the request was last received.
    pub age_s: u32,
    /// Crashes since it was last cleared.
    pub crashes: Vec<Crash>,
}

#[derive(Debug, Clone)]
struct Suspect {
    cleared: u32,
    crashes: Vec<Crash>,
    last_received: Timestamp,
    /// Number of heartbeats that still have to carry this entry.
    heartbeats_left: u8,
}

impl Suspect {
    fn rounds(&self) -> u8 {
        self.crashes.iter().map(|crash| crash.round).max().unwrap_or(0)
    }

    /// Whether enough endpoints crashed under it, without regard to what else ran there.
    fn may_be_poison(&self) -> bool {
        let was_alone = self.crashes.iter().any(|crash| crash.alone);
        self.crashes.len() >= POISON_CRASHES && self.rounds() >= POISON_ROUNDS && was_alone
    }

    fn contains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.endpoint_incarnation() == crash.endpoint_incarnation())
    }

    /// Whether the other fingerprint was running at every crash of this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.contains(crash))
    }

    /// Merges crashes; returns whether anything changed.
    fn merge_crashes(&mut self, crashes: &[Crash]) -> bool {
        let before = self.crashes.clone();
        for crash in crashes {
            match self
                .crashes
                .iter_mut()
                .find(|known| known.endpoint_incarnation() == crash.endpoint_incarnation())
            {
                Some(known) => {
                    known.round = known.round.max(crash.round);
                    known.alone |= crash.alone;
                }
                None => self.crashes.push(crash.clone()),
            }
        }
        // Sorted, so that all gateways keep the same crashes whatever the merge order.
        let order = |l: &Crash| (Reverse((l.alone, l.round)), l.endpoint.clone(), l.incarnation);
        self.crashes.sort_by_key(order);
        self.crashes.truncate(MAX_CRASHES);
        self.crashes != before
    }

    /// Sort key when the maximum is exceeded: number of crashes, then the latest time of receipt.
    fn retention_rank(&self) -> (usize, Timestamp) {
        (self.crashes.len(), self.last_received)
    }
}

/// Fingerprint that has just been quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// Fingerprint of the request or stage.
    pub fingerprint: Fingerprint,
    /// Endpoints that crashed under it, up to `MAX_CRASHES`.
    pub endpoints: Vec<Name>,
}

/// Fingerprints under which endpoints crashed.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    entries: BTreeMap<Fingerprint, Suspect>,
    /// Fingerprints that are refused.
    quarantined: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Whether a fingerprint is quarantined.
    pub fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// The quarantined fingerprint of a request or of one of its `stages`; `None` if it may run.
    pub fn poison_in(&self, request: Fingerprint, stages: usize) -> Option<Fingerprint> {
        if self.quarantined.is_empty() {
            return None;
        }
        let parts = (0..stages).map(|stage| request.of_stage(stage));
        parts.chain([request]).find(|part| self.is_poison(*part))
    }

    /// Whether endpoints crashed under a fingerprint since it was last cleared.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|s| !s.crashes.is_empty())
    }

    /// Number of rounds in which endpoints crashed under a fingerprint.
    pub fn rounds(&self, fingerprint: Fingerprint) -> u8 {
        self.entries.get(&fingerprint).map_or(0, Suspect::rounds)
    }

    /// Whether a fingerprint has to be isolated in a call of its own.
    pub fn is_isolated(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|s| s.crashes.len() >= ISOLATION_CRASHES)
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Number of known fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an endpoint crashed while `runs` were running there; returns what is newly
    /// quarantined.
    pub fn record_crash(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        runs: &[Run],
        now: Timestamp,
    ) -> Vec<Quarantined> {
        for run in runs {
            let Run { round, alone, .. } = *run;
            let crash = Crash { endpoint: endpoint.clone(), incarnation, round, alone };
            let cleared = self.entries.get(&run.fingerprint).map_or(0, |s| s.cleared);
            self.merge_entry(run.fingerprint, cleared, &[crash], now);
        }
        self.evict();
        self.update_quarantine()
    }

    /// Whether a gossiped entry contains anything new; most have been received before.
    pub fn is_new(&self, received: &AnnouncedSuspect, now: Timestamp) -> bool {
        let last_received = now.saturating_sub(Duration::from_secs(u64::from(received.age_s)));
        let Some(known) = self.entries.get(&received.fingerprint) else {
            return true;
        };
        let covers = |crash: &Crash| {
            let same = known
                .crashes
                .iter()
                .find(|own| own.endpoint_incarnation() == crash.endpoint_incarnation());
            same.is_some_and(|own| own.round >= crash.round && (own.alone || !crash.alone))
        };
        let is_later = received.cleared > known.cleared
            || last_received > known.last_received + REFRESH_INTERVAL;
        let adds = received.cleared == known.cleared && !received.crashes.iter().all(covers);
        is_later || adds
    }

    /// Merges entries from another gateway; returns what is newly quarantined.
    pub fn merge(&mut self, announced: &[AnnouncedSuspect], now: Timestamp) -> Vec<Quarantined> {
        for received in announced {
            let age = Duration::from_secs(u64::from(received.age_s));
            if age >= RETENTION {
                continue;
            }
            let last_received = now.saturating_sub(age);
            let AnnouncedSuspect { fingerprint, cleared, crashes, .. } = received;
            self.merge_entry(*fingerprint, *cleared, crashes, last_received);
        }
        self.evict();
        self.update_quarantine()
    }

    fn merge_entry(
        &mut self,
        fingerprint: Fingerprint,
        cleared: u32,
        crashes: &[Crash],
        last_received: Timestamp,
    ) {
        let suspect = self.entries.entry(fingerprint).or_insert_with(|| Suspect {
            cleared,
            crashes: Vec::new(),
            last_received,
            heartbeats_left: HEARTBEATS_PER_CHANGE,
        });
        if cleared < suspect.cleared {
            return;
        }
        let mut is_changed = cleared > suspect.cleared;
        if is_changed {
            suspect.cleared = cleared;
            suspect.crashes.clear();
        }
        is_changed |= suspect.merge_crashes(crashes);
        is_changed |= last_received > suspect.last_received + REFRESH_INTERVAL;
        if is_changed {
            suspect.last_received = suspect.last_received.max(last_received);
            suspect.heartbeats_left = HEARTBEATS_PER_CHANGE;
        }
    }

    /// Recalculates the quarantine; returns what is new in it. If another fingerprint ran at every
    /// crash of this one, either may be the poison: only the poison causes further crashes, so one
    /// more crash decides.
    fn update_quarantine(&mut self) -> Vec<Quarantined> {
        let suspected = self.entries.iter().filter(|(_, suspect)| suspect.may_be_poison());
        let mut at_incarnation: BTreeMap<_, Vec<&Fingerprint>> = BTreeMap::new();
        for (fingerprint, suspect) in suspected.clone() {
            for crash in &suspect.crashes {
                at_incarnation.entry(crash.endpoint_incarnation()).or_default().push(fingerprint);
            }
        }
        let is_explained = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let others = suspect
                .crashes
                .first()
                .and_then(|crash| at_incarnation.get(&crash.endpoint_incarnation()));
            let mut others = others.into_iter().flatten().filter(|other| **other != fingerprint);
            others.any(|other| suspect.is_explained_by(&self.entries[*other]))
        };
        let is_quarantined = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            suspect.crashes.len() >= UNCONDITIONAL_CRASHES || !is_explained(fingerprint, suspect)
        };
        let quarantined = suspected.filter(is_quarantined).map(|(fingerprint, _)| *fingerprint);
        let before = std::mem::take(&mut self.quarantined);
        self.quarantined = quarantined.collect();
        let newly = self.quarantined.difference(&before);
        newly.map(|fingerprint| self.to_quarantined(*fingerprint)).collect()
    }

    fn to_quarantined(&self, fingerprint: Fingerprint) -> Quarantined {
        let crashes = self.entries.get(&fingerprint).map(|suspect| &suspect.crashes);
        let endpoints = crashes.into_iter().flatten().map(|crash| crash.endpoint.clone());
        Quarantined { fingerprint, endpoints: endpoints.collect() }
    }

    /// Clears a fingerprint after a completed run: no endpoint crashed because of it. Returns what
    /// is newly quarantined, since the cleared fingerprint no longer explains the crashes of
    /// others.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Vec<Quarantined> {
        let Some(suspect) = self.entries.get_mut(&fingerprint).filter(|s| !s.crashes.is_empty())
        else {
            return Vec::new();
        };
        suspect.cleared += 1;
        suspect.crashes.clear();
        suspect.last_received = now;
        suspect.heartbeats_left = HEARTBEATS_PER_CHANGE;
        self.update_quarantine()
    }

    /// Whether a repeated request has to be recorded and gossiped.
    pub fn is_refreshed_by(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.entries.get(&fingerprint).is_some_and(|s| now > s.last_received + REFRESH_INTERVAL)
    }

    /// Records that a quarantined request was received again, which extends the time for which it
    /// is kept.
    pub fn record_repeat(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if let Some(suspect) = self.entries.get_mut(&fingerprint) {
            suspect.last_received = now;
            suspect.heartbeats_left = HEARTBEATS_PER_CHANGE;
        }
    }

    /// Whether an entry has expired.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.entries.values().any(|suspect| now >= suspect.last_received + RETENTION)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, suspect| now < suspect.last_received + RETENTION);
        self.update_quarantine();
    }

    fn evict(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let mut ranks: Vec<_> =
            self.entries.iter().map(|(f, s)| (s.retention_rank(), *f)).collect();
        ranks.sort_unstable_by_key(|rank| Reverse(*rank));
        for (_, fingerprint) in ranks.split_off(MAX_ENTRIES) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Whether updates still have to be gossiped.
    pub fn has_changes(&self) -> bool {
        self.entries.values().any(|suspect| suspect.heartbeats_left > 0)
    }

    /// Updates to gossip with the next heartbeat.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<AnnouncedSuspect> {
        let changes = self.entries.iter().filter(|(_, suspect)| suspect.heartbeats_left > 0);
        let mut changes: Vec<_> =
            changes.map(|(f, s)| ((s.heartbeats_left, s.retention_rank()), *f)).collect();
        changes.sort_unstable_by_key(|((_, rank), f)| Reverse((*rank, *f)));
        changes.truncate(MAX_PER_HEARTBEAT);
        let mut announced = Vec::with_capacity(changes.len());
        for (_, fingerprint) in changes {
            if let Some(suspect) = self.entries.get_mut(&fingerprint) {
                suspect.heartbeats_left -= 1;
                announced.push(announcement(fingerprint, suspect, now));
            }
        }
        announced
    }

    /// Entries that gateways compare: fingerprints under which several endpoints crashed. Single
    /// crashes are gossiped only once, as updates: when a rack fails there are many, and almost all
    /// of them are irrelevant.
    fn compared(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.entries.iter().filter(|(_, suspect)| suspect.crashes.len() >= ISOLATION_CRASHES)
    }

    /// Digest of the compared entries; equal if two gateways know the same.
    pub fn digest(&self) -> u64 {
        let announced = self.compared().map(|(f, s)| (f, s.cleared, &s.crashes));
        let announced: Vec<_> = announced.collect();
        if announced.is_empty() {
            return 0;
        }
        xxh3_64(&postcard::to_allocvec(&announced).unwrap_or_default())
    }

    /// Entries sent to a gateway whose digest differs.
    pub fn announcements(&self, now: Timestamp) -> Vec<AnnouncedSuspect> {
        let mut known: Vec<_> = self.compared().collect();
        known.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.retention_rank()));
        known.truncate(MAX_IN_REPLY);
        known.into_iter().map(|(f, suspect)| announcement(*f, suspect, now)).collect()
    }
}

fn announcement(fingerprint: Fingerprint, suspect: &Suspect, now: Timestamp) -> AnnouncedSuspect {
    let age_s = now.saturating_sub(suspect.last_received).as_secs();
    AnnouncedSuspect {
        fingerprint,
        cleared: suspect.cleared,
        age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        crashes: suspect.crashes.clone(),
    }
}
