//! A stream whose received bytes are checked.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{Malformed, ResponseCheck};

/// The check of a connection, which the user of the connection shares with its stream.
#[derive(Debug, Clone, Default)]
pub struct SharedCheck(Arc<Mutex<ResponseCheck>>);

impl SharedCheck {
    /// See [`ResponseCheck::begin`].
    pub fn begin(&self, is_head_only: bool) {
        self.lock().begin(is_head_only);
    }

    /// See [`ResponseCheck::is_idle`].
    pub fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    /// See [`ResponseCheck::failed`].
    pub fn failed(&self) -> Option<Malformed> {
        self.lock().failed()
    }

    fn lock(&self) -> MutexGuard<'_, ResponseCheck> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wraps a stream; a read fails with [`Malformed`] from the first byte on that does not belong to a
/// well-formed response. Bytes behind a whole response are dropped, and the next read fails.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    check: SharedCheck,
    /// Whether a request begins with the first bytes that are sent behind a response.
    begins_with_writes: bool,
}

impl<S> CheckedStream<S> {
    /// Wraps `stream`; the user of the connection announces each request to `check`.
    pub const fn new(stream: S, check: SharedCheck) -> Self {
        Self { stream, check, begins_with_writes: false }
    }

    /// Wraps the stream of a client that does not announce its requests, none of which asks for a
    /// head only.
    pub fn unannounced(stream: S) -> Self {
        Self { stream, check: SharedCheck::default(), begins_with_writes: true }
    }

    fn before_write(&self) {
        if self.begins_with_writes && self.check.is_idle() {
            self.check.begin(false);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(malformed) = self.check.failed() {
            return Poll::Ready(Err(io::Error::other(malformed)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !matches!(polled, Poll::Ready(Ok(()))) {
            return polled;
        }
        let received = self.check.lock().receive(&buffer.filled()[before..]);
        buffer.set_filled(before + received.map_or(0, |accepted| accepted.bytes));
        Poll::Ready(received.map(|_| ()).map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    crate::forward_flushes!();
}
