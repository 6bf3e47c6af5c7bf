//! The task that drives one connection and its heartbeat until either ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use futures::channel::oneshot;
use futures::future::{Either, select};
use h2::client::Connection;
use h2::{Ping, PingPong};
use tokio_util::bytes::Bytes;

use super::heartbeat::{Health, Heartbeat, Step};
use super::stream::TokioStream;
use super::watched_stream::WatchedStream;
use crate::process::{Clock, Rank, Ranked};
use crate::types::{Span, Timestamp};

/// The state that the users of a connection share with the task that drives it.
#[derive(Debug)]
pub(super) struct ConnectionState {
    clock: Clock,
    heartbeat: Ranked<Heartbeat>,
    probe_waiters: Ranked<Vec<(ProbeTimeout, oneshot::Sender<()>)>>,
    in_flight: AtomicU32,
    closing: AtomicBool,
    ended: AtomicBool,
    wakeup: (Sender<()>, Receiver<()>),
}

/// How long to wait for the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeTimeout {
    /// Until the connection is suspect, because another connection can be used instead.
    UntilSuspect,
    /// Until the connection is closed.
    UntilClosed,
}

/// Counts a leg as in flight on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight(Arc<ConnectionState>);

impl ConnectionState {
    pub(super) fn new(clock: Clock, round_trip: Span) -> Self {
        Self {
            clock,
            heartbeat: Ranked::new(Rank::Heartbeat, Heartbeat::new(clock.now(), round_trip)),
            probe_waiters: Ranked::new(Rank::ProbeWaiters, Vec::new()),
            in_flight: AtomicU32::new(0),
            closing: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            wakeup: bounded(1),
        }
    }

    pub(super) fn health(&self) -> Health {
        self.heartbeat.lock().health()
    }

    pub(super) fn needs_probe(&self) -> bool {
        self.heartbeat.lock().needs_probe(self.clock.now())
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Marks the connection as closing, such as after a graceful close by the upstream, so that it
    /// accepts no new legs.
    pub(super) fn mark_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self) {
        self.heartbeat.lock().record_received(self.clock.now());
    }

    /// Counts a leg as in flight until the returned guard is dropped.
    pub(super) fn begin_leg(self: &Arc<Self>) -> InFlight {
        if self.in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            self.heartbeat.lock().start_waiting(self.clock.now());
            self.wakeup.0.try_send(()).ok();
        }
        InFlight(Arc::clone(self))
    }

    /// Sends a probe immediately and waits for its answer; returns false if none arrives in time.
    pub(super) async fn probe(&self, probe_timeout: ProbeTimeout) -> bool {
        let (waiter, answered) = oneshot::channel();
        self.probe_waiters.lock().push((probe_timeout, waiter));
        self.wakeup.0.try_send(()).ok();
        if self.has_ended() {
            return false;
        }
        answered.await.is_ok()
    }

    /// Marks the connection as closing and returns whether it can be closed now, because it is
    /// silent or no leg is in flight.
    fn prepare_close(&self) -> bool {
        self.mark_closing();
        self.health() == Health::Silent || self.in_flight() == 0
    }

    fn step(&self, now: Timestamp) -> Step {
        let mut heartbeat = self.heartbeat.lock();
        let step = heartbeat.step(now);
        let has_waiters = !self.probe_waiters.lock().is_empty();
        match step {
            Step::Wait(_) | Step::Idle(_) if has_waiters && !heartbeat.is_probing() => Step::Ping,
            step => step,
        }
    }

    fn record_pong(&self) {
        self.heartbeat.lock().record_pong(self.clock.now());
        for (_, waiter) in self.probe_waiters.lock().drain(..) {
            waiter.send(()).ok();
        }
    }

    fn fail_suspect_probes(&self) {
        let mut probe_waiters = self.probe_waiters.lock();
        probe_waiters.retain(|(probe_timeout, _)| *probe_timeout == ProbeTimeout::UntilClosed);
    }

    fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.probe_waiters.lock().clear();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.heartbeat.lock().stop_waiting();
        }
    }
}

/// Drives the connection until it ends, becomes silent, or has been idle for too long.
pub(super) async fn watch(
    mut connection: Connection<TokioStream<WatchedStream>, Bytes>,
    state: Arc<ConnectionState>,
    addr: SocketAddr,
) {
    let ping_pong = connection.ping_pong();
    let heartbeat = Box::pin(run_heartbeat(Arc::clone(&state), ping_pong));
    match select(connection, heartbeat).await {
        Either::Left((Err(error), _)) => {
            tracing::debug!(%error, %addr, "the connection to an upstream failed");
        }
        Either::Left((Ok(()), _)) => {}
        Either::Right(((), connection)) => drop(connection),
    }
    state.end();
}

async fn run_heartbeat(state: Arc<ConnectionState>, ping_pong: Option<PingPong>) {
    let Some(mut ping_pong) = ping_pong else {
        return;
    };
    loop {
        let now = state.clock.now();
        let until = match state.step(now) {
            Step::Close if state.prepare_close() => return,
            Step::Close => continue,
            Step::Ping if ping_pong.send_ping(Ping::opaque()).is_err() => return,
            Step::Ping => {
                state.heartbeat.lock().record_ping(now);
                continue;
            }
            Step::Wait(until) | Step::Idle(until) => until,
        };
        if state.health() == Health::Suspect {
            state.fail_suspect_probes();
        }
        if !wait_for_event(&state, &mut ping_pong, until.since(now)).await {
            return;
        }
    }
}

/// Waits up to `within` for a pong or a wakeup; returns false if the connection ended.
async fn wait_for_event(state: &ConnectionState, ping_pong: &mut PingPong, within: Span) -> bool {
    let wakeup = Box::pin(state.wakeup.1.recv());
    let ponged = std::future::poll_fn(|cx| ping_pong.poll_pong(cx));
    let event = timeout(within.as_duration(), select(ponged, wakeup)).await;
    match event {
        Ok(Either::Left((Ok(_), _))) => state.record_pong(),
        Ok(Either::Left((Err(_), _))) => return false,
        Ok(Either::Right(_)) | Err(_) => {}
    }
    true
}
