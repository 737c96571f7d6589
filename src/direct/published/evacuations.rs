//! Orders to evacuate data centres, merged from the publisher's store and from other gateways.
//!
//! An order stands until the operator takes it back. What is known of each data centre is as old as a
//! position in the store's history: that of the order's last change, or of the last read of all orders. Of two
//! accounts the newer one holds, for each data centre by itself, so accounts merge in any order, and an
//! order that was taken back does not return with a gateway that has not heard of it.
//!
//! Where an era begins with an older copy, orders go on as they were in force before ([`Unconfirmed`]) until they are
//! written again or were due to be.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::direct::published::documents::WRITTEN_AGAIN_WITHIN;
use crate::direct::published::model::Name;
use crate::direct::published::position::{Eras, Position};
use crate::message::Timestamp;

/// Data centres of which orders are kept at most: some may name places that nobody knows.
const MOST: usize = 64;

/// One change: an order was given or taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre that gets no new work.
    pub data_centre: Name,
    /// Where the change stands in the store's history.
    pub position: Position,
    /// Whether the order stands since.
    pub stands: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenOrder", into = "WrittenOrder")]
struct Order {
    position: Position,
    stands: bool,
}

/// How it is written: builds that know no eras read what they know of it.
#[derive(Serialize, Deserialize)]
struct WrittenOrder {
    revision: u64,
    stands: bool,
    #[serde(default)]
    era: u64,
}

impl From<WrittenOrder> for Order {
    fn from(written: WrittenOrder) -> Self {
        let WrittenOrder { revision, stands, era } = written;
        Self { position: Position::new(era, revision), stands }
    }
}

impl From<Order> for WrittenOrder {
    fn from(order: Order) -> Self {
        let Order { position: Position { era, revision }, stands } = order;
        Self { revision, stands, era }
    }
}

/// What one process knows of the orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WrittenEvacuations", into = "WrittenEvacuations")]
pub struct Evacuations {
    /// All orders were read here: one that is not kept did not stand then.
    read_at: Position,
    orders: BTreeMap<Name, Order>,
}

/// How it is written: builds that know no eras read what they know of it.
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
    /// All orders as they stood at a position.
    pub fn read(changes: &[Evacuation], at: Position) -> Self {
        let mut read = Self { read_at: at, orders: BTreeMap::new() };
        for change in changes.iter().filter(|change| change.stands) {
            read.keep(change.data_centre.clone(), change.position, true);
        }
        read
    }

    /// Data centres whose order stands.
    pub fn standing(&self) -> BTreeSet<Name> {
        let standing = self.orders.iter().filter(|(_, order)| order.stands);
        standing.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Some orders, and where all were read.
    pub(in crate::direct) fn of(
        read_at: Position,
        orders: impl Iterator<Item = (Name, Position, bool)>,
    ) -> Self {
        let order = |(name, position, stands)| (name, Order { position, stands });
        Self { read_at, orders: orders.map(order).collect() }
    }

    /// The account of a process that may know of no eras; see [`Eras::adopt`].
    pub fn adopted(&self, eras: &Eras) -> Self {
        let mut adopted = self.clone();
        adopted.read_at = eras.adopt(self.read_at);
        for order in adopted.orders.values_mut() {
            order.position = eras.adopt(order.position);
        }
        adopted
    }

    /// The era of the latest that is known.
    fn era(&self) -> u64 {
        let changed = self.orders.values().map(|order| order.position.era).max();
        self.read_at.era.max(changed.unwrap_or_default())
    }

    /// Whether an order that stands was not taken, since there are too many.
    pub fn left_out(&self, change: &Evacuation) -> bool {
        change.stands && self.orders.len() >= MOST && !self.orders.contains_key(&change.data_centre)
    }

    /// Takes in a change; one that is older than what is known changes nothing.
    pub fn change(&mut self, change: &Evacuation) {
        if change.position > self.known_at(&change.data_centre) {
            self.keep(change.data_centre.clone(), change.position, change.stands);
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
                Some(order) => self.keep(data_centre, order.position, order.stands),
                None => {
                    self.orders.remove(&data_centre);
                }
            }
        }
        self.read_at = self.read_at.max(other.read_at);
        let read_at = self.read_at;
        self.orders.retain(|_, order| order.stands || order.position > read_at);
    }

    /// Up to where it is known how the order for a data centre stands.
    fn known_at(&self, data_centre: &str) -> Position {
        let changed_at = self.orders.get(data_centre).map(|order| order.position);
        changed_at.unwrap_or_default().max(self.read_at)
    }

    /// Keeps an order; where there are too many, the oldest that was taken back gives way, and without
    /// such the new one is not taken.
    fn keep(&mut self, data_centre: Name, position: Position, stands: bool) {
        if self.orders.len() >= MOST && !self.orders.contains_key(&data_centre) {
            let taken_back = self.orders.iter().filter(|(_, order)| !order.stands);
            let oldest = taken_back.min_by_key(|(_, order)| order.position);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.orders.remove(&oldest);
        }
        self.orders.insert(data_centre, Order { position, stands });
    }
}

/// Orders that go on as they were in force before an era began with an older copy.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    orders: BTreeMap<Name, Before>,
}

/// How an order was in force.
#[derive(Debug)]
struct Before {
    stood: bool,
    /// What the copy says of it: what differs from that was written again.
    copied: Option<Order>,
    until: Timestamp,
}

impl Unconfirmed {
    /// What is known changed from one account to another, of which `in_force` was obeyed until now.
    pub fn changed(
        &mut self,
        in_force: &BTreeSet<Name>,
        from: &Evacuations,
        to: &Evacuations,
        now: Timestamp,
    ) {
        let is_first = *from == Evacuations::default();
        if is_first || from.era() == to.era() {
            let is_as_copied =
                |name: &Name, before: &Before| to.orders.get(name).copied() == before.copied;
            self.orders.retain(|name, before| is_as_copied(name, before));
            return;
        }
        let until = now + WRITTEN_AGAIN_WITHIN;
        for data_centre in in_force ^ &to.standing() {
            let stood = in_force.contains(&data_centre);
            let copied = to.orders.get(&data_centre).copied();
            self.orders.insert(data_centre, Before { stood, copied, until });
        }
    }

    /// Forgets orders that were due to be written again; says whether any was.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.orders.len();
        self.orders.retain(|_, order| now < order.until);
        self.orders.len() < before
    }

    /// When [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.orders.values().map(|order| order.until).min()
    }

    /// What is to be obeyed of some orders that stand.
    pub fn in_force(&self, mut standing: BTreeSet<Name>) -> BTreeSet<Name> {
        for (data_centre, order) in &self.orders {
            if order.stood {
                standing.insert(data_centre.clone());
            } else {
                standing.remove(data_centre);
            }
        }
        standing
    }
}
