//! Effects of changed endpoints on the requests of one gateway.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::backoff::Backoffs;
use crate::direct::event::Refused;
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::Requests;
use crate::direct::requests::failure::Failure;
use crate::direct::requests::request::{Phase, Request};
use crate::message::Timestamp;

impl Requests {
    /// The configuration or entries of endpoints changed; `entered` holds the entries that were
    /// added or changed.
    pub fn table_changed(
        &mut self,
        table: &Table,
        merged: &Merged,
        entered: &[Arc<Endpoint>],
        now: Timestamp,
    ) {
        self.cold.apply_changes(table, entered, now);
        self.observations.retain(|id| table.endpoint(id).is_some());
        self.engines.loads.retain(|id| table.endpoint(id).is_some());
        self.engines.parts.retain(|id| table.endpoint(id).is_some());
        for endpoint in entered {
            self.engines.parts.listed(endpoint, now);
        }
        self.ramps.retain(|id| table.endpoint(id).is_some());
        self.retry_times.retain(|id| table.endpoint(id).is_some());
        if merged.previous_version.is_some() {
            self.durations.retain(table.deployment.routes.iter().map(|r| &r.name));
            self.fetch_times.retain(|pool| table.pool(pool).is_some());
            self.engines.read_times.retain(|pool| table.pool(pool).is_some());
        }
        self.update_versions(table, merged, now);
        self.endpoints_restarted(&merged.restarted, table, now);
    }

    /// An evacuation order for these data centres was withdrawn, so their endpoints get requests
    /// again.
    pub fn data_centres_returned(
        &mut self,
        data_centres: &BTreeSet<Name>,
        table: &Table,
        now: Timestamp,
    ) {
        self.cold.evacuation_ended(data_centres, table, now);
        self.engines_emptied(data_centres, table, now);
    }

    /// An endpoint reported at `at` for how long it stays cold. Returns whether it counted as cold
    /// before.
    pub fn cold_announced(
        &mut self,
        endpoint: &Endpoint,
        left: Duration,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let was_cold = self.cold.is_cold(&endpoint.id, now);
        self.cold.reported(endpoint, left, at);
        if !was_cold && !left.is_zero() {
            self.engines.parts.emptied(&endpoint.id, now);
        }
        was_cold
    }

    /// An endpoint asked for a pause: requests go to other endpoints, and after the pause the load
    /// is raised gradually. Requests in their stages whose pool stays paused beyond their deadline
    /// are refused now.
    pub fn paused(
        &mut self,
        endpoint: &Endpoint,
        until: Timestamp,
        backoffs: &Arc<Backoffs>,
        table: &Table,
        now: Timestamp,
    ) {
        self.backoffs = backoffs.clone();
        self.ramps.begin(endpoint, until);
        let pools = table.deployment.pools.iter();
        for pool in pools.filter(|pool| pool.endpoints.matches(&endpoint.labels)) {
            if let Some(until) = self.all_paused_until(&pool.name, table, now) {
                self.refuse_paused_past_deadline(&pool.name, until, now);
            }
        }
    }

    /// When the first pause ends, if all endpoints of a pool that accept requests are paused.
    fn all_paused_until(&self, pool: &str, table: &Table, now: Timestamp) -> Option<Timestamp> {
        let accepting = table.pool_endpoints(pool).iter().filter(|endpoint| !endpoint.leaving);
        let ends: Option<Vec<Timestamp>> =
            accepting.map(|endpoint| self.backoffs.paused_until(endpoint, now)).collect();
        ends?.into_iter().min()
    }

    /// Refuses the requests in their stages whose deadline passes before the pause of their pool
    /// ends.
    fn refuse_paused_past_deadline(&mut self, pool: &str, until: Timestamp, now: Timestamp) {
        let is_unservable = |request: &Request| {
            let is_in_stages = matches!(request.phase, Phase::Stages { .. });
            is_in_stages && *request.pool == *pool && request.deadline <= until
        };
        for caller in self.callers_where(is_unservable) {
            self.refuse(caller, Refused::AllPaused, until.saturating_sub(now), now);
        }
    }

    /// Endpoints have a new incarnation: calls that the previous one did not answer may have run
    /// and never will be answered. Streams are left to end with their connections, after the data
    /// already received.
    fn endpoints_restarted(&mut self, restarted: &[Name], table: &Table, now: Timestamp) {
        if restarted.is_empty() {
            return;
        }
        let is_affected = |request: &Request| {
            let endpoint = request.attempt.as_ref().map(|attempt| &attempt.endpoint);
            let listed = endpoint.and_then(|e| Some((e, table.endpoint(&e.id)?)));
            request.phase == Phase::Running
                && listed.is_some_and(|(called, listed)| called.incarnation != listed.incarnation)
        };
        for caller in self.callers_where(is_affected) {
            self.attempt_may_have_run(caller, Failure::EndpointRestarted, table, now);
        }
    }

    /// An endpoint of a request's pool is unreachable: expects it to return with a new incarnation,
    /// cold.
    pub(super) fn expect_cold_restart(
        &mut self,
        caller: u64,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) {
        let pool = self.requests.get(&caller).and_then(|request| table.pool(&request.pool));
        let cold_start: Option<ColdStart> = pool.and_then(|pool| pool.cold);
        if let Some(cold_start) = cold_start {
            self.cold.record_unreachable(endpoint, cold_start, now);
        }
    }
}
