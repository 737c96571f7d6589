//! Budget of the connections, heads and bodies of callers: applies the decisions of
//! [`CallerLedger`] to connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::direct::caller_capacity::{CallerCapacity, CallerLedger, ConnectionId, Denied};
use crate::direct::log_events::{LoadEvent, LogEvent};

/// Time after which another connection gives way if the first one still holds its part.
const GIVE_WAY_TIME: Duration = Duration::from_millis(20);

/// Budget of a process; clones share it.
#[derive(Debug, Clone)]
pub struct CallerBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when a part of the budget is returned.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    ledger: CallerLedger,
    /// Senders by which connections learn that they must give way.
    signals: HashMap<ConnectionId, watch::Sender<bool>>,
    /// Connections that had to give way since the last [`CallerBudget::usage`].
    gave_way: usize,
    /// Connections and requests that were refused since then.
    refused: usize,
}

/// Use of a budget, and what its limits have done since the last observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerUsage {
    /// Number of open connections.
    pub connections: usize,
    /// Bytes that they and their requests hold.
    pub bytes: usize,
    /// Connections that had to give way.
    pub gave_way: usize,
    /// Connections and requests that were refused.
    pub refused: usize,
    /// What the process may hold.
    pub capacity: CallerCapacity,
}

impl CallerUsage {
    /// The log line for it, if a limit was reached.
    pub fn log_event(&self) -> Option<LogEvent> {
        let Self { connections, bytes, gave_way, refused, capacity } = *self;
        let event = LoadEvent::CallersLimited {
            connections,
            max_connections: capacity.connections,
            bytes,
            max_bytes: capacity.bytes,
            gave_way,
            refused,
        };
        (gave_way + refused > 0).then_some(LogEvent::Load(event))
    }
}

impl CallerBudget {
    /// Creates the budget of a process without callers.
    pub fn new(capacity: CallerCapacity) -> Self {
        let ledger = CallerLedger::new(capacity);
        let state = State { ledger, signals: HashMap::new(), gave_way: 0, refused: 0 };
        Self(Arc::new(Shared { state: Mutex::new(state), freed: Notify::new() }))
    }

    /// Creates the budget of connections that send no bodies and have read buffers of this length.
    pub fn of_connections(connections: usize, buffer_bytes: usize) -> Self {
        Self::new(CallerCapacity::of_connections(connections, buffer_bytes))
    }

    /// What the process may hold for callers.
    pub fn capacity(&self) -> CallerCapacity {
        self.state().ledger.capacity()
    }

    /// Observes the use of the budget.
    pub fn usage(&self) -> CallerUsage {
        let mut state = self.state();
        CallerUsage {
            connections: state.ledger.connections(),
            bytes: state.ledger.bytes(),
            gave_way: std::mem::take(&mut state.gave_way),
            refused: std::mem::take(&mut state.refused),
            capacity: state.ledger.capacity(),
        }
    }

    /// Admits a new connection with a read buffer of this length; `None` if there is no capacity.
    pub async fn open(&self, buffer_bytes: usize) -> Option<CallerConnection> {
        let id = self.granted(|ledger, now| ledger.open(buffer_bytes, now)).await?;
        let (signal, gives_way) = watch::channel(false);
        self.state().signals.insert(id, signal);
        Some(CallerConnection { budget: self.clone(), id, buffer_bytes, gives_way })
    }

    /// Requests a part of the budget until it is granted, or `None` if it is finally denied.
    async fn granted<T>(
        &self,
        mut request: impl FnMut(&mut CallerLedger, Instant) -> Result<T, Denied>,
    ) -> Option<T> {
        loop {
            let freed = self.0.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            match self.request(&mut request) {
                Ok(granted) => return Some(granted),
                Err(Denied::Finally) => return None,
                Err(Denied::Until(_)) => timeout(GIVE_WAY_TIME, freed).await.ok(),
            };
        }
    }

