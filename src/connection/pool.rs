//! The connections to one upstream, up to this instance's share of them.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use rand::Rng;

use super::backoff::Backoff;
use super::conn::Conn;
use super::links::Connects;
use crate::process::{Clock, Rank, Ranked};
use crate::request::LegFailure;
use crate::types::{ConnectionCount, Ratio, Span, Timestamp};

const CONNECT_TIMEOUT: Span = Span::from_millis(500);
/// One connection carries so many legs before another is opened.
const LEGS_A_CONNECTION: u32 = 32;
/// One that went silent and the one that replaces it.
const LEAST_CONNECTIONS: usize = 2;

type Connecting = Shared<BoxFuture<'static, Option<Arc<Conn>>>>;

/// The connections to one upstream.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) addr: SocketAddr,
    clock: Clock,
    connects: Connects,
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
    No(LegFailure),
}

impl Pool {
    pub(super) fn new(addr: SocketAddr, clock: Clock, connects: Connects) -> Self {
        Self {
            addr,
            clock,
            connects,
            state: Ranked::new(Rank::Link, State::default()),
        }
    }

    /// Whether forgetting it would lose a connection or a pause.
    pub(super) fn is_of_use(&self, now: Timestamp) -> bool {
        let state = self.state.lock();
        let is_open = state.conns.iter().any(|conn| conn.is_open());
        is_open || !state.backoff.allows(now)
    }

    /// A connection that takes a leg now, of at most `most`.
    pub(super) async fn conn(
        self: &Arc<Self>,
        most: ConnectionCount,
    ) -> Result<Arc<Conn>, LegFailure> {
        let conn = match self.pick(most) {
            Pick::Ready(conn) => conn,
            Pick::Connect(connecting) => {
                return connecting.await.ok_or(LegFailure::Unreachable);
            }
            Pick::No(failure) => return Err(failure),
        };
        if !conn.needs_proof() || conn.prove().await {
            return Ok(conn);
        }
        match self.pick(most) {
            Pick::Ready(conn) => Ok(conn),
            Pick::Connect(connecting) => connecting.await.ok_or(LegFailure::Unreachable),
            Pick::No(failure) => Err(failure),
        }
    }

    fn pick(self: &Arc<Self>, most: ConnectionCount) -> Pick {
        let most = usize::try_from(most.0).unwrap_or(usize::MAX);
        let most = most.max(LEAST_CONNECTIONS);
        let mut state = self.state.lock();
        state.forget_ended(self.clock);
        let open = state.conns.len();
        let best = state.best();
        let is_full = best
            .as_ref()
            .is_none_or(|conn| conn.under_way() >= LEGS_A_CONNECTION);
        // The last connection of the share is kept to replace one that goes silent.
        let wants_more = if best.is_some() {
            is_full && open < most - 1
        } else {
            open < most
        };
        let may_connect = wants_more && state.backoff.allows(self.clock.now());
        if may_connect && state.connecting.is_none() {
            state.connecting = Some(self.connect());
        }
        match (best, &state.connecting) {
            (Some(conn), _) => Pick::Ready(conn),
            (None, Some(connecting)) => Pick::Connect(connecting.clone()),
            (None, None) if open >= most => Pick::No(LegFailure::NoShare),
            (None, None) => Pick::No(LegFailure::Unreachable),
        }
    }

    /// Connects in a task of its own, so that a cancelled leg does not stop what other
    /// legs wait for.
    fn connect(self: &Arc<Self>) -> Connecting {
        let pool = Arc::clone(self);
        let task = async_std::task::spawn(async move {
            let _turn = pool.connects.turn().await;
            let opening = Conn::open(pool.addr, pool.clock);
            let opened = timeout(CONNECT_TIMEOUT.as_duration(), opening).await;
            pool.connected(opened.ok().flatten())
        });
        task.boxed().shared()
    }

    fn connected(&self, conn: Option<Conn>) -> Option<Arc<Conn>> {
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
    fn best(&self) -> Option<Arc<Conn>> {
        let usable = self.conns.iter().filter(|conn| conn.takes_legs());
        usable.min_by_key(|conn| conn.under_way()).cloned()
    }

    fn forget_ended(&mut self, clock: Clock) {
        let now = clock.now();
        let backoff = &mut self.backoff;
        self.conns.retain(|conn| {
            if !conn.is_open() {
                backoff.ended(now, conn.life(now), jitter());
            }
            conn.is_open()
        });
    }
}

fn jitter() -> Ratio {
    Ratio::from_ppm(rand::rng().random_range(0..=Ratio::ONE.ppm()))
}
