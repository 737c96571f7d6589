//! What comes of calls to endpoints: what an answer proves, how a call failed, what became of pieces.

use crate::direct::peers::message::Handle;

/// What an endpoint proved with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerProof {
    /// The status of the answer.
    pub status: u16,
    /// The answer is signed by its maker.
    pub signed: bool,
    /// The answer names this very request.
    pub names_request: bool,
    /// The endpoint states that it has not run the request.
    pub not_run: bool,
    /// Another endpoint has this address.
    pub from_other_endpoint: bool,
    /// Requests running and waiting at the endpoint, and its slots.
    pub load: Option<(u32, u32, u32)>,
}

/// How a call failed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was made: nothing was sent.
    NotSent,
    /// The endpoint closed a new connection before anything was sent: it has too many.
    TurnedAway,
    /// The endpoint said that it wants nothing before anything was sent.
    Withheld,
    /// It may have run.
    Broken,
    /// There was no answer in time; it may run.
    Silent,
}

/// What became of one piece in a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Its result.
    Made(Handle),
    /// Its time was over at its turn.
    Late,
    /// An input is gone.
    InputGone,
    /// There was no room for the result.
    NoRoom,
    /// It failed.
    Failed,
}

/// What became of a call with pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchOutcome {
    /// An outcome for each piece, in order.
    Pieces(Vec<PieceOutcome>),
    /// Nothing ran: the endpoint is full.
    Full,
    /// Nothing ran: another endpoint has this address.
    OtherEndpoint,
    /// The call failed.
    Failed(CallFailure),
}

/// How an endpoint that works in batches says that it stands, a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchReport {
    /// Bytes of its room for results that are free.
    pub free_bytes: u64,
    /// Calls that wait there.
    pub waiting: u32,
    /// The life that it tells of; 0 where it does not say.
    pub incarnation: u64,
}
