//! Accepts other instances, lets in those that prove that they have a key, and
//! answers what they ask.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::future::BoxFuture;
use h2::RecvStream;
use h2::server::{self, SendResponse};
use http::{Request, Response, StatusCode};
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::peer::{self, ASK_PATH, HELLO_PATH, PROOF_PATH};
use super::peer_auth::{self, Side, Transcript};
use super::peer_wire::{
    self, AskWire, ChallengeWire, HelloWire, MOST_HELLO_BYTES, MOST_MESSAGE_BYTES, PROTOCOL,
    PeerWireError, ProofWire, ToldWire,
};
use crate::process::{Ask, Rank, Ranked, Told};
use crate::types::PeerKey;
use crate::types::Span;

const AUTHENTICATE_WITHIN: Span = Span::from_secs(5);
const IDLE: Span = Span::from_secs(60);
const MOST_STREAMS: u32 = 8;
const MOST_PROOFS: usize = 4;

/// An instance that others ask: an edge of the process.
pub(crate) trait Host: Send + Sync + 'static {
    /// The keys that others may prove that they have.
    fn peer_keys(&self) -> &[PeerKey];

    /// Notes that a connection was refused.
    fn refused(&self, status: StatusCode);

    /// Answers another instance.
    fn answer(&self, ask: Ask) -> BoxFuture<'_, Told>;
}

/// How far a connection has come.
#[derive(Clone, Debug)]
enum Stage {
    Fresh,
    Challenged(Transcript),
    Open,
    Closed,
}

type Connection = Arc<Ranked<Stage>>;
type Handled = Result<Vec<u8>, StatusCode>;

/// Accepts connections until the listener fails.
///
/// # Errors
/// When the listener cannot accept any more.
pub(crate) async fn accept(host: Arc<impl Host>, listener: TcpListener) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        async_std::task::spawn(serve(Arc::clone(&host), stream));
    }
}

async fn serve(host: Arc<impl Host>, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let handshake = server::Builder::new()
        .max_concurrent_streams(MOST_STREAMS)
        .handshake::<_, Bytes>(stream.compat());
    let Ok(Ok(mut connection)) = timeout(AUTHENTICATE_WITHIN.as_duration(), handshake).await else {
        return;
    };
    let stage = Connection::new(Ranked::new(Rank::Peers, Stage::Fresh));
    loop {
        let within = match *stage.lock() {
            Stage::Fresh | Stage::Challenged(_) => AUTHENTICATE_WITHIN,
            Stage::Open => IDLE,
            Stage::Closed => break,
        };
        let Ok(Some(Ok((req, respond)))) = timeout(within.as_duration(), connection.accept()).await
        else {
            break;
        };
        let handled = handle(Arc::clone(&host), Arc::clone(&stage), req, respond);
        async_std::task::spawn(handled);
    }
    connection.graceful_shutdown();
    let closed = std::future::poll_fn(|cx| connection.poll_closed(cx));
    timeout(AUTHENTICATE_WITHIN.as_duration(), closed)
        .await
        .ok();
}

async fn handle(
    host: Arc<impl Host>,
    stage: Connection,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (head, body) = req.into_parts();
    let opened = matches!(*stage.lock(), Stage::Open);
    let most = if opened {
        MOST_MESSAGE_BYTES
    } else {
        MOST_HELLO_BYTES
    };
    let handled = match peer::read(body, most).await {
        Ok(Some(body)) => match head.uri.path() {
            HELLO_PATH => hello(&*host, &stage, &body),
            PROOF_PATH => proof(&*host, &stage, &body),
            ASK_PATH if opened => ask(&*host, &body).await,
            ASK_PATH => Err(StatusCode::UNAUTHORIZED),
            _ => Err(StatusCode::NOT_FOUND),
        },
        Ok(None) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return,
    };
    if let Err(status) = handled {
        host.refused(status);
        *stage.lock() = Stage::Closed;
    }
    reply(handled, &mut respond);
}

fn reply(handled: Handled, respond: &mut SendResponse<Bytes>) {
    let (status, body) = match handled {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Vec::new()),
    };
    let mut res = Response::new(());
    *res.status_mut() = status;
    if let Ok(mut stream) = respond.send_response(res, false) {
        stream.send_data(Bytes::from(body), true).ok();
    }
}

fn hello(host: &impl Host, stage: &Connection, body: &[u8]) -> Handled {
    peer_wire::version(body).map_err(|error| status_of(&error))?;
    let hello: HelloWire =
        peer_wire::decode::<_, MOST_HELLO_BYTES>(body).map_err(|error| status_of(&error))?;
    let transcript = Transcript {
        name: hello.name,
        client: hello.nonce,
        server: peer_auth::nonce(),
    };
    let keys = host.peer_keys().iter().take(MOST_PROOFS);
    let challenge = ChallengeWire {
        version: PROTOCOL,
        nonce: transcript.server,
        proofs: keys
            .map(|key| peer_auth::prove(key, Side::Server, &transcript))
            .collect(),
    };
    *stage.lock() = Stage::Challenged(transcript);
    peer_wire::encode(&challenge).map_err(|error| status_of(&error))
}

fn proof(host: &impl Host, stage: &Connection, body: &[u8]) -> Handled {
    let wire: ProofWire =
        peer_wire::decode::<_, MOST_HELLO_BYTES>(body).map_err(|error| status_of(&error))?;
    let mut stage = stage.lock();
    let Stage::Challenged(transcript) = &*stage else {
        return Err(StatusCode::UNAUTHORIZED);
    };
    let keys = host.peer_keys();
    if peer_auth::key_of(keys, Side::Client, transcript, &wire.proof).is_none() {
        return Err(StatusCode::UNAUTHORIZED);
    }
    *stage = Stage::Open;
    Ok(Vec::new())
}

async fn ask(host: &impl Host, body: &[u8]) -> Handled {
    let wire: AskWire =
        peer_wire::decode::<_, MOST_MESSAGE_BYTES>(body).map_err(|error| status_of(&error))?;
    let ask = Ask::try_from(wire).map_err(|error| status_of(&error))?;
    let told = host.answer(ask).await;
    peer_wire::encode(&ToldWire::from(&told)).map_err(|error| status_of(&error))
}

fn status_of(error: &PeerWireError) -> StatusCode {
    match error {
        PeerWireError::Version(_) => StatusCode::UPGRADE_REQUIRED,
        PeerWireError::Encode(_) => StatusCode::INTERNAL_SERVER_ERROR,
        PeerWireError::Decode(_)
        | PeerWireError::Trailing(_)
        | PeerWireError::Value(_)
        | PeerWireError::Addr(_) => StatusCode::BAD_REQUEST,
    }
}
