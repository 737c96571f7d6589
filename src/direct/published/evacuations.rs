//! Orders to evacuate data centres, merged from the publisher's store and from other gateways.
//!
//! An order is in force until the operator withdraws it. What is known about a data centre has a
//! position in the store's history: that of the order's last change, or of the last complete read
//! of all orders. Of two versions the newer one wins, for each data centre separately. Versions
//! therefore merge in any order, and a gateway that has missed the withdrawal of an order does not
//! bring it back.
//!
//! When an era begins with an older copy of the store, each order remains in force or withdrawn as
//! before ([`UnconfirmedOrders`]) until it is written again or the time for that has passed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::direct::published::documents::REWRITE_WINDOW;
use crate::direct::published::model::Name;
use crate::direct::published::position::{Eras, Position};
use crate::message::Timestamp;

/// Maximum number of data centres whose orders are kept; bounds memory, since an order may name a
/// data centre that does not exist.
const MAX_ORDERS: usize = 64;

/// A change of one order: given or withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre that gets no new work.
    pub data_centre: Name,
    /// Position of the change in the store's history.
    pub position: Position,
    /// Whether the change puts the order in force; otherwise it withdraws the order.
    pub in_force: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenOrder", into = "WrittenOrder")]
struct Order {
    position: Position,
    in_force: bool,
}

/// Serialized form of [`Order`]; builds without eras ignore the fields that they don't know.
#[derive(Serialize, Deserialize)]
struct WrittenOrder {
    revision: u64,
    #[serde(rename = "stands")]
    in_force: bool,
    #[serde(default)]
    era: u64,
}

impl From<WrittenOrder> for Order {
    fn from(written: WrittenOrder) -> Self {
        let WrittenOrder { revision, in_force, era } = written;
        Self { position: Position::new(era, revision), in_force }
    }
}

impl From<Order> for WrittenOrder {
    fn from(order: Order) -> Self {
        let Order { position: Position { era, revision }, in_force } = order;
        Self { revision, in_force, era }
    }
}

/// The evacuation orders that one process knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenEvacuations", into = "WrittenEvacuations")]
pub struct Evacuations {
    /// Position of the last complete read of all orders; orders that are not stored were not in
    /// force then.
    read_at: Position,
    orders: BTreeMap<Name, Order>,
}

/// Serialized form of [`Evacuations`]; builds without eras ignore the fields that they don't know.
#[derive(Serialize, Deserialize)]
struct WrittenEvacuations {
    read_at: u64,
    orders: BTreeMap<Name, Order>,
    #[serde(default)]
    era: u64,
}

impl From<WrittenEvacuations> for Evacuations {
    fn from(written: WrittenEvacuations) -> Self {
        let WrittenEvacuations { read_at, orders, era } = written;
        Self { read_at: Position::new(era, read_at), orders }
    }
}

impl From<Evacuations> for WrittenEvacuations {
    fn from(evacuations: Evacuations) -> Self {
        let Evacuations { read_at: Position { era, revision }, orders } = evacuations;
        Self { read_at: revision, orders, era }
    }
}

impl Evacuations {
    /// Creates the state from a complete read of all orders at a position.
    pub fn from_read(changes: &[EvacuationChange], at: Position) -> Self {
        let mut read = Self { read_at: at, orders: BTreeMap::new() };
        for change in changes.iter().filter(|change| change.in_force) {
            read.store(change.data_centre.clone(), change.position, true);
        }
        read
    }

