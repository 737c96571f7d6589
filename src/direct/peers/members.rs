//! Which gateways are there: heartbeats spread by gossip from a few seeds, and who owns what.
//!
//! Nothing is agreed: two gateways may take different members for alive for a while, and whatever
//! follows from it (two owners of one pool) must be harmless.

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
pub const HEARTBEAT: Duration = Duration::from_millis(200);
/// A member whose heartbeat has not grown for so long is taken for dead.
const SILENT: Duration = Duration::from_millis(1_000);
/// A member whose connection broke is taken for dead if its heartbeat does not grow within that.
const SUSPECTED: Duration = Duration::from_millis(600);
/// A dead member is forgotten after so long.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// One that fell silent without saying that it leaves may be cut off and live on: it counts among those that may exist
/// for so long. Data centres lose each other for minutes.
const APART: Duration = Duration::from_secs(900);
/// So many of these are kept at most; bounds memory.
const MOST_APART: usize = 1_024;
/// Whoever takes something over from a member that is gone, or that is new, waits for so long: others may take that
/// member for alive until they, too, have missed it for [`SILENT`] and have heard that others have.
pub const SETTLED: Duration = Duration::from_millis(1_000);
/// Members to which one heartbeat goes.
const FANOUT: usize = 8;

/// What a member is ready for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It knows too little to serve.
    Starting,
    /// It serves and owns.
    Serving,
    /// It ends what it has begun, and owns nothing new.
    Leaving,
}

/// What gossip says of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its life; a later one is a larger number.
    pub incarnation: u64,
    /// Grows while it lives.
    pub heartbeat: u64,
    /// What it is ready for.
    pub state: MemberState,
    /// The processor time that its host has, in thousandths of a core.
    pub capacity: u32,
}

impl Member {
    /// Hosts whose capacities lie within a factor of two are taken for equal.
    const fn capacity_class(&self) -> u32 {
        u32::BITS - self.capacity.leading_zeros()
    }
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When its heartbeat last grew, or `None` while it is taken for dead.
    heard: Option<Timestamp>,
    since: Timestamp,
    /// Since when it is in its state, in this life.
    state_since: Timestamp,
    /// Since when it is taken for alive, in this life.
    alive_since: Timestamp,
}

/// What was heard of other members.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Members that were not known, or taken for dead.
    pub alive: Vec<Member>,
    /// Lives that were taken for alive, of members that are in another life now.
    pub ended: Vec<Member>,
}

impl Known {
    /// Incarnations come from clocks, which may have stepped back between two lives: any other life
    /// is newer than one that is taken for dead.
    const fn is_superseded_by(&self, told: &Member) -> bool {
        if self.member.incarnation == told.incarnation {
            return self.member.heartbeat < told.heartbeat;
        }
        self.heard.is_none() || self.member.incarnation < told.incarnation
    }
}

/// An address as it is hashed.
fn octets(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut octets = [0; 18];
    octets[..16].copy_from_slice(&ip.octets());
    octets[16..].copy_from_slice(&address.port().to_be_bytes());
    octets
}

/// Whether a member serves, how strong its host is, and its random weight.
type Rank = (bool, u32, u64);

/// One member for each cell, another for each as far as there are others that serve on hosts as strong.
fn firsts<'a>(ranked: &[(&Name, Vec<(Rank, &'a Member)>)]) -> BTreeMap<Name, &'a Member> {
    let mut claims: Vec<(Rank, &Name, &Member)> = Vec::new();
    for (cell, ranked) in ranked {
        let best = ranked.first().map(|((serves, class, _), _)| (*serves, *class));
        let equals =
            ranked.iter().take_while(|((serves, class, _), _)| Some((*serves, *class)) == best);
        claims.extend(equals.map(|(rank, member)| (*rank, *cell, *member)));
    }
    claims.sort_unstable_by_key(|(rank, cell, _)| (Reverse(*rank), *cell));
    let mut firsts: BTreeMap<Name, &Member> = BTreeMap::new();
    let mut taken = BTreeSet::new();
    for (_, cell, member) in claims {
        if !firsts.contains_key(cell) && taken.insert(member.address) {
            firsts.insert(cell.clone(), member);
        }
    }
    firsts
}

