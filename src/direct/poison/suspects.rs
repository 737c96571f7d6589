//! What ran at endpoints that crashed: remembered by all gateways until it is cleared or quarantined.
//!
//! An account is merged from any source in any order: crashes are a set, and whatever was cleared more often is
//! newer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::poison::Run;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Endpoints that must crash under the same content before it is refused. One crashes for many reasons and takes all
/// that runs there with it: in 2,000 random schedules of fleets that lose one of 24 endpoints each second, one
/// innocent request in 15,000 was there at three crashes.
const POISON_CRASHES: usize = 3;
/// In at least so many rounds: the same content may run at many endpoints that crash at once, as when a rack goes.
/// A round is over when the crash is known, so what was sent with that knowledge is another try.
const POISON_ROUNDS: u8 = 2;
/// What so many endpoints crashed under does not share a call with others any more: whoever is innocent proves it
/// there, and only what crashes an endpoint there can be the poison.
const ALONE_CRASHES: usize = 2;
/// After so many crashes a content is refused even if another one ran at each of them.
const ANYHOW_CRASHES: usize = 5;
/// Endings that are remembered of one content; more say nothing more.
const MOST_CRASHES: usize = 6;
/// For how long something is remembered after it last came, which refused callers are told. Callers that heed it are
/// run again then, so that a mended endpoint serves them.
pub const KEPT: Duration = Duration::from_secs(600);
/// That it came again is told to others only if it makes so much of a difference: otherwise each refusal would
/// be news to all gateways.
const REFRESHED_AFTER: Duration = Duration::from_secs(150);
/// Contents that are remembered at most; bounds memory to some 100 KB. Those with most crashes, and of these the
/// latest, stay.
const MOST: usize = 512;
/// Heartbeats that carry a piece of news. Each goes to eight others, all of which tell it on: 580 gateways
/// have it after three rounds.
const TOLD: u8 = 4;
/// Pieces of news that one heartbeat carries, those with most crashes first: 600 bytes.
const NEWS_IN_HEARTBEAT: usize = 16;
/// What a gateway that asks is told at most: 4 KB.
const MOST_TOLD: usize = 64;

/// The crash of an endpoint that ran some content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint's id.
    pub endpoint: Name,
    /// The life that crashed.
    pub incarnation: u64,
    /// One more than the rounds of crashes that were known when the content was sent there.
    pub round: u8,
    /// Whether the content shared its call with nothing else.
    pub alone: bool,
}

impl Crash {
    /// Which life of which endpoint.
    fn life(&self) -> (&Name, u64) {
        (&self.endpoint, self.incarnation)
    }
}

/// What one gateway tells another of a content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The content.
    pub fingerprint: Fingerprint,
    /// How often it was cleared; crashes before the last time are void.
    pub cleared: u32,
    /// Since it last came, in seconds.
    pub age_s: u32,
    /// The crashes under it since.
    pub crashes: Vec<Crash>,
}

#[derive(Debug, Clone)]
struct Suspect {
    cleared: u32,
    crashes: Vec<Crash>,
    came: Timestamp,
    /// Heartbeats that are still to carry it.
    to_tell: u8,
}

impl Suspect {
    fn rounds(&self) -> u8 {
        self.crashes.iter().map(|crash| crash.round).max().unwrap_or(0)
    }

    /// Whether enough endpoints crashed under it, whoever else ran there.
    fn may_be_poison(&self) -> bool {
        let was_alone = self.crashes.iter().any(|crash| crash.alone);
        self.crashes.len() >= POISON_CRASHES && self.rounds() >= POISON_ROUNDS && was_alone
    }

    fn has(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.life() == crash.life())
    }

    /// Whether another content ran wherever endpoints crashed under this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.has(crash))
    }

    /// Takes crashes in; says whether it learnt anything.
    fn add(&mut self, crashes: &[Crash]) -> bool {
        let before = self.crashes.clone();
        for crash in crashes {
            match self.crashes.iter_mut().find(|known| known.life() == crash.life()) {
                Some(known) => {
                    known.round = known.round.max(crash.round);
                    known.alone |= crash.alone;
                }
                None => self.crashes.push(crash.clone()),
            }
        }
        // The same ones are left wherever accounts meet.
        let order = |l: &Crash| (Reverse((l.alone, l.round)), l.endpoint.clone(), l.incarnation);
        self.crashes.sort_by_key(order);
        self.crashes.truncate(MOST_CRASHES);
        self.crashes != before
    }

    /// What counts when there are too many: crashes, then how lately it came.
    fn weight(&self) -> (usize, Timestamp) {
        (self.crashes.len(), self.came)
    }
}

/// A content that is refused since something was learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantined {
    /// The content.
    pub fingerprint: Fingerprint,
    /// The endpoints that crashed under it, as far as they are remembered.
    pub endpoints: Vec<Name>,
}

