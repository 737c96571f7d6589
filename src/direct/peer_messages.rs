//! Messages between gateways: handles those of peers, and sends this gateway's gossip.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::departures::Departure;
use crate::direct::event::Action;
use crate::direct::event_lag::OVERLOAD_LAG;
use crate::direct::limits::known::AnnouncedLimit;
use crate::direct::limits::limiter::Asker;
use crate::direct::log_events::{LogEvent, PeerUnread};
use crate::direct::peers::codec::Unreadable;
use crate::direct::peers::heartbeat::{GatewayState, Heartbeat, Probe};
use crate::direct::peers::members::MembershipChanges;
use crate::direct::peers::message::{Job, JobId, JobReason, PeerMessage};
use crate::direct::peers::neighbours::{News, Recipients};
use crate::direct::poison::SubjectKind;
use crate::direct::poison::suspects::SuspectUpdate;
use crate::direct::publication::PeerList;
use crate::direct::published::documents::Seen;
use crate::direct::published::position::Position;
use crate::direct::requests::resumption::OriginResponse;
use crate::direct::requests::stages::CancelledJob;
use crate::message::Timestamp;

/// Minimum time between a heartbeat and one that forwards changes of members; further changes
/// accumulate meanwhile.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

impl GatewayCore {
    /// Whether this gateway accepts a job that a peer or itself submits. A job that it already has
    /// is always accepted; while the process stops, a new one only if its stages can end before the
    /// process does.
    fn accepts_job(&self, job: &Job, from: SocketAddr, now: Timestamp) -> bool {
        if self.owners.has(&job.id) {
            return true;
        }
        let is_own = from == self.members.own().address;
        let can_end = || self.requests.stages_can_finish(&job.route, job.to_deadline, now);
        self.documents.is_complete() && (is_own || self.requests.is_open(now) && can_end())
    }

