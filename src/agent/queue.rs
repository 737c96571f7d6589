//! The agent's queue: priority first, then fair shares of organisations, then least slack.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::message::{AttemptId, Timestamp};

/// Dispatches by which organisations may differ before the one served less goes first.
const FAIR_WINDOW: u64 = 2;

/// Where an attempt stands in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Which attempt.
    pub attempt: AttemptId,
    /// A higher one goes first.
    pub priority: u8,
    /// Whose share it is.
    pub organisation: String,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
}

#[derive(Debug, Default)]
struct Share {
    served: u64,
    waiting: BTreeSet<(Timestamp, AttemptId)>,
}

/// One priority's organisations; a newcomer starts at the least served one's count.
#[derive(Debug, Default)]
struct Level {
    shares: HashMap<String, Share>,
}

/// Attempts that wait to be handed over.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<u8, Level>,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    tickets: HashMap<AttemptId, Ticket>,
}

impl Queue {
    /// Attempts that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Lets an attempt wait.
    pub fn push(&mut self, ticket: Ticket) {
        let level = self.levels.entry(ticket.priority).or_default();
        let least = level.shares.values().map(|s| s.served).min().unwrap_or(0);
        let share = level.shares.entry(ticket.organisation.clone()).or_default();
        share.served = share.served.max(least);
        share.waiting.insert((ticket.deadline, ticket.attempt));
        self.deadlines.insert((ticket.deadline, ticket.attempt));
        self.tickets.insert(ticket.attempt, ticket);
    }

    /// Takes the attempt that goes next.
    pub fn pop(&mut self) -> Option<Ticket> {
        let (_, level) = self.levels.last_key_value()?;
        let least = level.shares.values().map(|s| s.served).min()?;
        let eligible = level.shares.values().filter(|s| s.served <= least + FAIR_WINDOW);
        let (_, attempt) = eligible.filter_map(|s| s.waiting.first()).min().copied()?;
        let ticket = self.take(attempt)?;
        self.charge(&ticket);
        Some(ticket)
    }

    /// Takes an attempt out of its turn.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        let Some(ticket) = self.take(attempt) else {
            return false;
        };
        self.tidy(&ticket);
        true
    }

    /// Takes an attempt whose deadline has passed.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<AttemptId> {
        let (deadline, attempt) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.remove(attempt);
        Some(attempt)
    }

    /// The first deadline of those that wait.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// All attempts that wait, in no order.
    pub fn attempts(&self) -> Vec<AttemptId> {
        self.tickets.keys().copied().collect()
    }

    fn take(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let ticket = self.tickets.remove(&attempt)?;
        self.deadlines.remove(&(ticket.deadline, attempt));
        let level = self.levels.get_mut(&ticket.priority)?;
        let share = level.shares.get_mut(&ticket.organisation)?;
        share.waiting.remove(&(ticket.deadline, attempt));
        Some(ticket)
    }

    fn charge(&mut self, ticket: &Ticket) {
        let level = self.levels.get_mut(&ticket.priority);
        if let Some(share) = level.and_then(|l| l.shares.get_mut(&ticket.organisation)) {
            share.served += 1;
        }
        self.tidy(ticket);
    }

    /// Lets go of an organisation without waiting attempts, and of a level without organisations.
    fn tidy(&mut self, ticket: &Ticket) {
        let Some(level) = self.levels.get_mut(&ticket.priority) else {
            return;
        };
        if level.shares.get(&ticket.organisation).is_some_and(|s| s.waiting.is_empty()) {
            level.shares.remove(&ticket.organisation);
        }
        if level.shares.is_empty() {
            self.levels.remove(&ticket.priority);
        }
    }
}
