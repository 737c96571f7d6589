//! Callers' requests in one gateway: each gets exactly one final answer.
//!
//! A second call needs a proof that the first did not run, or a request that may run again, and a
//! repeat out of the shared budget.
//!
//! `core` hands in what callers, endpoints and owners do; `stages` follows the stages at their owner, `dispatch` sends
//! what may go out, `attempts` follows the calls, `choice` says where they go, `permits` what waits for its turn at an
//! endpoint with a limit, `ramp` how far one is filled again after a pause, `changes` what changed endpoints mean,
//! `stopping` what can still end in a process that stops, `patience` what one does that is short of time, `poison` what
//! crashes endpoints, `early` what comes before the first configuration. Which endpoint is chosen is `policy::place`'s.

mod attempts;
mod changes;
mod choice;
mod dispatch;
pub mod early;
pub mod endpoints;
pub mod experience;
pub mod fetches;
mod owners;
mod patience;
mod permits;
mod poison;
mod ramp;
pub mod request;
pub(super) mod stages;
pub(super) mod stopping;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::backoff::Backoffs;
use crate::direct::cold::ColdEndpoints;
use crate::direct::event::{Action, IncomingRequest, Refusal, Refused};
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::turns::Turns;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::members::Members;
use crate::direct::peers::message::{JobId, PeerMessage};
use crate::direct::poison::suspects::Suspects;
use crate::direct::published::homes::Homes;
use crate::direct::published::model::{Name, Organisation, Route};
use crate::direct::published::table::Table;
use crate::direct::repeats::{Bounds, Repeats};
use crate::direct::requests::endpoints::Observations;
use crate::direct::requests::experience::Experience;
use crate::direct::requests::fetches::Fetches;
use crate::direct::requests::owners::KnownOwners;
use crate::direct::requests::ramp::Ramps;
use crate::direct::requests::request::{Phase, Request};
use crate::direct::requests::stopping::Stopping;
use crate::message::Timestamp;

/// When to come back where nothing better is known.
pub(super) const RETRY_SOON: Duration = Duration::from_millis(250);
/// When to come back to a process that knows too little.
pub(super) const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Callers whose endpoints all asked for a pause, or have limits, come back within that after the time that they are
/// told: it is as long as it is, not half as long again, and the endpoints are filled by degrees anyhow.
const PAUSE_SPREAD: Duration = Duration::from_millis(500);
/// A request without a deadline of its own.
const DEFAULT_ALLOWED: Duration = Duration::from_secs(60);
/// A process that stood still reads for so long what came meanwhile before it judges who was silent: answers that
/// are ready are delivered, also late ones.
pub const READ_FIRST: Duration = Duration::from_millis(100);

/// What is due for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline,
    Owner(u32),
    Silence(u64),
    Fetched(u64),
}

/// The requests of one gateway.
#[derive(Debug)]
pub struct Requests {
    pub(super) own: SocketAddr,
    pub(super) incarnation: u64,
    pub(super) data_centre: Name,
    pub(super) requests: HashMap<u64, Request>,
    pub(super) by_job: HashMap<JobId, u64>,
    pub(super) timers: BTreeSet<(Timestamp, u64, Timer)>,
    pub(super) observations: Observations,
    pub(super) cold: ColdEndpoints,
    /// Endpoints that asked for a pause.
    pub(super) backoffs: Arc<Backoffs>,
    /// Limits that endpoints name.
    pub(super) limits: Arc<KnownLimits>,
    /// When it is the turn of what was refused a permit.
    turns: Turns,
    /// Counts permits that were asked for.
    next_permit: u64,
    ramps: Ramps,
    pub(super) experience: Experience,
    pub(super) fetches: Fetches,
    pub(super) stopping: Option<Stopping>,
    /// When a stopping process last looked at what waits for its stages.
    pub(super) stages_looked_at: Timestamp,
    /// When a stopping process last learnt from what still runs.
    pub(super) running_learnt_at: Timestamp,
    pub(super) repeats: Repeats,
    pub(super) processes: usize,
    owners: KnownOwners,
    /// Cells that refused a job for want of time or room, and until when that holds.
    pub(super) short_cells: HashMap<Name, Timestamp>,
    /// How late this process handles its events.
    pub(super) lateness: Duration,
    /// When this process last went on after it had stood still: times that began before are no experience.
    pub(super) resumed_at: Timestamp,
    /// Other gateways that told that they are late.
    pub(super) late_owners: HashMap<SocketAddr, patience::Told>,
    /// Contents under which endpoints crashed.
    pub(super) suspects: Arc<Suspects>,
    pub(super) next_attempt: u64,
    /// Jobs to be submitted once the members are at hand.
    pub(super) to_submit: Vec<u64>,
    /// Jobs to be submitted once more to the owner that has them.
    pub(super) to_submit_again: Vec<u64>,
    pub(super) out: Vec<Action>,
}

