//! Selects the members that receive a heartbeat.
//!
//! A few members monitor each gateway: they receive each of its heartbeats and detect its failure.
//! Most of them are in its data centre, and one is outside of it, so that the failure of a whole
//! data centre is detected. In addition, each heartbeat goes to a random member of the data centre,
//! and now and then to one of another data centre and of another region. A heartbeat with news goes
//! to several random members. What a gateway sends therefore does not grow with the group.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::peers::member::Distance;
use crate::direct::peers::members::Members;
use crate::direct::peers::ownership::address_bytes;

/// Number of members that monitor a gateway.
const MONITORS: usize = 3;
/// Number of these that are in the gateway's own data centre, if it has enough members.
const MONITORS_NEARBY: usize = 2;
/// Number of random members that receive a heartbeat with news, or one of the earlier forms.
const FANOUT: usize = 8;
/// Number of these in another data centre of the region, and in another region.
const FANOUT_ELSEWHERE: [usize; 2] = [2, 1];
/// Each gateway sends one in this number of heartbeats to another data centre and to another
/// region.
const HEARTBEATS_PER_EXCHANGE: u64 = 5;

/// The members that monitor this gateway, selected for one state of the membership.
#[derive(Debug, Default)]
pub(super) struct Monitors {
    changes: Option<u64>,
    selected: Vec<SocketAddr>,
}

/// What the next heartbeat contains that its receivers may not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Nothing.
    None,
    /// A position in the publisher's store; each region has gateways that read the store.
    Position,
    /// Changes that peers know only from gossip.
    Changes,
}

/// The addresses that a heartbeat is sent to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Members that monitor this gateway.
    pub monitors: Vec<SocketAddr>,
    /// Other members.
    pub others: Vec<SocketAddr>,
    /// Members that read earlier forms only.
    pub without_location: Vec<SocketAddr>,
    /// Addresses of seeds and members that are not up.
    pub contacts: Vec<SocketAddr>,
}

impl Recipients {
    /// The members that are up.
    pub fn members(&self) -> Vec<SocketAddr> {
        let with_location = self.monitors.iter().chain(&self.others);
        let mut members: Vec<SocketAddr> =
            with_location.chain(&self.without_location).copied().collect();
        members.sort_unstable();
        members.dedup();
        members
    }
}

impl Members {
    /// Increases the heartbeat and selects its recipients.
    pub fn next_heartbeat(&mut self, news: News, rng: &mut impl Rng) -> Recipients {
        self.own.heartbeat += 1;
        let replaced = self.update_monitors();
        let monitors = self.monitors.selected.clone();
        let mut others: BTreeSet<SocketAddr> = replaced.into_iter().collect();
        others.extend(self.random_members(news, rng));
        others.retain(|address| !monitors.contains(address));
        let others = others.into_iter().collect();
        Recipients {
            monitors,
            others,
            without_location: self.random_without_location(rng),
            contacts: self.random_contacts(rng),
        }
    }

    /// Whether a member monitors this gateway.
    pub fn is_monitor(&self, address: SocketAddr) -> bool {
        self.monitors.selected.contains(&address)
    }

    /// Whether the location of a member is known, so that it runs a build since form 7.
    pub fn has_location(&self, address: SocketAddr) -> bool {
        self.others.get(&address).is_some_and(|known| known.location.is_some())
    }

    /// Distance of a member; one whose location is unknown counts as in the same region.
    pub fn distance_of(&self, address: SocketAddr) -> Distance {
        let location = self.others.get(&address).and_then(|known| known.location.as_ref());
        location.map_or(Distance::SameRegion, |location| self.location.distance(location))
    }

    /// The addresses of members that are up and whose location is known, by distance.
    fn by_distance(&self) -> [Vec<SocketAddr>; 3] {
        let mut by_distance: [Vec<SocketAddr>; 3] = Default::default();
        for known in self.others.values().filter(|known| known.last_heartbeat.is_some()) {
            if let Some(location) = &known.location {
                let distance = self.location.distance(location);
                by_distance[distance as usize].push(known.member.address);
            }
        }
        by_distance
    }

    /// Selects the monitors again if the membership changed; returns those that no longer are.
    ///
    /// The members are ordered on a ring by hash, and the ones after this gateway monitor it.
    fn update_monitors(&mut self) -> Vec<SocketAddr> {
        if self.monitors.changes == Some(self.changes) {
            return Vec::new();
        }
        let position = |address: SocketAddr| xxh3_64(&address_bytes(address));
        let own = position(self.own.address);
        let mut by_distance = self.by_distance();
        for members in &mut by_distance {
            members.sort_by_cached_key(|address| position(*address).wrapping_sub(own));
        }
        let [nearby, in_region, elsewhere] = by_distance;
        let outside = in_region.len() + elsewhere.len();
        let nearby_count = MONITORS_NEARBY.max(MONITORS.saturating_sub(outside)).min(nearby.len());
        let (first, rest) = nearby.split_at(nearby_count);
        let candidates = first.iter().chain(&in_region).chain(&elsewhere).chain(rest);
        let selected: Vec<SocketAddr> = candidates.take(MONITORS).copied().collect();
        self.monitors.changes = Some(self.changes);
        let before = std::mem::replace(&mut self.monitors.selected, selected);
        let is_up = |address: &SocketAddr| self.incarnation_of(*address).is_some();
        let replaced = before.into_iter().filter(is_up);
        replaced.filter(|address| !self.monitors.selected.contains(address)).collect()
    }

    fn random_members(&self, news: News, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let by_distance = self.by_distance();
        let exchanges = self.own.heartbeat.is_multiple_of(HEARTBEATS_PER_EXCHANGE);
        let [in_region, elsewhere] = FANOUT_ELSEWHERE;
        let mut counts = match news {
            News::None => [1, usize::from(exchanges), usize::from(exchanges)],
            News::Position => [FANOUT - in_region, in_region, usize::from(exchanges)],
            News::Changes => [FANOUT - in_region - elsewhere, in_region, elsewhere],
        };
        // What a data centre with few members does not take goes to other data centres, but not to
        // other regions.
        let left = counts[0].saturating_sub(by_distance[Distance::SameDataCentre as usize].len());
        counts[Distance::SameRegion as usize] += left;
        let selected = by_distance.iter().zip(counts);
        let selected = selected.flat_map(|(members, count)| members.sample(rng, count));
        selected.copied().collect()
    }

    fn random_without_location(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let up = self.others.values().filter(|known| known.last_heartbeat.is_some());
        let is_any = up.clone().any(|known| known.location.is_none());
        if !is_any {
            return Vec::new();
        }
        // Members that read earlier forms need the heartbeats of all members from all members.
        let up: Vec<SocketAddr> = up.map(|known| known.member.address).collect();
        up.sample(rng, FANOUT).copied().collect()
    }

    /// One of the seeds and members that are not up. While no other member is up, several; the
    /// first response introduces the others.
    fn random_contacts(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied().filter(|seed| *seed != self.own.address);
        let down = self.others.iter().filter(|(_, known)| known.last_heartbeat.is_none());
        let mut unreachable: Vec<SocketAddr> = seeds.chain(down.map(|(a, _)| *a)).collect();
        unreachable.retain(|address| self.incarnation_of(*address).is_none());
        unreachable.sort_unstable();
        unreachable.dedup();
        let count = if self.up().next().is_none() { FANOUT } else { 1 };
        unreachable.sample(rng, count).copied().collect()
    }
}
