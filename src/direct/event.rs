//! What happens to a gateway that calls endpoints directly, and what it has its shell do.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::answers::{AnswerProof, BatchOutcome, BatchReport, CallFailure};
use crate::direct::limits::permits::Wanted;
use crate::direct::log_events::LogEvent;
use crate::direct::peers::build::Build;
use crate::direct::peers::codec::Unread;
use crate::direct::peers::message::{Handle, PeerMessage};
use crate::direct::peers::pulls::Progress;
use crate::direct::poison::Report;
use crate::direct::poison::fingerprint::Fingerprint;
use crate::direct::published::documents::Revised;
use crate::direct::published::evacuations::Evacuation;
use crate::direct::published::model::{CallerLimits, Endpoint, Name};
use crate::direct::published::position::Position;
use crate::direct::published::store_read::StoreRead;
use crate::direct::statement::{Asked, Statement};
use crate::message::Timestamp;

/// What a caller asks, as far as decisions depend on it.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingRequest {
    /// The caller's id of the request.
    pub id: Name,
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// The key that it shows.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// What is to be generated, where the request says so.
    pub generation: Option<Generation>,
    /// Pieces of each stage.
    pub pieces: Vec<usize>,
    /// The key of pieces that need no other.
    pub piece_key: Option<Name>,
    /// The last event that the caller has.
    pub after_event: Option<String>,
    /// What it holds, told from its method, path and body.
    pub content: Fingerprint,
}

impl IncomingRequest {
    /// Whether any piece of a stage is to be made for it.
    pub fn has_pieces(&self) -> bool {
        self.pieces.iter().any(|&pieces| pieces > 0)
    }
}

/// The size of a generation and the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that are made at most.
    pub output_tokens: u64,
    /// Parts of the prompt in order: id and tokens.
    pub parts: Vec<(String, u64)>,
}

