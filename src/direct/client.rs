//! What an adapter provides: calls to endpoints. What it gets: callers' messages, untouched.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{HeaderMap, Method, StatusCode};

use crate::direct::answers::{AnswerProof, BatchOutcome, BatchReport, CallFailure};
use crate::direct::event::{CallSpec, PieceSpec};
use crate::direct::peers::message::Handle;
use crate::direct::published::model::Endpoint;
use crate::direct::statement::Statement;

/// A caller's message as it is handed on.
#[derive(Debug, Clone)]
pub struct Forwarded {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The head, without what belongs to one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The head of an endpoint's answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// The status.
    pub status: StatusCode,
    /// The head, without what belongs to one connection.
    pub headers: HeaderMap,
}

/// An endpoint's answer broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// What follows an answer's head.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// It comes bit by bit.
    Open(UnsyncBoxBody<Bytes, BodyError>),
}

/// An endpoint's answer.
#[derive(Debug)]
pub struct Answer {
    /// What it proves.
    pub proof: AnswerProof,
    /// Its head.
    pub head: AnswerHead,
    /// Its body.
    pub body: AnswerBody,
}

/// Follows one message to an endpoint and its answer.
pub trait Exchange: Send {
    /// The message could go out now, over a connection that is up; says whether it still may. One that may not is
    /// [`CallFailure::Withheld`].
    fn goes_out(&mut self) -> bool;

    /// The head of the answer is read, and says this of the endpoint.
    fn states(&mut self, statement: Statement);

    /// The head of the answer has headers that are not read; each is named once.
    fn passes_over(&mut self, headers: BTreeSet<String>);
}

/// Speaks to endpoints in their protocol.
pub trait EndpointClient: Send + Sync + 'static {
    /// Hands a request to an endpoint; dropping the future ends the connection.
    fn call(
        &self,
        order: CallSpec,
        request: Arc<Forwarded>,
        exchange: impl Exchange,
    ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;

    /// Has an endpoint make pieces.
    fn batch(
        &self,
        endpoint: Arc<Endpoint>,
        pieces: Vec<PieceSpec>,
        exchange: impl Exchange,
    ) -> impl Future<Output = BatchOutcome> + Send;

    /// Asks an endpoint that works in batches how it stands; `None` where it does not tell.
    fn report(
        &self,
        endpoint: Arc<Endpoint>,
        exchange: impl Exchange,
    ) -> impl Future<Output = Option<BatchReport>> + Send;

    /// Whether an endpoint's port is closed, which proves that its process is gone. Silence proves nothing.
    fn is_closed(&self, endpoint: &Endpoint) -> impl Future<Output = bool> + Send;

    /// Tells an endpoint that results aren't needed any more.
    fn free(
        &self,
        endpoint: Arc<Endpoint>,
        handles: Vec<Handle>,
        exchange: impl Exchange,
    ) -> impl Future<Output = ()> + Send;
}
