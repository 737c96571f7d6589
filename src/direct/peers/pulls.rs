//! Decides which documents a gateway that is behind requests from which peer.
//!
//! A configuration may be half a megabyte, and a host's link 10 Mbit/s. It is therefore requested
//! from one peer at a time, from a second one only if the first doesn't deliver, and from none
//! while the own read of the publisher's store is delivering it. These waits are bounded, so that a
//! configuration that peers have is not delayed indefinitely. The list of endpoints is small and
//! requested separately, so that it never waits for a configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::direct::peers::members::Members;
use crate::direct::published::documents::Seen;
use crate::direct::published::position::Position;
use crate::message::Timestamp;

/// Time that a gateway waits for its own publisher after a peer announces newer documents, before
/// it requests them.
const BEHIND: Duration = Duration::from_millis(100);
/// As [`BEHIND`], if the peer's entries are from a newer era. All gateways read everything again at
/// random times when an era begins; only one that has not succeeded by then requests the entries.
const EARLIER_ERA: Duration = Duration::from_millis(1_200);
// A configuration must arrive within 2 s of its first announcement. The worst case is 1,800 ms:
// `LONGEST_WAIT`, which bounds the wait for the own read and `BETWEEN` together (1,000 ms),
// `FIRST_CHUNK` of a silent peer (400 ms), and the transfer from another peer, half a megabyte at
// 10 Mbit/s (400 ms). The pause of a store follower after a long response (500 ms) runs in
// parallel.
/// Upper bound for all waits together: a peer is asked at most this long after the first
/// announcement of a configuration that is still missing.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Time within which a peer must start to send a requested configuration.
const FIRST_CHUNK: Duration = Duration::from_millis(400);
/// Time within which a peer must send the next part; a connection that loses packets pauses.
const SILENT: Duration = Duration::from_secs(1);
/// Age from which a response is slow, ...
const SLOW: Duration = Duration::from_secs(1);
/// ... so that a second peer is asked, unless the response is expected to end within this time at
/// its average rate.
const ENDS_SOON: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests for a configuration.
const AT_ONCE: usize = 2;
/// Time limit for a complete response, even if it makes progress.
const LONGEST: Duration = Duration::from_secs(10);
/// Time for which a peer that was silent or refused is not asked again.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// Time since its last progress for which the own read of a configuration is assumed to be running;
/// a lost packet is retransmitted within this time.
const READING: Duration = Duration::from_millis(500);
/// Minimum time between a configuration's coming into force and the next request. If versions are
/// published faster than a link transfers them, this leaves some bandwidth for requests.
const BETWEEN: Duration = Duration::from_millis(700);
/// Maximum number of versions whose first announcement is recorded.
const TELLINGS: usize = 32;
/// Time after a request for the list before it is requested again.
const LIST_ANSWER: Duration = Duration::from_millis(500);

/// The first announcement of a configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Address of the peer that announced it.
    pub peer: SocketAddr,
    /// Time of the announcement.
    pub at: Timestamp,
}

/// Progress of a peer's response to a pull of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Number of the pull; 0 if the peer doesn't send it.
    pub pull: u64,
    /// Bytes received so far.
    pub bytes: u64,
    /// Size of the complete response in bytes, if the peer sends it.
    pub expected: Option<u64>,
}

/// A pull of a configuration that has not ended.
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

    /// Whether this is the pull with the given number; 0 matches any.
    fn is(&self, peer: SocketAddr, pull: u64) -> bool {
        self.peer == peer && (pull == 0 || pull == self.number)
    }

    fn over_at(&self) -> Timestamp {
        let patience = if self.bytes == 0 { FIRST_CHUNK } else { SILENT };
        (self.progressed + patience).min(self.since + LONGEST)
    }

    /// Time at which a second peer may be asked. At the average rate, a response of age `a` with
    /// `b` bytes received takes `a * left / b` longer, so the rest takes more than `ENDS_SOON` from
    /// the age `ENDS_SOON * b / left` on.
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

/// The actions that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Peers whose pulls of a configuration timed out.
    pub silent: Vec<SocketAddr>,
    /// The peer to ask for a configuration, and the number of the pull.
    pub configuration: Option<(SocketAddr, u64)>,
    /// The peer to ask for entries of endpoints.
    pub list: Option<SocketAddr>,
}

