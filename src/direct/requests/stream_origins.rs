//! Records of the origins of streams: those of this gateway's streams, sent to their holders, and
//! those that this gateway holds for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::event::Action;
use crate::direct::log_events::{LogEvent, StreamEvent};
use crate::direct::origins::Origin;
use crate::direct::origins::holders::Holders;
use crate::direct::origins::records::Records;
use crate::direct::origins::versions::RecentVersions;
use crate::direct::peers::build::Builds;
use crate::direct::peers::members::Members;
use crate::direct::peers::message::{BegunStream, PeerMessage};
use crate::direct::published::documents::Merged;
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::published::table::Table;
use crate::direct::requests::request::Request;
use crate::direct::requests::{DEFAULT_TIMEOUT, Requests};
use crate::message::Timestamp;

/// Maximum age of the list of endpoints by which a gateway decides alone which version began a
/// stream. Readers of the store confirm the list at least every 2 s.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// What a gateway knows of the origins of streams.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    /// Streams that this gateway began or resumed, and that are not complete.
    own: Records,
    /// Streams of other gateways, for which this one is a holder.
    received: Records,
    pub(super) versions: RecentVersions,
    pub(super) holders: Holders,
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

    /// Has the records of own streams sent to the holders that lack them, for pools with several
    /// versions.
    fn report_again(&mut self, now: Timestamp) {
        let streams = self.own.streams_of(|pool| self.versions.has_several(pool, now));
        self.pending_reports.extend(streams);
    }
}

impl Request {
    /// When the caller stops waiting for the stream, over all its tries.
    fn resumable_until(&self) -> Timestamp {
        self.arrived + self.incoming.timeout.unwrap_or(DEFAULT_TIMEOUT).min(DEFAULT_TIMEOUT)
    }
}

impl Requests {
    /// Records that a request is sent to an endpoint that may begin its stream.
    pub(super) fn record_stream(&mut self, caller: u64, endpoint: &Arc<Endpoint>, now: Timestamp) {
        let request = self.requests.get(&caller).filter(|r| r.route.streams && r.route.resumable);
        let Some((request, stream)) = request.and_then(|r| Some((r, r.stream()?))) else {
            return;
        };
        let origin = Origin::of(&request.pool, endpoint);
        if self.origins.versions.has_several(&origin.pool, now) {
            self.origins.pending_reports.push(stream.clone());
        }
        self.origins.own.insert(stream, origin, request.resumable_until(), now);
    }

    /// The caller of a request has its whole stream, so the stream's origin is not needed any more.
    pub(super) fn stream_complete(&mut self, caller: u64) {
        if let Some(stream) = self.requests.get(&caller).and_then(Request::stream) {
            self.origins.own.remove(stream);
        }
    }

    /// Updates the holders if members or builds changed; new holders receive the records.
    pub(super) fn update_holders(&mut self, members: &Members, builds: &Builds, now: Timestamp) {
        if self.origins.holders.update(members, builds) {
            self.origins.report_again(now);
        }
    }

    /// Sends the records of own streams to their holders, one message to each.
    pub(super) fn report_streams(&mut self, now: Timestamp) {
        let mut records: BTreeMap<SocketAddr, Vec<BegunStream>> = BTreeMap::new();
        for stream in std::mem::take(&mut self.origins.pending_reports) {
            let holders = self.origins.holders.of(&stream);
            let Some(record) = self.origins.own.get_mut(&stream) else {
                continue;
            };
            let expires_in = record.expires.saturating_sub(now);
            let new = holders.iter().filter(|h| !record.holders.contains(h));
            for holder in new.filter(|holder| holder.address != self.own) {
                let (stream, origin) = (stream.clone(), record.origin.clone());
                let records = records.entry(holder.address).or_default();
                records.push(BegunStream { stream, origin, expires_in });
            }
            record.holders = holders;
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
            let expires = now + expires_in.min(DEFAULT_TIMEOUT);
            self.origins.received.insert(&stream, origin, expires, now);
        }
        crate::metrics::stream_origins_held(self.origins.received.len());
    }

    /// Sets when the list of endpoints was last known to be current.
    pub const fn set_list_current_at(&mut self, at: Option<Timestamp>) {
        self.origins.list_current_at = at;
    }

    /// Responds to a gateway at which a caller resumes a stream.
    pub fn origin_requested(
        &mut self,
        from: SocketAddr,
        number: u64,
        stream: Name,
        pool: &Name,
        now: Timestamp,
    ) {
        let origin = self.origins.get(&stream, now).cloned();
        let versions = self.origins.versions.of(pool, now).cloned().collect();
        let message = PeerMessage::StreamOrigin { number, stream, origin, versions };
        self.out.push(Action::Send { to: from, message });
    }

    /// Updates the versions of pools after their endpoints changed. If a pool newly has several
    /// versions, the origins of its open streams are recorded from now on.
    pub(super) fn update_versions(&mut self, table: &Table, merged: &Merged, now: Timestamp) {
        let is_new_configuration = merged.previous_version.is_some();
        let versions = &mut self.origins.versions;
        let changed = versions.update(table, is_new_configuration, &merged.endpoints, now);
        for pool in &changed {
            let versions = self.origins.versions.of(pool, now).cloned().collect();
            let event = StreamEvent::SoftwareVersions { pool: pool.clone(), versions };
            self.out.push(Action::Log(LogEvent::Stream(event)));
        }
        if !changed.is_empty() {
            self.origins.report_again(now);
        }
    }
}
