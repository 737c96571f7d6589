//! What a gateway that is behind asks of its peers.
//!
//! A configuration may be half a megabyte, and a host's link 10 Mbit/s: it is asked of one peer at a
//! time, of another only if nothing comes, and of none while the own read of the publisher's store
//! brings it. Nothing of that is waited for so long that a configuration which peers have is owed
//! meanwhile. The list of endpoints is small and asked for apart, so that it never waits for that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::direct::peers::members::Members;
use crate::direct::published::documents::Seen;
use crate::direct::published::position::Position;
use crate::message::Timestamp;

/// A gateway that has seen less than another waits so long for its own publisher before it asks.
const BEHIND: Duration = Duration::from_millis(100);
/// All gateways read everything anew when an era begins, at random times: only one that could not by then asks others.
const EARLIER_ERA: Duration = Duration::from_millis(1_200);
// The sum that a configuration has 2 s for, from the first telling of it: `LONGEST_WAIT`, which bounds
// the own read's patience and `BETWEEN` together (1,000 ms), `FIRST_CHUNK` of a peer that is silent
// (400 ms), and the transfer from another, half a megabyte at 10 Mbit/s (400 ms): 1,800 ms. What a
// follower of the store rests after a long answer (500 ms) runs beside all that.
/// However the waits follow each other, a peer is asked so long after the first telling of a
/// configuration that is still outstanding.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// A peer that was asked for a configuration begins to send it within that, ...
const FIRST_CHUNK: Duration = Duration::from_millis(400);
/// ... and is not silent for so long later: a connection that loses packets pauses.
const SILENT: Duration = Duration::from_secs(1);
/// An answer that is on its way for so long is one of a slow peer, ...
const SLOW: Duration = Duration::from_secs(1);
/// ... and another is asked beside it, unless it ends within so long at the rate so far.
const ENDS_SOON: Duration = Duration::from_millis(500);
/// Configurations that are asked for at once.
const AT_ONCE: usize = 2;
/// An answer that is not whole after so long is waited for no longer, though it moves.
const LONGEST: Duration = Duration::from_secs(10);
/// A peer that was silent or refused is passed over for so long.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// The own read of a configuration is on its way if something of it came within that: a lost packet
/// is sent again by then.
const READING: Duration = Duration::from_millis(500);
/// Between a configuration that came into force and the next that is asked for: where versions come
/// faster than a link carries them, something of the link is left for requests.
const BETWEEN: Duration = Duration::from_millis(700);
/// Versions whose first telling is kept.
const TELLINGS: usize = 32;
/// A list that was asked for is not asked for again within that.
const LIST_ANSWER: Duration = Duration::from_millis(500);

/// Who told first of a newer configuration, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The peer.
    pub peer: SocketAddr,
    /// When.
    pub at: Timestamp,
}

/// What came of a configuration that a peer sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The number of the pull that it answers; 0 if the peer doesn't tell.
    pub pull: u64,
    /// Bytes so far.
    pub bytes: u64,
    /// Bytes of the whole, if the peer tells.
    pub expected: Option<u64>,
}

/// A configuration that was asked for.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    number: u64,
    peer: SocketAddr,
    since: Timestamp,
    progressed: Timestamp,
    bytes: u64,
    expected: Option<u64>,
}

impl InFlight {
    const fn new(number: u64, peer: SocketAddr, now: Timestamp) -> Self {
        Self { number, peer, since: now, progressed: now, bytes: 0, expected: None }
    }

    /// Whether it is the pull of this number; 0 stands for any.
    fn is(&self, peer: SocketAddr, pull: u64) -> bool {
        self.peer == peer && (pull == 0 || pull == self.number)
    }

    fn over_at(&self) -> Timestamp {
        let patience = if self.bytes == 0 { FIRST_CHUNK } else { SILENT };
        (self.progressed + patience).min(self.since + LONGEST)
    }

    /// When another peer may be asked beside this one. At the rate so far, an answer of the age `a` of
    /// which `b` bytes came takes `a * left / b` longer, so it doesn't end soon from the age
    /// `ENDS_SOON * b / left` on.
    fn doubled_at(&self) -> Timestamp {
        let left = self.expected.map(|e| e.saturating_sub(self.bytes));
        let age = match left {
            Some(0) => return Timestamp::MAX,
            Some(left) => SLOW.max(ENDS_SOON.mul_f64(self.bytes as f64 / left as f64)),
            None => SLOW,
        };
        self.since + age
    }
}

