//! A caller's connection, from its first request to its last.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::future::timeout;
use async_std::net::{Shutdown, TcpStream};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use tide::http::headers::CONNECTION;
use tide::http::{Method, Request, Response};

use super::active::Active;
use super::exchange::Exchange;
use super::front::Cx;
use super::hangup::Hangup;
use super::head::{self, Head};
use super::query_api::refuse;
use crate::error::{ErrorKind, Refusal};
use crate::types::Span;

/// More connections are refused.
const MOST_CALLERS: usize = 1_024;
/// A head that does not come in this time, from its first byte on, is given up.
const HEAD_TIMEOUT: Span = Span::from_secs(5);
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT_SECS: u32 = 60;
/// The same, when most connections are in use.
const CROWDED_IDLE_TIMEOUT_SECS: u32 = 1;
const IDLE_LOOK: Span = Span::from_secs(1);
const REFUSE_TIMEOUT: Span = Span::from_secs(1);
const READ_BYTES: usize = 4_096;

/// The callers' connections that are open.
#[derive(Clone, Debug, Default)]
pub(super) struct Callers {
    open: Arc<AtomicUsize>,
}

/// A caller's place, given back when dropped.
#[derive(Debug)]
pub(super) struct Place(Callers);

/// What came at the beginning of a request.
enum Begun {
    /// Nothing: the caller closed, or was idle for too long.
    Nothing,
    /// A request whose head is so long.
    Request(usize, head::Framing),
}

impl Callers {
    pub(super) fn enter(&self) -> Option<Place> {
        let place = Place(self.clone());
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        (before < MOST_CALLERS).then_some(place)
    }

    pub(super) fn idle_timeout_secs(&self) -> u32 {
        let is_crowded = self.open.load(Ordering::Relaxed) > MOST_CALLERS / 4 * 3;
        if is_crowded {
            CROWDED_IDLE_TIMEOUT_SECS
        } else {
            IDLE_TIMEOUT_SECS
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a caller until either side closes.
pub(super) async fn serve(app: tide::Server<Cx>, callers: Callers, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let Some(_place) = callers.enter() else {
        let refusal = Refusal::new(ErrorKind::Overloaded, "too many callers are connected");
        close_with(stream, &refusal).await;
        return;
    };
    let active = Active::new(app.state());
    let mut buf = Vec::new();
    loop {
        match begin(&stream, &callers, &mut buf).await {
            Err(refusal) => return close_with(stream, &refusal).await,
            Ok(Begun::Nothing) => return,
            Ok(Begun::Request(head, framing)) => {
                let exchange = Exchange::new(stream.clone(), buf, head, framing);
                active.begin();
                let goes_on = answer(&app, &stream, &exchange).await;
                active.end();
                if !goes_on {
                    return;
                }
                buf = exchange.into_rest();
            }
        }
    }
}

/// Reads until `buf` begins with a whole head.
async fn begin(stream: &TcpStream, callers: &Callers, buf: &mut Vec<u8>) -> Result<Begun, Refusal> {
    if buf.is_empty() && !is_due(stream, callers).await {
        return Ok(Begun::Nothing);
    }
    let begun = timeout(HEAD_TIMEOUT.as_duration(), read_head(stream, buf)).await;
    begun.map_err(|_| Refusal::new(ErrorKind::SlowCaller, "the head did not come in time"))?
}

async fn read_head(stream: &TcpStream, buf: &mut Vec<u8>) -> Result<Begun, Refusal> {
    let mut stream = stream.clone();
    loop {
        if let Head::Whole(len, framing) = head::find(buf)? {
            return Ok(Begun::Request(len, framing));
        }
        let mut chunk = [0; READ_BYTES];
        match stream.read(&mut chunk).await {
            Ok(count @ 1..) => buf.extend_from_slice(&chunk[..count]),
            Ok(0) | Err(_) => return Ok(Begun::Nothing),
        }
    }
}

/// Waits for the first byte of a request; false when none comes.
async fn is_due(stream: &TcpStream, callers: &Callers) -> bool {
    let mut idle_secs = 0;
    while idle_secs < callers.idle_timeout_secs() {
        let mut byte = [0; 1];
        match timeout(IDLE_LOOK.as_duration(), stream.peek(&mut byte)).await {
            Ok(peeked) => return matches!(peeked, Ok(1..)),
            Err(_) => idle_secs += 1,
        }
    }
    false
}

/// Answers one request; false when the connection carries no other after it.
async fn answer(app: &tide::Server<Cx>, stream: &TcpStream, exchange: &Exchange) -> bool {
    let asked = AtomicBool::new(false);
    let mut server = Server::new(exchange.clone(), |mut req: Request| {
        asked.store(true, Ordering::Relaxed);
        req.ext_mut().insert(Hangup::new(stream.clone()));
        respond(app.clone(), exchange.clone(), req)
    });
    match server.accept_one().await {
        Ok(status) => status == ConnectionStatus::KeepAlive && exchange.is_whole(),
        Err(error) => {
            tracing::debug!(%error, "a caller's connection ended early");
            if !asked.load(Ordering::Relaxed) && !exchange.is_answered() {
                let detail = format!("could not read the request: {error}");
                let refusal = Refusal::new(ErrorKind::BadRequest, detail);
                close_with(stream.clone(), &refusal).await;
            }
            false
        }
    }
}

/// A caller with much of its body left to send is told that the connection closes, and
/// so is every caller of an instance that stops.
async fn respond(
    app: tide::Server<Cx>,
    exchange: Exchange,
    req: Request,
) -> tide::http::Result<Response> {
    let mut res: Response = app.respond(req).await?;
    let is_stopping = app.state().shutdown.lock().closes_connections();
    if is_stopping || exchange.is_far_from_whole() {
        res.insert_header(CONNECTION, "close");
    }
    Ok(res)
}

/// Answers with a refusal and closes, once the caller had time to read it.
async fn close_with(stream: TcpStream, refusal: &Refusal) {
    let closing = timeout(REFUSE_TIMEOUT.as_duration(), write_refusal(stream, refusal));
    if !matches!(closing.await, Ok(Ok(()))) {
        tracing::debug!(%refusal, "a caller did not wait for its refusal");
    }
}

async fn write_refusal(mut stream: TcpStream, refusal: &Refusal) -> tide::http::Result<()> {
    let mut res: Response = refuse(refusal)?.into();
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
