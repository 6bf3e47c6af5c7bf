//! The HTTP endpoints that serve instance addresses to callers, readiness to the platform and
//! metrics to operators.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::TcpListener;
use percent_encoding::percent_decode_str;
use serde::Serialize;

use super::answer::Response;
use crate::connection::{Http1Conn, serve_each};
use crate::process::{CallerLocation, MemoryBudget, Node};
use crate::types::Span;

const RESOLVE_PATH: &str = "/api/resolve";
const READY_PATH: &str = "/api/readiness";
const METRICS_PATH: &str = "/metrics";
/// How long callers cache an answer, in seconds: short, since an instance that dies stays in the
/// cached answers.
const ADDRESS_TTL_SECS: u32 = 2;
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Idle time after which a connection is closed. Callers time out after a second, and the
/// platform sends a request every second over one connection.
const IDLE_TIMEOUT: Span = Span::from_secs(10);

#[derive(Debug)]
#[derive(Serialize)]
struct AddressesWire {
    addrs: Vec<String>,
    ttl_s: u32,
}

/// Accepts connections until the process ends.
pub(super) async fn accept(node: Arc<Node>, listener: TcpListener, memory: Arc<MemoryBudget>) {
    let serve = |stream| serve(Arc::clone(&node), Http1Conn::with_budget(stream, &memory));
    serve_each(listener, serve).await;
}

async fn serve(node: Arc<Node>, mut conn: Http1Conn) {
    loop {
        let Ok(Ok(req)) = timeout(IDLE_TIMEOUT.as_duration(), conn.request(MAX_HEAD_BYTES)).await
        else {
            return;
        };
        let closes = req.closes() || req.states_body_length();
        let response = respond(&node, &req.target).render(closes);
        if conn.write(&response).await.is_err() || closes {
            return;
        }
    }
}

fn respond(node: &Node, target: &str) -> Response {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match path {
        READY_PATH if node.is_ready() => Response::json(200, "{}".to_owned()),
        READY_PATH => Response::json(503, "{}".to_owned()),
        RESOLVE_PATH => resolve(node, query),
        METRICS_PATH => metrics(node),
        _ => Response::json(404, "{}".to_owned()),
    }
}

fn resolve(node: &Node, query: &str) -> Response {
    let caller = CallerLocation {
        failure_domain: param(query, "zone").and_then(|text| text.parse().ok()),
        region: param(query, "region").and_then(|text| text.parse().ok()),
    };
    let addrs = node.addresses(&caller);
    if addrs.is_empty() {
        return Response::json(503, "{}".to_owned());
    }
    let wire = AddressesWire {
        addrs: addrs.iter().map(ToString::to_string).collect(),
        ttl_s: ADDRESS_TTL_SECS,
    };
    match serde_json::to_string(&wire) {
        Ok(body) => Response::json(200, body),
        Err(error) => {
            tracing::error!(%error, "could not serialize the addresses");
            Response::json(500, "{}".to_owned())
        }
    }
}

fn metrics(node: &Node) -> Response {
    match node.engine.metrics.render() {
        Ok(text) => Response::text(200, text),
        Err(error) => {
            tracing::error!(%error, "could not render the metrics");
            Response::text(500, String::new())
        }
    }
}

fn param(query: &str, name: &str) -> Option<String> {
    let mut params = query.split('&').filter_map(|param| param.split_once('='));
    let (_, value) = params.find(|(key, _)| *key == name)?;
    percent_decode_str(value)
        .decode_utf8()
        .ok()
        .map(std::borrow::Cow::into_owned)
}