/// What happens to a gateway.
#[derive(Debug)]
pub enum Event {
    /// A caller asks.
    Submit {
        /// Chosen by the shell.
        caller: u64,
        /// What is asked.
        incoming: IncomingRequest,
    },
    /// The caller went away.
    CallerDisconnected {
        /// Who.
        caller: u64,
    },
    /// An endpoint answered a request, as a whole or with the head of a stream.
    Answered {
        /// Whose.
        caller: u64,
        /// In which attempt.
        attempt: u64,
        /// What it proves.
        proof: AnswerProof,
        /// Whether more follows, as events.
        is_open: bool,
    },
    /// A call for a request failed before its answer.
    CallFailed {
        /// Whose.
        caller: u64,
        /// In which attempt.
        attempt: u64,
        /// How.
        failure: CallFailure,
    },
    /// A call that needs results goes out to its endpoint, over a connection that is up.
    CallSent {
        /// The caller.
        caller: u64,
        /// The attempt's number.
        attempt: u64,
    },
    /// The first event of a stream was passed on.
    FirstEvent {
        /// Whose.
        caller: u64,
    },
    /// A stream that was passed on ended.
    StreamEnded {
        /// Whose.
        caller: u64,
        /// In which attempt.
        attempt: u64,
        /// Whether it is whole.
        is_complete: bool,
        /// The last event that was passed on.
        last_event: Option<String>,
    },
    /// A call with pieces ended.
    BatchEnded {
        /// Which.
        call: u64,
        /// How.
        outcome: BatchOutcome,
    },
    /// An endpoint said something of itself in the head of an answer.
    EndpointStatus {
        /// Which, in the life that was called.
        endpoint: Arc<Endpoint>,
        /// What it was asked.
        asked: Asked,
        /// What it said.
        statement: Statement,
        /// When the message went out that was answered.
        sent: Timestamp,
        /// When the head was read.
        at: Timestamp,
    },
    /// An endpoint that works in batches told how it stands.
    ReportReceived {
        /// Which.
        endpoint: Name,
        /// What it told.
        report: BatchReport,
        /// When it was asked.
        requested_at: Timestamp,
    },
    /// An endpoint did not tell how it stands, or not in time.
    ReportFailed {
        /// Which.
        endpoint: Name,
    },
    /// An endpoint whose connections broke was probed.
    Probed {
        /// Which.
        endpoint: Name,
        /// The life that was meant.
        incarnation: u64,
        /// Whether its port is closed: its process is gone.
        is_closed: bool,
    },
    /// Another gateway speaks.
    PeerMessage {
        /// Who, by where its peers connect.
        from: SocketAddr,
        /// What.
        message: PeerMessage,
    },
    /// A peer greeted, or answered a greeting.
    PeerGreeted {
        /// Who.
        address: SocketAddr,
        /// Its life.
        incarnation: u64,
        /// What it runs.
        build: Build,
    },
    /// A peer said something that this build does not read.
    PeerMessageUnreadable {
        /// Who.
        from: SocketAddr,
        /// The compact form that its greeting named.
        announced_form: u32,
        /// Why.
        unread: Unread,
    },
    /// The connection from this life of a peer broke.
    PeerInboundFailed {
        /// Who.
        address: SocketAddr,
        /// Its life.
        incarnation: u64,
    },
    /// The connection to a peer broke.
    PeerOutboundFailed {
        /// Who.
        address: SocketAddr,
    },
    /// No connection to a peer could be made.
    PeerUnreachable {
        /// Who.
        address: SocketAddr,
    },
    /// Documents of the publisher.
    Published {
        /// Some or all.
        documents: Vec<Revised>,
        /// Where these are the whole list of endpoints.
        snapshot_at: Option<Position>,
    },
    /// Orders to evacuate data centres were given or taken back.
    Evacuations {
        /// Some changes, or all orders that stand.
        changes: Vec<Evacuation>,
        /// Where these are all that stand.
        snapshot_at: Option<Position>,
    },
    /// A document of the publisher can't be read: it names nothing to use.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        cause: String,
    },
    /// Fields of a document of the publisher are not known, and passed over.
    UnknownFields {
        /// What it is.
        document: &'static str,
        /// Their names.
        fields: BTreeSet<String>,
    },
    /// The publisher answers, or stopped to.
    PublisherStatus {
        /// Whether it answers.
        answers: bool,
    },
    /// The publisher's store named its era in an answer.
    StoreEra {
        /// The era.
        era: u64,
    },
    /// Something came of a configuration that is read from the publisher.
    ConfigurationReadProgress,
    /// Something came of a configuration that a peer sends.
    ConfigurationPullProgress {
        /// Who.
        from: SocketAddr,
        /// What came so far.
        progress: Progress,
    },
    /// A peer broke off while it sent a configuration.
    ConfigurationPullAborted {
        /// Who.
        from: SocketAddr,
        /// The number of the pull that it answered; 0 if it didn't tell.
        pull: u64,
    },
    /// A long answer of the publisher ended, or one failed.
    StoreRead(StoreRead),
    /// The settings name other seeds.
    Seeds(Vec<SocketAddr>),
    /// The process was told to stop.
    Drain {
        /// When; the core may hear of it later.
        at: Timestamp,
    },
    /// The process ends now.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// How a request is handed to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSpec {
    /// Where.
    pub endpoint: Arc<Endpoint>,
    /// How long the endpoint may work.
    pub timeout: Duration,
    /// The organisation that asks.
    pub organisation: Option<Name>,
    /// Results that it needs.
    pub inputs: Vec<Handle>,
    /// The last event that was passed on, in a stream that goes on.
    pub after_event: Option<String>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether the endpoint may be called over a connection that was used before.
    pub reuse_connection: bool,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Connections to the endpoint that this gateway may hold.
    pub connections: usize,
    /// Until when it may go out to an endpoint with a limit.
    pub permit: Option<Timestamp>,
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq)]
pub struct PieceSpec {
    /// The caller's id of the request.
    pub request: Name,
    /// The stage's position.
    pub stage: usize,
    /// The piece's position.
    pub piece: usize,
    /// Time that remains.
    pub remaining: Duration,
    /// The key, for a stage that needs no other.
    pub key: Option<Name>,
    /// The results that it needs, for a stage that does.
    pub inputs: Vec<Handle>,
}

