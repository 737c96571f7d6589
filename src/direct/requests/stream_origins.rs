//! Records of the origins of streams: those of this gateway's streams, sent to their holders, and
//! those that this gateway holds for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, StreamEvent};
use crate::direct::origins::holders::{Holder, Holders};
use crate::direct::origins::records::Records;
use crate::direct::origins::versions::RecentVersions;
use crate::direct::origins::witnesses::Witnesses;
use crate::direct::origins::{MAX_STREAM_AGE, Origin};
use crate::direct::peers::build::Builds;
use crate::direct::peers::members::Members;
use crate::direct::peers::message::{BegunStream, PeerMessage};
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{Endpoint, Name, Route};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
use crate::direct::requests::{DEFAULT_TIMEOUT, Requests};
use crate::message::Timestamp;

/// Maximum age of the list of endpoints by which a gateway decides which version began a stream;
/// beyond it, versions may have been added and removed unnoticed. Readers of the store confirm the
/// list at least every 2 s.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Kind of a process that holds records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HolderKind {
    Gateway,
    Witness,
}

/// What a gateway knows of the origins of streams.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    /// Streams that this gateway began or resumed, and that are not complete.
    own: Records,
    /// Streams of other gateways, for which this one is a holder.
    received: Records,
    pub(super) versions: RecentVersions,
    pub(super) holders: Holders,
    pub(super) witnesses: Witnesses,
    /// When the list of endpoints was last known to be current.
    list_current_at: Option<Timestamp>,
    /// Own streams whose records are sent by the next call of [`Requests::report_streams`].
    pending_reports: Vec<Name>,
}

impl StreamOrigins {
    /// The origin of a stream, if this gateway knows it.
    pub(super) fn get(&self, stream: &str, now: Timestamp) -> Option<&Origin> {
        self.own.origin(stream, now).or_else(|| self.received.origin(stream, now))
    }

    /// Time since the list of endpoints was known to be current.
    pub(super) fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.list_current_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the list of endpoints, and so its versions, were current a short time ago.
    pub(super) fn is_list_current(&self, now: Timestamp) -> bool {
        self.list_age(now).is_some_and(|age| age < MAX_LIST_AGE)
    }

    /// Whether the list of endpoints was current at a time, or later.
    pub(super) fn is_list_confirmed(&self, at: Timestamp) -> bool {
        self.list_current_at.is_some_and(|current_at| current_at >= at)
    }

    /// The version that began a stream of a pool without a record, if only one can have.
    pub(super) fn only_origin(&self, pool: &Name, now: Timestamp) -> Option<Origin> {
        let version = self.versions.only_version(pool, now).filter(|_| self.is_list_current(now));
        version.map(|version| Origin { pool: pool.clone(), version: version.clone() })
    }

    /// Sets when the list of endpoints was last known to be current.
    fn set_list_current_at(&mut self, at: Option<Timestamp>) {
        if let (Some(before), Some(at)) = (self.list_current_at, at)
            && at > before + MAX_LIST_AGE
        {
            self.versions.interrupt(at);
        }
        self.list_current_at = at;
    }

    /// The processes that hold the record of a stream.
    fn holders_of(&self, stream: &str, origin: &Origin, now: Timestamp) -> Vec<Holder> {
        let witnesses = self.witnesses.of(stream, origin, now).into_iter();
        let witnesses = witnesses.map(|address| Holder { address, incarnation: None });
        let mut holders: Vec<Holder> = witnesses.collect();
        if self.versions.has_several(&origin.pool, now) {
            holders.extend(self.holders.of(stream));
        }
        holders
    }

    /// The processes that are asked for the record of a stream of a route.
    pub(super) fn asked(
        &self,
        stream: &str,
        route: &Route,
        now: Timestamp,
    ) -> BTreeMap<SocketAddr, HolderKind> {
        let gateways = self.holders.asked(stream).into_iter();
        let gateways = gateways.map(|holder| (holder.address, HolderKind::Gateway));
        let witnesses = route
            .targets
            .iter()
            .flat_map(|target| self.witnesses.asked(stream, &target.pool, now).into_iter());
        gateways.chain(witnesses.map(|address| (address, HolderKind::Witness))).collect()
    }

    /// Has the records of own streams sent to the holders that lack them.
    fn report_again(&mut self) {
        self.pending_reports.extend(self.own.streams());
    }
}

impl Request {
    /// When the caller stops waiting for the stream, over all its tries.
    fn resumable_until(&self) -> Timestamp {
        self.arrived + self.incoming.timeout.unwrap_or(DEFAULT_TIMEOUT).min(MAX_STREAM_AGE)
    }
}

impl Requests {
    /// Records that a request is sent to an endpoint that may begin its stream. Further attempts
    /// are made at the same version, so that no holder has a record of another one.
    pub(super) fn record_stream(&mut self, caller: u64, endpoint: &Arc<Endpoint>, now: Timestamp) {
        let request = self.requests.get_mut(&caller);
        let Some(request) = request.filter(|r| r.route.streams && r.route.resumable) else {
            return;
        };
        let origin = Origin::of(&request.pool, endpoint);
        request.origin = Some(origin.clone());
        let Some(stream) = request.stream() else {
            return;
        };
        self.origins.pending_reports.push(stream.clone());
        self.origins.own.insert(stream, origin, request.resumable_until(), now);
    }

