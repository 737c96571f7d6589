//! Client of the platform: reads configuration values and the host list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::config::parts::{self, MANIFEST_KEY, MAX_PART_LEN, Manifest, PART_PREFIX};
use crate::framing::states_its_end;
use crate::metrics as m;
use crate::request_target::RequestTarget;
use crate::response_check::CheckedConnector;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a response in bytes; the largest are values and the host list.
const MAX_ANSWER_LEN: usize = 4 * MAX_PART_LEN;

/// Reason for which a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call timed out.
    #[snafu(display("{path}: request timed out"))]
    TimedOut {
        /// Path of the request.
        path: String,
    },
    /// The call failed.
    #[snafu(display("{path}: {source}"))]
    Call {
        /// Path of the request.
        path: String,
        /// Cause of the failure.
        source: hyper_util::client::legacy::Error,
    },
    /// The path is not valid in a request.
    #[snafu(display("{path}: {source}"))]
    Request {
        /// Path of the request.
        path: String,
        /// Cause of the failure.
        source: hyper::http::Error,
    },
    /// The response exceeds the length limit or is incomplete.
    #[snafu(display("{path}: the response is too long or incomplete"))]
    Body {
        /// Path of the request.
        path: String,
    },
    /// The platform responded with an error status.
    #[snafu(display("{path}: status {status}"))]
    Status {
        /// Path of the request.
        path: String,
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The response doesn't match its documented schema.
    #[snafu(display("{path}: {source}"))]
    Syntax {
        /// Path of the request.
        path: String,
        /// Position and cause of the error.
        source: serde_json::Error,
    },
}

/// Whether a host gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host gets new work.
    Live,
    /// The host is about to be removed and gets no new work.
    Leaving,
}

/// A host in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address on which the host's process accepts connections of other processes.
    pub internal: SocketAddr,
    /// Whether the host runs a gateway; otherwise it runs an agent.
    pub gateway: bool,
    /// State of the host.
    pub state: HostState,
}

/// The platform's list of hosts; it may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct HostList {
    /// Version of the list, which grows with every change.
    pub revision: u64,
    /// All listed hosts.
    pub hosts: Vec<Host>,
}

/// A successful answer of the platform.
#[derive(Debug)]
struct Answer {
    body: Bytes,
    /// Whether the body is complete by its length or chunks; otherwise it may have been cut.
    states_its_end: bool,
}

/// HTTP client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    client: Client<CheckedConnector, Empty<Bytes>>,
}

impl Platform {
    /// Creates a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let connector = CheckedConnector::new(CALL_TIMEOUT);
        Self { address, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Fetches the manifest of the configuration; `None` if none is published.
    pub async fn manifest(&self) -> Result<Option<Manifest>, PlatformError> {
        let target = value_target(MANIFEST_KEY);
        let Some(answer) = self.get(&target).await? else {
            return Ok(None);
        };
        let path = target.to_string();
        serde_json::from_slice(&answer.body).map(Some).context(SyntaxSnafu { path })
    }

    /// Fetches a part of the configuration by its digest.
    pub async fn part(&self, digest: &str) -> Result<Bytes, PlatformError> {
        let target = value_target(PART_PREFIX.trim_end_matches('/')).segment(digest);
        let (path, status) = (target.to_string(), StatusCode::NOT_FOUND);
        let answer = self.get(&target).await?.context(StatusSnafu { path: &path, status })?;
        // A part that was cut is fetched again; one that was published with other content makes
        // the store reject the configuration.
        ensure!(answer.states_its_end || parts::digest(&answer.body) == digest, BodySnafu { path });
        Ok(answer.body)
    }

    /// Fetches the list of hosts.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        let target = RequestTarget::new("/v1/hosts");
        let body = self.get(&target).await?.map(|answer| answer.body).unwrap_or_default();
        serde_json::from_slice(&body).context(SyntaxSnafu { path: target.to_string() })
    }

    async fn get(&self, target: &RequestTarget) -> Result<Option<Answer>, PlatformError> {
        let called = tokio::time::timeout(CALL_TIMEOUT, self.call(target)).await;
        let result = called.unwrap_or_else(|_| TimedOutSnafu { path: target.to_string() }.fail());
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics::counter!(m::PLATFORM_CALLS, "outcome" => outcome).increment(1);
        if let Ok(Some(answer)) = &result {
            m::control_bytes("in", answer.body.len());
        }
        result
    }

    async fn call(&self, target: &RequestTarget) -> Result<Option<Answer>, PlatformError> {
        let path = &target.to_string();
        let uri = target.at(self.address);
        let request = uri.and_then(|uri| hyper::Request::get(uri).body(Empty::new()));
        let request = request.context(RequestSnafu { path })?;
        let response = self.client.request(request).await.context(CallSnafu { path })?;
        let status = response.status();
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        ensure!(status.is_success(), StatusSnafu { path, status });
        let states_its_end = states_its_end(&response);
        let body = Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await;
        let body = body.ok().context(BodySnafu { path })?;
        Ok(Some(Answer { body: body.to_bytes(), states_its_end }))
    }
}

/// Target of a value at the platform; the slashes of its key separate segments.
fn value_target(key: &str) -> RequestTarget {
    key.split('/').fold(RequestTarget::new("/v1/values"), RequestTarget::segment)
}
