//! Which software version began a stream.
//!
//! Endpoints of several software versions may serve a pool side by side, and what they write is not
//! compatible. A stream is therefore continued only by the version that began it.
//!
//! The caller of a broken stream resumes it at any gateway, and names the request that received the
//! first event. The gateway that begins a stream sends its origin to a few processes beside
//! endpoints of that version (`witnesses`), which keep it until the caller's deadline (`records`)
//! and survive the loss of all gateways. While a pool has several versions (`versions`), it also
//! sends it to a few other gateways (`holders`). A gateway at which a stream is resumed asks all of
//! them.

pub mod holders;
pub mod records;
pub mod versions;
pub mod witnesses;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::software::version_of;

/// Maximum age of a stream that a caller resumes. Records expire, and versions are forgotten, after
/// this time at the latest.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(60);

/// The pool and the software version of the endpoint that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Pool of the endpoint.
    pub pool: Name,
    /// Software version of the endpoint; `None` if its entry names none.
    pub version: Option<Name>,
}

impl Origin {
    /// The origin of a stream that an endpoint of a pool begins.
    pub fn of(pool: &Name, endpoint: &Endpoint) -> Self {
        Self { pool: pool.clone(), version: version_of(endpoint).map(Name::from) }
    }

    /// Whether an endpoint of the pool may continue the stream.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        version_of(endpoint) == self.version.as_deref()
    }
}
