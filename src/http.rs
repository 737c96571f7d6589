//! Shared by all HTTP listeners: bounded reading of bodies, JSON responses, problem details,
//! serving.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use subtle::ConstantTimeEq;
use xitca_web::body::{Body, BodyExt, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use xitca_web::http::{HeaderMap, StatusCode, WebResponse};

/// Media type of problem details (RFC 9457).
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// An invalid request of a caller, detected before any of it ran.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum BadInput {
    /// The body exceeds the size limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body was not complete before the timeout.
    #[snafu(display("the body did not come within {} ms", limit.as_millis()))]
    TooSlow {
        /// The timeout.
        limit: Duration,
    },
    /// The connection failed while the body was being received.
    #[snafu(display("the body was cut"))]
    Incomplete,
    /// The body doesn't match the documented JSON schema.
    #[snafu(display("the body can't be read: {message}"))]
    Syntax {
        /// Position and cause of the error.
        message: String,
    },
    /// A value is out of range.
    #[snafu(display("{field}: {allowed}"))]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// The allowed values.
        allowed: String,
    },
    /// The bearer token is missing or wrong.
    #[snafu(display("a valid bearer token is required"))]
    Unauthorised,
    /// The requested object is not known, or no longer known.
    #[snafu(display("{what} is not known here, or no longer"))]
    Unknown {
        /// The requested object.
        what: String,
    },
}

impl BadInput {
    /// HTTP status of the error.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Incomplete | Self::Syntax { .. } | Self::OutOfRange { .. } => {
                StatusCode::BAD_REQUEST
            }
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Unknown { .. } => StatusCode::NOT_FOUND,
        }
    }

    const fn kind(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "body_too_large",
            Self::TooSlow { .. } => "body_too_slow",
            Self::Incomplete => "body_cut",
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

/// Builds the response to an invalid request.
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

/// Returns the URN of a kind of problem.
pub fn problem_type(kind: &str) -> String {
    format!("urn:stackmast:problem:{kind}")
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    typed(status, JSON, to_bytes(value))
}

/// Builds a problem details response.
pub fn problem<T: Serialize>(status: StatusCode, value: &T) -> WebResponse {
    typed(status, PROBLEM_JSON, to_bytes(value))
}

/// Builds a plain text response.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> WebResponse {
    typed(status, HeaderValue::from_static("text/plain; charset=utf-8"), text.into())
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Builds a response with the given media type.
pub fn typed(status: StatusCode, media_type: HeaderValue, body: Bytes) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Reads a body within the limits on its length and duration.
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
    let stated_len = match body.size_hint() {
        SizeHint::Exact(len) => Some(len),
        _ => None,
    };
    if stated_len.is_some_and(|len| len > limit as u64) {
        return Err(BadInput::TooLarge { limit });
    }
    let mut buffer = BytesMut::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| BadInput::Incomplete)?;
        if buffer.len() + data.len() > limit {
            return Err(BadInput::TooLarge { limit });
        }
        buffer.extend_from_slice(&data);
    }
    // The server ends a body with its connection, without an error.
    if stated_len.is_some_and(|len| len != buffer.len() as u64) {
        return Err(BadInput::Incomplete);
    }
    Ok(buffer.freeze())
}

/// Checks the bearer token in constant time, so that timing doesn't reveal where it differs.
pub fn authorise(headers: &HeaderMap, token: &str) -> Result<(), BadInput> {
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    if bool::from(given.as_bytes().ct_eq(token.as_bytes())) {
        return Ok(());
    }
    Err(BadInput::Unauthorised)
}

/// A listener could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)), display("can't listen on {address}: {source}"))]
pub struct ListenError {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub source: std::io::Error,
}

/// A running listener.
pub struct Listener {
    handle: xitca_server::ServerHandle,
    thread: std::thread::JoinHandle<std::io::Result<()>>,
}

impl Listener {
    /// Starts a server on its own threads.
    pub fn start(
        mut server: xitca_server::ServerFuture,
        address: SocketAddr,
    ) -> Result<Self, ListenError> {
        let handle = server.handle().context(ListenSnafu { address })?;
        let thread = std::thread::spawn(move || server.wait());
        Ok(Self { handle, thread })
    }

    /// Stops the server immediately; the caller has made sure that nothing is in flight.
    pub fn stop(self) {
        self.handle.stop(false);
        self.thread.join().ok();
    }
}
