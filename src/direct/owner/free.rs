//! Endpoints of one pool by data centre: which are free, and how much result memory they have left.
//!
//! Updating an endpoint costs the logarithm of the number of free ones; choosing one costs the
//! number of data centres.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::direct::published::homes::{Homes, region_of};
use crate::direct::published::model::{Endpoint, Name};

/// State of one endpoint, as far as the choice of an endpoint depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    /// Free result memory in bytes.
    pub(super) room: u64,
    /// Bytes of result memory used by other owners.
    pub(super) of_others: u64,
    /// Whether the endpoint accepts a call now.
    pub(super) is_free: bool,
    /// Whether the endpoint is called only if all others of the pool are avoided, too.
    pub(super) is_avoided: bool,
}

/// An endpoint and its state.
#[derive(Debug)]
struct Listed {
    endpoint: Arc<Endpoint>,
    standing: Standing,
}

/// Endpoints that are either all avoided or all not avoided.
#[derive(Debug, Default)]
struct Class {
    count: usize,
    /// Bytes of result memory used by other owners.
    of_others: u64,
    by_data_centre: BTreeMap<Name, Local>,
}

/// Endpoints of one class in one data centre.
#[derive(Debug, Default)]
struct Local {
    region: Option<String>,
    count: usize,
    /// Free endpoints, ordered by free result memory in bytes.
    free: BTreeSet<(u64, Name)>,
}

impl Class {
    fn add(&mut self, listed: &Listed) {
        let (endpoint, standing) = (&listed.endpoint, listed.standing);
        self.count += 1;
        self.of_others += standing.of_others;
        let local = self.by_data_centre.entry(endpoint.data_centre.clone()).or_default();
        local.count += 1;
        local.region = region_of(endpoint).map(str::to_owned);
        if standing.is_free {
            local.free.insert((standing.room, endpoint.id.clone()));
        }
    }

    fn remove(&mut self, listed: &Listed) {
        let (endpoint, standing) = (&listed.endpoint, listed.standing);
        self.count -= 1;
        self.of_others -= standing.of_others;
        let Some(local) = self.by_data_centre.get_mut(&endpoint.data_centre) else {
            return;
        };
        local.count -= 1;
        if standing.is_free {
            local.free.remove(&(standing.room, endpoint.id.clone()));
        }
        if local.count == 0 {
            self.by_data_centre.remove(&endpoint.data_centre);
        }
    }
}

/// The endpoints of one pool that are not leaving.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    listed: HashMap<Name, Listed>,
    usable: Class,
    avoided: Class,
}

impl Endpoints {
    /// Adds an endpoint, or updates its state.
    pub(super) fn set(&mut self, endpoint: Arc<Endpoint>, standing: Standing) {
        self.remove(&endpoint.id);
        let listed = Listed { endpoint, standing };
        self.class_mut(standing.is_avoided).add(&listed);
        self.listed.insert(listed.endpoint.id.clone(), listed);
    }

    /// Removes an endpoint that accepts no calls now.
    pub(super) fn remove(&mut self, id: &Name) {
        if let Some(listed) = self.listed.remove(id) {
            self.class_mut(listed.standing.is_avoided).remove(&listed);
        }
    }

    const fn class_mut(&mut self, is_avoided: bool) -> &mut Class {
        if is_avoided { &mut self.avoided } else { &mut self.usable }
    }

    /// The endpoints in use: those that are not avoided, or all if every one is avoided.
    const fn used(&self) -> &Class {
        if self.usable.count > 0 { &self.usable } else { &self.avoided }
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.listed.get(id).map(|l| &l.endpoint)
    }

    /// Bytes of result memory that other owners use at the endpoints in use.
    pub(super) const fn of_others(&self) -> u64 {
        self.used().of_others
    }

    /// Number of endpoints in use in a data centre.
    pub(super) fn count_in(&self, data_centre: &str) -> usize {
        self.used().by_data_centre.get(data_centre).map_or(0, |local| local.count)
    }

    /// Number of endpoints in a data centre, including avoided ones.
    pub(super) fn listed_in(&self, data_centre: &str) -> usize {
        let classes = [&self.usable, &self.avoided];
        let local = |class: &Class| Some(class.by_data_centre.get(data_centre)?.count);
        classes.into_iter().filter_map(local).sum()
    }

    /// Number of endpoints in use in the allowed regions.
    pub(super) fn count_at(&self, homes: &Homes) -> usize {
        self.locals_at(homes).map(|local| local.count).sum()
    }

    /// Data centres that have endpoints in use.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.used().by_data_centre.keys()
    }

    /// Whether a data centre lies in the allowed regions; false if it has no endpoints in use.
    pub(super) fn is_at(&self, data_centre: &str, homes: &Homes) -> bool {
        let local = self.used().by_data_centre.get(data_centre);
        local.is_some_and(|local| homes.have_region(local.region.as_deref()))
    }

    fn locals_at<'a>(&'a self, homes: &'a Homes) -> impl Iterator<Item = &'a Local> {
        let locals = self.used().by_data_centre.values();
        locals.filter(|local| homes.have_region(local.region.as_deref()))
    }

    /// Whether an endpoint in use is free in a data centre.
    pub(super) fn is_free_in(&self, data_centre: &str) -> bool {
        let local = self.used().by_data_centre.get(data_centre);
        local.is_some_and(|local| !local.free.is_empty())
    }

    /// Whether any endpoint in use is free.
    pub(super) fn is_free(&self) -> bool {
        self.used().by_data_centre.values().any(|local| !local.free.is_empty())
    }

    /// The free endpoint with the most free memory in a data centre, with its free memory, if that
    /// is at least `bytes`.
    pub(super) fn roomiest_in(
        &self,
        data_centre: &str,
        bytes: u64,
    ) -> Option<(u64, &Arc<Endpoint>)> {
        let local = self.used().by_data_centre.get(data_centre)?;
        self.found(local.free.last()?, bytes)
    }

    /// The free endpoint with the most free memory in the allowed regions, with its free memory, if
    /// that is at least `bytes`.
    pub(super) fn roomiest_at(&self, homes: &Homes, bytes: u64) -> Option<(u64, &Arc<Endpoint>)> {
        self.found(self.locals_at(homes).filter_map(|local| local.free.last()).max()?, bytes)
    }

    fn found(&self, (room, id): &(u64, Name), bytes: u64) -> Option<(u64, &Arc<Endpoint>)> {
        (*room >= bytes).then_some((*room, self.get(id)?))
    }

    /// Free result memory of the free endpoints in use, by endpoint id.
    pub(super) fn all_free(&self) -> BTreeMap<Name, u64> {
        let locals = self.used().by_data_centre.values();
        locals.flat_map(|local| &local.free).map(|(room, id)| (id.clone(), *room)).collect()
    }
}
