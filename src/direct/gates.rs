//! Endpoints to which nothing more may go out, for messages that were ordered before that was known.
//!
//! A message waits for its connection to come up, behind what fills its host's link or in a process without a
//! processor. The core decides and tells; each message looks here once it could go out, and one that does not is proved
//! not to have been sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::Asked;
use crate::message::Timestamp;

/// A message that was ordered goes out within that, or its connection was given up: for longer a gate need not be
/// kept, since nothing is ordered behind it.
const KEPT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Closed {
    /// For new work, for good.
    leaving: bool,
    /// For everything.
    until: Timestamp,
    kept_until: Timestamp,
}

/// The gates of one gateway.
#[derive(Debug, Clone, Default)]
pub struct Gates {
    closed: Arc<Mutex<HashMap<(Name, u64), Closed>>>,
}

impl Gates {
    fn lock(&self) -> MutexGuard<'_, HashMap<(Name, u64), Closed>> {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nothing goes out to this life of an endpoint until a time, or without one no new work for good.
    pub fn close(&self, endpoint: Name, life: u64, until: Option<Timestamp>, now: Timestamp) {
        let mut closed = self.lock();
        closed.retain(|_, gate| now < gate.kept_until);
        let open = Closed { leaving: false, until: now, kept_until: now + KEPT };
        let gate = closed.entry((endpoint, life)).or_insert(open);
        gate.leaving |= until.is_none();
        gate.until = gate.until.max(until.unwrap_or(now));
        gate.kept_until = gate.until.max(now + KEPT);
    }

    /// Whether a message may go out now.
    pub fn is_open(&self, endpoint: &Endpoint, asked: Asked, now: Timestamp) -> bool {
        let closed = self.lock();
        if closed.is_empty() {
            return true;
        }
        let gate = closed.get(&(endpoint.id.clone(), endpoint.incarnation));
        gate.is_none_or(|gate| now >= gate.until && (!gate.leaving || asked == Asked::Free))
    }
}
