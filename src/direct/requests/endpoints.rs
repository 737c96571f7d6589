//! What one gateway observes of the endpoints that it calls itself.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::published::model::{Endpoint, Name};
use crate::message::Timestamp;
use crate::policy::place::Candidate;

/// Basis of the time for which a failing endpoint is avoided; doubles with each consecutive
/// failure.
const BASE_AVOIDANCE: Duration = Duration::from_millis(500);
/// Maximum time for which an endpoint is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);
/// Time for which an endpoint is avoided after it reported to be full.
const FULL_AVOIDANCE: Duration = Duration::from_millis(60);
/// Maximum age of a load report that is still used.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Average share of failed calls from which on an endpoint is avoided.
const MAX_FAILURE_RATE: f64 = 0.25;

/// Observations of one incarnation of an endpoint.
#[derive(Debug, Clone, Default)]
struct Observed {
    /// Incarnation of the endpoint that the observations belong to.
    incarnation: u64,
    /// Open calls of this gateway.
    in_flight: u32,
    /// Last reported number of running and waiting requests, and when it was reported.
    load_report: Option<(u32, Timestamp)>,
    /// The endpoint is avoided until then, unless all others are avoided as well.
    avoided_until: Timestamp,
    consecutive_failures: u32,
    /// Moving average of the share of failed calls.
    failure_rate: f64,
    /// Moving average of the response time in seconds.
    response_time_s: Option<f64>,
}

/// Observations of all endpoints that one gateway has called.
#[derive(Debug, Default)]
pub struct Observations {
    observed: HashMap<Name, Observed>,
}

impl Observations {
    /// The observations of an endpoint, if they belong to its current incarnation.
    fn get_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Observed> {
        let observed = self.observed.get_mut(&endpoint.id)?;
        (observed.incarnation == endpoint.incarnation).then_some(observed)
    }

    fn get(&self, endpoint: &Endpoint) -> Option<&Observed> {
        let observed = self.observed.get(&endpoint.id)?;
        (observed.incarnation == endpoint.incarnation).then_some(observed)
    }

    /// A call was sent. Discards the observations of an earlier incarnation.
    pub fn sent(&mut self, endpoint: &Endpoint) {
        let observed = self.observed.entry(endpoint.id.clone()).or_default();
        if observed.incarnation != endpoint.incarnation {
            *observed = Observed { incarnation: endpoint.incarnation, ..Observed::default() };
        }
        observed.in_flight += 1;
    }

    /// A call ended.
    pub fn ended(&mut self, endpoint: &Endpoint) {
        if let Some(observed) = self.get_mut(endpoint) {
            observed.in_flight = observed.in_flight.saturating_sub(1);
        }
    }

    /// An endpoint reported its load: the number of running and waiting requests.
    pub fn reported(&mut self, endpoint: &Endpoint, load: u32, now: Timestamp) {
        if let Some(observed) = self.get_mut(endpoint) {
            observed.load_report = Some((load, now));
        }
    }

    /// An endpoint responded without a server error; `took` is the response time, if it is known.
    pub fn answered(&mut self, endpoint: &Endpoint, took: Option<Duration>) {
        let Some(observed) = self.get_mut(endpoint) else {
            return;
        };
        observed.consecutive_failures = 0;
        observed.failure_rate *= 1.0 - SAMPLE_WEIGHT;
        let Some(took) = took.map(|took| took.as_secs_f64()) else {
            return;
        };
        let before = observed.response_time_s.unwrap_or(took);
        observed.response_time_s = Some(before + (took - before) * SAMPLE_WEIGHT);
    }

    /// An endpoint is full: avoids it for a short time.
    pub fn full(&mut self, endpoint: &Endpoint, now: Timestamp) {
        let Some(observed) = self.get_mut(endpoint) else {
            return;
        };
        observed.avoided_until = observed.avoided_until.max(now + FULL_AVOIDANCE);
    }

    /// A call to an endpoint failed; returns whether the endpoint is newly avoided.
    pub fn failed(&mut self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let Some(observed) = self.get_mut(endpoint) else {
            return false;
        };
        observed.consecutive_failures += 1;
        observed.failure_rate += (1.0 - observed.failure_rate) * SAMPLE_WEIGHT;
        if observed.consecutive_failures < 2 && observed.failure_rate < MAX_FAILURE_RATE {
            return false;
        }
        let was_avoided = observed.avoided_until > now;
        let pause = BASE_AVOIDANCE * 2u32.saturating_pow(observed.consecutive_failures.min(6));
        observed.avoided_until = now + pause.min(MAX_AVOIDANCE);
        !was_avoided
    }

    /// An endpoint is unreachable; returns whether it is newly avoided.
    pub fn unreachable(&mut self, endpoint: &Endpoint, now: Timestamp) -> bool {
        let Some(observed) = self.get_mut(endpoint) else {
            return false;
        };
        let was_avoided = observed.avoided_until > now;
        observed.consecutive_failures += 1;
        observed.avoided_until =
            now + MAX_AVOIDANCE.min(BASE_AVOIDANCE * observed.consecutive_failures);
        !was_avoided
    }

    /// Whether an endpoint is avoided after failures.
    pub fn is_avoided(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        self.get(endpoint).is_some_and(|observed| observed.avoided_until > now)
    }

    /// Whether an endpoint is assumed to have a free slot.
    pub fn has_free_slot(&self, endpoint: &Endpoint, now: Timestamp) -> bool {
        self.load(endpoint, now) < endpoint.slots
    }

    /// Number of requests assumed to run or wait at an endpoint: the larger of this gateway's calls
    /// and the last report.
    fn load(&self, endpoint: &Endpoint, now: Timestamp) -> u32 {
        let Some(observed) = self.get(endpoint) else {
            return 0;
        };
        let reported = observed.load_report.filter(|(_, at)| now < *at + LOAD_REPORT_TTL);
        observed.in_flight.max(reported.map_or(0, |(load, _)| load))
    }

    /// The endpoint as a candidate for selection. `median` is the median response time in its pool
    /// in seconds; `connections` is the number of connections that this gateway may hold to it.
    pub fn place<'a>(
        &self,
        endpoint: &'a Endpoint,
        data_centre: &str,
        median: Option<f64>,
        connections: usize,
        now: Timestamp,
    ) -> Candidate<'a> {
        let observed = self.get(endpoint).cloned().unwrap_or_default();
        let slowness = match (observed.response_time_s, median) {
            (Some(own), Some(median)) if median > 0.0 => (own / median).clamp(1.0, 8.0),
            _ => 1.0,
        };
        Candidate {
            id: &endpoint.id,
            load: f64::from(self.load(endpoint, now)),
            slots: f64::from(endpoint.slots),
            avoided: observed.avoided_until > now || observed.in_flight as usize >= connections,
            is_local: *endpoint.data_centre == *data_centre,
            slowness,
        }
    }

    /// The median of the average response times of these endpoints, in seconds.
    pub fn median_response_time<'a>(
        &self,
        pool: impl Iterator<Item = &'a Endpoint>,
    ) -> Option<f64> {
        let mut times: Vec<f64> = pool.filter_map(|e| self.get(e)?.response_time_s).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    /// Removes endpoints that are not listed any more and have no open calls.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.observed.retain(|id, o| listed(id) || o.in_flight > 0);
    }
}
