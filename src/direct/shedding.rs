//! Closes new connections of callers unread while this process is overloaded and its peers are not.
//!
//! The balancer may direct most new connections to one gateway. A request that is read there waits
//! behind all others and is refused or late; a caller whose connection is closed unread tries
//! another gateway at once.
//!
//! Alternatives: refusing the requests that were read (reading them is most of the work); not
//! accepting connections (callers wait for a second before they try another gateway); being not
//! ready (noticed after two seconds, and the next gateway gets the connections).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::event_lag::OVERLOAD_LAG;
use crate::direct::log_events::{LoadEvent, LogEvent, ms};
use crate::message::Timestamp;

/// Event lag from which connections are closed unread: a request has up to five events, so it is
/// answered more than a second late.
const SHED_LAG: Duration = Duration::from_millis(250);
/// Maximum time for which all new connections are closed.
const MAX_CLOSED: Duration = Duration::from_millis(800);
/// Minimum time between two such times, so that callers get through to a gateway that is ready.
const MIN_OPEN: Duration = Duration::from_millis(100);
/// How long an announced event lag counts; gateways send it five times a second.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(1);

/// Whether new connections are closed unread.
#[derive(Debug, Default)]
pub struct Shedding {
    /// Since when they are.
    since: Option<Timestamp>,
    /// When they may be again.
    open_until: Timestamp,
    /// Event lags that peers announced, and when.
    peers: HashMap<SocketAddr, (Duration, Timestamp)>,
}

impl Shedding {
    /// A peer announced its event lag.
    pub fn announced(&mut self, peer: SocketAddr, event_lag: Duration, now: Timestamp) {
        self.peers.insert(peer, (event_lag, now));
    }

    /// A peer is down.
    pub fn removed(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    /// Whether callers whose connections are closed probably reach a gateway that is not overloaded.
    fn peers_have_time(&self, now: Timestamp) -> bool {
        let (recent, overloaded) = self.peers(now);
        2 * overloaded < recent
    }

    /// Number of peers that recently announced their event lag, and of those that are overloaded.
    fn peers(&self, now: Timestamp) -> (usize, usize) {
        let recent = self.peers.values().filter(|(_, at)| now < *at + ANNOUNCEMENT_TTL);
        let overloaded = recent.clone().filter(|(lag, _)| *lag >= OVERLOAD_LAG);
        (recent.count(), overloaded.count())
    }

    /// Applies the event lag of this process; returns whether connections are closed from now on, if
    /// that changed. `may_shed` is false while the process must not close any.
    pub fn update(&mut self, event_lag: Duration, may_shed: bool, now: Timestamp) -> Option<bool> {
        let has_reason = |min_lag| may_shed && event_lag >= min_lag && self.peers_have_time(now);
        match self.since {
            None if now >= self.open_until && has_reason(SHED_LAG) => {
                self.since = Some(now);
                Some(true)
            }
            Some(since) if now >= since + MAX_CLOSED || !has_reason(OVERLOAD_LAG) => {
                self.since = None;
                self.open_until = now + MIN_OPEN;
                Some(false)
            }
            _ => None,
        }
    }
}

impl GatewayCore {
    /// Decides whether new connections of callers are closed unread.
    pub(super) fn update_shedding(&mut self, now: Timestamp) {
        let event_lag = self.event_lag.estimate(now);
        let may_shed = self.is_ready && self.stop.is_none();
        if let Some(sheds) = self.shedding.update(event_lag, may_shed, now) {
            let (peers, overloaded_peers) = self.shedding.peers(now);
            let late_ms = ms(event_lag);
            let change = LoadEvent::Shedding { sheds, late_ms, peers, overloaded_peers };
            self.log(LogEvent::Load(change));
            self.out.push(Action::SetShedding(sheds));
        }
    }
}
