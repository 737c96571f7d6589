//! Orders to evacuate data centres, merged from the publisher's store and from other gateways.
//!
//! An order stands until the operator takes it back. What is known of each data centre is as old as a
//! revision of the store: that of the order's last change, or of the last read of all orders. Of two
//! accounts the newer one holds, for each data centre by itself, so accounts merge in any order, and an
//! order that was taken back does not return with a gateway that has not heard of it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::direct::published::model::Name;

/// Data centres of which orders are kept at most: some may name places that nobody knows.
const MOST: usize = 64;

/// One change: an order was given or taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre that gets no new work.
    pub data_centre: Name,
    /// The store's revision of the change.
    pub revision: u64,
    /// Whether the order stands since.
    pub stands: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Order {
    revision: u64,
    stands: bool,
}

/// What one process knows of the orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// All orders were read at this revision: one that is not kept did not stand then.
    read_at: u64,
    orders: BTreeMap<Name, Order>,
}

impl Evacuations {
    /// All orders as they stood at a revision.
    pub fn read(changes: &[Evacuation], at: u64) -> Self {
        let mut read = Self { read_at: at, orders: BTreeMap::new() };
        for change in changes.iter().filter(|change| change.stands) {
            read.keep(change.data_centre.clone(), change.revision, true);
        }
        read
    }

    /// Data centres whose order stands.
    pub fn standing(&self) -> BTreeSet<Name> {
        let standing = self.orders.iter().filter(|(_, order)| order.stands);
        standing.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Whether an order that stands was not taken, since there are too many.
    pub fn left_out(&self, change: &Evacuation) -> bool {
        change.stands && self.orders.len() >= MOST && !self.orders.contains_key(&change.data_centre)
    }

    /// Takes in a change; one that is older than what is known changes nothing.
    pub fn change(&mut self, change: &Evacuation) {
        if change.revision > self.known_at(&change.data_centre) {
            self.keep(change.data_centre.clone(), change.revision, change.stands);
        }
    }

    /// Takes in what another process knows, or what was read.
    pub fn merge(&mut self, other: &Self) {
        let known = self.orders.keys().chain(other.orders.keys()).cloned();
        for data_centre in known.collect::<BTreeSet<Name>>() {
            if other.known_at(&data_centre) <= self.known_at(&data_centre) {
                continue;
            }
            match other.orders.get(&data_centre) {
                Some(order) => self.keep(data_centre, order.revision, order.stands),
                None => {
                    self.orders.remove(&data_centre);
                }
            }
        }
        self.read_at = self.read_at.max(other.read_at);
        let read_at = self.read_at;
        self.orders.retain(|_, order| order.stands || order.revision > read_at);
    }

    /// Up to which revision it is known how the order for a data centre stands.
    fn known_at(&self, data_centre: &str) -> u64 {
        let changed_at = self.orders.get(data_centre).map_or(0, |order| order.revision);
        changed_at.max(self.read_at)
    }

    /// Keeps an order; where there are too many, the oldest that was taken back gives way, and without
    /// such the new one is not taken.
    fn keep(&mut self, data_centre: Name, revision: u64, stands: bool) {
        if self.orders.len() >= MOST && !self.orders.contains_key(&data_centre) {
            let taken_back = self.orders.iter().filter(|(_, order)| !order.stands);
            let oldest = taken_back.min_by_key(|(_, order)| order.revision);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.orders.remove(&oldest);
        }
        self.orders.insert(data_centre, Order { revision, stands });
    }
}
