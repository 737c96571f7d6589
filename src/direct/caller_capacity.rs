//! Decides how many connections of callers a process holds, and how many bytes of their requests.
//!
//! All that callers make a process hold shares one budget: connections, buffers, heads and bodies.
//! When it is used up, what has waited for its caller for longest gives way: connections without a
//! request first, then requests whose body is incomplete. A request that was received completely never
//! does.
//!
//! Alternatives: a part for each address (callers share the balancer's, and a crowd has many);
//! refusing only what arrives last (a crowd that stays open then keeps ordinary callers out until its
//! time limits end); accepting no connections (callers wait before they try another gateway).

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Bytes that a connection holds apart from its buffers.
const STATE_BYTES: usize = 12 << 10;
/// Bytes that a connection holds apart from its read buffer.
const CONNECTION_BYTES: usize = STATE_BYTES + UNREAD_BYTES;
/// Bytes that may wait in the system's receive buffer of a connection.
pub const UNREAD_BYTES: usize = 32 << 10;
/// Bodies and parsed heads hold at most [`BODY_PARTS`] in this many parts of the budget, so that
/// connections find room.
const PARTS: usize = 4;
/// See [`PARTS`].
const BODY_PARTS: usize = 3;
/// One in this many parts of the budget is left to connections without a request, so that callers get
/// a refusal when there is no room for their request.
const REFUSALS: usize = 8;
/// A connection's read buffer takes at most one in this many parts of the budget.
const BUFFERS: usize = 256;
/// A body may hold this many times the bytes that are left for bodies, so that long bodies leave room
/// for short ones.
const SHARE_OF_REST: usize = 2;
/// A body is received for at least this long before it gives way to another one.
const MIN_BODY_TIME: Duration = Duration::from_secs(1);

/// What a process may hold for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerCapacity {
    /// Bytes of connections and requests together.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

impl CallerCapacity {
    /// Capacity for connections that send no bodies and have read buffers of this length.
    pub const fn of_connections(connections: usize, buffer_bytes: usize) -> Self {
        Self { bytes: connections * (CONNECTION_BYTES + buffer_bytes), connections }
    }

    /// Bytes that bodies and parsed heads may hold together.
    const fn body_bytes(&self) -> usize {
        self.bytes / PARTS * BODY_PARTS
    }

    /// Length of the longest read buffer of a connection.
    pub const fn longest_buffer(&self) -> usize {
        self.bytes / BUFFERS
    }

    /// Length of the longest body that a process without other requests can receive.
    pub const fn longest_body(&self) -> usize {
        self.body_bytes() / (SHARE_OF_REST + 1) * SHARE_OF_REST
    }
}

/// Identifies a connection among those of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection waits for. Connections in an earlier phase give way first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// The head of a request.
    Idle,
    /// The end of a body that was refused and is not held.
    Refused,
    /// The first bytes of a body.
    Announced,
    /// The end of a body.
    Receiving,
    /// The answer; such a connection does not give way.
    Answering,
    /// Its end, since it gives way.
    Leaving,
}

/// Denied for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// This connection must give way; there may be room after that.
    Until(ConnectionId),
    /// Nothing gives way.
    Finally,
}

/// Connections in the order in which they give way.
type Order = BTreeSet<(Phase, Instant, ConnectionId)>;

#[derive(Debug)]
struct Connection {
    phase: Phase,
    since: Instant,
    buffer_bytes: usize,
    request_bytes: usize,
}

/// Connections and requests that a process holds for callers.
#[derive(Debug)]
pub struct CallerLedger {
    capacity: CallerCapacity,
    next: u64,
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that may give way and hold nothing of a body.
    empty: Order,
    /// Connections that may give way and hold a part of a body.
    receiving: Order,
    /// Bytes of connections and their buffers.
    connection_bytes: usize,
    /// Bytes of bodies and parsed heads.
    body_bytes: usize,
}

impl CallerLedger {
    /// Creates the ledger of a process without callers.
    pub fn new(capacity: CallerCapacity) -> Self {
        Self {
            capacity,
            next: 0,
            connections: HashMap::new(),
            empty: Order::new(),
            receiving: Order::new(),
            connection_bytes: 0,
            body_bytes: 0,
        }
    }

