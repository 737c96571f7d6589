//! Streams that callers resume: the lookup of the software version that began a stream, and what
//! follows from it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::event::{Action, IncomingRequest, Refused};
use crate::direct::event_order::Place;
use crate::direct::log_events::{LogEvent, StreamEvent, ms};
use crate::direct::origins::Origin;
use crate::direct::peers::message::PeerMessage;
use crate::direct::published::model::{Name, Route};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
use crate::direct::requests::{RETRY_SOON, Requests, Timer};
use crate::message::Timestamp;

/// Time after which holders that have not responded are asked again: a message is lost if the
/// connection for it fails.
const ROUND: Duration = Duration::from_millis(100);
/// Number of times that holders are asked.
const MAX_ROUNDS: u32 = 3;

/// The lookup of the origin of a stream that a caller resumes.
#[derive(Debug, Clone, Default)]
pub struct OriginLookup {
    asked: BTreeSet<SocketAddr>,
    /// Those of them that responded or are down.
    answered: BTreeSet<SocketAddr>,
    /// Origins that other gateways inferred, since a pool has had one version only.
    inferred: Vec<Origin>,
    rounds: u32,
    began: Timestamp,
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
    /// Whether the holder has no record, and inferred the origin.
    pub is_inferred: bool,
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
            request.lookup = Some(OriginLookup { began: now, ..OriginLookup::default() });
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
        let holders = self.origins.asked_for(&stream, &request.pool, now).into_iter();
        let is_unanswered = |h: &SocketAddr| *h != self.own && !lookup.answered.contains(h);
        let unanswered: Vec<SocketAddr> = holders.filter(is_unanswered).collect();
        // A gateway that knows others, none of which is up, waits for one to be up.
        let is_alone = self.gateway_count <= 1;
        let is_complete = unanswered.is_empty() && (is_alone || !lookup.answered.is_empty());
        if is_complete || lookup.rounds == MAX_ROUNDS {
            return self.decide_by_versions(caller, table, now);
        }
        self.ask_holders(caller, &stream, unanswered, now);
    }

    /// Asks holders for the origin of a stream, and again if they don't respond in time.
    fn ask_holders(
        &mut self,
        caller: u64,
        stream: &Name,
        holders: Vec<SocketAddr>,
        now: Timestamp,
    ) {
        let Some(request) = self.requests.get_mut(&caller) else {
            return;
        };
        let Some(lookup) = &mut request.lookup else {
            return;
        };
        lookup.rounds += 1;
        lookup.asked.extend(holders.iter().copied());
        self.timers.insert((now + ROUND, caller, Timer::OriginLookup(lookup.rounds)));
        for to in holders {
            let (stream, pool) = (stream.clone(), request.pool.clone());
            let message = PeerMessage::AskOrigin { number: caller, stream, pool };
            self.out.push(Action::Send { to, message });
        }
    }

    /// Holders have not responded in time: asks them again.
    pub(super) fn origin_lookup_timed_out(&mut self, caller: u64, round: u32) {
        let lookup = self.requests.get(&caller).and_then(|request| request.lookup.as_ref());
        if lookup.is_some_and(|lookup| lookup.rounds == round) {
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
        let OriginResponse { number, stream, origin, is_inferred } = response;
        self.origins.witnesses.reached(from);
        let request = self.requests.get_mut(&number).filter(|r| r.stream() == Some(&stream));
        let lookup = request.and_then(|request| request.lookup.as_mut());
        let Some(lookup) = lookup.filter(|lookup| lookup.asked.contains(&from)) else {
            return;
        };
        lookup.answered.insert(from);
        let is_last = lookup.answered.len() == lookup.asked.len();
        let is_witness = self.origins.witnesses.is_witness(from);
        let record = if is_inferred {
            lookup.inferred.extend(origin);
            None
        } else {
            origin
        };
        let source = if is_witness { Source::Witness } else { Source::Holder };
        let request = self.requests.get(&number);
        let is_decided = |r: &Request| !is_witness && self.inferred_origin(r, now).is_some();
        match record {
            Some(origin) => self.origin_found(number, origin, source, table, now),
            None if is_last || request.is_some_and(is_decided) => {
                self.decide_by_versions(number, table, now);
            }
            None => {}
        }
    }

    /// A process is down, so it does not respond to lookups.
    pub fn holder_removed(&mut self, address: SocketAddr) {
        let is_waiting = |request: &Request| {
            let lookup = request.lookup.as_ref();
            lookup.is_some_and(|l| l.asked.contains(&address) && !l.answered.contains(&address))
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
    /// that responded; `None` if none of them can tell, or they differ.
    fn inferred_origin(&self, request: &Request, now: Timestamp) -> Option<Origin> {
        let of_others = request.lookup.iter().flat_map(|lookup| lookup.inferred.iter().cloned());
        let mut origins = self.origins.only_origin(&request.pool, now).into_iter().chain(of_others);
        let first = origins.next()?;
        origins.all(|origin| origin == first).then_some(first)
    }

    /// No record was found. If the pool has had one version only for as long as callers resume
    /// streams, that version began the stream.
    fn decide_by_versions(&mut self, caller: u64, table: &Table, now: Timestamp) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if let Some(origin) = self.inferred_origin(request, now) {
            return self.origin_found(caller, origin, Source::OnlyVersion, table, now);
        }
        if table.pool_endpoints(&request.pool).is_empty() {
            return self.refuse(caller, Refused::NoEndpoint, RETRY_SOON, now);
        }
        self.log_origin(caller, None, "unknown", now);
        self.refuse(caller, Refused::UnknownOrigin, RETRY_SOON, now);
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