/// A peer that has entries of endpoints which this gateway lacks.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    peer: SocketAddr,
    position: Position,
    since: Timestamp,
}

/// What is due now.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Peers whose configuration is waited for no longer.
    pub silent: Vec<SocketAddr>,
    /// The peer to ask for a configuration, and the number of the pull.
    pub configuration: Option<(SocketAddr, u64)>,
    /// The peer to ask for entries of endpoints.
    pub list: Option<SocketAddr>,
}

/// What is asked of peers.
#[derive(Debug, Default)]
pub struct Pulls {
    /// Peers that have a newer configuration, and which.
    newer: BTreeMap<SocketAddr, u64>,
    /// Who told first of a version that is outstanding, by version.
    told: BTreeMap<u64, Told>,
    /// When a configuration came into force.
    configured: Option<Timestamp>,
    /// At most [`AT_ONCE`], the oldest first.
    in_flight: Vec<InFlight>,
    /// Counts the configurations that were asked for.
    asked: u64,
    /// Peers that are passed over, and until when.
    passed_over: BTreeMap<SocketAddr, Timestamp>,
    /// When something came of the own read that is on its way.
    reading: Option<Timestamp>,
    list: Option<Ahead>,
    list_asked: Option<Timestamp>,
}

impl Pulls {
    /// A peer told what it has seen; `complete` is whether it has a whole list.
    pub fn told(&mut self, peer: SocketAddr, seen: Seen, complete: bool, own: Own, now: Timestamp) {
        if seen.version > own.seen.version {
            self.newer.insert(peer, seen.version);
            if self.told.len() < TELLINGS {
                self.told.entry(seen.version).or_insert(Told { peer, at: now });
            }
        }
        let lacks_list = complete && !own.complete;
        if lacks_list || seen.endpoints > own.seen.endpoints {
            let since = self.list.map_or(now, |l| l.since);
            self.list = Some(Ahead { peer, position: seen.endpoints, since });
        }
    }

    /// Whether a peer has a newer configuration than this gateway.
    pub fn knows_newer(&self) -> bool {
        !self.newer.is_empty()
    }

    /// Something came of the own read of a configuration.
    pub const fn reading(&mut self, now: Timestamp) {
        self.reading = Some(now);
    }

    /// The own read ended, one way or the other.
    pub const fn read_ended(&mut self) {
        self.reading = None;
    }

    /// Something came of the configuration that a peer sends.
    pub fn progressed(&mut self, peer: SocketAddr, progress: Progress, now: Timestamp) {
        if let Some(pull) = self.in_flight.iter_mut().find(|p| p.is(peer, progress.pull)) {
            pull.progressed = now;
            pull.bytes = progress.bytes;
            pull.expected = progress.expected;
        }
    }

