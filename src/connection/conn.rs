//! One HTTP/2 connection to an upstream.
//!
//! With HTTP/2, cancelling a leg costs one frame instead of a connection, which takes an
//! upstream milliseconds to set up; see `docs/DESIGN.md`, "Links".

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::net::TcpStream;
use h2::client::{self, SendRequest};
use tokio_util::bytes::Bytes;

use super::MAX_HEADER_LIST_BYTES;
use super::backoff::ConnectionOutcome;
use super::heartbeat::Health;
use super::leg_wire::{self, LegStreamError};
use super::stream::TokioStream;
use super::watch::{ConnectionState, ProbeTimeout, watch};
use super::watched_stream::WatchedStream;
use crate::process::Clock;
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::Timestamp;

const MAX_REPLY_BYTES: usize = 4 << 20;

/// An open connection and its state.
#[derive(Debug)]
pub(super) struct Conn {
    sender: SendRequest<Bytes>,
    state: Arc<ConnectionState>,
    opened_at: Timestamp,
    has_replied: AtomicBool,
}

/// Why a call on a connection returned no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The connection closed gracefully before the upstream processed the leg, so the leg
    /// may be sent again on another connection.
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
    /// Connects and waits until the upstream answers a first ping, so that no leg is sent
    /// on a connection that the upstream is about to refuse.
    pub(super) async fn open(addr: SocketAddr, clock: Clock) -> Option<Self> {
        let connect_started = clock.now();
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let opened_at = clock.now();
        let state = Arc::new(ConnectionState::new(
            clock,
            opened_at.since(connect_started),
        ));
        let watched_stream = WatchedStream::new(stream, Arc::clone(&state));
        let (sender, connection) = client::Builder::new()
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .handshake(TokioStream::new(watched_stream))
            .await
            .ok()?;
        async_std::task::spawn(watch(connection, Arc::clone(&state), addr));
        let conn = Self {
            sender,
            state,
            opened_at,
            has_replied: AtomicBool::new(false),
        };
        conn.state
            .probe(ProbeTimeout::UntilClosed)
            .await
            .then_some(conn)
    }

    /// What the connection has achieved so far, for the backoff.
    pub(super) fn outcome(&self, now: Timestamp) -> ConnectionOutcome {
        if self.has_replied.load(Ordering::Relaxed) {
            ConnectionOutcome::Replied(now.since(self.opened_at))
        } else {
            ConnectionOutcome::NoReply
        }
    }

    /// Whether the connection is still open, even if it accepts no new legs.
    pub(super) fn is_open(&self) -> bool {
        !self.state.has_ended()
    }

    /// Whether new legs may be sent on it.
    pub(super) fn accepts_legs(&self) -> bool {
        self.is_open() && self.health() == Health::Good && !self.state.is_closing()
    }

    /// The number of legs in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.state.in_flight()
    }

    /// Whether it has been idle so long that it must be probed before use.
    pub(super) fn needs_probe(&self) -> bool {
        self.state.needs_probe()
    }

    /// Sends a ping and waits for its answer. Returns false if none arrives.
    pub(super) async fn probe(&self) -> bool {
        self.state.probe(ProbeTimeout::UntilSuspect).await
    }

    /// Sends a leg and waits for its reply. Dropping the future resets the HTTP/2 stream.
    pub(super) async fn call(&self, leg: &LegRequest) -> Result<LegReply, CallError> {
        let _in_flight = self.state.begin_leg();
        let result = self.exchange(leg).await;
        result.map_err(|error| self.classify(error))
    }

    async fn exchange(&self, leg: &LegRequest) -> Result<LegReply, LegStreamError> {
        let ready = self.sender.clone().ready().await;
        let mut sender = ready.map_err(|_| LegStreamError::Unprocessed)?;
        let req = leg_wire::request(leg).map_err(|_| LegFailure::Unreachable)?;
        let (res, mut body) = sender
            .send_request(req, false)
            .map_err(|_| LegStreamError::Unprocessed)?;
        // If the stream was closed in the meantime, the response carries the error.
        body.send_data(Bytes::copy_from_slice(&leg.body), true).ok();
        let res = res
            .await
            .map_err(|error| LegStreamError::from_head_error(&error))?;
        self.has_replied.store(true, Ordering::Relaxed);
        let (head, body) = res.into_parts();
        if let Some(failure) = leg_wire::failure(head.status, &head.headers) {
            return Err(failure.into());
        }
        let body = leg_wire::read_body(body, MAX_REPLY_BYTES).await?;
        Ok(leg_wire::reply(&head.headers, body)?)
    }

    fn classify(&self, error: LegStreamError) -> CallError {
        match error {
            LegStreamError::Failed(failure) => failure.into(),
            LegStreamError::Unprocessed => {
                self.state.mark_closing();
                CallError::Unprocessed
            }
            LegStreamError::ConnectionLost if self.health() == Health::Silent => {
                LegFailure::Silent.into()
            }
            LegStreamError::ConnectionLost => LegFailure::Lost.into(),
        }
    }

    pub(super) fn health(&self) -> Health {
        self.state.health()
    }
}
