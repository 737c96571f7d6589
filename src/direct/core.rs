//! The decisions of a gateway that calls endpoints directly, without I/O or clock.
//!
//! One core a process: what is published, who the other gateways are, callers' requests, and the
//! pools of which this gateway is the owner.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::documents::{Document, Documents, Merged, Revised, Seen};
use super::event::{Action, Event, StoreRead};
use super::members::{HEARTBEAT, MemberState, Members};
use super::message::PeerMessage;
use super::note::{Note, ms};
use super::pulls::{Own, Pulls};
use super::repeats::Bounds;
use super::requests::Requests;
use super::scheduler::Scheduler;
use super::table::Table;
use crate::actor::Core;
use crate::message::Timestamp;

/// After it was told to stop, a gateway takes requests on kept connections for so long, where
/// others serve.
const STILL_TAKING: Duration = Duration::from_millis(1_500);
/// Where nobody else serves, it takes requests until so long before it is killed.
const LAST_REQUEST: Duration = Duration::from_millis(4_500);

/// A process ends so long before it would be killed.
pub const BEFORE_KILL: Duration = Duration::from_millis(300);

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
    pub data_centre: super::model::Name,
    /// Where it may meet others.
    pub seeds: Vec<SocketAddr>,
    /// The budget of repeats.
    pub repeats: Bounds,
    /// From the signal to stop until the process is killed.
    pub grace: Duration,
    /// The seed of the random choices.
    pub seed: u64,
}

/// One gateway.
#[derive(Debug)]
pub struct GatewayCore {
    members: Members,
    documents: Documents,
    table: Table,
    requests: Requests,
    scheduler: Scheduler,
    pulls: Pulls,
    next_beat: Timestamp,
    draining_since: Option<Timestamp>,
    grace: Duration,
    is_ready: bool,
    rng: StdRng,
    out: Vec<Action>,
}

impl GatewayCore {
    /// A gateway that knows nothing yet.
    pub fn new(setup: Setup) -> Self {
        Self {
            members: Members::new(setup.address, setup.incarnation, setup.capacity, setup.seeds),
            documents: Documents::default(),
            table: Table::default(),
            requests: Requests::new(
                setup.address,
                setup.incarnation,
                setup.data_centre,
                setup.repeats,
            ),
            scheduler: Scheduler::new(setup.repeats),
            pulls: Pulls::default(),
            next_beat: Timestamp::ZERO,
            draining_since: None,
            grace: setup.grace,
            is_ready: false,
            rng: StdRng::seed_from_u64(setup.seed),
            out: vec![Action::Note(Note::Started { incarnation: setup.incarnation })],
        }
    }

    /// Requests and jobs that are not over.
    pub fn in_flight(&self) -> usize {
        self.requests.len() + self.scheduler.jobs()
    }

    /// What a process that ends now leaves undone, as a line.
    pub fn stopped(&self, now: Timestamp) -> Note {
        let streams = self.requests.streams();
        Note::Stopped {
            stopping_ms: ms(now.saturating_sub(self.draining_since.unwrap_or(now))),
            unanswered: self.requests.len() - streams,
            streams,
            jobs: self.scheduler.jobs(),
        }
    }