    /// A peer's configuration came.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.in_flight.retain(|p| p.peer != peer);
    }

    /// A peer has no newer configuration, or can't send it now, or broke off; says whether it was
    /// waited for. `pull` is the number of the pull, 0 if it isn't told.
    pub fn failed(&mut self, peer: SocketAddr, pull: u64, now: Timestamp) -> bool {
        let before = self.in_flight.len();
        self.in_flight.retain(|p| !p.is(peer, pull));
        let was_awaited = self.in_flight.len() < before;
        if was_awaited {
            self.passed_over.insert(peer, now + PASSED_OVER);
        }
        was_awaited
    }

    /// Entries of endpoints came.
    pub const fn list_came(&mut self) {
        self.list_asked = None;
    }

    /// A peer is gone.
    pub fn lost(&mut self, peer: SocketAddr) {
        self.newer.remove(&peer);
        self.in_flight.retain(|p| p.peer != peer);
        self.list.take_if(|l| l.peer == peer);
    }

    /// A configuration came into force; who had told of a newer one before.
    pub fn configured(&mut self, version: u64, now: Timestamp) -> Option<Told> {
        self.newer.retain(|_, v| *v > version);
        self.configured = Some(now);
        let outstanding = self.told.split_off(&version.saturating_add(1));
        let told = std::mem::replace(&mut self.told, outstanding);
        told.into_values().min_by_key(|t| t.at)
    }

    /// What is to be asked now; `own` is what this gateway has.
    pub fn due(&mut self, own: Own, members: &Members, rng: &mut impl Rng, now: Timestamp) -> Due {
        let mut due = Due::default();
        self.passed_over.retain(|_, until| now < *until);
        for pull in self.in_flight.extract_if(.., |p| now >= p.over_at()) {
            self.passed_over.insert(pull.peer, now + PASSED_OVER);
            due.silent.push(pull.peer);
        }
        self.newer.retain(|_, version| *version > own.seen.version);
        if self.configuration_due(own).is_some_and(|at| now >= at)
            && let Some(peer) = self.choose(members, rng)
        {
            self.asked += 1;
            self.in_flight.push(InFlight::new(self.asked, peer, now));
            due.configuration = Some((peer, self.asked));
        }
        let lacks = |l: &Ahead| !own.complete || l.position > own.seen.endpoints;
        self.list = self.list.filter(lacks);
        if self.list_due(own).is_some_and(|at| now >= at) {
            due.list = self.list.take().map(|l| l.peer);
            self.list_asked = Some(now);
        }
        due
    }

    /// When [`Self::due`] has something to say, as far as is known now.
    pub fn next_wakeup(&self, own: Own) -> Option<Timestamp> {
        let over = self.in_flight.iter().map(InFlight::over_at).min();
        [over, self.configuration_due(own), self.list_due(own)].into_iter().flatten().min()
    }

    /// When a configuration is to be asked for, be it beside one that is on its way.
    fn configuration_due(&self, own: Own) -> Option<Timestamp> {
        if self.in_flight.len() >= AT_ONCE {
            return None;
        }
        let free = |p: &SocketAddr| self.passed_over.get(p).copied().unwrap_or_default();
        let free = self.newer.keys().filter(|p| !self.is_asked(**p)).map(free).min()?;
        let due = match self.in_flight.first() {
            Some(pull) => pull.doubled_at(),
            None => self.waited_until(own),
        };
        Some(due.max(free))
    }

    /// Until when nothing is asked of peers, since the own read may bring it.
    fn waited_until(&self, own: Own) -> Timestamp {
        let since = self.told.values().map(|t| t.at).min().or(self.configured).unwrap_or_default();
        let mut at = since;
        if let Some(configured) = self.configured.filter(|_| !own.is_starting) {
            at = (at + BEHIND).max(configured + BETWEEN);
        }
        if let Some(reading) = self.reading {
            at = at.max(reading + READING);
        }
        at.min(since + LONGEST_WAIT)
    }

    fn is_asked(&self, peer: SocketAddr) -> bool {
        self.in_flight.iter().any(|p| p.peer == peer)
    }

    /// One of those with the newest configuration, on the strongest hosts.
    fn choose(&self, members: &Members, rng: &mut impl Rng) -> Option<SocketAddr> {
        let able = self
            .newer
            .iter()
            .filter(|(p, _)| !self.passed_over.contains_key(*p) && !self.is_asked(**p));
        let ranked: Vec<_> = able.map(|(p, v)| ((*v, members.strength(*p)), *p)).collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let best: Vec<SocketAddr> =
            ranked.into_iter().filter(|(rank, _)| *rank == best).map(|(_, p)| p).collect();
        best.choose(rng).copied()
    }

    fn list_due(&self, own: Own) -> Option<Timestamp> {
        let ahead = self.list?;
        let patience = match own.complete {
            false => Duration::ZERO,
            true if own.seen.endpoints.era < ahead.position.era => EARLIER_ERA,
            true => BEHIND,
        };
        let asked = self.list_asked.map_or(Timestamp::ZERO, |at| at + LIST_ANSWER);
        Some((ahead.since + patience).max(asked))
    }
}

/// What a gateway has itself.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    /// What it has seen.
    pub seen: Seen,
    /// Whether it has a configuration and a whole list.
    pub complete: bool,
    /// Whether it decides nothing before it has the newest configuration that is known of.
    pub is_starting: bool,
}
