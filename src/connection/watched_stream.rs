//! A TCP stream that reports received bytes to the connection's heartbeat.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

use super::watch::ConnectionState;

/// A TCP stream that records every successful read in [`ConnectionState`].
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, state: Arc<ConnectionState>) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.state.record_received();
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
