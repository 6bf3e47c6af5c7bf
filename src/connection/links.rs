//! The connections of one instance to all upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use futures::future::BoxFuture;
use indexmap::IndexMap;

use super::conn::{CallError, Conn};
use super::heartbeat::Health;
use super::pool::Pool;
use crate::process::{Carrier, Clock, Rank, Ranked};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, UpstreamName};

const MOST_CONNECTS_UNDER_WAY: usize = 32;

/// The connections of one instance to all upstreams.
#[derive(Debug)]
pub(crate) struct Links {
    clock: Clock,
    connects: Connects,
    by_upstream: Ranked<IndexMap<UpstreamName, Arc<Pool>>>,
}

/// Bounds the connections that are being made, so that those lost together are not
/// made again all at once.
#[derive(Clone, Debug)]
pub(super) struct Connects {
    tx: Sender<()>,
    rx: Receiver<()>,
}

/// The right to make a connection, until it is dropped.
#[derive(Debug)]
pub(super) struct Turn<'a>(&'a Receiver<()>);

impl Links {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            connects: Connects::new(),
            by_upstream: Ranked::new(Rank::Links, IndexMap::new()),
        }
    }

    fn pool(&self, name: &UpstreamName, addr: SocketAddr) -> Arc<Pool> {
        let mut by_upstream = self.by_upstream.lock();
        let known = by_upstream.get(name).filter(|pool| pool.addr == addr);
        if let Some(pool) = known {
            return Arc::clone(pool);
        }
        let now = self.clock.now();
        by_upstream.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.is_of_use(now));
        let pool = Arc::new(Pool::new(addr, self.clock, self.connects.clone()));
        by_upstream.insert(name.clone(), Arc::clone(&pool));
        pool
    }
}

impl Carrier for Links {
    fn call(
        &self,
        leg: LegRequest,
        most: ConnectionCount,
    ) -> BoxFuture<'_, Result<LegReply, LegFailure>> {
        Box::pin(async move {
            let pool = self.pool(&leg.upstream.name, leg.upstream.addr);
            let within = leg.time_left.as_duration();
            let mut used = None;
            let called = timeout(within, call(&pool, &leg, most, &mut used)).await;
            called.unwrap_or_else(|_| Err(out_of_time(used.as_deref())))
        })
    }

    /// A stream is reset at no cost to the connection's other streams.
    fn cancel_costs_connection(&self) -> bool {
        false
    }
}

/// Calls, and once more when a connection closed in good order before it took the leg.
async fn call(
    pool: &Arc<Pool>,
    leg: &LegRequest,
    most: ConnectionCount,
    used: &mut Option<Arc<Conn>>,
) -> Result<LegReply, LegFailure> {
    match call_once(pool, leg, most, used).await {
        Err(CallError::Unprocessed) => {}
        Err(CallError::Failed(failure)) => return Err(failure),
        Ok(reply) => return Ok(reply),
    }
    match call_once(pool, leg, most, used).await {
        Err(CallError::Unprocessed) => Err(LegFailure::Draining),
        Err(CallError::Failed(failure)) => Err(failure),
        Ok(reply) => Ok(reply),
    }
}

async fn call_once(
    pool: &Arc<Pool>,
    leg: &LegRequest,
    most: ConnectionCount,
    used: &mut Option<Arc<Conn>>,
) -> Result<LegReply, CallError> {
    *used = None;
    let conn = pool.conn(most).await?;
    *used = Some(Arc::clone(&conn));
    conn.call(leg).await
}

/// Without a connection nothing was sent, and one that is about to be found silent is
/// no fault of its upstream.
fn out_of_time(used: Option<&Conn>) -> LegFailure {
    match used {
        None => LegFailure::Unreachable,
        Some(conn) if conn.health() != Health::Good => LegFailure::Silent,
        Some(_) => LegFailure::OutOfTime,
    }
}

impl Connects {
    fn new() -> Self {
        let (tx, rx) = bounded(MOST_CONNECTS_UNDER_WAY);
        Self { tx, rx }
    }

    pub(super) async fn turn(&self) -> Turn<'_> {
        self.tx.send(()).await.ok();
        Turn(&self.rx)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.try_recv().ok();
    }
}