    fn request<T>(
        &self,
        request: &mut impl FnMut(&mut CallerLedger, Instant) -> Result<T, Denied>,
    ) -> Result<T, Denied> {
        let mut state = self.state();
        let result = request(&mut state.ledger, Instant::now());
        match result {
            Ok(_) => {}
            Err(Denied::Finally) => state.refused += 1,
            Err(Denied::Until(id)) => {
                state.gave_way += 1;
                if let Some(signal) = state.signals.get(&id) {
                    signal.send_replace(true);
                }
            }
        }
        result
    }

    /// Changes the ledger so that a part of the budget is returned.
    fn free(&self, change: impl FnOnce(&mut CallerLedger)) {
        change(&mut self.state().ledger);
        self.0.freed.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connection of a caller; its part of the budget is returned on drop.
#[derive(Debug)]
pub struct CallerConnection {
    budget: CallerBudget,
    id: ConnectionId,
    buffer_bytes: usize,
    gives_way: watch::Receiver<bool>,
}

impl CallerConnection {
    /// Length of the connection's read buffer.
    pub const fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Admits a request whose head was received; `None` if there is no capacity.
    pub async fn begin(&self) -> Option<CallerRequest> {
        let id = self.id;
        self.budget.granted(|ledger, now| ledger.begin(id, now)).await?;
        let (budget, gives_way) = (self.budget.clone(), self.gives_way.clone());
        Some(CallerRequest { budget, id, gives_way })
    }

    /// Waits until the connection must give way to others.
    pub async fn gives_way(&self) {
        until_true(self.gives_way.clone()).await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.budget.state().signals.remove(&self.id);
        self.budget.free(|ledger| ledger.close(self.id));
    }
}

/// Request of a caller from its head to the end of its answer, which is marked by its drop.
#[derive(Debug)]
pub struct CallerRequest {
    budget: CallerBudget,
    id: ConnectionId,
    gives_way: watch::Receiver<bool>,
}

impl CallerRequest {
    /// Length of the longest body that can be received.
    pub fn longest_body(&self) -> usize {
        self.budget.capacity().longest_body()
    }

    /// Lease of what the request's body will hold, in addition to `head_bytes` of its parsed head.
    pub fn body_lease(&self, head_bytes: usize) -> CallerBodyLease {
        CallerBodyLease { budget: self.budget.clone(), id: self.id, head_bytes, held: 0 }
    }

    /// The body was refused; its remainder is read and dropped.
    pub fn refused(&self) {
        self.budget.state().ledger.refuse(self.id);
    }

    /// The request was received completely. Returns whether it may run; if so, it does not give way
    /// any more.
    pub fn received(&self) -> bool {
        self.budget.state().ledger.answer(self.id)
    }

    /// Waits until the request must give way to others.
    pub async fn gives_way(&self) {
        until_true(self.gives_way.clone()).await;
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        self.budget.free(|ledger| ledger.finish(self.id, Instant::now()));
    }
}

/// Part of the budget that the body of a request holds; returned on drop.
#[derive(Debug)]
pub struct CallerBodyLease {
    budget: CallerBudget,
    id: ConnectionId,
    head_bytes: usize,
    held: usize,
}

impl CallerBodyLease {
    /// Raises the part to `bytes` and those of the parsed head; `None` if there is no capacity.
    pub async fn grow(&mut self, bytes: usize) -> Option<()> {
        let (id, held, wanted) = (self.id, self.held, self.head_bytes + bytes);
        if wanted == held {
            return Some(());
        }
        self.budget.granted(|ledger, now| ledger.hold(id, held, wanted, now)).await?;
        self.held = wanted;
        Some(())
    }
}

impl Drop for CallerBodyLease {
    fn drop(&mut self) {
        if self.held > 0 {
            self.budget.free(|ledger| ledger.release(self.held));
        }
    }
}

async fn until_true(mut signal: watch::Receiver<bool>) {
    if signal.wait_for(|is_set| *is_set).await.is_err() {
        std::future::pending().await
    }
}
