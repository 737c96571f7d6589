//! Log events about the ends of streams, resumed streams, and the software versions that may resume
//! them.

use std::net::SocketAddr;

use serde::Serialize;

use crate::direct::origins::versions::Version;
use crate::direct::published::model::Name;

/// Event about streams, written with its name in snake case as field `event`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The software version that began a stream was looked up, since its caller resumes it.
    StreamOrigin {
        /// Id of the resuming request, given by its caller.
        request: Name,
        /// Id of the request that received the first event; `None` if the caller does not name it.
        stream: Option<Name>,
        /// Pool that continues the stream.
        pool: Name,
        /// Version that began the stream; `None` if it is unknown, or has no name.
        software_version: Version,
        /// `own` (this gateway's record), `holder`, `witness`, `only_version` (no record, and the
        /// pool has had one version only), `unconfirmed` or `unknown` (both refused).
        source: &'static str,
        /// Number of gateways and witnesses that were asked.
        asked: usize,
        /// Number of those that responded or are down.
        answered: usize,
        /// Milliseconds since this gateway's list of endpoints was known to be current; `None` if
        /// it was not yet.
        list_age_ms: Option<u64>,
        /// Milliseconds for which this gateway has followed the versions of the pool without
        /// interruption; `None` if it has listed no endpoint of the pool.
        versions_known_ms: Option<u64>,
        /// Milliseconds that the request waited.
        took_ms: u64,
    },
    /// A gateway asked this witness for the origin of a stream.
    OriginAsked {
        /// Id of the request that received the first event of the stream.
        stream: Name,
        /// Address of the gateway.
        gateway: SocketAddr,
        /// Version that began the stream; `None` if there is no record, or the version has no name.
        software_version: Version,
        /// Whether there is a record.
        is_known: bool,
        /// Number of records that are held.
        held: usize,
    },
    /// A witness stops.
    WitnessStopped {
        /// Number of records that are lost with it.
        held: usize,
    },
    /// A stream of an endpoint ended, or broke off.
    StreamEnded {
        /// Request id given by the caller.
        request: Name,
        /// Id of the endpoint.
        endpoint: Name,
        /// What determines the end of the body: `length`, `chunks` or `connection`.
        framing: &'static str,
        /// Id of the event after which the endpoint was asked to resume the stream.
        #[serde(skip_serializing_if = "Option::is_none")]
        after_event: Option<String>,
        /// Id of the first forwarded event that has one.
        first_event: Option<String>,
        /// Id of the last forwarded event that has one.
        last_event: Option<String>,
        /// Number of forwarded events.
        events: u64,
        /// Number of events whose id is not one more than that of the event before.
        jumps: u64,
        /// How the stream ended: `complete`, `connection closed`, `inside an event`, `before the
        /// first event`, `out of order`, `event too long`, `no more events`, `read failed` or
        /// `malformed response` with the fault.
        end: String,
        /// What the id of the event that was out of order should have been.
        #[serde(skip_serializing_if = "Option::is_none")]
        expected_id: Option<String>,
        /// Id of the event that was out of order.
        #[serde(skip_serializing_if = "Option::is_none")]
        received_id: Option<String>,
    },
    /// The endpoint of an answer that ended with its connection was asked for its identity.
    EndChecked {
        /// Request id given by the caller.
        request: Name,
        /// Id of the endpoint.
        endpoint: Name,
        /// `stream` or `answer`.
        ended: &'static str,
        /// `same` (the endpoint is running, so the answer is complete), `gone` (another endpoint or
        /// none is at its address) or `unknown`.
        identity: &'static str,
        /// Number of questions.
        checks: u32,
        /// Milliseconds since the end of the connection.
        took_ms: u64,
    },
    /// The software versions of a pool changed.
    SoftwareVersions {
        /// Name of the pool.
        pool: Name,
        /// Versions that its endpoints have, or had until recently.
        versions: Vec<Version>,
    },
}

impl StreamEvent {
    /// Name of the event in metrics; the same as in the log.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::StreamOrigin { .. } => "stream_origin",
            Self::OriginAsked { .. } => "origin_asked",
            Self::WitnessStopped { .. } => "witness_stopped",
            Self::StreamEnded { .. } => "stream_ended",
            Self::EndChecked { .. } => "end_checked",
            Self::SoftwareVersions { .. } => "software_versions",
        }
    }
}
