//! Outcomes of calls to endpoints: responses, failures, and outcomes of pieces.

use crate::direct::engines::load::Load;
use crate::direct::peers::message::Handle;
use crate::response_check::Malformed;

/// What determines the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Framing {
    /// A stated length, or no body at all.
    #[default]
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which a crash of the endpoint causes as well.
    Connection,
}

impl Framing {
    /// Word for this framing in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What a response proves about the request and the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerProof {
    /// Status code of the response.
    pub status: u16,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the response names the id of this request.
    pub names_request: bool,
    /// Whether the endpoint states that it has not run the request. A status alone states nothing:
    /// an endpoint may run a request and answer 503.
    pub not_run: bool,
    /// Whether the response proves that the endpoint at this address is another one than the one
    /// that was called, and so did not run the request.
    pub from_other_endpoint: bool,
    /// What determines the end of the body.
    pub framing: Framing,
    /// Load of the endpoint, if the response states it.
    pub load: Option<Load>,
}

/// Which endpoint responded at the address of the one that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The endpoint itself, so its process is still running.
    Same,
    /// Another endpoint, or none: the port is closed.
    Gone,
    /// Unknown: no response in time, or one that names no endpoint.
    Unknown,
}

impl Identity {
    /// Word for this identity in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Gone => "gone",
            Self::Unknown => "unknown",
        }
    }
}

/// How a call failed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The endpoint closed a new connection before anything was sent: it has too many connections.
    TurnedAway,
    /// Before anything was sent, the endpoint announced that it accepts no requests for now.
    Withheld,
    /// The connection failed; the request may have run.
    Broken,
    /// The response exceeds a limit and was not read to its end; the request may have run.
    TooLong,
    /// What was received is no well-formed response; the request may have run.
    Malformed(Malformed),
    /// The response belongs to another call, or has another number of items; the pieces may have
    /// run.
    ForeignAnswer,
    /// No response arrived in time; the request may be running.
    Silent,
}

/// Outcome of one piece of a batch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The piece was produced.
    Made(Handle),
    /// The piece's deadline passed before it was run.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The endpoint had no free result memory.
    NoRoom,
    /// The piece failed.
    Failed,
}

/// Outcome of a batch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Outcome of each piece, in order.
    Pieces(Vec<PieceOutcome>),
    /// Nothing ran: the endpoint is full.
    Full,
    /// Nothing ran: the address belongs to another endpoint now.
    OtherEndpoint,
    /// The call failed.
    Failed(CallFailure),
}

/// Load report of an endpoint of a batch pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchReport {
    /// Free bytes of the endpoint's result memory.
    pub free_bytes: u64,
    /// Number of calls that wait at the endpoint.
    pub waiting: u32,
    /// Incarnation that the report is about; 0 if the endpoint does not state it.
    pub incarnation: u64,
}
