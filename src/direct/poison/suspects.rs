//! What ran at endpoints that ended: remembered by all gateways until it is cleared or is the poison.
//!
//! An account is merged from any source in any order: endings are a set, and whatever was cleared more often is
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

/// Endpoints that must end under the same content before it is refused. One ends for many reasons and takes all
/// that runs there with it; by chance the same content is hit three times in a row once in some 10,000 cases where
/// a tenth of the endpoints end in the time of a run.
const POISON_LOSSES: usize = 3;
/// In at least so many rounds: the same content may run at many endpoints that end at once, as when a rack goes.
/// A round is over when the ending is known, so what was sent with that knowledge is another try.
const POISON_ROUNDS: u8 = 2;
/// What so many endpoints ended under does not share a call with others any more: whoever is innocent proves it
/// there, and only what ends an endpoint there can be the poison.
const ALONE_LOSSES: usize = 2;
/// Under so many endings a content is refused even if another one ran at each of them.
const ANYHOW_LOSSES: usize = 5;
/// Endings that are remembered of one content; more say nothing more.
const MOST_LOSSES: usize = 6;
/// For how long something is remembered after it last came, which refused callers are told. Callers that heed it are
/// run again then, so that a mended endpoint serves them.
pub const KEPT: Duration = Duration::from_secs(600);
/// That it came again is told to others only if it makes so much of a difference: otherwise each refusal would
/// be news to all gateways.
const REFRESHED_AFTER: Duration = Duration::from_secs(150);
/// Contents that are remembered at most; bounds memory to some 100 KB. Those with most endings, and of these the
/// latest, stay.
const MOST: usize = 512;
/// Heartbeats that carry a piece of news. Each goes to eight others, all of which tell it on: 580 gateways
/// have it after three rounds.
const TOLD: u8 = 4;
/// Pieces of news that one heartbeat carries, those with most endings first: 600 bytes.
const NEWS_IN_HEARTBEAT: usize = 16;
/// What a gateway that asks is told at most: 4 KB.
const MOST_TOLD: usize = 64;

/// An endpoint that ended under some content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The endpoint's id.
    pub endpoint: Name,
    /// The life that ended.
    pub incarnation: u64,
    /// One more than the rounds of endings that were known when the content was sent there.
    pub round: u8,
    /// Whether the content shared its call with nothing else.
    pub alone: bool,
}

impl Loss {
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
    /// How often it was cleared; endings before the last time are void.
    pub cleared: u32,
    /// Since it last came, in seconds.
    pub age_s: u32,
    /// Endpoints that ended under it since.
    pub losses: Vec<Loss>,
}

#[derive(Debug, Clone)]
struct Suspect {
    cleared: u32,
    losses: Vec<Loss>,
    came: Timestamp,
    /// Heartbeats that are still to carry it.
    to_tell: u8,
}

impl Suspect {
    fn rounds(&self) -> u8 {
        self.losses.iter().map(|loss| loss.round).max().unwrap_or(0)
    }

    /// Whether enough endpoints ended under it, whoever else ran there.
    fn may_be_poison(&self) -> bool {
        let was_alone = self.losses.iter().any(|loss| loss.alone);
        self.losses.len() >= POISON_LOSSES && self.rounds() >= POISON_ROUNDS && was_alone
    }

    fn has(&self, loss: &Loss) -> bool {
        self.losses.iter().any(|own| own.life() == loss.life())
    }

    /// Whether another content ran wherever endpoints ended under this one.
    fn is_explained_by(&self, other: &Self) -> bool {
        self.losses.iter().all(|loss| other.has(loss))
    }

    /// Takes endings in; says whether it learnt anything.
    fn add(&mut self, losses: &[Loss]) -> bool {
        let before = self.losses.clone();
        for loss in losses {
            let known = self
                .losses
                .iter_mut()
                .find(|l| (&l.endpoint, l.incarnation) == (&loss.endpoint, loss.incarnation));
            match known {
                Some(known) => {
                    known.round = known.round.max(loss.round);
                    known.alone |= loss.alone;
                }
                None => self.losses.push(loss.clone()),
            }
        }
        // The same ones are left wherever accounts meet.
        let order = |l: &Loss| (Reverse((l.alone, l.round)), l.endpoint.clone(), l.incarnation);
        self.losses.sort_by_key(order);
        self.losses.truncate(MOST_LOSSES);
        self.losses != before
    }

    /// What counts when there are too many: endings, then how lately it came.
    fn weight(&self) -> (usize, Timestamp) {
        (self.losses.len(), self.came)
    }
}

/// A content that is refused since something was learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condemned {
    /// The content.
    pub fingerprint: Fingerprint,
    /// The endpoints that ended under it, as far as they are remembered.
    pub endpoints: Vec<Name>,
}

