//! What a gateway that is behind asks of its peers.
//!
//! A configuration may be half a megabyte, and a host's link 10 Mbit/s: it is asked of one peer at a
//! time, of another only if nothing comes, and of none while the own read of the publisher's store
//! brings it. The list of endpoints is small and asked for apart, so that it never waits for that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::documents::Seen;
use super::members::Members;
use crate::message::Timestamp;

/// A gateway that has seen less than another waits so long for its own publisher before it asks.
const BEHIND: Duration = Duration::from_millis(100);
/// A peer that was asked for a configuration and of which nothing came for so long is asked no more.
const SILENT: Duration = Duration::from_secs(1);
/// An answer that is not whole after so long is waited for no longer, though it moves.
const LONGEST: Duration = Duration::from_secs(10);
/// A peer that was silent or refused is passed over for so long.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// The own read of a configuration is on its way if something of it came within that: a lost packet
/// is sent again by then.
const READING: Duration = Duration::from_millis(500);
/// The own read is waited for so long, though it moves: a peer may be nearer than the publisher.
const LONGEST_READ: Duration = Duration::from_millis(1_500);
/// Between a configuration that came into force and the next that is asked for: where versions come
/// faster than a link carries them, something of the link is left for requests.
const BETWEEN: Duration = Duration::from_millis(700);
/// A list that was asked for is not asked for again within that.
const LIST_ANSWER: Duration = Duration::from_millis(500);

/// Who told first of a newer configuration, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// The peer.
    pub peer: SocketAddr,
    /// When.
    pub at: Timestamp,
    version: u64,
}

/// A configuration that was asked for.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    peer: SocketAddr,
    since: Timestamp,
    progressed: Timestamp,
}

impl InFlight {
    fn over_at(&self) -> Timestamp {
        (self.progressed + SILENT).min(self.since + LONGEST)
    }
}

/// A peer that has entries of endpoints which this gateway lacks.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    peer: SocketAddr,
    revision: u64,
    since: Timestamp,
}

/// What is due now.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// A peer whose configuration is waited for no longer.
    pub silent: Option<SocketAddr>,
    /// The peer to ask for a configuration.
    pub configuration: Option<SocketAddr>,
    /// The peer to ask for entries of endpoints.
    pub list: Option<SocketAddr>,
}

/// What is asked of peers.
#[derive(Debug, Default)]
pub struct Pulls {
    /// Peers that have a newer configuration, and which.
    newer: BTreeMap<SocketAddr, u64>,
    newer_since: Timestamp,
    told: Option<Told>,
    /// When a configuration came into force.
    configured: Option<Timestamp>,
    in_flight: Option<InFlight>,
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
            if self.newer.is_empty() {
                self.newer_since = now;
            }
            self.newer.insert(peer, seen.version);
            self.told.get_or_insert(Told { peer, at: now, version: seen.version });
        }
        let lacks_list = complete && !own.complete;
        if lacks_list || seen.endpoints > own.seen.endpoints {
            let since = self.list.map_or(now, |l| l.since);
            self.list = Some(Ahead { peer, revision: seen.endpoints, since });
        }
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
    pub fn progressed(&mut self, peer: SocketAddr, now: Timestamp) {
        if let Some(pull) = self.in_flight.as_mut().filter(|p| p.peer == peer) {
            pull.progressed = now;
        }
    }

    /// A peer's configuration came.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.in_flight.take_if(|p| p.peer == peer);
    }

    /// A peer has no newer configuration, or can't send it now, or broke off; says whether it was
    /// waited for.
    pub fn failed(&mut self, peer: SocketAddr, now: Timestamp) -> bool {
        let was_awaited = self.in_flight.take_if(|p| p.peer == peer).is_some();
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
        self.in_flight.take_if(|p| p.peer == peer);
        self.list.take_if(|l| l.peer == peer);
    }

    /// A configuration came into force; who had told of a newer one before.
    pub fn configured(&mut self, version: u64, now: Timestamp) -> Option<Told> {
        self.newer.retain(|_, v| *v > version);
        self.newer_since = now;
        self.configured = Some(now);
        let told = self.told;
        self.told = told.filter(|t| t.version > version);
        told
    }

    /// What is to be asked now; `own` is what this gateway has.
    pub fn due(&mut self, own: Own, members: &Members, rng: &mut impl Rng, now: Timestamp) -> Due {
        let mut due = Due::default();
        self.passed_over.retain(|_, until| now < *until);
        if let Some(pull) = self.in_flight.take_if(|p| now >= p.over_at()) {
            self.passed_over.insert(pull.peer, now + PASSED_OVER);
            due.silent = Some(pull.peer);
        }
        self.newer.retain(|_, version| *version > own.seen.version);
        if self.in_flight.is_none() && self.configuration_due().is_some_and(|at| now >= at) {
            due.configuration = self.choose(members, rng);
        }
        if let Some(peer) = due.configuration {
            self.in_flight = Some(InFlight { peer, since: now, progressed: now });
        }
        let lacks = |l: &Ahead| !own.complete || l.revision > own.seen.endpoints;
        self.list = self.list.filter(lacks);
        if self.list_due(own.complete).is_some_and(|at| now >= at) {
            due.list = self.list.take().map(|l| l.peer);
            self.list_asked = Some(now);
        }
        due
    }

    /// When [`Self::due`] has something to say, as far as is known now.
    pub fn next_wakeup(&self, complete: bool) -> Option<Timestamp> {
        let configuration =
            self.in_flight.as_ref().map(InFlight::over_at).or_else(|| self.configuration_due());
        [configuration, self.list_due(complete)].into_iter().flatten().min()
    }

    /// When a configuration is to be asked for, if none is on its way.
    fn configuration_due(&self) -> Option<Timestamp> {
        if self.newer.is_empty() {
            return None;
        }
        let mut at = self.newer_since;
        if let Some(configured) = self.configured {
            at = (at + BEHIND).max(configured + BETWEEN);
        }
        if let Some(reading) = self.reading {
            at = at.max((reading + READING).min(self.newer_since + LONGEST_READ));
        }
        let free = |p: &SocketAddr| self.passed_over.get(p).copied().unwrap_or_default();
        self.newer.keys().map(free).min().map(|free| at.max(free))
    }

    /// One of those with the newest configuration, on the strongest hosts.
    fn choose(&self, members: &Members, rng: &mut impl Rng) -> Option<SocketAddr> {
        let able = self.newer.iter().filter(|(p, _)| !self.passed_over.contains_key(*p));
        let ranked: Vec<_> = able.map(|(p, v)| ((*v, members.strength(*p)), *p)).collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let best: Vec<SocketAddr> =
            ranked.into_iter().filter(|(rank, _)| *rank == best).map(|(_, p)| p).collect();
        best.choose(rng).copied()
    }

    fn list_due(&self, complete: bool) -> Option<Timestamp> {
        let ahead = self.list?;
        let patience = if complete { BEHIND } else { Duration::ZERO };
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
}
