//! The decisions of a gateway that calls endpoints directly, without I/O or clock.
//!
//! One core a process: what is published, who the other gateways are, callers' requests, and the
//! pools of which this gateway is the owner.

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
use crate::direct::lateness::Lateness;
use crate::direct::limits::known::KnownLimits;
use crate::direct::limits::limiter::Limiter;
use crate::direct::limits::permits::Permits;
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::owner::owners::Owners;
use crate::direct::peers::build::Builds;
use crate::direct::peers::members::{HEARTBEAT, Members};
use crate::direct::peers::message::PeerMessage;
use crate::direct::peers::pulls::Pulls;
use crate::direct::poison::broken::Broken;
use crate::direct::poison::successes::Successes;
use crate::direct::poison::suspects::Suspects;
use crate::direct::published::documents::Documents;
use crate::direct::published::evacuations::{Evacuations, Unconfirmed};
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::position::Eras;
use crate::direct::published::table::Table;
use crate::direct::repeats::Bounds;
use crate::direct::requests::Requests;
use crate::direct::requests::early::Waiting;
use crate::direct::requests::stopping::Stopping;
use crate::direct::stop::{self, Stop};
use crate::message::Timestamp;

/// What lines call the store as the source of something.
pub(super) const PUBLISHER: &str = "publisher";
/// A report of how an endpoint stands is worth something for so long after it was asked for: one that lay unread while
/// this process stood still tells how the endpoint stood then.
const REPORT_KEPT: Duration = Duration::from_millis(500);

/// What a gateway is made with.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its life; a later one is a larger number.
    pub incarnation: u64,
    /// The processor time that its host has, in thousandths of a core.
    pub capacity: u32,
    /// Where it stands.
    pub data_centre: Name,
    /// Where it may meet others.
    pub seeds: Vec<SocketAddr>,
    /// The budget of repeats.
    pub repeats: Bounds,
    /// From the signal to stop until the process is killed.
    pub grace: Duration,
    /// From the first configuration until stages are begun; see [`crate::direct::requests::early::SETTLING`].
    pub settling: Duration,
    /// The seed of the random choices.
    pub seed: u64,
}

/// One gateway.
#[derive(Debug)]
pub struct GatewayCore {
    pub(super) members: Members,
    /// Which of them run another build.
    pub(super) builds: Builds,
    pub(super) documents: Documents,
    pub(super) evacuations: Evacuations,
    /// Orders of before an era that the store has yet to confirm.
    pub(super) unconfirmed: Unconfirmed,
    /// Data centres that get no new work by order.
    pub(super) evacuated: BTreeSet<Name>,
    /// Known eras of the store.
    pub(super) eras: Eras,
    /// Whether the configuration in the store is older than the one in force.
    pub(super) published_older: bool,
    pub(super) table: Table,
    pub(super) requests: Requests,
    pub(super) owners: Owners,
    pub(super) pulls: Pulls,
    pub(super) early: Waiting,
    pub(super) lateness: Lateness,
    /// Contents under which endpoints crashed; requests and owners have the same.
    pub(super) suspects: Arc<Suspects>,
    pub(super) broken: Broken,
    pub(super) successes: Successes,
    /// Endpoints that said in answers that they leave.
    pub(super) departures: Departures,
    /// Endpoints that asked this gateway for a pause; requests and owners have the same.
    pub(super) backoffs: Arc<Backoffs>,
    /// Limits that endpoints name; requests and owners have the same.
    pub(super) limits: Arc<KnownLimits>,
    /// Permits for messages to them that were asked for.
    pub(super) permits: Permits,
    /// Permits that this gateway gives.
    pub(super) limiter: Limiter,
    /// Probes that wait for the end of such a pause.
    pub(super) later_probes: BTreeMap<Name, (Timestamp, Arc<Endpoint>)>,
    /// When another gateway is next asked for what it knows of them.
    pub(super) next_ask: Timestamp,
    /// How long the event that is handled has waited.
    waited: Duration,
    /// When the process last went on after it had stood still.
    pub(super) resumed_at: Timestamp,
    /// Gateways to be asked before this one calls itself ready; none once one has answered that serves.
    pub(super) unmet: BTreeSet<SocketAddr>,
    /// When the first configuration and list came.
    pub(super) documented_since: Option<Timestamp>,
    /// When it was last looked at what this gateway is ready for.
    pub(super) updated_at: Timestamp,
    /// When they were first the newest that was known of.
    pub(super) complete_since: Option<Timestamp>,
    pub(super) next_beat: Timestamp,
    pub(super) stop: Option<Stop>,
    grace: Duration,
    pub(super) settling: Duration,
    pub(super) is_ready: bool,
    pub(super) rng: StdRng,
    pub(super) out: Vec<Action>,
}