impl Requests {
    /// None yet.
    pub fn new(own: SocketAddr, incarnation: u64, data_centre: Name, bounds: Bounds) -> Self {
        Self {
            own,
            incarnation,
            data_centre,
            requests: HashMap::new(),
            by_job: HashMap::new(),
            timers: BTreeSet::new(),
            observations: Observations::default(),
            cold: ColdEndpoints::new(own),
            backoffs: Arc::new(Backoffs::new(own)),
            limits: Arc::default(),
            turns: Turns::default(),
            next_permit: 0,
            ramps: Ramps::default(),
            experience: Experience::default(),
            fetches: Fetches::default(),
            stopping: None,
            stages_looked_at: Timestamp::ZERO,
            running_learnt_at: Timestamp::ZERO,
            repeats: Repeats::new(bounds),
            processes: 1,
            owners: KnownOwners::default(),
            short_cells: HashMap::new(),
            lateness: Duration::ZERO,
            resumed_at: Timestamp::ZERO,
            late_owners: HashMap::new(),
            suspects: Arc::default(),
            next_attempt: 0,
            to_submit: Vec::new(),
            to_submit_again: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Requests that have no final answer yet, or whose stream is open.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The callers of some requests, always in the same order: schedules and incidents are played again.
    pub(super) fn callers_where(&self, which: impl Fn(&Request) -> bool) -> Vec<u64> {
        let found = self.requests.iter().filter(|(_, request)| which(request));
        let mut callers: Vec<u64> = found.map(|(caller, _)| *caller).collect();
        callers.sort_unstable();
        callers
    }

    /// Streams that are being passed on.
    pub fn streams(&self) -> usize {
        self.requests.values().filter(|r| r.phase == Phase::Streaming).count()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// When [`Self::look`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _, _)| *at)
    }

    /// Takes what must be done.
    pub fn actions(
        &mut self,
        members: &Members,
        table: &Table,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Vec<Action> {
        self.processes = members.known();
        for caller in std::mem::take(&mut self.to_submit) {
            self.submit_stages(caller, members, table, now);
        }
        for caller in std::mem::take(&mut self.to_submit_again) {
            self.resubmit(caller, now);
        }
        let mut actions = std::mem::take(&mut self.out);
        for action in &mut actions {
            if let Action::Refuse { refusal, .. } = action {
                let spread = refusal.retry_after.mul_f64(rng.random_range(0.0..0.5));
                refusal.retry_after += spread.min(longest_spread(&refusal.reason));
            }
        }
        actions
    }

    /// A caller asks; its request `arrived` now or, where it waited for a configuration, before.
    pub fn submit(
        &mut self,
        caller: u64,
        incoming: IncomingRequest,
        table: &Table,
        known: bool,
        arrived: Timestamp,
        now: Timestamp,
    ) {
        let id = incoming.id.clone();
        if !self.is_open(now) {
            self.note_closed(&id, now);
            return self.refuse_at_door(caller, &id, Refused::Draining);
        }
        let request = match admissible(&incoming, table, known) {
            Ok((route, organisation)) => self.begin(caller, incoming, route, organisation, arrived),
            Err(reason) => return self.refuse_at_door(caller, &id, reason),
        };
        if !self.is_taken(&request, now) {
            return self.refuse_at_door(caller, &id, Refused::Draining);
        }
        if let Some(retry_after) = self.too_late_for(&request, now) {
            return self.refuse_too_late(caller, &request, retry_after);
        }
        self.out.push(Action::Log(LogEvent::Arrived {
            request: id,
            route: request.route.name.clone(),
            organisation: request.organisation.clone(),
            fingerprint: request.fingerprint.to_string(),
            version: table.deployment.version,
            left_ms: ms(request.deadline.saturating_sub(now)),
        }));
        if let Some(part) = self.poison_in(&request) {
            return self.refuse_poison_at_door(caller, &request, part);
        }
        self.timers.insert((request.deadline, caller, Timer::Deadline));
        let has_stages = request.has_stages();
        self.requests.insert(caller, request);
        if has_stages {
            self.to_submit.push(caller);
        } else {
            self.dispatch(caller, table, now);
        }
    }

    pub(super) fn begin(
        &self,
        caller: u64,
        incoming: IncomingRequest,
        route: &Route,
        organisation: Option<&Organisation>,
        arrived: Timestamp,
    ) -> Request {
        let allowed = incoming.timeout.unwrap_or(DEFAULT_ALLOWED).min(route.timeout);
        let stages = route.stages.len();
        let priority = organisation.and_then(|o| o.priority).unwrap_or(route.priority);
        let homes = organisation.map_or(&[][..], |o| &o.homes);
        Request {
            pool: target(route, &incoming.id),
            fingerprint: incoming.content.asked_by(organisation.map(|o| &*o.name)),
            organisation: organisation.map(|o| o.name.clone()),
            homes: Homes::of(&route.homes, homes),
            priority,
            arrived,
            deadline: arrived + allowed,
            job: JobId { gateway: self.own, incarnation: self.incarnation, number: caller },
            phase: Phase::Running,
            results: vec![Vec::new(); stages],
            owner: None,
            cells: Vec::new(),
            passed_over: Vec::new(),
            attempt: None,
            permit: None,
            permits_asked: 0,
            sends: 0,
            may_have_run: 0,
            round: 0,
            tried: Vec::new(),
            last_event: incoming.after_event.clone(),
            holds_results: false,
            incoming,
            route: route.clone(),
        }
    }

    pub(super) fn refuse_at_door(&mut self, caller: u64, id: &Name, reason: Refused) {
        let retry_after = match reason {
            Refused::NoConfiguration => RETRY_ELSEWHERE,
            Refused::Draining => self.elsewhere(),
            _ => Duration::ZERO,
        };
        self.refuse_with(caller, id, reason, retry_after);
    }

    /// Refuses a request that was not begun.
    fn refuse_with(&mut self, caller: u64, id: &Name, reason: Refused, retry_after: Duration) {
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

    /// The caller went away: everything of its request stops.
    pub fn caller_gone(&mut self, caller: u64, now: Timestamp) {
        self.learn(caller, false, now);
        self.hang_up(caller);
        self.out.push(Action::AbortStream { caller });
        self.end(caller, "caller gone", None, now);
    }

    /// Looks at what is due.
    pub fn look(&mut self, table: &Table, now: Timestamp) {
        self.give_up_in_stages(now);
        while let Some((at, caller, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, caller, timer));
            match timer {
                Timer::Deadline => self.time_out(caller, now),
                Timer::Owner(asked) => self.owner_silent(caller, asked, at, now),
                Timer::Silence(attempt) => self.silent(caller, attempt, table, now),
                Timer::Fetched(attempt) => self.fetched(caller, attempt),
            }
        }
    }

    /// This process stood still until now: what became due meanwhile is looked at once the answers are read that
    /// came meanwhile.
    pub fn on_suspension(&mut self, now: Timestamp) {
        self.resumed_at = now;
        let later = self.timers.split_off(&(now, 0, Timer::Deadline));
        let due = std::mem::replace(&mut self.timers, later).into_iter();
        self.timers.extend(due.map(|(_, caller, timer)| (now + READ_FIRST, caller, timer)));
    }

    /// How long something took that began at a time, if this process could hear of its end all the while.
    pub(super) fn took(&self, since: Timestamp, now: Timestamp) -> Option<Duration> {
        (since >= self.resumed_at).then(|| now.saturating_sub(since))
    }

    pub(super) fn time_out(&mut self, caller: u64, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let is_streaming = request.phase == Phase::Streaming;
        self.learn(caller, false, now);
        if is_streaming {
            return self.abort(caller, "timed out", now);
        }
        self.refuse(caller, Refused::TimedOut, RETRY_SOON, now);
    }

    pub(super) fn abort(&mut self, caller: u64, why: &str, now: Timestamp) {
        self.hang_up(caller);
        self.out.push(Action::AbortStream { caller });
        self.end(caller, &format!("broken off: {why}"), None, now);
    }

    /// Gives a request up, at once.
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
            return self.abort(caller, "can't go on", now);
        }
        let in_doubt = request.may_have_run > 0 || request.attempt.is_some();
        self.hang_up(caller);
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

    /// Tells the owner that nobody needs the results of a request's stages any more.
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

/// Callers that are refused together come back apart; how far at most.
const fn longest_spread(reason: &Refused) -> Duration {
    match reason {
        Refused::AllPaused | Refused::AllLimited | Refused::NoEndpoint => PAUSE_SPREAD,
        _ => Duration::MAX,
    }
}

type Admissible<'a> = (&'a Route, Option<&'a Organisation>);

/// Checks a request against what is published; nothing of a refused one has run.
fn admissible<'a>(
    incoming: &IncomingRequest,
    table: &'a Table,
    known: bool,
) -> Result<Admissible<'a>, Refused> {
    if !known {
        return Err(Refused::NoConfiguration);
    }
    let route = table.route(&incoming.host, &incoming.path).ok_or(Refused::UnknownRoute)?;
    let needs_key = !route.public && !table.deployment.organisations.is_empty();
    let organisation = incoming.key.as_deref().and_then(|key| table.organisation(key));
    if needs_key && organisation.is_none() {
        return Err(Refused::UnknownKey);
    }
    if !route.stages.is_empty() && incoming.pieces.len() != route.stages.len() {
        return Err(Refused::BadRequest("a count of pieces for each stage is required"));
    }
    Ok((route, organisation))
}

/// The pool of a request among the weighted targets of its route.
fn target(route: &Route, id: &str) -> Name {
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
