//! HTTP client of callers and operators: sends requests and reads complete responses, buffered or
//! as events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu, ensure};
use stackmast::framing::states_its_end;
use stackmast::request_target::RequestTarget;

/// Reason why a request got no response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Underlying error.
        source: hyper_util::client::legacy::Error,
    },
    /// The response was incomplete.
    #[snafu(display("incomplete response: {source}"))]
    Cut {
        /// Underlying error.
        source: hyper::Error,
    },
    /// The response has neither a length nor chunks, so nothing shows that it is complete.
    #[snafu(display("response without a length or chunks"))]
    Unframed,
    /// The request could not be built.
    #[snafu(display("{source}"))]
    Request {
        /// Underlying error.
        source: hyper::http::Error,
    },
    /// No response arrived within the timeout.
    #[snafu(display("no response within the timeout"))]
    TimedOut,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Request id that the response names; empty if there is none.
    pub fn request(&self) -> String {
        let header = self.headers.get("x-stackmast-request").and_then(|v| v.to_str().ok());
        header.unwrap_or_default().to_owned()
    }

    /// The events of a stream, as pairs of name and data.
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

/// A request of a caller to a pipeline.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Unique key of the request, used to match runs and responses.
    pub key: String,
    /// Tokens to generate.
    pub tokens: usize,
    /// Bytes of padding in the input, to reach the size of a long brief.
    pub padding: usize,
    /// Additional fields of the body.
    pub more: Value,
}

impl Ask {
    /// Creates a short request.
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

/// HTTP client of a caller or an operator.
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
    /// Creates a client with a timeout for each request.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The HTTP library must not repeat requests on its own: some are not idempotent.
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, timeout }
    }

    /// Sends a request to a gateway.
    pub async fn ask(&self, gateway: SocketAddr, ask: &Ask) -> Result<Reply, ClientError> {
        let path = RequestTarget::new("/v1/pipelines").segment(&ask.pipeline).to_string();
        self.call(Method::POST, gateway, &path, "", ask.body().to_string()).await
    }

    /// Sends an HTTP request with a bearer token.
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
        ensure!(states_its_end(&response), UnframedSnafu);
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context(CutSnafu)?.to_bytes();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }
}
