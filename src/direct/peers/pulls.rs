//! Decides which documents a gateway that is behind requests from which peer.
//!
//! A configuration may be half a megabyte, and a host's link 10 Mbit/s. It is therefore requested
//! from one peer at a time, from a second one only if the first doesn't deliver, and from none
//! while the own read of the publisher's store is delivering it. These waits are bounded, so that a
//! configuration that peers have is not delayed indefinitely. The list of endpoints is small and
//! requested separately, so that it never waits for a configuration.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::direct::peers::member::Distance;
use crate::direct::peers::members::Members;
use crate::direct::published::documents::Seen;
use crate::direct::published::position::Position;
use crate::message::Timestamp;

/// Time that a gateway waits for its own publisher after a peer announces newer documents, before
/// it requests them.
const OWN_READ_GRACE: Duration = Duration::from_millis(100);
/// As [`OWN_READ_GRACE`], if the peer's entries are from a newer era. All gateways read everything
/// again at random times when an era begins; only one that has not succeeded by then requests the
/// entries.
const OWN_REREAD_GRACE: Duration = Duration::from_millis(1_200);
/// Time that a gateway which follows its peers waits for one of its region before it requests
/// entries from one of another region.
const FAR_GRACE: Duration = Duration::from_millis(300);
// A configuration must arrive within 2 s of its first announcement. The worst case is 1,800 ms:
// `MAX_WAIT`, which bounds the wait for the own read and `MIN_INTERVAL` together (1,000 ms),
// `FIRST_CHUNK_TIMEOUT` of a silent peer (400 ms), and the transfer from another peer, half a
// megabyte at 10 Mbit/s (400 ms). The pause of a store follower after a long response (500 ms) runs
// in parallel.
/// Upper bound for all waits together: a peer is asked at most this long after the first
/// announcement of a configuration that is still missing.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time within which a peer must start to send a requested configuration.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which a peer must send the next part; a connection that loses packets pauses.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);
/// Age of a response from which a second peer may be asked.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// No second peer is asked while a slow response is expected to end within this time, given its
/// average rate.
const MAX_REMAINING: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests for a configuration.
const MAX_IN_FLIGHT: usize = 2;
/// Time limit for a complete response, even if it makes progress.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a peer that was silent or refused is not asked again.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Time since its last progress for which the own read of a configuration is assumed to be running;
/// a lost packet is retransmitted within this time.
const READ_PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// A configuration whose transfer takes this long saturates this host's link.
const LONG_TRANSFER_TIME: Duration = Duration::from_millis(150);
/// Minimum time between a configuration's coming into force and the next request of a gateway that
/// reads the store itself, or whose link is saturated by configurations. If versions are
/// published faster than a link transfers them, this leaves some bandwidth for requests.
const MIN_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of versions whose first announcement is recorded.
const MAX_ANNOUNCED_VERSIONS: usize = 32;
/// Time after a request for the list before it is requested again.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The first announcement of a configuration version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
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
    fn matches(&self, peer: SocketAddr, pull: u64) -> bool {
        self.peer == peer && (pull == 0 || pull == self.number)
    }

    fn times_out_at(&self) -> Timestamp {
        let wait_limit = if self.bytes == 0 { FIRST_CHUNK_TIMEOUT } else { CHUNK_TIMEOUT };
        (self.progressed + wait_limit).min(self.since + PULL_TIMEOUT)
    }

    /// Time at which a second peer may be asked. At the average rate, a response of age `a` with
    /// `b` bytes received takes `a * left / b` longer, so the rest takes more than `MAX_REMAINING`
    /// from the age `MAX_REMAINING * b / left` on.
    fn second_pull_at(&self) -> Timestamp {
        let left = self.expected.map(|e| e.saturating_sub(self.bytes));
        let age = match left {
            Some(0) => return Timestamp::MAX,
            Some(left) => SLOW_AFTER.max(MAX_REMAINING.mul_f64(self.bytes as f64 / left as f64)),
            None => SLOW_AFTER,
        };
        self.since + age
    }
}

/// A peer that has entries of endpoints which this gateway lacks.
#[derive(Debug, Clone, Copy)]
struct PeerAhead {
    peer: SocketAddr,
    distance: Distance,
    position: Position,
    since: Timestamp,
}

