//! The pool of connections to one upstream, up to this instance's share of them.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use rand::Rng;

use super::backoff::Backoff;
use super::conn::Conn;
use super::links::ConnectLimiter;
use crate::process::{Clock, Rank, Ranked};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, Ratio, Span, Timestamp};

const CONNECT_TIMEOUT: Span = Span::from_millis(500);
/// Legs in flight on the least loaded connection at which another connection is opened.
const LEGS_PER_CONNECTION: u32 = 32;
/// Enough for a connection that became silent and for its replacement.
const MIN_CONNECTIONS: usize = 2;

type Connecting = Shared<BoxFuture<'static, Option<Arc<Conn>>>>;

/// The pool of connections to one upstream.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) addr: SocketAddr,
    clock: Clock,
    connect_limiter: ConnectLimiter,
    state: Ranked<State>,
}

#[derive(Debug, Default)]
struct State {
    conns: Vec<Arc<Conn>>,
    connecting: Option<Connecting>,
    backoff: Backoff,
}

enum Pick {
    Ready(Arc<Conn>),
    Connect(Connecting),
    Unavailable(LegFailure),
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, clock: Clock, connect_limiter: ConnectLimiter) -> Self {
        Self {
            addr,
            clock,
            connect_limiter,
            state: Ranked::new(Rank::Link, State::default()),
        }
    }

    /// Whether the pool has an open connection or a backoff that has not ended, either of which
    /// would be lost if the pool were dropped.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        let state = self.state.lock();
        let is_open = state.conns.iter().any(|conn| conn.is_open());
        is_open || !state.backoff.allows(now)
    }

    /// Returns a connection that accepts a leg now. The pool opens at most `max_connections`, but
    /// never limits itself to fewer than [`MIN_CONNECTIONS`].
    pub(super) async fn conn(
        self: &Arc<Self>,
        max_connections: ConnectionCount,
    ) -> Result<Arc<Conn>, LegFailure> {
        let conn = match self.pick(max_connections) {
            Pick::Ready(conn) => conn,
            Pick::Connect(connecting) => {
                return connecting.await.ok_or(LegFailure::Unreachable);
            }
            Pick::Unavailable(failure) => return Err(failure),
        };
        if !conn.needs_probe() || conn.probe().await {
            return Ok(conn);
        }
        match self.pick(max_connections) {
            Pick::Ready(conn) => Ok(conn),
            Pick::Connect(connecting) => connecting.await.ok_or(LegFailure::Unreachable),
            Pick::Unavailable(failure) => Err(failure),
        }
    }

    fn pick(self: &Arc<Self>, max_connections: ConnectionCount) -> Pick {
        let max_connections = usize::try_from(max_connections.0).unwrap_or(usize::MAX);
        let max_connections = max_connections.max(MIN_CONNECTIONS);
        let mut state = self.state.lock();
        state.remove_ended(self.clock);
        let open = state.conns.len();
        let least_loaded = state.least_loaded();
        let is_full = least_loaded
            .as_ref()
            .is_none_or(|conn| conn.in_flight() >= LEGS_PER_CONNECTION);
        // The last connection of the share is reserved to replace one that becomes silent.
        let needs_another = if least_loaded.is_some() {
            is_full && open < max_connections - 1
        } else {
            open < max_connections
        };
        let may_connect = needs_another && state.backoff.allows(self.clock.now());
        if may_connect && state.connecting.is_none() {
            state.connecting = Some(self.connect());
        }
        match (least_loaded, &state.connecting) {
            (Some(conn), _) => Pick::Ready(conn),
            (None, Some(connecting)) => Pick::Connect(connecting.clone()),
            (None, None) if open >= max_connections => Pick::Unavailable(LegFailure::NoShare),
            (None, None) => Pick::Unavailable(LegFailure::Unreachable),
        }
    }

    /// Opens a connection in a separate task, so that cancelling one leg does not abort a
    /// connection attempt that other legs wait for.
    fn connect(self: &Arc<Self>) -> Connecting {
        let pool = Arc::clone(self);
        let task = async_std::task::spawn(async move {
            let _permit = pool.connect_limiter.acquire().await;
            let opening = Conn::open(pool.addr, pool.clock);
            let opened = timeout(CONNECT_TIMEOUT.as_duration(), opening).await;
            pool.on_connect_finished(opened.ok().flatten())
        });
        task.boxed().shared()
    }

    fn on_connect_finished(&self, conn: Option<Conn>) -> Option<Arc<Conn>> {
        let mut state = self.state.lock();
        state.connecting = None;
        let Some(conn) = conn.map(Arc::new) else {
            state.backoff.failed(self.clock.now(), jitter());
            return None;
        };
        state.conns.push(Arc::clone(&conn));
        Some(conn)
    }
}

impl State {
    fn least_loaded(&self) -> Option<Arc<Conn>> {
        let usable = self.conns.iter().filter(|conn| conn.accepts_legs());
        usable.min_by_key(|conn| conn.in_flight()).cloned()
    }

    fn remove_ended(&mut self, clock: Clock) {
        let now = clock.now();
        let backoff = &mut self.backoff;
        self.conns.retain(|conn| {
            if !conn.is_open() {
                backoff.ended(now, conn.outcome(now), jitter());
            }
            conn.is_open()
        });
    }
}

fn jitter() -> Ratio {
    Ratio::from_ppm(rand::rng().random_range(0..=Ratio::ONE.ppm()))
}
