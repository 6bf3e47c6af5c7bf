//! Sends legs to replicas over HTTP/1.1. A connection carries one request at a time and is reused
//! for part of the keep-alive time that the replica states.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use futures::future::BoxFuture;
use indexmap::IndexMap;

use super::carried::CarriedRequests;
use super::payload::{self, Payload};
use super::replica_pool::{Pool, PooledConn};
use super::{reply, signals, tcp};
use crate::connection::{Http1Conn, HttpError, ResponseHead};
use crate::process::{Clock, LegResult, LegTransport, MemoryBudget, Rank, Ranked, UpstreamSignals};
use crate::request::{Body, LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, Span, UpstreamName};
use crate::version::UpstreamSpec;

/// Extra wait after the time that the replica was given, in which its own timeout response may
/// still arrive.
const REPLY_SLACK: Span = Span::from_millis(40);
/// A health check waits for a slot like any request.
const HEALTH_CHECK_TIMEOUT: Span = Span::from_millis(800);
/// How long an idle connection is kept if its replica states no keep-alive time.
const DEFAULT_KEEP_ALIVE: Span = Span::from_secs(5);
/// An idle connection is kept for this many quarters of the time that its replica states, so that
/// the replica does not close it at the moment when a request is sent.
const KEEP_ALIVE_QUARTERS: u64 = 3;
/// The platform's values have at most a megabyte.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// A replica that sends more late copies than this before a response may send them without end.
const MAX_LATE_COPIES: usize = 4;
/// From this number of pools on, unused ones (of replicas that are gone) are dropped before a new
/// one is added.
const PRUNE_THRESHOLD: usize = 512;

/// Sends legs to replicas over pooled connections.
#[derive(Debug)]
pub(super) struct ReplicaTransport {
    clock: Clock,
    memory: Arc<MemoryBudget>,
    pools: Ranked<IndexMap<UpstreamName, Arc<Pool>>>,
}

impl ReplicaTransport {
    /// Creates a transport whose replies take their memory from `memory`.
    pub(super) fn new(clock: Clock, memory: Arc<MemoryBudget>) -> Self {
        Self {
            clock,
            memory,
            pools: Ranked::new(Rank::Links, IndexMap::new()),
        }
    }

    fn pool(&self, name: &UpstreamName, addr: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get(name).filter(|pool| pool.addr() == addr) {
            return Arc::clone(pool);
        }
        if pools.len() >= PRUNE_THRESHOLD {
            let now = self.clock.now();
            pools.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.has_idle(now));
        }
        let pool = Arc::new(Pool::new(addr, Arc::clone(&self.memory)));
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
        let PooledConn {
            permit,
            mut conn,
            history,
            mut carried,
        } = pool.acquire(began, max_connections, payload.id).await?;
        let elapsed = self.clock.now().since(began);
        let left = Span(leg.time_left.0.saturating_sub(elapsed.0));
        if left == Span::ZERO {
            return Err(LegFailure::Unreachable);
        }
        let request_head = payload.head(&leg.upstream.name, left);
        let reply_timeout = Span(left.0 + REPLY_SLACK.0);
        let exchanging = async {
            let head = send(&mut conn, &carried, &request_head, payload.body).await?;
            if reply::is_from_upstream(&head, payload.id) {
                *signals = Some(signals::decode(&head));
            }
            let reply_head = reply::validate(&head, payload.id, history);
            let body = match reply_head {
                // What follows the head is of no use, and may have no end.
                Err(LegFailure::Mangled) => Body::default(),
                _ if payload.wants_head_only() => Body::default(),
                _ => conn.body(head.framing()?, MAX_REPLY_BYTES).await?,
            };
            Ok::<_, HttpError>((head, reply_head, body))
        };
        let (head, reply_head, body) = timeout(reply_timeout.as_duration(), exchanging)
            .await
            .map_err(|_| LegFailure::OutOfTime)?
            .map_err(|error| leg_failure(&error))?;
        // A late copy of a response to HEAD could not be skipped: nothing tells that it has no body.
        if !head.closes()
            && !payload.wants_head_only()
            && !conn.has_buffered_bytes()
            && let Some(history) = reply::history_after(&head, &reply_head)
        {
            let now = self.clock.now();
            carried.add(now, payload.id, began + leg.time_left);
            permit.return_connection(conn, now + keep_alive_time(&head), history, carried);
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

/// Sends a health check; returns whether the upstream itself responds, whatever it says.
async fn is_responding(upstream: &UpstreamSpec, path: &str) -> Result<bool, HttpError> {
    let mut conn = Http1Conn::new(tcp::connect(upstream.addr).await?);
    let request_head = payload::health_check(upstream, path, HEALTH_CHECK_TIMEOUT);
    let head = conn.send(&request_head, b"").await?;
    let id = payload::replica_id(&upstream.name);
    Ok(reply::is_from_instance(&head, id))
}

impl LegTransport for ReplicaTransport {
    fn call(&self, leg: LegRequest, max_connections: ConnectionCount) -> BoxFuture<'_, LegResult> {
        Box::pin(async move {
            let mut signals = None;
            let outcome = self.try_call(&leg, max_connections, &mut signals).await;
            LegResult { signals, outcome }
        })
    }

    /// Checks over a connection of its own: a response to a health check names no request, after
    /// which a connection is not used for others.
    fn check_health<'a>(
        &'a self,
        upstream: &'a UpstreamSpec,
        path: &'a str,
    ) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            let responding = is_responding(upstream, path);
            let checked = timeout(HEALTH_CHECK_TIMEOUT.as_duration(), responding).await;
            matches!(checked, Ok(Ok(true)))
        })
    }

    /// Cancelling a leg closes its connection. A new connection costs the replica time and adds to
    /// the platform's bill.
    fn cancel_costs_connection(&self) -> bool {
        true
    }
}

/// Sends a request and reads the head of its response. Late copies of the responses to requests that
/// the connection carried before belong to no request, and are dropped.
async fn send(
    conn: &mut Http1Conn,
    carried: &CarriedRequests,
    request_head: &[u8],
    request_body: &[u8],
) -> Result<ResponseHead, HttpError> {
    let mut head = conn.send(request_head, request_body).await?;
    for _ in 0..MAX_LATE_COPIES {
        let is_copy = reply::named_request(&head).is_some_and(|id| carried.contains(id));
        if !is_copy {
            break;
        }
        conn.body(head.framing()?, MAX_REPLY_BYTES).await?;
        head = conn.next_response().await?;
    }
    Ok(head)
}

fn leg_failure(error: &HttpError) -> LegFailure {
    match error {
        HttpError::Io(_) | HttpError::Closed => LegFailure::Lost,
        HttpError::OutOfMemory => LegFailure::NoMemory,
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

#[cfg(test)]
#[path = "replicas_tests.rs"]
mod replicas_tests;

#[cfg(test)]
#[path = "resend_tests.rs"]
mod resend_tests;

#[cfg(test)]
#[path = "health_check_tests.rs"]
mod health_check_tests;