impl GatewayCore {
    /// A gateway that knows nothing yet.
    pub fn new(setup: Setup) -> Self {
        let mut unmet: BTreeSet<SocketAddr> = setup.seeds.iter().copied().collect();
        unmet.remove(&setup.address);
        Self {
            members: Members::new(setup.address, setup.incarnation, setup.capacity, setup.seeds),
            builds: Builds::default(),
            documents: Documents::default(),
            evacuations: Evacuations::default(),
            unconfirmed: Unconfirmed::default(),
            evacuated: BTreeSet::new(),
            eras: Eras::default(),
            published_older: false,
            table: Table::default(),
            requests: Requests::new(
                setup.address,
                setup.incarnation,
                setup.data_centre,
                setup.repeats,
            ),
            owners: Owners::new(setup.address, setup.repeats),
            pulls: Pulls::default(),
            early: Waiting::default(),
            lateness: Lateness::default(),
            suspects: Arc::default(),
            broken: Broken::default(),
            successes: Successes::default(),
            departures: Departures::default(),
            backoffs: Arc::new(Backoffs::new(setup.address)),
            limits: Arc::default(),
            permits: Permits::default(),
            limiter: Limiter::default(),
            later_probes: BTreeMap::new(),
            next_ask: Timestamp::ZERO,
            waited: Duration::ZERO,
            resumed_at: Timestamp::ZERO,
            unmet,
            documented_since: None,
            updated_at: Timestamp::ZERO,
            complete_since: None,
            next_beat: Timestamp::ZERO,
            stop: None,
            grace: setup.grace,
            settling: setup.settling,
            is_ready: false,
            rng: StdRng::seed_from_u64(setup.seed),
            out: vec![Action::Log(LogEvent::started(setup.incarnation))],
        }
    }

