//! HTTP client of an endpoint: a plain service sends one response, an engine sends a stream that
//! can be resumed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use slog::{Logger, warn};

use super::core::AgentCore;
use super::event::{CallStart, EndpointEvent, EndpointFailure, Event};
use super::orders::Order;
use crate::actor::Handle;
use crate::config::EndpointKind;
use crate::framing::states_its_end;
use crate::message::{AttemptId, Run};
use crate::request_target::RequestTarget;
use crate::response_check::{CheckedConnector, Malformed};

/// Timeout for connecting to the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a line of an engine's stream, in bytes.
const MAX_LINE_LEN: usize = 1 << 20;

/// Header with the identity of the attempt, in requests and responses.
pub const ATTEMPT_HEADER: &str = "x-stackmast-attempt";
/// Header with the identity of the request.
pub const REQUEST_HEADER: &str = "x-stackmast-request";
/// Header with the name of the organisation.
pub const ORGANISATION_HEADER: &str = "x-stackmast-organisation";
/// Header with the priority.
pub const PRIORITY_HEADER: &str = "x-stackmast-priority";
/// Header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-stackmast-deadline-ms";

/// A line of an engine's stream.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Line {
    Chunk { offset: u64, text: String },
    Done { done: bool, length: u64 },
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has accepted a newer order.
    Refused,
    /// The engine is unreachable or answered with an error.
    Failed,
}

/// HTTP client of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    address: SocketAddr,
    client: Client<CheckedConnector, Full<Bytes>>,
    log: Logger,
}

impl EndpointClient {
    /// Creates a client of the endpoint at `address`.
    pub fn new(address: SocketAddr, log: Logger) -> Self {
        let connector = CheckedConnector::new(CONNECT_TIMEOUT);
        // The library retries a request only if none of its bytes was written.
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { address, client, log }
    }

    /// Calls the endpoint and forwards the events of the call to the core.
    pub async fn call(
        &self,
        kind: EndpointKind,
        attempt: AttemptId,
        start: CallStart,
        core: &Handle<AgentCore>,
    ) {
        let events = Events { attempt, core };
        let ended = match kind {
            EndpointKind::Service => self.call_service(attempt, start, &events).await,
            EndpointKind::Engine => self.call_engine(attempt, start, &events).await,
        };
        let last = match ended {
            Ok(length) => EndpointEvent::Done { length },
            Err(failure) => EndpointEvent::Failed(failure),
        };
        events.send(last).await;
    }

    /// Cancels a stream at an engine; failures are ignored.
    pub async fn cancel(&self, attempt: AttemptId) {
        let uri = stream_target(attempt).at(self.address);
        let request = uri.and_then(|uri| Request::delete(uri).body(Full::default()));
        if let Ok(request) = request {
            self.client.request(request).await.ok();
        }
    }

    /// Sends an order to the engine.
    pub async fn order(&self, order: &Order) -> OrderOutcome {
        let uri = RequestTarget::new("/v1/orders").at(self.address);
        let body = serde_json::to_vec(order).unwrap_or_default();
        let body = Full::new(Bytes::from(body));
        let Ok(request) = uri.and_then(|uri| Request::post(uri).body(body)) else {
            return OrderOutcome::Failed;
        };
        match self.client.request(request).await.map(|r| r.status()) {
            Ok(status) if status.is_success() => OrderOutcome::Accepted,
            Ok(StatusCode::CONFLICT) => OrderOutcome::Refused,
            Ok(_) | Err(_) => OrderOutcome::Failed,
        }
    }

    async fn call_service(
        &self,
        attempt: AttemptId,
        start: CallStart,
        events: &Events<'_>,
    ) -> Result<u64, EndpointFailure> {
        let CallStart::Begin(run) = start else {
            return Err(EndpointFailure::UnknownAttempt);
        };
        let target = RequestTarget::new("/v1/stages").segment(&run.stage);
        let response = self.send(self.begin_request(&target, attempt, *run)?).await?;
        check_answer(&response, attempt)?;
        if !states_its_end(&response) {
            self.log_unframed(attempt, response.status());
            return Err(EndpointFailure::Misbehaved);
        }
        let mut body = response.into_body();
        let mut offset = 0;
        while let Some(data) = next_data(&mut body).await? {
            let length = data.len() as u64;
            events.send(EndpointEvent::Chunk { offset, data }).await;
            offset += length;
        }
        Ok(offset)
    }

