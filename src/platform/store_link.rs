//! Connections to the store that are kept between calls, and the rates that calls keep to.
//!
//! A read goes over a kept connection and, when that turns out to be dead, once more over
//! a new one. A write goes over a kept connection only shortly after its last use, so that
//! a dead one seldom leaves the write unsettled.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;

use super::tcp;
use crate::connection::Wire;
use crate::process::{CallBucket, CallRates, PlatformError, Rank, Ranked};

/// The store answers in milliseconds; one that is slow takes a few hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// A kept connection that says nothing for this long is taken as dead; the store answers
/// sooner on one that is not.
const STALE_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Firewalls and servers commonly drop a connection that was idle for a minute.
const IDLE_FOR_READS: Duration = Duration::from_secs(30);
/// An instance that writes at all does so more than once a second while it leads.
const IDLE_FOR_WRITES: Duration = Duration::from_secs(1);
/// One for each prefix that an instance watches, and as many for its other calls.
const MOST_KEPT: usize = 8;
/// The store sends about a megabyte at most.
const MOST_BODY: usize = 16 << 20;

/// A whole reply.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

/// Connections to one store.
#[derive(Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    kept: Ranked<Vec<Kept>>,
    reads: CallBucket,
    writes: CallBucket,
}

#[derive(Debug)]
struct Kept {
    wire: Wire,
    used: Instant,
}

impl Link {
    pub(super) fn new(addr: SocketAddr, rates: CallRates) -> Self {
        Self {
            addr,
            kept: Ranked::new(Rank::PlatformConnections, Vec::new()),
            reads: CallBucket::new(rates.reads),
            writes: CallBucket::new(rates.writes),
        }
    }

    /// Reads `path`, whose reply may take `wait` longer than others.
    ///
    /// # Errors
    /// Any error but those of a write.
    pub(super) async fn read(&self, path: &str, wait: Duration) -> Result<Reply, PlatformError> {
        self.reads.take(Instant::now())?;
        let text = self.render("GET", path, None);
        if let Some(wire) = self.take(IDLE_FOR_READS) {
            let exchanging = self.exchange(wire, &text, wait + STALE_TIMEOUT);
            match exchanging.await {
                // A watch has waited its time out by then, and its caller decides what next.
                Err(Failure::Silent) if !wait.is_zero() => return Err(Failure::Silent.into()),
                Err(error) => {
                    tracing::debug!(%error, "a kept connection to the store is dead");
                    self.kept.lock().clear();
                }
                Ok(reply) => return checked(reply),
            }
        }
        let wire = self.open().await?;
        let reply = self.exchange(wire, &text, wait + CALL_TIMEOUT).await?;
        checked(reply)
    }

    /// Sends a write once.
    ///
    /// # Errors
    /// Any error; see [`PlatformError::had_no_effect`].
    pub(super) async fn write(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<Reply, PlatformError> {
        self.writes.take(Instant::now())?;
        let wire = match self.take(IDLE_FOR_WRITES) {
            Some(wire) => wire,
            None => self.open().await?,
        };
        let text = self.render(method, path, body);
        let reply = self.exchange(wire, &text, CALL_TIMEOUT).await?;
        checked(reply)
    }

    /// A connection that was used less than `idle` ago, the one used last first.
    fn take(&self, idle: Duration) -> Option<Wire> {
        let mut kept = self.kept.lock();
        kept.retain(|kept| kept.used.elapsed() < idle);
        kept.pop().map(|kept| kept.wire)
    }

    fn keep(&self, wire: Wire) {
        let mut kept = self.kept.lock();
        if kept.len() == MOST_KEPT {
            kept.remove(0);
        }
        let used = Instant::now();
        kept.push(Kept { wire, used });
    }

    async fn open(&self) -> Result<Wire, PlatformError> {
        let stream = timeout(CONNECT_TIMEOUT, tcp::connect(self.addr))
            .await
            .map_err(|_| PlatformError::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        Ok(Wire::new(stream))
    }

    async fn exchange(
        &self,
        mut wire: Wire,
        text: &str,
        within: Duration,
    ) -> Result<Reply, Failure> {
        let exchanged = timeout(within, wire.exchange(text.as_bytes(), MOST_BODY)).await;
        let (head, body) = exchanged
            .map_err(|_| Failure::Silent)?
            .map_err(|error| Failure::Broken(error.to_string()))?;
        if !head.closes() && !wire.has_rest() {
            self.keep(wire);
        }
        Ok(Reply {
            status: head.status,
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

/// How an exchange failed; either way the call may have taken effect.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum Failure {
    #[error("no whole reply in time")]
    Silent,
    #[error("{0}")]
    Broken(String),
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        Self::Unsettled(failure.to_string())
    }
}

fn checked(reply: Reply) -> Result<Reply, PlatformError> {
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
