//! Input events of the gateway core and the actions that its shell carries out.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::{AnswerProof, BatchOutcome, BatchReport, CallFailure, Identity};
use crate::direct::event_order::Place;
use crate::direct::forwarded_stream::ForwardedStream;
use crate::direct::limits::permits::NeededPermit;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::build::Build;
use crate::direct::peers::codec::Unreadable;
use crate::direct::peers::message::{Handle, PeerMessage};
use crate::direct::peers::pulls::Progress;
use crate::direct::poison::RunReport;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::documents::Revised;
use crate::direct::published::evacuations::EvacuationChange;
use crate::direct::published::list_position::Extent;
use crate::direct::published::model::{CallerLimits, Endpoint, Name};
use crate::direct::published::position::Position;
use crate::direct::published::store_read::StoreRead;
pub use crate::direct::refusal::{Refusal, Refused};
use crate::direct::statement::{CallKind, Statement};
use crate::direct::store_reading::{StorePart, StoreUse};
use crate::message::Timestamp;

/// Caller's request, as far as decisions depend on it.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingRequest {
    /// Request id given by the caller.
    pub id: Name,
    /// Host that the request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// API key of the request.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Size of the requested generation, where the request states it.
    pub generation: Option<Generation>,
    /// Number of pieces in each stage.
    pub pieces: Vec<usize>,
    /// Key for pieces without inputs, passed on to their endpoints.
    pub piece_key: Option<Name>,
    /// Id of the last stream event that the caller has received.
    pub after_event: Option<String>,
    /// Id of the caller's request that received the first event of that stream.
    pub resumes: Option<Name>,
    /// Fingerprint of method, path and body.
    pub content: Fingerprint,
}

impl IncomingRequest {
    /// Whether any stage has pieces for this request.
    pub fn has_pieces(&self) -> bool {
        self.pieces.iter().any(|&pieces| pieces > 0)
    }
}

/// Size of a generation and the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Generation {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Parts of the prompt in order: id and number of tokens.
    pub parts: Vec<(String, u64)>,
}

