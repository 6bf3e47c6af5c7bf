//! Persistent connections to the store, and the rate limits of calls.
//!
//! A read uses an idle connection and, if that turns out to be dead, is sent again over a new one.
//! A write uses an idle connection only shortly after its last use, so that a dead connection
//! rarely leaves the outcome of the write unknown.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;

use super::tcp;
use crate::connection::{Http1Conn, HttpError, ResponseHead};
use crate::process::{CallBucket, CallRates, PlatformError, Rank, Ranked};
use crate::request::Body;
use crate::types::Era;

/// The time until the head of a response: the store responds in milliseconds, or in a few hundred
/// when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// A reused connection without a reply for this long is taken for dead; on a live one, the store
/// responds sooner.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A body that has begun to arrive pauses for a few round trips at most, unless the connection is
/// dead.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Bounds how long a store that sends a body in tiny pieces can hold up a reader.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);
/// Maximum idle time of a connection used for a read. Firewalls and servers commonly drop a
/// connection after a minute of idling.
const MAX_IDLE_FOR_READS: Duration = Duration::from_secs(30);
/// Maximum idle time of a connection used for a write. An instance that writes does so more than
/// once a second while it is the leader.
const MAX_IDLE_FOR_WRITES: Duration = Duration::from_secs(1);
/// One connection for each prefix that an instance watches, and as many for its other calls.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The store sends at most about a megabyte, in JSON that may escape some of it.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The header field that rises by one each time the store comes back from a copy.
const ERA_FIELD: &str = "Store-Era";

/// A complete reply of the store.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) era: Era,
    pub(super) body: Body,
}

/// Rate-limited calls to one store over persistent connections.
#[derive(Debug)]
pub(super) struct StoreConnections {
    addr: SocketAddr,
    idle: Ranked<Vec<IdleConnection>>,
    reads: CallBucket,
    writes: CallBucket,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Http1Conn,
    last_used: Instant,
}

impl StoreConnections {
    pub(super) fn new(addr: SocketAddr, rates: CallRates) -> Self {
        Self {
            addr,
            idle: Ranked::new(Rank::PlatformConnections, Vec::new()),
            reads: CallBucket::new(rates.reads),
            writes: CallBucket::new(rates.writes),
        }
    }

    /// Reads `path`; `wait` is added to the timeout, for a watch.
    ///
    /// # Errors
    /// Returns any error except those specific to writes.
    pub(super) async fn read(&self, path: &str, wait: Duration) -> Result<Reply, PlatformError> {
        self.reads.take(Instant::now())?;
        let request = self.render("GET", path, None);
        if let Some(conn) = self.take(MAX_IDLE_FOR_READS) {
            let exchanging = self.exchange(conn, &request, wait + REUSED_CONNECTION_TIMEOUT);
            match exchanging.await {
                // The wait of a watch is over by then, and its caller decides how to go on.
                Err(ExchangeError::TimedOut) if !wait.is_zero() => {
                    return Err(ExchangeError::TimedOut.into());
                }
                Err(error) => {
                    tracing::debug!(%error, "an idle connection to the store is dead");
                    self.idle.lock().clear();
                }
                Ok(reply) => return check_status(reply),
            }
        }
        let conn = self.open().await?;
        let reply = self.exchange(conn, &request, wait + CALL_TIMEOUT).await?;
        check_status(reply)
    }

    /// Sends a write once.
    ///
    /// # Errors
    /// Returns any error; see [`PlatformError::had_no_effect`].
    pub(super) async fn write(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<Reply, PlatformError> {
        self.writes.take(Instant::now())?;
        let conn = match self.take(MAX_IDLE_FOR_WRITES) {
            Some(conn) => conn,
            None => self.open().await?,
        };
        let request = self.render(method, path, body);
        let reply = self.exchange(conn, &request, CALL_TIMEOUT).await?;
        check_status(reply)
    }

    /// Takes the most recently used connection that was used less than `max_idle` ago and on which
    /// nothing arrived since: responses of the store do not say which call they belong to.
    fn take(&self, max_idle: Duration) -> Option<Http1Conn> {
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            connection.last_used.elapsed() < max_idle && connection.conn.is_quiet()
        });
        idle.pop().map(|idle_connection| idle_connection.conn)
    }

    fn put_back(&self, conn: Http1Conn) {
        let mut idle = self.idle.lock();
        if idle.len() == MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        let last_used = Instant::now();
        idle.push(IdleConnection { conn, last_used });
    }

    async fn open(&self) -> Result<Http1Conn, PlatformError> {
        let stream = timeout(CONNECT_TIMEOUT, tcp::connect(self.addr))
            .await
            .map_err(|_| PlatformError::Unreachable("connecting timed out".to_owned()))?
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        Ok(Http1Conn::new(stream))
    }

    async fn exchange(
        &self,
        mut conn: Http1Conn,
        request: &str,
        time_limit: Duration,
    ) -> Result<Reply, ExchangeError> {
        let head = timeout(time_limit, conn.send(request.as_bytes(), b""))
            .await
            .map_err(|_| ExchangeError::TimedOut)?
            .map_err(|error| ExchangeError::Broken(error.to_string()))?;
        let body = timeout(MAX_BODY_TIME, read_body(&mut conn, &head))
            .await
            .map_err(|_| ExchangeError::TimedOut)?
            .map_err(|error| ExchangeError::Broken(error.to_string()))?;
        if !head.closes() && !conn.has_buffered_bytes() {
            self.put_back(conn);
        }
        Ok(Reply {
            status: head.status,
            era: era(&head),
            body,
        })
    }

    fn render(&self, method: &str, path: &str, body: Option<&str>) -> String {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        match body {
            None => format!("{head}\r\n"),
            Some(body) => format!(
                "{head}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ),
        }
    }
}

/// Returns the era that a reply states. A store that states none has one era for ever.
fn era(head: &ResponseHead) -> Era {
    let stated = head.fields.get(ERA_FIELD);
    stated
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// Reads a body as long as it makes progress. A value of the maximum size takes longer to arrive
/// over a slow link than the store takes to respond.
async fn read_body(conn: &mut Http1Conn, head: &ResponseHead) -> Result<Body, HttpError> {
    conn.set_read_timeout(Some(BODY_READ_TIMEOUT));
    let body = conn.body(head.framing()?, MAX_BODY_BYTES).await;
    conn.set_read_timeout(None);
    body
}

/// Why an exchange failed; in either case the call may have taken effect.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum ExchangeError {
    #[error("no complete reply within the timeout")]
    TimedOut,
    #[error("{0}")]
    Broken(String),
}

impl From<ExchangeError> for PlatformError {
    fn from(error: ExchangeError) -> Self {
        Self::Unsettled(error.to_string())
    }
}

/// Maps the status of a reply to an error; 404 is left to the caller.
fn check_status(reply: Reply) -> Result<Reply, PlatformError> {
    match reply.status {
        200..300 | 404 => Ok(reply),
        409 => Err(PlatformError::Conflict),
        410 => Err(PlatformError::Compacted),
        413 => Err(PlatformError::TooLarge),
        429 | 503 => Err(PlatformError::Busy),
        status @ 400..500 => Err(PlatformError::Rejected(format!("status {status}"))),
        status => Err(PlatformError::Unsettled(format!("status {status}"))),
    }
}
