//! Parameters with which a gateway starts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::published::model::Name;
use crate::direct::repeats::RepeatBudget;

/// Parameters of a gateway core.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Address at which peers connect to this gateway.
    pub address: SocketAddr,
    /// Incarnation of the process; a later one is a larger number.
    pub incarnation: u64,
    /// Processor time available on the host, in thousandths of a core.
    pub capacity: u32,
    /// Data centre of the gateway.
    pub data_centre: Name,
    /// Region of that data centre; empty if unknown.
    pub region: Name,
    /// Addresses of gateways that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Port at which a witness listens beside each endpoint; `None` if the deployment has none.
    pub witness_port: Option<u16>,
    /// Parameters of the repeat budget.
    pub repeats: RepeatBudget,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time from the first configuration until stages are started; see
    /// [`crate::direct::requests::deferred::SETTLING`].
    pub settling: Duration,
    /// Whether the whole group of gateways starts for the first time.
    pub is_first_start: bool,
    /// Seed of the random choices.
    pub seed: u64,
}
