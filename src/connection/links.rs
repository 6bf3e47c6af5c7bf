//! The connections of one instance to all upstreams, in one pool per upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use futures::future::BoxFuture;
use indexmap::IndexMap;

use super::conn::{CallError, Conn};
use super::heartbeat::Health;
use super::pool::Pool;
use crate::process::{Clock, LegResult, LegTransport, Rank, Ranked};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, UpstreamName};
use crate::version::UpstreamSpec;

const MAX_CONNECTS_IN_FLIGHT: usize = 32;

/// Holds one pool of connections per upstream and sends legs over them.
#[derive(Debug)]
pub(crate) struct Links {
    clock: Clock,
    connect_limiter: ConnectLimiter,
    by_upstream: Ranked<IndexMap<UpstreamName, Arc<Pool>>>,
}

/// Limits how many connections are being opened at the same time, so that connections that
/// were lost together are not all reopened at once.
#[derive(Clone, Debug)]
pub(super) struct ConnectLimiter {
    tx: Sender<()>,
    rx: Receiver<()>,
}

/// A permit to open a connection, given back on drop.
#[derive(Debug)]
pub(super) struct ConnectPermit<'a>(&'a Receiver<()>);

impl Links {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            connect_limiter: ConnectLimiter::new(),
            by_upstream: Ranked::new(Rank::Links, IndexMap::new()),
        }
    }

    fn pool(&self, name: &UpstreamName, addr: SocketAddr) -> Arc<Pool> {
        let mut by_upstream = self.by_upstream.lock();
        let existing = by_upstream.get(name).filter(|pool| pool.addr == addr);
        if let Some(pool) = existing {
            return Arc::clone(pool);
        }
        let now = self.clock.now();
        by_upstream.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.is_active(now));
        let pool = Arc::new(Pool::new(addr, self.clock, self.connect_limiter.clone()));
        by_upstream.insert(name.clone(), Arc::clone(&pool));
        pool
    }
}

impl LegTransport for Links {
    fn call(&self, leg: LegRequest, max_connections: ConnectionCount) -> BoxFuture<'_, LegResult> {
        Box::pin(async move {
            let pool = self.pool(&leg.upstream.name, leg.upstream.addr);
            let time_left = leg.time_left.as_duration();
            let mut used_conn = None;
            let called = timeout(
                time_left,
                call(&pool, &leg, max_connections, &mut used_conn),
            )
            .await;
            called
                .unwrap_or_else(|_| Err(timeout_failure(used_conn.as_deref())))
                .into()
        })
    }

    /// Upstreams do not say whether they started again.
    fn check_health<'a>(&'a self, _: &'a UpstreamSpec, _: &'a str) -> BoxFuture<'a, bool> {
        Box::pin(async { false })
    }

    /// Cancelling a leg resets only its own stream; the connection's other streams go on.
    fn cancel_costs_connection(&self) -> bool {
        false
    }
}

/// Sends a leg, and retries once if the connection was closed gracefully before the upstream
/// processed the leg.
async fn call(
    pool: &Arc<Pool>,
    leg: &LegRequest,
    max_connections: ConnectionCount,
    used_conn: &mut Option<Arc<Conn>>,
) -> Result<LegReply, LegFailure> {
    match call_once(pool, leg, max_connections, used_conn).await {
        Err(CallError::Unprocessed) => {}
        Err(CallError::Failed(failure)) => return Err(failure),
        Ok(reply) => return Ok(reply),
    }
    match call_once(pool, leg, max_connections, used_conn).await {
        Err(CallError::Unprocessed) => Err(LegFailure::Draining),
        Err(CallError::Failed(failure)) => Err(failure),
        Ok(reply) => Ok(reply),
    }
}

async fn call_once(
    pool: &Arc<Pool>,
    leg: &LegRequest,
    max_connections: ConnectionCount,
    used_conn: &mut Option<Arc<Conn>>,
) -> Result<LegReply, CallError> {
    *used_conn = None;
    let conn = pool.conn(max_connections).await?;
    *used_conn = Some(Arc::clone(&conn));
    conn.call(leg).await
}

/// Returns the failure of a leg that timed out. Without a connection the leg was never sent. On
/// a connection that is suspect or silent, the cause is the connection and not the upstream.
fn timeout_failure(used_conn: Option<&Conn>) -> LegFailure {
    match used_conn {
        None => LegFailure::Unreachable,
        Some(conn) if conn.health() != Health::Good => LegFailure::Silent,
        Some(_) => LegFailure::OutOfTime,
    }
}

impl ConnectLimiter {
    fn new() -> Self {
        let (tx, rx) = bounded(MAX_CONNECTS_IN_FLIGHT);
        Self { tx, rx }
    }

    pub(super) async fn acquire(&self) -> ConnectPermit<'_> {
        self.tx.send(()).await.ok();
        ConnectPermit(&self.rx)
    }
}

impl Drop for ConnectPermit<'_> {
    fn drop(&mut self) {
        self.0.try_recv().ok();
    }
}
