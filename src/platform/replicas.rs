//! Legs over the replicas' HTTP/1.1: one request at a time on a connection, which is kept
//! while the replica says that it keeps it.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use futures::future::BoxFuture;
use indexmap::IndexMap;
use rustix::net::{RecvFlags, recv};

use super::payload::Payload;
use super::{reply, tcp};
use crate::connection::{HttpError, ResponseHead, Wire};
use crate::process::{Carrier, Clock, Rank, Ranked};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{ConnectionCount, Span, Timestamp, UpstreamName};

/// The farthest replica is some tens of milliseconds away, and a connection that takes
/// longer to make comes too late for most legs.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);
/// Beyond the time that the replica was given, its own answer to that may still come.
const REPLY_SLACK: Span = Span::from_millis(40);
/// How long a connection is kept whose replica states nothing.
const USUAL_KEEP: Span = Span::from_secs(5);
/// A kept connection is used for this part of the time that its replica states, so that
/// the two ends do not close and send at the same moment.
const KEPT_QUARTERS: u64 = 3;
const MOST_REPLY: usize = 4 << 20;
/// Pools of replicas that are gone are dropped when there are more than this.
const FIRST_PRUNE: usize = 512;

/// The connections to all replicas.
#[derive(Debug)]
pub(super) struct Replicas {
    clock: Clock,
    pools: Ranked<IndexMap<UpstreamName, Arc<Pool>>>,
}

/// The connections to one replica.
#[derive(Debug)]
struct Pool {
    addr: SocketAddr,
    state: Ranked<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    open: u32,
    idle: Vec<(Wire, Timestamp)>,
}

/// A place among the connections to one replica, given back when dropped.
#[derive(Debug)]
struct Place(Arc<Pool>);

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.open = state.open.saturating_sub(1);
    }
}

impl Replicas {
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
        if pools.len() >= FIRST_PRUNE {
            let now = self.clock.now();
            pools.retain(|_, pool| Arc::strong_count(pool) > 1 || pool.is_of_use(now));
        }
        let state = Ranked::new(Rank::Link, PoolState::default());
        let pool = Arc::new(Pool { addr, state });
        pools.insert(name.clone(), Arc::clone(&pool));
        pool
    }

    async fn try_call(
        &self,
        leg: &LegRequest,
        most: ConnectionCount,
    ) -> Result<LegReply, LegFailure> {
        let payload = Payload::decode(&leg.body).map_err(|error| {
            tracing::error!(%error, "a leg cannot be sent");
            LegFailure::NoShare
        })?;
        let pool = self.pool(&leg.upstream.name, leg.upstream.addr);
        let began = self.clock.now();
        let (place, mut wire) = pool.take(began, most).await?;
        let spent = self.clock.now().since(began);
        let left = Span(leg.time_left.0.saturating_sub(spent.0));
        if left == Span::ZERO {
            return Err(LegFailure::Unreachable);
        }
        let text = payload.render(&leg.upstream.name, left);
        let within = Span(left.0 + REPLY_SLACK.0);
        let exchanged = timeout(within.as_duration(), wire.exchange(&text, MOST_REPLY)).await;
        let (head, body) = exchanged
            .map_err(|_| LegFailure::OutOfTime)?
            .map_err(|error| failure(&error))?;
        let judged = reply::judge(&head, payload.id);
        if !head.closes() && !wire.has_rest() && judged != Err(LegFailure::Mangled) {
            place.keep(wire, self.clock.now() + keep(&head));
        }
        Ok(LegReply {
            query: leg.query,
            leg: leg.leg,
            snapshot: leg.snapshot,
            range: leg.range,
            head: Some(Box::new(judged?)),
            body,
        })
    }
}

impl Carrier for Replicas {
    fn call(
        &self,
        leg: LegRequest,
        most: ConnectionCount,
    ) -> BoxFuture<'_, Result<LegReply, LegFailure>> {
        Box::pin(async move { self.try_call(&leg, most).await })
    }

    /// A connection that is closed takes a new one, which the replica and the platform's
    /// bill both feel.
    fn cancel_costs_connection(&self) -> bool {
        true
    }
}

impl Pool {
    fn is_of_use(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        state.idle.retain(|(_, until)| *until > now);
        !state.idle.is_empty()
    }

    /// A kept connection that still stands, or else a new one.
    async fn take(
        self: &Arc<Self>,
        now: Timestamp,
        most: ConnectionCount,
    ) -> Result<(Place, Wire), LegFailure> {
        loop {
            let kept = {
                let mut state = self.state.lock();
                state.idle.retain(|(_, until)| *until > now);
                let kept = state.idle.pop();
                if kept.is_none() && state.open >= most.0 {
                    return Err(LegFailure::NoShare);
                }
                state.open += 1;
                kept
            };
            let place = Place(Arc::clone(self));
            match kept {
                Some((wire, _)) if is_quiet(&wire) => return Ok((place, wire)),
                Some(_) => {}
                None => return self.connect(place).await,
            }
        }
    }

    async fn connect(&self, place: Place) -> Result<(Place, Wire), LegFailure> {
        let connecting = tcp::connect(self.addr);
        match timeout(CONNECT_TIMEOUT.as_duration(), connecting).await {
            Ok(Ok(stream)) => Ok((place, Wire::new(stream))),
            Ok(Err(_)) | Err(_) => Err(LegFailure::Unreachable),
        }
    }
}

impl Place {
    /// Keeps the connection for another leg.
    fn keep(self, wire: Wire, until: Timestamp) {
        self.0.state.lock().idle.push((wire, until));
    }
}

/// Whether nothing came on a kept connection: neither its end nor an answer that nobody
/// asked for.
fn is_quiet(wire: &Wire) -> bool {
    let mut byte = [0; 1];
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    let seen = recv(wire.stream(), &mut byte, flags);
    seen.is_err_and(|error| error == rustix::io::Errno::WOULDBLOCK)
}

fn failure(error: &HttpError) -> LegFailure {
    match error {
        HttpError::Io(_) | HttpError::Closed => LegFailure::Lost,
        HttpError::Truncated
        | HttpError::Malformed(_)
        | HttpError::HeadTooLarge
        | HttpError::BodyTooLarge => LegFailure::Mangled,
    }
}

/// How long the connection is kept: a part of what the replica states.
fn keep(head: &ResponseHead) -> Span {
    let stated = head.fields.all("keep-alive").find_map(|value| {
        let mut params = value.split(',');
        params.find_map(|param| param.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    stated.map_or(USUAL_KEEP, |secs| {
        Span(Span::from_secs(secs).0 / 4 * KEPT_QUARTERS)
    })
}
