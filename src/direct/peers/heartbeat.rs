//! The regular message of a gateway to its peers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::departures::Departure;
use crate::direct::engines::load::SharedLoad;
use crate::direct::limits::known::AnnouncedLimit;
use crate::direct::owner::producers::Usage;
use crate::direct::peers::member::MemberUpdate;
use crate::direct::published::documents::Seen;
use crate::direct::published::evacuations::Evacuations;

/// What a gateway knows and uses, besides the members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Latest configuration and entries that the sender has received.
    pub seen: Seen,
    /// Whether the sender has received a configuration and a complete list of endpoints.
    pub complete: bool,
    /// Endpoint capacity that the sender uses as an owner.
    pub usage: Vec<Usage>,
    /// The sender's event lag.
    pub event_lag: Duration,
    /// Evacuation orders that the sender knows.
    pub evacuations: Evacuations,
    /// Departures of endpoints that the sender observed and the receiver may not know.
    pub departures: Vec<Departure>,
    /// Limits reported by endpoints that the receiver may not know.
    pub limits: Vec<AnnouncedLimit>,
    /// Newest era of the store that the sender knows; 0 from builds without eras.
    pub era: u64,
    /// Recent load reports of engines; empty from builds before form 8.
    #[serde(default)]
    pub engine_loads: Vec<SharedLoad>,
}

/// Request for a heartbeat in return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// The sender has not received a heartbeat for some time, or a connection failed.
    Silent,
    /// The heartbeat that a first probe asked for did not arrive; it is to be sent over a new
    /// connection, since the existing one may have failed silently.
    Reconnect,
}

/// Heartbeat of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub sender: MemberUpdate,
    /// Whether the receiver is to monitor the sender.
    pub is_monitor: bool,
    /// Whether the receiver is to send its heartbeat at once.
    pub probe: Option<Probe>,
    /// Members that changed, or all that the sender considers up.
    pub updates: Vec<MemberUpdate>,
    /// Whether `updates` is the complete list of members.
    pub is_complete_list: bool,
    /// Digest of the members that the sender considers up.
    pub members_digest: u64,
    /// Time since the publisher's store was last known to hold nothing that `state` lacks; `None`
    /// if it never was.
    pub store_age: Option<Duration>,
    /// The rest of the sender's state.
    pub state: GatewayState,
}
