//! Requests of callers in one gateway: each gets exactly one final answer.
//!
//! A request is sent a second time only if the first call is proved not to have run or the request
//! is repeatable, and only within the shared repeat budget.
//!
//! `core` passes in events of callers, endpoints and owners. `stages` and `owners` have the stages
//! run; `dispatch` and `choice` send requests to endpoints, selected by `policy::place`, or by
//! `engine_choice` if engines state their load; `prompt_source` names the engine that has parts of
//! a prompt; `attempts` tracks the calls, `stream_end` the ends of streams, and
//! `unframed_end` has the ends of answers without framing confirmed; `permits` and `ramp` limit the load after endpoints asked
//! for it; `resumption` finds out which software version continues a stream, `stream_origins` records
//! it; `changes` applies changed endpoints; `deferred`, `stopping`, `overload` and `poison`
//! handle startup, shutdown, overload and requests that crash endpoints; `jitter`
//! spreads the retries of callers.

mod admission;
mod attempts;
mod changes;
mod choice;
pub mod deferred;
mod dispatch;
pub mod durations;
pub mod endpoints;
mod engine_choice;
mod failure;
pub mod fetch_times;
mod jitter;
mod overload;
mod owners;
mod permits;
mod poison;
mod prompt_source;
mod ramp;
pub mod request;
pub mod resumption;
pub(super) mod stages;
pub(super) mod stopping;
mod stream_end;
mod stream_origins;
pub(super) mod unframed_end;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::direct::backoff::Backoffs;
use crate::direct::cold::ColdEndpoints;
use crate::direct::engines::Engines;
use crate::direct::event::{Action, IncomingRequest, Refusal, Refused};
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::retry_times::RetryTimes;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::build::Builds;
use crate::direct::peers::members::Members;
use crate::direct::peers::message::{JobId, PeerMessage};
use crate::direct::poison::suspects::Suspects;
use crate::direct::published::model::{Name, Organisation, Route};
use crate::direct::published::regions::AllowedRegions;
use crate::direct::published::table::Table;
use crate::direct::repeats::{RepeatBudget, RepeatLimiter};
use crate::direct::requests::admission::admissible;
use crate::direct::requests::choice::select_pool;
use crate::direct::requests::durations::DurationHistory;
use crate::direct::requests::endpoints::Observations;
use crate::direct::requests::fetch_times::FetchTimes;
use crate::direct::requests::jitter::RetryJitter;
use crate::direct::requests::owners::OwnerRanking;
use crate::direct::requests::ramp::Ramps;
use crate::direct::requests::request::{Phase, Request};
use crate::direct::requests::resumption::{place_of, stream_of};
use crate::direct::requests::stopping::Stopping;
use crate::direct::requests::stream_origins::StreamOrigins;
use crate::message::Timestamp;

/// Delay after which refused callers should retry, unless a better estimate is available.
pub(super) const RETRY_SOON: Duration = Duration::from_millis(250);
/// Delay after which callers should retry, at another gateway, while this one has no configuration.
pub(super) const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// After the process was suspended, timers are deferred by this time so that responses which
/// arrived during the suspension are read, and late ones delivered, before calls count as silent.
pub const RESUME_GRACE: Duration = Duration::from_millis(100);

/// Timer of a request, with the number of skipped owners, of the attempt or of the lookup's round
/// that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline,
    OwnerDecision(u32),
    Response(u64),
    InputsFetched(u64),
    Survival(u64),
    EndCheck(u64),
    OriginLookup(u32),
    ListConfirmation,
}

