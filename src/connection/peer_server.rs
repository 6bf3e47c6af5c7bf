//! Accepts connections from other instances, authenticates them by a shared key, and answers
//! their requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::future::BoxFuture;
use h2::RecvStream;
use h2::server::{self, SendResponse};
use http::{Request, Response, StatusCode};
use tokio_util::bytes::Bytes;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::MAX_HEADER_LIST_BYTES;
use super::listener::serve_each;
use super::peer::{HELLO_PATH, PROOF_PATH, REQUEST_PATH};
use super::peer_auth::{self, Side, Transcript};
use super::peer_body::{self, PeerBodyError};
use super::peer_wire::{
    self, ChallengeWire, HelloWire, MAX_HELLO_BYTES, MAX_MESSAGE_BYTES, PROTOCOL, PeerRequestWire,
    PeerResponseWire, PeerWireError, ProofWire,
};
use crate::process::{MemoryBudget, PeerRequest, PeerResponse, Rank, Ranked};
use crate::types::PeerKey;
use crate::types::Span;

const AUTHENTICATION_TIMEOUT: Span = Span::from_secs(5);
const IDLE_TIMEOUT: Span = Span::from_secs(60);
const MAX_STREAMS: u32 = 8;
const MAX_PROOFS: usize = 4;

/// Handles the requests of other instances; implemented by `Instance` and `Node`.
pub(crate) trait PeerRequestHandler: Send + Sync + 'static {
    /// The keys by which other instances may authenticate.
    fn peer_keys(&self) -> &[PeerKey];

    /// The memory for the messages of all other instances.
    fn memory(&self) -> &Arc<MemoryBudget>;

    /// Records that a request was refused and its connection is being closed.
    fn refused(&self, status: StatusCode);

    /// Answers a request from another instance.
    fn answer(&self, request: PeerRequest) -> BoxFuture<'_, PeerResponse>;
}

/// The authentication state of a connection.
#[derive(Clone, Debug)]
enum AuthState {
    New,
    Challenged(Transcript),
    Authenticated,
    Closed,
}

type SharedAuthState = Arc<Ranked<AuthState>>;
type HandlerResult = Result<Vec<u8>, StatusCode>;

/// Accepts connections until the process ends.
pub(crate) async fn accept(handler: Arc<impl PeerRequestHandler>, listener: TcpListener) {
    serve_each(listener, |stream| serve(Arc::clone(&handler), stream)).await;
}

async fn serve(handler: Arc<impl PeerRequestHandler>, stream: TcpStream) {
    let handshake = server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .handshake::<_, Bytes>(stream.compat());
    let Ok(Ok(mut connection)) = timeout(AUTHENTICATION_TIMEOUT.as_duration(), handshake).await
    else {
        return;
    };
    let auth_state = SharedAuthState::new(Ranked::new(Rank::Peers, AuthState::New));
    loop {
        let within = match *auth_state.lock() {
            AuthState::New | AuthState::Challenged(_) => AUTHENTICATION_TIMEOUT,
            AuthState::Authenticated => IDLE_TIMEOUT,
            AuthState::Closed => break,
        };
        let Ok(Some(Ok((req, respond)))) = timeout(within.as_duration(), connection.accept()).await
        else {
            break;
        };
        let handling = handle(Arc::clone(&handler), Arc::clone(&auth_state), req, respond);
        async_std::task::spawn(handling);
    }
    connection.graceful_shutdown();
    let closed = std::future::poll_fn(|cx| connection.poll_closed(cx));
    timeout(AUTHENTICATION_TIMEOUT.as_duration(), closed)
        .await
        .ok();
}

