//! The connections to one replica, each of which carries one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;

use super::carried::CarriedRequests;
use super::reply::ConnHistory;
use super::tcp;
use crate::connection::Http1Conn;
use crate::process::{MemoryBudget, Rank, Ranked};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, Span, Timestamp};

/// The farthest replica is some tens of milliseconds away, and a connection that takes longer than
/// this is too late for most legs.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);

/// The connection pool of one replica.
#[derive(Debug)]
pub(super) struct Pool {
    addr: SocketAddr,
    /// The memory for replies of all replicas.
    memory: Arc<MemoryBudget>,
    state: Ranked<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    in_use: u32,
    idle: Vec<IdleConn>,
}

#[derive(Debug)]
struct IdleConn {
    conn: Http1Conn,
    until: Timestamp,
    history: ConnHistory,
    carried: CarriedRequests,
}

/// A connection that is in use.
#[derive(Debug)]
pub(super) struct PooledConn {
    pub(super) permit: Permit,
    pub(super) conn: Http1Conn,
    pub(super) history: ConnHistory,
    pub(super) carried: CarriedRequests,
}

/// A permit to use one connection to a replica, released on drop.
#[derive(Debug)]
pub(super) struct Permit(Arc<Pool>);

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.in_use = state.in_use.saturating_sub(1);
    }
}

impl Permit {
    /// Returns the connection to the pool for another leg.
    pub(super) fn return_connection(
        self,
        conn: Http1Conn,
        until: Timestamp,
        history: ConnHistory,
        carried: CarriedRequests,
    ) {
        self.0.state.lock().idle.push(IdleConn {
            conn,
            until,
            history,
            carried,
        });
    }
}

impl PoolState {
    /// Takes an idle connection that has not carried the request.
    fn take_idle(&mut self, now: Timestamp, id: &str) -> Option<IdleConn> {
        self.idle.retain(|idle| idle.until > now);
        let mut idle = self.idle.iter();
        let at = idle.rposition(|idle| !idle.carried.contains(id))?;
        Some(self.idle.swap_remove(at))
    }

    /// Closes idle connections so that one more connection can be opened.
    fn make_room(&mut self, max_connections: ConnectionCount) {
        let others = max_connections.0.saturating_sub(self.in_use + 1);
        self.idle
            .truncate(usize::try_from(others).unwrap_or(usize::MAX));
    }
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, memory: Arc<MemoryBudget>) -> Self {
        Self {
            addr,
            memory,
            state: Ranked::new(Rank::Link, PoolState::default()),
        }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(super) fn has_idle(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        state.idle.retain(|idle| idle.until > now);
        !state.idle.is_empty()
    }

    /// Takes an idle connection that is still open and has not carried the request, so that the
    /// response can be told from every earlier one, or else opens a new one.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        now: Timestamp,
        max_connections: ConnectionCount,
        id: &str,
    ) -> Result<PooledConn, LegFailure> {
        loop {
            let idle = {
                let mut state = self.state.lock();
                let idle = state.take_idle(now, id);
                if idle.is_none() {
                    if state.in_use >= max_connections.0 {
                        return Err(LegFailure::NoShare);
                    }
                    state.make_room(max_connections);
                }
                state.in_use += 1;
                idle
            };
            let permit = Permit(Arc::clone(self));
            match idle {
                Some(idle) if idle.conn.is_quiet() => {
                    return Ok(PooledConn {
                        permit,
                        conn: idle.conn,
                        history: idle.history,
                        carried: idle.carried,
                    });
                }
                Some(_) => {}
                None => return self.connect(permit).await,
            }
        }
    }

    async fn connect(&self, permit: Permit) -> Result<PooledConn, LegFailure> {
        let connecting = tcp::connect(self.addr);
        match timeout(CONNECT_TIMEOUT.as_duration(), connecting).await {
            Ok(Ok(stream)) => Ok(PooledConn {
                permit,
                conn: Http1Conn::with_budget(stream, &self.memory),
                history: ConnHistory::New,
                carried: CarriedRequests::default(),
            }),
            Ok(Err(_)) | Err(_) => Err(LegFailure::Unreachable),
        }
    }
}
