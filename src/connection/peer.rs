//! Connections to other instances. They are kept open and authenticated once. A connection is
//! dropped after any failed request, also after a timeout, because a connection can become silent
//! permanently.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use h2::client::{self, SendRequest};
use http::{Request, StatusCode};
use indexmap::IndexMap;
use serde::Serialize;
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::MAX_HEADER_LIST_BYTES;
use super::peer_auth::{self, Side, Transcript};
use super::peer_body::{self, PeerBody, PeerBodyError};
use super::peer_wire::{
    self, ChallengeWire, HelloWire, MAX_HELLO_BYTES, MAX_MESSAGE_BYTES, PROTOCOL, PeerRequestWire,
    PeerResponseWire, PeerWireError, ProofWire,
};
use crate::process::{MemoryBudget, PeerRequest, PeerResponse, Rank, Ranked};
use crate::types::{ByteCount, InstanceName, PeerKey, Span};

pub(super) const HELLO_PATH: &str = "/peer/hello";
pub(super) const PROOF_PATH: &str = "/peer/proof";
pub(super) const REQUEST_PATH: &str = "/peer/ask";
const MAX_CONNECTIONS: usize = 16;
/// Bounds how long an instance that replies in tiny pieces can hold up a request.
const MAX_REPLY_TIME: Span = Span::from_secs(10);

/// Why a request to a peer failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum PeerError {
    /// The connection could not be opened.
    #[error("could not connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The HTTP/2 connection or stream failed.
    #[error("the connection failed: {0}")]
    Http2(#[from] h2::Error),
    /// The reply could not be read to its end.
    #[error("could not read the reply: {0}")]
    Body(#[from] PeerBodyError),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] PeerWireError),
    /// The peer refused the request.
    #[error("the peer refused the request with status {0}")]
    Refused(StatusCode),
    /// The peer did not prove that it has one of this instance's keys.
    #[error("the peer did not prove that it has a shared key")]
    Unauthenticated,
    /// The reply did not begin, or stopped arriving, for the length of the timeout. The number of
    /// bytes tells which.
    #[error("no reply, or no more of it, within the timeout; {0} bytes received")]
    Timeout(usize),
}

/// The connections of one instance to other instances.
#[derive(Debug)]
pub(crate) struct Peers {
    name: InstanceName,
    keys: Vec<PeerKey>,
    /// The memory for the messages of all other instances.
    memory: Arc<MemoryBudget>,
    connections: Ranked<IndexMap<SocketAddr, PeerConnection>>,
}

/// An authenticated connection to another instance.
#[derive(Clone, Debug)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    /// Whether the other instance has refused a request that only the version before refuses.
    is_older: bool,
}

impl Peers {
    /// Creates an instance's connections; the messages on them take at most `max_memory` together.
    pub(crate) fn new(name: InstanceName, keys: Vec<PeerKey>, max_memory: ByteCount) -> Self {
        Self {
            name,
            keys,
            memory: MemoryBudget::new(max_memory),
            connections: Ranked::new(Rank::Peers, IndexMap::new()),
        }
    }

    /// The memory for the messages of all other instances.
    pub(crate) fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Sends a request to the instance at `addr` and waits for its reply, up to `within` for its
    /// first bytes and for the next ones each time. On any failure the connection is dropped.
    pub(crate) async fn request(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        within: Span,
    ) -> Result<PeerResponse, PeerError> {
        let received = AtomicUsize::new(0);
        let trying = pin!(self.try_request(addr, request, &received));
        let response = while_progressing(trying, &received, within).await;
        if response.is_err() {
            self.connections.lock().swap_remove(&addr);
        }
        response
    }

    async fn try_request(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        received: &AtomicUsize,
    ) -> Result<PeerResponse, PeerError> {
        let existing = self.connections.lock().get(&addr).cloned();
        let connection = match existing {
            Some(connection) => connection,
            None => self.connect(addr, false).await?,
        };
        let mut wire = PeerRequestWire::from(request);
        if connection.is_older {
            wire = wire.without_eras();
        }
        let response = self.exchange(&connection, &wire, received).await;
        let is_refused = matches!(response, Err(PeerError::Refused(StatusCode::BAD_REQUEST)));
        if !is_refused || !matches!(wire, PeerRequestWire::FollowEras(..)) {
            return response;
        }
        // A refusal ends the connection.
        let connection = self.connect(addr, true).await?;
        self.exchange(&connection, &wire.without_eras(), received)
            .await
    }

