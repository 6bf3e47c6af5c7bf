//! Drives one connection and its heartbeat until either ends.

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

use super::heard::Heard;
use super::heartbeat::{Health, Heartbeat, Step};
use super::stream::Stream;
use crate::process::{Clock, Rank, Ranked};
use crate::types::{Span, Timestamp};

/// What the users of a connection and its watcher share.
#[derive(Debug)]
pub(super) struct Watched {
    clock: Clock,
    heartbeat: Ranked<Heartbeat>,
    proofs: Ranked<Vec<(Patience, oneshot::Sender<()>)>>,
    under_way: AtomicU32,
    leaving: AtomicBool,
    ended: AtomicBool,
    changed: (Sender<()>, Receiver<()>),
}

/// How long a probe's answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// Until the connection is suspect, since another may take its place.
    UntilSuspect,
    /// Until the connection is closed.
    UntilClosed,
}

/// A leg that is under way on a connection.
#[derive(Debug)]
pub(super) struct UnderWay(Arc<Watched>);

impl Watched {
    pub(super) fn new(clock: Clock, round_trip: Span) -> Self {
        Self {
            clock,
            heartbeat: Ranked::new(Rank::Heartbeat, Heartbeat::new(clock.now(), round_trip)),
            proofs: Ranked::new(Rank::Proofs, Vec::new()),
            under_way: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            changed: bounded(1),
        }
    }

    pub(super) fn health(&self) -> Health {
        self.heartbeat.lock().health()
    }

    pub(super) fn needs_proof(&self) -> bool {
        self.heartbeat.lock().needs_proof(self.clock.now())
    }

    pub(super) fn under_way(&self) -> u32 {
        self.under_way.load(Ordering::Relaxed)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that the other end closes it in good order.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn hear(&self) {
        self.heartbeat.lock().hear(self.clock.now());
    }

    /// Notes a leg until what is returned is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> UnderWay {
        if self.under_way.fetch_add(1, Ordering::Relaxed) == 0 {
            self.heartbeat.lock().ask(self.clock.now());
            self.changed.0.try_send(()).ok();
        }
        UnderWay(Arc::clone(self))
    }

    /// Sends a probe at once and waits for its answer.
    pub(super) async fn prove(&self, patience: Patience) -> bool {
        let (proof, proved) = oneshot::channel();
        self.proofs.lock().push((patience, proof));
        self.changed.0.try_send(()).ok();
        if self.has_ended() {
            return false;
        }
        proved.await.is_ok()
    }

    /// Whether it may be closed: for good when silent, and otherwise when unused.
    fn may_close(&self) -> bool {
        self.leave();
        self.health() == Health::Silent || self.under_way() == 0
    }

    fn step(&self, now: Timestamp) -> Step {
        let mut heartbeat = self.heartbeat.lock();
        let step = heartbeat.step(now);
        let wanted = !self.proofs.lock().is_empty();
        match step {
            Step::Wait(_) | Step::Idle(_) if wanted && !heartbeat.is_probing() => Step::Ping,
            step => step,
        }
    }

    fn pong(&self) {
        self.heartbeat.lock().pong(self.clock.now());
        for (_, proof) in self.proofs.lock().drain(..) {
            proof.send(()).ok();
        }
    }

    fn refuse_the_impatient(&self) {
        let mut proofs = self.proofs.lock();
        proofs.retain(|(patience, _)| *patience == Patience::UntilClosed);
    }

    fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.proofs.lock().clear();
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if self.0.under_way.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.heartbeat.lock().rest();
        }
    }
}

/// Drives the connection until it ends, is found silent or was idle for long.
pub(super) async fn watch(
    mut connection: Connection<Stream<Heard>, Bytes>,
    watched: Arc<Watched>,
    addr: SocketAddr,
) {
    let ping_pong = connection.ping_pong();
    let beating = Box::pin(beat(Arc::clone(&watched), ping_pong));
    match select(connection, beating).await {
        Either::Left((Err(error), _)) => {
            tracing::debug!(%error, %addr, "a connection to an upstream ended");
        }
        Either::Left((Ok(()), _)) => {}
        Either::Right(((), connection)) => drop(connection),
    }
    watched.end();
}

async fn beat(watched: Arc<Watched>, ping_pong: Option<PingPong>) {
    let Some(mut ping_pong) = ping_pong else {
        return;
    };
    loop {
        let now = watched.clock.now();
        let until = match watched.step(now) {
            Step::Close if watched.may_close() => return,
            Step::Close => continue,
            Step::Ping if ping_pong.send_ping(Ping::opaque()).is_err() => return,
            Step::Ping => {
                watched.heartbeat.lock().ping(now);
                continue;
            }
            Step::Wait(until) | Step::Idle(until) => until,
        };
        if watched.health() == Health::Suspect {
            watched.refuse_the_impatient();
        }
        if !wait(&watched, &mut ping_pong, until.since(now)).await {
            return;
        }
    }
}

/// Waits for a pong, a change, or the end of `within`; false when the connection ended.
async fn wait(watched: &Watched, ping_pong: &mut PingPong, within: Span) -> bool {
    let changed = Box::pin(watched.changed.1.recv());
    let ponged = std::future::poll_fn(|cx| ping_pong.poll_pong(cx));
    let happened = timeout(within.as_duration(), select(ponged, changed)).await;
    match happened {
        Ok(Either::Left((Ok(_), _))) => watched.pong(),
        Ok(Either::Left((Err(_), _))) => return false,
        Ok(Either::Right(_)) | Err(_) => {}
    }
    true
}