/// Contents under which endpoints ended.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    of: BTreeMap<Fingerprint, Suspect>,
    /// Those that are refused.
    condemned: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Whether a content is refused.
    pub fn is_poison(&self, fingerprint: Fingerprint) -> bool {
        self.condemned.contains(&fingerprint)
    }

    /// What of a request is refused: itself, or one of its `stages`.
    pub fn poison_in(&self, request: Fingerprint, stages: usize) -> Option<Fingerprint> {
        if self.condemned.is_empty() {
            return None;
        }
        let parts = (0..stages).map(|stage| request.of_stage(stage));
        parts.chain([request]).find(|part| self.is_poison(*part))
    }

    /// Whether endpoints ended under a content.
    pub fn knows(&self, fingerprint: Fingerprint) -> bool {
        self.of.get(&fingerprint).is_some_and(|s| !s.losses.is_empty())
    }

    /// Rounds in which endpoints ended under a content.
    pub fn rounds(&self, fingerprint: Fingerprint) -> u8 {
        self.of.get(&fingerprint).map_or(0, Suspect::rounds)
    }

    /// Whether a content is run apart from others.
    pub fn goes_alone(&self, fingerprint: Fingerprint) -> bool {
        self.of.get(&fingerprint).is_some_and(|s| s.losses.len() >= ALONE_LOSSES)
    }

    /// How many contents are refused.
    pub fn poison(&self) -> usize {
        self.condemned.len()
    }

    /// Contents that are remembered.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// An endpoint ended while all this ran there; names what is refused since.
    pub fn ended(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        runs: &[Run],
        now: Timestamp,
    ) -> Vec<Condemned> {
        for run in runs {
            let Run { round, alone, .. } = *run;
            let loss = Loss { endpoint: endpoint.clone(), incarnation, round, alone };
            let cleared = self.of.get(&run.fingerprint).map_or(0, |s| s.cleared);
            self.learn(run.fingerprint, cleared, &[loss], now);
        }
        self.bound();
        self.judge()
    }

    /// Whether another gateway tells something that is not known: most of what comes was heard before.
    pub fn is_news(&self, account: &Account, now: Timestamp) -> bool {
        let came = now.saturating_sub(Duration::from_secs(u64::from(account.age_s)));
        let Some(known) = self.of.get(&account.fingerprint) else {
            return true;
        };
        let covers = |loss: &Loss| {
            let same = known.losses.iter().find(|own| own.life() == loss.life());
            same.is_some_and(|own| own.round >= loss.round && (own.alone || !loss.alone))
        };
        let is_later = account.cleared > known.cleared || came > known.came + REFRESHED_AFTER;
        let adds = account.cleared == known.cleared && !account.losses.iter().all(covers);
        is_later || adds
    }

    /// Takes in what another gateway tells; names what is refused since.
    pub fn told(&mut self, accounts: &[Account], now: Timestamp) -> Vec<Condemned> {
        for account in accounts {
            let age = Duration::from_secs(u64::from(account.age_s));
            if age >= KEPT {
                continue;
            }
            let came = now.saturating_sub(age);
            let Account { fingerprint, cleared, losses, .. } = account;
            self.learn(*fingerprint, *cleared, losses, came);
        }
        self.bound();
        self.judge()
    }

    fn learn(&mut self, fingerprint: Fingerprint, cleared: u32, losses: &[Loss], came: Timestamp) {
        let suspect = self.of.entry(fingerprint).or_insert_with(|| Suspect {
            cleared,
            losses: Vec::new(),
            came,
            to_tell: TOLD,
        });
        if cleared < suspect.cleared {
            return;
        }
        let mut is_news = cleared > suspect.cleared;
        if is_news {
            suspect.cleared = cleared;
            suspect.losses.clear();
        }
        is_news |= suspect.add(losses);
        is_news |= came > suspect.came + REFRESHED_AFTER;
        if is_news {
            suspect.came = suspect.came.max(came);
            suspect.to_tell = TOLD;
        }
    }

    /// Decides what is refused, and names what is since. Where another content ran at each endpoint that ended
    /// under this one, either may be the poison: it takes one more ending to tell, which only the poison has.
    fn judge(&mut self) -> Vec<Condemned> {
        let suspected = self.of.iter().filter(|(_, suspect)| suspect.may_be_poison());
        let mut at_life: BTreeMap<_, Vec<&Fingerprint>> = BTreeMap::new();
        for (fingerprint, suspect) in suspected.clone() {
            for loss in &suspect.losses {
                at_life.entry(loss.life()).or_default().push(fingerprint);
            }
        }
        let is_explained = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let others = suspect.losses.first().and_then(|loss| at_life.get(&loss.life()));
            let mut others = others.into_iter().flatten().filter(|other| **other != fingerprint);
            others.any(|other| suspect.is_explained_by(&self.of[*other]))
        };
        let is_condemned = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            suspect.losses.len() >= ANYHOW_LOSSES || !is_explained(fingerprint, suspect)
        };
        let condemned = suspected.filter(is_condemned).map(|(fingerprint, _)| *fingerprint);
        let before = std::mem::take(&mut self.condemned);
        self.condemned = condemned.collect();
        let newly = self.condemned.difference(&before);
        newly.map(|fingerprint| self.sentence(*fingerprint)).collect()
    }

    fn sentence(&self, fingerprint: Fingerprint) -> Condemned {
        let losses = self.of.get(&fingerprint).map(|suspect| &suspect.losses);
        let endpoints = losses.into_iter().flatten().map(|loss| loss.endpoint.clone());
        Condemned { fingerprint, endpoints: endpoints.collect() }
    }

    /// A content ran to its end: no endpoint ended because of it. Names what is refused since, as nothing else
    /// explains the endings any more.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Timestamp) -> Vec<Condemned> {
        let Some(suspect) = self.of.get_mut(&fingerprint).filter(|s| !s.losses.is_empty()) else {
            return Vec::new();
        };
        suspect.cleared += 1;
        suspect.losses.clear();
        suspect.came = now;
        suspect.to_tell = TOLD;
        self.judge()
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
        self.judge();
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

    /// What gateways compare: contents under which several endpoints ended. Single endings are told once
    /// only, as news: where a rack goes they are many, and nearly all of them mean nothing.
    fn compared(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.of.iter().filter(|(_, suspect)| suspect.losses.len() >= ALONE_LOSSES)
    }

    /// A digest of what is compared; equal where gateways know the same.
    pub fn digest(&self) -> u64 {
        let accounts = self.compared().map(|(f, s)| (f, s.cleared, &s.losses));
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
        losses: suspect.losses.clone(),
    }
}
