//! Requests that come before the first configuration: they wait for the moments until it is there.
//!
//! After all gateways were lost at once, callers stand at the door before the processes that come back
//! have read anything. The configuration follows within milliseconds; a refusal would have each of them
//! come back, all together.

use std::time::Duration;

use crate::direct::event::IncomingRequest;
use crate::message::Timestamp;

/// The longest wait for a configuration: it comes 10 to 20 ms after a process starts, and 40 to 60 callers
/// stand at the door before it when all processes were lost at once.
const LONGEST: Duration = Duration::from_millis(150);
/// A process that has its first configuration knows its peers and what its endpoints hold so much
/// later: whoever begins stages at once does so beside other owners, into room that is taken. With the
/// reports of endpoints worth 0.010 of 0.680 in fifteen pairs of days with bursts and losses; waiting for
/// the configuration alone costs as much.
pub const SETTLING: Duration = Duration::from_millis(25);
/// A request waits for that part of its time at most.
const SHARE_OF_TIME: u32 = 8;
/// Requests that wait at most, over all callers; bounds memory.
const MOST: usize = 1_000;

/// A request that waits.
#[derive(Debug)]
pub struct Early {
    /// Its caller.
    pub caller: u64,
    /// What is asked.
    pub incoming: IncomingRequest,
    /// When it came.
    pub arrived: Timestamp,
    until: Timestamp,
}

/// Requests that wait for the first configuration, in the order in which they came.
#[derive(Debug, Default)]
pub struct Waiting {
    requests: Vec<Early>,
}

impl Waiting {
    /// Whether another one may wait.
    pub fn is_open(&self) -> bool {
        self.requests.len() < MOST
    }

    /// Takes a request in.
    pub fn add(&mut self, caller: u64, incoming: IncomingRequest, now: Timestamp) {
        let share = incoming.timeout.map_or(LONGEST, |allowed| allowed / SHARE_OF_TIME);
        let until = now + share.min(LONGEST);
        self.requests.push(Early { caller, incoming, arrived: now, until });
    }

    /// A caller went away.
    pub fn caller_gone(&mut self, caller: u64) {
        self.requests.retain(|early| early.caller != caller);
    }

    /// Takes out those for which enough is known, and those whose wait is over.
    pub fn take_due(
        &mut self,
        knows: impl Fn(&IncomingRequest) -> bool,
        now: Timestamp,
    ) -> Vec<Early> {
        let is_due = |early: &Early| early.until <= now || knows(&early.incoming);
        let (due, waiting) = std::mem::take(&mut self.requests).into_iter().partition(is_due);
        self.requests = waiting;
        due
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When the first wait is over.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.requests.iter().map(|early| early.until).min()
    }
}