/// The actions that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Peers whose pulls of a configuration timed out.
    pub timed_out: Vec<SocketAddr>,
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
    first_announced: BTreeMap<u64, Announcement>,
    /// Time at which the last configuration came into force.
    configured_at: Option<Timestamp>,
    /// The pulls that have not ended, at most [`MAX_IN_FLIGHT`], the oldest first.
    in_flight: Vec<InFlight>,
    /// How long the last configuration that a peer sent was in transfer.
    last_transfer_time: Duration,
    /// Number of the last pull of a configuration.
    last_number: u64,
    /// Peers that are not asked, and the end of that time.
    backing_off: BTreeMap<SocketAddr, Timestamp>,
    /// Time of the last progress of the own read, if one is running.
    read_progressed_at: Option<Timestamp>,
    list: Option<PeerAhead>,
    list_requested: Option<Timestamp>,
}

impl Pulls {
    /// Handles a peer's announcement of what it has received; `complete` is whether it has a
    /// complete list.
    pub fn on_announcement(
        &mut self,
        (peer, distance): (SocketAddr, Distance),
        seen: Seen,
        complete: bool,
        own: OwnState,
        now: Timestamp,
    ) {
        if seen.version > own.seen.version {
            self.newer.insert(peer, seen.version);
            if self.first_announced.len() < MAX_ANNOUNCED_VERSIONS {
                self.first_announced.entry(seen.version).or_insert(Announcement { peer, at: now });
            }
        }
        let lacks_list = complete && !own.complete;
        if lacks_list || seen.endpoints > own.seen.endpoints {
            let since = self.list.map_or(now, |l| l.since);
            let is_nearer = self.list.is_none_or(|l| distance <= l.distance);
            if is_nearer {
                self.list = Some(PeerAhead { peer, distance, position: seen.endpoints, since });
            }
        }
    }

    /// Whether a peer has a newer configuration than this gateway.
    pub fn has_newer(&self) -> bool {
        !self.newer.is_empty()
    }

    /// Records progress of the own read of a configuration.
    pub const fn read_progressed(&mut self, now: Timestamp) {
        self.read_progressed_at = Some(now);
    }

    /// Records the end of the own read, successful or not.
    pub const fn read_ended(&mut self) {
        self.read_progressed_at = None;
    }

    /// Records progress of a peer's response.
    pub fn progressed(&mut self, peer: SocketAddr, progress: Progress, now: Timestamp) {
        if let Some(pull) = self.in_flight.iter_mut().find(|p| p.matches(peer, progress.pull)) {
            pull.progressed = now;
            pull.bytes = progress.bytes;
            pull.expected = progress.expected;
        }
    }

    /// Records that a peer's configuration has been received.
    pub fn answered(&mut self, peer: SocketAddr, now: Timestamp) {
        let answered = self.in_flight.extract_if(.., |p| p.peer == peer).next();
        self.last_transfer_time = answered.map_or(Duration::ZERO, |p| now.saturating_sub(p.since));
    }

    /// Records that a peer has no newer configuration, can't send it now, or that its connection
    /// failed; returns whether its response was awaited. `pull` is the number of the pull, 0 if
    /// unknown.
    pub fn failed(&mut self, peer: SocketAddr, pull: u64, now: Timestamp) -> bool {
        let before = self.in_flight.len();
        self.in_flight.retain(|p| !p.matches(peer, pull));
        let was_awaited = self.in_flight.len() < before;
        if was_awaited {
            self.backing_off.insert(peer, now + PEER_BACKOFF);
        }
        was_awaited
    }

    /// Records that entries of endpoints were requested.
    pub const fn record_list_request(&mut self, now: Timestamp) {
        self.list_requested = Some(now);
    }

    /// Records that entries of endpoints have been received.
    pub const fn list_received(&mut self) {
        self.list_requested = None;
    }

    /// Removes a peer that is down.
    pub fn remove_peer(&mut self, peer: SocketAddr) {
        self.newer.remove(&peer);
        self.in_flight.retain(|p| p.peer != peer);
        self.list.take_if(|l| l.peer == peer);
    }

    /// Records that a configuration came into force; returns the earliest announcement of this
    /// version or an older one.
    pub fn configured(&mut self, version: u64, now: Timestamp) -> Option<Announcement> {
        self.newer.retain(|_, v| *v > version);
        self.configured_at = Some(now);
        let outstanding = self.first_announced.split_off(&version.saturating_add(1));
        let announced = std::mem::replace(&mut self.first_announced, outstanding);
        announced.into_values().min_by_key(|t| t.at)
    }

