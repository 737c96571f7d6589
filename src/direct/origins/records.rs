//! Records of the origins of streams, each until its caller no longer resumes the stream.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::direct::origins::Origin;
use crate::direct::origins::holders::Holder;
use crate::direct::published::model::Name;
use crate::message::Timestamp;

/// Maximum number of records; bounds memory. Beyond it, the record that expires first is dropped.
const MAX_RECORDS: usize = 65_536;

/// The origin of one stream.
#[derive(Debug, Clone)]
pub struct Record {
    /// What began the stream.
    pub origin: Origin,
    /// When the caller has stopped waiting for the stream.
    pub expires: Timestamp,
    /// Holders that this gateway has sent the record to.
    pub holders: Vec<Holder>,
}

impl Record {
    /// Sets the holders of the record; returns those that it has not been sent to.
    pub fn set_holders(&mut self, holders: Vec<Holder>) -> Vec<Holder> {
        let new = holders.iter().filter(|holder| !self.holders.contains(holder)).copied().collect();
        self.holders = holders;
        new
    }
}

/// Records by stream: the id of the caller's request that received the first event.
#[derive(Debug, Default)]
pub struct Records {
    records: HashMap<Name, Record>,
    expiries: BTreeSet<(Timestamp, Name)>,
}

impl Records {
    /// Records the origin of a stream. A later record of the stream replaces an earlier one.
    pub fn insert(&mut self, stream: &Name, origin: Origin, expires: Timestamp, now: Timestamp) {
        self.remove(stream);
        self.expire(now);
        if self.records.len() >= MAX_RECORDS
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.records.remove(&first);
        }
        self.expiries.insert((expires, stream.clone()));
        self.records.insert(stream.clone(), Record { origin, expires, holders: Vec::new() });
    }

    /// The origin of a stream, if it is recorded.
    pub fn origin(&self, stream: &str, now: Timestamp) -> Option<&Origin> {
        let record = self.records.get(stream).filter(|record| now < record.expires)?;
        Some(&record.origin)
    }

    /// The record of a stream.
    pub fn get_mut(&mut self, stream: &str) -> Option<&mut Record> {
        self.records.get_mut(stream)
    }

    /// All streams, in an order that makes replays deterministic.
    pub fn streams(&self) -> impl Iterator<Item = Name> {
        self.expiries.iter().map(|(_, stream)| stream.clone())
    }

    /// Records that a holder may have lost what was sent to it. Returns the streams of these records.
    pub fn forget_holder(&mut self, address: SocketAddr) -> Vec<Name> {
        let mut lost = Vec::new();
        for (_, stream) in &self.expiries {
            let Some(record) = self.records.get_mut(stream) else {
                continue;
            };
            let count = record.holders.len();
            record.holders.retain(|holder| holder.address != address);
            if record.holders.len() < count {
                lost.push(stream.clone());
            }
        }
        lost
    }

    /// Removes the record of a stream, which is complete.
    pub fn remove(&mut self, stream: &str) {
        if let Some((stream, record)) = self.records.remove_entry(stream) {
            self.expiries.remove(&(record.expires, stream));
        }
    }

    /// Removes expired records.
    fn expire(&mut self, now: Timestamp) {
        while self.expiries.first().is_some_and(|(expires, _)| now >= *expires)
            && let Some((_, stream)) = self.expiries.pop_first()
        {
            self.records.remove(&stream);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
