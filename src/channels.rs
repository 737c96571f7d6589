//! Connections to other processes, one each, made when first needed and remade after a failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::sync::OnceCell;
use tonic::transport::{Channel, Endpoint};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An open call's connection is asked for a sign of life this often.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Connections that are kept; beyond that, all are let go of and remade when needed.
const MAX_CHANNELS: usize = 4_096;

/// No connection was made, so nothing was sent.
#[derive(Debug, Snafu)]
#[snafu(display("can't connect to {address}: {source}"))]
pub struct ConnectError {
    /// To where.
    address: SocketAddr,
    /// Why.
    source: tonic::transport::Error,
}

type Slot = Arc<OnceCell<Channel>>;

/// The connections of one process.
#[derive(Debug, Default)]
pub struct Channels {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Channels {
    /// The connection to `address`; concurrent callers share one attempt to make it.
    pub async fn get(&self, address: SocketAddr) -> Result<Channel, ConnectError> {
        let slot = self.slot(address);
        let channel = slot.get_or_try_init(|| connect(address)).await?;
        Ok(channel.clone())
    }

    /// Lets go of the connection, so that the next call makes a new one.
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
