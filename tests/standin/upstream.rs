//! An upstream that runs legs over HTTP/2, in slots, with a service time, and with
//! the faults that tests ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use futures::future::{AbortHandle, Abortable, Either, select};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{HeaderMap, Request};
use parking_lot::Mutex;
use tokio_util::bytes::Bytes;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use super::leg::run;

/// What an upstream does with a leg.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Runs it.
    #[default]
    Normal,
    /// Refuses it, saying that it did not run.
    Shed,
    /// Refuses it, saying that it is leaving.
    Draining,
    /// Says that it no longer holds the snapshot.
    SnapshotGone,
    /// Runs it and replies for another query.
    Mangle,
    /// Runs it and breaks every connection instead of replying.
    Crash,
    /// Takes it and never says anything more.
    Silent,
    /// Refuses the stream of it.
    Refuse,
    /// Runs it and ends the reply before its stated length.
    Truncate,
    /// Runs it and breaks off the reply.
    BreakOff,
    /// Runs it and replies with the ids of the leg before it.
    Crossed,
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviour {
    pub(crate) mode: Mode,
    /// How long a leg takes in its slot.
    pub(crate) service: Duration,
    /// How long a message takes each way.
    pub(crate) one_way: Duration,
    /// How long it takes to accept a connection, one after another.
    pub(crate) connect: Duration,
    /// Closes every connection as soon as it is made.
    pub(crate) lost: bool,
    /// How many connections it accepts at the same time; all when zero.
    pub(crate) connections: usize,
    /// How much longer each of the first legs takes, and how many they are.
    pub(crate) cold: (Duration, u32),
}

/// A running upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) behaviour: Mutex<Behaviour>,
    pub(super) slots: (Sender<()>, Receiver<()>),
    pub(super) connections: Mutex<Vec<Connection>>,
    pub(super) silent: Mutex<Vec<TcpStream>>,
    pub(super) accepted: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) resets: AtomicU64,
    pub(super) last_head: Mutex<HeaderMap>,
    pub(super) runs: Mutex<Vec<Vec<u8>>>,
}

#[derive(Debug)]
pub(super) struct Connection {
    abort: AbortHandle,
    stream: TcpStream,
    drain: Sender<()>,
    ended: Arc<AtomicBool>,
}

impl Upstream {
    /// Starts an upstream.
    pub(crate) async fn start(slots: usize, behaviour: Behaviour) -> Self {
        let (listener, addr) = super::net::listen().await;
        let inner = Arc::new(Inner {
            behaviour: Mutex::new(behaviour),
            slots: bounded(slots),
            connections: Mutex::default(),
            silent: Mutex::default(),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            resets: AtomicU64::new(0),
            last_head: Mutex::default(),
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&inner);
        async_std::task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.accept(stream).await;
            }
        });
        Self { addr, inner }
    }

    /// Changes how it behaves from now on.
    pub(crate) fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.inner.behaviour.lock());
    }

    /// Breaks every connection.
    pub(crate) fn cut(&self) {
        self.inner.cut();
    }

    /// Never says anything more on the connections that are open, nor closes them.
    pub(crate) fn silence(&self) {
        for connection in self.inner.connections.lock().drain(..) {
            connection.abort.abort();
            self.inner.silent.lock().push(connection.stream);
        }
    }

    /// Closes the connections that are open in good order.
    pub(crate) fn drain(&self) {
        for connection in self.inner.connections.lock().iter() {
            connection.drain.try_send(()).ok();
        }
    }

    /// How many connections are open, those that went silent included.
    pub(crate) fn open(&self) -> usize {
        self.inner.open() + self.inner.silent.lock().len()
    }

    /// How many connections it refused.
    pub(crate) fn refused(&self) -> u64 {
        self.inner.refused.load(Ordering::Relaxed)
    }

    /// How many legs were cancelled.
    pub(crate) fn resets(&self) -> u64 {
        self.inner.resets.load(Ordering::Relaxed)
    }

    /// The bodies of the legs that it ran, in order.
    pub(crate) fn runs(&self) -> Vec<Vec<u8>> {
        self.inner.runs.lock().clone()
    }

    /// How many connections it accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.inner.accepted.load(Ordering::Relaxed)
    }
}

impl Inner {
    async fn accept(self: &Arc<Self>, stream: TcpStream) {
        let behaviour = *self.behaviour.lock();
        async_std::task::sleep(behaviour.connect).await;
        if behaviour.lost {
            return;
        }
        if behaviour.connections > 0 && self.open() >= behaviour.connections {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let (abort, registration) = AbortHandle::new_pair();
        let (drain, draining) = bounded(1);
        let ended = Arc::new(AtomicBool::new(false));
        self.connections.lock().push(Connection {
            abort,
            stream: stream.clone(),
            drain,
            ended: Arc::clone(&ended),
        });
        let serving = serve(Arc::clone(self), stream, draining);
        async_std::task::spawn(async move {
            Abortable::new(serving, registration).await.ok();
            ended.store(true, Ordering::Release);
        });
    }

    fn open(&self) -> usize {
        let mut connections = self.connections.lock();
        connections.retain(|connection| !connection.ended.load(Ordering::Acquire));
        connections.len()
    }

    pub(super) fn cut(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.abort.abort();
        }
    }
}

async fn serve(inner: Arc<Inner>, stream: TcpStream, draining: Receiver<()>) {
    stream.set_nodelay(true).ok();
    let Ok(mut connection) = h2::server::handshake(stream.compat()).await else {
        return;
    };
    while let Some(next) = next(&mut connection, &draining).await {
        match next {
            Some((req, respond)) => {
                async_std::task::spawn(run(Arc::clone(&inner), req, respond));
            }
            None => connection.graceful_shutdown(),
        }
    }
}

type Leg = (Request<RecvStream>, SendResponse<Bytes>);

/// The next leg, or that the connection is to be drained.
async fn next(
    connection: &mut h2::server::Connection<Compat<TcpStream>, Bytes>,
    draining: &Receiver<()>,
) -> Option<Option<Leg>> {
    let drained = Box::pin(draining.recv());
    let accepted = Box::pin(connection.accept());
    match select(accepted, drained).await {
        Either::Left((accepted, _)) => Some(Some(accepted?.ok()?)),
        Either::Right(_) => Some(None),
    }
}