    pub(super) fn on_peer_message(
        &mut self,
        from: SocketAddr,
        message: PeerMessage,
        now: Timestamp,
    ) {
        match message {
            PeerMessage::Gossip {
                members,
                seen,
                complete,
                usage,
                event_lag,
                evacuations,
                departures,
                limits,
                era,
            } => {
                let state = GatewayState {
                    seen,
                    complete,
                    usage,
                    event_lag,
                    evacuations,
                    departures,
                    limits,
                    era,
                    engine_loads: Vec::new(),
                };
                let seen = self.on_peer_state(from, state, now);
                let changes = self.members.merge(&members, now);
                self.on_membership_changes(from, changes, now);
                self.on_announcement(from, seen, complete, now);
            }
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, *heartbeat, now),
            PeerMessage::Pull { seen, configuration, number } => {
                self.on_pull(from, seen, configuration.then_some(number));
            }
            PeerMessage::Configuration { revision, deployment, era, health_paths, .. } => {
                let at = self.eras.resolve(Position::new(era, revision));
                self.on_configuration(from, at, deployment.with_health_paths(health_paths), now);
            }
            PeerMessage::NoConfiguration => self.pull_failed(from, 0, "refused", now),
            PeerMessage::Documents { documents, complete, seen, era, verification } => {
                let announced = Position::new(era, seen);
                let list = complete.then_some(PeerList { announced, verification });
                self.on_documents(from, documents, list, now);
            }
            PeerMessage::Submit(job) if self.accepts_job(&job, from, now) => {
                self.owners.submit(*job, &self.table, now);
            }
            PeerMessage::Submit(job) => self.refuse_job(job.id, from),
            PeerMessage::Release(job) => self.owners.release(job, &self.table),
            PeerMessage::Accepted(job) => self.requests.job_accepted(job, from),
            PeerMessage::StageDone { job, stage, results } => {
                self.requests.stage_done(job, from, stage, results);
            }
            PeerMessage::Ready(job) => self.requests.stages_ready(job, from, &self.table, now),
            PeerMessage::Suspects(suspects) => {
                let updates = suspects.into_iter().map(|suspect| SuspectUpdate::new(0, suspect));
                let updates: Vec<SuspectUpdate> = updates.collect();
                self.suspects_received(from, SubjectKind::Content, &updates, now);
            }
            PeerMessage::AskSuspects(digest) => {
                self.suspects_requested(from, SubjectKind::Content, digest, now);
            }
            PeerMessage::SuspectParts(updates) => {
                self.suspects_received(from, SubjectKind::PromptPart, &updates, now);
            }
            PeerMessage::AskSuspectParts(digest) => {
                self.suspects_requested(from, SubjectKind::PromptPart, digest, now);
            }
            PeerMessage::AskPermit { number, limit, priority, wait } => {
                let asker = Asker { gateway: from, number };
                self.permit_requested(asker, &limit, priority, wait, now);
            }
            PeerMessage::Permit { number, granted, retry_after } => {
                self.permit_decided(from, number, granted, retry_after, now);
            }
            PeerMessage::StreamsBegan(streams) => self.requests.streams_began(streams, now),
            PeerMessage::AskOrigin { number, stream, pool } => {
                self.requests.origin_requested(from, number, stream, &pool, now);
            }
            PeerMessage::StreamOrigin { number, stream, origin, versions } => {
                let response = OriginResponse { number, stream, origin, versions };
                self.requests.origin_received(from, response, &self.table, now);
            }
            PeerMessage::Cancelled { job, reason, not_started, retry_after } => {
                let cancelled = CancelledJob { reason, not_started, retry_after };
                self.requests.job_cancelled(job, from, cancelled, &self.table, now);
            }
        }
    }

    /// Merges a peer's state, except for its members; returns the documents that the peer has seen.
    fn on_peer_state(&mut self, from: SocketAddr, state: GatewayState, now: Timestamp) -> Seen {
        self.observe_peer_era(from, state.era);
        self.peer_answered(from, state.complete);
        self.evacuations_received(from, &state.evacuations, now);
        self.departures_received(from, state.departures, now);
        self.limits_received(from, &state.limits, now);
        self.owners.usage_announced(from, state.usage, &self.table);
        self.requests.event_lag_announced(from, state.event_lag, now);
        self.shedding.announced(from, state.event_lag, now);
        self.requests.loads_received(state.engine_loads, &self.table, now);
        Seen { endpoints: self.eras.resolve(state.seen.endpoints), ..state.seen }
    }

    fn on_announcement(&mut self, from: SocketAddr, seen: Seen, complete: bool, now: Timestamp) {
        let distance = self.members.distance_of(from);
        self.documents.record_announcement(seen.endpoints);
        let mut own = self.pull_state();
        if !self.builds.verifies_lists(from) {
            // Its entries complete nothing, so they are pulled only once.
            own.seen.endpoints = own.seen.endpoints.max(self.documents.received());
        }
        self.pulls.on_announcement((from, distance), seen, complete, own, now);
    }

    fn on_heartbeat(&mut self, from: SocketAddr, heartbeat: Heartbeat, now: Timestamp) {
        let Heartbeat { sender, updates, is_complete_list, state, .. } = heartbeat;
        let complete = state.complete;
        let seen = self.on_peer_state(from, state, now);
        let changes = self.members.merge_updates(std::slice::from_ref(&sender), false, now);
        if self.members.is_up(from, sender.member.incarnation) {
            self.members.heard(from, heartbeat.is_monitor, now);
        }
        self.on_membership_changes(from, changes, now);
        let changes = self.members.merge_updates(&updates, is_complete_list, now);
        self.on_membership_changes(from, changes, now);
        if heartbeat.probe == Some(Probe::Reconnect) {
            self.out.push(Action::Disconnect { from });
        }
        if heartbeat.probe.is_some() {
            let heartbeat = self.heartbeat(self.members.is_monitor(from), None, now);
            self.send(from, PeerMessage::Heartbeat(Box::new(heartbeat)));
        }
        if !is_complete_list && self.members.compare_digest(heartbeat.members_digest, now) {
            let message = self.complete_list(Vec::new(), Vec::new(), now);
            self.send(from, message);
        }
        self.on_announcement(from, seen, complete, now);
        let holds_same = !self.documents.seen().is_behind(&seen);
        let is_reliable = self.builds.verifies_lists(from);
        if let Some(age) = heartbeat.store_age.filter(|_| holds_same && is_reliable) {
            self.store_reading.record(now.saturating_sub(age), &mut self.rng);
        }
    }

    /// Applies changes of the membership that a message of a peer contained.
    fn on_membership_changes(
        &mut self,
        from: SocketAddr,
        changes: MembershipChanges,
        now: Timestamp,
    ) {
        for member in changes.replaced {
            self.peer_down(member.address, member.incarnation, "restarted", now);
        }
        for member in changes.suspected {
            self.log(LogEvent::suspected(&member, from, true));
        }
        for member in changes.refuted {
            self.log(LogEvent::suspected(&member, from, false));
        }
        // A gateway that starts receives the members at once, not with the next heartbeat.
        let is_new_peer = changes.joined.iter().any(|m| m.address == from);
        for member in changes.joined {
            self.log(LogEvent::Peer {
                address: member.address,
                incarnation: member.incarnation,
                alive: true,
                cause: "heard",
            });
        }
        if is_new_peer {
            self.request_suspects_soon(now);
            let (departures, limits) = (self.all_departures(), self.limits.newest(now));
            let message = if self.members.has_location(from) {
                self.complete_list(departures, limits, now)
            } else {
                self.gossip(departures, limits, now)
            };
            self.send(from, message);
        }
        for address in changes.unconfirmed {
            self.send_probe(address, Probe::Silent, now);
        }
        if changes.suspects_own || self.members.has_updates() {
            let earliest = self.heartbeat_sent_at + MIN_HEARTBEAT_INTERVAL;
            self.next_heartbeat = self.next_heartbeat.min(earliest);
        }
    }

    /// Records that a peer responded; one peer with a complete state is enough to become ready.
    fn peer_answered(&mut self, from: SocketAddr, complete: bool) {
        if complete {
            self.unanswered_peers.clear();
        } else {
            self.unanswered_peers.remove(&from);
        }
    }

    pub(super) fn on_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        self.unanswered_peers.remove(&address);
        self.requests.holder_unreachable(address, now);
        if self.requests.is_witness(address) {
            self.builds.remove(address);
        }
        if let Some(incarnation) = self.members.incarnation_of(address)
            && self.members.mark_unreachable(address, incarnation, now)
        {
            self.peer_down(address, incarnation, "unreachable", now);
        }
    }

    pub(super) fn peer_down(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        cause: &'static str,
        now: Timestamp,
    ) {
        self.log(LogEvent::Peer { address, incarnation, alive: false, cause });
        if let Some((build_incarnation, build)) = self.builds.remove(address) {
            self.log_build(address, build_incarnation, &build, "last");
        }
        self.pulls.remove_peer(address);
        self.owners.release_jobs_of(address, incarnation, &self.table);
        self.owners.owner_removed(address, now);
        self.requests.owner_removed(address, incarnation);
        self.requests.holder_removed(address);
        self.shedding.removed(address);
        self.limiter_down(address, now);
    }

    /// Handles a peer's message that this build can't read. A gateway that submitted a job learns
    /// at once that the job is not accepted here. Other lost messages are sent again: an unknown
    /// form ends the connection, and a new greeting follows.
    pub(super) fn on_unreadable_message(
        &mut self,
        from: SocketAddr,
        announced_form: u32,
        unread: Unreadable,
    ) {
        let (form, cause) = match unread {
            Unreadable::Form(form) => (form, "unknown form"),
            Unreadable::Message { .. } => (announced_form, "unknown message"),
        };
        if self.builds.report_unreadable(from, form) {
            self.log(LogEvent::PeerUnread(PeerUnread { address: from, form, cause }));
        }
        if let Unreadable::Message { job: Some(job) } = unread {
            self.refuse_job(job, from);
        }
    }

    /// Refuses a job, so that its gateway submits it elsewhere.
    fn refuse_job(&mut self, job: JobId, to: SocketAddr) {
        let (reason, not_started, retry_after) = (JobReason::NotOwner, true, Duration::ZERO);
        self.send(to, PeerMessage::Cancelled { job, reason, not_started, retry_after });
    }

    fn state(
        &self,
        departures: Vec<Departure>,
        limits: Vec<AnnouncedLimit>,
        now: Timestamp,
    ) -> GatewayState {
        GatewayState {
            seen: self.documents.seen(),
            complete: self.documents.is_complete(),
            usage: self.owners.usage(),
            event_lag: self.event_lag.estimate(now),
            evacuations: self.evacuations.clone(),
            departures,
            limits,
            era: self.eras.newest(),
            engine_loads: Vec::new(),
        }
    }

    /// The heartbeat for a peer of form 6 or earlier.
    fn gossip(
        &self,
        departures: Vec<Departure>,
        limits: Vec<AnnouncedLimit>,
        now: Timestamp,
    ) -> PeerMessage {
        let state = self.state(departures, limits, now);
        PeerMessage::Gossip {
            members: self.members.list(),
            seen: state.seen,
            complete: state.complete,
            usage: state.usage,
            event_lag: state.event_lag,
            evacuations: state.evacuations,
            departures: state.departures,
            limits: state.limits,
            era: state.era,
        }
    }

    /// A heartbeat without news.
    fn heartbeat(&mut self, is_monitor: bool, probe: Option<Probe>, now: Timestamp) -> Heartbeat {
        Heartbeat {
            sender: self.members.own_update(),
            is_monitor,
            probe,
            updates: Vec::new(),
            is_complete_list: false,
            members_digest: self.members.digest(),
            store_age: self.store_reading.age(now),
            state: self.state(Vec::new(), Vec::new(), now),
        }
    }

    /// A heartbeat with all members that are up.
    fn complete_list(
        &mut self,
        departures: Vec<Departure>,
        limits: Vec<AnnouncedLimit>,
        now: Timestamp,
    ) -> PeerMessage {
        let updates = self.members.complete_list();
        let state = self.state(departures, limits, now);
        let heartbeat = self.heartbeat(false, None, now);
        let heartbeat = Heartbeat { updates, is_complete_list: true, state, ..heartbeat };
        PeerMessage::Heartbeat(Box::new(heartbeat))
    }

    /// Sends the regular heartbeat, and probes to monitored members that are silent.
    pub(super) fn send_heartbeat(&mut self, now: Timestamp) {
        let departures = self.departure_updates(now);
        let limits = self.limit_updates(now);
        let updates = self.members.take_updates();
        let has_changes = !departures.is_empty()
            || !limits.is_empty()
            || !updates.is_empty()
            || self.suspects.has_changes()
            || self.owners.uses_endpoints() && self.event_lag.estimate(now) >= OVERLOAD_LAG;
        let seen = self.documents.seen();
        let has_moved = std::mem::replace(&mut self.announced, seen) != seen;
        let news = match (has_changes, has_moved) {
            (true, _) => News::Changes,
            (false, true) => News::Position,
            (false, false) => News::None,
        };
        let mut recipients = self.members.next_heartbeat(news, &mut self.rng);
        self.add_owners(&mut recipients);
        self.exchange_suspects(&recipients, now);
        self.send_gossip(&recipients, departures.clone(), limits.clone(), now);
        let mut others = recipients.others;
        let reads_heartbeats = |a: &SocketAddr| self.builds.reads_heartbeats(*a);
        others.extend(recipients.contacts.into_iter().filter(reads_heartbeats));
        let receivers = recipients.monitors.len() + others.len();
        let engine_loads = self.requests.loads_to_send(receivers, now);
        let state = GatewayState { engine_loads, ..self.state(departures, limits, now) };
        let heartbeat = Heartbeat { updates, state, ..self.heartbeat(true, None, now) };
        let other = Heartbeat { is_monitor: false, ..heartbeat.clone() };
        self.broadcast(recipients.monitors, heartbeat);
        self.broadcast(others, other);
        self.probe_silent_members(now);
    }

    fn broadcast(&mut self, to: Vec<SocketAddr>, heartbeat: Heartbeat) {
        if !to.is_empty() {
            let message = PeerMessage::Heartbeat(Box::new(heartbeat));
            self.out.push(Action::Broadcast { to, message });
        }
    }

    /// Sends gossip to members of form 6 and earlier, and to others on their behalf.
    fn send_gossip(
        &mut self,
        recipients: &Recipients,
        departures: Vec<Departure>,
        limits: Vec<AnnouncedLimit>,
        now: Timestamp,
    ) {
        let contacts = recipients.contacts.iter().copied();
        let earlier = contacts.filter(|address| !self.builds.reads_heartbeats(*address));
        let to: Vec<SocketAddr> =
            recipients.without_location.iter().copied().chain(earlier).collect();
        if !to.is_empty() {
            let message = self.gossip(departures, limits, now);
            self.out.push(Action::Broadcast { to, message });
        }
    }

    /// Adds the owners of cells to the recipients of an owner: they use the same endpoints.
    fn add_owners(&self, recipients: &mut Recipients) {
        if !self.owners.uses_endpoints() {
            return;
        }
        let own = self.members.own().address;
        let owners = self.requests.owner_addresses().filter(|address| *address != own);
        let is_new =
            |a: &SocketAddr| !recipients.monitors.contains(a) && !recipients.others.contains(a);
        let added: BTreeSet<SocketAddr> = owners.filter(is_new).collect();
        recipients.others.extend(added);
    }

    fn probe_silent_members(&mut self, now: Timestamp) {
        let silent: Vec<_> = self.members.silent(self.delay_of_events(now), now).collect();
        for (address, probe) in silent {
            if probe == Probe::Reconnect {
                self.out.push(Action::Disconnect { from: address });
            }
            self.send_probe(address, probe, now);
        }
    }

    fn send_probe(&mut self, address: SocketAddr, probe: Probe, now: Timestamp) {
        let message = if self.builds.reads_heartbeats(address) {
            let is_monitor = self.members.is_monitor(address);
            PeerMessage::Heartbeat(Box::new(self.heartbeat(is_monitor, Some(probe), now)))
        } else {
            self.gossip(Vec::new(), Vec::new(), now)
        };
        self.send(address, message);
    }

    /// Probes a peer whose connection failed. If the peer is down, the attempt shows that it is
    /// unreachable. If it is up, messages in transit may be lost, so this gateway's jobs are
    /// submitted to it again, and so are the records of streams that it holds.
    pub(super) fn probe_peer(&mut self, address: SocketAddr, now: Timestamp) {
        self.send_probe(address, Probe::Silent, now);
        self.requests.resubmit_jobs(address);
        self.requests.report_streams_again(address);
    }
}
