//! Rate limits of endpoints: known limits, permits that this gateway requests, and permits that it
//! issues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::core::GatewayCore;
use crate::direct::event::Action;
use crate::direct::limits::known::{AnnouncedLimit, EndpointIncarnation};
use crate::direct::limits::limiter::{Asker, Pace, PermitDecision, PermitRequest};
use crate::direct::limits::permits::{NeededPermit, PendingPermit, Purpose};
use crate::direct::log_events::{LogEvent, ms};
use crate::direct::peers::members::{Member, SETTLE_TIME};
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::model::Endpoint;
use crate::direct::requests::RETRY_SOON;
use crate::direct::statement::RateLimit;
use crate::message::Timestamp;

/// A process that has just started knows too few members to issue permits: a heartbeat reaches 100
/// gateways in four rounds of 200 ms.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);
/// How long a permit is valid; the connection for its message may have to be established first.
const PERMIT_VALIDITY: Duration = Duration::from_millis(300);

impl GatewayCore {
    /// Handles the rate limit in a response, or its absence; returns whether the limit changed.
    pub(super) fn on_limit_status(
        &mut self,
        endpoint: &Endpoint,
        limit: RateLimit,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let is_new = self.limits.is_changed_by(endpoint, limit, sent);
        if is_new {
            Arc::make_mut(&mut self.limits).record(endpoint, limit, now);
        }
        if is_new && let Some(account) = self.limits.announcement(endpoint) {
            self.limit_changed(&account, "answer", now);
        }
        is_new
    }

    /// Merges rate limits that a peer sent.
    pub(super) fn limits_received(
        &mut self,
        from: SocketAddr,
        limits: &[AnnouncedLimit],
        now: Timestamp,
    ) {
        for account in limits {
            if self.limits.is_superseded_by(account) {
                Arc::make_mut(&mut self.limits).merge(account, now);
                self.limit_changed(account, &from.to_string(), now);
            }
        }
    }

    /// Applies a changed limit: from now on messages to the endpoint need a permit, or will need
    /// none after a while.
    fn limit_changed(&mut self, account: &AnnouncedLimit, source: &str, now: Timestamp) {
        let endpoint = (account.endpoint.clone(), account.incarnation);
        let is_limited = self.limits.rate_of(&endpoint, now).is_some();
        self.set_gate(&endpoint, is_limited);
        self.log(LogEvent::Limit {
            endpoint: account.endpoint.clone(),
            incarnation: account.incarnation,
            limit: match account.limit {
                RateLimit::At(rate) => Some(rate.as_per_second()),
                RateLimit::None => None,
            },
            version: account.version,
            source: source.to_owned(),
        });
        self.share_limits(now);
        self.issue_permits(Some(&endpoint), now);
    }

    fn set_gate(&mut self, (endpoint, incarnation): &EndpointIncarnation, is_limited: bool) {
        let (endpoint, incarnation) = (endpoint.clone(), *incarnation);
        self.out.push(Action::RequirePermits { endpoint, incarnation, is_limited });
    }

    /// Distributes the limits to requests and owners.
    fn share_limits(&mut self, now: Timestamp) {
        self.requests.set_limits(&self.limits);
        self.owners.set_limits(&self.limits, &self.table, now);
    }

    /// Returns the limits to send with the next heartbeat, and removes expired ones.
    pub(super) fn limit_updates(&mut self, now: Timestamp) -> Vec<AnnouncedLimit> {
        if !self.limits.is_due(now) {
            return Vec::new();
        }
        let documents = &self.documents;
        let is_listed = |(id, incarnation): &EndpointIncarnation| {
            documents.endpoint(id).is_some_and(|e| e.incarnation == *incarnation)
        };
        let limits = Arc::make_mut(&mut self.limits);
        let forgotten = limits.expire(is_listed, now);
        let updates = limits.take_changes();
        self.lift_limits(&forgotten, now);
        updates
    }

