//! Selection of the endpoint of a request, and the reason if there is none.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::event::Refused;
use crate::direct::published::model::{ColdStart, Endpoint, Name, Route};
use crate::direct::published::table::Table;
use crate::direct::requests::engine_choice::BusyEngine;
use crate::direct::requests::request::Request;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;
use crate::policy::place::place;

/// The selected endpoint of a request.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) endpoint: Arc<Endpoint>,
    /// Why the endpoint was selected, as written to log events.
    pub(super) reason: &'static str,
    /// Number of endpoints that were available for the selection.
    pub(super) candidates: usize,
    /// How long the request may wait for a permit, if the endpoint has a rate limit.
    pub(super) wait: Duration,
}

/// Why no endpoint can be selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unplaced {
    /// No endpoint of the pool accepts requests, or the request was sent to all that do.
    NoEndpoint,
    /// No endpoint that accepts requests is in one of the request's allowed regions.
    NotInAllowedRegion,
    /// No endpoint that accepts requests has the software version that began the stream.
    NoEndpointOfVersion,
    /// No engine is expected to start the request before its deadline.
    AllBusy(BusyEngine),
    /// All suitable endpoints are cold, and this gateway has used its share of their capacity.
    AllCold {
        /// Time until this gateway may next send to one of them.
        min_wait: Duration,
    },
    /// The suitable endpoint that is available first asked for a pause, or its load is still being
    /// raised after one.
    AllPaused {
        /// Time until it becomes available.
        min_wait: Duration,
    },
    /// The suitable endpoint that is available first has a rate limit, and other requests precede
    /// this one.
    AllLimited {
        /// Time until a permit for this request is expected.
        min_wait: Duration,
    },
}

/// Why an endpoint that accepts requests is temporarily unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum UnavailableCause {
    Cold,
    Paused,
    Limited,
}

/// Temporary unavailability of an endpoint. Ordered by its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Unavailable {
    until: Timestamp,
    cause: UnavailableCause,
}

impl Unavailable {
    fn unplaced(self, now: Timestamp) -> Unplaced {
        let min_wait = self.until.saturating_sub(now);
        match self.cause {
            UnavailableCause::Cold => Unplaced::AllCold { min_wait },
            UnavailableCause::Paused => Unplaced::AllPaused { min_wait },
            UnavailableCause::Limited => Unplaced::AllLimited { min_wait },
        }
    }
}

impl Requests {
    /// Selects among the endpoints that accept requests, are in allowed regions and are available.
    pub(super) fn choose(
        &self,
        request: &Request,
        table: &Table,
        now: Timestamp,
    ) -> Result<Choice, Unplaced> {
        let endpoints = table.pool_endpoints(&request.pool);
        let is_candidate = |e: &&Arc<Endpoint>| !e.leaving && !request.tried.contains(&e.id);
        let accepting: Vec<&Arc<Endpoint>> = endpoints.iter().filter(is_candidate).collect();
        let allowed = accepting.iter().copied().filter(|e| request.may_run_at(e));
        let cold_start = table.pool(&request.pool).and_then(|pool| pool.cold);
        let unavailability = |e: &Endpoint| self.unavailability(e, request, cold_start, now);
        let available: Vec<_> = allowed.clone().filter(|e| unavailability(e).is_none()).collect();
        let median = self.observations.median_response_time(endpoints.iter().map(|e| &**e));
        let share = self.connection_share(&request.pool, table);
        let places: Vec<_> = available
            .iter()
            .map(|e| self.observations.place(e, &self.data_centre, median, share, now))
            .collect();
        let isolation_key = self.isolation_key(request);
        let prefix = isolation_key.as_deref().or(request.shared_prompt_part());
        let is_limited = |e: &Endpoint| self.limits.rate(e, now).is_some();
        let are_all_limited = !available.is_empty() && available.iter().all(|e| is_limited(e));
        let wait = if are_all_limited { request.max_permit_wait(now) } else { Duration::ZERO };
        let by_load = match isolation_key {
            None => self.select_engine(request, &available, &places, table, now)?,
            Some(_) => None,
        };
        match by_load.or_else(|| place(&places, prefix)) {
            Some((chosen, reason)) => Ok(Choice {
                endpoint: available[chosen].clone(),
                reason: if isolation_key.is_some() { "set_apart" } else { reason.as_str() },
                candidates: available.len(),
                wait,
            }),
            None if let Some(turn) = self.first_turn(allowed, request, cold_start, now) => Ok(turn),
            None => Err(match self.earliest_availability(request, endpoints, cold_start, now) {
                Some(unavailable) => unavailable.unplaced(now),
                None => without_endpoint(request, &accepting),
            }),
        }
    }

