//! Lookup tables compiled from a configuration and the list of endpoints.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::direct::departures::Departure;
use crate::direct::published::cells::Cells;
use crate::direct::published::model::{
    BatchSpec, Deployment, Endpoint, Name, Organisation, Pool, Route, Work,
};

/// The compiled configuration and endpoints of a process; rebuilt for a new configuration, and
/// updated endpoint by endpoint.
#[derive(Debug, Default)]
pub struct Table {
    /// The configuration.
    pub deployment: Arc<Deployment>,
    /// Indexes of the routes of each host, the longest path prefix first.
    by_host: HashMap<Name, Vec<usize>>,
    by_key: HashMap<Name, usize>,
    /// Endpoints of each pool ordered by id, including those that are leaving.
    by_pool: HashMap<Name, Vec<Arc<Endpoint>>>,
    /// Endpoints that are in at least one pool.
    by_id: HashMap<Name, Arc<Endpoint>>,
    /// Data centres whose endpoints get no new work, whatever their entries say.
    evacuated: BTreeSet<Name>,
    /// Incarnations that announced in a response that they are leaving, whatever their entries say.
    departed: BTreeSet<Departure>,
    cells: Cells,
}

impl Table {
    /// Compiles a configuration and endpoints.
    pub fn new<'a>(
        deployment: Arc<Deployment>,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Self {
        let mut by_host: HashMap<Name, Vec<usize>> = HashMap::new();
        for (i, route) in deployment.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(i);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(deployment.routes[i].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (i, organisation) in deployment.organisations.iter().enumerate() {
            by_key.extend(organisation.keys.iter().map(|k| (k.clone(), i)));
        }
        let mut table = Self { deployment, by_host, by_key, ..Self::default() };
        for endpoint in endpoints {
            table.replace_endpoint(&endpoint.id, Some(endpoint));
        }
        table.rebuild_cells();
        table
    }

    /// Compiles another configuration; evacuations and departures remain in force.
    pub fn with_deployment<'a>(
        &self,
        deployment: Arc<Deployment>,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Self {
        let mut table = Self::new(deployment, [].into_iter());
        table.evacuated.clone_from(&self.evacuated);
        table.departed.clone_from(&self.departed);
        for endpoint in endpoints {
            table.replace_endpoint(&endpoint.id, Some(endpoint));
        }
        table.rebuild_cells();
        table
    }

    /// Replaces the set of evacuated data centres; `endpoints` are the known ones, which are added
    /// again.
    pub fn set_evacuated<'a>(
        &mut self,
        evacuated: BTreeSet<Name>,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) {
        self.evacuated = evacuated;
        for endpoint in endpoints {
            self.replace_endpoint(&endpoint.id, Some(endpoint));
        }
        self.rebuild_cells();
    }

    /// Marks an incarnation of an endpoint as leaving: it gets no new work, even if its entry is
    /// added later or again.
    pub fn mark_departed(&mut self, departure: Departure, endpoint: Option<&Arc<Endpoint>>) {
        let id = departure.endpoint.clone();
        self.departed.insert(departure);
        self.replace_endpoint(&id, endpoint);
        self.rebuild_cells();
    }

    /// Drops departures for which `is_kept` returns `false`.
    pub fn retain_departures(&mut self, is_kept: impl FnMut(&Departure) -> bool) {
        self.departed.retain(is_kept);
    }

    /// Returns an endpoint as it may be used: one that announced its departure or that is in an
    /// evacuated data centre is marked as leaving, as if its entry said so.
    fn usable(&self, endpoint: &Arc<Endpoint>) -> Arc<Endpoint> {
        let accepts_none = self.evacuated.contains(&endpoint.data_centre)
            || !self.departed.is_empty() && self.departed.contains(&Departure::of(endpoint));
        if endpoint.leaving || !accepts_none {
            return endpoint.clone();
        }
        Arc::new(Endpoint { leaving: true, ..(**endpoint).clone() })
    }

    /// Recomputes the cells after endpoints were replaced.
    pub fn rebuild_cells(&mut self) {
        let batch = self.deployment.pools.iter().filter(|p| matches!(p.work, Work::Batch(_)));
        let members =
            batch.flat_map(|p| self.pool_endpoints(&p.name).iter().map(move |e| (p, &**e)));
        self.cells = Cells::of(members);
    }

    /// The cells of the endpoints of batch pools.
    pub const fn cells(&self) -> &Cells {
        &self.cells
    }

    /// Adds, changes or (with `None`) removes an endpoint; routes and keys are unchanged.
    pub fn replace_endpoint(&mut self, id: &Name, endpoint: Option<&Arc<Endpoint>>) {
        let endpoint = endpoint.map(|endpoint| self.usable(endpoint));
        self.by_id.remove(id);
        for pool in &self.deployment.pools {
            let members = self.by_pool.entry(pool.name.clone()).or_default();
            let place = members.binary_search_by(|m| m.id.cmp(id));
            if let Ok(at) = place {
                members.remove(at);
            }
            let member = endpoint.as_ref().filter(|e| pool.endpoints.matches(&e.labels));
            if let Some(member) = member {
                let (Ok(at) | Err(at)) = place;
                members.insert(at, member.clone());
                self.by_id.insert(id.clone(), member.clone());
            }
        }
    }

    /// Whether there is a configuration.
    pub fn is_configured(&self) -> bool {
        self.deployment.version > 0
    }

    /// Returns the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let routes = routes.iter().map(|&i| &self.deployment.routes[i]);
        routes.into_iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|&i| &self.deployment.organisations[i])
    }

    /// The endpoints of a pool, including those that are leaving.
    pub fn pool_endpoints(&self, pool: &str) -> &[Arc<Endpoint>] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.deployment.pool(name)
    }

    /// Returns the specification of a pool's batch calls, if the pool runs batch calls.
    pub fn batch_spec(&self, pool: &str) -> Option<&BatchSpec> {
        match &self.pool(pool)?.work {
            Work::Batch(spec) => Some(spec),
            Work::Plain | Work::Engine(_) => None,
        }
    }

    /// Names of the batch pools that contain an endpoint.
    pub fn batch_pools_of(&self, id: &str) -> impl Iterator<Item = &Name> {
        let endpoint = self.endpoint(id);
        let pools = self.deployment.pools.iter().filter(|p| matches!(p.work, Work::Batch(_)));
        let has = move |p: &&Pool| endpoint.is_some_and(|e| p.endpoints.matches(&e.labels));
        pools.filter(has).map(|p| &p.name)
    }

    /// Returns the batch specification for an endpoint, if it is in a batch pool.
    pub fn batch_spec_of(&self, id: &str) -> Option<&BatchSpec> {
        self.batch_spec(self.batch_pools_of(id).next()?)
    }

    /// Returns the endpoint with this id, if it is in a pool.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }
}
