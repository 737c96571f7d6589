//! Endpoints of one pool by data centre: which are free, and how much result memory they have left.
//!
//! Updating an endpoint costs the logarithm of the number of free ones; choosing one costs the
//! number of data centres.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::regions::{AllowedRegions, region_of};

/// State of one endpoint, as far as the choice of an endpoint depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndpointState {
    /// Free result memory in bytes.
    pub(super) free_bytes: u64,
    /// Bytes of result memory used by other owners.
    pub(super) used_by_others: u64,
    /// Whether the endpoint accepts a call now.
    pub(super) is_free: bool,
    /// Whether the endpoint is called only if all others of the pool are avoided, too.
    pub(super) is_avoided: bool,
}

/// An endpoint and its state.
#[derive(Debug)]
struct Listed {
    endpoint: Arc<Endpoint>,
    state: EndpointState,
}

/// Endpoints that are either all avoided or all not avoided.
#[derive(Debug, Default)]
struct EndpointClass {
    count: usize,
    /// Bytes of result memory used by other owners.
    used_by_others: u64,
    by_data_centre: BTreeMap<Name, DataCentreEndpoints>,
}

/// Endpoints of one class in one data centre.
#[derive(Debug, Default)]
struct DataCentreEndpoints {
    region: Option<String>,
    count: usize,
    /// Free endpoints, ordered by free result memory in bytes.
    free: BTreeSet<(u64, Name)>,
}

impl EndpointClass {
    fn add(&mut self, listed: &Listed) {
        let (endpoint, state) = (&listed.endpoint, listed.state);
        self.count += 1;
        self.used_by_others += state.used_by_others;
        let local = self.by_data_centre.entry(endpoint.data_centre.clone()).or_default();
        local.count += 1;
        local.region = region_of(endpoint).map(str::to_owned);
        if state.is_free {
            local.free.insert((state.free_bytes, endpoint.id.clone()));
        }
    }

    fn remove(&mut self, listed: &Listed) {
        let (endpoint, state) = (&listed.endpoint, listed.state);
        self.count -= 1;
        self.used_by_others -= state.used_by_others;
        let Some(local) = self.by_data_centre.get_mut(&endpoint.data_centre) else {
            return;
        };
        local.count -= 1;
        if state.is_free {
            local.free.remove(&(state.free_bytes, endpoint.id.clone()));
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
    usable: EndpointClass,
    avoided: EndpointClass,
}

impl Endpoints {
    /// Adds an endpoint, or updates its state.
    pub(super) fn set(&mut self, endpoint: Arc<Endpoint>, state: EndpointState) {
        self.remove(&endpoint.id);
        let listed = Listed { endpoint, state };
        self.class_mut(state.is_avoided).add(&listed);
        self.listed.insert(listed.endpoint.id.clone(), listed);
    }

    /// Removes an endpoint that accepts no calls now.
    pub(super) fn remove(&mut self, id: &Name) {
        if let Some(listed) = self.listed.remove(id) {
            self.class_mut(listed.state.is_avoided).remove(&listed);
        }
    }

    const fn class_mut(&mut self, is_avoided: bool) -> &mut EndpointClass {
        if is_avoided { &mut self.avoided } else { &mut self.usable }
    }

    /// The endpoints in use: those that are not avoided, or all if every one is avoided.
    const fn in_use(&self) -> &EndpointClass {
        if self.usable.count > 0 { &self.usable } else { &self.avoided }
    }

    pub(super) fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.listed.get(id).map(|l| &l.endpoint)
    }

    /// Bytes of result memory that other owners use at the endpoints in use.
    pub(super) const fn used_by_others(&self) -> u64 {
        self.in_use().used_by_others
    }

    /// Number of endpoints in use in a data centre.
    pub(super) fn count_in(&self, data_centre: &str) -> usize {
        self.in_use().by_data_centre.get(data_centre).map_or(0, |local| local.count)
    }

    /// Number of endpoints in a data centre, including avoided ones.
    pub(super) fn listed_in(&self, data_centre: &str) -> usize {
        let classes = [&self.usable, &self.avoided];
        let local = |class: &EndpointClass| Some(class.by_data_centre.get(data_centre)?.count);
        classes.into_iter().filter_map(local).sum()
    }

    /// Number of endpoints in use in the allowed regions.
    pub(super) fn count_in_regions(&self, allowed_regions: &AllowedRegions) -> usize {
        self.in_regions(allowed_regions).map(|local| local.count).sum()
    }

    /// Data centres that have endpoints in use.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.in_use().by_data_centre.keys()
    }

    /// Whether a data centre lies in the allowed regions; false if it has no endpoints in use.
    pub(super) fn is_allowed(&self, data_centre: &str, allowed_regions: &AllowedRegions) -> bool {
        let local = self.in_use().by_data_centre.get(data_centre);
        local.is_some_and(|local| allowed_regions.allows_region(local.region.as_deref()))
    }

    /// Region of a data centre, if that is known and it has endpoints in use.
    pub(super) fn region_of(&self, data_centre: &str) -> Option<&str> {
        self.in_use().by_data_centre.get(data_centre)?.region.as_deref()
    }

    fn in_regions<'a>(
        &'a self,
        allowed_regions: &'a AllowedRegions,
    ) -> impl Iterator<Item = &'a DataCentreEndpoints> {
        let locals = self.in_use().by_data_centre.values();
        locals.filter(|local| allowed_regions.allows_region(local.region.as_deref()))
    }

    /// Number of free endpoints in use in a data centre.
    pub(super) fn free_in(&self, data_centre: &str) -> usize {
        self.in_use().by_data_centre.get(data_centre).map_or(0, |local| local.free.len())
    }

    /// Whether an endpoint is one of those in use.
    pub(super) fn is_in_use(&self, id: &str) -> bool {
        let has_usable = self.usable.count > 0;
        self.listed.get(id).is_some_and(|listed| listed.state.is_avoided != has_usable)
    }

    /// Whether any endpoint in use is free.
    pub(super) fn is_free(&self) -> bool {
        self.in_use().by_data_centre.values().any(|local| !local.free.is_empty())
    }

    /// The free endpoint with the most free memory in a data centre, with its free memory, if that
    /// is at least `bytes`.
    pub(super) fn most_free_in(
        &self,
        data_centre: &str,
        bytes: u64,
    ) -> Option<(u64, &Arc<Endpoint>)> {
        let local = self.in_use().by_data_centre.get(data_centre)?;
        self.with_free_bytes(local.free.last()?, bytes)
    }

    /// The free endpoint with the most free memory in the allowed regions, with its free memory, if
    /// that is at least `bytes`.
    pub(super) fn most_free_in_regions(
        &self,
        allowed_regions: &AllowedRegions,
        bytes: u64,
    ) -> Option<(u64, &Arc<Endpoint>)> {
        self.with_free_bytes(
            self.in_regions(allowed_regions).filter_map(|local| local.free.last()).max()?,
            bytes,
        )
    }

    fn with_free_bytes(
        &self,
        (free_bytes, id): &(u64, Name),
        bytes: u64,
    ) -> Option<(u64, &Arc<Endpoint>)> {
        (*free_bytes >= bytes).then_some((*free_bytes, self.get(id)?))
    }

    /// Free result memory of the free endpoints in use, by endpoint id.
    pub(super) fn all_free(&self) -> BTreeMap<Name, u64> {
        let locals = self.in_use().by_data_centre.values();
        locals
            .flat_map(|local| &local.free)
            .map(|(free_bytes, id)| (id.clone(), *free_bytes))
            .collect()
    }
}