    /// Lifts the need for permits for endpoints without a limit.
    fn lift_limits(&mut self, endpoints: &[EndpointIncarnation], now: Timestamp) {
        if endpoints.is_empty() {
            return;
        }
        for endpoint in endpoints {
            self.set_gate(endpoint, false);
            self.issue_permits(Some(endpoint), now);
        }
        self.share_limits(now);
    }

    /// Handles what is due: permits to issue, limiters that did not respond, endpoints whose limit
    /// ended.
    pub(super) fn process_permits(&mut self, now: Timestamp) {
        for asked in self.permits.take_overdue(now) {
            self.permit_refused(asked, RETRY_SOON, "silent", now);
        }
        if self.limits.next_unlimited().is_some_and(|at| now >= at) {
            let unlimited = Arc::make_mut(&mut self.limits).take_unlimited(now);
            self.lift_limits(&unlimited, now);
        }
        if self.limiter.next_wakeup().is_some_and(|at| now >= at) {
            self.issue_permits(None, now);
        }
    }

    /// Issues the permits that are due, also for an endpoint whose limit changed.
    fn issue_permits(&mut self, changed: Option<&EndpointIncarnation>, now: Timestamp) {
        if self.limiter.is_empty() {
            return;
        }
        let mut limiter = std::mem::take(&mut self.limiter);
        let decided =
            limiter.issue_due(changed, |endpoint| self.pace(endpoint, now), RETRY_SOON, now);
        self.limiter = limiter;
        self.send_decisions(decided);
    }

    /// When [`Self::process_permits`] is due.
    pub(super) fn next_permit(&self) -> Option<Timestamp> {
        let wakeups = [self.permits.next_wakeup(), self.limiter.next_wakeup()];
        wakeups.into_iter().flatten().chain(self.limits.next_unlimited()).min()
    }

    /// Requests a permit for a message from the limiter of its endpoint.
    pub(super) fn request_permit(&mut self, wanted: NeededPermit, now: Timestamp) {
        let builds = &self.builds;
        let issues_permits = |member: &Member| builds.gives_permits(member.address);
        let limiter = self.members.limiter(&wanted.endpoint.id, issues_permits);
        let own = self.members.own().address;
        let account = self.limits.announcement(&wanted.endpoint);
        let (priority, wait) = (wanted.priority, wanted.wait);
        let (Some((limiter, _)), Some(limit)) = (limiter, account) else {
            let asked = PendingPermit { wanted, limiter: own, sent_at: now };
            return self.permit_refused(asked, RETRY_SOON, "no limiter", now);
        };
        let number = self.permits.add(PendingPermit { wanted, limiter, sent_at: now });
        let message = PeerMessage::AskPermit { number, limit, priority, wait };
        self.send(limiter, message);
    }

    /// Handles a gateway's request for a permit, which includes the limit that it knows.
    pub(super) fn permit_requested(
        &mut self,
        asker: Asker,
        limit: &AnnouncedLimit,
        priority: u8,
        wait: Duration,
        now: Timestamp,
    ) {
        self.limits_received(asker.gateway, std::slice::from_ref(limit), now);
        let endpoint = (limit.endpoint.clone(), limit.incarnation);
        let decided = match self.pace(&endpoint, now) {
            Some(pace) => {
                let ask = PermitRequest { asker, priority, latest: now.saturating_add(wait) };
                self.limiter.request(&endpoint, pace, ask, now)
            }
            None => vec![PermitDecision::Refused(asker, RETRY_SOON)],
        };
        self.send_decisions(decided);
    }

