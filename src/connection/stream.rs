//! A stream of `async-std` as the one that `h2` wants, reading in small steps.
//!
//! `h2` offers buffers with much spare room, and the traits of `async-std` need that
//! room cleared before each read. Offering a part of it keeps the clearing cheap; see
//! `docs/DESIGN.md`, "Links".

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};
use tokio::io::ReadBuf;

const READ_BYTES: usize = 4_096;

/// The stream, whose reads and writes are those of the inner one.
#[derive(Debug)]
pub(crate) struct Stream<S>(S);

impl<S> Stream<S> {
    pub(crate) fn new(inner: S) -> Self {
        Self(inner)
    }
}

impl<S: AsyncRead + Unpin> tokio::io::AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buf.remaining().min(READ_BYTES);
        let part = buf.initialize_unfilled_to(most);
        let read = ready!(Pin::new(&mut self.0).poll_read(cx, part))?;
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> tokio::io::AsyncWrite for Stream<S> {
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
