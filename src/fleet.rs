//! Per-endpoint state of a gateway: load reports, time estimates, suspicion and incarnations.

use std::time::Duration;

use foldhash::HashMap;

use crate::message::{Incarnation, Load, Timestamp};
use crate::policy::predict::{Estimate, SizeClass};

/// Duration of the first suspicion; it doubles with each consecutive failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(500);
/// Upper limit of the duration of a suspicion.
const MAX_SUSPICION: Duration = Duration::from_secs(8);
/// How long a leaving announcement of an agent is valid unless it is repeated.
const LEAVING_VALIDITY: Duration = Duration::from_secs(10);
/// The state of an endpoint is removed after it has been unused for this time.
const UNUSED_RETENTION: Duration = Duration::from_secs(600);

/// State of one endpoint, as observed by this gateway.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Incarnation of the agent; the default value if it is unknown.
    pub incarnation: Incarnation,
    /// Attempts that this gateway sent to the endpoint and that have not ended.
    pub in_flight: u32,
    /// The last load report and its time of receipt.
    pub report: Option<(Load, Timestamp)>,
    /// Number of consecutive failures.
    pub failures: u32,
    replied_at: Option<Timestamp>,
    suspected_until: Option<Timestamp>,
    leaving_until: Option<Timestamp>,
    estimates: HashMap<(u64, SizeClass), Estimate>,
    used_at: Timestamp,
}

impl EndpointState {
    /// Whether the endpoint failed recently and its agent has not replied since.
    pub fn is_suspected(&self, now: Timestamp) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Whether the agent replied within `time` before `now`, so that its incarnation is probably
    /// unchanged.
    pub fn has_replied_within(&self, time: Duration, now: Timestamp) -> bool {
        self.replied_at.is_some_and(|at| now.saturating_sub(at) < time)
    }

    /// Whether the agent announced that it accepts no new work.
    pub fn is_leaving(&self, now: Timestamp) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    /// Estimated time of a stage at this endpoint.
    pub fn estimate(&self, stage: u64, size: SizeClass) -> Option<&Estimate> {
        self.estimates.get(&(stage, size))
    }

    /// Attempts expected to be ahead of a new one: the reported load less the attempts that the
    /// endpoint can have completed since the report, and at least the gateway's own attempts.
    pub fn backlog(&self, now: Timestamp, service: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((load, at)) = self.report else {
            return own;
        };
        let reported = f64::from(load.queued + load.running);
        let age = now.saturating_sub(at).as_secs_f64();
        let drained = age * f64::from(load.limit) / service.as_secs_f64().max(1e-4);
        own.max(reported - drained)
    }

    /// Number of concurrent calls by the last report, or `configured` before the first one.
    pub fn limit(&self, configured: u32) -> u32 {
        self.report.map_or(configured, |(load, _)| load.limit).max(1)
    }
}

/// All endpoints that this gateway has used recently.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: HashMap<String, EndpointState>,
    stages: HashMap<(u64, SizeClass), Estimate>,
}

impl Fleet {
    /// The state of an endpoint; `None` if it has not been used recently.
    pub fn get(&self, name: &str) -> Option<&EndpointState> {
        self.endpoints.get(name)
    }

    /// The state of every recently used endpoint, for the administration interface.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &EndpointState)> {
        self.endpoints.iter()
    }

    /// Estimated time of a stage over all endpoints.
    pub fn stage_estimate(&self, stage: u64, size: SizeClass) -> Option<&Estimate> {
        self.stages.get(&(stage, size))
    }

    fn entry(&mut self, name: &str, now: Timestamp) -> &mut EndpointState {
        if !self.endpoints.contains_key(name) {
            self.endpoints.insert(name.to_owned(), EndpointState::default());
        }
        let state = self.endpoints.get_mut(name).expect("inserted above");
        state.used_at = now;
        state
    }

    /// Records that an attempt was sent to the endpoint.
    pub fn sent(&mut self, name: &str, now: Timestamp) {
        self.entry(name, now).in_flight += 1;
    }

    /// Records that an attempt ended, successfully or not.
    pub fn ended(&mut self, name: &str, now: Timestamp) {
        let state = self.entry(name, now);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records a reply of the agent, which clears the suspicion of the endpoint.
    pub fn replied(&mut self, name: &str, from: Incarnation, load: Option<Load>, now: Timestamp) {
        let state = self.entry(name, now);
        if state.incarnation != from {
            state.leaving_until = None;
        }
        state.incarnation = from;
        state.replied_at = Some(now);
        state.suspected_until = None;
        state.failures = 0;
        if let Some(load) = load {
            state.report = Some((load, now));
        }
    }

    /// Records that the agent could not be reached or that its endpoint failed. Returns whether the
    /// endpoint was not already suspected.
    pub fn failed(&mut self, name: &str, now: Timestamp) -> bool {
        let state = self.entry(name, now);
        let is_new = !state.is_suspected(now);
        let doublings = state.failures.min(8);
        let length = (FIRST_SUSPICION * 2u32.pow(doublings)).min(MAX_SUSPICION);
        state.failures += 1;
        state.suspected_until = Some(now + length);
        is_new
    }

    /// Records that the agent announced that it accepts no new work. Returns whether the endpoint
    /// was not already known to be leaving.
    pub fn leaving(&mut self, name: &str, now: Timestamp) -> bool {
        let state = self.entry(name, now);
        let is_new = !state.is_leaving(now);
        state.leaving_until = Some(now + LEAVING_VALIDITY);
        is_new
    }

    /// Records the measured time of a stage at the endpoint.
    pub fn measured(
        &mut self,
        name: &str,
        stage: u64,
        size: SizeClass,
        took: Duration,
        now: Timestamp,
    ) {
        let state = self.entry(name, now);
        state.estimates.entry((stage, size)).or_default().add(took);
        self.stages.entry((stage, size)).or_default().add(took);
    }

    /// Removes endpoints without attempts in flight that have been unused for [`UNUSED_RETENTION`].
    pub fn forget_unused(&mut self, now: Timestamp) {
        self.endpoints
            .retain(|_, e| e.in_flight > 0 || now.saturating_sub(e.used_at) < UNUSED_RETENTION);
    }
}
