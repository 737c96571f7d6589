//! Selection of the endpoint of a request, and the reason if there is none.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;
use crate::policy::place::place;

/// The selected endpoint of a request.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) because: &'static str,
    /// Number of endpoints that were available for the selection.
    pub(super) candidates: usize,
    /// How long the request may wait for a permit, if the endpoint has a rate limit.
    pub(super) wait: Duration,
}

/// Why no endpoint can be selected for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// No endpoint of the pool accepts requests, or the request was sent to all that do.
    NoEndpoint,
    /// No endpoint that accepts requests is in one of the request's allowed regions.
    NotAtHome,
    /// All suitable endpoints are cold, and this gateway has used its share of their capacity.
    AllCold {
        /// Time until this gateway may next send to one of them.
        for_at_least: Duration,
    },
    /// The suitable endpoint that is available first asked for a pause, or its load is still being
    /// raised after one.
    AllPaused {
        /// Time until it becomes available.
        for_at_least: Duration,
    },
    /// The suitable endpoint that is available first has a rate limit, and other requests precede
    /// this one.
    AllLimited {
        /// Time until a permit for this request is expected.
        for_at_least: Duration,
    },
}

/// Why an endpoint that accepts requests is temporarily unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Because {
    Cold,
    Paused,
    Limited,
}

/// Temporary unavailability of an endpoint. Ordered by its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Closed {
    until: Timestamp,
    because: Because,
}

impl Closed {
    fn no_place(self, now: Timestamp) -> NoPlace {
        let for_at_least = self.until.saturating_sub(now);
        match self.because {
            Because::Cold => NoPlace::AllCold { for_at_least },
            Because::Paused => NoPlace::AllPaused { for_at_least },
            Because::Limited => NoPlace::AllLimited { for_at_least },
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
    ) -> Result<Choice, NoPlace> {
        let members = table.members(&request.pool);
        let takes_work = |e: &&Arc<Endpoint>| !e.leaving && !request.tried.contains(&e.id);
        let working: Vec<&Arc<Endpoint>> = members.iter().filter(takes_work).collect();
        let at_home = working.iter().copied().filter(|e| request.homes.have(e));
        let bears = table.pool(&request.pool).and_then(|pool| pool.cold);
        let is_any_at_home = at_home.clone().next().is_some();
        let closed = |e: &Endpoint| self.closed(e, request, bears, now);
        let open: Vec<_> = at_home.clone().filter(|e| closed(e).is_none()).collect();
        let median = self.observations.median_answer(members.iter().map(|e| &**e));
        let share = self.connection_share(&request.pool, table);
        let places: Vec<_> = open
            .iter()
            .map(|e| self.observations.place(e, &self.data_centre, median, share, now))
            .collect();
        let apart = self.set_apart(request);
        let part = apart.as_deref().or(request.shared_part());
        let is_limited = |e: &Endpoint| self.limits.rate(e, now).is_some();
        let waits = !open.is_empty() && open.iter().all(|e| is_limited(e));
        let wait = if waits { request.time_to_wait(now) } else { Duration::ZERO };
        match place(&places, part) {
            Some((chosen, because)) => Ok(Choice {
                endpoint: open[chosen].clone(),
                because: if apart.is_some() { "set_apart" } else { because.as_str() },
                candidates: open.len(),
                wait,
            }),
            None if let Some(turn) = self.first_turn(at_home, request, bears, now) => Ok(turn),
            None => Err(match self.next_of_all(request, members, bears, now) {
                Some(closed) => closed.no_place(now),
                None if working.is_empty() || is_any_at_home => NoPlace::NoEndpoint,
                None => NoPlace::NotAtHome,
            }),
        }
    }

    /// The endpoint with a rate limit that is expected to grant a permit first, if the request may
    /// wait that long.
    fn first_turn<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
        request: &Request,
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Choice> {
        let wait = request.time_to_wait(now);
        let limited = endpoints.filter(|e| self.limits.rate(e, now).is_some());
        let limited = limited.filter(|e| self.closed_to_all(e, bears, now).is_none());
        let turns = limited.map(|e| (self.turns.turn(e, request.priority, now), &e.id, e));
        let in_time = turns.filter(|(turn, ..)| turn.is_none_or(|turn| turn <= now + wait));
        let (_, _, first) = in_time.min_by_key(|(turn, id, _)| (*turn, *id))?;
        Some(Choice { endpoint: first.clone(), because: "turn", candidates: 1, wait })
    }

    /// When the first endpoint of the request's pool becomes available; `None` if one is available
    /// now. Includes the endpoints that the request was already sent to, because a retry by the
    /// caller may use any of them.
    fn next_of_all(
        &self,
        request: &Request,
        members: &[Arc<Endpoint>],
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Closed> {
        let working = members.iter().filter(|e| !e.leaving && request.homes.have(e));
        let closed: Option<Vec<Closed>> =
            working.map(|e| self.closed(e, request, bears, now)).collect();
        closed?.into_iter().min()
    }

    /// Whether and until when an endpoint is unavailable to a request.
    fn closed(
        &self,
        endpoint: &Endpoint,
        request: &Request,
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Closed> {
        let is_limited = self.limits.rate(endpoint, now).is_some();
        let turn = is_limited.then(|| self.turns.turn(endpoint, request.priority, now)).flatten();
        let turn = turn.map(|until| Closed { until, because: Because::Limited });
        self.closed_to_all(endpoint, bears, now).into_iter().chain(turn).max()
    }

    /// Whether and until when an endpoint is unavailable to all requests, regardless of its rate
    /// limit.
    pub(super) fn closed_to_all(
        &self,
        endpoint: &Endpoint,
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Closed> {
        let cold = self.cold.opens(endpoint, bears, self.processes, now);
        let cold = cold.map(|until| Closed { until, because: Because::Cold });
        let paused = self.backoffs.until(endpoint, now);
        let filled = || self.ramps.is_full(endpoint).then(|| now + RETRY_SOON);
        let paused = paused.or_else(filled);
        let paused = paused.map(|until| Closed { until, because: Because::Paused });
        cold.into_iter().chain(paused).max()
    }

    /// Refuses a request for which no endpoint can be selected.
    pub(super) fn refuse_without_place(&mut self, caller: u64, no_place: NoPlace, now: Timestamp) {
        let (reason, retry_after) = match no_place {
            NoPlace::NoEndpoint => (Refused::NoEndpoint, RETRY_SOON),
            NoPlace::NotAtHome => (Refused::NoEndpointAtHome, RETRY_SOON),
            NoPlace::AllCold { for_at_least } => (Refused::AllCold, for_at_least.max(RETRY_SOON)),
            NoPlace::AllPaused { for_at_least } => {
                (Refused::AllPaused, for_at_least.max(RETRY_SOON))
            }
            NoPlace::AllLimited { for_at_least } => {
                (Refused::AllLimited, for_at_least.max(RETRY_SOON))
            }
        };
        self.refuse(caller, reason, retry_after, now);
    }

    /// Number of connections that this gateway may hold to one endpoint of a pool: its share of the
    /// bound for all gateways.
    pub(super) fn connection_share(&self, pool: &Name, table: &Table) -> usize {
        let bound = table.pool(pool).map_or(u32::MAX, |p| p.max_connections) as usize;
        (bound / self.processes.max(1)).max(1)
    }
}