    /// Returns the actions that are due; `own` is the state of this gateway.
    pub fn due(
        &mut self,
        own: OwnState,
        members: &Members,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Due {
        let mut due = Due::default();
        self.backing_off.retain(|_, until| now < *until);
        for pull in self.in_flight.extract_if(.., |p| now >= p.times_out_at()) {
            self.backing_off.insert(pull.peer, now + PEER_BACKOFF);
            due.timed_out.push(pull.peer);
        }
        self.newer.retain(|_, version| *version > own.seen.version);
        if self.configuration_due(own).is_some_and(|at| now >= at)
            && let Some(peer) = self.choose(members, rng)
        {
            self.last_number += 1;
            self.in_flight.push(InFlight::new(self.last_number, peer, now));
            due.configuration = Some((peer, self.last_number));
        }
        let is_ahead = |l: &PeerAhead| !own.complete || l.position > own.seen.endpoints;
        self.list = self.list.filter(is_ahead);
        if self.list_due(own).is_some_and(|at| now >= at) {
            due.list = self.list.take().map(|l| l.peer);
            self.list_requested = Some(now);
        }
        due
    }

    /// Earliest time at which [`Self::due`] may return an action, as far as is known now.
    pub fn next_wakeup(&self, own: OwnState) -> Option<Timestamp> {
        let timeout = self.in_flight.iter().map(InFlight::times_out_at).min();
        [timeout, self.configuration_due(own), self.list_due(own)].into_iter().flatten().min()
    }

    /// Time at which a configuration is to be requested, possibly while another pull is running.
    fn configuration_due(&self, own: OwnState) -> Option<Timestamp> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let available = |p: &SocketAddr| self.backing_off.get(p).copied().unwrap_or_default();
        let available =
            self.newer.keys().filter(|p| !self.is_pulling_from(**p)).map(available).min()?;
        let due = match self.in_flight.first() {
            Some(pull) => pull.second_pull_at(),
            None => self.own_read_grace_end(own),
        };
        Some(due.max(available))
    }

    /// Time until which no peer is asked, since the own read may deliver the configuration.
    fn own_read_grace_end(&self, own: OwnState) -> Timestamp {
        let since = self
            .first_announced
            .values()
            .map(|t| t.at)
            .min()
            .or(self.configured_at)
            .unwrap_or_default();
        let mut at = since;
        if let Some(configured) = self.configured_at.filter(|_| !own.is_starting) {
            let grace = if own.reads_store { OWN_READ_GRACE } else { Duration::ZERO };
            let is_short = !own.reads_store && self.last_transfer_time < LONG_TRANSFER_TIME;
            let interval = if is_short { Duration::ZERO } else { MIN_INTERVAL };
            at = (at + grace).max(configured + interval);
        }
        if let Some(progressed) = self.read_progressed_at {
            at = at.max(progressed + READ_PROGRESS_TIMEOUT);
        }
        at.min(since + MAX_WAIT)
    }

    fn is_pulling_from(&self, peer: SocketAddr) -> bool {
        self.in_flight.iter().any(|p| p.peer == peer)
    }

    /// Chooses a random one of the peers with the newest configuration: those of this region before
    /// others, then those on the strongest hosts, then the nearest.
    fn choose(&self, members: &Members, rng: &mut impl Rng) -> Option<SocketAddr> {
        let able = self
            .newer
            .iter()
            .filter(|(p, _)| !self.backing_off.contains_key(*p) && !self.is_pulling_from(**p));
        let rank = |(peer, version): (&SocketAddr, &u64)| {
            let distance = members.distance_of(*peer);
            let is_in_region = distance != Distance::OtherRegion;
            (*version, is_in_region, members.capacity_class_of(*peer), Reverse(distance))
        };
        let ranked: Vec<_> = able.map(|peer| (rank(peer), *peer.0)).collect();
        let best = ranked.iter().map(|(rank, _)| *rank).max()?;
        let best: Vec<SocketAddr> =
            ranked.into_iter().filter(|(rank, _)| *rank == best).map(|(_, p)| p).collect();
        best.choose(rng).copied()
    }

    fn list_due(&self, own: OwnState) -> Option<Timestamp> {
        let ahead = self.list?;
        let wait_limit = match own.complete {
            false => Duration::ZERO,
            true if !own.reads_store && ahead.distance == Distance::OtherRegion => FAR_GRACE,
            true if !own.reads_store => Duration::ZERO,
            true if own.seen.endpoints.era < ahead.position.era => OWN_REREAD_GRACE,
            true => OWN_READ_GRACE,
        };
        let retry_at = self.list_requested.map_or(Timestamp::ZERO, |at| at + LIST_RETRY_DELAY);
        Some((ahead.since + wait_limit).max(retry_at))
    }
}

/// The state of this gateway.
#[derive(Debug, Clone, Copy)]
pub struct OwnState {
    /// Latest configuration and entries that the gateway has received.
    pub seen: Seen,
    /// Whether the gateway has a configuration and a complete list.
    pub complete: bool,
    /// Whether the gateway decides nothing before it has the newest known configuration.
    pub is_starting: bool,
    /// Whether the gateway reads the publisher's store itself.
    pub reads_store: bool,
}
