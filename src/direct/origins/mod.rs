//! Which software version began a stream.
//!
//! Endpoints of several software versions may serve a pool side by side, and what they write is not
//! compatible. A stream is therefore continued only by the version that began it.

use serde::{Deserialize, Serialize};

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::software::version_of;

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
