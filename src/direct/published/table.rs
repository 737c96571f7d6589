//! A configuration and the list of endpoints, compiled for lookups.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::direct::departures::Departure;
use crate::direct::published::cells::Cells;
use crate::direct::published::model::{
    BatchSpec, Deployment, Endpoint, Name, Organisation, Pool, Route, Work,
};

/// What a process knows, compiled; replaced as a whole with the configuration, and by endpoint.
#[derive(Debug, Default)]
pub struct Table {
    /// The configuration.
    pub deployment: Arc<Deployment>,
    /// Routes of a host, the longest path prefix first.
    by_host: HashMap<Name, Vec<usize>>,
    by_key: HashMap<Name, usize>,
    /// Members of each pool by their ids, also leaving ones.
    members: HashMap<Name, Vec<Arc<Endpoint>>>,
    /// Members of any pool.
    by_id: HashMap<Name, Arc<Endpoint>>,
    /// Data centres whose endpoints take no new work, whatever they say.
    evacuated: BTreeSet<Name>,
    /// Lives that said in answers that they leave, whatever the list says of them.
    departed: BTreeSet<Departure>,
    cells: Cells,
}

impl Table {
    /// Compiles.
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
            table.replace(&endpoint.id, Some(endpoint));
        }
        table.regroup();
        table
    }

    /// Compiles anew with another configuration; the endpoints of evacuated data centres still get nothing.
    pub fn with_deployment<'a>(
        &self,
        deployment: Arc<Deployment>,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Self {
        let mut table = Self::new(deployment, [].into_iter());
        table.evacuated.clone_from(&self.evacuated);
        table.departed.clone_from(&self.departed);
        for endpoint in endpoints {
            table.replace(&endpoint.id, Some(endpoint));
        }
        table.regroup();
        table
    }

    /// Orders to evacuate data centres changed: `endpoints` are entered anew.
    pub fn evacuate<'a>(
        &mut self,
        evacuated: BTreeSet<Name>,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) {
        self.evacuated = evacuated;
        for endpoint in endpoints {
            self.replace(&endpoint.id, Some(endpoint));
        }
        self.regroup();
    }

    /// A life of an endpoint leaves: it takes no new work, also if it is entered later or once more.
    pub fn depart(&mut self, departure: Departure, endpoint: Option<&Arc<Endpoint>>) {
        let id = departure.endpoint.clone();
        self.departed.insert(departure);
        self.replace(&id, endpoint);
        self.regroup();
    }

    /// Forgets departures that are not kept any more.
    pub fn forget_departed(&mut self, is_kept: impl FnMut(&Departure) -> bool) {
        self.departed.retain(is_kept);
    }

    /// An endpoint as it may be used: one that said that it leaves, and one in an evacuated data centre, takes no new
    /// work, as if the list said so.
    fn usable(&self, endpoint: &Arc<Endpoint>) -> Arc<Endpoint> {
        let takes_none = self.evacuated.contains(&endpoint.data_centre)
            || !self.departed.is_empty() && self.departed.contains(&Departure::of(endpoint));
        if endpoint.leaving || !takes_none {
            return endpoint.clone();
        }
        Arc::new(Endpoint { leaving: true, ..(**endpoint).clone() })
    }

    /// Groups the endpoints into cells anew, after some were replaced.
    pub fn regroup(&mut self) {
        let batch = self.deployment.pools.iter().filter(|p| matches!(p.work, Work::Batch(_)));
        let members = batch.flat_map(|p| self.members(&p.name).iter().map(move |e| (p, &**e)));
        self.cells = Cells::of(members);
    }

    /// The cells of the endpoints that work in batches.
    pub const fn cells(&self) -> &Cells {
        &self.cells
    }

    /// An endpoint is new, changed or, where there is none now, gone; routes and keys stay as they are.
    pub fn replace(&mut self, id: &Name, endpoint: Option<&Arc<Endpoint>>) {
        let endpoint = endpoint.map(|endpoint| self.usable(endpoint));
        self.by_id.remove(id);
        for pool in &self.deployment.pools {
            let members = self.members.entry(pool.name.clone()).or_default();
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

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let routes = routes.iter().map(|&i| &self.deployment.routes[i]);
        routes.into_iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Whose key this is.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|&i| &self.deployment.organisations[i])
    }

    /// The endpoints of a pool, also leaving ones.
    pub fn members(&self, pool: &str) -> &[Arc<Endpoint>] {
        self.members.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.deployment.pool(name)
    }

    /// What the endpoints of a pool can do, where they work in batches.
    pub fn batch(&self, pool: &str) -> Option<&BatchSpec> {
        match &self.pool(pool)?.work {
            Work::Batch(spec) => Some(spec),
            Work::Plain | Work::Engine(_) => None,
        }
    }

    /// Pools that work in batches and have this endpoint.
    pub fn batch_pools_of(&self, id: &str) -> impl Iterator<Item = &Name> {
        let endpoint = self.endpoint(id);
        let pools = self.deployment.pools.iter().filter(|p| matches!(p.work, Work::Batch(_)));
        let has = move |p: &&Pool| endpoint.is_some_and(|e| p.endpoints.matches(&e.labels));
        pools.filter(has).map(|p| &p.name)
    }

    /// What an endpoint can do, where it works in batches.
    pub fn batch_of(&self, id: &str) -> Option<&BatchSpec> {
        self.batch(self.batch_pools_of(id).next()?)
    }

    /// The endpoint of this id, in any pool.
    pub fn endpoint(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }
}
