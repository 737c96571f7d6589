//! Selection of an engine by the load that engines state: for prompts with shared parts, in pools
//! whose engines state their load. All other requests are sent as `policy::place` selects.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::engines::load::{Load, SharedLoad};
use crate::direct::engines::view::{KnownLoad, REPORT_TTL};
use crate::direct::event::{Action, Refused};
use crate::direct::log_events::{LoadEvent, LogEvent, ms};
use crate::direct::published::model::{Endpoint, Name, Work};
use crate::direct::published::table::Table;
use crate::direct::requests::choice::Unplaced;
use crate::direct::requests::durations::Span;
use crate::direct::requests::request::Request;
use crate::direct::requests::{RETRY_SOON, Requests};
use crate::message::Timestamp;
use crate::policy::place::{Candidate, PlacementReason};
use crate::policy::start_time::{Engine, PromptTimes, earliest_start, select};

/// Range of the work time of an engine relative to its pool that is used. Observed response times
/// include queues, which the expected time to start counts by itself.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);

/// Maximum retry delay, without jitter, if the queues of all engines are too long: how long the
/// requests in them take beyond this depends on callers that leave and engines that are added.
const MAX_BUSY_DELAY: Duration = Duration::from_secs(6);

/// The engine that is expected to start a request first, if none starts it before its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BusyEngine {
    endpoint: Name,
    load: Load,
    /// Number of calls of this gateway since the engine stated its load.
    sent_since: usize,
    report_age: Duration,
    /// Expected time to the first event.
    start: Duration,
}

impl Requests {
    /// Whether a pool has engines that state their load.
    fn states_load(&self, pool: &str, table: &Table) -> bool {
        let is_engine = table.pool(pool).is_some_and(|p| matches!(p.work, Work::Engine(_)));
        let has_stated = |e: &Arc<Endpoint>| self.engines.loads.has_stated(e);
        is_engine && table.pool_endpoints(pool).iter().any(has_stated)
    }