/// Why a request gets no answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// This gateway knows too little.
    NoConfiguration,
    /// This gateway stops.
    Draining,
    /// Nothing stands there.
    UnknownRoute,
    /// The key is missing or nobody's.
    UnknownKey,
    /// The request lacks what its route needs.
    BadRequest(&'static str),
    /// Its stages or its run would come too late.
    Overloaded,
    /// No endpoint takes it.
    NoEndpoint,
    /// No endpoint that takes it stands in a region where it may run.
    NoEndpointAtHome,
    /// Every endpoint that takes it is cold, and what they bear is used.
    AllCold,
    /// Every endpoint that takes it asked this gateway for a pause, or gets requests again by degrees.
    AllPaused,
    /// Every endpoint that takes it named a limit, and its turn at the first of them would come too late.
    AllLimited,
    /// Its time is over; what runs is stopped.
    TimedOut,
    /// It may have run, and its answer can't be had.
    OutcomeUnknown,
    /// It failed, and the budget holds no repeat.
    RepeatBudget,
    /// Endpoints crashed under what it holds.
    Poison,
}

/// A final answer without an endpoint's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Refused,
    /// Whether it is certain that it has not run and never will.
    pub not_run: bool,
    /// When to come back.
    pub retry_after: Duration,
}

/// What the shell must do.
#[derive(Debug)]
pub enum Action {
    /// Hand a request to an endpoint.
    Call {
        /// Whose.
        caller: u64,
        /// The new attempt.
        attempt: u64,
        /// How.
        order: CallSpec,
    },
    /// Let go of an attempt: its endpoint must stop.
    CancelAttempt {
        /// Whose.
        caller: u64,
        /// Which.
        attempt: u64,
    },
    /// Pass on the answer of an attempt, and what follows.
    Deliver {
        /// To whom.
        caller: u64,
        /// Of which attempt.
        attempt: u64,
    },
    /// Refuse.
    Refuse {
        /// Whom.
        caller: u64,
        /// Why.
        refusal: Refusal,
    },
    /// End a stream that is whole.
    EndStream {
        /// To whom.
        caller: u64,
    },
    /// Break a stream off so that it doesn't look whole.
    AbortStream {
        /// To whom.
        caller: u64,
    },
    /// Call an endpoint with pieces.
    CallBatch {
        /// The new call.
        call: u64,
        /// Where.
        endpoint: Arc<Endpoint>,
        /// What.
        pieces: Vec<PieceSpec>,
        /// When the call is given up.
        timeout: Duration,
        /// Until when it may go out to an endpoint with a limit.
        permit: Option<Timestamp>,
    },
    /// Ask an endpoint that works in batches how it stands.
    RequestReport(Arc<Endpoint>),
    /// See whether an endpoint's port is closed.
    Probe(Arc<Endpoint>),
    /// What requests and owners tell of what they run; the core keeps it for itself.
    PoisonReport(Report),
    /// Let nothing more go out to this life of an endpoint, of what was ordered before: until a time, or without one no
    /// new work for good.
    BlockSends {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: u64,
        /// Until when.
        until: Option<Timestamp>,
    },
    /// What requests and owners want permits for; the core keeps it for itself.
    RequestPermit(Wanted),
    /// Let nothing go out to this life of an endpoint without a permit, or let everything again.
    RequirePermits {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: u64,
        /// Whether permits are needed.
        is_limited: bool,
    },
    /// Tell a maker that results aren't needed any more.
    FreeResults {
        /// Where.
        endpoint: Arc<Endpoint>,
        /// Which.
        handles: Vec<Handle>,
        /// Until when that may go out to an endpoint with a limit.
        permit: Option<Timestamp>,
    },
    /// Tell another gateway.
    Send {
        /// Whom.
        to: SocketAddr,
        /// What.
        message: PeerMessage,
    },
    /// Tell several other gateways the same.
    Broadcast {
        /// Whom.
        to: Vec<SocketAddr>,
        /// What.
        message: PeerMessage,
    },
    /// Give up the connection to another gateway: what is told next goes over a new one.
    Disconnect {
        /// From whom.
        from: SocketAddr,
    },
    /// Whether the process calls itself ready.
    SetReady(bool),
    /// What callers may send.
    SetCallerLimits(CallerLimits),
    /// The store is in a newer era: what is followed of earlier ones is void.
    SetStoreEra(u64),
    /// Write a line.
    Log(LogEvent),
}