/// The requests of one gateway and the state that decisions on them depend on.
#[derive(Debug)]
pub struct Requests {
    pub(super) own: SocketAddr,
    pub(super) incarnation: u64,
    pub(super) data_centre: Name,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) by_job: HashMap<JobId, u64>,
    pub(super) timers: BTreeSet<(Timestamp, u64, Timer)>,
    pub(super) observations: Observations,
    /// Load of the engines, and the parts of prompts that they have.
    pub(super) engines: Engines,
    pub(super) cold: ColdEndpoints,
    /// Pauses that endpoints asked for.
    pub(super) backoffs: Arc<Backoffs>,
    /// Rate limits that endpoints announced.
    pub(super) limits: Arc<KnownLimits>,
    /// Earliest time to ask again for a permit, by endpoint and priority, after a refusal.
    retry_times: RetryTimes,
    retry_jitter: RetryJitter,
    /// Number of the last permit that was asked for.
    last_permit: u64,
    ramps: Ramps,
    pub(super) durations: DurationHistory,
    pub(super) fetch_times: FetchTimes,
    pub(super) stopping: Option<Stopping>,
    /// When a stopping process last checked the requests that wait for their stages.
    pub(super) stages_checked_at: Timestamp,
    /// When a stopping process last recorded the durations of running requests.
    pub(super) running_sampled_at: Timestamp,
    pub(super) repeats: RepeatLimiter,
    pub(super) gateway_count: usize,
    owners: OwnerRanking,
    /// Cells that recently refused a job for lack of time or capacity, with the end of that state.
    pub(super) refusing_cells: HashMap<Name, Timestamp>,
    /// Event lag of this process: how long events wait before they are handled.
    pub(super) event_lag: Duration,
    /// When this process last resumed after a suspension; earlier starting times give no durations.
    pub(super) resumed_at: Timestamp,
    /// Event lag that other gateways announced.
    pub(super) peer_lags: HashMap<SocketAddr, overload::AnnouncedLag>,
    /// Fingerprints of requests under which endpoints crashed.
    pub(super) suspects: Arc<Suspects>,
    pub(super) last_attempt: u64,
    /// Callers whose stages are submitted by the next call of [`Self::actions`].
    pub(super) pending_submissions: Vec<u64>,
    /// Origins of streams that callers may resume.
    origins: StreamOrigins,
    /// Callers whose streams' origins are looked up by the next call of [`Self::actions`].
    pending_lookups: Vec<u64>,
    /// Callers whose streams wait until the list of endpoints is confirmed.
    awaiting_list: Vec<u64>,
    /// Callers whose jobs are submitted again, to the same owner.
    pub(super) pending_resubmissions: Vec<u64>,
    pub(super) out: Vec<Action>,
}

