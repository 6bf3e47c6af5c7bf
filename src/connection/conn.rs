//! One connection to an upstream over HTTP/2.
//!
//! HTTP/2 is spoken because a cancelled leg then costs a frame and not a connection,
//! which takes an upstream milliseconds to make; see `docs/DESIGN.md`, "Links".

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::net::TcpStream;
use h2::client::{self, SendRequest};
use tokio_util::bytes::Bytes;

use super::backoff::Life;
use super::heard::Heard;
use super::heartbeat::Health;
use super::leg_wire::{self, Broken};
use super::stream::Stream;
use super::watch::{Patience, Watched, watch};
use crate::process::Clock;
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::Timestamp;

const MOST_REPLY_BYTES: usize = 4 << 20;

/// A connection and what is known of it.
#[derive(Debug)]
pub(super) struct Conn {
    sender: SendRequest<Bytes>,
    watched: Arc<Watched>,
    opened: Timestamp,
    replied: AtomicBool,
}

/// Why a call on one connection has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The connection closed in good order before the upstream looked at the leg, so
    /// it may be sent again on another.
    Unprocessed,
    /// The leg failed.
    Failed(LegFailure),
}

impl From<LegFailure> for CallError {
    fn from(failure: LegFailure) -> Self {
        Self::Failed(failure)
    }
}

impl Conn {
    /// Connects and waits until the upstream answers a first probe, so that a leg is
    /// never sent into a connection that the upstream is about to refuse.
    pub(super) async fn open(addr: SocketAddr, clock: Clock) -> Option<Self> {
        let begun = clock.now();
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let opened = clock.now();
        let watched = Arc::new(Watched::new(clock, opened.since(begun)));
        let heard = Heard::new(stream, Arc::clone(&watched));
        let (sender, connection) = client::handshake(Stream::new(heard)).await.ok()?;
        async_std::task::spawn(watch(connection, Arc::clone(&watched), addr));
        let conn = Self {
            sender,
            watched,
            opened,
            replied: AtomicBool::new(false),
        };
        conn.watched
            .prove(Patience::UntilClosed)
            .await
            .then_some(conn)
    }

    pub(super) fn life(&self, now: Timestamp) -> Life {
        if self.replied.load(Ordering::Relaxed) {
            Life::Useful(now.since(self.opened))
        } else {
            Life::Useless
        }
    }

    /// Whether it is still there, if only to wait for a verdict.
    pub(super) fn is_open(&self) -> bool {
        !self.watched.has_ended()
    }

    /// Whether it may be sent legs.
    pub(super) fn takes_legs(&self) -> bool {
        self.is_open() && self.health() == Health::Good && !self.watched.is_leaving()
    }

    /// Legs under way on it.
    pub(super) fn under_way(&self) -> u32 {
        self.watched.under_way()
    }

    /// Whether it was idle for so long that it has to be proved before it is used.
    pub(super) fn needs_proof(&self) -> bool {
        self.watched.needs_proof()
    }

    /// Waits until the other end answers a probe; false when it does not.
    pub(super) async fn prove(&self) -> bool {
        self.watched.prove(Patience::UntilSuspect).await
    }

    /// Sends a leg and waits for its reply. Dropping the future resets the stream.
    pub(super) async fn call(&self, leg: &LegRequest) -> Result<LegReply, CallError> {
        let _under_way = self.watched.begin();
        let called = self.exchange(leg).await;
        called.map_err(|broken| self.blame(broken))
    }

    async fn exchange(&self, leg: &LegRequest) -> Result<LegReply, Broken> {
        let ready = self.sender.clone().ready().await;
        let mut sender = ready.map_err(|_| Broken::Unprocessed)?;
        let req = leg_wire::request(leg).map_err(|_| LegFailure::Unreachable)?;
        let (res, mut body) = sender
            .send_request(req, false)
            .map_err(|_| Broken::Unprocessed)?;
        // A stream that was closed meanwhile says why in its response.
        body.send_data(Bytes::copy_from_slice(&leg.body), true).ok();
        let res = res.await.map_err(|error| Broken::of_head(&error))?;
        self.replied.store(true, Ordering::Relaxed);
        let (head, body) = res.into_parts();
        if let Some(failure) = leg_wire::failure(head.status, &head.headers) {
            return Err(failure.into());
        }
        let body = leg_wire::read_body(body, MOST_REPLY_BYTES).await?;
        Ok(leg_wire::reply(&head.headers, body)?)
    }

    fn blame(&self, broken: Broken) -> CallError {
        match broken {
            Broken::Failed(failure) => failure.into(),
            Broken::Unprocessed => {
                self.watched.leave();
                CallError::Unprocessed
            }
            Broken::Cut if self.health() == Health::Silent => LegFailure::Silent.into(),
            Broken::Cut => LegFailure::Lost.into(),
        }
    }

    pub(super) fn health(&self) -> Health {
        self.watched.health()
    }
}
