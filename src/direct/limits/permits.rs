//! Permits that this gateway has requested and that are not decided yet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::published::model::Endpoint;
use crate::message::Timestamp;

/// How long after the longest wait of a permit request its limiter counts as unreachable if it has
/// not decided.
const DECISION_TIMEOUT: Duration = Duration::from_millis(150);

/// Kind of message for which a permit is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Request of a caller.
    Request {
        /// Number of the caller's request within this gateway.
        caller: u64,
        /// Distinguishes this permit from others requested for the same caller's request.
        number: u64,
    },
    /// Batch call.
    Pieces,
    /// Call that frees results.
    Free,
}

impl Purpose {
    /// Word for this purpose in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request { .. } => "request",
            Self::Pieces => "pieces",
            Self::Free => "free",
        }
    }
}

/// Permit that is needed to send a message.
#[derive(Debug, Clone)]
pub struct NeededPermit {
    /// Endpoint to which the message is sent.
    pub endpoint: Arc<Endpoint>,
    /// Kind of message.
    pub purpose: Purpose,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How long the permit may take to be issued.
    pub wait: Duration,
}

/// Permit request that was sent to a limiter.
#[derive(Debug, Clone)]
pub struct PendingPermit {
    /// The permit that is needed.
    pub wanted: NeededPermit,
    /// Address of the gateway that decides.
    pub limiter: SocketAddr,
    /// When the request was sent.
    pub sent_at: Timestamp,
}

impl PendingPermit {
    fn times_out_at(&self) -> Timestamp {
        self.sent_at.saturating_add(self.wanted.wait).saturating_add(DECISION_TIMEOUT)
    }
}

/// Pending permit requests, by number.
#[derive(Debug, Default)]
pub struct PendingPermits {
    last_number: u64,
    pending: BTreeMap<u64, PendingPermit>,
    timeouts: BTreeSet<(Timestamp, u64)>,
}

impl PendingPermits {
    /// Records a permit request; returns its number.
    pub fn add(&mut self, pending: PendingPermit) -> u64 {
        self.last_number += 1;
        self.timeouts.insert((pending.times_out_at(), self.last_number));
        self.pending.insert(self.last_number, pending);
        self.last_number
    }

    /// Removes and returns the request that a limiter decided; `None` if none with this number is
    /// pending there.
    pub fn take_decided(&mut self, limiter: SocketAddr, number: u64) -> Option<PendingPermit> {
        let pending = self.pending.get(&number).filter(|pending| pending.limiter == limiter)?;
        self.timeouts.remove(&(pending.times_out_at(), number));
        self.pending.remove(&number)
    }

    /// Removes and returns the requests that were not decided in time.
    pub fn take_overdue(&mut self, now: Timestamp) -> Vec<PendingPermit> {
        let mut overdue = Vec::new();
        while let Some((_, number)) = self.timeouts.first().copied().filter(|(at, _)| now >= *at) {
            self.timeouts.pop_first();
            overdue.extend(self.pending.remove(&number));
        }
        overdue
    }

    /// Removes and returns the requests that were sent to a gateway.
    pub fn take_sent_to(&mut self, limiter: SocketAddr) -> Vec<PendingPermit> {
        let sent = self.pending.extract_if(.., |_, pending| pending.limiter == limiter);
        let sent: Vec<_> = sent.collect();
        for (number, pending) in &sent {
            self.timeouts.remove(&(pending.times_out_at(), *number));
        }
        sent.into_iter().map(|(_, pending)| pending).collect()
    }

    /// When [`Self::take_overdue`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