    /// The caller of a request has its whole stream, so the stream's origin is not needed any more.
    pub(super) fn stream_complete(&mut self, caller: u64) {
        if let Some(stream) = self.requests.get(&caller).and_then(Request::stream) {
            self.origins.own.remove(stream);
        }
    }

    /// Updates the holders if members or builds changed; new holders receive the records.
    pub(super) fn update_holders(&mut self, members: &Members, builds: &Builds) {
        if self.origins.holders.update(members, builds) {
            self.origins.report_again();
        }
    }

    /// Sends the records of own streams to their holders, one message to each.
    pub(super) fn report_streams(&mut self, now: Timestamp) {
        let mut records: BTreeMap<SocketAddr, Vec<BegunStream>> = BTreeMap::new();
        for stream in std::mem::take(&mut self.origins.pending_reports) {
            let Some(origin) = self.origins.own.origin(&stream, now).cloned() else {
                continue;
            };
            let holders = self.origins.holders_of(&stream, &origin, now);
            let Some(record) = self.origins.own.get_mut(&stream) else {
                continue;
            };
            let expires_in = record.expires.saturating_sub(now);
            let new = record.set_holders(holders);
            for holder in new.into_iter().filter(|holder| holder.address != self.own) {
                let (stream, origin) = (stream.clone(), origin.clone());
                let records = records.entry(holder.address).or_default();
                records.push(BegunStream { stream, origin, expires_in });
            }
        }
        for (to, records) in records {
            self.out.push(Action::Send { to, message: PeerMessage::StreamsBegan(records) });
        }
    }

    /// Messages to this gateway may be lost: sends it the records that it holds again.
    pub fn report_streams_again(&mut self, holder: SocketAddr) {
        let streams = self.origins.own.forget_holder(holder);
        self.origins.pending_reports.extend(streams);
    }

    /// Stores records of another gateway, for which this one is a holder.
    pub fn streams_began(&mut self, streams: Vec<BegunStream>, now: Timestamp) {
        for BegunStream { stream, origin, expires_in } in streams {
            let expires = now + expires_in.min(MAX_STREAM_AGE);
            self.origins.received.insert(&stream, origin, expires, now);
        }
        crate::metrics::stream_origins_held(self.origins.received.len());
    }

    /// Sets when the list of endpoints was last known to be current.
    pub fn set_list_current_at(&mut self, at: Option<Timestamp>) {
        self.origins.set_list_current_at(at);
        self.list_confirmed();
    }

    /// Sets the port at which the witnesses beside endpoints listen.
    pub const fn set_witness_port(&mut self, port: Option<u16>) {
        self.origins.witnesses.set_port(port);
    }

    /// Whether an address is the one of a witness.
    pub fn is_witness(&self, address: SocketAddr) -> bool {
        self.origins.witnesses.is_witness(address)
    }

    /// A process could not be reached: lookups don't wait for it. A witness is not used for some
    /// time, and its records are sent to others.
    pub fn holder_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        self.origins.witnesses.unreachable(address, now);
        self.report_streams_again(address);
        self.holder_removed(address);
    }

    /// Responds to a gateway at which a caller resumes a stream, with the record or the only
    /// version that can have begun the stream. The asking gateway may have followed the list for a
    /// shorter time.
    pub fn origin_requested(
        &mut self,
        from: SocketAddr,
        number: u64,
        stream: Name,
        pool: &Name,
        now: Timestamp,
    ) {
        let record = self.origins.get(&stream, now).cloned();
        let inferred = self.origins.only_origin(pool, now).filter(|_| record.is_none());
        let versions = if inferred.is_some() {
            Vec::new()
        } else {
            self.origins.versions.of(pool, now).cloned().collect()
        };
        let origin = record.or(inferred);
        let message = PeerMessage::StreamOrigin { number, stream, origin, versions };
        self.out.push(Action::Send { to: from, message });
    }

    /// Updates the versions and witnesses of pools after their endpoints changed. Holders that lack
    /// the records of open streams receive them.
    pub(super) fn update_versions(&mut self, table: &Table, merged: &Merged, now: Timestamp) {
        let is_new_configuration = merged.previous_version.is_some();
        let versions = &mut self.origins.versions;
        let changed = versions.update(table, is_new_configuration, &merged.endpoints, now);
        for pool in &changed {
            let versions = self.origins.versions.of(pool, now).cloned().collect();
            let event = StreamEvent::SoftwareVersions { pool: pool.clone(), versions };
            self.out.push(Action::Log(LogEvent::Stream(event)));
        }
        let are_witnesses_changed = self.origins.witnesses.update(table);
        if are_witnesses_changed || !changed.is_empty() {
            self.origins.report_again();
        }
    }
}