    /// The endpoint with a rate limit that is expected to grant a permit first, if the request may
    /// wait that long.
    fn first_turn<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
        request: &Request,
        cold_start: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Choice> {
        let wait = request.max_permit_wait(now);
        let limited = endpoints.filter(|e| self.limits.rate(e, now).is_some());
        let limited = limited.filter(|e| self.unavailability_for_all(e, cold_start, now).is_none());
        let turns =
            limited.map(|e| (self.retry_times.earliest(e, request.priority, now), &e.id, e));
        let in_time = turns.filter(|(turn, ..)| turn.is_none_or(|turn| turn <= now + wait));
        let (_, _, first) = in_time.min_by_key(|(turn, id, _)| (*turn, *id))?;
        Some(Choice { endpoint: first.clone(), reason: "turn", candidates: 1, wait })
    }

    /// When the first endpoint of the request's pool becomes available; `None` if one is available
    /// now. Includes the endpoints that the request was already sent to, because a retry by the
    /// caller may use any of them.
    fn earliest_availability(
        &self,
        request: &Request,
        endpoints: &[Arc<Endpoint>],
        cold_start: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Unavailable> {
        let accepting = endpoints.iter().filter(|e| !e.leaving && request.may_run_at(e));
        let unavailable: Option<Vec<Unavailable>> =
            accepting.map(|e| self.unavailability(e, request, cold_start, now)).collect();
        unavailable?.into_iter().min()
    }

    /// Whether and until when an endpoint is unavailable to a request.
    fn unavailability(
        &self,
        endpoint: &Endpoint,
        request: &Request,
        cold_start: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Unavailable> {
        let is_limited = self.limits.rate(endpoint, now).is_some();
        let turn = is_limited
            .then(|| self.retry_times.earliest(endpoint, request.priority, now))
            .flatten();
        let turn = turn.map(|until| Unavailable { until, cause: UnavailableCause::Limited });
        self.unavailability_for_all(endpoint, cold_start, now).into_iter().chain(turn).max()
    }

    /// Whether and until when an endpoint is unavailable to all requests, regardless of its rate
    /// limit.
    pub(super) fn unavailability_for_all(
        &self,
        endpoint: &Endpoint,
        cold_start: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Unavailable> {
        let cold = self.cold.available_at(endpoint, cold_start, self.gateway_count, now);
        let cold = cold.map(|until| Unavailable { until, cause: UnavailableCause::Cold });
        let paused = self.backoffs.paused_until(endpoint, now);
        let refilling = || self.ramps.is_full(endpoint).then(|| now + RETRY_SOON);
        let paused = paused.or_else(refilling);
        let paused = paused.map(|until| Unavailable { until, cause: UnavailableCause::Paused });
        cold.into_iter().chain(paused).max()
    }

    /// Refuses a request for which no endpoint can be selected.
    pub(super) fn refuse_unplaced(&mut self, caller: u64, unplaced: Unplaced, now: Timestamp) {
        let (reason, retry_after) = match unplaced {
            Unplaced::NoEndpoint => (Refused::NoEndpoint, RETRY_SOON),
            Unplaced::NotInAllowedRegion => (Refused::NoEndpointAtHome, RETRY_SOON),
            Unplaced::NoEndpointOfVersion => (Refused::NoEndpointOfVersion, RETRY_SOON),
            Unplaced::AllBusy(busy) => return self.refuse_all_busy(caller, busy, now),
            Unplaced::AllCold { min_wait } => (Refused::AllCold, min_wait.max(RETRY_SOON)),
            Unplaced::AllPaused { min_wait } => (Refused::AllPaused, min_wait.max(RETRY_SOON)),
            Unplaced::AllLimited { min_wait } => (Refused::AllLimited, min_wait.max(RETRY_SOON)),
        };
        self.refuse(caller, reason, retry_after, now);
    }

    /// Number of connections that this gateway may hold to one endpoint of a pool: its share of the
    /// bound for all gateways.
    pub(super) fn connection_share(&self, pool: &Name, table: &Table) -> usize {
        let bound = table.pool(pool).map_or(u32::MAX, |p| p.max_connections) as usize;
        (bound / self.gateway_count.max(1)).max(1)
    }
}

/// Why none of the endpoints that accept requests is suitable for a request.
fn without_endpoint(request: &Request, accepting: &[&Arc<Endpoint>]) -> Unplaced {
    let origin = request.origin.as_ref();
    let is_of_origin = |e: &&&Arc<Endpoint>| origin.is_none_or(|origin| origin.allows(e));
    let mut of_origin = accepting.iter().filter(is_of_origin).peekable();
    if accepting.is_empty() {
        Unplaced::NoEndpoint
    } else if of_origin.peek().is_none() {
        Unplaced::NoEndpointOfVersion
    } else if of_origin.any(|e| request.allowed_regions.allows(e)) {
        Unplaced::NoEndpoint
    } else {
        Unplaced::NotInAllowedRegion
    }
}

/// Selects the pool of a request from the weighted targets of its route by a hash of its id.
pub(super) fn select_pool(route: &Route, id: &str) -> Name {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut left = xxh3_64(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return target.pool.clone();
        }
        left -= weight;
    }
    route.targets.first().map_or_else(|| "".into(), |t| t.pool.clone())
}
