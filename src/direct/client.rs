//! Interface to adapters, which call endpoints in their protocol and forward callers' messages
//! unchanged.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};

use crate::direct::answers::{AnswerProof, BatchOutcome, BatchReport, CallFailure, Identity};
use crate::direct::event::{CallParams, PieceParams};
use crate::direct::peers::message::Handle;
use crate::direct::published::model::{Endpoint, Name};
use crate::direct::statement::Statement;
use crate::response_check::Malformed;

/// Caller's request as it is forwarded.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub target: PathAndQuery,
    /// Headers, without those of a single connection.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

/// Head of an endpoint's response.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers, without those of a single connection.
    pub headers: HeaderMap,
}

/// Reading the body of an endpoint's response failed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an endpoint's response.
#[derive(Debug)]
pub enum AnswerBody {
    /// Complete body.
    Complete(Bytes),
    /// Stream that is still being received.
    Stream(UnsyncBoxBody<Bytes, BodyError>),
}

/// Response of an endpoint.
#[derive(Debug)]
pub struct Answer {
    /// What the response proves.
    pub proof: AnswerProof,
    /// Head of the response.
    pub head: AnswerHead,
    /// Body of the response.
    pub body: AnswerBody,
}

/// Observes one message to an endpoint and its response.
pub trait Exchange: Send {
    /// Called when the message could be sent over an established connection; returns whether it
    /// still may be sent. If not, the call fails with [`CallFailure::Withheld`].
    fn may_send(&mut self) -> bool;

    /// Called with the endpoint status headers when the response's head has been read.
    fn on_status(&mut self, statement: Statement);

    /// Called when what was received is no well-formed response.
    fn on_malformed(&mut self, fault: Malformed);

    /// Called with the response headers that this build does not know; each is passed once.
    fn on_unknown_headers(&mut self, headers: BTreeSet<String>);
}

/// Calls endpoints in their protocol.
pub trait EndpointClient: Send + Sync + 'static {
    /// Calls an endpoint with a request; dropping the future closes the connection.
    fn call(
        &self,
        params: CallParams,
        request: Arc<ForwardedRequest>,
        exchange: impl Exchange,
    ) -> impl Future<Output = Result<Answer, CallFailure>> + Send;

    /// Calls an endpoint with pieces of a stage.
    fn batch(
        &self,
        endpoint: Arc<Endpoint>,
        pieces: Vec<PieceParams>,
        exchange: impl Exchange,
    ) -> impl Future<Output = BatchOutcome> + Send;

    /// Requests a load report from an endpoint of a batch pool; `None` if it sends none.
    fn report(
        &self,
        endpoint: Arc<Endpoint>,
        exchange: impl Exchange,
    ) -> impl Future<Output = Option<BatchReport>> + Send;

    /// Asks which endpoint runs at the address of `endpoint`, by its health check at `health_path`
    /// or, without one, at the default path. The question is sent over a new connection.
    fn identify(
        &self,
        endpoint: Arc<Endpoint>,
        health_path: Option<Name>,
        exchange: impl Exchange,
    ) -> impl Future<Output = Identity> + Send;

    /// Whether an endpoint's port is closed, which proves that its process ended. Silence proves
    /// nothing.
    fn is_closed(&self, endpoint: &Endpoint) -> impl Future<Output = bool> + Send;

    /// Lets an endpoint free results that are no longer needed.
    fn free(
        &self,
        endpoint: Arc<Endpoint>,
        handles: Vec<Handle>,
        exchange: impl Exchange,
    ) -> impl Future<Output = ()> + Send;
}
