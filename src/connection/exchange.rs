//! One request and its answer on a caller's connection, as a stream of its own.
//!
//! The HTTP library reads ahead as far as it can and waits for as long as it takes. This
//! stream gives it one request and no byte of the next, and ends reads and writes that
//! make no progress. See `docs/DESIGN.md`, "Callers' connections".

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

/// A body that does not come in this time is given up; endpoints give up sooner.
const BODY_TIMEOUT: Span = Span::from_secs(6);
/// What is left of a body is thrown away for so long after its answer.
const DRAIN_TIMEOUT: Span = Span::from_secs(1);
const MOST_DRAINED_BYTES: u64 = 8 << 20;
const LITTLE_BODY_BYTES: u64 = 64 << 10;
const WRITE_TIMEOUT: Span = Span::from_secs(5);

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

/// One request's part of a caller's connection; clones share it.
#[derive(Clone)]
pub(super) struct Exchange {
    stream: TcpStream,
    state: Arc<Ranked<State>>,
}

struct State {
    /// Bytes that were read from the connection and are not yet given out.
    ready: Vec<u8>,
    /// How many of them are the head.
    head: usize,
    body: Body,
    reading: Timer,
    writing: Option<Timer>,
    answered: bool,
}

/// How much of the body is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Left(u64),
    /// Its end is found by the HTTP library; the connection carries nothing after it.
    Chunked,
}

impl Exchange {
    /// `ready` begins with a head of `head` bytes.
    pub(super) fn new(stream: TcpStream, ready: Vec<u8>, head: usize, framing: Framing) -> Self {
        let body = match framing {
            Framing::Length(len) => Body::Left(len),
            Framing::Chunked => Body::Chunked,
        };
        let state = State {
            ready,
            head,
            body,
            reading: after(BODY_TIMEOUT),
            writing: None,
            answered: false,
        };
        Self {
            stream,
            state: Arc::new(Ranked::new(Rank::Exchange, state)),
        }
    }

    /// Whether the connection can carry another request after this one.
    pub(super) fn is_whole(&self) -> bool {
        self.state.lock().body == Body::Left(0)
    }

    /// Whether so much of the body is left that the connection is better closed.
    pub(super) fn is_far_from_whole(&self) -> bool {
        match self.state.lock().body {
            Body::Left(left) => left > LITTLE_BODY_BYTES,
            Body::Chunked => true,
        }
    }

    /// Whether any byte of an answer was written.
    pub(super) fn is_answered(&self) -> bool {
        self.state.lock().answered
    }

    /// What was read of the next request.
    pub(super) fn into_rest(self) -> Vec<u8> {
        std::mem::take(&mut self.state.lock().ready)
    }
}

impl State {
    /// How many bytes may be given out now.
    fn allowance(&self) -> u64 {
        match self.body {
            _ if self.head > 0 => self.head as u64,
            Body::Left(left) => left,
            Body::Chunked => u64::MAX,
        }
    }

    fn give(&mut self, count: usize) {
        if self.head > 0 {
            self.head -= count;
        } else if let Body::Left(left) = &mut self.body {
            *left -= count as u64;
        }
    }

    fn poll_reading(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        ready!(self.reading.as_mut().poll(cx));
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
        let allowance = usize::try_from(state.allowance()).unwrap_or(usize::MAX);
        let most = allowance.min(buf.len());
        if most == 0 {
            return Poll::Ready(Ok(0));
        }
        if !state.ready.is_empty() {
            let count = most.min(state.ready.len());
            buf[..count].copy_from_slice(&state.ready[..count]);
            state.ready.drain(..count);
            state.give(count);
            return Poll::Ready(Ok(count));
        }
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf[..most]) {
            Poll::Ready(Ok(count)) => {
                state.give(count);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => state.poll_reading(cx),
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
        if !state.answered {
            state.answered = true;
            state.reading = after(DRAIN_TIMEOUT);
            if let Body::Left(left) = &mut state.body
                && *left > MOST_DRAINED_BYTES
            {
                state.reading = after(Span::ZERO);
            }
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if written.is_ready() {
            state.writing = None;
            return written;
        }
        let timer = state.writing.get_or_insert_with(|| after(WRITE_TIMEOUT));
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

fn after(span: Span) -> Timer {
    Box::pin(async_std::task::sleep(span.as_duration()))
}
