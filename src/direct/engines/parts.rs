//! Which engines have which shared parts of prompts, as far as one gateway knows.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;

/// Time for which an engine is assumed to keep a part after its last use by this gateway. The parts
/// that are unused longest are evicted first, after a time that engines do not state.
const PART_RETENTION: Duration = Duration::from_secs(10);
/// Time after the first listing within which listed engines are assumed to have been there before.
const FIRST_LISTING: Duration = Duration::from_secs(2);
/// Maximum number of engines that are kept for one part. Parts at the beginning of many prompts are
/// at many engines.
const MAX_HOLDERS: usize = 64;
/// Number of parts above which those that were not used recently are removed.
const MAX_PARTS: usize = 2_048;

/// An engine to which a part was sent.
#[derive(Debug, Clone)]
struct Holder {
    endpoint: Name,
    incarnation: u64,
    sent_at: Timestamp,
}

/// Engines to which one gateway sent shared parts, and engines that recently lost theirs.
#[derive(Debug, Default)]
pub struct PartHolders {
    holders: HashMap<String, Vec<Holder>>,
    /// Engines that were empty at this time.
    emptied: HashMap<Name, Timestamp>,
    /// Incarnations of the listed endpoints.
    incarnations: HashMap<Name, u64>,
    /// When the first endpoint was listed.
    first_listed: Option<Timestamp>,
}

impl PartHolders {
    /// Records that a prompt with this part was sent to an engine.
    pub fn sent(&mut self, part: &str, endpoint: &Endpoint, now: Timestamp) {
        if self.holders.len() >= MAX_PARTS && !self.holders.contains_key(part) {
            self.evict(now);
        }
        let holders = self.holders.entry(part.to_owned()).or_default();
        holders.retain(|h| h.endpoint != endpoint.id && now < h.sent_at + PART_RETENTION);
        holders.insert(
            0,
            Holder {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                sent_at: now,
            },
        );
        holders.truncate(MAX_HOLDERS);
    }

    /// Removes the parts that are assumed to be evicted everywhere, or all if there are none.
    fn evict(&mut self, now: Timestamp) {
        let is_kept = |holders: &Vec<Holder>| {
            holders.first().is_some_and(|holder| now < holder.sent_at + PART_RETENTION)
        };
        self.holders.retain(|_, holders| is_kept(holders));
        if self.holders.len() >= MAX_PARTS {
            self.holders.clear();
        }
    }

    /// An engine has no parts: it restarted, or returned after an evacuation.
    pub fn emptied(&mut self, endpoint: &Name, now: Timestamp) {
        self.emptied.insert(endpoint.clone(), now);
    }

    /// An endpoint was listed. A new one, or a new incarnation, has no parts.
    pub fn listed(&mut self, endpoint: &Endpoint, now: Timestamp) {
        let first_listed = *self.first_listed.get_or_insert(now);
        match self.incarnations.insert(endpoint.id.clone(), endpoint.incarnation) {
            Some(incarnation) if incarnation == endpoint.incarnation => {}
            None if now < first_listed + FIRST_LISTING => {}
            Some(_) | None => self.emptied(&endpoint.id, now),
        }
    }

    /// Whether an engine was empty a short time ago, so that it lacks parts that it should have.
    pub fn was_emptied(&self, endpoint: &str, now: Timestamp) -> bool {
        self.emptied.get(endpoint).is_some_and(|at| now < *at + PART_RETENTION)
    }

    /// When this gateway last sent the part to the current incarnation of an engine, if the engine
    /// is assumed to have it.
    pub fn last_sent(&self, part: &str, endpoint: &Endpoint, now: Timestamp) -> Option<Timestamp> {
        let holder = self.holders.get(part)?.iter().find(|h| h.endpoint == endpoint.id)?;
        let emptied = self.emptied.get(&endpoint.id);
        let is_kept = holder.incarnation == endpoint.incarnation
            && now < holder.sent_at + PART_RETENTION
            && emptied.is_none_or(|at| *at <= holder.sent_at);
        is_kept.then_some(holder.sent_at)
    }

    /// Removes engines that are not listed any more.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.emptied.retain(|id, _| listed(id));
        self.incarnations.retain(|id, _| listed(id));
    }
}
