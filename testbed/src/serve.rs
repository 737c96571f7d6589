//! A small HTTP server for the stand-ins, with buffered or streamed response bodies.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_stream::wrappers::ReceiverStream;

/// Response of a stand-in.
pub type Answer = Response<BoxBody<Bytes, Infallible>>;

/// A request with its complete body.
pub type Call = Request<Bytes>;

/// Handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Responds to one request.
    fn handle(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

/// A running server; stopped on drop.
#[derive(Debug)]
pub struct Server {
    /// Address of the server.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves requests on `address`; with port 0 the system selects a port.
pub async fn serve<H: Handler>(address: SocketAddr, handler: Arc<H>) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok(Server { address, task: task.abort_handle() })
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    // Connections are closed together with the server, like those of a killed process.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move { answer(&*handler, request).await }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            builder.serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}

async fn answer<H: Handler>(handler: &H, request: Request<Incoming>) -> hyper::Result<Answer> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(handler.handle(Request::from_parts(parts, body)).await)
}

/// Response with a complete body.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()).boxed());
    *answer.status_mut() = status;
    answer
}

/// Response with a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Answer {
    whole(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

/// Response with a streamed body.
pub fn streamed(pieces: mpsc::Receiver<Bytes>) -> Answer {
    let frames = ReceiverStream::new(pieces);
    let frames = tokio_stream::StreamExt::map(frames, |piece| Ok(Frame::data(piece)));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Turns a streamed response into one without a length or chunks, whose end only the end of its
/// connection states. On the wire, it can't be told from one that a crash cut.
pub fn without_framing(mut answer: Answer) -> Answer {
    *answer.version_mut() = Version::HTTP_10;
    answer
}

/// Response without a length or chunks, with this body.
pub fn unframed(body: Bytes) -> Answer {
    let (sender, receiver) = mpsc::channel(1);
    // The channel has room for the only piece.
    sender.try_send(body).ok();
    without_framing(streamed(receiver))
}

/// Value of a header; empty if it is missing or not text.
pub fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    call.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}
