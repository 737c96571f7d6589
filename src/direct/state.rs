//! State of a process that its front ends and readers of the store follow.

use crate::direct::published::model::CallerLimits;
use crate::direct::store_reading::StoreUse;

/// State for front ends and readers of the store.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Whether the process is ready.
    pub ready: bool,
    /// Whether new connections of callers are closed unread.
    pub sheds_connections: bool,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Newest known era of the publisher's store.
    pub store_era: u64,
    /// How the process uses the publisher's store.
    pub store_use: StoreUse,
}