    async fn exchange(
        &self,
        connection: &PeerConnection,
        wire: &PeerRequestWire,
        received: &AtomicUsize,
    ) -> Result<PeerResponse, PeerError> {
        let body = call(
            &connection.sender,
            REQUEST_PATH,
            wire,
            MAX_MESSAGE_BYTES,
            &self.memory,
            received,
        )
        .await?;
        let wire: PeerResponseWire = peer_wire::decode::<_, MAX_MESSAGE_BYTES>(&body.bytes)?;
        Ok(wire.try_into()?)
    }

    async fn connect(&self, addr: SocketAddr, is_older: bool) -> Result<PeerConnection, PeerError> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = client::Builder::new()
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .handshake(stream.compat())
            .await?;
        async_std::task::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %addr, "the connection to a peer instance failed");
            }
        });
        self.authenticate(&sender).await?;
        let mut connections = self.connections.lock();
        if connections.len() >= MAX_CONNECTIONS {
            connections.shift_remove_index(0);
        }
        let connection = PeerConnection { sender, is_older };
        connections.insert(addr, connection.clone());
        Ok(connection)
    }

    async fn authenticate(&self, sender: &SendRequest<Bytes>) -> Result<(), PeerError> {
        let hello = HelloWire {
            version: PROTOCOL,
            name: self.name.to_string(),
            nonce: peer_auth::nonce(),
        };
        let ignored = AtomicUsize::new(0);
        let memory = &self.memory;
        let hello_reply = call(
            sender,
            HELLO_PATH,
            &hello,
            MAX_HELLO_BYTES,
            memory,
            &ignored,
        )
        .await?;
        peer_wire::version(&hello_reply.bytes)?;
        let challenge: ChallengeWire = peer_wire::decode::<_, MAX_HELLO_BYTES>(&hello_reply.bytes)?;
        let transcript = Transcript {
            name: hello.name,
            client: hello.nonce,
            server: challenge.nonce,
        };
        let key = challenge
            .proofs
            .iter()
            .find_map(|proof| peer_auth::find_key(&self.keys, Side::Server, &transcript, proof))
            .ok_or(PeerError::Unauthenticated)?;
        let proof = peer_auth::prove(key, Side::Client, &transcript);
        let proof = ProofWire { proof };
        call(
            sender,
            PROOF_PATH,
            &proof,
            MAX_HELLO_BYTES,
            memory,
            &ignored,
        )
        .await?;
        Ok(())
    }
}

/// Waits for a reply as long as bytes of it arrive: a large one takes long over a slow link.
async fn while_progressing<T>(
    mut trying: Pin<&mut impl Future<Output = Result<T, PeerError>>>,
    received: &AtomicUsize,
    within: Span,
) -> Result<T, PeerError> {
    let began = Instant::now();
    let mut before = 0;
    loop {
        if let Ok(result) = timeout(within.as_duration(), trying.as_mut()).await {
            return result;
        }
        let now = received.load(Ordering::Relaxed);
        if now == before || began.elapsed() > MAX_REPLY_TIME.as_duration() {
            return Err(PeerError::Timeout(now));
        }
        before = now;
    }
}

/// Sends a message and reads the whole reply; `received` counts its bytes as they arrive.
async fn call(
    sender: &SendRequest<Bytes>,
    path: &str,
    message: &impl Serialize,
    max_bytes: usize,
    budget: &Arc<MemoryBudget>,
    received: &AtomicUsize,
) -> Result<PeerBody, PeerError> {
    let body = peer_wire::encode(message)?;
    let mut sender = sender.clone().ready().await?;
    let req = Request::post(format!("http://peer{path}"))
        .body(())
        .map_err(|_| PeerError::Unauthenticated)?;
    let (response, mut stream) = sender.send_request(req, false)?;
    stream.send_data(Bytes::from(body), true)?;
    let response = response.await?;
    let (head, body) = response.into_parts();
    if head.status != StatusCode::OK {
        return Err(PeerError::Refused(head.status));
    }
    Ok(peer_body::read(body, max_bytes, budget, received).await?)
}
