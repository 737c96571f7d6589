//! Queue of an agent: ordered by priority, then fair shares of organisations, then deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::message::{AttemptId, Timestamp};

/// Maximum lead, in dispatched attempts, of an organisation over the least served one.
const FAIR_WINDOW: u64 = 2;

/// Queue entry of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Priority of the attempt; higher priorities are dispatched first.
    pub priority: u8,
    /// Organisation to whose share the attempt is charged.
    pub organisation: String,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
}

#[derive(Debug, Default)]
struct Share {
    served: u64,
    waiting: BTreeSet<(Timestamp, AttemptId)>,
}

/// Organisations with queued attempts of one priority; a new one starts at the least served one's
/// count.
#[derive(Debug, Default)]
struct Level {
    shares: HashMap<String, Share>,
}

/// Attempts that wait to be handed over to the endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<u8, Level>,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    entries: HashMap<AttemptId, QueueEntry>,
}

impl Queue {
    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an attempt.
    pub fn push(&mut self, entry: QueueEntry) {
        let level = self.levels.entry(entry.priority).or_default();
        let least = level.shares.values().map(|s| s.served).min().unwrap_or(0);
        let share = level.shares.entry(entry.organisation.clone()).or_default();
        share.served = share.served.max(least);
        share.waiting.insert((entry.deadline, entry.attempt));
        self.deadlines.insert((entry.deadline, entry.attempt));
        self.entries.insert(entry.attempt, entry);
    }

    /// Removes and returns the next attempt in order.
    pub fn pop(&mut self) -> Option<QueueEntry> {
        let (_, level) = self.levels.last_key_value()?;
        let least = level.shares.values().map(|s| s.served).min()?;
        let eligible = level.shares.values().filter(|s| s.served <= least + FAIR_WINDOW);
        let (_, attempt) = eligible.filter_map(|s| s.waiting.first()).min().copied()?;
        let entry = self.take(attempt)?;
        self.charge(&entry);
        Some(entry)
    }

    /// Removes an attempt; returns whether it was queued.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        let Some(entry) = self.take(attempt) else {
            return false;
        };
        self.remove_empty(&entry);
        true
    }

    /// Removes and returns an attempt whose deadline has passed.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<AttemptId> {
        let (deadline, attempt) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.remove(attempt);
        Some(attempt)
    }

    /// Earliest deadline of the queued attempts.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// All queued attempts, in no particular order.
    pub fn attempts(&self) -> Vec<AttemptId> {
        self.entries.keys().copied().collect()
    }

    fn take(&mut self, attempt: AttemptId) -> Option<QueueEntry> {
        let entry = self.entries.remove(&attempt)?;
        self.deadlines.remove(&(entry.deadline, attempt));
        let level = self.levels.get_mut(&entry.priority)?;
        let share = level.shares.get_mut(&entry.organisation)?;
        share.waiting.remove(&(entry.deadline, attempt));
        Some(entry)
    }

    fn charge(&mut self, entry: &QueueEntry) {
        let level = self.levels.get_mut(&entry.priority);
        if let Some(share) = level.and_then(|l| l.shares.get_mut(&entry.organisation)) {
            share.served += 1;
        }
        self.remove_empty(entry);
    }

    /// Removes an organisation without queued attempts, and a level without organisations.
    fn remove_empty(&mut self, entry: &QueueEntry) {
        let Some(level) = self.levels.get_mut(&entry.priority) else {
            return;
        };
        if level.shares.get(&entry.organisation).is_some_and(|s| s.waiting.is_empty()) {
            level.shares.remove(&entry.organisation);
        }
        if level.shares.is_empty() {
            self.levels.remove(&entry.priority);
        }
    }
}