/// Input event of the gateway core.
#[derive(Debug)]
pub enum Event {
    /// A caller submitted a request.
    Submit {
        /// Number of the caller's request, chosen by the shell.
        caller: u64,
        /// The request.
        incoming: IncomingRequest,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Number of the caller's request.
        caller: u64,
    },
    /// An endpoint responded to a request, with a complete response or the head of a stream.
    Answered {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// What the response proves.
        proof: AnswerProof,
        /// Whether stream events follow.
        is_open: bool,
    },
    /// A call for a request failed before the head of a response.
    CallFailed {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// How the call failed.
        failure: CallFailure,
    },
    /// A call with inputs is being sent to its endpoint; the connection is up.
    CallSent {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
    },
    /// The first event of a stream was forwarded to the caller.
    FirstEvent {
        /// Number of the caller's request.
        caller: u64,
    },
    /// A forwarded stream ended.
    StreamEnded {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// What was forwarded, and how the stream ended.
        stream: ForwardedStream,
    },
    /// The endpoint of an attempt was asked for its identity.
    Identified {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// Which endpoint responded.
        identity: Identity,
    },
    /// A batch call ended.
    BatchEnded {
        /// Number of the batch call.
        call: u64,
        /// Outcome of the batch call.
        outcome: BatchOutcome,
    },
    /// A response contained endpoint status headers.
    EndpointStatus {
        /// The endpoint, with the incarnation that was called.
        endpoint: Arc<Endpoint>,
        /// Kind of message to which the endpoint responded.
        asked: CallKind,
        /// Contents of the status headers.
        statement: Statement,
        /// When the message to which the endpoint responded was sent.
        sent: Timestamp,
        /// When the head of the response was read.
        at: Timestamp,
    },
    /// An endpoint of a batch pool reported its load.
    ReportReceived {
        /// Id of the endpoint.
        endpoint: Name,
        /// The report.
        report: BatchReport,
        /// When the report was requested.
        requested_at: Timestamp,
    },
    /// A load report was not received in time or was invalid.
    ReportFailed {
        /// Id of the endpoint.
        endpoint: Name,
    },
    /// An endpoint was probed after its connections failed.
    Probed {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation of the endpoint that was to be probed.
        incarnation: u64,
        /// Whether its port is closed, which proves that its process ended.
        is_closed: bool,
    },
    /// A peer sent a message.
    PeerMessage {
        /// Address of the peer, at which it accepts connections.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A peer sent a greeting, or responded to one.
    PeerGreeted {
        /// Address of the peer.
        address: SocketAddr,
        /// Incarnation of the peer.
        incarnation: u64,
        /// Build that the peer runs.
        build: Build,
    },
    /// A peer sent a message that this build can't read.
    PeerMessageUnreadable {
        /// Address of the peer.
        from: SocketAddr,
        /// Compact message form that the peer's greeting announced.
        announced_form: u32,
        /// What can't be read.
        unread: Unreadable,
    },
    /// The connection from a peer failed.
    PeerInboundFailed {
        /// Address of the peer.
        address: SocketAddr,
        /// Incarnation of the peer that had opened the connection.
        incarnation: u64,
    },
    /// The connection to a peer failed.
    PeerOutboundFailed {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No connection to a peer could be established.
    PeerUnreachable {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// Configurations or endpoint entries were read from the publisher's store.
    Published {
        /// The documents that changed, or all of them.
        documents: Vec<Revised>,
        /// What the entries among them are complete for.
        extent: Extent,
    },
    /// Evacuation orders were read from the publisher's store.
    Evacuations {
        /// Orders that were given or withdrawn, or all orders in force.
        changes: Vec<EvacuationChange>,
        /// Position of the orders if `changes` holds all orders in force.
        snapshot_at: Option<Position>,
    },
    /// A document in the publisher's store is invalid and is not used.
    UnreadableDocument {
        /// Key of the document.
        key: String,
        /// Why it is invalid.
        cause: String,
    },
    /// A document or response has fields that this build does not know; they are ignored.
    UnknownFields {
        /// Kind of document.
        document: &'static str,
        /// Names of the unknown fields.
        fields: BTreeSet<String>,
    },
    /// The publisher's store became available or unavailable.
    PublisherStatus {
        /// Whether the store responds.
        answers: bool,
    },
    /// A call to the publisher's store succeeded; its documents were sent before.
    StoreChecked {
        /// The part of the store.
        part: StorePart,
    },
    /// A response of the publisher's store named the store's era.
    StoreEra {
        /// Era of the store.
        era: u64,
    },
    /// More bytes of a configuration arrived from the publisher's store.
    ConfigurationReadProgress,
    /// More bytes of a configuration arrived from a peer.
    ConfigurationPullProgress {
        /// Address of the peer.
        from: SocketAddr,
        /// Bytes received so far.
        progress: Progress,
    },
    /// The connection failed while a peer sent a configuration.
    ConfigurationPullAborted {
        /// Address of the peer.
        from: SocketAddr,
        /// Number of the pull to which the peer responded; 0 if the peer did not name it.
        pull: u64,
    },
    /// A long read of the publisher's store ended, or any read failed.
    StoreRead(StoreRead),
    /// The settings were reloaded with other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// The process received the signal to stop.
    Drain {
        /// When the signal arrived; the core may handle this event later.
        at: Timestamp,
    },
    /// The process ends now.
    Shutdown,
    /// A timer expired.
    Tick,
}

/// Parameters of a request's call to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct CallParams {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Time limit for the endpoint's response.
    pub timeout: Duration,
    /// Organisation of the caller.
    pub organisation: Option<Name>,
    /// Handles of the results that the request needs.
    pub inputs: Vec<Handle>,
    /// Id of the last forwarded event if the call resumes a stream.
    pub after_event: Option<String>,
    /// Level of the request at an engine; see [`crate::policy::urgency`].
    pub level: u8,
    /// Whether an already used connection to the endpoint may be reused.
    pub reuse_connection: bool,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Maximum number of connections from this gateway to the endpoint.
    pub connections: usize,
    /// When the permit expires, for an endpoint with a rate limit.
    pub permit: Option<Timestamp>,
    /// Address of the engine from which the endpoint fetches the parts of the prompt that it lacks;
    /// `None` if it computes them.
    pub prompt_source: Option<SocketAddr>,
}

/// One piece of a batch call.
#[derive(Debug, Clone, PartialEq)]
pub struct PieceParams {
    /// Request id given by the caller.
    pub request: Name,
    /// Index of the stage in the pipeline.
    pub stage: usize,
    /// Index of the piece in the stage.
    pub piece: usize,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Key of the piece, for a stage without inputs.
    pub key: Option<Name>,
    /// Handles of the piece's inputs, for a stage with inputs.
    pub inputs: Vec<Handle>,
}

/// Action that the shell carries out.
#[derive(Debug)]
pub enum Action {
    /// Call an endpoint with a request.
    Call {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the new attempt.
        attempt: u64,
        /// Parameters of the call.
        params: CallParams,
    },
    /// Cancel an attempt; its endpoint stops working on it.
    CancelAttempt {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Forward the response of an attempt, and the stream events that follow.
    Deliver {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// Place in the stream at which the events of the response begin.
        place: Place,
    },
    /// Refuse a request.
    Refuse {
        /// Number of the caller's request.
        caller: u64,
        /// The refusal.
        refusal: Refusal,
    },
    /// End a complete stream.
    EndStream {
        /// Number of the caller's request.
        caller: u64,
    },
    /// Abort a stream, so that the caller sees that it is incomplete.
    AbortStream {
        /// Number of the caller's request.
        caller: u64,
    },
    /// Send a batch call.
    CallBatch {
        /// Number of the new batch call.
        call: u64,
        /// The endpoint.
        endpoint: Arc<Endpoint>,
        /// Pieces of the call.
        pieces: Vec<PieceParams>,
        /// Time limit for the call.
        timeout: Duration,
        /// When the permit expires, for an endpoint with a rate limit.
        permit: Option<Timestamp>,
    },
    /// Request a load report from an endpoint of a batch pool.
    RequestReport(Arc<Endpoint>),
    /// Check whether an endpoint's port is closed.
    Probe(Arc<Endpoint>),
    /// Ask which endpoint runs at the address of an attempt's endpoint.
    Identify {
        /// Number of the caller's request.
        caller: u64,
        /// Number of the attempt.
        attempt: u64,
        /// The endpoint.
        endpoint: Arc<Endpoint>,
        /// Path of its health check, if known.
        health_path: Option<Name>,
        /// When the permit for the question expires, for an endpoint with a rate limit.
        permit: Option<Timestamp>,
    },
    /// Result of a run, for the detection of poison requests; handled within the core.
    PoisonReport(RunReport),
    /// Send nothing to an endpoint until a time, not even what is already queued. Without a time,
    /// send it no new work at all.
    BlockSends {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation of the endpoint.
        incarnation: u64,
        /// When messages may be sent again.
        until: Option<Timestamp>,
    },
    /// Request a permit for a message; handled within the core.
    RequestPermit(NeededPermit),
    /// Require permits for messages to an endpoint, or no longer require them.
    RequirePermits {
        /// Id of the endpoint.
        endpoint: Name,
        /// Incarnation of the endpoint.
        incarnation: u64,
        /// Whether permits are required.
        is_limited: bool,
    },
    /// Let an endpoint free results that are no longer needed.
    FreeResults {
        /// Endpoint that holds the results.
        endpoint: Arc<Endpoint>,
        /// Handles of the results.
        handles: Vec<Handle>,
        /// When the permit expires, for an endpoint with a rate limit.
        permit: Option<Timestamp>,
    },
    /// Send a message to a peer.
    Send {
        /// Address of the peer.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to several peers.
    Broadcast {
        /// Addresses of the peers.
        to: Vec<SocketAddr>,
        /// The message.
        message: PeerMessage,
    },
    /// Close the connection to a peer; the next message opens a new one.
    Disconnect {
        /// Address of the peer.
        from: SocketAddr,
    },
    /// Report the process as ready, or as not ready.
    SetReady(bool),
    /// Close new connections of callers unread, or serve them again.
    SetShedding(bool),
    /// Watch the publisher's store, or follow peers.
    SetStoreUse(StoreUse),
    /// Set the limits on requests of callers.
    SetCallerLimits(CallerLimits),
    /// The store is in a newer era; reads and watches of earlier eras are invalid.
    SetStoreEra(u64),
    /// Write a log event.
    Log(LogEvent),
}
