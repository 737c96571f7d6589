//! Log events for operators: one for each decision and each change in a gateway's state.

mod kinds;
mod load;
mod members;
mod poison;
mod process;
mod store;
mod streams;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

pub use crate::direct::log_events::load::LoadEvent;
pub use crate::direct::log_events::members::{MemberSuspected, PeerUnread, StoreReadingChange};
pub use crate::direct::log_events::poison::PoisonEvent;
pub use crate::direct::log_events::process::{MalformedResponse, Reloaded};
pub use crate::direct::log_events::store::{
    EndpointEntry, ListMerged, PublishedVersion, StoreEra, StoreReadOutcome, StoreReturned,
};
pub use crate::direct::log_events::streams::StreamEvent;
use crate::direct::published::model::Name;
use crate::policy::urgency::Urgency;

/// Log event, written with its name in snake case as field `event`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent {
    /// A request was admitted; logged before it is checked for poison.
    Arrived {
        /// Request id given by the caller.
        request: Name,
        /// Route of the request.
        route: Name,
        /// Organisation of the caller; `None` without an API key.
        organisation: Option<Name>,
        /// Digest of content and organisation; a repeat under another id has the same.
        fingerprint: String,
        /// Ids of the parts of the prompt that other requests may share, in order.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        shared_parts: Vec<String>,
        /// Version of the configuration.
        version: u64,
        /// Milliseconds until the deadline.
        left_ms: u64,
        /// Id of the request that began the stream, if the caller resumes one.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<Name>,
    },
    /// A request waited for the first configuration, or for peers and endpoints to be known.
    Waited {
        /// Request id given by the caller.
        request: Name,
        /// Milliseconds for which the request waited.
        waited_ms: u64,
        /// Whether the gateway has a complete configuration now; if not, the wait timed out.
        known: bool,
    },
    /// The stages of a request were submitted to an owner.
    StagesSubmitted {
        /// Request id given by the caller.
        request: Name,
        /// Address of the owner.
        owner: SocketAddr,
        /// Cell that runs the stages.
        cell: Name,
        /// Whether an owner may have started the stages before.
        resubmitted: bool,
    },
    /// The owner admitted or refused the stages of a request.
    StagesDecided {
        /// Request id given by the caller.
        request: Name,
        /// Priority of the request and that of its route; `0.0` is the most urgent.
        urgency: Urgency,
        /// Whether the stages were admitted.
        admitted: bool,
        /// Pool with the least spare capacity for this request; empty if unknown.
        pool: Name,
        /// Predicted milliseconds until the response starts.
        predicted_ms: u64,
        /// Milliseconds until the objective.
        objective_ms: u64,
        /// Share of this pool's result memory in use when needed, this request included.
        room_share: f64,
    },
    /// An endpoint of a batch pool reported its load to the owner.
    #[serde(rename = "reported")]
    ReportReceived {
        /// Id of the endpoint.
        endpoint: Name,
        /// Bytes of its result memory that are free.
        free_bytes: u64,
        /// Estimated bytes that other owners use.
        of_others: u64,
        /// Number of calls that wait at the endpoint.
        waiting: u32,
    },
    /// A batch call was sent.
    BatchSent {
        /// Number of the call.
        call: u64,
        /// Id of the endpoint.
        endpoint: Name,
        /// Pieces in the call: request id, stage, piece.
        pieces: Vec<(Name, usize, usize)>,
        /// Number of pieces of the pool that remain queued.
        waiting: usize,
        /// Data centre of the endpoint.
        data_centre: Name,
        /// Number of pieces that run outside their preferred data centre, by reason.
        away: BTreeMap<&'static str, usize>,
    },
    /// A batch call ended.
    BatchEnded {
        /// Number of the call.
        call: u64,
        /// Id of the endpoint.
        endpoint: Name,
        /// Pieces by result, such as `made=3 late=1`, or why the call failed.
        outcome: String,
        /// Milliseconds from sending the call to its end.
        took_ms: u64,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// Request id given by the caller.
        request: Name,
        /// Number of the attempt.
        attempt: u64,
        /// Selector of the pool.
        selector: String,
        /// Id of the endpoint.
        endpoint: Name,
        /// `prefix`, `second_home`, `least_load`, `last_resort`, `turn` or `set_apart` (isolated).
        because: String,
        /// Number of endpoints that were candidates.
        candidates: usize,
        /// Milliseconds until the deadline.
        left_ms: u64,
        /// Software version of the endpoint.
        software_version: Option<String>,
    },
    /// The process was suspended or got no processor time, and has resumed.
    #[serde(rename = "stood_still")]
    Suspended {
        /// Milliseconds of the suspension.
        for_ms: u64,
    },
    /// An attempt ended without a response that can be passed to the caller.
    AttemptFailed {
        /// Request id given by the caller.
        request: Name,
        /// Id of the endpoint.
        endpoint: Name,
        /// Why the attempt failed, such as `server error`, `silent` or `not run: status 503`.
        failure: String,
        /// `again`, `refused` or `abandoned`; for a stream `resumed` or `aborted`.
        next: &'static str,
    },
    /// An endpoint could not fetch the results that a request needs.
    ResultsGone {
        /// Request id given by the caller.
        request: Name,
        /// Id of the endpoint.
        endpoint: Name,
        /// Milliseconds since the call was queued for sending.
        ordered_ms: u64,
        /// Milliseconds since the call was sent; `None` if it was not.
        sent_ms: Option<u64>,
        /// Whether this gateway had released the results; otherwise their producer lost them.
        freed: bool,
    },
    /// A request ended, with or without a response.
    Ended {
        /// Request id given by the caller.
        request: Name,
        /// How it ended, such as `answered 200`, `refused: Draining` or `caller disconnected`.
        outcome: String,
        /// Endpoint of the last attempt; `None` without an attempt.
        endpoint: Option<Name>,
        /// Milliseconds since the request arrived.
        took_ms: u64,
        /// If refused: milliseconds after which the caller may retry.
        retry_after_ms: Option<u64>,
    },
    /// The owner cancelled or refused the stages of a request.
    StagesGivenUp {
        /// Request id given by the caller.
        request: Name,
        /// Reason given by the owner, such as `NoRoom` or `DeadlinePassed`.
        reason: String,
    },
    /// A newer configuration is in force.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// Previous version.
        before: u64,
        /// `publisher`, or the address of the gateway that sent it.
        source: String,
        /// Milliseconds since a peer first announced a newer version; 0 if none did.
        known_ms: u64,
        /// The peer that announced it.
        known_from: Option<SocketAddr>,
    },
    /// A response of the publisher's store was 16 KiB or more, failed, or used a second connection.
    StoreRead(StoreReadOutcome),
    /// The publisher's store returned a complete list at a lower revision than seen before.
    StoreWentBack {
        /// Revision of the list.
        revision: u64,
        /// Highest revision of endpoints seen before.
        seen: u64,
    },
    /// See [`ListMerged`].
    ListMerged(ListMerged),
    /// A peer's list of endpoints differs from this gateway's, up to the position that the peer
    /// announced; its complete list was requested.
    ListDiffers {
        /// Address of the peer.
        peer: SocketAddr,
        /// Revision that the peer announced.
        announced: u64,
        /// Number of entries that this gateway has up to that revision.
        own: u64,
    },
    /// See [`StoreEra`].
    StoreEra(StoreEra),
    /// See [`StoreReturned`].
    StoreReturned(StoreReturned),
    /// See [`PublishedVersion`].
    PublishedVersion(PublishedVersion),
    /// A pull of documents from a peer was sent, answered, failed or timed out.
    Pull {
        /// Address of the peer.
        peer: SocketAddr,
        /// `asked`, `answered`, `refused`, `broken off` or `silent`.
        outcome: &'static str,
        /// Version of this gateway's configuration.
        version: u64,
        /// Era of this gateway's list of endpoints.
        era: u64,
        /// Revision of this gateway's list of endpoints.
        endpoints: u64,
    },
    /// A peer pulled documents from this gateway.
    Pulled {
        /// Address of the peer.
        peer: SocketAddr,
        /// Whether the configuration was sent.
        deployment: bool,
        /// Number of endpoint entries sent.
        endpoints: usize,
        /// Revision of the peer's list of endpoints.
        since: u64,
        /// Revision of this gateway's list of endpoints.
        announced: u64,
    },
    /// An event waited long for the core, or took long to be handled; at most one per second.
    CoreLate {
        /// Milliseconds for which the event waited.
        waited_ms: u64,
        /// Milliseconds spent handling it.
        took_ms: u64,
    },
    /// The state of an endpoint's list entry changed.
    Endpoint(EndpointEntry),
    /// A response contained status headers with something new about its endpoint, or a backoff.
    #[serde(rename = "stated")]
    EndpointStatus {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation that was called.
        incarnation: u64,
        /// Kind of call: `request`, `pieces`, `report` or `free`.
        asked: &'static str,
        /// Whether the endpoint is leaving.
        leaving: bool,
        /// Backoff time in milliseconds, if the endpoint asked for a pause.
        backoff_ms: Option<u64>,
        /// Whether the backoff time could not be parsed.
        unclear: bool,
        /// Milliseconds since the response was read.
        age_ms: u64,
        /// Milliseconds until this gateway's pause for the endpoint ends, if that was extended.
        paused_ms: Option<u64>,
        /// Milliseconds for which the endpoint remains cold, if stated.
        cold_ms: Option<u64>,
        /// Requests per second accepted from all gateways together, if a limit is stated.
        limit: Option<f64>,
    },
    /// The known rate limit of an endpoint changed.
    Limit {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation that announced the limit.
        incarnation: u64,
        /// Requests per second from all gateways together; `None` if there is no limit any more.
        limit: Option<f64>,
        /// Number of changes of this incarnation's limit.
        version: u64,
        /// `answer` (a response of the endpoint), or the address of a gateway.
        source: String,
    },
    /// A permit to send a message to an endpoint with a rate limit was granted or refused.
    Permit {
        /// Id of the endpoint.
        endpoint: Name,
        /// Kind of message: `request`, `pieces` or `free`.
        asked: &'static str,
        /// Request id given by the caller; `None` for `pieces` and `free`.
        request: Option<Name>,
        /// Address of the gateway that decides.
        limiter: SocketAddr,
        /// Whether the permit was granted.
        given: bool,
        /// `turn` (granted); `busy`, `silent`, `lost` or `no limiter` (refused).
        cause: &'static str,
        /// Milliseconds from the permit request to the decision.
        waited_ms: u64,
        /// If refused: milliseconds until a permit would be available.
        turn_ms: Option<u64>,
    },
    /// An endpoint's entry reports that it is cold: it gets a part of its normal load.
    Cold {
        /// Id of the endpoint.
        endpoint: Name,
        /// Milliseconds for which the endpoint remains cold.
        cold_ms: u64,
    },
    /// An endpoint restarted under its id: state of its previous incarnation is discarded.
    Restarted {
        /// Id of the endpoint.
        endpoint: Name,
        /// New incarnation: the time of its start.
        incarnation: u64,
    },
    /// An evacuation order took effect, or ended: its data centre gets no new work meanwhile.
    Evacuation {
        /// Data centre to be evacuated.
        data_centre: Name,
        /// Whether the order is in force.
        stands: bool,
        /// Number of endpoints in the data centre.
        endpoints: usize,
        /// `publisher`, a gateway's address, or `not confirmed` (the order expired).
        source: String,
    },
    /// A published document can't be used and is skipped; logged once for each key and cause.
    Unreadable {
        /// Key of the document.
        key: String,
        /// Why the document can't be used.
        cause: String,
    },
    /// Fields of a document from the platform are unknown to this build and ignored; logged once.
    #[serde(rename = "passed_over")]
    UnknownFields {
        /// `configuration`, `entry`, `answer of the store` or `answer of an endpoint`.
        document: &'static str,
        /// Names of the fields.
        fields: Vec<String>,
    },
    /// An endpoint is avoided, since this gateway's own calls to it failed or were slow.
    Suspicion {
        /// Id of the endpoint.
        endpoint: Name,
        /// Whether the endpoint is avoided.
        avoided: bool,
        /// Cause, such as `unreachable`, `server errors`, `failed streams`, `overdue` or `slow`.
        cause: &'static str,
    },
    /// A peer became known, or is considered down.
    Peer {
        /// Address of the peer.
        address: SocketAddr,
        /// Incarnation of the peer.
        incarnation: u64,
        /// Whether the peer is up.
        alive: bool,
        /// `heard` if it is up; otherwise `silent`, `unreachable` or `restarted`.
        cause: &'static str,
    },
    /// A peer suspects a member, or the suspicion ended.
    MemberSuspected(MemberSuspected),
    /// Whether this gateway reads the publisher's store, or why, changed.
    StoreReading(StoreReadingChange),
    /// The publisher's store became reachable or unreachable.
    Publisher {
        /// Whether the store responds.
        answers: bool,
    },
    /// The gateway became ready or unready.
    Ready {
        /// Whether the gateway is ready.
        ready: bool,
    },
    /// The process started.
    Started {
        /// Incarnation of the process.
        incarnation: u64,
        /// Version of the program.
        version: String,
        /// Commit of the build, if known.
        commit: Option<String>,
        /// Version of the compact message format that it writes.
        form: u32,
    },
    /// A peer of another build became known, failed, or changed to this build.
    PeerBuild {
        /// Address of the peer.
        address: SocketAddr,
        /// Incarnation of the peer.
        incarnation: u64,
        /// Version of its program; empty if the peer does not send it.
        version: String,
        /// Commit of its build, if known.
        commit: Option<String>,
        /// Version of the compact message format that it reads.
        form: u32,
        /// `first` when it became known; `last` when the peer failed or runs this build now.
        heard: &'static str,
    },
    /// A peer sent a message that this build can't read; logged once for each peer and form.
    PeerUnread(PeerUnread),
    /// The process received the signal to stop.
    Stopping {
        /// Grace period in milliseconds: from the signal until the process is killed.
        grace_ms: u64,
        /// Whether another gateway is known to serve requests.
        others_serve: bool,
    },
    /// A stopping process accepted a request on arrival, or refused one because it is stopping.
    StopDecided {
        /// Request id given by the caller.
        request: Name,
        /// `door` (on arrival), `stages` (while stages run), `dispatch` (before sending) or `answer`
        /// (before a stream is begun).
        at: &'static str,
        /// Whether the request continues.
        taken: bool,
        /// Milliseconds since the signal.
        stopping_ms: u64,
        /// Milliseconds until the process exits.
        left_ms: u64,
        /// Milliseconds to the complete response, by deadline or typical durations, if estimated.
        expected_ms: Option<u64>,
        /// Whether another gateway is known to serve requests.
        others_serve: bool,
    },
    /// A load report was late or invalid: the owner plans as if it alone used the endpoint.
    NoReport {
        /// Id of the endpoint.
        endpoint: Name,
    },
    /// The process became overloaded (events wait long before they are handled), or recovered.
    #[serde(rename = "short_of_time")]
    Overloaded {
        /// Whether the process is overloaded.
        #[serde(rename = "is_short")]
        is_overloaded: bool,
        /// Average event lag in milliseconds.
        late_ms: u64,
    },
    /// The process is about to exit.
    Stopped {
        /// Milliseconds since the signal.
        stopping_ms: u64,
        /// Number of requests that had not received the head of a response.
        unanswered: usize,
        /// Number of open streams.
        streams: usize,
        /// Number of unfinished jobs.
        jobs: usize,
    },
    /// See [`MalformedResponse`].
    MalformedResponse(MalformedResponse),
    /// See [`Reloaded`].
    Reloaded(Reloaded),
    /// See [`LoadEvent`].
    #[serde(untagged)]
    Load(LoadEvent),
    /// See [`PoisonEvent`].
    #[serde(untagged)]
    Poison(PoisonEvent),
    /// See [`StreamEvent`].
    #[serde(untagged)]
    Stream(StreamEvent),
}

/// Whole milliseconds, at most `u64::MAX`.
pub fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
