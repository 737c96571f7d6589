//! Streams that callers resume: the lookup of the software version that began a stream, and what
//! follows from it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::{Action, IncomingRequest, Refused};
use crate::direct::event_order::Place;
use crate::direct::log_events::{LogEvent, StreamEvent, ms};
use crate::direct::origins::Origin;
use crate::direct::origins::versions::Version;
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::model::{Name, Route};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
use crate::direct::requests::stream_origins::HolderKind;
use crate::direct::requests::{RETRY_SOON, Requests, Timer};
use crate::message::Timestamp;

/// Time after which holders that have not responded are asked again: a message is lost if the
/// connection for it fails.
const ROUND: Duration = Duration::from_millis(100);
/// Number of times that holders are asked.
const MAX_ROUNDS: u32 = 3;
/// Maximum wait until the list of endpoints is confirmed. Readers of the store confirm it at least
/// every 2 s, and the other gateways learn of it with the next heartbeat.
const MAX_LIST_WAIT: Duration = Duration::from_millis(2_500);

/// The lookup of the origin of a stream that a caller resumes.
#[derive(Debug, Clone, Default)]
pub struct OriginLookup {
    asked: BTreeMap<SocketAddr, HolderKind>,
    /// Those of them that responded or are down.
    answered: BTreeSet<SocketAddr>,
    /// Origins that other gateways inferred, since a pool has had one version only.
    inferred: Vec<Origin>,
    /// Versions of the pool that gateways without a record have listed recently.
    versions: BTreeSet<Version>,
    /// Number of times that all unanswered ones were asked.
    rounds: u32,
    /// Whether those that have not responded are to be asked again.
    is_round_due: bool,
    /// Whether only the confirmation of the list of endpoints is missing.
    awaits_list: bool,
    began: Timestamp,
}

impl OriginLookup {
    /// Whether all processes of a kind that were asked responded or are down.
    fn is_answered_by(&self, kind: HolderKind) -> bool {
        let mut asked = self.asked.iter().filter(|(_, asked)| **asked == kind);
        asked.all(|(address, _)| self.answered.contains(address))
    }

    /// Whether a gateway responded or is down.
    fn has_gateway(&self) -> bool {
        let is_gateway = |a: &SocketAddr| self.asked.get(a) == Some(&HolderKind::Gateway);
        self.answered.iter().any(is_gateway)
    }
}

/// The response of a holder to a lookup.
#[derive(Debug)]
pub struct OriginResponse {
    /// Number of the resuming request.
    pub number: u64,
    /// Id of the request that received the first event of the stream.
    pub stream: Name,
    /// Origin of the stream, if the holder knows it.
    pub origin: Option<Origin>,
    /// Versions of the pool that the holder has listed recently; empty if it has no record and
    /// inferred the origin.
    pub versions: Vec<Version>,
}

/// How the origin of a stream was determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Own,
    Holder,
    Witness,
    OnlyVersion,
}

impl Source {
    /// The source as written to log events.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Holder => "holder",
            Self::Witness => "witness",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// Whether the caller of a request resumes a stream.
fn is_resumption(incoming: &IncomingRequest, route: &Route) -> bool {
    route.streams && route.resumable && incoming.after_event.is_some()
}

/// Id of the request that received the first event of a request's stream, or will receive it;
/// `None` if the caller resumes a stream and does not name it.
pub(super) fn stream_of<'a>(incoming: &'a IncomingRequest, route: &Route) -> Option<&'a Name> {
    if is_resumption(incoming, route) { incoming.resumes.as_ref() } else { Some(&incoming.id) }
}

/// Place behind the events that the caller of a request has; the beginning of the stream if the
/// caller can't resume it.
pub(super) fn place_of(incoming: &IncomingRequest, route: &Route) -> Place {
    let after = incoming.after_event.as_deref().filter(|_| is_resumption(incoming, route));
    after.map(Place::after).unwrap_or_default()
}

impl Request {
    /// See [`stream_of`].
    pub(super) fn stream(&self) -> Option<&Name> {
        stream_of(&self.incoming, &self.route)
    }
}

impl Requests {
    /// Starts an admitted request; one that resumes a stream waits for the stream's origin.
    pub(super) fn begin(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        if is_resumption(&request.incoming, &request.route) {
            let (began, is_round_due) = (now, true);
            request.lookup = Some(OriginLookup { began, is_round_due, ..OriginLookup::default() });
            self.pending_lookups.push(caller);
        } else {
            self.proceed(caller, table, now);
        }
    }

    /// Submits the stages of a request, or sends it to an endpoint if it has none.
    fn proceed(&mut self, caller: u64, table: &Table, now: Timestamp) {
        if self.requests.get(&caller).is_some_and(Request::has_stages) {
            self.pending_submissions.push(caller);
        } else {
            self.dispatch(caller, table, now);
        }
    }