/// Contents under which endpoints crashed.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    of: BTreeMap<Fingerprint, Suspect>,
    /// Those that are refused.
    quarantined: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Whether a content is refused.
    pub fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// What of a request is refused: itself, or one of its `stages`.
    pub fn poison_in(&self, request: Fingerprint, stages: usize) -> Option<Fingerprint> {
        if self.quarantined.is_empty() {
            return None;
        }
        let parts = (0..stages).map(|stage| request.of_stage(stage));
        parts.chain([request]).find(|part| self.is_poison(*part))
    }

    /// Whether endpoints crashed under a content.
    pub fn knows(&self, fingerprint: Fingerprint) -> bool {
        self.of.get(&fingerprint).is_some_and(|s| !s.crashes.is_empty())
    }

    /// Rounds in which endpoints crashed under a content.
    pub fn rounds(&self, fingerprint: Fingerprint) -> u8 {
        self.of.get(&fingerprint).map_or(0, Suspect::rounds)
    }

    /// Whether a content is run apart from others.
    pub fn goes_alone(&self, fingerprint: Fingerprint) -> bool {
        self.of.get(&fingerprint).is_some_and(|s| s.crashes.len() >= ALONE_CRASHES)
    }

    /// How many contents are refused.
    pub fn poison(&self) -> usize {
        self.quarantined.len()
    }

    /// Contents that are remembered.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// An endpoint crashed while all this ran there; names what is refused since.
    pub fn crashed(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        runs: &[Run],
        now: Timestamp,
    ) -> Vec<Quarantined> {
        for run in runs {
            let Run { round, alone, .. } = *run;
            let crash = Crash { endpoint: endpoint.clone(), incarnation, round, alone };
            let cleared = self.of.get(&run.fingerprint).map_or(0, |s| s.cleared);
            self.learn(run.fingerprint, cleared, &[crash], now);
        }
        self.bound();
        self.decide()
    }

    /// Whether another gateway tells something that is not known: most of what comes was heard before.
    pub fn is_news(&self, account: &Account, now: Timestamp) -> bool {
        let came = now.saturating_sub(Duration::from_secs(u64::from(account.age_s)));
        let Some(known) = self.of.get(&account.fingerprint) else {
            return true;
        };
        let covers = |crash: &Crash| {
            let same = known.crashes.iter().find(|own| own.life() == crash.life());
            same.is_some_and(|own| own.round >= crash.round && (own.alone || !crash.alone))
        };
        let is_later = account.cleared > known.cleared || came > known.came + REFRESHED_AFTER;
        let adds = account.cleared == known.cleared && !account.crashes.iter().all(covers);
        is_later || adds
    }

    /// Takes in what another gateway tells; names what is refused since.
    pub fn told(&mut self, accounts: &[Account], now: Timestamp) -> Vec<Quarantined> {
        for account in accounts {
            let age = Duration::from_secs(u64::from(account.age_s));
            if age >= KEPT {
                continue;
            }
            let came = now.saturating_sub(age);
            let Account { fingerprint, cleared, crashes, .. } = account;
            self.learn(*fingerprint, *cleared, crashes, came);
        }
        self.bound();
        self.decide()
    }

    fn learn(
        &mut self,
        fingerprint: Fingerprint,
        cleared: u32,
        crashes: &[Crash],
        came: Timestamp,
    ) {
        let suspect = self.of.entry(fingerprint).or_insert_with(|| Suspect {
            cleared,
            crashes: Vec::new(),
            came,
            to_tell: TOLD,
        });
        if cleared < suspect.cleared {
            return;
        }
        let mut is_news = cleared > suspect.cleared;
        if is_news {
            suspect.cleared = cleared;
            suspect.crashes.clear();
        }
        is_news |= suspect.add(crashes);
        is_news |= came > suspect.came + REFRESHED_AFTER;
        if is_news {
            suspect.came = suspect.came.max(came);
            suspect.to_tell = TOLD;
        }
    }

    /// Decides what is refused, and names what is since. Where another content ran at each endpoint that crashed
    /// under this one, either may be the poison: it takes one more crash to tell, which only the poison has.
    fn decide(&mut self) -> Vec<Quarantined> {
        let suspected = self.of.iter().filter(|(_, suspect)| suspect.may_be_poison());
        let mut at_life: BTreeMap<_, Vec<&Fingerprint>> = BTreeMap::new();
        for (fingerprint, suspect) in suspected.clone() {
            for crash in &suspect.crashes {
                at_life.entry(crash.life()).or_default().push(fingerprint);
            }
        }
        let is_explained = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let others = suspect.crashes.first().and_then(|crash| at_life.get(&crash.life()));
            let mut others = others.into_iter().flatten().filter(|other| **other != fingerprint);
            others.any(|other| suspect.is_explained_by(&self.of[*other]))
        };
        let is_quarantined = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            suspect.crashes.len() >= ANYHOW_CRASHES || !is_explained(fingerprint, suspect)
        };
        let quarantined = suspected.filter(is_quarantined).map(|(fingerprint, _)| *fingerprint);
        let before = std::mem::take(&mut self.quarantined);
        self.quarantined = quarantined.collect();
        let newly = self.quarantined.difference(&before);
        newly.map(|fingerprint| self.quarantine(*fingerprint)).collect()
    }

    fn quarantine(&self, fingerprint: Fingerprint) -> Quarantined {
        let crashes = self.of.get(&fingerprint).map(|suspect| &suspect.crashes);
        let endpoints = crashes.into_iter().flatten().map(|crash| crash.endpoint.clone());
        Quarantined { fingerprint, endpoints: endpoints.collect() }
    }

    /// A content ran to its end: no endpoint crashed because of it. Names what is refused since, as nothing else
    /// explains the crashes any more.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Vec<Quarantined> {
        let Some(suspect) = self.of.get_mut(&fingerprint).filter(|s| !s.crashes.is_empty()) else {
            return Vec::new();
        };
        suspect.cleared += 1;
        suspect.crashes.clear();
        suspect.came = now;
        suspect.to_tell = TOLD;
        self.decide()
    }

    /// Whether it is news that a content came again.
    pub fn is_refreshed_by(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.of.get(&fingerprint).is_some_and(|s| now > s.came + REFRESHED_AFTER)
    }

    /// A content that is refused came again: it is remembered from now on.
    pub fn came(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if let Some(suspect) = self.of.get_mut(&fingerprint) {
            suspect.came = now;
            suspect.to_tell = TOLD;
        }
    }

    /// Whether something has not come for so long that it is forgotten.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        self.of.values().any(|suspect| now >= suspect.came + KEPT)
    }

    /// Forgets what has not come for long.
    pub fn forget(&mut self, now: Timestamp) {
        self.of.retain(|_, suspect| now < suspect.came + KEPT);
        self.decide();
    }

    fn bound(&mut self) {
        if self.of.len() <= MOST {
            return;
        }
        let mut weights: Vec<_> = self.of.iter().map(|(f, s)| (s.weight(), *f)).collect();
        weights.sort_unstable_by_key(|weight| Reverse(*weight));
        for (_, fingerprint) in weights.split_off(MOST) {
            self.of.remove(&fingerprint);
        }
    }

    /// Whether heartbeats are still to carry something.
    pub fn has_news(&self) -> bool {
        self.of.values().any(|suspect| suspect.to_tell > 0)
    }

    /// What the next heartbeat carries.
    pub fn news(&mut self, now: Timestamp) -> Vec<Account> {
        let news = self.of.iter().filter(|(_, suspect)| suspect.to_tell > 0);
        let mut news: Vec<_> = news.map(|(f, s)| ((s.to_tell, s.weight()), *f)).collect();
        news.sort_unstable_by_key(|((_, weight), f)| Reverse((*weight, *f)));
        news.truncate(NEWS_IN_HEARTBEAT);
        let mut accounts = Vec::with_capacity(news.len());
        for (_, fingerprint) in news {
            if let Some(suspect) = self.of.get_mut(&fingerprint) {
                suspect.to_tell -= 1;
                accounts.push(account(fingerprint, suspect, now));
            }
        }
        accounts
    }

    /// What gateways compare: contents under which several endpoints crashed. Single crashes are told once
    /// only, as news: where a rack goes they are many, and nearly all of them mean nothing.
    fn compared(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.of.iter().filter(|(_, suspect)| suspect.crashes.len() >= ALONE_CRASHES)
    }

    /// A digest of what is compared; equal where gateways know the same.
    pub fn digest(&self) -> u64 {
        let accounts = self.compared().map(|(f, s)| (f, s.cleared, &s.crashes));
        let accounts: Vec<_> = accounts.collect();
        if accounts.is_empty() {
            return 0;
        }
        xxh3_64(&postcard::to_allocvec(&accounts).unwrap_or_default())
    }

    /// What a gateway is told that knows something else.
    pub fn accounts(&self, now: Timestamp) -> Vec<Account> {
        let mut known: Vec<_> = self.compared().collect();
        known.sort_unstable_by_key(|(_, suspect)| Reverse(suspect.weight()));
        known.truncate(MOST_TOLD);
        known.into_iter().map(|(f, suspect)| account(*f, suspect, now)).collect()
    }
}

fn account(fingerprint: Fingerprint, suspect: &Suspect, now: Timestamp) -> Account {
    let age_s = now.saturating_sub(suspect.came).as_secs();
    Account {
        fingerprint,
        cleared: suspect.cleared,
        age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        crashes: suspect.crashes.clone(),
    }
}
