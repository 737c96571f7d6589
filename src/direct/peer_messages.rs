//! Messages between gateways: handles those of peers, and sends this gateway's gossip.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::departures::Departure;
use crate::direct::event::Action;
use crate::direct::limits::known::AnnouncedLimit;
use crate::direct::limits::limiter::Asker;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::build::{Build, GreetingChange};
use crate::direct::peers::codec::Unreadable;
use crate::direct::peers::message::{Job, JobId, JobReason, PeerMessage};
use crate::direct::published::documents::Seen;
use crate::direct::published::position::Position;
use crate::direct::requests::stages::CancelledJob;
use crate::message::Timestamp;

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
                self.observe_peer_era(from, era);
                self.peer_answered(from, complete);
                let seen = Seen { endpoints: self.eras.resolve(seen.endpoints), ..seen };
                self.evacuations_received(from, &evacuations, now);
                self.departures_received(from, departures, now);
                self.limits_received(from, &limits, now);
                self.owners.usage_announced(from, usage, &self.table);
                self.requests.event_lag_announced(from, event_lag, now);
                let changes = self.members.merge(&members, now);
                for member in changes.replaced {
                    self.peer_down(member.address, member.incarnation, "restarted", now);
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
                    let message = self.gossip(self.all_departures(), self.limits.newest(now), now);
                    self.send(from, message);
                }
                self.pulls.on_announcement(from, seen, complete, self.pull_state(), now);
            }
            PeerMessage::Pull { seen, configuration, number } => {
                self.on_pull(from, seen, configuration.then_some(number));
            }
            PeerMessage::Configuration { revision, deployment, era, .. } => {
                let position = self.eras.resolve(Position::new(era, revision));
                self.on_configuration(from, position, deployment, now);
            }
            PeerMessage::NoConfiguration => self.pull_failed(from, 0, "refused", now),
            PeerMessage::Documents { documents, complete, seen, era } => {
                let listed_at = complete.then_some(Position::new(era, seen));
                self.on_documents(from, documents, listed_at, now);
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
            PeerMessage::Suspects(accounts) => self.suspects_received(from, &accounts, now),
            PeerMessage::AskSuspects(digest) => self.suspects_requested(from, digest, now),
            PeerMessage::AskPermit { number, limit, priority, wait } => {
                let asker = Asker { gateway: from, number };
                self.permit_requested(asker, &limit, priority, wait, now);
            }
            PeerMessage::Permit { number, granted, retry_after } => {
                self.permit_decided(from, number, granted, retry_after, now);
            }
            PeerMessage::Cancelled { job, reason, not_started, retry_after } => {
                let cancelled = CancelledJob { reason, not_started, retry_after };
                self.requests.job_cancelled(job, from, cancelled, &self.table, now);
            }
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
        self.limiter_down(address, now);
    }

    /// Handles a peer's greeting, which names its build.
    pub(super) fn on_greeting(&mut self, address: SocketAddr, incarnation: u64, build: &Build) {
        match self.builds.on_greeting(address, incarnation, build) {
            GreetingChange::Unchanged => {}
            GreetingChange::OtherBuild => self.log_build(address, incarnation, build, "first"),
            GreetingChange::OwnBuild(before) => {
                self.log_build(address, incarnation, &before, "last")
            }
        }
    }

    fn log_build(
        &mut self,
        address: SocketAddr,
        incarnation: u64,
        build: &Build,
        heard: &'static str,
    ) {
        crate::metrics::peers_of_other_builds(self.builds.other_count());
        let Build { version, commit, form } = build.clone();
        self.log(LogEvent::PeerBuild { address, incarnation, version, commit, form, heard });
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
            self.log(LogEvent::PeerUnread { address: from, form, cause });
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

    fn gossip(
        &self,
        departures: Vec<Departure>,
        limits: Vec<AnnouncedLimit>,
        now: Timestamp,
    ) -> PeerMessage {
        PeerMessage::Gossip {
            members: self.members.digest(),
            seen: self.documents.seen(),
            complete: self.documents.is_complete(),
            usage: self.owners.usage(),
            event_lag: self.event_lag.estimate(now),
            evacuations: self.evacuations.clone(),
            departures,
            limits,
            era: self.eras.newest(),
        }
    }

    pub(super) fn send_heartbeat(&mut self, now: Timestamp) {
        let to = self.members.next_heartbeat(&mut self.rng);
        let departures = self.departure_updates(now);
        let limits = self.limit_updates(now);
        let message = self.gossip(departures, limits, now);
        self.exchange_suspects(&to, now);
        self.out.push(Action::Broadcast { to, message });
    }

    /// Sends gossip to a peer whose connection failed. If the peer is down, the attempt shows that
    /// it is unreachable. If it is up, messages in transit may be lost, so this gateway's jobs are
    /// submitted to it again.
    pub(super) fn probe_peer(&mut self, address: SocketAddr, now: Timestamp) {
        let message = self.gossip(Vec::new(), Vec::new(), now);
        self.send(address, message);
        self.requests.resubmit_jobs(address);
    }
}
