//! Adapts an `async-std` stream to the `tokio` traits that `h2` requires, with small reads.
//!
//! `h2` passes buffers with a large spare capacity, and the traits of `async-std` require that
//! capacity to be zeroed before each read. Limiting the size of a read keeps this cheap; see
//! `docs/DESIGN.md`, "Links".

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};
use tokio::io::ReadBuf;

const MAX_READ_BYTES: usize = 4_096;

/// Forwards reads and writes to the inner stream.
#[derive(Debug)]
pub(crate) struct TokioStream<S>(S);

impl<S> TokioStream<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self(inner)
    }
}

impl<S: AsyncRead + Unpin> tokio::io::AsyncRead for TokioStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buf.remaining().min(MAX_READ_BYTES);
        let spare = buf.initialize_unfilled_to(len);
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, spare))?;
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> tokio::io::AsyncWrite for TokioStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
