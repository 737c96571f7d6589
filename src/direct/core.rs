//! Core of a gateway that calls endpoints directly: makes all decisions, without I/O or clock.
//!
//! Each process has one core. It holds the published documents, the members of the group of
//! gateways, callers' requests, and the pools that this gateway owns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::actor::Core;
use crate::direct::backoff::Backoffs;
use crate::direct::departures::Departures;
use crate::direct::event::{Action, Event, IncomingRequest};
use crate::direct::event_lag::EventLag;
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::limiter::Limiter;
use crate::direct::limits::permits::PendingPermits;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::owners::Owners;
use crate::direct::peers::build::Builds;
use crate::direct::peers::member::Location;
use crate::direct::peers::members::{HEARTBEAT_INTERVAL, Members};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::Pulls;
use crate::direct::poison::successes::Successes;
use crate::direct::poison::suspects::Suspects;
use crate::direct::poison::unanswered::UnansweredCalls;
use crate::direct::published::documents::{Documents, Seen};
use crate::direct::published::evacuations::{Evacuations, UnconfirmedOrders};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::position::Eras;
use crate::direct::published::table::Table;
use crate::direct::requests::Requests;
use crate::direct::requests::deferred::DeferredRequests;
use crate::direct::requests::stopping::Stopping;
pub use crate::direct::setup::Setup;
use crate::direct::shedding::Shedding;
use crate::direct::stop::{self, Stop};
use crate::direct::store_reading::StoreReading;
use crate::message::Timestamp;

/// Name of the publisher's store as a source in log events.
pub(super) const PUBLISHER: &str = "publisher";
/// Maximum age of a load report, measured from its request. A report that waited to be read while
/// this process was suspended describes the endpoint as it was then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// State of one gateway.
#[derive(Debug)]
pub struct GatewayCore {
    pub(super) members: Members,
    /// Peers that run another build.
    pub(super) builds: Builds,
    pub(super) documents: Documents,
    pub(super) evacuations: Evacuations,
    /// Orders from before an era that the store has not confirmed yet.
    pub(super) unconfirmed_orders: UnconfirmedOrders,
    /// Data centres that get no new work because of an evacuation order.
    pub(super) evacuated: BTreeSet<Name>,
    /// Known eras of the store.
    pub(super) eras: Eras,
    /// Whether the configuration in the store is older than the one in force.
    pub(super) is_published_older: bool,
    pub(super) table: Table,
    pub(super) requests: Requests,
    pub(super) owners: Owners,
    pub(super) pulls: Pulls,
    pub(super) deferred_requests: DeferredRequests,
    pub(super) event_lag: EventLag,
    pub(super) shedding: Shedding,
    /// Fingerprints of content under which endpoints crashed; shared with requests and owners.
    pub(super) suspects: Arc<Suspects>,
    pub(super) broken: UnansweredCalls,
    pub(super) successes: Successes,
    /// Endpoints that announced in a response that they are leaving.
    pub(super) departures: Departures,
    /// Endpoints that asked this gateway for a pause; shared with requests and owners.
    pub(super) backoffs: Arc<Backoffs>,
    /// Rate limits that endpoints state; shared with requests and owners.
    pub(super) limits: Arc<KnownLimits>,
    /// Pending permit requests of this gateway.
    pub(super) permits: PendingPermits,
    /// Permits that this gateway issues.
    pub(super) limiter: Limiter,
    /// Probes that are deferred to the end of the endpoint's pause, by endpoint id.
    pub(super) deferred_probes: BTreeMap<Name, (Timestamp, Arc<Endpoint>)>,
    /// When a peer is next asked for its suspects.
    pub(super) next_suspects_request: Timestamp,
    /// How long the current event waited in the queue.
    queue_delay: Duration,
    /// When the process last resumed after a suspension.
    pub(super) resumed_at: Timestamp,
    /// Gateways that must respond before this one becomes ready; empty once one with a complete
    /// state has responded.
    pub(super) unanswered_peers: BTreeSet<SocketAddr>,
    /// When the first configuration and endpoint list were complete.
    pub(super) documents_since: Option<Timestamp>,
    /// When readiness was last checked.
    pub(super) readiness_checked_at: Timestamp,
    /// When configuration and endpoint list first were the newest known ones, so that requests can
    /// be decided.
    pub(super) complete_since: Option<Timestamp>,
    pub(super) next_heartbeat: Timestamp,
    pub(super) heartbeat_sent_at: Timestamp,
    /// The documents named in the last heartbeat.
    pub(super) announced: Seen,
    pub(super) store_reading: StoreReading,
    pub(super) stop: Option<Stop>,
    grace: Duration,
    pub(super) settling: Duration,
    pub(super) is_ready: bool,
    pub(super) rng: StdRng,
    pub(super) out: Vec<Action>,
}