async fn handle(
    handler: Arc<impl PeerRequestHandler>,
    auth_state: SharedAuthState,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (head, body) = req.into_parts();
    let authenticated = matches!(*auth_state.lock(), AuthState::Authenticated);
    let max_bytes = if authenticated {
        MAX_MESSAGE_BYTES
    } else {
        MAX_HELLO_BYTES
    };
    let ignored = AtomicUsize::new(0);
    let result = match peer_body::read(body, max_bytes, handler.memory(), &ignored).await {
        Ok(body) => match head.uri.path() {
            HELLO_PATH => handle_hello(&*handler, &auth_state, &body.bytes),
            PROOF_PATH => handle_proof(&*handler, &auth_state, &body.bytes),
            REQUEST_PATH if authenticated => handle_request(&*handler, &body.bytes).await,
            REQUEST_PATH => Err(StatusCode::UNAUTHORIZED),
            _ => Err(StatusCode::NOT_FOUND),
        },
        Err(PeerBodyError::TooLarge) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(PeerBodyError::OutOfMemory) => Err(StatusCode::SERVICE_UNAVAILABLE),
        Err(PeerBodyError::Http2(_)) => return,
    };
    if let Err(status) = result {
        handler.refused(status);
        *auth_state.lock() = AuthState::Closed;
    }
    reply(result, &mut respond);
}

fn reply(result: HandlerResult, respond: &mut SendResponse<Bytes>) {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Vec::new()),
    };
    let mut res = Response::new(());
    *res.status_mut() = status;
    if let Ok(mut stream) = respond.send_response(res, false) {
        stream.send_data(Bytes::from(body), true).ok();
    }
}

fn handle_hello(
    handler: &impl PeerRequestHandler,
    auth_state: &SharedAuthState,
    body: &[u8],
) -> HandlerResult {
    peer_wire::version(body).map_err(|error| status_of(&error))?;
    let hello: HelloWire =
        peer_wire::decode::<_, MAX_HELLO_BYTES>(body).map_err(|error| status_of(&error))?;
    let transcript = Transcript {
        name: hello.name,
        client: hello.nonce,
        server: peer_auth::nonce(),
    };
    let keys = handler.peer_keys().iter().take(MAX_PROOFS);
    let challenge = ChallengeWire {
        version: PROTOCOL,
        nonce: transcript.server,
        proofs: keys
            .map(|key| peer_auth::prove(key, Side::Server, &transcript))
            .collect(),
    };
    *auth_state.lock() = AuthState::Challenged(transcript);
    peer_wire::encode(&challenge).map_err(|error| status_of(&error))
}

fn handle_proof(
    handler: &impl PeerRequestHandler,
    auth_state: &SharedAuthState,
    body: &[u8],
) -> HandlerResult {
    let wire: ProofWire =
        peer_wire::decode::<_, MAX_HELLO_BYTES>(body).map_err(|error| status_of(&error))?;
    let mut auth_state = auth_state.lock();
    let AuthState::Challenged(transcript) = &*auth_state else {
        return Err(StatusCode::UNAUTHORIZED);
    };
    let keys = handler.peer_keys();
    if peer_auth::find_key(keys, Side::Client, transcript, &wire.proof).is_none() {
        return Err(StatusCode::UNAUTHORIZED);
    }
    *auth_state = AuthState::Authenticated;
    Ok(Vec::new())
}

async fn handle_request(handler: &impl PeerRequestHandler, body: &[u8]) -> HandlerResult {
    let wire: PeerRequestWire =
        peer_wire::decode::<_, MAX_MESSAGE_BYTES>(body).map_err(|error| status_of(&error))?;
    let request = PeerRequest::try_from(wire).map_err(|error| status_of(&error))?;
    let response = handler.answer(request).await;
    peer_wire::encode(&PeerResponseWire::from(&response)).map_err(|error| status_of(&error))
}

fn status_of(error: &PeerWireError) -> StatusCode {
    match error {
        PeerWireError::Version(_) => StatusCode::UPGRADE_REQUIRED,
        PeerWireError::Encode(_) => StatusCode::INTERNAL_SERVER_ERROR,
        PeerWireError::Decode(_)
        | PeerWireError::Trailing(_)
        | PeerWireError::Value(_)
        | PeerWireError::Addr(_)
        | PeerWireError::OlderVersion => StatusCode::BAD_REQUEST,
    }
}
