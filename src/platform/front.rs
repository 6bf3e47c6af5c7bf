//! The HTTP/1.1 front end for callers.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task::sleep;

use super::answer;
use super::payload::{self, DEADLINE, REQUEST_ID};
use crate::connection::{DisconnectWatch, Http1Conn, HttpError, RequestHead, serve_until};
use crate::error::{ErrorKind, Refusal};
use crate::process::{Engine, MemoryBudget, Node, RouteRequest, RouteResponse};
use crate::request::Body;
use crate::types::{Fingerprint, QueryId, Span};
use crate::version::CallerLimits;

/// Delay before the connection is closed after an invalid request, so that the caller can read
/// the refusal.
const LINGER: Span = Span::from_millis(300);
const WRITE_TIMEOUT: Span = Span::from_secs(5);

/// A caller's request, completely read.
struct CallerRequest {
    head: RequestHead,
    body: Body,
}

/// Accepts callers' connections until `stopped` completes.
pub(super) async fn accept(
    node: Arc<Node>,
    listener: TcpListener,
    memory: Arc<MemoryBudget>,
    stopped: impl Future<Output = ()>,
) {
    let serve = |stream| serve(Arc::clone(&node), Http1Conn::with_budget(stream, &memory));
    serve_until(listener, stopped, serve).await;
}

/// Serves one connection until either side closes it.
async fn serve(node: Arc<Node>, mut conn: Http1Conn) {
    loop {
        let limits = node.catalog().table.limits;
        if !wait_for_request(&mut conn, limits).await {
            return;
        }
        node.shutdown.lock().begin_request();
        let keeps_open = serve_request(&node, &mut conn, limits).await;
        node.shutdown.lock().end_request();
        if !keeps_open {
            return;
        }
    }
}

/// Reads and answers one request; returns whether the connection can serve another.
async fn serve_request(node: &Arc<Node>, conn: &mut Http1Conn, limits: CallerLimits) -> bool {
    match read(conn, limits).await {
        Ok(Some(req)) => handle(node, conn, req).await,
        Ok(None) => false,
        Err(refusal) => {
            conn.clear();
            let response = answer::refusal_response(&refusal, None);
            write(conn, &response.render(true)).await;
            sleep(LINGER.as_duration()).await;
            false
        }
    }
}

/// Waits for the first byte of a request; returns false if none arrives within the idle timeout.
async fn wait_for_request(conn: &mut Http1Conn, limits: CallerLimits) -> bool {
    let idle = limits.idle_timeout.as_duration();
    matches!(timeout(idle, conn.wait_for_data()).await, Ok(Ok(true)))
}

/// Reads one request; returns `None` if the connection ends or fails first.
async fn read(
    conn: &mut Http1Conn,
    limits: CallerLimits,
) -> Result<Option<CallerRequest>, Refusal> {
    let head_timeout = limits.head_timeout.as_duration();
    let max_head = usize::try_from(limits.max_head.0).unwrap_or(usize::MAX);
    let head = match timeout(head_timeout, conn.request(max_head)).await {
        Ok(Ok(head)) => head,
        Ok(Err(HttpError::Closed | HttpError::Truncated | HttpError::Io(_))) => return Ok(None),
        Ok(Err(error)) => return Err(unreadable(&error)),
        Err(_) => return Err(slow_caller()),
    };
    let framing = head.framing().map_err(|error| unreadable(&error))?;
    let max_body = usize::try_from(limits.max_body.0).unwrap_or(usize::MAX);
    let body_timeout = Span(limits.head_timeout.0 * 2).as_duration();
    match timeout(body_timeout, conn.body(framing, max_body)).await {
        Ok(Ok(body)) => Ok(Some(CallerRequest { head, body })),
        Ok(Err(HttpError::Truncated | HttpError::Io(_))) => Ok(None),
        Ok(Err(error)) => Err(unreadable(&error)),
        Err(_) => Err(slow_caller()),
    }
}

