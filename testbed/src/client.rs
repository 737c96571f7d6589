//! A caller: sends requests to a gateway and reads whole answers, buffered or as events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

/// Why no answer came.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut.
    #[snafu(display("the answer was cut: {source}"))]
    Cut {
        /// Why.
        source: hyper::Error,
    },
    /// The request can't be made.
    #[snafu(display("{source}"))]
    Request {
        /// Why.
        source: hyper::http::Error,
    },
    /// No answer came in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The request that was answered.
    pub fn request(&self) -> String {
        let header = self.headers.get("x-stackmast-request").and_then(|v| v.to_str().ok());
        header.unwrap_or_default().to_owned()
    }

    /// The events of a stream: their names and data.
    pub fn events(&self) -> Vec<(String, Value)> {
        let text = self.text();
        let blocks = text.split("\n\n").filter(|b| !b.is_empty());
        let parsed = blocks.filter_map(|block| {
            let (name, data) = block.split_once('\n')?;
            let data = serde_json::from_str(data.strip_prefix("data: ")?).ok()?;
            Some((name.strip_prefix("event: ")?.to_owned(), data))
        });
        parsed.collect()
    }
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The pipeline.
    pub pipeline: String,
    /// The organisation.
    pub organisation: String,
    /// The caller's own key, by which runs and answers are matched.
    pub key: String,
    /// Tokens to generate.
    pub tokens: usize,
    /// Bytes that make the input as long as a brief is.
    pub padding: usize,
    /// The body's other fields.
    pub more: Value,
}

impl Ask {
    /// A short request.
    pub fn new(pipeline: &str, organisation: &str, key: &str) -> Self {
        Self {
            pipeline: pipeline.to_owned(),
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            tokens: 4,
            padding: 0,
            more: json!({}),
        }
    }

    fn body(&self) -> Value {
        let padding = "x".repeat(self.padding);
        let input = json!({ "key": self.key, "tokens": self.tokens, "padding": padding });
        let mut body = json!({ "organisation": self.organisation, "input": input });
        if let (Value::Object(body), Value::Object(more)) = (&mut body, &self.more) {
            body.extend(more.clone());
        }
        body
    }
}

/// A caller, or an operator.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Duration::from_secs(30))
    }
}

impl Client {
    /// A client that waits so long.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A caller whose request may not be repeated does not repeat it unasked.
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, timeout }
    }

    /// Sends a request to a gateway.
    pub async fn ask(&self, gateway: SocketAddr, ask: &Ask) -> Result<Reply, ClientError> {
        let path = format!("/v1/pipelines/{}", ask.pipeline);
        self.call(Method::POST, gateway, &path, "", ask.body().to_string()).await
    }

    /// Makes any call.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply, ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .context(RequestSnafu)?;
        let answered = tokio::time::timeout(self.timeout, self.send(request)).await;
        answered.unwrap_or(Err(ClientError::TimedOut))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, ClientError> {
        let response = self.http.request(request).await.context(CallSnafu)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context(CutSnafu)?.to_bytes();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }
}
