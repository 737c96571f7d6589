//! The software versions that the endpoints of each pool have, or had until recently.
//!
//! While a pool has one version, each of its streams began at that version. A process can tell only
//! for the time in which it has followed the list of endpoints without interruption.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::origins::MAX_STREAM_AGE;
use crate::direct::published::model::{Endpoint, Name, Target, Work};
use crate::direct::published::software::version_of;
use crate::direct::published::table::Table;
use crate::message::Timestamp;

/// A software version; `None` for endpoints whose entries name none.
pub type Version = Option<Name>;

/// The endpoints of one version in a pool.
#[derive(Debug, Default)]
struct Use {
    listed: BTreeSet<Name>,
    /// When the version stops counting once none is listed.
    until: Timestamp,
}

/// Versions of each pool that runs whole requests.
#[derive(Debug, Default)]
pub struct RecentVersions {
    pools: HashMap<Name, BTreeMap<Version, Use>>,
    /// Since when this process has followed the endpoints of each pool without interruption.
    known_since: HashMap<Name, Timestamp>,
    /// Targets of each route whose streams may be resumed.
    targets: HashMap<Name, Vec<Target>>,
}

impl RecentVersions {
    /// Applies a new configuration, or changes of these endpoints. Returns the pools whose versions
    /// changed.
    pub fn update(
        &mut self,
        table: &Table,
        is_new_configuration: bool,
        changed: &[Name],
        now: Timestamp,
    ) -> Vec<Name> {
        let pools = table.deployment.pools.iter();
        let pools = pools.filter(|pool| !matches!(pool.work, Work::Batch(_)));
        let mut with_changes = Vec::new();
        if is_new_configuration {
            self.pools.retain(|name, _| table.pool(name).is_some());
            self.known_since.retain(|name, _| table.pool(name).is_some());
            self.update_targets(table, now);
        }
        for pool in pools {
            let uses = self.pools.entry(pool.name.clone()).or_default();
            let before: Vec<Version> = uses.keys().cloned().collect();
            let listed = table.pool_endpoints(&pool.name);
            let ids = if is_new_configuration { all_ids(uses, listed) } else { changed.to_vec() };
            for id in &ids {
                remove(uses, id, now);
                let at = listed.binary_search_by(|endpoint| endpoint.id.cmp(id));
                at.into_iter().for_each(|at| add(uses, &listed[at]));
            }
            uses.retain(|_, used| !used.listed.is_empty() || now < used.until);
            if !uses.is_empty() {
                self.known_since.entry(pool.name.clone()).or_insert(now);
            }
            if !uses.keys().eq(&before) {
                with_changes.push(pool.name.clone());
            }
        }
        with_changes
    }

    /// The versions that a pool has or had until recently.
    pub fn of(&self, pool: &str, now: Timestamp) -> impl Iterator<Item = &Version> {
        let uses = self.pools.get(pool).into_iter().flatten();
        uses.filter(move |(_, used)| !used.listed.is_empty() || now < used.until).map(|(v, _)| v)
    }

    /// The list of endpoints was outdated until now: versions may have been added and removed
    /// unnoticed.
    pub fn interrupt(&mut self, now: Timestamp) {
        self.known_since.values_mut().for_each(|since| *since = now.max(*since));
    }

    /// Applies the routes of a new configuration. Streams of a route whose targets changed may have
    /// begun in another pool than the one that continues them, so nothing is known of the pools.
    fn update_targets(&mut self, table: &Table, now: Timestamp) {
        let mut targets = HashMap::new();
        for route in table.deployment.routes.iter().filter(|r| r.streams && r.resumable) {
            if self.targets.get(&route.name).is_some_and(|before| *before != route.targets) {
                let pools = route.targets.iter().map(|target| &target.pool);
                self.known_since.extend(pools.map(|pool| (pool.clone(), now)));
            }
            targets.insert(route.name.clone(), route.targets.clone());
        }
        self.targets = targets;
    }

    /// The version that all streams of a pool began at, as far as callers may resume them; `None`
    /// if there are several, or if this process has not followed the list for long enough.
    pub fn only_version(&self, pool: &str, now: Timestamp) -> Option<&Version> {
        let is_known =
            self.known_for(pool, now).is_some_and(|known_for| known_for >= MAX_STREAM_AGE);
        self.of(pool, now).next().filter(|_| is_known && !self.has_several(pool, now))
    }

    /// How long this process has known the versions of a pool.
    pub fn known_for(&self, pool: &str, now: Timestamp) -> Option<Duration> {
        self.known_since.get(pool).map(|since| now.saturating_sub(*since))
    }

    /// Whether a pool has or had several versions.
    pub fn has_several(&self, pool: &str, now: Timestamp) -> bool {
        self.of(pool, now).nth(1).is_some()
    }
}

/// Ids of the endpoints that were or are listed.
fn all_ids(uses: &BTreeMap<Version, Use>, listed: &[Arc<Endpoint>]) -> Vec<Name> {
    let before = uses.values().flat_map(|used| used.listed.iter().cloned());
    before.chain(listed.iter().map(|endpoint| endpoint.id.clone())).collect()
}

fn add(uses: &mut BTreeMap<Version, Use>, endpoint: &Endpoint) {
    let version = version_of(endpoint).map(Name::from);
    uses.entry(version).or_default().listed.insert(endpoint.id.clone());
}

fn remove(uses: &mut BTreeMap<Version, Use>, id: &Name, now: Timestamp) {
    for used in uses.values_mut() {
        if used.listed.remove(id) {
            used.until = now + MAX_STREAM_AGE;
        }
    }
}
