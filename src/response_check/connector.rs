//! Connections of the HTTP library's pooled client, with the check of their responses.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use super::CheckedStream;

/// Error of establishing a connection.
type ConnectError = <HttpConnector as Service<Uri>>::Error;
/// A connection whose responses are checked.
type Checked = TokioIo<CheckedStream<TcpStream>>;

/// Opens connections whose responses are checked.
#[derive(Debug, Clone)]
pub struct CheckedConnector(HttpConnector);

impl CheckedConnector {
    /// Creates a connector with this time limit for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        Self(connector)
    }
}

impl Service<Uri> for CheckedConnector {
    type Response = Checked;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Checked, ConnectError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(CheckedStream::unannounced(stream)))
        })
    }
}

impl Connection for CheckedStream<TcpStream> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
