//! A small HTTP server for the stand-ins: one handler, bodies collected or streamed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_stream::wrappers::ReceiverStream;

/// A body of a stand-in's answer.
pub type Answer = Response<BoxBody<Bytes, Infallible>>;

/// A request with its whole body.
pub type Call = Request<Bytes>;

/// Answers calls.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

/// A running server; it ends when this is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves on `address`; port 0 lets the system choose.
pub async fn serve<H: Handler>(address: SocketAddr, handler: Arc<H>) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok(Server { address, task: task.abort_handle() })
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    // Connections end with the server, as those of a process that dies.
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

/// An answer with a whole body.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()).boxed());
    *answer.status_mut() = status;
    answer
}

/// A JSON answer.
pub fn json<T: serde::Serialize>(value: &T) -> Answer {
    whole(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

/// An answer whose body comes in pieces.
pub fn streamed(pieces: mpsc::Receiver<Bytes>) -> Answer {
    let frames = ReceiverStream::new(pieces);
    let frames = tokio_stream::StreamExt::map(frames, |piece| Ok(Frame::data(piece)));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// A header's text.
pub fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    call.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}
