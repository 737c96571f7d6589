//! Methods of `AsyncWrite` for wrappers that pass writes on to their field `stream`. They are used
//! inside the implementation.

/// Passes bytes on unchanged.
#[macro_export]
macro_rules! forward_writes {
    () => {
        fn poll_write(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
            bytes: &[u8],
        ) -> std::task::Poll<std::io::Result<usize>> {
            std::pin::Pin::new(&mut self.stream).poll_write(context, bytes)
        }

        fn poll_write_vectored(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
            buffers: &[std::io::IoSlice<'_>],
        ) -> std::task::Poll<std::io::Result<usize>> {
            std::pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
        }
    };
}

/// Passes everything but bytes on. A wrapper that does not offer vectored writes makes the HTTP
/// library copy whole bodies into a buffer of its own.
#[macro_export]
macro_rules! forward_flushes {
    () => {
        fn is_write_vectored(&self) -> bool {
            self.stream.is_write_vectored()
        }

        fn poll_flush(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<std::io::Result<()>> {
            std::pin::Pin::new(&mut self.stream).poll_flush(context)
        }

        fn poll_shutdown(
            mut self: std::pin::Pin<&mut Self>,
            context: &mut std::task::Context<'_>,
        ) -> std::task::Poll<std::io::Result<()>> {
            std::pin::Pin::new(&mut self.stream).poll_shutdown(context)
        }
    };
}
