//! Connections to the platform that are kept between calls.
//!
//! A call that may be repeated goes over a kept connection and, when that turns out to
//! be dead or silent, once more over a new one. A write goes over a kept connection only
//! shortly after its last use, so that a dead one seldom leaves the write unsettled.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use tide::http::{Request, StatusCode};

use super::PlatformError;
use crate::process::{Rank, Ranked};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MOST_KEPT: usize = 8;
const MOST_REPLY_BYTES: u64 = 16 << 20;

/// A whole reply.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Vec<u8>,
}

/// The connections of one client.
#[derive(Debug)]
pub(super) struct Connections {
    addr: SocketAddr,
    kept: Ranked<Vec<Kept>>,
}

#[derive(Debug)]
struct Kept {
    stream: TcpStream,
    used: Instant,
}

impl Connections {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Ranked::new(Rank::PlatformConnections, Vec::new()),
        }
    }

    /// A connection that was used less than `idle` ago, the one used last first.
    pub(super) fn take(&self, idle: Duration) -> Option<TcpStream> {
        let mut kept = self.kept.lock();
        kept.retain(|kept| kept.used.elapsed() < idle);
        kept.pop().map(|kept| kept.stream)
    }

    /// A new connection.
    ///
    /// # Errors
    /// [`PlatformError::Unreachable`]: nothing was sent.
    pub(super) async fn open(&self) -> Result<TcpStream, PlatformError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr))
            .await
            .map_err(|_| PlatformError::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        Ok(stream)
    }

    /// Sends a request and reads the whole reply; the connection is kept when both were
    /// whole in time, and closed otherwise.
    ///
    /// # Errors
    /// [`PlatformError::Unsettled`] whenever the request may have arrived.
    pub(super) async fn exchange(
        &self,
        stream: TcpStream,
        req: Request,
        within: Duration,
    ) -> Result<Reply, PlatformError> {
        let reply = timeout(within, exchange(stream.clone(), req))
            .await
            .map_err(|_| PlatformError::Unsettled("no whole reply in time".to_owned()))??;
        self.keep(stream);
        Ok(reply)
    }

    fn keep(&self, stream: TcpStream) {
        let mut kept = self.kept.lock();
        if kept.len() == MOST_KEPT {
            kept.remove(0);
        }
        kept.push(Kept {
            stream,
            used: Instant::now(),
        });
    }
}

async fn exchange(stream: TcpStream, req: Request) -> Result<Reply, PlatformError> {
    let mut res = async_h1::connect(stream, req)
        .await
        .map_err(|error| PlatformError::Unsettled(error.to_string()))?;
    let mut body = Vec::new();
    let limited = res.take_body().take(MOST_REPLY_BYTES + 1);
    let mut limited = limited;
    limited
        .read_to_end(&mut body)
        .await
        .map_err(|error| PlatformError::Unsettled(error.to_string()))?;
    if body.len() as u64 > MOST_REPLY_BYTES {
        return Err(PlatformError::Protocol("the reply is too large".to_owned()));
    }
    Ok(Reply {
        status: res.status(),
        body,
    })
}
