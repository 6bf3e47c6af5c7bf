//! Serves one caller's connection from its first request to its last.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::future::timeout;
use async_std::net::{Shutdown, TcpStream};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use tide::http::headers::CONNECTION;
use tide::http::{Method, Request, Response};

use super::disconnect_watch::DisconnectWatch;
use super::exchange::Exchange;
use super::front::Cx;
use super::head::{self, Head};
use super::query_api::refusal_response;
use super::request_tracker::RequestTracker;
use crate::error::{ErrorKind, Refusal};
use crate::types::Span;

/// Connections beyond this limit are refused.
const MAX_CALLERS: usize = 1_024;
/// The time limit for receiving a request head, counted from its first byte.
const HEAD_TIMEOUT: Span = Span::from_secs(5);
/// An idle connection is closed after this time.
const IDLE_TIMEOUT_SECS: u32 = 60;
/// The idle timeout while more than three quarters of the connections are in use.
const CROWDED_IDLE_TIMEOUT_SECS: u32 = 1;
const IDLE_CHECK_INTERVAL: Span = Span::from_secs(1);
const REFUSAL_TIMEOUT: Span = Span::from_secs(1);
const READ_BYTES: usize = 4_096;

/// Limits the number of open caller connections.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionLimiter {
    open: Arc<AtomicUsize>,
}

/// The right to hold one caller connection; released on drop.
#[derive(Debug)]
pub(super) struct Permit(ConnectionLimiter);

/// The outcome of waiting for the next request.
enum NextRequest {
    /// The connection was closed or failed, or the idle timeout expired.
    None,
    /// A request, with the length of its head in bytes.
    Head(usize, head::Framing),
}

impl ConnectionLimiter {
    pub(super) fn try_acquire(&self) -> Option<Permit> {
        let permit = Permit(self.clone());
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        (before < MAX_CALLERS).then_some(permit)
    }

    pub(super) fn idle_timeout_secs(&self) -> u32 {
        let is_crowded = self.open.load(Ordering::Relaxed) > MAX_CALLERS / 4 * 3;
        if is_crowded {
            CROWDED_IDLE_TIMEOUT_SECS
        } else {
            IDLE_TIMEOUT_SECS
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a caller until either side closes the connection.
pub(super) async fn serve(app: tide::Server<Cx>, limiter: ConnectionLimiter, stream: TcpStream) {
    let Some(_permit) = limiter.try_acquire() else {
        let refusal = Refusal::new(ErrorKind::Overloaded, "too many callers are connected");
        refuse_and_close(stream, &refusal).await;
        return;
    };
    let tracker = RequestTracker::new(app.state());
    let mut buf = Vec::new();
    loop {
        match next_request(&stream, &limiter, &mut buf).await {
            Err(refusal) => return refuse_and_close(stream, &refusal).await,
            Ok(NextRequest::None) => return,
            Ok(NextRequest::Head(head_bytes, framing)) => {
                let exchange = Exchange::new(stream.clone(), buf, head_bytes, framing);
                tracker.begin();
                let keep_alive = handle_request(&app, &stream, &exchange).await;
                tracker.end();
                if !keep_alive {
                    return;
                }
                buf = exchange.into_leftover();
            }
        }
    }
}

/// Reads until `buf` begins with a complete request head.
async fn next_request(
    stream: &TcpStream,
    limiter: &ConnectionLimiter,
    buf: &mut Vec<u8>,
) -> Result<NextRequest, Refusal> {
    if buf.is_empty() && !wait_for_data(stream, limiter).await {
        return Ok(NextRequest::None);
    }
    let received = timeout(HEAD_TIMEOUT.as_duration(), read_head(stream, buf)).await;
    received.map_err(|_| {
        Refusal::new(
            ErrorKind::SlowCaller,
            "the request head was not received in time",
        )
    })?
}

async fn read_head(stream: &TcpStream, buf: &mut Vec<u8>) -> Result<NextRequest, Refusal> {
    let mut stream = stream.clone();
    loop {
        if let Head::Complete(len, framing) = head::find(buf)? {
            return Ok(NextRequest::Head(len, framing));
        }
        let mut chunk = [0; READ_BYTES];
        match stream.read(&mut chunk).await {
            Ok(count @ 1..) => buf.extend_from_slice(&chunk[..count]),
            Ok(0) | Err(_) => return Ok(NextRequest::None),
        }
    }
}

/// Waits for the first byte of a request. Returns false if the caller closes the
/// connection or the idle timeout expires.
async fn wait_for_data(stream: &TcpStream, limiter: &ConnectionLimiter) -> bool {
    let mut idle_secs = 0;
    while idle_secs < limiter.idle_timeout_secs() {
        let mut byte = [0; 1];
        match timeout(IDLE_CHECK_INTERVAL.as_duration(), stream.peek(&mut byte)).await {
            Ok(peeked) => return matches!(peeked, Ok(1..)),
            Err(_) => idle_secs += 1,
        }
    }
    false
}

/// Answers one request. Returns whether the connection can carry another one.
async fn handle_request(app: &tide::Server<Cx>, stream: &TcpStream, exchange: &Exchange) -> bool {
    let dispatched = AtomicBool::new(false);
    let mut server = Server::new(exchange.clone(), |mut req: Request| {
        dispatched.store(true, Ordering::Relaxed);
        req.ext_mut().insert(DisconnectWatch::new(stream.clone()));
        respond(app.clone(), exchange.clone(), req)
    });
    match server.accept_one().await {
        Ok(status) => status == ConnectionStatus::KeepAlive && exchange.is_body_read(),
        Err(error) => {
            tracing::debug!(%error, "a caller's connection failed during a request");
            if !dispatched.load(Ordering::Relaxed) && !exchange.has_response_started() {
                let detail = format!("could not read the request: {error}");
                let refusal = Refusal::new(ErrorKind::BadRequest, detail);
                refuse_and_close(stream.clone(), &refusal).await;
            }
            false
        }
    }
}

/// Runs the handler. Adds `Connection: close` to the response if the instance is shutting
/// down, or if much of the request body is still unread.
async fn respond(
    app: tide::Server<Cx>,
    exchange: Exchange,
    req: Request,
) -> tide::http::Result<Response> {
    let mut res: Response = app.respond(req).await?;
    let is_stopping = app.state().shutdown.lock().closes_connections();
    if is_stopping || exchange.has_large_unread_body() {
        res.insert_header(CONNECTION, "close");
    }
    Ok(res)
}

/// Sends a refusal and closes the connection after the caller had time to read it.
async fn refuse_and_close(stream: TcpStream, refusal: &Refusal) {
    let closing = timeout(
        REFUSAL_TIMEOUT.as_duration(),
        write_refusal(stream, refusal),
    );
    if !matches!(closing.await, Ok(Ok(()))) {
        tracing::debug!(%refusal, "closing a refused connection failed or timed out");
    }
}

async fn write_refusal(mut stream: TcpStream, refusal: &Refusal) -> tide::http::Result<()> {
    let mut res: Response = refusal_response(refusal)?.into();
    res.insert_header(CONNECTION, "close");
    let mut text = Vec::new();
    Encoder::new(res, Method::Post)
        .read_to_end(&mut text)
        .await?;
    stream.write_all(&text).await?;
    stream.shutdown(Shutdown::Write)?;
    let mut rest = [0; READ_BYTES];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
