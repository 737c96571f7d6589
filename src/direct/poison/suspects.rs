//! Requests, and parts of their prompts, that were running at endpoints that crashed: kept by all
//! gateways until they are cleared or quarantined.
//!
//! Entries can be merged from any source and in any order: the crashes of a fingerprint form a set,
//! and the entry that was cleared more often is newer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::poison::fingerprint::Fingerprint;
pub use crate::direct::poison::suspect::Crash;
use crate::direct::poison::suspect::Suspect;
use crate::direct::poison::{Run, SubjectKind};
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Number of crashes after which a fingerprint is isolated: it no longer shares a call with others.
/// An innocent one then runs to completion, and only what crashes an endpoint alone can be poison.
const ISOLATION_CRASHES: usize = 2;
/// Number of crashes after which a fingerprint is quarantined even if another one ran at each of
/// them.
const UNCONDITIONAL_CRASHES: usize = 5;
/// How long an entry is kept after its request was last received, or after the last crash under a
/// part of a prompt; refused callers get this as their retry time. Callers that respect it are then
/// run again, so that a repaired endpoint serves them. Requests with a part of a prompt may arrive
/// without end, so they do not extend the time.
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

/// Entry for one fingerprint, as gossiped between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSuspect {
    /// Fingerprint of the request, stage or part of a prompt.
    pub fingerprint: Fingerprint,
    /// How often it was cleared; crashes before the last time no longer count.
    pub cleared: u32,
    /// Seconds since the request was last received.
    pub age_s: u32,
    /// Crashes since it was last cleared.
    pub crashes: Vec<Crash>,
}

impl AnnouncedSuspect {
    /// Time since the request was last received, or since the last crash under a part of a prompt.
    fn age(&self) -> Duration {
        Duration::from_secs(u64::from(self.age_s))
    }
}

/// Update of one entry; gossiped in this form for parts of prompts only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Number of parts before a part of a prompt; 0 for a content.
    pub depth: u8,
    /// Milliseconds since a gateway learned of the first of the crashes.
    pub suspected_for_ms: u32,
    /// The entry.
    pub suspect: AnnouncedSuspect,
}

impl SuspectUpdate {
    /// An update for a crash that is known only now, or for a content.
    pub const fn new(depth: u8, suspect: AnnouncedSuspect) -> Self {
        Self { depth, suspected_for_ms: 0, suspect }
    }

    fn suspected_at(&self, now: Timestamp) -> Timestamp {
        now.saturating_sub(Duration::from_millis(u64::from(self.suspected_for_ms)))
    }
}

