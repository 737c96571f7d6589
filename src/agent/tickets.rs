//! Tickets issued by this agent: each is granted to one run of a request, and the answer is kept
//! until the ticket expires.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::message::{Incarnation, RunId};
use crate::wire::v1;

/// Maximum number of tickets; none is opened beyond it.
const MAX_TICKETS: usize = 65_536;
/// Maximum total size of kept answers, in bytes. Beyond it an answer is not kept, and a repeat of
/// its request is refused with `ran: unknown`.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum validity of a ticket.
const MAX_VALID: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Free,
    Begun(RunId),
    Done { run: RunId, request: String, answer: Vec<u8> },
}

#[derive(Debug, Default)]
struct TicketTable {
    entries: HashMap<u64, State>,
    expiries: BTreeSet<(Instant, u64)>,
    answer_bytes: usize,
}

/// The tickets of one incarnation of an agent.
#[derive(Debug)]
pub struct Tickets {
    home: Incarnation,
    table: Mutex<TicketTable>,
}

impl Tickets {
    /// Creates an empty set of tickets issued by the incarnation `home`.
    pub fn new(home: Incarnation) -> Self {
        Self { home, table: Mutex::default() }
    }

    fn with_table<T>(&self, now: Instant, act: impl FnOnce(&mut TicketTable) -> T) -> T {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.expire(now);
        act(&mut table)
    }

    /// Opens a ticket; number 0 means that the maximum number of tickets is reached.
    pub fn open(&self, request: &v1::OpenTicketRequest) -> v1::OpenTicketReply {
        let now = Instant::now();
        let valid = Duration::from_millis(request.valid_ms).min(MAX_VALID);
        let ticket = self.with_table(now, |table| table.open(now + valid));
        v1::OpenTicketReply { ticket, home: self.home.0 }
    }

    /// Grants a ticket to a run, unless another run has begun.
    pub fn claim(&self, request: &v1::ClaimRequest) -> v1::ClaimReply {
        let granted = request.home == self.home.0
            && request.run.is_some_and(|run| {
                self.with_table(Instant::now(), |table| table.claim(request.ticket, run.into()))
            });
        let grant = if granted { v1::Grant::Given } else { v1::Grant::Refused };
        v1::ClaimReply { grant: grant.into() }
    }

    /// Returns the state of a ticket.
    pub fn read(&self, request: &v1::ReadTicketRequest) -> v1::ReadTicketReply {
        if request.home != self.home.0 {
            return v1::ReadTicketReply::default();
        }
        self.with_table(Instant::now(), |table| table.read(request.ticket))
    }

    /// Records the end of a run.
    pub fn finish(&self, request: v1::FinishTicketRequest) -> v1::FinishTicketReply {
        if let (true, Some(run)) = (request.home == self.home.0, request.run) {
            self.with_table(Instant::now(), |table| table.finish(request, run.into()));
        }
        v1::FinishTicketReply {}
    }
}

impl TicketTable {
    fn expire(&mut self, now: Instant) {
        while let Some((at, ticket)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.remove(&(at, ticket));
            if let Some(State::Done { answer, .. }) = self.entries.remove(&ticket) {
                self.answer_bytes -= answer.len();
            }
        }
    }

    fn open(&mut self, expires: Instant) -> u64 {
        if self.entries.len() >= MAX_TICKETS {
            return 0;
        }
        let ticket = rand::random::<u64>().max(1);
        self.expiries.insert((expires, ticket));
        self.entries.insert(ticket, State::Free);
        ticket
    }

    fn claim(&mut self, ticket: u64, run: RunId) -> bool {
        let Some(state) = self.entries.get_mut(&ticket) else {
            return false;
        };
        match state {
            State::Free => {
                *state = State::Begun(run);
                true
            }
            // A run claims again only after a proof that its previous attempt did not run.
            State::Begun(begun) => *begun == run,
            State::Done { .. } => false,
        }
    }

    fn read(&self, ticket: u64) -> v1::ReadTicketReply {
        let Some(found) = self.entries.get(&ticket) else {
            return v1::ReadTicketReply::default();
        };
        let (state, answer, request) = match found {
            State::Free => (v1::TicketState::Free, Vec::new(), String::new()),
            State::Begun(_) => (v1::TicketState::Begun, Vec::new(), String::new()),
            State::Done { answer, request, .. } => {
                (v1::TicketState::Done, answer.clone(), request.clone())
            }
        };
        v1::ReadTicketReply { state: state.into(), answer, request }
    }

    fn finish(&mut self, request: v1::FinishTicketRequest, run: RunId) {
        let Some(state) = self.entries.get_mut(&request.ticket) else {
            return;
        };
        if *state != State::Begun(run) {
            return;
        }
        match request.answer {
            Some(answer) if self.answer_bytes + answer.len() <= MAX_ANSWER_BYTES => {
                self.answer_bytes += answer.len();
                *state = State::Done { run, request: request.request, answer };
            }
            None if !request.begun => *state = State::Free,
            _ => {}
        }
    }
}