    /// Requests and jobs that are not over.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.owners.jobs()
    }

    /// Other gateways that run another build.
    pub fn peers_of_other_builds(&self) -> usize {
        self.builds.others()
    }

    /// What is known and compiled.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    fn on_event(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Submit { caller, incoming } => self.submit(caller, incoming, now),
            Event::CallerDisconnected { caller } => {
                self.early.caller_gone(caller);
                self.requests.caller_gone(caller, now);
            }
            Event::Answered { caller, attempt, proof, is_open } => {
                self.requests.answered(caller, attempt, proof, is_open, &self.table, now);
            }
            Event::CallFailed { caller, attempt, failure } => {
                self.requests.call_failed(caller, attempt, failure, &self.table, now);
            }
            Event::CallSent { caller, attempt } => self.requests.call_sent(caller, attempt, now),
            Event::FirstEvent { caller } => self.requests.first_event(caller, now),
            Event::StreamEnded { caller, attempt, is_complete, last_event } => {
                self.requests.stream_ended(
                    caller,
                    attempt,
                    is_complete,
                    last_event,
                    &self.table,
                    now,
                );
            }
            Event::BatchEnded { call, outcome } => {
                self.owners.batch_ended(call, outcome, &self.table, now);
            }
            Event::EndpointStatus { endpoint, asked, statement, sent, at } => {
                self.stated(&endpoint, asked, statement, (sent, at), now);
            }
            Event::ReportReceived { endpoint, requested_at, .. }
                if now >= requested_at + REPORT_KEPT =>
            {
                self.log(LogEvent::NoReport { endpoint });
            }
            Event::ReportReceived { endpoint, report, .. } => {
                self.owners.reported(&endpoint, report, &self.table, now);
            }
            Event::ReportFailed { endpoint } => self.log(LogEvent::NoReport { endpoint }),
            Event::Probed { endpoint, incarnation, is_closed } => {
                self.probed(&endpoint, incarnation, is_closed, now);
            }
            Event::PeerMessage { from, message } => self.on_peer(from, message, now),
            Event::PeerGreeted { address, incarnation, build } => {
                self.greeted(address, incarnation, &build);
            }
            Event::PeerMessageUnreadable { from, announced_form, unread } => {
                self.unread(from, announced_form, unread)
            }
            Event::PeerInboundFailed { address, incarnation } => {
                if self.members.suspect(address, incarnation, now) {
                    self.probe(address, now);
                }
            }
            Event::PeerOutboundFailed { address } => {
                let life = self.members.life(address);
                if life.is_some_and(|life| self.members.suspect(address, life, now)) {
                    self.probe(address, now);
                }
            }
            Event::PeerUnreachable { address } => self.on_unreachable(address, now),
            Event::Published { documents, snapshot_at } => {
                self.published(documents, snapshot_at, now)
            }
            Event::Evacuations { changes, snapshot_at } => {
                self.evacuations_published(&changes, snapshot_at, now);
            }
            Event::Unreadable { key, cause } => self.log(LogEvent::Unreadable { key, cause }),
            Event::UnknownFields { document, fields } => {
                self.log(LogEvent::unknown_fields(document, fields));
            }
            Event::PublisherStatus { answers } => {
                self.documents.publisher(answers, now);
                self.log(LogEvent::Publisher { answers });
            }
            Event::StoreEra { era } => self.observe_era(era, PUBLISHER),
            Event::ConfigurationReadProgress => self.pulls.reading(now),
            Event::ConfigurationPullProgress { from, progress } => {
                self.pulls.progressed(from, progress, now)
            }
            Event::ConfigurationPullAborted { from, pull } => {
                self.pull_failed(from, pull, "broken off", now)
            }
            Event::StoreRead(read) => self.store_read(&read),
            Event::Seeds(seeds) => self.members.set_seeds(seeds),
            Event::Drain { at } => self.drain(at.min(now), now),
            Event::Shutdown => self.end(now),
            Event::Tick => {}
        }
    }

    pub(super) fn log(&mut self, event: LogEvent) {
        self.out.push(Action::Log(event));
    }

    /// A caller asks: its request waits while what it needs to be decided is about to come.
    fn submit(&mut self, caller: u64, incoming: IncomingRequest, now: Timestamp) {
        let arrived = now.saturating_sub(self.waited);
        if self.early.is_open() && !self.knows_enough(&incoming, now) {
            return self.early.add(caller, incoming, arrived);
        }
        let known = self.is_complete();
        self.requests.submit(caller, incoming, &self.table, known, arrived, now);
    }

    fn drain(&mut self, at: Timestamp, now: Timestamp) {
        if self.stop.is_none() {
            self.stop = Some(Stop::new(at, self.grace));
            let others_serve = stop::others_serve(&self.members, now);
            self.log(LogEvent::Stopping { grace_ms: ms(self.grace), others_serve });
            self.next_beat = now;
            self.look_at_stop(now);
        }
    }

    /// Tells the requests how the stop stands.
    fn look_at_stop(&mut self, now: Timestamp) {
        if let Some(stop) = self.stop {
            let stopping = Stopping {
                stop,
                others_serve: stop::others_serve(&self.members, now),
                come_back_after: stop::come_back_after(&stop, &self.members, now),
            };
            self.requests.stopping(stopping, now);
        }
    }

    /// Nothing can be done any more: whoever waits is told so.
    fn end(&mut self, now: Timestamp) {
        self.drain(now, now);
        if let Some(stop) = &mut self.stop {
            stop.end(now);
        }
        self.look_at_stop(now);
        self.look_at_early(now);
        let (unanswered, streams) = self.requests.end_all(now);
        let own = self.members.own().address;
        self.owners.end_all(own);
        self.log(LogEvent::Stopped {
            stopping_ms: self.stop.map_or(0, |s| ms(s.age(now))),
            unanswered,
            streams,
            jobs: self.owners.jobs(),
        });
    }

    pub(super) fn tell(&mut self, to: SocketAddr, message: PeerMessage) {
        self.out.push(Action::Send { to, message });
    }

    fn housekeeping(&mut self, now: Timestamp) {
        for member in self.members.expire(now) {
            self.peer_lost(member.address, member.incarnation, "silent", now);
            // If it lives, its connections have fallen silent, and the own one probably, too. On the day
            // of silent connections gateways heard of each other 0.01 to 0.2 s later, instead of 0.6 to 1.0 s.
            self.out.push(Action::Disconnect { from: member.address });
        }
        let expired = self.documents.expire(now);
        self.merged(&expired, "not back", false, now);
        self.confirm_orders(now);
        self.update_state(now);
        self.look_at_early(now);
        self.probe_later_ones(now);
        self.look_at_permits(now);
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT;
            self.beat(now);
        }
        self.catch_up(now);
        self.owners.look(&self.table, now);
        self.requests.look(&self.table, now);
    }

    /// Carries messages to the own scheduler or requests without the network.
    fn collect(&mut self, now: Timestamp) -> Vec<Action> {
        let own = self.members.own().address;
        let mut actions = Vec::new();
        loop {
            let mut produced = std::mem::take(&mut self.out);
            produced.extend(self.requests.actions(&self.members, &self.table, &mut self.rng, now));
            produced.extend(self.owners.actions(&self.table, now));
            if produced.is_empty() {
                return actions;
            }
            for action in produced {
                match action {
                    Action::Send { to, message } if to == own => self.on_peer(own, message, now),
                    Action::PoisonReport(report) => self.poison_reported(report, now),
                    Action::RequestPermit(wanted) => self.ask_permit(wanted, now),
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

    /// What own callers ask and what becomes of their calls: it is handled before what other gateways
    /// have this one do for theirs.
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
                | Event::Probed { .. }
                | Event::Drain { .. }
                | Event::Shutdown
        )
    }

    /// Nobody was heard meanwhile, which says nothing of them. Whoever is there is told at once that this process
    /// is, and asked for what is new.
    fn on_suspension(&mut self, duration: Duration, now: Timestamp) {
        self.resumed_at = now;
        self.members.on_suspension(duration, now);
        self.requests.on_suspension(now);
        self.owners.on_suspension(now);
        self.next_beat = Timestamp::ZERO;
        self.next_ask = Timestamp::ZERO;
        self.log(LogEvent::Suspended { for_ms: ms(duration) });
    }

    fn on_queue_delay(&mut self, waited: Duration, now: Timestamp) {
        self.waited = waited;
        // A process that stood still is not short of time since.
        self.lateness.waited(waited.min(now.saturating_sub(self.resumed_at)), now);
        let lateness = self.lateness.now(now);
        self.requests.set_lateness(lateness);
        self.owners.set_lateness(lateness);
        if let Some(is_overloaded) = self.lateness.changed(now) {
            self.log(LogEvent::Overloaded { is_overloaded, late_ms: ms(lateness) });
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.look_at_stop(now);
        self.on_event(event, now);
        self.housekeeping(now);
        self.collect(now)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = [self.owners.next_wakeup(), self.requests.next_wakeup()];
        let pulls = self.pulls.next_wakeup(self.own()).into_iter();
        let behind = pulls.chain(self.documents.next_expiry()).chain(self.members.next_suspicion());
        let behind = behind.chain(self.unconfirmed.next_expiry()).chain(self.next_completion());
        let settled =
            self.complete_since.filter(|_| !self.early.is_empty()).map(|s| s + self.settling);
        let early = self.early.next_wakeup().into_iter().chain(settled);
        let early = early.chain(self.next_permit());
        wakeups.into_iter().flatten().chain(behind).chain(early).chain([self.next_beat]).min()
    }
}