impl GatewayCore {
    /// Creates a core without documents or known peers.
    pub fn new(setup: Setup) -> Self {
        let mut requests = Requests::new(
            setup.address,
            setup.incarnation,
            setup.data_centre.clone(),
            setup.repeats,
        );
        requests.set_witness_port(setup.witness_port);
        let mut unanswered_peers: BTreeSet<SocketAddr> = setup.seeds.iter().copied().collect();
        unanswered_peers.remove(&setup.address);
        Self {
            members: Members::new(
                setup.address,
                setup.incarnation,
                setup.capacity,
                Location { data_centre: setup.data_centre.clone(), region: setup.region },
                setup.seeds,
            ),
            builds: Builds::default(),
            documents: Documents::default(),
            evacuations: Evacuations::default(),
            unconfirmed_orders: UnconfirmedOrders::default(),
            evacuated: BTreeSet::new(),
            eras: Eras::default(),
            is_published_older: false,
            table: Table::default(),
            requests,
            owners: Owners::new(setup.address, setup.repeats),
            pulls: Pulls::default(),
            deferred_requests: DeferredRequests::default(),
            event_lag: EventLag::default(),
            shedding: Shedding::default(),
            suspects: Arc::default(),
            broken: UnansweredCalls::default(),
            successes: Successes::default(),
            departures: Departures::default(),
            backoffs: Arc::new(Backoffs::new(setup.address)),
            limits: Arc::default(),
            permits: PendingPermits::default(),
            limiter: Limiter::default(),
            deferred_probes: BTreeMap::new(),
            next_suspects_request: Timestamp::ZERO,
            queue_delay: Duration::ZERO,
            resumed_at: Timestamp::ZERO,
            unanswered_peers,
            documents_since: None,
            readiness_checked_at: Timestamp::ZERO,
            complete_since: None,
            next_heartbeat: Timestamp::ZERO,
            heartbeat_sent_at: Timestamp::ZERO,
            announced: Seen::default(),
            store_reading: StoreReading::new(setup.is_first_start),
            stop: None,
            grace: setup.grace,
            settling: setup.settling,
            is_ready: false,
            rng: StdRng::seed_from_u64(setup.seed),
            out: vec![Action::Log(LogEvent::started(setup.incarnation))],
        }
    }

