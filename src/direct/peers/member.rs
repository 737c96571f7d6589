//! What gateways tell each other about a gateway: its identity, state, host and location.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::Name;

/// Lifecycle state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member lacks data that it needs to serve.
    Starting,
    /// The member serves requests and may own cells.
    Serving,
    /// The member finishes what it has started, and owns nothing new.
    Leaving,
}

/// Gossiped state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the member's peers connect to it.
    pub address: SocketAddr,
    /// Incarnation of the member; a later one is a larger number.
    pub incarnation: u64,
    /// Heartbeat counter; it increases within an incarnation.
    pub heartbeat: u64,
    /// Lifecycle state.
    pub state: MemberState,
    /// Processor time available to the member's host, in thousandths of a core.
    pub capacity: u32,
}

impl Member {
    /// Class of the host's capacity, its binary order of magnitude: hosts whose capacities are
    /// within a factor of two count as equal.
    pub(super) const fn capacity_class(&self) -> u32 {
        u32::BITS - self.capacity.leading_zeros()
    }
}

/// Where a gateway runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Location {
    /// Name of the data centre.
    pub data_centre: Name,
    /// Name of the data centre's region; empty if the settings name none.
    pub region: Name,
}

/// Distance between two locations, the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Both are in one data centre.
    SameDataCentre,
    /// The data centres are in one region.
    SameRegion,
    /// The data centres are in different regions.
    OtherRegion,
}

impl Location {
    /// Distance to another location.
    pub fn distance(&self, other: &Self) -> Distance {
        if self.region != other.region {
            Distance::OtherRegion
        } else if self.data_centre != other.data_centre {
            Distance::SameRegion
        } else {
            Distance::SameDataCentre
        }
    }
}

/// A member with what builds since form 7 know of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// Where it runs.
    pub location: Location,
    /// Whether its reads of the publisher's store fail.
    pub reads_fail: bool,
    /// Whether the sender, or the peer that it received this from, considers the member down. The
    /// member refutes it with a newer heartbeat.
    pub is_suspected: bool,
}