/// Fingerprint that has just been quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// What the fingerprint identifies.
    pub kind: SubjectKind,
    /// Fingerprint of the request, stage or part of a prompt.
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
    /// Whether any fingerprint is quarantined.
    pub fn has_poison(&self) -> bool {
        !self.quarantined.is_empty()
    }

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

    /// Number of quarantined fingerprints of a kind.
    pub fn quarantined_count(&self, kind: SubjectKind) -> usize {
        let entries = self.quarantined.iter().filter_map(|f| self.entries.get(f));
        entries.filter(|suspect| suspect.kind == kind).count()
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
            let Run { kind, fingerprint, depth, round, alone } = *run;
            let crash = Crash { endpoint: endpoint.clone(), incarnation, round, alone };
            let cleared = self.entries.get(&fingerprint).map_or(0, |s| s.cleared);
            let (crashes, age_s) = (vec![crash], 0);
            let suspect = AnnouncedSuspect { fingerprint, cleared, age_s, crashes };
            self.merge_entry(kind, &SuspectUpdate::new(depth, suspect), now);
        }
        self.evict();
        self.update_quarantine(now)
    }

    /// Whether a gossiped entry contains anything new; most have been received before.
    pub fn is_new(&self, received: &AnnouncedSuspect, now: Timestamp) -> bool {
        let last_received = now.saturating_sub(received.age());
        let Some(known) = self.entries.get(&received.fingerprint) else {
            return true;
        };
        let covers = |crash: &Crash| {
            let same = known.find(crash);
            same.is_some_and(|own| own.round >= crash.round && (own.alone || !crash.alone))
        };
        let is_later = received.cleared > known.cleared
            || last_received > known.last_received + REFRESH_INTERVAL;
        let adds = received.cleared == known.cleared && !received.crashes.iter().all(covers);
        is_later || adds
    }

    /// Merges entries of a kind from another gateway; returns what is newly quarantined.
    pub fn merge(
        &mut self,
        kind: SubjectKind,
        updates: &[SuspectUpdate],
        now: Timestamp,
    ) -> Vec<Quarantined> {
        for update in updates.iter().filter(|update| update.suspect.age() < RETENTION) {
            self.merge_entry(kind, update, now);
        }
        self.evict();
        self.update_quarantine(now)
    }

    fn merge_entry(&mut self, kind: SubjectKind, update: &SuspectUpdate, now: Timestamp) {
        let SuspectUpdate { depth, suspect: received, .. } = update;
        let suspected_at = update.suspected_at(now);
        let last_received = now.saturating_sub(received.age());
        let cleared = received.cleared;
        let suspect = self.entries.entry(received.fingerprint).or_insert_with(|| Suspect {
            kind,
            depth: *depth,
            cleared,
            crashes: Vec::new(),
            suspected_at,
            last_received,
            heartbeats_left: HEARTBEATS_PER_CHANGE,
        });
        suspect.depth = suspect.depth.max(*depth);
        if cleared < suspect.cleared {
            return;
        }
        let mut is_changed = cleared > suspect.cleared;
        if is_changed {
            suspect.cleared = cleared;
            suspect.crashes.clear();
        }
        is_changed |= suspect.merge_crashes(&received.crashes, suspected_at);
        is_changed |= last_received > suspect.last_received + REFRESH_INTERVAL;
        if is_changed {
            suspect.last_received = suspect.last_received.max(last_received);
            suspect.heartbeats_left = HEARTBEATS_PER_CHANGE;
        }
    }

    /// Whether the quarantine changes now, since a part of a prompt has been observed for long enough.
    pub fn is_quarantine_due(&self, now: Timestamp) -> bool {
        self.poison(now) != self.quarantined
    }

    /// Recalculates the quarantine; returns what is new in it.
    pub fn update_quarantine(&mut self, now: Timestamp) -> Vec<Quarantined> {
        let before = std::mem::take(&mut self.quarantined);
        self.quarantined = self.poison(now);
        let newly = self.quarantined.difference(&before);
        newly.filter_map(|fingerprint| self.to_quarantined(*fingerprint)).collect()
    }

    /// The fingerprints that are poison. If another fingerprint ran at every crash of one, either may
    /// be the poison: only the poison causes further crashes, so one more crash decides. A part of a
    /// prompt is never poison while something else explains its crashes: that is quarantined itself,
    /// which prevents further ones.
    fn poison(&self, now: Timestamp) -> BTreeSet<Fingerprint> {
        let suspected = self.entries.iter().filter(|(_, suspect)| suspect.may_be_poison(now));
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
        let is_poison = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_unconditional = suspect.kind == SubjectKind::Content
                && suspect.crashes.len() >= UNCONDITIONAL_CRASHES;
            is_unconditional || !is_explained(fingerprint, suspect)
        };
        suspected.filter(is_poison).map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn to_quarantined(&self, fingerprint: Fingerprint) -> Option<Quarantined> {
        let suspect = self.entries.get(&fingerprint)?;
        let endpoints = suspect.crashes.iter().map(|crash| crash.endpoint.clone());
        Some(Quarantined { kind: suspect.kind, fingerprint, endpoints: endpoints.collect() })
    }

    /// Clears a fingerprint after a completed run: no endpoint crashed because of it. Returns what
    /// is newly quarantined, since the cleared fingerprint no longer explains the crashes of
    /// others.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Vec<Quarantined> {
        let Some(suspect) = self.entries.get_mut(&fingerprint).filter(|s| !s.crashes.is_empty())
        else {
            return Vec::new();
        };
        suspect.clear();
        suspect.last_received = now;
        suspect.heartbeats_left = HEARTBEATS_PER_CHANGE;
        self.update_quarantine(now)
    }

    /// Whether a run that began at a time, and has not crashed its endpoint, proves that this
    /// fingerprint caused none of the known crashes. An earlier run proves nothing: the endpoints
    /// may have begun to crash after it had begun.
    pub fn is_exonerated(&self, fingerprint: Fingerprint, began_at: Timestamp) -> bool {
        let suspect = self.entries.get(&fingerprint).filter(|s| !s.crashes.is_empty());
        suspect.is_some_and(|suspect| suspect.suspected_at < began_at)
    }

    /// Whether a repeated request has to be recorded and gossiped.
    pub fn is_refreshed_by(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        let content = self.entries.get(&fingerprint).filter(|s| s.kind == SubjectKind::Content);
        content.is_some_and(|suspect| now > suspect.last_received + REFRESH_INTERVAL)
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
        self.update_quarantine(now);
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

    /// Updates of a kind to gossip with the next heartbeat.
    pub fn take_changes(&mut self, kind: SubjectKind, now: Timestamp) -> Vec<SuspectUpdate> {
        let changes = self.of_kind(kind).filter(|(_, suspect)| suspect.heartbeats_left > 0);
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

    fn of_kind(&self, kind: SubjectKind) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.entries.iter().filter(move |(_, suspect)| suspect.kind == kind)
    }

    /// Entries of a kind that gateways compare: fingerprints under which several endpoints crashed.
    /// Single crashes are gossiped only once, as updates: when a rack fails there are many, and
    /// almost all of them are irrelevant.
    fn compared(&self, kind: SubjectKind) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.of_kind(kind).filter(|(_, suspect)| suspect.crashes.len() >= ISOLATION_CRASHES)
    }

    /// Digest of the compared entries of a kind; equal if two gateways know the same.
    pub fn digest(&self, kind: SubjectKind) -> u64 {
        let announced = self.compared(kind).map(|(f, s)| (f, s.cleared, &s.crashes));
        let announced: Vec<_> = announced.collect();
        if announced.is_empty() {
            return 0;
        }
        xxh3_64(&postcard::to_allocvec(&announced).unwrap_or_default())
    }

    /// Entries of a kind, sent to a gateway whose digest differs.
    pub fn announcements(&self, kind: SubjectKind, now: Timestamp) -> Vec<SuspectUpdate> {
        let mut known: Vec<_> = self.compared(kind).collect();
        known.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.retention_rank()));
        known.truncate(MAX_IN_REPLY);
        known.into_iter().map(|(f, suspect)| announcement(*f, suspect, now)).collect()
    }
}

fn announcement(fingerprint: Fingerprint, suspect: &Suspect, now: Timestamp) -> SuspectUpdate {
    let age_s = now.saturating_sub(suspect.last_received).as_secs();
    let announced = AnnouncedSuspect {
        fingerprint,
        cleared: suspect.cleared,
        age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        crashes: suspect.crashes.clone(),
    };
    let suspected_for = now.saturating_sub(suspect.suspected_at).as_millis();
    SuspectUpdate {
        depth: suspect.depth,
        suspected_for_ms: u32::try_from(suspected_for).unwrap_or(u32::MAX),
        suspect: announced,
    }
}
