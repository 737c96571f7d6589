//! The network between the hosts of a modelled group: delays, connections and their failures.

use std::net::SocketAddr;
use std::time::Duration;

use stackmast::direct::event::Event;
use stackmast::direct::peers::codec::{FORM, Outgoing};
use stackmast::direct::peers::message::PeerMessage;

use crate::group::{Group, Power, Step};

/// One-way delay within a data centre, between data centres, and between regions.
const DELAYS: [Duration; 3] =
    [Duration::from_micros(200), Duration::from_micros(900), Duration::from_millis(20)];
/// Time until a connection to a closed port is refused.
pub(crate) const REFUSED_AFTER: Duration = Duration::from_millis(2);
/// Time until an attempt to connect to a host that does not respond is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time until an established connection to a host that does not respond fails.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
impl Group {
    /// Cuts the connections between the hosts before this index and the others, or restores them.
    pub fn set_partition(&mut self, first_other: Option<usize>) {
        self.partition = first_other;
        if let Some(first) = first_other {
            let crossing = |(from, to): &(usize, usize)| (*from < first) != (*to < first);
            let cut: Vec<(usize, usize)> = self.links.iter().copied().filter(crossing).collect();
            for link in cut {
                self.links.remove(&link);
                self.report_failed_link(link, link.1, TCP_USER_TIMEOUT);
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: &[SocketAddr], message: PeerMessage) {
        let kind = message.kind();
        let outgoing = Outgoing::new(message.clone());
        let bytes = outgoing.encode_for(Some(FORM)).len() as u64;
        for &address in to {
            let to = Self::host_of(address);
            let distance = self.distance(from, to);
            let traffic = self.counts.by_kind.entry(kind).or_default();
            traffic.messages += 1;
            traffic.bytes += bytes;
            self.counts.by_distance[distance] += bytes;
            self.transmit(from, to, message.clone());
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: PeerMessage) {
        let is_linked = self.links.contains(&(from, to));
        let is_cut = self.partition.is_some_and(|first| (from < first) != (to < first));
        let power = if is_cut { Power::Silent } else { self.hosts[to].power };
        match power {
            Power::Running => {
                self.links.insert((from, to));
                let delay = DELAYS[self.distance(from, to)];
                // A new connection takes a round trip.
                let delay = if is_linked { delay } else { delay * 3 };
                let message = Event::PeerMessage { from: Self::address(from), message };
                self.schedule(to, self.now + delay, Step::Event(Box::new(message)));
            }
            Power::Silent if is_linked => {
                self.links.remove(&(from, to));
                self.report_failed_link((from, to), to, TCP_USER_TIMEOUT);
            }
            power => {
                let after = if power == Power::Ended { REFUSED_AFTER } else { CONNECT_TIMEOUT };
                let event = Event::PeerUnreachable { address: Self::address(to) };
                self.schedule(from, self.now + after, Step::Event(Box::new(event)));
            }
        }
    }

    /// Reports the failure of a connection with a host to the other side.
    pub(crate) fn report_failed_link(
        &mut self,
        (from, to): (usize, usize),
        failed: usize,
        after: Duration,
    ) {
        let address = Self::address(failed);
        let (observer, event) = if from == failed {
            // The process that ended had the life before the current one.
            let incarnation = self.hosts[failed].life.saturating_sub(1);
            (to, Event::PeerInboundFailed { address, incarnation })
        } else {
            (from, Event::PeerOutboundFailed { address })
        };
        if self.hosts[observer].power == Power::Running {
            self.schedule(observer, self.now + after, Step::Event(Box::new(event)));
        }
    }
}
