//! Cells: data centres whose endpoints of batch pools have one owner.
//!
//! One owner has all pieces to fill calls with, and is one host to lose and to wear out: it makes every call
//! and hears of every piece. So a small deployment is one cell, and a large one has a cell for each data
//! centre, between which a job moves only if its own is short. With 120 endpoints and 620 requests a second
//! the busiest gateway took 0.12 of a core with one owner, 0.03 with six.

use std::collections::{BTreeMap, BTreeSet};

use crate::direct::published::model::{Endpoint, Name, Pool};

/// From so many endpoints of batch pools on, cells follow data centres. With calls of 0.3 s they end 300 a
/// second, by calculation; fleets of 53 and of 120 were measured, none between.
const ONE_OWNER: usize = 90;
/// A cell has so many endpoints of each pool at least: with one, its loss would leave none.
const FEWEST: usize = 2;
/// The name of a cell that is alone.
const ALONE: &str = "stages";

/// The cells of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cells {
    /// By name; at least one.
    cells: BTreeMap<Name, BTreeSet<Name>>,
    by_data_centre: BTreeMap<Name, Name>,
}

impl Default for Cells {
    fn default() -> Self {
        Self { cells: [(ALONE.into(), BTreeSet::new())].into(), by_data_centre: BTreeMap::new() }
    }
}

type Counts<'a> = BTreeMap<Name, BTreeMap<&'a Name, usize>>;

impl Cells {
    /// Groups the data centres of endpoints that work in batches. Leaving ones count: cells don't change
    /// while endpoints are replaced.
    pub fn of<'a>(batch: impl Iterator<Item = (&'a Pool, &'a Endpoint)>) -> Self {
        let mut counts: Counts<'_> = BTreeMap::new();
        for (pool, endpoint) in batch {
            let here = counts.entry(endpoint.data_centre.clone()).or_default();
            *here.entry(&pool.name).or_default() += 1;
        }
        let pools: BTreeSet<&Name> =
            counts.values().flat_map(|here| here.keys().copied()).collect();
        let all: usize = counts.values().flat_map(|here| here.values()).sum();
        let groups = if all < ONE_OWNER { Vec::new() } else { groups(&counts, &pools) };
        if groups.len() < 2 {
            let all: BTreeSet<Name> = counts.into_keys().collect();
            return Self::new([(ALONE.into(), all)].into());
        }
        let name = |group: &BTreeSet<Name>| {
            let first = group.first().map_or("", |first| &**first);
            format!("{ALONE}/{first}").into()
        };
        Self::new(groups.into_iter().map(|group| (name(&group), group)).collect())
    }

    fn new(cells: BTreeMap<Name, BTreeSet<Name>>) -> Self {
        let of_cell = |(cell, places): (&Name, &BTreeSet<Name>)| {
            places.iter().map(|place| (place.clone(), cell.clone())).collect::<Vec<_>>()
        };
        let by_data_centre = cells.iter().flat_map(of_cell).collect();
        Self { cells, by_data_centre }
    }

    /// Their names.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &Name> {
        self.cells.keys()
    }

    /// The cell of a data centre; of one without endpoints, the first one.
    pub fn of_data_centre(&self, data_centre: &str) -> Name {
        let cell = self.by_data_centre.get(data_centre).or_else(|| self.names().next());
        cell.cloned().unwrap_or_else(|| ALONE.into())
    }

    /// Whether the endpoints of a data centre belong to a cell; one that is alone has all.
    pub fn has(&self, cell: &str, data_centre: &str) -> bool {
        self.cells.len() == 1
            || self.cells.get(cell).is_none_or(|places| places.contains(data_centre))
    }
}

/// Data centres by themselves, or with their neighbours in the order of names where they lack endpoints.
fn groups(counts: &Counts<'_>, pools: &BTreeSet<&Name>) -> Vec<BTreeSet<Name>> {
    let mut groups: Vec<BTreeSet<Name>> = Vec::new();
    let mut open = BTreeSet::new();
    for place in counts.keys() {
        open.insert(place.clone());
        let count = |pool: &Name| -> usize {
            open.iter().filter_map(|place| counts[place].get(pool)).sum()
        };
        if pools.iter().all(|pool| count(pool) >= FEWEST) {
            groups.push(std::mem::take(&mut open));
        }
    }
    match groups.last_mut() {
        Some(last) => last.extend(open),
        None => groups.push(open),
    }
    groups
}