/// The state of all pulls.
#[derive(Debug, Default)]
pub struct Pulls {
    /// Peers that have a newer configuration, and its version.
    newer: BTreeMap<SocketAddr, u64>,
    /// First announcement of each version that is still missing.
    told: BTreeMap<u64, Told>,
    /// Time at which the last configuration came into force.
    configured: Option<Timestamp>,
    /// The pulls that have not ended, at most [`AT_ONCE`], the oldest first.
    in_flight: Vec<InFlight>,
    /// Number of the last pull of a configuration.
    asked: u64,
    /// Peers that are not asked, and the end of that time.
    passed_over: BTreeMap<SocketAddr, Timestamp>,
    /// Time of the last progress of the own read, if one is running.
    reading: Option<Timestamp>,
    list: Option<Ahead>,
    list_asked: Option<Timestamp>,
}

impl Pulls {
    /// Handles a peer's announcement of what it has received; `complete` is whether it has a
    /// complete list.
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

    /// Records progress of the own read of a configuration.
    pub const fn reading(&mut self, now: Timestamp) {
        self.reading = Some(now);
    }

    /// Records the end of the own read, successful or not.
    pub const fn read_ended(&mut self) {
        self.reading = None;
    }

    /// Records progress of a peer's response.
    pub fn progressed(&mut self, peer: SocketAddr, progress: Progress, now: Timestamp) {
        if let Some(pull) = self.in_flight.iter_mut().find(|p| p.is(peer, progress.pull)) {
            pull.progressed = now;
            pull.bytes = progress.bytes;
            pull.expected = progress.expected;
        }
    }

    /// Records that a peer's configuration has been received.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.in_flight.retain(|p| p.peer != peer);
    }

    /// Records that a peer has no newer configuration, can't send it now, or that its connection
    /// failed; returns whether its response was awaited. `pull` is the number of the pull, 0 if
    /// unknown.
    pub fn failed(&mut self, peer: SocketAddr, pull: u64, now: Timestamp) -> bool {
        let before = self.in_flight.len();
        self.in_flight.retain(|p| !p.is(peer, pull));
        let was_awaited = self.in_flight.len() < before;
        if was_awaited {
            self.passed_over.insert(peer, now + PASSED_OVER);
        }
        was_awaited
    }

    /// Records that entries of endpoints have been received.
    pub const fn list_came(&mut self) {
        self.list_asked = None;
    }

    /// Removes a peer that is down.
    pub fn lost(&mut self, peer: SocketAddr) {
        self.newer.remove(&peer);
        self.in_flight.retain(|p| p.peer != peer);
        self.list.take_if(|l| l.peer == peer);
    }

    /// Records that a configuration came into force; returns the earliest announcement of this
    /// version or an older one.
    pub fn configured(&mut self, version: u64, now: Timestamp) -> Option<Told> {
        self.newer.retain(|_, v| *v > version);
        self.configured = Some(now);
        let outstanding = self.told.split_off(&version.saturating_add(1));
        let told = std::mem::replace(&mut self.told, outstanding);
        told.into_values().min_by_key(|t| t.at)
    }

    /// Returns the actions that are due; `own` is the state of this gateway.
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

    /// Earliest time at which [`Self::due`] may return an action, as far as is known now.
    pub fn next_wakeup(&self, own: Own) -> Option<Timestamp> {
        let over = self.in_flight.iter().map(InFlight::over_at).min();
        [over, self.configuration_due(own), self.list_due(own)].into_iter().flatten().min()
    }

    /// Time at which a configuration is to be requested, possibly while another pull is running.
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

    /// Time until which no peer is asked, since the own read may deliver the configuration.
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

    /// Chooses a random one of the peers with the newest configuration on the strongest hosts.
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

/// The state of this gateway.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    /// Latest configuration and entries that the gateway has received.
    pub seen: Seen,
    /// Whether the gateway has a configuration and a complete list.
    pub complete: bool,
    /// Whether the gateway decides nothing before it has the newest known configuration.
    pub is_starting: bool,
}
