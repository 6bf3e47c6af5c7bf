//! An upstream that runs legs over HTTP/2, in slots, with a service time, and with
//! the faults that tests ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use futures::future::{AbortHandle, Abortable};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{HeaderMap, Request, Response};
use parking_lot::Mutex;
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

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
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviour {
    pub(crate) mode: Mode,
    /// How long a leg takes in its slot.
    pub(crate) service: Duration,
    /// How long a message takes each way.
    pub(crate) one_way: Duration,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    behaviour: Mutex<Behaviour>,
    slots: (Sender<()>, Receiver<()>),
    connections: Mutex<Vec<AbortHandle>>,
    accepted: AtomicU64,
    runs: Mutex<Vec<Vec<u8>>>,
}

impl Upstream {
    /// Starts an upstream.
    pub(crate) async fn start(slots: usize, behaviour: Behaviour) -> Self {
        let (listener, addr) = super::listen().await;
        let inner = Arc::new(Inner {
            behaviour: Mutex::new(behaviour),
            slots: bounded(slots),
            connections: Mutex::default(),
            accepted: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&inner);
        async_std::task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.accept(stream);
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
    fn accept(self: &Arc<Self>, stream: TcpStream) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let (abort, registration) = AbortHandle::new_pair();
        self.connections.lock().push(abort);
        let serving = serve(Arc::clone(self), stream);
        async_std::task::spawn(Abortable::new(serving, registration));
    }

    fn cut(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

async fn serve(inner: Arc<Inner>, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let Ok(mut connection) = h2::server::handshake(stream.compat()).await else {
        return;
    };
    while let Some(Ok((req, respond))) = connection.accept().await {
        async_std::task::spawn(run(Arc::clone(&inner), req, respond));
    }
}

async fn run(inner: Arc<Inner>, req: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let behaviour = *inner.behaviour.lock();
    async_std::task::sleep(behaviour.one_way).await;
    let (head, body) = req.into_parts();
    let Some(body) = read(body).await else {
        return;
    };
    let refused = match behaviour.mode {
        Mode::Shed => Some((503, "shed")),
        Mode::Draining => Some((503, "draining")),
        Mode::SnapshotGone => Some((410, "snapshot-gone")),
        Mode::Normal | Mode::Mangle | Mode::Crash | Mode::Silent => None,
    };
    if let Some((status, reason)) = refused {
        let res = Response::builder()
            .status(status)
            .header("hw-reason", reason)
            .body(());
        respond
            .send_response(res.expect("a valid response"), true)
            .ok();
        return;
    }
    let cancelled = std::future::poll_fn(|cx| respond.poll_reset(cx));
    let worked = Box::pin(work(&inner, behaviour, &body));
    let ended = futures::future::select(worked, Box::pin(cancelled)).await;
    if matches!(ended, futures::future::Either::Right(_)) {
        return;
    }
    drop(ended);
    match behaviour.mode {
        Mode::Crash => inner.cut(),
        Mode::Silent => std::future::pending().await,
        _ => {
            async_std::task::sleep(behaviour.one_way).await;
            reply(&head.headers, behaviour.mode, respond);
        }
    }
}

async fn work(inner: &Inner, behaviour: Behaviour, body: &[u8]) {
    inner.slots.0.send(()).await.ok();
    let slot = Slot(&inner.slots.1);
    inner.runs.lock().push(body.to_vec());
    async_std::task::sleep(behaviour.service).await;
    drop(slot);
}

struct Slot<'a>(&'a Receiver<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.try_recv().ok();
    }
}

async fn read(mut body: RecvStream) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        buf.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(buf)
}

fn reply(headers: &HeaderMap, mode: Mode, mut respond: SendResponse<Bytes>) {
    let mut res = Response::builder().status(200);
    for name in ["hw-query", "hw-leg", "hw-snapshot", "hw-range"] {
        if let Some(value) = headers.get(name) {
            res = res.header(name, value);
        }
    }
    if mode == Mode::Mangle {
        let headers = res.headers_mut().expect("a valid response");
        headers.insert("hw-query", "0".parse().expect("a valid value"));
    }
    let range = headers
        .get("hw-range")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let body = serde_json::json!({ "hits": [format!("lot-{range}")] }).to_string();
    let Ok(mut stream) = respond.send_response(res.body(()).expect("a valid response"), false)
    else {
        return;
    };
    stream.send_data(Bytes::from(body), true).ok();
}
