//! Callers' requests over HTTP/1.1.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::sleep;

use super::answer;
use super::payload::{self, DEADLINE, REQUEST_ID};
use super::tcp;
use crate::connection::{Hangup, HttpError, RequestHead, Wire};
use crate::error::{ErrorKind, Refusal};
use crate::process::{Answered, Engine, Node, RouteRequest};
use crate::types::{Fingerprint, QueryId, Span};
use crate::version::CallerLimits;

/// A caller reads the answer that its request was none before the connection closes.
const LINGER: Span = Span::from_millis(300);
const WRITE_TIMEOUT: Span = Span::from_secs(5);

/// A request and what it takes to answer it.
struct Incoming {
    head: RequestHead,
    body: Vec<u8>,
}

/// Accepts callers until the process ends.
pub(super) async fn accept(node: Arc<Node>, listener: TcpListener) {
    tcp::accept(listener, |stream| serve(Arc::clone(&node), stream)).await;
}

/// Serves a caller until either side closes.
async fn serve(node: Arc<Node>, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    loop {
        let limits = node.catalog().table.limits;
        if !is_due(&mut wire, limits).await {
            return;
        }
        let req = match read(&mut wire, limits).await {
            Ok(Some(req)) => req,
            Ok(None) => return,
            Err(refusal) => {
                let outgoing = answer::refused(&refusal, None);
                write(&mut wire, &outgoing.render(true)).await;
                sleep(LINGER.as_duration()).await;
                return;
            }
        };
        node.shutdown.lock().begin_request();
        let goes_on = exchange(&node, &mut wire, req).await;
        node.shutdown.lock().end_request();
        if !goes_on {
            return;
        }
    }
}

/// Waits for the first byte of a request; false when none comes in time.
async fn is_due(wire: &mut Wire, limits: CallerLimits) -> bool {
    let idle = limits.idle_timeout.as_duration();
    matches!(timeout(idle, wire.is_due()).await, Ok(Ok(true)))
}

async fn read(wire: &mut Wire, limits: CallerLimits) -> Result<Option<Incoming>, Refusal> {
    let within = limits.head_timeout.as_duration();
    let most = usize::try_from(limits.head.0).unwrap_or(usize::MAX);
    let head = match timeout(within, wire.request(most)).await {
        Ok(Ok(head)) => head,
        Ok(Err(HttpError::Closed | HttpError::Truncated | HttpError::Io(_))) => return Ok(None),
        Ok(Err(error)) => return Err(unreadable(&error)),
        Err(_) => return Err(slow()),
    };
    let framing = head.framing().map_err(|error| unreadable(&error))?;
    let most = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let within = Span(limits.head_timeout.0 * 2).as_duration();
    match timeout(within, wire.body(framing, most)).await {
        Ok(Ok(body)) => Ok(Some(Incoming { head, body })),
        Ok(Err(HttpError::Truncated | HttpError::Io(_))) => Ok(None),
        Ok(Err(error)) => Err(unreadable(&error)),
        Err(_) => Err(slow()),
    }
}

fn unreadable(error: &HttpError) -> Refusal {
    let kind = match error {
        HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
        HttpError::BodyTooLarge => ErrorKind::TooLarge,
        _ => ErrorKind::BadRequest,
    };
    Refusal::new(kind, error.to_string())
}

fn slow() -> Refusal {
    Refusal::new(ErrorKind::SlowCaller, "the request did not come in time")
}

/// Answers one request; false when the connection carries no other after it.
async fn exchange(node: &Arc<Node>, wire: &mut Wire, req: Incoming) -> bool {
    let began = node.clock.now();
    let id = req.head.fields.get(REQUEST_ID).map(str::to_owned);
    let hangup = Hangup::new(wire.stream().clone());
    let query = Engine::query_id();
    let outcome = match prepare(&req, query) {
        Ok(request) => node.answer(request, Box::pin(hangup.wait())).await,
        Err(refusal) => Err(refusal),
    };
    let took = node.clock.now().since(began);
    if is_noteworthy(&outcome)
        && let Some(left_out) = node.engine.may_log()
    {
        let id = id.as_deref().unwrap_or_default();
        let version = node.catalog().table.version;
        tracing::info!(id, %query, target = req.head.target, %version, %took, left_out, "{}", shown(&outcome));
    }
    let outgoing = match &outcome {
        Ok(answered) => answer::answered(answered, id.as_deref()),
        Err(refusal) => answer::refused(refusal, id.as_deref()),
    };
    let closes = req.head.closes() || node.shutdown.lock().closes_connections();
    write(wire, &outgoing.render(closes)).await && !closes
}

fn prepare(req: &Incoming, query: QueryId) -> Result<RouteRequest, Refusal> {
    let bad = |detail: &str| Refusal::new(ErrorKind::BadRequest, detail);
    let fields = &req.head.fields;
    let id = fields
        .get(REQUEST_ID)
        .ok_or_else(|| bad("the request has no id"))?;
    let host = fields
        .get("host")
        .ok_or_else(|| bad("the request names no host"))?;
    let time_left = fields
        .get(DEADLINE)
        .map(|text| text.trim().parse().map(Span::from_millis))
        .transpose()
        .map_err(|_| bad("the deadline is no number of milliseconds"))?;
    let path = req.head.target.split('?').next().unwrap_or_default();
    let body = payload::encode(&req.head, id, &req.body)
        .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
    Ok(RouteRequest {
        query,
        host: host.to_ascii_lowercase(),
        path: path.to_owned(),
        fingerprint: Fingerprint::of_request(&req.head.method, &req.head.target, &req.body),
        body,
        time_left,
    })
}

/// Whether a caller may ask later what became of its request.
fn is_noteworthy(outcome: &Result<Answered, Refusal>) -> bool {
    match outcome {
        Ok(Answered::Gathered { missing, .. }) => *missing > 0,
        Ok(Answered::Passed(part)) => !part.is_success(),
        Err(_) => true,
    }
}

fn shown(outcome: &Result<Answered, Refusal>) -> String {
    match outcome {
        Ok(Answered::Gathered { missing, .. }) => format!("answered without {missing} shards"),
        Ok(Answered::Passed(_)) => "passed an upstream's failure on".to_owned(),
        Err(refusal) => format!("refused: {refusal}"),
    }
}

async fn write(wire: &mut Wire, bytes: &[u8]) -> bool {
    matches!(
        timeout(WRITE_TIMEOUT.as_duration(), wire.write(bytes)).await,
        Ok(Ok(()))
    )
}