    /// What is known and compiled.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    fn on_event(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Submit { caller, incoming } => {
                let draining = !self.takes_requests(now);
                let known = self.documents.is_complete();
                self.note_taken_in_stop(&incoming.id, !draining, now);
                self.requests.submit(caller, incoming, &self.table, known, draining, now);
            }
            Event::CallerGone { caller } => self.requests.caller_gone(caller, now),
            Event::Answered { caller, attempt, proof, is_open } => {
                self.requests.answered(caller, attempt, proof, is_open, &self.table, now);
            }
            Event::CallFailed { caller, attempt, failure } => {
                self.requests.call_failed(caller, attempt, failure, &self.table, now);
            }
            Event::FirstEvent { caller } => self.requests.first_event(caller),
            Event::StreamEnded { caller, attempt, whole, last_event } => {
                self.requests.stream_ended(caller, attempt, whole, last_event, &self.table, now);
            }
            Event::BatchEnded { call, outcome } => {
                self.scheduler.batch_ended(call, outcome, &self.table, now);
            }
            Event::Peer { from, message } => self.on_peer(from, message, now),
            Event::PeerBroke { address, incarnation } => {
                if self.members.suspect(address, incarnation, now) {
                    self.probe(address);
                }
            }
            Event::PeerReset { address } => {
                let alive = self.members.alive().find(|m| m.address == address);
                let incarnation = alive.map(|m| m.incarnation);
                if incarnation.is_some_and(|i| self.members.suspect(address, i, now)) {
                    self.probe(address);
                }
            }
            Event::PeerUnreachable { address } => self.on_unreachable(address, now),
            Event::Published { documents, whole_at } => {
                self.documents.publisher(true, now);
                if documents.iter().any(Revised::is_deployment) {
                    self.pulls.read_ended();
                }
                let merged = match whole_at {
                    Some(at) => self.documents.merge_list(documents, at, now),
                    None => self.documents.merge(documents, now),
                };
                self.merged(&merged, "publisher", true, now);
            }
            Event::Publisher { answers } => {
                self.documents.publisher(answers, now);
                self.note(Note::Publisher { answers });
            }
            Event::Reading => self.pulls.reading(now),
            Event::PeerSends { from } => self.pulls.progressed(from, now),
            Event::PeerBrokeOff { from } => self.pull_failed(from, "broken off", now),
            Event::StoreRead(read) => {
                // What a whole one gave follows as published; until then it is on its way.
                if read.subject == StoreRead::CONFIGURATION && read.outcome != StoreRead::WHOLE {
                    self.pulls.read_ended();
                }
                self.note(Note::store_read(&read));
            }
            Event::Seeds(seeds) => self.members.set_seeds(seeds),
            Event::Drain => self.drain(now),
            Event::Tick => {}
        }
    }

    fn takes_requests(&self, now: Timestamp) -> bool {
        let Some(since) = self.draining_since else {
            return true;
        };
        let longest = self.grace.saturating_sub(LAST_REQUEST).max(STILL_TAKING);
        let long = if self.members.is_served_elsewhere() { STILL_TAKING } else { longest };
        now < since + long
    }

    fn note_taken_in_stop(&mut self, request: &super::model::Name, taken: bool, now: Timestamp) {
        let Some(since) = self.draining_since else {
            return;
        };
        let stopping = now.saturating_sub(since);
        self.note(Note::StopDecided {
            request: request.clone(),
            at: "door",
            taken,
            stopping_ms: ms(stopping),
            left_ms: ms(self.grace.saturating_sub(BEFORE_KILL + stopping)),
            expected_ms: None,
            served_elsewhere: self.members.is_served_elsewhere(),
        });
    }

    fn note(&mut self, note: Note) {
        self.out.push(Action::Note(note));
    }

    fn drain(&mut self, now: Timestamp) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            let served_elsewhere = self.members.is_served_elsewhere();
            self.note(Note::Stopping { grace_ms: ms(self.grace), served_elsewhere });
            self.next_beat = now;
        }
    }

    fn on_peer(&mut self, from: SocketAddr, message: PeerMessage, now: Timestamp) {
        match message {
            PeerMessage::Gossip { members, seen, complete, usage } => {
                self.scheduler.told_usage(from, usage);
                let heard = self.members.hear(&members, now);
                for member in heard.ended {
                    self.peer_lost(member.address, member.incarnation, "restarted", now);
                }
                for member in heard.alive {
                    self.note(Note::Peer {
                        address: member.address,
                        incarnation: member.incarnation,
                        alive: true,
                        cause: "heard",
                    });
                }
                self.pulls.told(from, seen, complete, self.own(), now);
            }
            PeerMessage::Pull { seen, configuration } => self.on_pull(from, seen, configuration),
            PeerMessage::Configuration { revision, deployment } => {
                self.pulls.answered(from);
                let document = Document::Deployment(deployment);
                let merged = self.documents.merge(vec![Revised { revision, document }], now);
                self.note_pull(from, "answered");
                self.merged(&merged, &from.to_string(), false, now);
            }
            PeerMessage::NoConfiguration => self.pull_failed(from, "refused", now),
            PeerMessage::Documents { documents, complete } => {
                self.on_documents(from, documents, complete, now);
            }
            PeerMessage::Submit(job)
                if self.documents.is_complete() && self.takes_requests(now) =>
            {
                self.scheduler.submit(*job, &self.table, now);
            }
            PeerMessage::Submit(job) => {
                let message = PeerMessage::GivenUp {
                    job: job.id,
                    reason: super::message::JobReason::NotOwner,
                    untouched: true,
                    retry_after: Duration::ZERO,
                };
                self.tell(from, message);
            }
            PeerMessage::Release(job) => self.scheduler.release(job, &self.table),
            PeerMessage::Accepted(job) => self.requests.accepted(job, from),
            PeerMessage::StageDone { job, stage, results } => {
                self.requests.stage_done(job, from, stage, results);
            }
            PeerMessage::Ready(job) => self.requests.ready(job, from, &self.table, now),
            PeerMessage::GivenUp { job, reason, untouched, retry_after } => {
                self.requests.given_up(job, from, reason, untouched, retry_after, now);
            }
        }
    }

    fn on_documents(
        &mut self,
        from: SocketAddr,
        documents: Vec<Revised>,
        complete: bool,
        now: Timestamp,
    ) {
        let merged = self.documents.merge(documents, now);
        if complete {
            self.documents.note_listed();
        }
        self.pulls.list_came();
        self.merged(&merged, &from.to_string(), false, now);
    }

    fn note_pull(&mut self, peer: SocketAddr, outcome: &'static str) {
        let Seen { version, endpoints } = self.documents.seen();
        self.note(Note::Pull { peer, outcome, version, endpoints });
    }

    fn own(&self) -> Own {
        Own { seen: self.documents.seen(), complete: self.documents.is_complete() }
    }

    fn on_pull(&mut self, from: SocketAddr, seen: Seen, configuration: bool) {
        let documents = self.documents.endpoints_after(seen.endpoints);
        let complete = self.documents.is_complete();
        let newer = self.documents.deployment_after(seen.version).filter(|_| configuration);
        let (deployment, endpoints) = (newer.is_some(), documents.len());
        self.note(Note::Pulled { peer: from, deployment, endpoints });
        self.tell(from, PeerMessage::Documents { documents, complete });
        match newer {
            Some((revision, deployment)) => {
                self.tell(from, PeerMessage::Configuration { revision, deployment });
            }
            None if configuration => self.tell(from, PeerMessage::NoConfiguration),
            None => {}
        }
    }

    fn pull_failed(&mut self, peer: SocketAddr, outcome: &'static str, now: Timestamp) {
        if self.pulls.failed(peer, now) {
            self.note_pull(peer, outcome);
        }
    }

    fn note_configured(&mut self, before: u64, source: &str, now: Timestamp) {
        let version = self.documents.deployment().version;
        let told = self.pulls.configured(version, now);
        self.note(Note::Configured {
            version,
            before,
            source: source.to_owned(),
            known_ms: told.map_or(0, |t| ms(now.saturating_sub(t.at))),
            known_from: told.map(|t| t.peer),
        });
    }

    fn merged(&mut self, merged: &Merged, source: &str, spread: bool, now: Timestamp) {
        if let Some(before) = merged.deployment {
            self.note_configured(before, source, now);
            self.out.push(Action::Limits(self.documents.deployment().limits.clone()));
        }
        for id in &merged.endpoints {
            let state = self.documents.state(id).as_str();
            let (endpoint, source) = (id.clone(), source.to_owned());
            self.out.push(Action::Note(Note::Endpoint { endpoint, state, source }));
        }
        if merged.is_empty() {
            return;
        }
        if merged.deployment.is_some() {
            let deployment = self.documents.deployment().clone();
            self.table = Table::new(deployment, self.documents.endpoints());
        } else {
            for id in &merged.endpoints {
                self.table.replace(id, self.documents.endpoint(id));
            }
        }
        self.requests.changed(&self.table);
        self.scheduler.changed(&self.table);
        if spread {
            self.next_beat = Timestamp::ZERO;
        }
    }

    fn on_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        let alive = self.members.alive().find(|m| m.address == address);
        if let Some(incarnation) = alive.map(|m| m.incarnation)
            && self.members.broke(address, incarnation, now)
        {
            self.peer_lost(address, incarnation, "unreachable", now);
        }
    }

    fn peer_lost(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        cause: &'static str,
        now: Timestamp,
    ) {
        self.note(Note::Peer { address, incarnation, alive: false, cause });
        self.pulls.lost(address);
        let is_gone =
            |job: &super::message::JobId| job.gateway == address && job.incarnation == incarnation;
        self.scheduler.release_all_of(is_gone, &self.table);
        self.scheduler.owner_lost(address, now);
        self.requests.owner_lost(address, incarnation);
    }

    fn tell(&mut self, to: SocketAddr, message: PeerMessage) {
        self.out.push(Action::Tell { to, message });
    }

    fn housekeeping(&mut self, now: Timestamp) {
        for member in self.members.expire(now) {
            self.peer_lost(member.address, member.incarnation, "silent", now);
        }
        let expired = self.documents.expire(now);
        self.merged(&expired, "not back", false, now);
        self.update_state();
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT;
            self.beat();
        }
        self.catch_up(now);
        self.scheduler.look(&self.table, now);
        self.requests.look(&self.table, now);
    }

    fn update_state(&mut self) {
        let draining = self.draining_since.is_some();
        let ready = self.documents.is_complete() && !draining;
        let state = match (draining, ready) {
            (true, _) => MemberState::Leaving,
            (false, true) => MemberState::Serving,
            (false, false) => MemberState::Starting,
        };
        if self.members.set_state(state) {
            self.next_beat = Timestamp::ZERO;
        }
        if ready != self.is_ready {
            self.is_ready = ready;
            self.out.push(Action::Ready(ready));
            self.note(Note::Ready { ready });
        }
    }

    fn gossip(&self) -> PeerMessage {
        PeerMessage::Gossip {
            members: self.members.digest(),
            seen: self.documents.seen(),
            complete: self.documents.is_complete(),
            usage: self.scheduler.usage(),
        }
    }

    fn beat(&mut self) {
        let to = self.members.beat(&mut self.rng);
        let message = self.gossip();
        for address in to {
            self.tell(address, message.clone());
        }
    }

    /// A peer's connection broke. If it is gone, it can't be reached; if it lives, what was on the
    /// way may be lost: its owner is told again what it has of this gateway.
    fn probe(&mut self, address: SocketAddr) {
        let message = self.gossip();
        self.tell(address, message);
        self.requests.submit_again(address);
    }

    /// Asks peers for what they have seen and this gateway has not.
    fn catch_up(&mut self, now: Timestamp) {
        let own = self.own();
        let due = self.pulls.due(own, &self.members, &mut self.rng, now);
        if let Some(peer) = due.silent {
            self.note_pull(peer, "silent");
        }
        let seen = if own.complete { own.seen } else { Seen::default() };
        if let Some(peer) = due.list {
            self.tell(peer, PeerMessage::Pull { seen, configuration: false });
        }
        if let Some(peer) = due.configuration {
            self.note_pull(peer, "asked");
            self.tell(peer, PeerMessage::Pull { seen: own.seen, configuration: true });
        }
    }

    /// Carries messages to the own scheduler or requests without the network.
    fn collect(&mut self, now: Timestamp) -> Vec<Action> {
        let own = self.members.own().address;
        let mut actions = Vec::new();
        loop {
            let mut produced = std::mem::take(&mut self.out);
            produced.extend(self.requests.actions(&self.members, &self.table, &mut self.rng, now));
            produced.extend(self.scheduler.actions(&self.table, now));
            if produced.is_empty() {
                return actions;
            }
            for action in produced {
                match action {
                    Action::Tell { to, message } if to == own => self.on_peer(own, message, now),
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

    fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.on_event(event, now);
        self.housekeeping(now);
        self.collect(now)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = [self.scheduler.next_wakeup(), self.requests.next_wakeup()];
        let pulls = self.pulls.next_wakeup(self.documents.is_complete()).into_iter();
        let behind = pulls.chain(self.documents.next_expiry()).chain(self.members.next_suspicion());
        wakeups.into_iter().flatten().chain(behind).chain([self.next_beat]).min()
    }
}
