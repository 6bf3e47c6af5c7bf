//! Sends legs to replicas over HTTP/1.1. A connection carries one request at a time and is reused
//! for part of the keep-alive time that the replica states.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use futures::future::BoxFuture;
use indexmap::IndexMap;
use rustix::net::{RecvFlags, recv};

use super::payload::Payload;
use super::{reply, signals, tcp};
use crate::connection::{Http1Conn, HttpError, ResponseHead};
use crate::process::{Clock, LegResult, LegTransport, Rank, Ranked, UpstreamSignals};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, Span, Timestamp, UpstreamName};

/// The farthest replica is some tens of milliseconds away, and a connection that takes longer than
/// this is too late for most legs.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);
/// Extra wait after the time that the replica was given, in which its own timeout response may
/// still arrive.
const REPLY_SLACK: Span = Span::from_millis(40);
/// How long an idle connection is kept if its replica states no keep-alive time.
const DEFAULT_KEEP_ALIVE: Span = Span::from_secs(5);
/// An idle connection is kept for this many quarters of the time that its replica states, so that
/// the replica does not close it at the moment when a request is sent.
const KEEP_ALIVE_QUARTERS: u64 = 3;
/// The platform's values have at most a megabyte. Many replicas at once may send bodies without
/// end, which all have to fit into the memory of a small machine.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// From this number of pools on, unused ones (of replicas that are gone) are dropped before a new
/// one is added.
const PRUNE_THRESHOLD: usize = 512;

/// Sends legs to replicas over pooled connections.
#[derive(Debug)]
pub(super) struct ReplicaTransport {
    clock: Clock,
    pools: Ranked<IndexMap<UpstreamName, Arc<Pool>>>,
}

/// The connection pool of one replica.
#[derive(Debug)]
struct Pool {
    addr: SocketAddr,
    state: Ranked<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    in_use: u32,
    idle: Vec<(Http1Conn, Timestamp)>,
}

/// A permit to use one connection to a replica, released on drop.
#[derive(Debug)]
struct Permit(Arc<Pool>);

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.in_use = state.in_use.saturating_sub(1);
    }
}

impl ReplicaTransport {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            pools: Ranked::new(Rank::Links, IndexMap::new()),
        }
    }

    fn pool(&self, name: &UpstreamName, addr: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get(name).filter(|pool| pool.addr == addr) {
            return Arc::clone(pool);
        }
        if pools.len() >= PRUNE_THRESHOLD {
            let now = self.clock.now();
            pools.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.has_idle(now));
        }
        let state = Ranked::new(Rank::Link, PoolState::default());
        let pool = Arc::new(Pool { addr, state });
        pools.insert(name.clone(), Arc::clone(&pool));
        pool
    }

    async fn try_call(
        &self,
        leg: &LegRequest,
        max_connections: ConnectionCount,
        signals: &mut Option<UpstreamSignals>,
    ) -> Result<LegReply, LegFailure> {
        let payload = Payload::decode(&leg.body).map_err(|error| {
            tracing::error!(%error, "could not decode the payload of a leg");
            LegFailure::NoShare
        })?;
        let pool = self.pool(&leg.upstream.name, leg.upstream.addr);
        let began = self.clock.now();
        let (permit, mut conn) = pool.acquire(began, max_connections).await?;
        let elapsed = self.clock.now().since(began);
        let left = Span(leg.time_left.0.saturating_sub(elapsed.0));
        if left == Span::ZERO {
            return Err(LegFailure::Unreachable);
        }
        let request = payload.render(&leg.upstream.name, left);
        let reply_timeout = Span(left.0 + REPLY_SLACK.0);
        let exchanged = timeout(
            reply_timeout.as_duration(),
            conn.exchange(&request, MAX_REPLY_BYTES),
        )
        .await;
        let (head, body) = exchanged
            .map_err(|_| LegFailure::OutOfTime)?
            .map_err(|error| leg_failure(&error))?;
        if reply::is_from_upstream(&head, payload.id) {
            *signals = Some(signals::decode(&head));
        }
        let reply_head = reply::validate(&head, payload.id);
        if !head.closes() && !conn.has_buffered_bytes() && reply_head != Err(LegFailure::Mangled) {
            permit.return_connection(conn, self.clock.now() + keep_alive_time(&head));
        }
        Ok(LegReply {
            query: leg.query,
            leg: leg.leg,
            snapshot: leg.snapshot,
            range: leg.range,
            head: Some(Box::new(reply_head?)),
            body,
        })
    }
}