    /// Number of unfinished requests and jobs.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.owners.jobs()
    }

    /// Number of other gateways that are considered up.
    pub fn members_up(&self) -> usize {
        self.members.up().count()
    }

    /// Number of peers that run another build.
    pub fn peers_of_other_builds(&self) -> usize {
        self.builds.other_count()
    }

    /// Table compiled from the published documents.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    fn on_event(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Submit { caller, incoming } => self.submit(caller, incoming, now),
            Event::CallerDisconnected { caller } => {
                self.deferred_requests.caller_disconnected(caller);
                self.requests.caller_disconnected(caller, now);
            }
            Event::Answered { caller, attempt, proof, is_open } => {
                self.requests.answered(caller, attempt, proof, is_open, &self.table, now);
            }
            Event::CallFailed { caller, attempt, failure } => {
                self.requests.call_failed(caller, attempt, failure, &self.table, now);
            }
            Event::CallSent { caller, attempt } => self.requests.call_sent(caller, attempt, now),
            Event::FirstEvent { caller } => self.requests.first_event(caller, now),
            Event::StreamEnded { caller, attempt, stream } => {
                self.requests.stream_ended(caller, attempt, stream, &self.table, now);
            }
            Event::Identified { caller, attempt, identity } => {
                self.requests.identified(caller, attempt, identity, &self.table, now);
            }
            Event::BatchEnded { call, outcome } => {
                self.owners.batch_ended(call, outcome, &self.table, now);
            }
            Event::EndpointStatus { endpoint, asked, statement, sent, at } => {
                self.on_endpoint_status(&endpoint, asked, statement, (sent, at), now);
            }
            Event::ReportReceived { endpoint, requested_at, .. }
                if now >= requested_at + MAX_REPORT_AGE =>
            {
                self.log(LogEvent::NoReport { endpoint });
            }
            Event::ReportReceived { endpoint, report, .. } => {
                self.owners.reported(&endpoint, report, &self.table, now);
            }
            Event::ReportFailed { endpoint } => self.log(LogEvent::NoReport { endpoint }),
            Event::Probed { endpoint, incarnation, is_closed } => {
                self.on_probed(&endpoint, incarnation, is_closed, now);
            }
            Event::PeerMessage { from, message } => self.on_peer_message(from, message, now),
            Event::PeerGreeted { address, incarnation, build } => {
                self.on_greeting(address, incarnation, &build);
            }
            Event::PeerMessageUnreadable { from, announced_form, unread } => {
                self.on_unreadable_message(from, announced_form, unread)
            }
            Event::PeerInboundFailed { address, incarnation } => {
                if self.members.suspect(address, incarnation, now) {
                    self.probe_peer(address, now);
                }
            }
            Event::PeerOutboundFailed { address } => {
                let incarnation = self.members.incarnation_of(address);
                if self.requests.is_witness(address) {
                    self.requests.holder_unreachable(address, now);
                } else if incarnation
                    .is_some_and(|incarnation| self.members.suspect(address, incarnation, now))
                {
                    self.probe_peer(address, now);
                }
            }
            Event::PeerUnreachable { address } => self.on_unreachable(address, now),
            Event::Published { documents, extent } => self.on_published(documents, extent, now),
            Event::Evacuations { changes, snapshot_at } => {
                self.evacuations_published(&changes, snapshot_at, now);
            }
            Event::UnreadableDocument { key, cause } => {
                self.log(LogEvent::Unreadable { key, cause })
            }
            Event::UnknownFields { document, fields } => {
                self.log(LogEvent::unknown_fields(document, fields));
            }
            Event::PublisherStatus { answers } => self.on_publisher_status(answers, now),
            Event::StoreChecked { part } => self.on_store_checked(part, now),
            Event::StoreEra { era } => self.observe_era(era, PUBLISHER),
            Event::ConfigurationReadProgress => self.pulls.read_progressed(now),
            Event::ConfigurationPullProgress { from, progress } => {
                self.pulls.progressed(from, progress, now)
            }
            Event::ConfigurationPullAborted { from, pull } => {
                self.pull_failed(from, pull, "broken off", now)
            }
            Event::StoreRead(read) => self.on_store_read(&read),
            Event::SeedsChanged(seeds) => self.members.set_seeds(seeds),
            Event::Drain { at } => self.drain(at.min(now), now),
            Event::Shutdown => self.shut_down(now),
            Event::Tick => {}
        }
    }

    /// How long messages may wait to be handled by this process.
    pub(super) fn delay_of_events(&self, now: Timestamp) -> Duration {
        self.queue_delay.max(self.event_lag.estimate(now))
    }

    pub(super) fn log(&mut self, event: LogEvent) {
        self.out.push(Action::Log(event));
    }

    /// Submits a request, or defers it while the documents that its decision needs are about to
    /// arrive.
    fn submit(&mut self, caller: u64, incoming: IncomingRequest, now: Timestamp) {
        let arrived = now.saturating_sub(self.queue_delay);
        if self.deferred_requests.is_open() && !self.can_decide(&incoming, now) {
            return self.deferred_requests.add(caller, incoming, arrived);
        }
        let known = self.is_complete();
        self.requests.submit(caller, incoming, &self.table, known, arrived, now);
    }

    fn drain(&mut self, at: Timestamp, now: Timestamp) {
        if self.stop.is_none() {
            self.stop = Some(Stop::new(at, self.grace));
            let others_serve = stop::others_serve(&self.members, now);
            self.log(LogEvent::Stopping { grace_ms: ms(self.grace), others_serve });
            self.next_heartbeat = now;
            self.update_stop(now);
        }
    }

    /// Updates the requests' view of the stop.
    fn update_stop(&mut self, now: Timestamp) {
        if let Some(stop) = self.stop {
            let stopping = Stopping {
                stop,
                others_serve: stop::others_serve(&self.members, now),
                retry_after: stop::retry_after(&stop, &self.members, now),
            };
            self.requests.set_stopping(stopping, now);
        }
    }

    /// Ends the process's work: everything that is unfinished is refused or aborted.
    fn shut_down(&mut self, now: Timestamp) {
        self.drain(now, now);
        if let Some(stop) = &mut self.stop {
            stop.end_now(now);
        }
        self.update_stop(now);
        self.submit_deferred_requests(now);
        let (unanswered, streams) = self.requests.end_all(now);
        let own = self.members.own().address;
        self.owners.hand_back_jobs(own);
        self.log(LogEvent::Stopped {
            stopping_ms: self.stop.map_or(0, |s| ms(s.elapsed(now))),
            unanswered,
            streams,
            jobs: self.owners.jobs(),
        });
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        self.out.push(Action::Send { to, message });
    }

    fn housekeeping(&mut self, now: Timestamp) {
        let delay = self.delay_of_events(now);
        for member in self.members.suspect_silent(delay, now) {
            let own = self.members.own().address;
            self.log(LogEvent::suspected(&member, own, true));
            self.next_heartbeat = Timestamp::ZERO;
        }
        for member in self.members.expire(delay, now) {
            self.peer_down(member.address, member.incarnation, "silent", now);
            // If the peer is up, its connections have fallen silent, and probably the one to it as
            // well.
            self.out.push(Action::Disconnect { from: member.address });
        }
        let expired = self.documents.expire(now);
        self.merged(&expired, "not back", false, now);
        self.confirm_orders(now);
        self.update_state(now);
        self.update_store_reading(now);
        self.update_shedding(now);
        self.submit_deferred_requests(now);
        self.send_deferred_probes(now);
        self.process_permits(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.heartbeat_sent_at = now;
            self.send_heartbeat(now);
        }
        self.pull_missing_documents(now);
        self.owners.run_timers(&self.table, now);
        self.requests.run_timers(&self.table, now);
    }

    /// Collects the actions to carry out; delivers messages to this gateway itself without the
    /// network.
    fn collect(&mut self, now: Timestamp) -> Vec<Action> {
        let own = self.members.own().address;
        let mut actions = Vec::new();
        self.requests.set_list_current_at(self.store_reading.current_at());
        loop {
            let mut produced = std::mem::take(&mut self.out);
            produced.extend(self.requests.actions(
                &self.members,
                &self.builds,
                &self.table,
                &mut self.rng,
                now,
            ));
            produced.extend(self.owners.actions(&self.table, now));
            if produced.is_empty() {
                return actions;
            }
            for action in produced {
                match action {
                    Action::Send { to, message } if to == own => {
                        self.on_peer_message(own, message, now)
                    }
                    Action::PoisonReport(report) => self.on_poison_report(report, now),
                    Action::RequestPermit(wanted) => self.request_permit(wanted, now),
                    action => actions.push(action),
                }
            }
        }
    }
}

