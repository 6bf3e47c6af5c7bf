//! Connections to other instances: kept, authenticated once, and given up when a
//! reply does not come in time, because a connection can go silent for good.

use std::net::SocketAddr;

use async_std::future::timeout;
use async_std::net::TcpStream;
use h2::RecvStream;
use h2::client::{self, SendRequest};
use http::{Request, StatusCode};
use indexmap::IndexMap;
use serde::Serialize;
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::peer_auth::{self, Side, Transcript};
use super::peer_wire::{
    self, AskWire, ChallengeWire, HelloWire, MOST_HELLO_BYTES, MOST_MESSAGE_BYTES, PROTOCOL,
    PeerWireError, ProofWire, ToldWire,
};
use crate::process::{Ask, Rank, Ranked, Told};
use crate::types::{InstanceName, PeerKey, Span};

pub(super) const HELLO_PATH: &str = "/peer/hello";
pub(super) const PROOF_PATH: &str = "/peer/proof";
pub(super) const ASK_PATH: &str = "/peer/ask";
const MOST_OPEN: usize = 16;

/// Why a peer did not reply.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum PeerError {
    /// No connection could be made.
    #[error("could not connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] h2::Error),
    /// A message could not be read or written.
    #[error(transparent)]
    Wire(#[from] PeerWireError),
    /// The peer refused the request.
    #[error("the peer refused with status {0}")]
    Refused(StatusCode),
    /// The peer does not have any of this instance's keys.
    #[error("the peer did not prove that it has a key")]
    Unproved,
    /// The reply did not come in time.
    #[error("no reply in time")]
    Silent,
}

/// The connections of one instance to others.
#[derive(Debug)]
pub(crate) struct Peers {
    name: InstanceName,
    keys: Vec<PeerKey>,
    open: Ranked<IndexMap<SocketAddr, SendRequest<Bytes>>>,
}

impl Peers {
    pub(crate) fn new(name: InstanceName, keys: Vec<PeerKey>) -> Self {
        Self {
            name,
            keys,
            open: Ranked::new(Rank::Peers, IndexMap::new()),
        }
    }

    /// Asks the instance at `addr` and waits for its reply, at most `within`.
    pub(crate) async fn ask(
        &self,
        addr: SocketAddr,
        ask: &Ask,
        within: Span,
    ) -> Result<Told, PeerError> {
        let asked = timeout(within.as_duration(), self.try_ask(addr, ask)).await;
        let told = asked.unwrap_or(Err(PeerError::Silent));
        if told.is_err() {
            self.open.lock().swap_remove(&addr);
        }
        told
    }

    async fn try_ask(&self, addr: SocketAddr, ask: &Ask) -> Result<Told, PeerError> {
        let kept = self.open.lock().get(&addr).cloned();
        let sender = match kept {
            Some(sender) => sender,
            None => self.connect(addr).await?,
        };
        let body = call(&sender, ASK_PATH, &AskWire::from(ask), MOST_MESSAGE_BYTES).await?;
        let wire: ToldWire = peer_wire::decode::<_, MOST_MESSAGE_BYTES>(&body)?;
        Ok(wire.try_into()?)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = client::handshake(stream.compat()).await?;
        async_std::task::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %addr, "a connection to an instance ended");
            }
        });
        self.authenticate(&sender).await?;
        let mut open = self.open.lock();
        if open.len() >= MOST_OPEN {
            open.shift_remove_index(0);
        }
        open.insert(addr, sender.clone());
        Ok(sender)
    }

    async fn authenticate(&self, sender: &SendRequest<Bytes>) -> Result<(), PeerError> {
        let hello = HelloWire {
            version: PROTOCOL,
            name: self.name.to_string(),
            nonce: peer_auth::nonce(),
        };
        let body = call(sender, HELLO_PATH, &hello, MOST_HELLO_BYTES).await?;
        peer_wire::version(&body)?;
        let challenge: ChallengeWire = peer_wire::decode::<_, MOST_HELLO_BYTES>(&body)?;
        let transcript = Transcript {
            name: hello.name,
            client: hello.nonce,
            server: challenge.nonce,
        };
        let key = challenge
            .proofs
            .iter()
            .find_map(|proof| peer_auth::key_of(&self.keys, Side::Server, &transcript, proof))
            .ok_or(PeerError::Unproved)?;
        let proof = peer_auth::prove(key, Side::Client, &transcript);
        call(sender, PROOF_PATH, &ProofWire { proof }, MOST_HELLO_BYTES).await?;
        Ok(())
    }
}

async fn call(
    sender: &SendRequest<Bytes>,
    path: &str,
    message: &impl Serialize,
    most: usize,
) -> Result<Vec<u8>, PeerError> {
    let body = peer_wire::encode(message)?;
    let mut sender = sender.clone().ready().await?;
    let req = Request::post(format!("http://peer{path}"))
        .body(())
        .map_err(|_| PeerError::Unproved)?;
    let (res, mut stream) = sender.send_request(req, false)?;
    stream.send_data(Bytes::from(body), true)?;
    let res = res.await?;
    let (head, body) = res.into_parts();
    if head.status != StatusCode::OK {
        return Err(PeerError::Refused(head.status));
    }
    read(body, most)
        .await?
        .ok_or(PeerError::Refused(StatusCode::PAYLOAD_TOO_LARGE))
}

/// Reads a body whole, or nothing when it has more than `most` bytes.
pub(super) async fn read(mut body: RecvStream, most: usize) -> Result<Option<Vec<u8>>, h2::Error> {
    let mut buf = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > most {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len())?;
    }
    Ok(Some(buf))
}