    /// What the process may hold.
    pub const fn capacity(&self) -> CallerCapacity {
        self.capacity
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that are held.
    pub const fn bytes(&self) -> usize {
        self.connection_bytes + self.body_bytes
    }

    /// Admits a new connection with a read buffer of this length.
    pub fn open(&mut self, buffer_bytes: usize, now: Instant) -> Result<ConnectionId, Denied> {
        let bytes = CONNECTION_BYTES + buffer_bytes;
        if self.connections.len() >= self.capacity.connections || !self.has_room(bytes) {
            return Err(self.give_way(None));
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        self.connection_bytes += bytes;
        let connection =
            Connection { phase: Phase::Idle, since: now, buffer_bytes, request_bytes: 0 };
        self.connections.insert(id, connection);
        self.empty.insert((Phase::Idle, now, id));
        Ok(id)
    }

    /// Admits the request whose head was received over a connection, unless the connection gives way.
    /// Its head takes the buffer, so that the connection has another one.
    pub fn begin(&mut self, id: ConnectionId, now: Instant) -> Result<(), Denied> {
        let connection = self.connections.get(&id).filter(|c| c.phase != Phase::Leaving);
        let Some(connection) = connection else {
            return Err(Denied::Finally);
        };
        let bytes = connection.buffer_bytes;
        if !self.has_room(bytes + self.capacity.bytes / REFUSALS) {
            return Err(self.give_way(Some(id)));
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request_bytes = bytes;
            self.connection_bytes += bytes;
        }
        self.enter(id, Phase::Announced, Some(now));
        Ok(())
    }

    /// Raises what the body of a connection's request holds from `held` to `bytes`.
    pub fn hold(
        &mut self,
        id: ConnectionId,
        held: usize,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Denied> {
        let others = self.body_bytes - held;
        let rest = self.capacity.body_bytes().checked_sub(others + bytes);
        let has_share = rest.is_some_and(|rest| bytes <= rest.saturating_mul(SHARE_OF_REST));
        if !has_share || !self.has_room(bytes.saturating_sub(held)) {
            return Err(self.body_gives_way(id, now));
        }
        self.body_bytes = others + bytes;
        self.enter(id, Phase::Receiving, None);
        Ok(())
    }

    /// Returns what a body held.
    pub const fn release(&mut self, bytes: usize) {
        self.body_bytes -= bytes;
    }

    /// The body of a connection's request was refused; its remainder is read and dropped.
    pub fn refuse(&mut self, id: ConnectionId) {
        self.enter(id, Phase::Refused, None);
    }

    /// The request of a connection was received completely; returns whether it may run, which it may
    /// not if the connection gives way.
    pub fn answer(&mut self, id: ConnectionId) -> bool {
        self.enter(id, Phase::Answering, None);
        self.connections.get(&id).is_some_and(|c| c.phase == Phase::Answering)
    }

    /// The request of a connection has ended.
    pub fn finish(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.connection_bytes -= std::mem::take(&mut connection.request_bytes);
        }
        self.enter(id, Phase::Idle, Some(now));
    }

    /// A connection has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.remove_from_order(id, connection.phase, connection.since);
        let Connection { buffer_bytes, request_bytes, .. } = connection;
        self.connection_bytes -= CONNECTION_BYTES + buffer_bytes + request_bytes;
    }

    const fn has_room(&self, bytes: usize) -> bool {
        self.bytes() + bytes <= self.capacity.bytes
    }

    /// Changes the phase of a connection, unless it gives way.
    fn enter(&mut self, id: ConnectionId, phase: Phase, since: Option<Instant>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let before = connection.phase;
        if before == Phase::Leaving {
            return;
        }
        let entered_at = connection.since;
        connection.phase = phase;
        connection.since = since.unwrap_or(entered_at);
        let entry = (phase, connection.since, id);
        self.remove_from_order(id, before, entered_at);
        match phase {
            Phase::Idle | Phase::Refused | Phase::Announced => self.empty.insert(entry),
            Phase::Receiving => self.receiving.insert(entry),
            Phase::Answering | Phase::Leaving => false,
        };
    }

    fn remove_from_order(&mut self, id: ConnectionId, phase: Phase, since: Instant) {
        let order = if phase == Phase::Receiving { &mut self.receiving } else { &mut self.empty };
        order.remove(&(phase, since, id));
    }

    /// Lets a connection give way to a new one, or to the request that was received over `request`.
    fn give_way(&mut self, request: Option<ConnectionId>) -> Denied {
        let mut order = self.empty.iter().chain(&self.receiving);
        let first = order.find(|(_, _, id)| Some(*id) != request);
        self.leave(first.map(|(_, _, id)| *id))
    }

    /// Lets the body that has been received for longest give way to that of `id`.
    fn body_gives_way(&mut self, id: ConnectionId, now: Instant) -> Denied {
        let first = self.receiving.first().filter(|(_, since, first)| {
            *first != id && now.saturating_duration_since(*since) >= MIN_BODY_TIME
        });
        self.leave(first.map(|(_, _, id)| *id))
    }

    fn leave(&mut self, id: Option<ConnectionId>) -> Denied {
        let Some(id) = id else {
            return Denied::Finally;
        };
        self.enter(id, Phase::Leaving, None);
        Denied::Until(id)
    }
}