impl Core for GatewayCore {
    type Event = Event;
    type Action = Action;
    const TICK: Event = Event::Tick;

    /// Events of own callers and their calls are handled before work on behalf of other gateways.
    fn is_urgent(event: &Event) -> bool {
        matches!(
            event,
            Event::Submit { .. }
                | Event::CallerDisconnected { .. }
                | Event::Answered { .. }
                | Event::CallFailed { .. }
                | Event::CallSent { .. }
                | Event::EndpointStatus { .. }
                | Event::FirstEvent { .. }
                | Event::StreamEnded { .. }
                | Event::Identified { .. }
                | Event::Probed { .. }
                | Event::Drain { .. }
                | Event::Shutdown
        )
    }

    /// Messages that peers sent during the suspension are unread, so their silence says nothing
    /// about them. Sends a heartbeat to all known peers at once, and asks for the changes since.
    fn on_suspension(&mut self, duration: Duration, now: Timestamp) {
        self.resumed_at = now;
        self.members.on_suspension(duration, now);
        self.requests.on_suspension(now);
        self.owners.on_suspension(now);
        self.next_heartbeat = Timestamp::ZERO;
        self.next_suspects_request = Timestamp::ZERO;
        self.log(LogEvent::Suspended { for_ms: ms(duration) });
    }

    fn on_queue_delay(&mut self, queue_delay: Duration, now: Timestamp) {
        self.queue_delay = queue_delay;
        // The time of a suspension does not count as event lag.
        self.event_lag.record(queue_delay.min(now.saturating_sub(self.resumed_at)), now);
        let event_lag = self.event_lag.estimate(now);
        self.requests.set_event_lag(event_lag);
        self.owners.set_event_lag(event_lag);
        if let Some(is_overloaded) = self.event_lag.overload_change(now) {
            self.log(LogEvent::Overloaded { is_overloaded, late_ms: ms(event_lag) });
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.update_stop(now);
        self.on_event(event, now);
        self.housekeeping(now);
        self.collect(now)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = [self.owners.next_wakeup(), self.requests.next_wakeup()];
        let pulls = self.pulls.next_wakeup(self.pull_state()).into_iter();
        let documents =
            pulls.chain(self.documents.next_expiry()).chain(self.members.next_suspicion());
        let documents =
            documents.chain(self.unconfirmed_orders.next_expiry()).chain(self.next_completion());
        let settled = self
            .complete_since
            .filter(|_| !self.deferred_requests.is_empty())
            .map(|s| s + self.settling);
        let deferred = self.deferred_requests.next_wakeup().into_iter().chain(settled);
        let deferred = deferred.chain(self.next_permit());
        wakeups
            .into_iter()
            .flatten()
            .chain(documents)
            .chain(deferred)
            .chain([self.next_heartbeat])
            .min()
    }
}
