//! Reads what the platform publishes: configuration values and the list of hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::config::parts::{MANIFEST_KEY, MAX_PART_LEN, Manifest, PART_PREFIX};
use crate::metrics as m;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest answer that is read: a value, or the host list.
const MAX_ANSWER_LEN: usize = 4 * MAX_PART_LEN;

/// Why the platform gave nothing that can be used.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call was not answered in time.
    #[snafu(display("{path}: no answer in time"))]
    TimedOut {
        /// What was asked for.
        path: String,
    },
    /// The call failed.
    #[snafu(display("{path}: {source}"))]
    Call {
        /// What was asked for.
        path: String,
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The path makes no request.
    #[snafu(display("{path}: {source}"))]
    Request {
        /// What was asked for.
        path: String,
        /// Why.
        source: hyper::http::Error,
    },
    /// The answer is too long or was cut.
    #[snafu(display("{path}: the answer can't be read"))]
    Body {
        /// What was asked for.
        path: String,
    },
    /// The platform answered with an error.
    #[snafu(display("{path}: status {status}"))]
    Status {
        /// What was asked for.
        path: String,
        /// The status.
        status: StatusCode,
    },
    /// The answer is not what is documented.
    #[snafu(display("{path}: {source}"))]
    Syntax {
        /// What was asked for.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
}

/// Whether a host is to be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It serves.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// A host, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where its process of this system answers others.
    pub internal: SocketAddr,
    /// Whether it is a gateway; else an agent.
    pub gateway: bool,
    /// Live or leaving.
    pub state: HostState,
}

/// The platform's list of hosts; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct HostList {
    /// Grows with every change of the list.
    pub revision: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Platform {
    /// A client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// The manifest of the configuration; `None` where none is published.
    pub async fn manifest(&self) -> Result<Option<Manifest>, PlatformError> {
        let path = format!("/v1/values/{MANIFEST_KEY}");
        let Some(bytes) = self.get(&path).await? else {
            return Ok(None);
        };
        serde_json::from_slice(&bytes).map(Some).context(SyntaxSnafu { path })
    }

    /// A part of the configuration, by its digest.
    pub async fn part(&self, digest: &str) -> Result<Bytes, PlatformError> {
        let path = format!("/v1/values/{PART_PREFIX}{digest}");
        let found = self.get(&path).await?;
        found.context(StatusSnafu { path, status: StatusCode::NOT_FOUND })
    }

    /// The list of hosts.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        let path = "/v1/hosts".to_owned();
        let bytes = self.get(&path).await?.unwrap_or_default();
        serde_json::from_slice(&bytes).context(SyntaxSnafu { path })
    }

    async fn get(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let called = tokio::time::timeout(CALL_TIMEOUT, self.call(path)).await;
        let result = called.unwrap_or_else(|_| TimedOutSnafu { path }.fail());
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics::counter!(m::PLATFORM_CALLS, "outcome" => outcome).increment(1);
        if let Ok(Some(bytes)) = &result {
            m::control_bytes("in", bytes.len());
        }
        result
    }

    async fn call(&self, path: &str) -> Result<Option<Bytes>, PlatformError> {
        let uri = format!("http://{}{path}", self.address);
        let request = hyper::Request::get(uri).body(Empty::new()).context(RequestSnafu { path })?;
        let response = self.client.request(request).await.context(CallSnafu { path })?;
        let status = response.status();
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        ensure!(status.is_success(), StatusSnafu { path, status });
        let body = Limited::new(response.into_body(), MAX_ANSWER_LEN).collect().await;
        let body = body.ok().context(BodySnafu { path })?;
        Ok(Some(body.to_bytes()))
    }
}
