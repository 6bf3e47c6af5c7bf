//! A simulated upstream that runs legs over HTTP/2, with a limited number of slots, a service
//! time and injectable faults.

use std::net::{Shutdown, SocketAddr};
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

/// How an upstream handles a leg.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Runs it and replies.
    #[default]
    Normal,
    /// Sheds it: replies 503 with a reason that means the leg was not run.
    Shed,
    /// Replies 503 because the upstream is draining.
    Draining,
    /// Replies 410 because it no longer holds the snapshot.
    SnapshotGone,
    /// Runs it and replies with the id of another query.
    WrongQueryId,
    /// Runs it and closes every connection instead of replying.
    Crash,
    /// Runs it and never replies.
    Silent,
    /// Resets its stream with `REFUSED_STREAM`.
    RefuseStream,
    /// Runs it and ends the reply before its `content-length`.
    Truncate,
    /// Runs it and resets the stream after the reply body.
    ResetReply,
    /// Runs it and replies with the ids of the previous leg.
    PreviousIds,
}

/// The configurable behaviour of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviour {
    pub(crate) mode: Mode,
    /// How long a leg occupies its slot.
    pub(crate) service: Duration,
    /// One-way network delay of a message.
    pub(crate) one_way: Duration,
    /// How long accepting a connection takes; connections are accepted one after another.
    pub(crate) connect: Duration,
    /// Closes every new connection immediately.
    pub(crate) closes_on_accept: bool,
    /// Maximum number of open connections; unlimited when zero.
    pub(crate) connections: usize,
    /// Additional service time of the first legs, and the number of these legs.
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
    /// A bounded channel used as a semaphore: a queued item is an occupied slot.
    pub(super) slots: (Sender<()>, Receiver<()>),
    pub(super) connections: Mutex<Vec<Connection>>,
    /// Silenced connections, kept open.
    pub(super) silent: Mutex<Vec<TcpStream>>,
    pub(super) accepted: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) resets: AtomicU64,
    /// Headers of the previous leg, for [`Mode::PreviousIds`].
    pub(super) last_head: Mutex<HeaderMap>,
    /// Bodies of the legs that were run.
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
        let acceptor = Arc::clone(&inner);
        async_std::task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                acceptor.accept(stream).await;
            }
        });
        Self { addr, inner }
    }

    /// Changes the behaviour from now on.
    pub(crate) fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.inner.behaviour.lock());
    }

    /// Closes every connection abruptly.
    pub(crate) fn cut(&self) {
        self.inner.cut();
    }

    /// Stops responding on every open connection without closing it.
    pub(crate) fn silence(&self) {
        for connection in self.inner.connections.lock().drain(..) {
            connection.abort.abort();
            self.inner.silent.lock().push(connection.stream);
        }
    }

    /// Shuts down every open connection gracefully.
    pub(crate) fn drain(&self) {
        for connection in self.inner.connections.lock().iter() {
            connection.drain.try_send(()).ok();
        }
    }

    /// Returns the number of open connections, silenced ones included.
    pub(crate) fn open(&self) -> usize {
        self.inner.open() + self.inner.silent.lock().len()
    }

    /// Returns the number of connections refused above the limit.
    pub(crate) fn refused(&self) -> u64 {
        self.inner.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of cancelled legs.
    pub(crate) fn resets(&self) -> u64 {
        self.inner.resets.load(Ordering::Relaxed)
    }

    /// Returns the bodies of the legs that were run, in order.
    pub(crate) fn runs(&self) -> Vec<Vec<u8>> {
        self.inner.runs.lock().clone()
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.inner.accepted.load(Ordering::Relaxed)
    }
}

impl Inner {
    async fn accept(self: &Arc<Self>, stream: TcpStream) {
        let behaviour = *self.behaviour.lock();
        async_std::task::sleep(behaviour.connect).await;
        if behaviour.closes_on_accept {
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
            // The task ends later than this returns, and must not send anything until then.
            connection.stream.shutdown(Shutdown::Both).ok();
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

type IncomingLeg = (Request<RecvStream>, SendResponse<Bytes>);

/// Waits for the next leg or a drain request.
///
/// Returns `None` when the connection ends and `Some(None)` for a drain request.
async fn next(
    connection: &mut h2::server::Connection<Compat<TcpStream>, Bytes>,
    draining: &Receiver<()>,
) -> Option<Option<IncomingLeg>> {
    let drained = Box::pin(draining.recv());
    let accepted = Box::pin(connection.accept());
    match select(accepted, drained).await {
        Either::Left((accepted, _)) => Some(Some(accepted?.ok()?)),
        Either::Right(_) => Some(None),
    }
}