/// The members that one gateway knows.
#[derive(Debug)]
pub struct Members {
    own: Member,
    others: BTreeMap<SocketAddr, Known>,
    /// Members whose connection broke and whose heartbeat has not grown since, and when it did.
    suspected: BTreeMap<SocketAddr, Timestamp>,
    seeds: Vec<SocketAddr>,
    /// Nobody falls silent or is forgotten earlier.
    silent_from: Timestamp,
    /// Counts changes of who is there, in which state and on which host.
    changes: u64,
    /// Members that were forgotten and may live on, and when they were.
    apart: BTreeMap<SocketAddr, Timestamp>,
}

impl Members {
    /// A gateway alone, with the addresses where it may meet others.
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
            silent_from: Timestamp::ZERO,
            changes: 0,
            apart: BTreeMap::new(),
        }
    }

    /// Grows whenever another member may be the owner of something: not with heartbeats.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// The process itself.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Takes over new seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets what the process is ready for; says whether that changed.
    pub fn set_state(&mut self, state: MemberState) -> bool {
        let changed = self.own.state != state;
        self.own.state = state;
        self.changes += u64::from(changed);
        changed
    }

    /// Counts a heartbeat and names where it goes.
    pub fn beat(&mut self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.own.heartbeat += 1;
        let alive: Vec<SocketAddr> = self.alive().map(|m| m.address).collect();
        let seeds = self.seeds.iter().copied().filter(|s| *s != self.own.address);
        let mut unheard: Vec<SocketAddr> = seeds.chain(self.dead()).collect();
        unheard.retain(|a| !alive.contains(a));
        // A starting gateway learns of the others from whichever answers first.
        if alive.is_empty() {
            return unheard.sample(rng, FANOUT).copied().collect();
        }
        let mut to: Vec<SocketAddr> = alive.sample(rng, FANOUT).copied().collect();
        to.extend(unheard.choose(rng));
        to
    }

    /// What is told to others: all members that are taken for alive, and the process itself.
    pub fn digest(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.alive().cloned().collect();
        members.push(self.own.clone());
        members
    }

    /// Takes in what another tells; names the members that are alive since, and the lives that ended
    /// unnoticed because their members are in another one.
    pub fn hear(&mut self, members: &[Member], now: Timestamp) -> Heard {
        let mut heard = Heard::default();
        for member in members.iter().filter(|m| m.address != self.own.address) {
            let known = self.others.get(&member.address);
            if known.is_some_and(|k| !k.is_superseded_by(member)) {
                continue;
            }
            let was_alive = known
                .is_some_and(|k| k.heard.is_some() && k.member.incarnation == member.incarnation);
            if !was_alive {
                heard.alive.push(member.clone());
                let before = known.filter(|k| k.heard.is_some()).map(|k| k.member.clone());
                heard.ended.extend(before);
            }
            let is_same = |k: &&Known| {
                k.member.incarnation == member.incarnation && k.member.state == member.state
            };
            let state_since = known.filter(is_same).map_or(now, |k| k.state_since);
            let alive_since = known.filter(|_| was_alive).map_or(now, |k| k.alive_since);
            self.apart.remove(&member.address);
            let is_as_before = was_alive
                && known.is_some_and(|k| {
                    k.member.state == member.state && k.member.capacity == member.capacity
                });
            self.changes += u64::from(!is_as_before);
            self.suspected.remove(&member.address);
            let member = member.clone();
            let known = Known { member, heard: Some(now), since: now, state_since, alive_since };
            self.others.insert(known.member.address, known);
        }
        heard
    }

    /// A connection from this life of a member broke: it may live on, since connections are reset;
    /// says whether it was taken for alive until now.
    pub fn suspect(&mut self, address: SocketAddr, incarnation: u64, now: Timestamp) -> bool {
        let is_alive = self.is_alive(address, incarnation) && address != self.own.address;
        if is_alive {
            self.suspected.entry(address).or_insert(now);
        }
        is_alive
    }

    /// When [`Self::expire`] is due for a member that is suspected.
    pub fn next_suspicion(&self) -> Option<Timestamp> {
        self.suspected.values().min().map(|at| *at + SUSPECTED)
    }

    /// This life of a member can't be reached: it is taken for dead until it is heard again.
    pub fn broke(&mut self, address: SocketAddr, incarnation: u64, now: Timestamp) -> bool {
        let Some(known) = self.others.get_mut(&address) else {
            return false;
        };
        if known.member.incarnation != incarnation || known.heard.is_none() {
            return false;
        }
        known.heard = None;
        known.since = now;
        self.suspected.remove(&address);
        self.changes += 1;
        true
    }

    /// Takes the silent for dead; names them. All members are looked at when one may have fallen silent,
    /// about once in [`SILENT`], however often this is asked.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Member> {
        let is_suspicion_over = self.next_suspicion().is_some_and(|at| now >= at);
        if now < self.silent_from && !is_suspicion_over {
            return Vec::new();
        }
        let mut lost = Vec::new();
        for known in self.others.values_mut() {
            let suspected = self.suspected.get(&known.member.address);
            let is_silent = known.heard.is_some_and(|h| now >= h + SILENT);
            let is_suspected = suspected.is_some_and(|s| now >= *s + SUSPECTED);
            if known.heard.is_some() && (is_silent || is_suspected) {
                known.heard = None;
                known.since = now;
                lost.push(known.member.clone());
            }
        }
        for member in &lost {
            self.suspected.remove(&member.address);
        }
        self.changes += lost.len() as u64;
        self.forget(now);
        let next =
            self.others.values().map(|k| k.heard.map_or(k.since + FORGOTTEN, |h| h + SILENT));
        // Whoever is heard for the first time from now on falls silent later than that, too.
        self.silent_from = next.chain([now + SILENT]).min().unwrap_or_default();
        lost
    }

    /// Forgets members that are dead for long.
    fn forget(&mut self, now: Timestamp) {
        self.apart.retain(|_, forgotten| now < *forgotten + APART);
        let is_over = |known: &Known| known.heard.is_none() && now >= known.since + FORGOTTEN;
        for (address, known) in self.others.extract_if(.., |_, known| is_over(known)) {
            if known.member.state != MemberState::Leaving && self.apart.len() < MOST_APART {
                self.apart.insert(address, now);
            }
        }
    }

    /// This process stood still for so long, until now, and heard nobody: that says nothing of the others. They
    /// have as long to be heard from now on as they had before.
    pub fn on_suspension(&mut self, for_so_long: Duration, now: Timestamp) {
        for heard in self.others.values_mut().filter_map(|known| known.heard.as_mut()) {
            *heard = (*heard + for_so_long).min(now);
        }
        for suspected in self.suspected.values_mut() {
            *suspected = (*suspected + for_so_long).min(now);
        }
    }

    /// The others that are taken for alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|k| k.heard.is_some()).map(|k| &k.member)
    }

    fn dead(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.others.iter().filter(|(_, k)| k.heard.is_none()).map(|(a, _)| *a)
    }

    /// How strong a member's host is, against others; 0 where nothing is known of it.
    pub fn strength(&self, address: SocketAddr) -> u32 {
        self.others.get(&address).map_or(0, |k| k.member.capacity_class())
    }

    /// Whether this life of a member is taken for alive.
    pub fn is_alive(&self, address: SocketAddr, incarnation: u64) -> bool {
        if address == self.own.address {
            return incarnation == self.own.incarnation;
        }
        self.life(address) == Some(incarnation)
    }

    /// The life of another member that is taken for alive.
    pub fn life(&self, address: SocketAddr) -> Option<u64> {
        let known = self.others.get(&address).filter(|k| k.heard.is_some())?;
        Some(known.member.incarnation)
    }

    /// Members that exist as far as is known, the process itself among them, dead ones too: the
    /// share of a common budget must not grow because others can't be heard.
    pub fn known(&self) -> usize {
        1 + self.others.len().max(self.seeds.len().saturating_sub(1))
    }

    /// The one of those that are `able` which decides on `what` for all, and from when on nobody else does: others may
    /// still take one that is gone, or leaves, for the one. Whoever serves comes before whoever leaves, and of these
    /// the one with the highest random weight.
    ///
    /// Costs what there are members.
    pub fn limiter(
        &self,
        what: &str,
        able: impl Fn(&Member) -> bool,
    ) -> Option<(SocketAddr, Timestamp)> {
        let seed = xxh3_64(what.as_bytes());
        let weight = |m: &Member| xxh3_64_with_seed(&octets(m.address), seed);
        let rank = |m: &Member| (m.state == MemberState::Serving, weight(m));
        let alive = self.alive().filter(|m| able(m)).chain([&self.own]);
        let first = alive.filter(|m| m.state != MemberState::Starting).max_by_key(|m| rank(m))?;
        let beaten = rank(first);
        let was_first = |known: &&Known| (true, weight(&known.member)) > beaten;
        let gone = self.others.values().filter(|known| known.member.address != first.address);
        let gone = gone.filter(was_first).filter_map(|known| match known.heard {
            None => Some(known.since + SETTLED),
            Some(_) if known.member.state == MemberState::Leaving => {
                Some(known.state_since + SETTLED)
            }
            Some(_) => None,
        });
        Some((first.address, gone.max().unwrap_or(Timestamp::ZERO)))
    }

    /// Of all gateways that may exist, the part that is `able` and was heard for a while, this one among them. What
    /// can't be heard may be cut off and go by others.
    pub fn part_heard(&self, able: impl Fn(&Member) -> bool, now: Timestamp) -> f64 {
        let heard = self.others.values().filter(|known| {
            known.heard.is_some() && now >= known.alive_since + SETTLED && able(&known.member)
        });
        (1 + heard.count()) as f64 / (self.known() + self.apart.len()) as f64
    }

    /// The owner of `what`; `skip` are passed over. See [`Self::owners`].
    pub fn owner(&self, what: &str, skip: &[SocketAddr]) -> Option<Member> {
        let ranked = self.ranked(what).into_iter();
        ranked.map(|(_, m)| m).find(|m| !skip.contains(&m.address)).cloned()
    }

    /// Who may own `what`, the first first: those that serve before those that are leaving and still
    /// there, then the strongest hosts, and of these the one with the highest random weight.
    fn ranked(&self, what: &str) -> Vec<(Rank, &Member)> {
        let seed = xxh3_64(what.as_bytes());
        let weight = |m: &Member| xxh3_64_with_seed(m.address.to_string().as_bytes(), seed);
        let rank = |m: &Member| (m.state == MemberState::Serving, m.capacity_class(), weight(m));
        let members = self.alive().chain([&self.own]);
        let able = members.filter(|m| m.state != MemberState::Starting);
        let mut ranked: Vec<_> = able.map(|m| (rank(m), m)).collect();
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked
    }

    /// For each of `cells` its owner and those that come after it, `count` at most. No gateway is the
    /// first of two cells as long as there is another one as strong; whoever weighs most for a cell has
    /// it, so the loss of one owner seldom moves another cell.
    ///
    /// Costs what there are members, for each cell.
    pub fn owners(&self, cells: &[Name], count: usize) -> BTreeMap<Name, Vec<Member>> {
        let ranked: Vec<_> = cells.iter().map(|cell| (cell, self.ranked(cell))).collect();
        let firsts = firsts(&ranked);
        let owners = ranked.into_iter().map(|(cell, ranked)| {
            let first = firsts.get(cell).copied();
            let ranked = ranked.into_iter().map(|(_, member)| member);
            let others = ranked.filter(|m| Some(m.address) != first.map(|f| f.address));
            (cell.clone(), first.into_iter().chain(others).take(count).cloned().collect())
        });
        owners.collect()
    }

    /// The others: since when each is in its state, or dead, and whether it is taken for alive.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Timestamp, bool)> {
        self.others.values().map(|k| match k.heard {
            Some(_) => (&k.member, k.state_since, true),
            None => (&k.member, k.since, false),
        })
    }
}