    /// Rate at which this gateway issues permits for an endpoint; `None` if it is not the
    /// endpoint's limiter. It issues the share of the gateways from which it receives heartbeats,
    /// and none while another gateway may still be issuing.
    fn pace(&self, endpoint: &EndpointIncarnation, now: Timestamp) -> Option<Pace> {
        let rate = self.limits.rate_of(endpoint, now)?;
        let builds = &self.builds;
        let issues_permits = |member: &Member| builds.gives_permits(member.address);
        let (limiter, settled) = self.members.limiter(&endpoint.0, issues_permits)?;
        let has_started_up = self.complete_since.is_some_and(|since| now >= since + STARTUP_DELAY);
        let has_settled = now >= settled && now >= self.resumed_at + SETTLE_TIME;
        let is_limiter = limiter == self.members.own().address && has_started_up && has_settled;
        is_limiter.then(|| Pace::new(rate, self.members.reachable_share(issues_permits, now)))
    }

    fn send_decisions(&mut self, decided: Vec<PermitDecision>) {
        for decided in decided {
            let (asker, granted, retry_after) = match decided {
                PermitDecision::Granted(asker) => (asker, true, Duration::ZERO),
                PermitDecision::Refused(asker, turn) => (asker, false, turn),
            };
            let number = asker.number;
            self.send(asker.gateway, PeerMessage::Permit { number, granted, retry_after });
        }
    }

    /// Handles a limiter's decision. A permit is valid from now on, so one that waited unread
    /// while this process was suspended is late: its request has timed out, and it is ignored.
    pub(super) fn permit_decided(
        &mut self,
        from: SocketAddr,
        number: u64,
        given: bool,
        retry_after: Duration,
        now: Timestamp,
    ) {
        let Some(asked) = self.permits.take_decided(from, number) else {
            return;
        };
        if !given {
            return self.permit_refused(asked, retry_after, "busy", now);
        }
        self.log_permit(&asked, true, None, "turn", now);
        let until = now + PERMIT_VALIDITY;
        let NeededPermit { endpoint, purpose, .. } = asked.wanted;
        match purpose {
            Purpose::Request { caller, number } => {
                self.requests.permit_granted(caller, number, until, &self.table, now);
            }
            Purpose::Pieces | Purpose::Free => {
                self.owners.permit_granted(&endpoint, purpose, until, &self.table);
            }
        }
    }

    fn permit_refused(
        &mut self,
        asked: PendingPermit,
        turn: Duration,
        cause: &'static str,
        now: Timestamp,
    ) {
        self.log_permit(&asked, false, Some(turn), cause, now);
        let at = now.saturating_add(turn);
        let NeededPermit { endpoint, purpose, priority, .. } = asked.wanted;
        match purpose {
            Purpose::Request { caller, number } => {
                self.requests.permit_refused(
                    (caller, number),
                    &endpoint,
                    priority,
                    at,
                    &self.table,
                    now,
                );
            }
            Purpose::Pieces | Purpose::Free => {
                self.owners.permit_refused(&endpoint, purpose, priority, at);
            }
        }
    }

    fn log_permit(
        &mut self,
        asked: &PendingPermit,
        given: bool,
        turn: Option<Duration>,
        cause: &'static str,
        now: Timestamp,
    ) {
        let NeededPermit { endpoint, purpose, .. } = &asked.wanted;
        let request = match purpose {
            Purpose::Request { caller, .. } => self.requests.request_id(*caller),
            Purpose::Pieces | Purpose::Free => None,
        };
        self.log(LogEvent::Permit {
            endpoint: endpoint.id.clone(),
            asked: purpose.as_str(),
            request,
            limiter: asked.limiter,
            given,
            cause,
            waited_ms: ms(now.saturating_sub(asked.sent_at)),
            turn_ms: turn.map(ms),
        });
    }

    /// Handles the failure of a gateway: permits requested from it are requested from another, and
    /// its own pending requests are removed.
    pub(super) fn limiter_down(&mut self, address: SocketAddr, now: Timestamp) {
        self.limiter.remove_gateway(address);
        for asked in self.permits.take_sent_to(address) {
            self.permit_refused(asked, RETRY_SOON, "lost", now);
        }
    }
}
