//! Cells: groups of data centres whose endpoints of batch pools have one owner.
//!
//! A single owner can fill each call from all pieces and decides for each piece in which data
//! centre it runs, but it makes every call and handles every piece, so its host is a bottleneck.
//! The cells follow data centres only where the endpoints can complete more calls than one owner
//! is to handle; a job then moves to another cell only if its own lacks capacity. All gateways
//! compute the same cells from the configuration and the endpoints' entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::direct::published::model::{Endpoint, Name, Pool, Work};

/// Full calls a second that one owner is to handle, so that it needs no more processor time than
/// the host of a gateway has to spare.
const MAX_CALLS_PER_SECOND: f64 = 220.0;
/// Shortest duration of a call that is computed with, for configurations that state none.
const MIN_CALL: Duration = Duration::from_millis(1);
/// Minimum number of endpoints of each pool in a cell; with one, its failure would leave none.
const MIN_ENDPOINTS_PER_POOL: usize = 2;
/// Name of the only cell of a deployment, and prefix of the names of several.
const SINGLE_CELL: &str = "stages";

/// The cells of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cells {
    /// Data centres by name of the cell; there is at least one cell.
    cells: BTreeMap<Name, BTreeSet<Name>>,
    by_data_centre: BTreeMap<Name, Name>,
}

impl Default for Cells {
    fn default() -> Self {
        Self {
            cells: [(SINGLE_CELL.into(), BTreeSet::new())].into(),
            by_data_centre: BTreeMap::new(),
        }
    }
}

type Counts<'a> = BTreeMap<Name, BTreeMap<&'a Name, usize>>;

impl Cells {
    /// Groups the data centres of the endpoints of batch pools. Endpoints that are leaving are
    /// included, so that cells don't change while endpoints are replaced.
    pub fn of<'a>(batch: impl Iterator<Item = (&'a Pool, &'a Endpoint)>) -> Self {
        let mut counts: Counts<'_> = BTreeMap::new();
        let mut pools: BTreeMap<&Name, &Pool> = BTreeMap::new();
        for (pool, endpoint) in batch {
            pools.insert(&pool.name, pool);
            let per_pool = counts.entry(endpoint.data_centre.clone()).or_default();
            *per_pool.entry(&pool.name).or_default() += 1;
        }
        let calls: f64 = pools.values().map(|pool| calls_per_second(pool, &counts)).sum();
        let is_split = calls > MAX_CALLS_PER_SECOND;
        let groups = if is_split { groups(&counts, &pools) } else { Vec::new() };
        if groups.len() < 2 {
            let all: BTreeSet<Name> = counts.into_keys().collect();
            return Self::new([(SINGLE_CELL.into(), all)].into());
        }
        let name = |group: &BTreeSet<Name>| {
            let first = group.first().map_or("", |first| &**first);
            format!("{SINGLE_CELL}/{first}").into()
        };
        Self::new(groups.into_iter().map(|group| (name(&group), group)).collect())
    }

    fn new(cells: BTreeMap<Name, BTreeSet<Name>>) -> Self {
        let of_cell = |(cell, data_centres): (&Name, &BTreeSet<Name>)| {
            data_centres
                .iter()
                .map(|data_centre| (data_centre.clone(), cell.clone()))
                .collect::<Vec<_>>()
        };
        let by_data_centre = cells.iter().flat_map(of_cell).collect();
        Self { cells, by_data_centre }
    }

    /// Names of the cells.
    pub fn names(&self) -> impl ExactSizeIterator<Item = &Name> {
        self.cells.keys()
    }

    /// Returns the cell of a data centre; the first cell for a data centre without endpoints.
    pub fn of_data_centre(&self, data_centre: &str) -> Name {
        let cell = self.by_data_centre.get(data_centre).or_else(|| self.names().next());
        cell.cloned().unwrap_or_else(|| SINGLE_CELL.into())
    }

    /// Whether the endpoints of a data centre belong to a cell. A single cell contains all data
    /// centres, and so does an unknown cell.
    pub fn contains(&self, cell: &str, data_centre: &str) -> bool {
        self.cells.len() == 1
            || self.cells.get(cell).is_none_or(|data_centres| data_centres.contains(data_centre))
    }
}

/// Full calls a second that the endpoints of a pool can complete.
///
/// Each data centre counts as having as many endpoints as the one with the most, so that the cells
/// remain the same while single endpoints are replaced, fail or are added.
fn calls_per_second(pool: &Pool, counts: &Counts<'_>) -> f64 {
    let Work::Batch(spec) = &pool.work else {
        return 0.0;
    };
    let most = counts.values().filter_map(|per_pool| per_pool.get(&pool.name)).max();
    let endpoints = most.copied().unwrap_or_default() * counts.len();
    let full_call = spec.full_call().max(MIN_CALL);
    endpoints as f64 * f64::from(spec.slots) / full_call.as_secs_f64()
}

/// Groups data centres so that each group has enough endpoints of every pool: one with too few is
/// joined with the next ones in the order of names.
fn groups(counts: &Counts<'_>, pools: &BTreeMap<&Name, &Pool>) -> Vec<BTreeSet<Name>> {
    let mut groups: Vec<BTreeSet<Name>> = Vec::new();
    let mut group = BTreeSet::new();
    for data_centre in counts.keys() {
        group.insert(data_centre.clone());
        let count = |pool: &Name| -> usize {
            group.iter().filter_map(|data_centre| counts[data_centre].get(pool)).sum()
        };
        if pools.keys().all(|pool| count(pool) >= MIN_ENDPOINTS_PER_POOL) {
            groups.push(std::mem::take(&mut group));
        }
    }
    match groups.last_mut() {
        Some(last) => last.extend(group),
        None => groups.push(group),
    }
    groups
}
