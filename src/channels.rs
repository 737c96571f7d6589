//! Connections to other processes: one per address, opened on first use and reopened after a
//! failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::sync::OnceCell;
use tonic::transport::{Channel, Endpoint};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of HTTP/2 keepalive pings on connections with open calls.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Maximum number of cached connections; when it is exceeded, all are dropped and reopened on use.
const MAX_CHANNELS: usize = 4_096;

/// The connection could not be opened, so no request was sent.
#[derive(Debug, Snafu)]
#[snafu(display("can't connect to {address}: {source}"))]
pub struct ConnectError {
    /// Address of the peer.
    address: SocketAddr,
    /// Cause of the failure.
    source: tonic::transport::Error,
}

type Slot = Arc<OnceCell<Channel>>;

/// Connection cache of one process.
#[derive(Debug, Default)]
pub struct Channels {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Channels {
    /// Returns the connection to `address`; concurrent callers share one connection attempt.
    pub async fn get(&self, address: SocketAddr) -> Result<Channel, ConnectError> {
        let slot = self.slot(address);
        let channel = slot.get_or_try_init(|| connect(address)).await?;
        Ok(channel.clone())
    }

    /// Drops the cached connection, so that the next call opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.len() >= MAX_CHANNELS && !slots.contains_key(&address) {
            slots.clear();
        }
        slots.entry(address).or_default().clone()
    }
}

async fn connect(address: SocketAddr) -> Result<Channel, ConnectError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .context(ConnectSnafu { address })?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE);
    endpoint.connect().await.context(ConnectSnafu { address })
}