    fn log_unframed(&self, attempt: AttemptId, status: StatusCode) {
        let (attempt, status) = (attempt.to_string(), status.as_u16());
        warn!(self.log, "answer without a length or chunks"; "attempt" => attempt, "status" => status);
    }

    async fn call_engine(
        &self,
        attempt: AttemptId,
        start: CallStart,
        events: &Events<'_>,
    ) -> Result<u64, EndpointFailure> {
        let target = stream_target(attempt);
        let request = match start {
            CallStart::Begin(run) => self.begin_request(&target, attempt, *run)?,
            CallStart::Resume { offset, after } => {
                tokio::time::sleep(after).await;
                let uri = target.field("offset", offset).at(self.address);
                let request = uri.and_then(|uri| Request::get(uri).body(Full::default()));
                request.map_err(|_| EndpointFailure::Failed)?
            }
        };
        let response = self.send(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(EndpointFailure::UnknownAttempt);
        }
        check_answer(&response, attempt)?;
        read_lines(response.into_body(), events).await
    }

    fn begin_request(
        &self,
        target: &RequestTarget,
        attempt: AttemptId,
        run: Run,
    ) -> Result<Request<Full<Bytes>>, EndpointFailure> {
        let uri = target.at(self.address).map_err(|_| EndpointFailure::Failed)?;
        Request::post(uri)
            .header(ATTEMPT_HEADER, attempt.to_string())
            .header(REQUEST_HEADER, run.request)
            .header(ORGANISATION_HEADER, run.organisation)
            .header(PRIORITY_HEADER, run.priority.to_string())
            .header(DEADLINE_HEADER, run.time_left.as_millis().to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(run.input))
            .map_err(|_| EndpointFailure::Failed)
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, EndpointFailure> {
        let sent = self.client.request(request).await;
        sent.map_err(|error| match Malformed::cause_of(&error) {
            Some(fault) => {
                warn!(self.log, "malformed response"; "fault" => fault.to_string());
                EndpointFailure::Misbehaved
            }
            None if error.is_connect() => EndpointFailure::Unreachable,
            None => EndpointFailure::ConnectionLost,
        })
    }
}

/// Sender of the events of one call to the core.
struct Events<'a> {
    attempt: AttemptId,
    core: &'a Handle<AgentCore>,
}

impl Events<'_> {
    async fn send(&self, event: EndpointEvent) {
        let attempt = self.attempt;
        // The event is dropped if the core has stopped.
        self.core.send(Event::Endpoint { attempt, event }).await.ok();
    }
}

/// Target of the stream of an attempt at an engine.
fn stream_target(attempt: AttemptId) -> RequestTarget {
    RequestTarget::new("/v1/streams").segment(attempt)
}

fn check_answer(response: &Response<Incoming>, attempt: AttemptId) -> Result<(), EndpointFailure> {
    if !response.status().is_success() {
        return Err(EndpointFailure::Failed);
    }
    let named = response.headers().get(ATTEMPT_HEADER).and_then(|v| v.to_str().ok());
    if named != Some(attempt.to_string().as_str()) {
        return Err(EndpointFailure::Misbehaved);
    }
    Ok(())
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, EndpointFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match Malformed::cause_of(&error) {
            Some(_) => EndpointFailure::Misbehaved,
            None => EndpointFailure::ConnectionLost,
        })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

async fn read_lines(mut body: Incoming, events: &Events<'_>) -> Result<u64, EndpointFailure> {
    let mut buffer = BytesMut::new();
    while let Some(data) = next_data(&mut body).await? {
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            match serde_json::from_slice(&line) {
                Ok(Line::Chunk { offset, text }) => {
                    events.send(EndpointEvent::Chunk { offset, data: Bytes::from(text) }).await;
                }
                Ok(Line::Done { done: true, length }) => return Ok(length),
                Ok(Line::Done { .. }) | Err(_) => return Err(EndpointFailure::Misbehaved),
            }
        }
        if buffer.len() > MAX_LINE_LEN {
            return Err(EndpointFailure::Misbehaved);
        }
    }
    Err(EndpointFailure::ConnectionLost)
}
