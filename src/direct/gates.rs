//! Last check before a message is sent: blocks endpoints that became unavailable after the message
//! was queued.
//!
//! A message may wait for its connection, for a congested link of the host, or in a process that
//! gets no processor time. The core closes the gate of an endpoint; each message checks the gate
//! once it could be sent, and one that is blocked is proven not to have been sent. An endpoint with
//! a rate limit gets no message of any kind without a permit, so a code path that fails to request
//! a permit sends nothing.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::CallKind;
use crate::message::Timestamp;

/// How long a closed gate is kept. A message is sent within this time after it was queued, or its
/// connection attempt has timed out; nothing new is queued for a closed gate.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Gate {
    /// No new work, permanently: the endpoint is leaving.
    leaving: bool,
    /// No messages at all until this time.
    until: Timestamp,
    /// No messages without a permit.
    is_limited: bool,
    kept_until: Timestamp,
}

/// Gates of all endpoints, shared by the tasks of one gateway.
#[derive(Debug, Clone, Default)]
pub struct Gates {
    gates: Arc<Mutex<HashMap<(Name, u64), Gate>>>,
}

impl Gates {
    fn lock(&self) -> MutexGuard<'_, HashMap<(Name, u64), Gate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks an incarnation: all messages until a time, or, without one, new work permanently.
    pub fn close(
        &self,
        endpoint: Name,
        incarnation: u64,
        until: Option<Timestamp>,
        now: Timestamp,
    ) {
        let mut gates = self.lock();
        let gate = gate(&mut gates, endpoint, incarnation, now);
        gate.leaving |= until.is_none();
        gate.until = gate.until.max(until.unwrap_or(now));
        gate.kept_until = gate.until.max(now + RETENTION);
    }

    /// Sets whether messages to an incarnation need a permit.
    pub fn set_limited(&self, endpoint: Name, incarnation: u64, is_limited: bool, now: Timestamp) {
        let mut gates = self.lock();
        gate(&mut gates, endpoint, incarnation, now).is_limited = is_limited;
    }

    /// Whether messages to this incarnation of an endpoint need a permit.
    pub fn is_limited(&self, endpoint: &Endpoint) -> bool {
        let gates = self.lock();
        let gate = gates.get(&(endpoint.id.clone(), endpoint.incarnation));
        gate.is_some_and(|gate| gate.is_limited)
    }

    /// Whether a message may be sent now; `permit` is when its permit expires.
    pub fn is_open(
        &self,
        endpoint: &Endpoint,
        kind: CallKind,
        permit: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let gates = self.lock();
        if gates.is_empty() {
            return true;
        }
        let gate = gates.get(&(endpoint.id.clone(), endpoint.incarnation));
        gate.is_none_or(|gate| {
            let is_permitted = !gate.is_limited || permit.is_some_and(|until| now < until);
            let is_work = matches!(kind, CallKind::Request | CallKind::Pieces | CallKind::Report);
            let is_accepted = !gate.leaving || !is_work;
            now >= gate.until && is_accepted && is_permitted
        })
    }
}

/// Returns the gate of an incarnation, open if it is new; removes gates that are no longer needed.
fn gate(
    gates: &mut HashMap<(Name, u64), Gate>,
    endpoint: Name,
    incarnation: u64,
    now: Timestamp,
) -> &mut Gate {
    gates.retain(|_, gate| gate.is_limited || now < gate.kept_until);
    let open = Gate { leaving: false, until: now, is_limited: false, kept_until: now + RETENTION };
    gates.entry((endpoint, incarnation)).or_insert(open)
}