impl Requests {
    /// Creates an empty set of requests.
    pub fn new(own: SocketAddr, incarnation: u64, data_centre: Name, budget: RepeatBudget) -> Self {
        Self {
            own,
            incarnation,
            data_centre,
            requests: HashMap::new(),
            by_job: HashMap::new(),
            timers: BTreeSet::new(),
            observations: Observations::default(),
            engines: Engines::default(),
            cold: ColdEndpoints::new(own),
            backoffs: Arc::new(Backoffs::new(own)),
            limits: Arc::default(),
            retry_times: RetryTimes::default(),
            retry_jitter: RetryJitter::default(),
            last_permit: 0,
            ramps: Ramps::default(),
            durations: DurationHistory::default(),
            fetch_times: FetchTimes::default(),
            stopping: None,
            stages_checked_at: Timestamp::ZERO,
            running_sampled_at: Timestamp::ZERO,
            repeats: RepeatLimiter::new(budget),
            gateway_count: 1,
            owners: OwnerRanking::default(),
            refusing_cells: HashMap::new(),
            event_lag: Duration::ZERO,
            resumed_at: Timestamp::ZERO,
            peer_lags: HashMap::new(),
            suspects: Arc::default(),
            last_attempt: 0,
            pending_submissions: Vec::new(),
            origins: StreamOrigins::default(),
            pending_lookups: Vec::new(),
            awaiting_list: Vec::new(),
            pending_resubmissions: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Number of requests without a final answer or with an open stream.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The callers of all matching requests, in an order that makes replays deterministic.
    pub(super) fn callers_where(&self, matches: impl Fn(&Request) -> bool) -> Vec<u64> {
        let found = self.requests.iter().filter(|(_, request)| matches(request));
        let mut callers: Vec<u64> = found.map(|(caller, _)| *caller).collect();
        callers.sort_unstable();
        callers
    }

    /// Number of streams that are being forwarded.
    pub fn streams(&self) -> usize {
        self.requests.values().filter(|r| r.phase == Phase::Streaming).count()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When [`Self::run_timers`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _, _)| *at)
    }

    /// Submits the pending stages and takes all actions, with jitter added to retry delays.
    pub fn actions(
        &mut self,
        members: &Members,
        builds: &Builds,
        table: &Table,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Vec<Action> {
        self.gateway_count = members.known_count();
        self.update_holders(members, builds);
        for caller in std::mem::take(&mut self.pending_lookups) {
            self.look_up(caller, table, now);
        }
        for caller in std::mem::take(&mut self.pending_submissions) {
            self.submit_stages(caller, members, table, now);
        }
        for caller in std::mem::take(&mut self.pending_resubmissions) {
            self.resubmit(caller, now);
        }
        self.report_streams(now);
        let mut actions = std::mem::take(&mut self.out);
        self.retry_jitter.add(&mut actions, rng);
        actions
    }

    /// Handles a new request. `arrived` lies in the past if the request waited for a configuration.
    pub fn submit(
        &mut self,
        caller: u64,
        incoming: IncomingRequest,
        table: &Table,
        is_configured: bool,
        arrived: Timestamp,
        now: Timestamp,
    ) {
        let id = incoming.id.clone();
        if !self.is_open(now) {
            self.log_closed(&id, now);
            return self.refuse_on_arrival(caller, &id, Refused::Draining);
        }
        let request = match admissible(&incoming, table, is_configured) {
            Ok((route, organisation)) => self.build(caller, incoming, route, organisation, arrived),
            Err(reason) => return self.refuse_on_arrival(caller, &id, reason),
        };
        if !self.can_accept(&request, now) {
            return self.refuse_on_arrival(caller, &id, Refused::Draining);
        }
        if let Some(retry_after) = self.overload_retry_after(&request, now) {
            return self.refuse_overloaded(caller, &request, retry_after);
        }
        self.out.push(Action::Log(LogEvent::Arrived {
            request: id,
            route: request.route.name.clone(),
            organisation: request.organisation.clone(),
            fingerprint: request.fingerprint.to_string(),
            shared_parts: request.shared_prompt_parts().map(ToOwned::to_owned).collect(),
            version: table.deployment.version,
            left_ms: ms(request.deadline.saturating_sub(now)),
            resumes: request.incoming.resumes.clone(),
        }));
        if let Some(found) = self.find_poison(&request) {
            return self.refuse_poison_on_arrival(caller, &request, found);
        }
        self.timers.insert((request.deadline, caller, Timer::Deadline));
        self.requests.insert(caller, request);
        self.begin(caller, table, now);
    }

    /// Creates the state of an admissible request.
    pub(super) fn build(
        &self,
        caller: u64,
        incoming: IncomingRequest,
        route: &Route,
        organisation: Option<&Organisation>,
        arrived: Timestamp,
    ) -> Request {
        let timeout = incoming.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let stages = route.stages.len();
        let priority = organisation.and_then(|o| o.priority).unwrap_or(route.priority);
        let regions = organisation.map_or(&[][..], |o| &o.allowed_regions);
        Request {
            pool: select_pool(route, stream_of(&incoming, route).unwrap_or(&incoming.id)),
            fingerprint: incoming.content.for_organisation(organisation.map(|o| &*o.name)),
            organisation: organisation.map(|o| o.name.clone()),
            allowed_regions: AllowedRegions::of(&route.allowed_regions, regions),
            priority,
            arrived,
            deadline: arrived + timeout,
            job: JobId { gateway: self.own, incarnation: self.incarnation, number: caller },
            phase: Phase::Running,
            results: vec![Vec::new(); stages],
            owner: None,
            cells: Vec::new(),
            skipped_owners: Vec::new(),
            attempt: None,
            permit: None,
            permits_asked: 0,
            sends: 0,
            uncertain_attempts: 0,
            runs: Vec::new(),
            tried: Vec::new(),
            place: place_of(&incoming, route),
            lookup: None,
            has_begun: false,
            origin: None,
            holds_results: false,
            incoming,
            route: route.clone(),
        }
    }

    pub(super) fn refuse_on_arrival(&mut self, caller: u64, id: &Name, reason: Refused) {
        let retry_after = match reason {
            Refused::NoConfiguration => RETRY_ELSEWHERE,
            Refused::Draining => self.retry_elsewhere_after(),
            _ => Duration::ZERO,
        };
        self.refuse_new(caller, id, reason, retry_after);
    }

    /// Refuses a request that has no entry in `requests` yet.
    fn refuse_new(&mut self, caller: u64, id: &Name, reason: Refused, retry_after: Duration) {
        self.out.push(Action::Log(LogEvent::Ended {
            request: id.clone(),
            outcome: format!("refused: {reason:?}"),
            endpoint: None,
            took_ms: 0,
            retry_after_ms: Some(ms(retry_after)),
        }));
        let refusal = Refusal { reason, not_run: true, retry_after };
        self.out.push(Action::Refuse { caller, refusal });
    }

    /// The caller disconnected: cancels its request.
    pub fn caller_disconnected(&mut self, caller: u64, now: Timestamp) {
        self.record_durations(caller, false, now);
        self.cancel_attempt(caller, now);
        self.out.push(Action::AbortStream { caller });
        self.end(caller, "caller disconnected", None, now);
    }

    /// Runs all timers that are due.
    pub fn run_timers(&mut self, table: &Table, now: Timestamp) {
        self.refuse_unfinishable_stages(now);
        while let Some((at, caller, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, caller, timer));
            match timer {
                Timer::Deadline => self.time_out(caller, now),
                Timer::OwnerDecision(asked) => self.owner_timed_out(caller, asked, at, now),
                Timer::Response(attempt) => self.response_timed_out(caller, attempt, table, now),
                Timer::InputsFetched(attempt) => self.inputs_fetched(caller, attempt),
                Timer::Survival(attempt) => self.survived(caller, attempt),
                Timer::EndCheck(attempt) => self.end_check_due(caller, attempt, table, now),
                Timer::OriginLookup(round) => self.origin_lookup_timed_out(caller, round),
                Timer::ListConfirmation => self.list_not_confirmed(caller, now),
            }
        }
    }

    /// The process was suspended until now: defers the timers that are due by [`RESUME_GRACE`].
    pub fn on_suspension(&mut self, now: Timestamp) {
        self.resumed_at = now;
        self.origins.versions.interrupt(now);
        let later = self.timers.split_off(&(now, 0, Timer::Deadline));
        let due = std::mem::replace(&mut self.timers, later).into_iter();
        self.timers.extend(due.map(|(_, caller, timer)| (now + RESUME_GRACE, caller, timer)));
    }

    /// Time since `since`, or `None` if the process was suspended within that time.
    pub(super) fn elapsed_since(&self, since: Timestamp, now: Timestamp) -> Option<Duration> {
        (since >= self.resumed_at).then(|| now.saturating_sub(since))
    }

    pub(super) fn time_out(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let is_streaming = request.phase == Phase::Streaming;
        self.record_durations(caller, false, now);
        if is_streaming {
            return self.abort(caller, "timed out", now);
        }
        self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
    }

    pub(super) fn abort(&mut self, caller: u64, cause: &str, now: Timestamp) {
        self.cancel_attempt(caller, now);
        self.out.push(Action::AbortStream { caller });
        self.end(caller, &format!("aborted: {cause}"), None, now);
    }

    /// Ends a request with a refusal; aborts it if its answer is already being streamed.
    pub(super) fn refuse(
        &mut self,
        caller: u64,
        reason: Refused,
        retry_after: Duration,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if request.phase == Phase::Streaming {
            return self.abort(caller, "refused while streaming", now);
        }
        let in_doubt = request.uncertain_attempts > 0 || request.attempt.is_some();
        self.cancel_attempt(caller, now);
        let refusal = Refusal { reason, not_run: !in_doubt, retry_after };
        let outcome = format!("refused: {:?}", refusal.reason);
        self.out.push(Action::Refuse { caller, refusal });
        let retry_after = Some(retry_after);
        self.end_with(caller, outcome, None, retry_after, now);
    }

    pub(super) fn end(
        &mut self,
        caller: u64,
        outcome: &str,
        endpoint: Option<&Name>,
        now: Timestamp,
    ) {
        self.end_with(caller, outcome.to_owned(), endpoint.cloned(), None, now);
    }

    pub(super) fn end_with(
        &mut self,
        caller: u64,
        outcome: String,
        endpoint: Option<Name>,
        retry_after: Option<Duration>,
        now: Timestamp,
    ) {
        self.release(caller);
        let Some(request) = self.requests.remove(&caller) else {
            return;
        };
        self.by_job.remove(&request.job);
        self.timers.remove(&(request.deadline, caller, Timer::Deadline));
        self.out.push(Action::Log(LogEvent::Ended {
            request: request.incoming.id.clone(),
            outcome,
            endpoint: endpoint.or_else(|| request.tried.last().cloned()),
            took_ms: ms(now.saturating_sub(request.arrived)),
            retry_after_ms: retry_after.map(ms),
        }));
    }

    /// Notifies the owners that the results of a request's stages are not needed any more.
    pub(super) fn release(&mut self, caller: u64) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        if !std::mem::take(&mut request.holds_results) {
            return;
        }
        let job = request.job;
        let owners = request.owners();
        for to in owners {
            self.out.push(Action::Send { to, message: PeerMessage::Release(job) });
        }
    }
}