fn unreadable(error: &HttpError) -> Refusal {
    let kind = match error {
        HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
        HttpError::BodyTooLarge => ErrorKind::TooLarge,
        HttpError::OutOfMemory => ErrorKind::Overloaded,
        _ => ErrorKind::BadRequest,
    };
    Refusal::new(kind, error.to_string())
}

fn slow_caller() -> Refusal {
    Refusal::new(
        ErrorKind::SlowCaller,
        "the request was not received in time",
    )
}

/// Answers one request; returns whether the connection can serve another.
async fn handle(node: &Arc<Node>, conn: &mut Http1Conn, req: CallerRequest) -> bool {
    let began = node.clock.now();
    let CallerRequest { head, body } = req;
    let id = head.fields.get(REQUEST_ID).map(str::to_owned);
    let disconnect_watch = DisconnectWatch::new(conn.stream().clone());
    let query = Engine::query_id();
    let prepared = prepare(&head, &body, query);
    // The legs carry the body in a form of their own, for which its memory stays reserved.
    let _memory = body.into_memory();
    let outcome = match prepared {
        Ok(request) => {
            node.answer(request, Box::pin(disconnect_watch.wait()))
                .await
        }
        Err(refusal) => Err(refusal),
    };
    let took = node.clock.now().since(began);
    if should_log(&outcome)
        && let Some(suppressed) = node.engine.may_log()
    {
        let id = id.as_deref().unwrap_or_default();
        let version = node.catalog().table.version;
        tracing::info!(id, %query, target = head.target, %version, %took, left_out = suppressed, "{}", describe(&outcome));
    }
    let response = match outcome {
        Ok(answer) => answer::answer_response(answer, id.as_deref()),
        Err(refusal) => answer::refusal_response(&refusal, id.as_deref()),
    };
    let closes = head.closes() || node.shutdown.lock().closes_connections();
    let text = if head.method == "HEAD" {
        response.render_head(closes)
    } else {
        response.render(closes)
    };
    write(conn, &text).await && !closes
}

fn prepare(head: &RequestHead, body: &[u8], query: QueryId) -> Result<RouteRequest, Refusal> {
    let bad = |detail: &str| Refusal::new(ErrorKind::BadRequest, detail);
    let fields = &head.fields;
    let id = fields
        .get(REQUEST_ID)
        .ok_or_else(|| bad("the request has no Request-Id header"))?;
    let host = fields
        .get("host")
        .ok_or_else(|| bad("the request has no Host header"))?;
    let time_left = fields
        .get(DEADLINE)
        .map(|text| text.trim().parse().map(Span::from_millis))
        .transpose()
        .map_err(|_| bad("Deadline-Ms is not a number of milliseconds"))?;
    let path = head.target.split('?').next().unwrap_or_default();
    let payload = payload::encode(head, id, body)
        .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
    let host = host.to_ascii_lowercase();
    Ok(RouteRequest {
        query,
        fingerprint: Fingerprint::of_request(&head.method, &host, &head.target, body),
        host,
        path: path.to_owned(),
        body: payload,
        time_left,
    })
}

/// Whether the outcome is logged: callers may inquire later about requests that failed or were
/// answered in part.
fn should_log(outcome: &Result<RouteResponse, Refusal>) -> bool {
    match outcome {
        Ok(RouteResponse::Gathered { missing, .. }) => *missing > 0,
        Ok(RouteResponse::Passed(part)) => !part.is_success(),
        Err(_) => true,
    }
}

fn describe(outcome: &Result<RouteResponse, Refusal>) -> String {
    match outcome {
        Ok(RouteResponse::Gathered { missing, .. }) => format!("answered without {missing} shards"),
        Ok(RouteResponse::Passed(_)) => "passed an upstream's failure on".to_owned(),
        Err(refusal) => format!("refused: {refusal}"),
    }
}

async fn write(conn: &mut Http1Conn, bytes: &[u8]) -> bool {
    matches!(
        timeout(WRITE_TIMEOUT.as_duration(), conn.write(bytes)).await,
        Ok(Ok(()))
    )
}

#[cfg(test)]
#[path = "front_tests.rs"]
mod front_tests;
