//! Which endpoint a request may be sent to, and what becomes of it where there is none.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::request::{Phase, Request};
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;
use crate::policy::place::place;

/// The endpoint of a request.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) because: &'static str,
    /// How many endpoints there were to choose from.
    pub(super) candidates: usize,
}

/// Why a request has no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// No endpoint of its pool takes work, or it was sent to all that do.
    NoEndpoint,
    /// None that does stands in one of its homes.
    NotAtHome,
    /// All that do are cold, and this gateway has used its part of what they bear.
    AllCold {
        /// Until the next turn.
        for_at_least: Duration,
    },
}

impl Requests {
    /// Chooses among the endpoints that take work, stand at home and are open to this gateway.
    pub(super) fn choose(
        &self,
        request: &Request,
        table: &Table,
        now: Timestamp,
    ) -> Result<Choice, NoPlace> {
        let members = table.members(&request.pool);
        let takes_work = |e: &&Arc<Endpoint>| !e.leaving && !request.tried.contains(&e.id);
        let working: Vec<&Arc<Endpoint>> = members.iter().filter(takes_work).collect();
        let at_home = working.iter().copied().filter(|e| request.homes.have(e));
        let (mut open, mut opens) = (Vec::with_capacity(working.len()), None);
        let bears = table.pool(&request.pool).and_then(|pool| pool.cold);
        for endpoint in at_home {
            match self.cold.opens(endpoint, bears, self.processes, now) {
                None => open.push(endpoint),
                Some(at) => opens = Some(opens.map_or(at, |before: Timestamp| before.min(at))),
            }
        }
        let median = self.observations.median_answer(members.iter().map(|e| &**e));
        let share = self.connection_share(&request.pool, table);
        let places: Vec<_> = open
            .iter()
            .map(|e| self.observations.place(e, &self.data_centre, median, share, now))
            .collect();
        match (place(&places, request.shared_part()), opens) {
            (Some((chosen, because)), _) => Ok(Choice {
                endpoint: open[chosen].clone(),
                because: because.as_str(),
                candidates: open.len(),
            }),
            (None, Some(at)) => Err(NoPlace::AllCold { for_at_least: at.saturating_sub(now) }),
            (None, None) if working.is_empty() => Err(NoPlace::NoEndpoint),
            (None, None) => Err(NoPlace::NotAtHome),
        }
    }

    /// Gives a request up that has no endpoint.
    pub(super) fn refuse_without_place(&mut self, caller: u64, no_place: NoPlace, now: Timestamp) {
        let (reason, retry_after) = match no_place {
            NoPlace::NoEndpoint => (Refused::NoEndpoint, RETRY_SOON),
            NoPlace::NotAtHome => (Refused::NoEndpointAtHome, RETRY_SOON),
            NoPlace::AllCold { for_at_least } => (Refused::AllCold, for_at_least.max(RETRY_SOON)),
        };
        self.refuse(caller, reason, retry_after, now);
    }

    /// Connections to one endpoint of a pool that this gateway may hold: all gateways share its bound.
    pub(super) fn connection_share(&self, pool: &Name, table: &Table) -> usize {
        let bound = table.pool(pool).map_or(u32::MAX, |p| p.max_connections) as usize;
        (bound / self.processes.max(1)).max(1)
    }

    /// Endpoints changed, whose entries are `entered` now, or the whole configuration.
    pub fn changed(
        &mut self,
        table: &Table,
        merged: &Merged,
        entered: &[Arc<Endpoint>],
        now: Timestamp,
    ) {
        self.cold.learn(table, entered, now);
        self.observations.retain(|id| table.endpoint(id).is_some());
        if merged.deployment.is_some() {
            self.experience.retain(table.deployment.routes.iter().map(|r| &r.name));
            self.fetches.retain(|pool| table.pool(pool).is_some());
        }
        self.endpoints_restarted(&merged.restarted, table, now);
    }

    /// Endpoints are in another life: what they had not answered may have run, and never will be answered.
    /// A stream that is being passed on ends with its connection, behind what came over it.
    fn endpoints_restarted(&mut self, restarted: &[Name], table: &Table, now: Timestamp) {
        if restarted.is_empty() {
            return;
        }
        let is_lost = |request: &Request| {
            let endpoint = request.attempt.as_ref().map(|attempt| &attempt.endpoint);
            let now_there = endpoint.and_then(|e| Some((e, table.endpoint(&e.id)?)));
            request.phase == Phase::Running
                && now_there.is_some_and(|(then, now)| then.incarnation != now.incarnation)
        };
        let lost = self.requests.iter().filter(|(_, request)| is_lost(request));
        let mut lost: Vec<u64> = lost.map(|(caller, _)| *caller).collect();
        lost.sort_unstable();
        for caller in lost {
            self.may_have_run(caller, "endpoint restarted", table, now);
        }
    }

    /// An endpoint of a request's pool can't be reached: if it is back, it is in another life and cold.
    pub(super) fn may_have_restarted(
        &mut self,
        caller: u64,
        endpoint: &Endpoint,
        table: &Table,
        now: Timestamp,
    ) {
        let pool = self.requests.get(&caller).and_then(|request| table.pool(&request.pool));
        let bears: Option<ColdStart> = pool.and_then(|pool| pool.cold);
        if let Some(bears) = bears {
            self.cold.unreachable(endpoint, bears, now);
        }
    }
}
