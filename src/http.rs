//! What both listeners share: reading bodies within bounds, JSON answers, problems, serving.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use subtle::ConstantTimeEq;
use xitca_web::body::{Body, BodyExt, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use xitca_web::http::{HeaderMap, StatusCode, WebResponse};

/// The media type of problems (RFC 9457).
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// What is wrong with a caller's message, before anything of it ran.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum BadInput {
    /// The body is longer than the bound.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// The bound.
        limit: usize,
    },
    /// The body did not come in time.
    #[snafu(display("the body did not come within {} ms", limit.as_millis()))]
    TooSlow {
        /// The bound.
        limit: Duration,
    },
    /// The connection failed in the body.
    #[snafu(display("the body was cut"))]
    Cut,
    /// The body is not the JSON that is documented.
    #[snafu(display("the body can't be read: {message}"))]
    Syntax {
        /// Where and why.
        message: String,
    },
    /// A value is outside its range.
    #[snafu(display("{field}: {allowed}"))]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// What is allowed.
        allowed: String,
    },
    /// No or a wrong bearer token.
    #[snafu(display("a valid bearer token is required"))]
    Unauthorised,
    /// Nothing is known under this name.
    #[snafu(display("{what} is not known here, or no longer"))]
    Unknown {
        /// What was asked for.
        what: String,
    },
}

impl BadInput {
    /// The status that goes with it.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Cut | Self::Syntax { .. } | Self::OutOfRange { .. } => StatusCode::BAD_REQUEST,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Unknown { .. } => StatusCode::NOT_FOUND,
        }
    }

    const fn kind(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "body_too_large",
            Self::TooSlow { .. } => "body_too_slow",
            Self::Cut => "body_cut",
            Self::Syntax { .. } => "body_syntax",
            Self::OutOfRange { .. } => "out_of_range",
            Self::Unauthorised => "unauthorised",
            Self::Unknown { .. } => "not_known",
        }
    }
}

#[derive(Serialize)]
struct InputProblem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    ran: &'static str,
    detail: String,
}

/// The answer to bad input.
pub fn bad_input(error: &BadInput) -> WebResponse {
    let status = error.status();
    let problem = InputProblem {
        r#type: problem_type(error.kind()),
        title: error.kind(),
        status: status.as_u16(),
        ran: "not_run",
        detail: error.to_string(),
    };
    metrics::counter!(crate::metrics::REFUSED, "reason" => error.kind(), "ran" => "not_run")
        .increment(1);
    typed(status, PROBLEM_JSON, to_bytes(&problem))
}

/// The identifier of a kind of problem.
pub fn problem_type(kind: &str) -> String {
    format!("urn:stackmast:problem:{kind}")
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    typed(status, JSON, to_bytes(value))
}

/// A problem as an answer.
pub fn problem<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    typed(status, PROBLEM_JSON, to_bytes(value))
}

/// A plain text answer.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> WebResponse {
    typed(status, HeaderValue::from_static("text/plain; charset=utf-8"), text.into())
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// An answer with a media type.
pub fn typed(status: StatusCode, media_type: HeaderValue, body: Bytes) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Reads a body within its bounds of length and time.
pub async fn read_body(
    body: RequestBody,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BadInput> {
    let read = tokio::time::timeout(timeout, collect(body, limit)).await;
    read.unwrap_or(Err(BadInput::TooSlow { limit: timeout }))
}

async fn collect(body: RequestBody, limit: usize) -> Result<Bytes, BadInput> {
    let mut body = std::pin::pin!(body);
    if matches!(body.size_hint(), SizeHint::Exact(len) if len > limit as u64) {
        return Err(BadInput::TooLarge { limit });
    }
    let mut buffer = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| BadInput::Cut)?;
        if buffer.len() + data.len() > limit {
            return Err(BadInput::TooLarge { limit });
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Checks the bearer token, in a time that doesn't depend on where it differs.
pub fn authorise(headers: &HeaderMap, token: &str) -> Result<(), BadInput> {
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    if bool::from(given.as_bytes().ct_eq(token.as_bytes())) {
        return Ok(());
    }
    Err(BadInput::Unauthorised)
}

/// Why a listener could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("can't listen on {address}: {source}"))]
pub struct ListenError {
    /// Where.
    pub address: SocketAddr,
    /// Why.
    pub source: std::io::Error,
}

/// A running listener.
pub struct Listener {
    handle: xitca_server::ServerHandle,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

impl Listener {
    /// Runs a server on threads of its own.
    pub fn start(
        mut server: xitca_server::ServerFuture,
        address: SocketAddr,
    ) -> Result<Self, ListenError> {
        let handle = server.handle().context(ListenSnafu { address })?;
        let thread = std::thread::spawn(move || server.wait());
        Ok(Self { handle, thread })
    }

    /// Stops the server at once; the process has seen to it that nothing is in flight.
    pub fn stop(self) {
        self.handle.stop(false);
        self.thread.join().ok();
    }
}