    /// Looks up the origin of a stream: in the own records, then at holders that have not
    /// responded.
    pub(super) fn look_up(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(lookup) = &request.lookup else {
            return;
        };
        let Some(stream) = request.stream().cloned() else {
            return self.decide_by_versions(caller, table, now);
        };
        if let Some(origin) = self.origins.get(&stream, now).cloned() {
            return self.origin_found(caller, origin, Source::Own, table, now);
        }
        if lookup.awaits_list {
            return self.decide_by_confirmed_list(caller, table, now);
        }
        let mut unanswered = self.origins.asked(&stream, &request.route, now);
        unanswered.retain(|h, _| *h != self.own && !lookup.answered.contains(h));
        // A gateway that knows others, none of which is up, waits for one to be up.
        let is_alone = self.gateway_count <= 1;
        let is_complete = unanswered.is_empty() && (is_alone || lookup.has_gateway());
        if is_complete || lookup.is_round_due && lookup.rounds == MAX_ROUNDS {
            return self.decide_by_versions(caller, table, now);
        }
        if !lookup.is_round_due {
            unanswered.retain(|holder, _| !lookup.asked.contains_key(holder));
        }
        self.ask_holders(caller, &stream, unanswered, now);
    }

    /// Asks holders for the origin of a stream. In a round, those that don't respond in time are
    /// asked again in the next one.
    fn ask_holders(
        &mut self,
        caller: u64,
        stream: &Name,
        holders: BTreeMap<SocketAddr, HolderKind>,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(lookup) = &mut request.lookup else {
            return;
        };
        if std::mem::take(&mut lookup.is_round_due) {
            lookup.rounds += 1;
            self.timers.insert((now + ROUND, caller, Timer::OriginLookup(lookup.rounds)));
        }
        lookup.asked.extend(&holders);
        for to in holders.into_keys() {
            let (stream, pool) = (stream.clone(), request.pool.clone());
            let message = PeerMessage::AskOrigin { number: caller, stream, pool };
            self.out.push(Action::Send { to, message });
        }
    }

    /// Holders have not responded in time: asks them again.
    pub(super) fn origin_lookup_timed_out(&mut self, caller: u64, round: u32) {
        let lookup = self.requests.get_mut(&caller).and_then(|request| request.lookup.as_mut());
        if let Some(lookup) = lookup.filter(|lookup| lookup.rounds == round) {
            lookup.is_round_due = true;
            self.pending_lookups.push(caller);
        }
    }

    /// A holder responded with the origin of a stream, or without one.
    pub fn origin_received(
        &mut self,
        from: SocketAddr,
        response: OriginResponse,
        table: &Table,
        now: Timestamp,
    ) {
        let OriginResponse { number, stream, origin, versions } = response;
        self.origins.witnesses.reached(from);
        let request = self.requests.get_mut(&number).filter(|r| r.stream() == Some(&stream));
        let Some(lookup) = request.and_then(|request| request.lookup.as_mut()) else {
            return;
        };
        let Some(kind) = lookup.asked.get(&from).copied() else {
            return;
        };
        lookup.answered.insert(from);
        match origin {
            Some(origin) if versions.is_empty() => lookup.inferred.push(origin),
            Some(origin) => {
                let source = match kind {
                    HolderKind::Gateway => Source::Holder,
                    HolderKind::Witness => Source::Witness,
                };
                return self.origin_found(number, origin, source, table, now);
            }
            None => lookup.versions.extend(versions),
        }
        let is_last = lookup.answered.len() == lookup.asked.len();
        // One gateway suffices if it does not contradict what this one infers.
        let is_confirmed = lookup.has_gateway() && lookup.is_answered_by(HolderKind::Witness);
        let request = self.requests.get(&number);
        let is_inferred = request.is_some_and(|r| self.inferred_origin(r, now).is_some());
        if is_last || is_confirmed && is_inferred {
            self.decide_by_versions(number, table, now);
        }
    }

    /// A process is down, so it does not respond to lookups.
    pub fn holder_removed(&mut self, address: SocketAddr) {
        let is_waiting = |request: &Request| {
            let lookup = request.lookup.as_ref();
            lookup.is_some_and(|l| l.asked.contains_key(&address) && !l.answered.contains(&address))
        };
        for caller in self.callers_where(is_waiting) {
            let lookup = self.requests.get_mut(&caller).and_then(|request| request.lookup.as_mut());
            if let Some(lookup) = lookup {
                lookup.answered.insert(address);
                self.pending_lookups.push(caller);
            }
        }
    }

    /// The only origin that the stream of a request can have according to this gateway and those
    /// that responded; `None` if none of them can tell, or if any of them knows another version.
    fn inferred_origin(&self, request: &Request, now: Timestamp) -> Option<Origin> {
        let lookup = request.lookup.as_ref()?;
        let own = self.origins.only_origin(&request.pool, now);
        let mut inferred = own.into_iter().chain(lookup.inferred.iter().cloned());
        let first = inferred.next()?;
        let mut known = self.origins.versions.of(&request.pool, now).chain(&lookup.versions);
        let is_only = known.all(|version| *version == first.version);
        (is_only && inferred.all(|origin| origin == first)).then_some(first)
    }

