//! Where callers ask for addresses, the platform whether they may come, and operators for
//! metrics.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use percent_encoding::percent_decode_str;
use serde::Serialize;

use super::answer::Outgoing;
use super::tcp;
use crate::connection::Wire;
use crate::process::{Near, Node};
use crate::types::Span;

const RESOLVE: &str = "/api/resolve";
const READY: &str = "/api/readiness";
const METRICS: &str = "/metrics";
/// How long callers keep an answer, in seconds: short, since an instance that dies stays
/// in the answers they hold.
const KEEP_SECS: u32 = 2;
const MOST_HEAD: usize = 8 << 10;
/// A caller gives up after a second; the platform asks once a second on one connection.
const IDLE: Span = Span::from_secs(10);

#[derive(Debug)]
#[derive(Serialize)]
struct AddressesWire {
    addrs: Vec<String>,
    ttl_s: u32,
}

/// Accepts questions until the process ends.
pub(super) async fn accept(node: Arc<Node>, listener: TcpListener) {
    tcp::accept(listener, |stream| serve(Arc::clone(&node), stream)).await;
}

async fn serve(node: Arc<Node>, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    loop {
        let Ok(Ok(req)) = timeout(IDLE.as_duration(), wire.request(MOST_HEAD)).await else {
            return;
        };
        let closes = req.closes() || req.states_body();
        let text = answer(&node, &req.target).render(closes);
        if wire.write(&text).await.is_err() || closes {
            return;
        }
    }
}

fn answer(node: &Node, target: &str) -> Outgoing {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match path {
        READY if node.is_ready() => Outgoing::json(200, "{}".to_owned()),
        READY => Outgoing::json(503, "{}".to_owned()),
        RESOLVE => resolve(node, query),
        METRICS => metrics(node),
        _ => Outgoing::json(404, "{}".to_owned()),
    }
}

fn resolve(node: &Node, query: &str) -> Outgoing {
    let caller = Near {
        failure_domain: param(query, "zone").and_then(|text| text.parse().ok()),
        region: param(query, "region").and_then(|text| text.parse().ok()),
    };
    let addrs = node.addresses(&caller);
    if addrs.is_empty() {
        return Outgoing::json(503, "{}".to_owned());
    }
    let wire = AddressesWire {
        addrs: addrs.iter().map(ToString::to_string).collect(),
        ttl_s: KEEP_SECS,
    };
    match serde_json::to_string(&wire) {
        Ok(body) => Outgoing::json(200, body),
        Err(error) => {
            tracing::error!(%error, "could not write addresses");
            Outgoing::json(500, "{}".to_owned())
        }
    }
}

fn metrics(node: &Node) -> Outgoing {
    match node.engine.metrics.render() {
        Ok(text) => Outgoing::text(200, text),
        Err(error) => {
            tracing::error!(%error, "could not write the metrics");
            Outgoing::text(500, String::new())
        }
    }
}

fn param(query: &str, name: &str) -> Option<String> {
    let mut params = query.split('&').filter_map(|param| param.split_once('='));
    let (_, value) = params.find(|(known, _)| *known == name)?;
    percent_decode_str(value)
        .decode_utf8()
        .ok()
        .map(std::borrow::Cow::into_owned)
}
