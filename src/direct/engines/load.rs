//! Load that an endpoint states in its responses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::Name;

/// Maximum number of load reports in one heartbeat.
pub const MAX_REPORTS_PER_HEARTBEAT: usize = 32;

/// Load of an endpoint, as stated in one of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual time; `None` if the endpoint does
    /// not state it.
    pub work_time_percent: Option<u32>,
}

/// Load report that a gateway passes on to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Id of the endpoint.
    pub endpoint: Name,
    /// Incarnation that stated the load.
    pub incarnation: u64,
    /// The stated load.
    pub load: Load,
    /// Time since the response was read.
    pub age: Duration,
}