    /// No record was found. If the pool has had one version only for as long as callers resume
    /// streams, that version began the stream. A version may have joined since the list of endpoints
    /// was last confirmed, so the list must be confirmed after the arrival of the request.
    fn decide_by_versions(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if let Some(origin) = self.inferred_origin(request, now) {
            if self.is_list_confirmed_for(request) {
                return self.origin_found(caller, origin, Source::OnlyVersion, table, now);
            }
            return self.await_list(caller, now);
        }
        if table.pool_endpoints(&request.pool).is_empty() {
            return self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        }
        self.log_origin(caller, None, "unknown", now);
        self.refuse(caller, Refused::UnknownOrigin, RETRY_SOON, now);
    }

    /// Whether the list of endpoints has been confirmed since the caller of a request resumed its
    /// stream.
    fn is_list_confirmed_for(&self, request: &Request) -> bool {
        let began = request.lookup.as_ref().map(|lookup| lookup.began);
        began.is_some_and(|began| self.origins.is_list_confirmed(began))
    }

    /// Lets a request wait until the list of endpoints is confirmed.
    fn await_list(&mut self, caller: u64, now: Timestamp) {
        let lookup = self.requests.get_mut(&caller).and_then(|request| request.lookup.as_mut());
        let Some(lookup) = lookup.filter(|lookup| !lookup.awaits_list) else {
            return;
        };
        lookup.awaits_list = true;
        self.awaiting_list.push(caller);
        self.timers.insert((now + MAX_LIST_WAIT, caller, Timer::ListConfirmation));
    }

    /// The list of endpoints may have been confirmed: decides on the requests that wait for it.
    pub(super) fn list_confirmed(&mut self) {
        let waiting = std::mem::take(&mut self.awaiting_list);
        for caller in waiting {
            match self.requests.get(&caller) {
                None => {}
                Some(request) if self.is_list_confirmed_for(request) => {
                    self.pending_lookups.push(caller);
                }
                Some(_) => self.awaiting_list.push(caller),
            }
        }
    }

    /// Decides by the list of endpoints that a request has waited for. If it has another version,
    /// the processes that hold records of its streams are asked as well.
    fn decide_by_confirmed_list(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if !self.is_list_confirmed_for(request) {
            return;
        }
        if let Some(origin) = self.inferred_origin(request, now) {
            return self.origin_found(caller, origin, Source::OnlyVersion, table, now);
        }
        let lookup = self.requests.get_mut(&caller).and_then(|request| request.lookup.as_mut());
        if let Some(lookup) = lookup {
            (lookup.awaits_list, lookup.is_round_due, lookup.rounds) = (false, true, 0);
            self.pending_lookups.push(caller);
        }
    }

    /// The list of endpoints was not confirmed in time: which versions there are now is unknown.
    pub(super) fn list_not_confirmed(&mut self, caller: u64, now: Timestamp) {
        let lookup = self.requests.get(&caller).and_then(|request| request.lookup.as_ref());
        if lookup.is_some_and(|lookup| lookup.awaits_list) {
            self.log_origin(caller, None, "unconfirmed", now);
            self.refuse(caller, Refused::UnknownOrigin, RETRY_SOON, now);
        }
    }

    /// The origin of a stream is known: continues the request at endpoints of that version.
    fn origin_found(
        &mut self,
        caller: u64,
        origin: Origin,
        source: Source,
        table: &Table,
        now: Timestamp,
    ) {
        self.log_origin(caller, Some(&origin), source.as_str(), now);
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        request.lookup = None;
        request.has_begun = source != Source::OnlyVersion;
        if !request.route.targets.iter().any(|target| target.pool == origin.pool) {
            return self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        }
        request.pool = origin.pool.clone();
        request.origin = Some(origin);
        self.proceed(caller, table, now);
    }

    fn log_origin(
        &mut self,
        caller: u64,
        origin: Option<&Origin>,
        source: &'static str,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        let Some(lookup) = &request.lookup else {
            return;
        };
        self.out.push(Action::Log(LogEvent::Stream(StreamEvent::StreamOrigin {
            request: request.incoming.id.clone(),
            stream: request.stream().cloned(),
            pool: origin.map_or_else(|| request.pool.clone(), |origin| origin.pool.clone()),
            software_version: origin.and_then(|origin| origin.version.clone()),
            source,
            asked: lookup.asked.len(),
            answered: lookup.answered.len(),
            list_age_ms: self.origins.list_age(now).map(ms),
            versions_known_ms: self.origins.versions.known_for(&request.pool, now).map(ms),
            took_ms: ms(now.saturating_sub(lookup.began)),
        })));
    }
}
