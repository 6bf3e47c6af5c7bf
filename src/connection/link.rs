//! Connections to upstreams.
//!
//! HTTP/2 is spoken because a cancelled leg then costs a frame and not a connection,
//! which takes an upstream milliseconds to make; see `docs/DESIGN.md`, "Links".

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::TcpStream;
use h2::client::SendRequest;
use h2::{Reason, client};
use indexmap::IndexMap;
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::leg_wire;
use crate::process::{Rank, Ranked};
use crate::request::{LegFailure, LegReply, LegRequest};
use crate::types::{Span, UpstreamName};

const CONNECT_TIMEOUT: Span = Span::from_secs(1);
const MOST_REPLY_BYTES: usize = 4 << 20;

/// The connections of one instance to all upstreams.
#[derive(Debug)]
pub(crate) struct Links {
    by_upstream: Ranked<IndexMap<UpstreamName, Arc<Link>>>,
}

/// The connection to one upstream, made when it is first needed.
#[derive(Debug)]
struct Link {
    addr: SocketAddr,
    sender: Ranked<Option<SendRequest<Bytes>>>,
    connecting: async_std::sync::Mutex<()>,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self {
            by_upstream: Ranked::new(Rank::Links, IndexMap::new()),
        }
    }

    /// Sends a leg and waits for its reply. Dropping the future cancels the leg.
    pub(crate) async fn call(&self, leg: LegRequest) -> Result<LegReply, LegFailure> {
        let link = self.link(&leg.upstream.name, leg.upstream.addr);
        let within = leg.time_left.as_duration();
        let called = timeout(within, link.call(&leg)).await;
        called.unwrap_or(Err(LegFailure::OutOfTime))
    }

    fn link(&self, name: &UpstreamName, addr: SocketAddr) -> Arc<Link> {
        let mut by_upstream = self.by_upstream.lock();
        let known = by_upstream.get(name).filter(|link| link.addr == addr);
        if let Some(link) = known {
            return Arc::clone(link);
        }
        let link = Arc::new(Link::new(addr));
        by_upstream.insert(name.clone(), Arc::clone(&link));
        link
    }
}

impl Link {
    fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            sender: Ranked::new(Rank::Link, None),
            connecting: async_std::sync::Mutex::new(()),
        }
    }

    async fn call(&self, leg: &LegRequest) -> Result<LegReply, LegFailure> {
        let mut sender = self.ready().await?;
        let req = leg_wire::request(leg).map_err(|_| LegFailure::Unreachable)?;
        let (res, mut body) = sender
            .send_request(req, false)
            .map_err(|_| LegFailure::Unreachable)?;
        body.send_data(Bytes::copy_from_slice(&leg.body), true)
            .map_err(|_| LegFailure::Lost)?;
        let res = res.await.map_err(|error| broken(&error))?;
        let (head, body) = res.into_parts();
        if let Some(failure) = leg_wire::failure(head.status, &head.headers) {
            return Err(failure);
        }
        let body = leg_wire::read_body(body, MOST_REPLY_BYTES).await?;
        leg_wire::reply(&head.headers, body)
    }

    /// A sender whose connection takes a request now.
    async fn ready(&self) -> Result<SendRequest<Bytes>, LegFailure> {
        if let Some(sender) = self.kept().await {
            return Ok(sender);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(sender) = self.kept().await {
            return Ok(sender);
        }
        let sender = connect(self.addr).await.ok_or(LegFailure::Unreachable)?;
        *self.sender.lock() = Some(sender.clone());
        sender.ready().await.map_err(|_| LegFailure::Unreachable)
    }

    async fn kept(&self) -> Option<SendRequest<Bytes>> {
        let sender = self.sender.lock().clone()?;
        sender.ready().await.ok()
    }
}

fn broken(error: &h2::Error) -> LegFailure {
    match error.reason() {
        Some(Reason::REFUSED_STREAM) => LegFailure::Shed,
        Some(Reason::CANCEL) => LegFailure::OutOfTime,
        _ => LegFailure::Lost,
    }
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Bytes>> {
    let stream = timeout(CONNECT_TIMEOUT.as_duration(), TcpStream::connect(addr))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = client::handshake(stream.compat()).await.ok()?;
    async_std::task::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, %addr, "a connection to an upstream ended");
        }
    });
    Some(sender)
}
