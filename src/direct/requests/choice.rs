//! Which endpoint a request may be sent to, and what becomes of it where there is none.

use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Refused;
use crate::direct::published::model::{ColdStart, Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
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
    /// The next one of those that do asked this gateway for a pause, or is filled by degrees after one.
    AllPaused {
        /// Until it gets something.
        for_at_least: Duration,
    },
}

/// An endpoint that takes work, but not now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Closed {
    until: Timestamp,
    /// Whether it is for a pause, and not for being cold.
    is_paused: bool,
}

impl Closed {
    fn no_place(self, now: Timestamp) -> NoPlace {
        let for_at_least = self.until.saturating_sub(now);
        if self.is_paused {
            NoPlace::AllPaused { for_at_least }
        } else {
            NoPlace::AllCold { for_at_least }
        }
    }
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
        let bears = table.pool(&request.pool).and_then(|pool| pool.cold);
        let is_any_at_home = at_home.clone().next().is_some();
        let open: Vec<_> = at_home.filter(|e| self.closed(e, bears, now).is_none()).collect();
        let median = self.observations.median_answer(members.iter().map(|e| &**e));
        let share = self.connection_share(&request.pool, table);
        let places: Vec<_> = open
            .iter()
            .map(|e| self.observations.place(e, &self.data_centre, median, share, now))
            .collect();
        let apart = self.set_apart(request);
        let part = apart.as_deref().or(request.shared_part());
        match place(&places, part) {
            Some((chosen, because)) => Ok(Choice {
                endpoint: open[chosen].clone(),
                because: if apart.is_some() { "set_apart" } else { because.as_str() },
                candidates: open.len(),
            }),
            None => Err(match self.next_of_all(request, members, bears, now) {
                Some(closed) => closed.no_place(now),
                None if working.is_empty() || is_any_at_home => NoPlace::NoEndpoint,
                None => NoPlace::NotAtHome,
            }),
        }
    }

    /// When the first endpoint of a request's pool takes something again; `None` where one does now. Those that it was
    /// sent to are among them: when it comes back, it may go to any.
    fn next_of_all(
        &self,
        request: &Request,
        members: &[Arc<Endpoint>],
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Closed> {
        let working = members.iter().filter(|e| !e.leaving && request.homes.have(e));
        let closed: Option<Vec<Closed>> = working.map(|e| self.closed(e, bears, now)).collect();
        closed?.into_iter().min()
    }

    /// Whether an endpoint gets nothing now, and until when.
    fn closed(
        &self,
        endpoint: &Endpoint,
        bears: Option<ColdStart>,
        now: Timestamp,
    ) -> Option<Closed> {
        let cold = self.cold.opens(endpoint, bears, self.processes, now);
        let cold = cold.map(|until| Closed { until, is_paused: false });
        let paused = self.backoffs.until(endpoint, now);
        let filled = || self.ramps.is_full(endpoint).then(|| now + RETRY_SOON);
        let paused = paused.or_else(filled).map(|until| Closed { until, is_paused: true });
        cold.into_iter().chain(paused).max()
    }

    /// Gives a request up that has no endpoint.
    pub(super) fn refuse_without_place(&mut self, caller: u64, no_place: NoPlace, now: Timestamp) {
        let (reason, retry_after) = match no_place {
            NoPlace::NoEndpoint => (Refused::NoEndpoint, RETRY_SOON),
            NoPlace::NotAtHome => (Refused::NoEndpointAtHome, RETRY_SOON),
            NoPlace::AllCold { for_at_least } => (Refused::AllCold, for_at_least.max(RETRY_SOON)),
            NoPlace::AllPaused { for_at_least } => {
                (Refused::AllPaused, for_at_least.max(RETRY_SOON))
            }
        };
        self.refuse(caller, reason, retry_after, now);
    }

    /// Connections to one endpoint of a pool that this gateway may hold: all gateways share its bound.
    pub(super) fn connection_share(&self, pool: &Name, table: &Table) -> usize {
        let bound = table.pool(pool).map_or(u32::MAX, |p| p.max_connections) as usize;
        (bound / self.processes.max(1)).max(1)
    }
}