    /// Data centres whose order is in force.
    pub fn evacuated(&self) -> BTreeSet<Name> {
        let in_force = self.orders.iter().filter(|(_, order)| order.in_force);
        in_force.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Creates the state from individual orders and the position of the last complete read.
    pub(in crate::direct) fn of(
        read_at: Position,
        orders: impl Iterator<Item = (Name, Position, bool)>,
    ) -> Self {
        let order = |(name, position, in_force)| (name, Order { position, in_force });
        Self { read_at, orders: orders.map(order).collect() }
    }

    /// Completes the positions sent by a process that may not know eras; see [`Eras::resolve`].
    pub fn with_era(&self, eras: &Eras) -> Self {
        let mut resolved = self.clone();
        resolved.read_at = eras.resolve(self.read_at);
        for order in resolved.orders.values_mut() {
            order.position = eras.resolve(order.position);
        }
        resolved
    }

    /// Era of the latest known position.
    fn era(&self) -> u64 {
        let changed = self.orders.values().map(|order| order.position.era).max();
        self.read_at.era.max(changed.unwrap_or_default())
    }

    /// Whether an order is rejected because too many are kept already.
    pub fn is_rejected(&self, change: &EvacuationChange) -> bool {
        change.in_force
            && self.orders.len() >= MAX_ORDERS
            && !self.orders.contains_key(&change.data_centre)
    }

    /// Applies a change; one that is older than the known state of its data centre changes nothing.
    pub fn apply(&mut self, change: &EvacuationChange) {
        if change.position > self.known_up_to(&change.data_centre) {
            self.store(change.data_centre.clone(), change.position, change.in_force);
        }
    }

    /// Merges the state of another process, or one that was read from the store.
    pub fn merge(&mut self, other: &Self) {
        let known = self.orders.keys().chain(other.orders.keys()).cloned();
        for data_centre in known.collect::<BTreeSet<Name>>() {
            if other.known_up_to(&data_centre) <= self.known_up_to(&data_centre) {
                continue;
            }
            match other.orders.get(&data_centre) {
                Some(order) => self.store(data_centre, order.position, order.in_force),
                None => {
                    self.orders.remove(&data_centre);
                }
            }
        }
        self.read_at = self.read_at.max(other.read_at);
        let read_at = self.read_at;
        self.orders.retain(|_, order| order.in_force || order.position > read_at);
    }

    /// Position up to which the state of a data centre's order is known.
    fn known_up_to(&self, data_centre: &str) -> Position {
        let changed_at = self.orders.get(data_centre).map(|order| order.position);
        changed_at.unwrap_or_default().max(self.read_at)
    }

    /// Stores an order. If there are too many, it replaces the oldest withdrawn one; without such
    /// an order the new one is rejected.
    fn store(&mut self, data_centre: Name, position: Position, in_force: bool) {
        if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(&data_centre) {
            let withdrawn = self.orders.iter().filter(|(_, order)| !order.in_force);
            let oldest = withdrawn.min_by_key(|(_, order)| order.position);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.orders.remove(&oldest);
        }
        self.orders.insert(data_centre, Order { position, in_force });
    }
}

/// Orders that remain in force or withdrawn as they were before the store was restored from an
/// older copy.
#[derive(Debug, Default)]
pub struct UnconfirmedOrders {
    orders: BTreeMap<Name, OrderBeforeEra>,
}

/// State of an order before the era began.
#[derive(Debug)]
struct OrderBeforeEra {
    was_in_force: bool,
    /// The order in the copy; a different one has been written again since.
    in_copy: Option<Order>,
    until: Timestamp,
}

impl UnconfirmedOrders {
    /// Records a change of the known orders; `in_force` are the data centres evacuated until now.
    pub fn on_change(
        &mut self,
        in_force: &BTreeSet<Name>,
        from: &Evacuations,
        to: &Evacuations,
        now: Timestamp,
    ) {
        let is_first = *from == Evacuations::default();
        if is_first || from.era() == to.era() {
            let is_unchanged = |name: &Name, before: &OrderBeforeEra| {
                to.orders.get(name).copied() == before.in_copy
            };
            self.orders.retain(|name, before| is_unchanged(name, before));
            return;
        }
        let until = now + REWRITE_WINDOW;
        for data_centre in in_force ^ &to.evacuated() {
            let was_in_force = in_force.contains(&data_centre);
            let in_copy = to.orders.get(&data_centre).copied();
            self.orders.insert(data_centre, OrderBeforeEra { was_in_force, in_copy, until });
        }
    }

    /// Drops orders whose time to be written again has passed; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.orders.len();
        self.orders.retain(|_, order| now < order.until);
        self.orders.len() < before
    }

    /// Time at which [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.orders.values().map(|order| order.until).min()
    }

    /// Returns the data centres to evacuate, given those whose order is in force as far as is
    /// known.
    pub fn in_force(&self, mut data_centres: BTreeSet<Name>) -> BTreeSet<Name> {
        for (data_centre, order) in &self.orders {
            if order.was_in_force {
                data_centres.insert(data_centre.clone());
            } else {
                data_centres.remove(data_centre);
            }
        }
        data_centres
    }
}