    /// The last shared part of a request's prompt, if the request is sent by the load of engines.
    fn part_to_place<'a>(&self, request: &'a Request, table: &Table) -> Option<&'a str> {
        self.part_to_fetch(request, table).filter(|_| self.isolation_key(request).is_none())
    }

    /// The last shared part of a request's prompt, if the engines of its pool state their load.
    pub(super) fn part_to_fetch<'a>(&self, request: &'a Request, table: &Table) -> Option<&'a str> {
        let has_shared_part = request.prompt_tokens().0 > 0;
        let part = request.shared_prompt_part().filter(|_| has_shared_part)?;
        self.states_load(&request.pool, table).then_some(part)
    }

    /// Selects an engine by the expected time to the first event; `None` if the request is not sent
    /// by the load of engines, or all of them are avoided.
    pub(super) fn select_engine(
        &self,
        request: &Request,
        available: &[&Arc<Endpoint>],
        places: &[Candidate<'_>],
        table: &Table,
        now: Timestamp,
    ) -> Result<Option<(usize, PlacementReason)>, Unplaced> {
        let Some(part) = self.part_to_place(request, table) else {
            return Ok(None);
        };
        let loads: Vec<Option<KnownLoad>> =
            available.iter().map(|e| self.engines.loads.get(e, now)).collect();
        let usual = usual_load(&loads);
        let engines: Vec<Engine<'_>> = (available.iter().zip(places).zip(&loads))
            .map(|((endpoint, place), load)| {
                let has_part = self.engines.parts.last_sent(part, endpoint, now).is_some();
                Engine { has_part, ..self.engine(endpoint, place, *load, usual, now) }
            })
            .collect();
        let times = self.prompt_times(request, &engines);
        let mut known = engines.iter().zip(&loads).filter(|(engine, _)| !engine.avoided);
        if known.all(|(_, load)| load.is_some())
            && let Some((first, start)) = earliest_start(&engines, part, &times)
            && let Some(load) = loads[first]
            && now + start > request.deadline
        {
            return Err(Unplaced::AllBusy(BusyEngine {
                endpoint: available[first].id.clone(),
                load: load.load,
                sent_since: load.sent_since,
                report_age: now.saturating_sub(load.stated_at),
                start,
            }));
        }
        let left = (request.arrived + request.route.objective).saturating_sub(now);
        let selected = select(&engines, part, &times, left);
        Ok(selected.map(|selected| (selected.index, selected.reason)))
    }

    /// An engine with its known load, or else with the usual load of its pool.
    fn engine<'a>(
        &self,
        endpoint: &'a Endpoint,
        place: &Candidate<'_>,
        load: Option<KnownLoad>,
        usual: (f64, f64),
        now: Timestamp,
    ) -> Engine<'a> {
        let (running, waiting) =
            load.map_or(usual, |l| (f64::from(l.load.running), f64::from(l.load.waiting)));
        let since = load.map_or(now.saturating_sub(REPORT_TTL), |l| l.stated_at);
        let sent = self.engines.loads.sent_since(&endpoint.id, since);
        let work_time = load.map_or(1.0, |l| l.work_time);
        let (min, max) = SLOWNESS_RANGE;
        Engine {
            id: &endpoint.id,
            running,
            waiting,
            sent_since: sent as f64,
            report_age: load.map_or(Duration::ZERO, |l| now.saturating_sub(l.stated_at)),
            slots: f64::from(endpoint.slots),
            slowness: (place.slowness * work_time).clamp(min, max),
            avoided: place.avoided,
            has_part: false,
        }
    }

    fn prompt_times(&self, request: &Request, engines: &[Engine<'_>]) -> PromptTimes {
        let (shared, own) = request.prompt_tokens();
        let read_times = &self.engines.read_times;
        let is_full = |e: &Engine<'_>| e.running + e.waiting + e.sent_since + 1.0 > e.slots;
        let run = engines.iter().any(is_full).then(|| self.mean_run(request));
        PromptTimes {
            shared: read_times.time_for(&request.pool, shared),
            own: read_times.time_for(&request.pool, own),
            waiting: read_times.mean_time(&request.pool),
            run: run.flatten().unwrap_or_default(),
        }
    }

    fn mean_run(&self, request: &Request) -> Option<Duration> {
        self.durations.mean(&request.route.name, Span::Run, request.size())
    }

    /// Refuses a request that no engine starts before its deadline.
    pub(super) fn refuse_all_busy(&mut self, caller: u64, busy: BusyEngine, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let retry_after = busy.start.saturating_sub(request.route.objective);
        self.out.push(Action::Log(LogEvent::Load(LoadEvent::EnginesBusy {
            request: request.incoming.id.clone(),
            endpoint: busy.endpoint,
            running: busy.load.running,
            waiting: busy.load.waiting,
            slots: busy.load.slots,
            sent_since: busy.sent_since,
            report_age_ms: ms(busy.report_age),
            start_ms: ms(busy.start),
            left_ms: ms(request.deadline.saturating_sub(now)),
        })));
        let retry_after = retry_after.clamp(RETRY_SOON, MAX_BUSY_DELAY);
        self.refuse(caller, Refused::Overloaded, retry_after, now);
    }

    /// Records the load that the response to a request stated, if its pool has engines.
    pub(super) fn record_engine_load(
        &mut self,
        caller: u64,
        endpoint: &Endpoint,
        load: Load,
        table: &Table,
        now: Timestamp,
    ) {
        let pool = self.requests.get(&caller).and_then(|r| table.pool(&r.pool));
        if pool.is_some_and(|pool| matches!(pool.work, Work::Engine(_))) {
            self.engines.loads.record_own(endpoint, load, now);
        }
    }

    /// Records load reports of a peer, if they are about listed incarnations of engines.
    pub fn loads_received(&mut self, reports: Vec<SharedLoad>, table: &Table, now: Timestamp) {
        for report in reports {
            let listed = table.endpoint(&report.endpoint);
            if listed.is_some_and(|endpoint| endpoint.incarnation == report.incarnation) {
                self.engines.loads.record_shared(report, now);
            }
        }
    }

    /// Takes the load reports to send with the next heartbeat to this number of receivers.
    pub fn loads_to_send(&mut self, receivers: usize, now: Timestamp) -> Vec<SharedLoad> {
        if let Some(age) = self.engines.loads.mean_age(now) {
            crate::metrics::engine_load_age(age);
        }
        let reports = self.engines.loads.take_reports(receivers, now);
        if !reports.is_empty() {
            crate::metrics::load_reports_sent(&reports, receivers);
        }
        reports
    }

    /// Engines of these data centres return after an evacuation: they may have restarted.
    pub(super) fn engines_emptied(
        &mut self,
        data_centres: &BTreeSet<Name>,
        table: &Table,
        now: Timestamp,
    ) {
        for pool in table.deployment.pools.iter().filter(|p| matches!(p.work, Work::Engine(_))) {
            let endpoints = table.pool_endpoints(&pool.name).iter();
            for endpoint in endpoints.filter(|e| data_centres.contains(&e.data_centre)) {
                self.engines.parts.emptied(&endpoint.id, now);
            }
        }
    }
}

/// Mean number of running and waiting requests of the engines whose load is known.
fn usual_load(loads: &[Option<KnownLoad>]) -> (f64, f64) {
    let known: Vec<Load> = loads.iter().flatten().map(|known| known.load).collect();
    let count = known.len().max(1) as f64;
    let running = known.iter().map(|load| f64::from(load.running)).sum::<f64>();
    let waiting = known.iter().map(|load| f64::from(load.waiting)).sum::<f64>();
    (running / count, waiting / count)
}
