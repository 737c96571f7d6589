//! The endpoints of one pool: which are free, with how much room, and where.
//!
//! A change of one endpoint costs the logarithm of the free ones; to choose one costs the number of data
//! centres.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::direct::published::homes::{Homes, region_of};
use crate::direct::published::model::{Endpoint, Name};

/// How one endpoint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    /// Bytes for results that are left.
    pub(super) room: u64,
    /// Bytes that others use.
    pub(super) of_others: u64,
    /// Whether it takes a call now.
    pub(super) is_free: bool,
    /// Whether it is called only where nothing else is left.
    pub(super) is_avoided: bool,
}

#[derive(Debug)]
struct Listed {
    endpoint: Arc<Endpoint>,
    standing: Standing,
}

/// Endpoints alike in whether they are avoided.
#[derive(Debug, Default)]
struct Class {
    count: usize,
    /// Bytes that others use at them.
    of_others: u64,
    by_data_centre: BTreeMap<Name, Local>,
}

/// Those in one data centre.
#[derive(Debug, Default)]
struct Local {
    region: Option<String>,
    count: usize,
    /// Free ones, by room.
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
    /// Lists an endpoint, or takes in how it stands now.
    pub(super) fn set(&mut self, endpoint: Arc<Endpoint>, standing: Standing) {
        self.remove(&endpoint.id);
        let listed = Listed { endpoint, standing };
        self.class_mut(standing.is_avoided).add(&listed);
        self.listed.insert(listed.endpoint.id.clone(), listed);
    }

    /// An endpoint takes nothing now.
    pub(super) fn remove(&mut self, id: &Name) {
        if let Some(listed) = self.listed.remove(id) {
            self.class_mut(listed.standing.is_avoided).remove(&listed);
        }
    }

    const fn class_mut(&mut self, is_avoided: bool) -> &mut Class {
        if is_avoided { &mut self.avoided } else { &mut self.usable }
    }

    /// Those that take work; avoided ones only where nothing else is left.
    const fn used(&self) -> &Class {
        if self.usable.count > 0 { &self.usable } else { &self.avoided }
    }

    /// The endpoint of this id.
    pub(super) fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.listed.get(id).map(|l| &l.endpoint)
    }

    /// Bytes that others use at those that take work.
    pub(super) const fn of_others(&self) -> u64 {
        self.used().of_others
    }

    /// How many take work in a data centre.
    pub(super) fn count_in(&self, data_centre: &str) -> usize {
        self.used().by_data_centre.get(data_centre).map_or(0, |local| local.count)
    }

    /// How many there are in a data centre, avoided ones too.
    pub(super) fn listed_in(&self, data_centre: &str) -> usize {
        let classes = [&self.usable, &self.avoided];
        let local = |class: &Class| Some(class.by_data_centre.get(data_centre)?.count);
        classes.into_iter().filter_map(local).sum()
    }

    /// How many take work in some regions.
    pub(super) fn count_at(&self, homes: &Homes) -> usize {
        self.locals_at(homes).map(|local| local.count).sum()
    }

    /// Data centres with an endpoint that takes work.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.used().by_data_centre.keys()
    }

    /// Whether a data centre lies in some regions; of one without endpoints that is not known.
    pub(super) fn is_at(&self, data_centre: &str, homes: &Homes) -> bool {
        let local = self.used().by_data_centre.get(data_centre);
        local.is_some_and(|local| homes.have_region(local.region.as_deref()))
    }

    fn locals_at<'a>(&'a self, homes: &'a Homes) -> impl Iterator<Item = &'a Local> {
        let locals = self.used().by_data_centre.values();
        locals.filter(|local| homes.have_region(local.region.as_deref()))
    }

    /// Whether one is free in a data centre.
    pub(super) fn is_free_in(&self, data_centre: &str) -> bool {
        let local = self.used().by_data_centre.get(data_centre);
        local.is_some_and(|local| !local.free.is_empty())
    }

    /// Whether one is free.
    pub(super) fn is_free(&self) -> bool {
        self.used().by_data_centre.values().any(|local| !local.free.is_empty())
    }

    /// The free one with most room in a data centre, if it has `bytes`.
    pub(super) fn roomiest_in(
        &self,
        data_centre: &str,
        bytes: u64,
    ) -> Option<(u64, &Arc<Endpoint>)> {
        let local = self.used().by_data_centre.get(data_centre)?;
        self.found(local.free.last()?, bytes)
    }

    /// The free one with most room in some regions, if it has `bytes`.
    pub(super) fn roomiest_at(&self, homes: &Homes, bytes: u64) -> Option<(u64, &Arc<Endpoint>)> {
        self.found(self.locals_at(homes).filter_map(|local| local.free.last()).max()?, bytes)
    }

    fn found(&self, (room, id): &(u64, Name), bytes: u64) -> Option<(u64, &Arc<Endpoint>)> {
        (*room >= bytes).then_some((*room, self.get(id)?))
    }

    /// The free ones that take work, with their room, by id.
    pub(super) fn all_free(&self) -> BTreeMap<Name, u64> {
        let locals = self.used().by_data_centre.values();
        locals.flat_map(|local| &local.free).map(|(room, id)| (id.clone(), *room)).collect()
    }
}