impl LegTransport for ReplicaTransport {
    fn call(&self, leg: LegRequest, max_connections: ConnectionCount) -> BoxFuture<'_, LegResult> {
        Box::pin(async move {
            let mut signals = None;
            let outcome = self.try_call(&leg, max_connections, &mut signals).await;
            LegResult { signals, outcome }
        })
    }

    /// Cancelling a leg closes its connection. A new connection costs the replica time and adds to
    /// the platform's bill.
    fn cancel_costs_connection(&self) -> bool {
        true
    }
}

impl Pool {
    fn has_idle(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        state.idle.retain(|(_, until)| *until > now);
        !state.idle.is_empty()
    }

    /// Takes an idle connection that is still open, or else opens a new one.
    async fn acquire(
        self: &Arc<Self>,
        now: Timestamp,
        max_connections: ConnectionCount,
    ) -> Result<(Permit, Http1Conn), LegFailure> {
        loop {
            let idle = {
                let mut state = self.state.lock();
                state.idle.retain(|(_, until)| *until > now);
                let idle = state.idle.pop();
                if idle.is_none() && state.in_use >= max_connections.0 {
                    return Err(LegFailure::NoShare);
                }
                state.in_use += 1;
                idle
            };
            let permit = Permit(Arc::clone(self));
            match idle {
                Some((conn, _)) if is_reusable(&conn) => return Ok((permit, conn)),
                Some(_) => {}
                None => return self.connect(permit).await,
            }
        }
    }

    async fn connect(&self, permit: Permit) -> Result<(Permit, Http1Conn), LegFailure> {
        let connecting = tcp::connect(self.addr);
        match timeout(CONNECT_TIMEOUT.as_duration(), connecting).await {
            Ok(Ok(stream)) => Ok((permit, Http1Conn::new(stream))),
            Ok(Err(_)) | Err(_) => Err(LegFailure::Unreachable),
        }
    }
}

impl Permit {
    /// Returns the connection to the pool for another leg.
    fn return_connection(self, conn: Http1Conn, until: Timestamp) {
        self.0.state.lock().idle.push((conn, until));
    }
}

/// Whether an idle connection can be reused: the replica has neither closed it nor sent data
/// without a request.
fn is_reusable(conn: &Http1Conn) -> bool {
    let mut byte = [0; 1];
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    let received = recv(conn.stream(), &mut byte, flags);
    received.is_err_and(|error| error == rustix::io::Errno::WOULDBLOCK)
}

fn leg_failure(error: &HttpError) -> LegFailure {
    match error {
        HttpError::Io(_) | HttpError::Closed => LegFailure::Lost,
        HttpError::Truncated
        | HttpError::Malformed(_)
        | HttpError::HeadTooLarge
        | HttpError::BodyTooLarge => LegFailure::Mangled,
    }
}

/// Returns how long the connection is kept idle: part of the keep-alive time that the replica
/// states.
fn keep_alive_time(head: &ResponseHead) -> Span {
    let stated = head.fields.all("keep-alive").find_map(|value| {
        let mut params = value.split(',');
        params.find_map(|param| param.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    stated.map_or(DEFAULT_KEEP_ALIVE, |secs| {
        Span(Span::from_secs(secs).0 / 4 * KEEP_ALIVE_QUARTERS)
    })
}
