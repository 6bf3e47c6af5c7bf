//! One request and its response on a caller's connection, as a separate stream.
//!
//! The HTTP library reads ahead as far as it can and has no timeouts. This stream yields
//! the bytes of one request and none of the next, and fails reads and writes that make no
//! progress in time. See `docs/DESIGN.md`, "Callers' connections".

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

use super::head::Framing;
use crate::process::{Rank, Ranked};
use crate::types::Span;

/// The time limit for receiving a request body. Endpoints have shorter limits.
const BODY_TIMEOUT: Span = Span::from_secs(6);
/// How long the rest of a body is read and discarded once the response has started.
const DRAIN_TIMEOUT: Span = Span::from_secs(1);
/// If more of the body is left when the response starts, the rest is not waited for.
const MAX_DRAINED_BYTES: u64 = 8 << 20;
/// If more of the body is left, the connection is closed after the response.
const LARGE_UNREAD_BODY_BYTES: u64 = 64 << 10;
const WRITE_TIMEOUT: Span = Span::from_secs(5);

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The portion of a caller's connection that carries one request; clones share its state.
#[derive(Clone)]
pub(super) struct Exchange {
    stream: TcpStream,
    state: Arc<Ranked<State>>,
}

struct State {
    /// Bytes that were read from the connection but not yet returned to the reader.
    buffered: Vec<u8>,
    /// How many of the buffered bytes belong to the head.
    head_bytes: usize,
    body: Body,
    read_timer: Timer,
    write_timer: Option<Timer>,
    response_started: bool,
}

/// How much of the body is left to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    /// The number of bytes left.
    Remaining(u64),
    /// The HTTP library finds the end. The connection carries no further request.
    Chunked,
}

impl Exchange {
    /// Creates the stream. `buffered` begins with a head of `head_bytes` bytes.
    pub(super) fn new(
        stream: TcpStream,
        buffered: Vec<u8>,
        head_bytes: usize,
        framing: Framing,
    ) -> Self {
        let body = match framing {
            Framing::Length(len) => Body::Remaining(len),
            Framing::Chunked => Body::Chunked,
        };
        let state = State {
            buffered,
            head_bytes,
            body,
            read_timer: start_timer(BODY_TIMEOUT),
            write_timer: None,
            response_started: false,
        };
        Self {
            stream,
            state: Arc::new(Ranked::new(Rank::Exchange, state)),
        }
    }

    /// Whether the whole body was read, so that the connection can carry another request.
    pub(super) fn is_body_read(&self) -> bool {
        self.state.lock().body == Body::Remaining(0)
    }

    /// Whether so much of the body is left that the connection should be closed.
    pub(super) fn has_large_unread_body(&self) -> bool {
        match self.state.lock().body {
            Body::Remaining(remaining) => remaining > LARGE_UNREAD_BODY_BYTES,
            Body::Chunked => true,
        }
    }

    /// Whether writing of the response has started.
    pub(super) fn has_response_started(&self) -> bool {
        self.state.lock().response_started
    }

    /// Returns the bytes that were read beyond this request.
    pub(super) fn into_leftover(self) -> Vec<u8> {
        std::mem::take(&mut self.state.lock().buffered)
    }
}

impl State {
    /// The maximum number of bytes that the next read may return.
    fn readable_bytes(&self) -> u64 {
        match self.body {
            _ if self.head_bytes > 0 => self.head_bytes as u64,
            Body::Remaining(remaining) => remaining,
            Body::Chunked => u64::MAX,
        }
    }

    fn consume(&mut self, count: usize) {
        if self.head_bytes > 0 {
            self.head_bytes -= count;
        } else if let Body::Remaining(remaining) = &mut self.body {
            *remaining -= count as u64;
        }
    }

    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        ready!(self.read_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Exchange {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let state = Arc::clone(&self.state);
        let mut state = state.lock();
        let readable_bytes = usize::try_from(state.readable_bytes()).unwrap_or(usize::MAX);
        let max_len = readable_bytes.min(buf.len());
        if max_len == 0 {
            return Poll::Ready(Ok(0));
        }
        if !state.buffered.is_empty() {
            let count = max_len.min(state.buffered.len());
            buf[..count].copy_from_slice(&state.buffered[..count]);
            state.buffered.drain(..count);
            state.consume(count);
            return Poll::Ready(Ok(count));
        }
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf[..max_len]) {
            Poll::Ready(Ok(count)) => {
                state.consume(count);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => state.poll_read_timeout(cx),
        }
    }
}

impl AsyncWrite for Exchange {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let state = Arc::clone(&self.state);
        let mut state = state.lock();
        if !state.response_started {
            state.response_started = true;
            state.read_timer = start_timer(DRAIN_TIMEOUT);
            if let Body::Remaining(remaining) = &mut state.body
                && *remaining > MAX_DRAINED_BYTES
            {
                state.read_timer = start_timer(Span::ZERO);
            }
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if written.is_ready() {
            state.write_timer = None;
            return written;
        }
        let timer = state
            .write_timer
            .get_or_insert_with(|| start_timer(WRITE_TIMEOUT));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

fn start_timer(span: Span) -> Timer {
    Box::pin(async_std::task::sleep(span.as_duration()))
}
