//! How a simulated upstream processes one leg.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_std::channel::Receiver;
use futures::future::{Either, select};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Request, Response};
use tokio_util::bytes::Bytes;

use super::upstream::{Behaviour, Inner, Mode};

/// Receives a leg, runs it in a slot and replies as the current [`Mode`] says.
pub(super) async fn run(
    inner: Arc<Inner>,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let behaviour = *inner.behaviour.lock();
    async_std::task::sleep(behaviour.one_way).await;
    let (head, body) = req.into_parts();
    let Some(body) = read_body(body).await else {
        return;
    };
    let refused = match behaviour.mode {
        Mode::Shed => Some((503, "shed")),
        Mode::Draining => Some((503, "draining")),
        Mode::SnapshotGone => Some((410, "snapshot-gone")),
        Mode::RefuseStream => {
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        _ => None,
    };
    if let Some((status, reason)) = refused {
        let res = Response::builder()
            .status(status)
            .header("hw-reason", reason)
            .body(());
        respond
            .send_response(res.expect("a valid response"), true)
            .ok();
        return;
    }
    let cancelled = std::future::poll_fn(|cx| respond.poll_reset(cx));
    let work = Box::pin(run_in_slot(&inner, behaviour, &body));
    let outcome = select(work, Box::pin(cancelled)).await;
    if matches!(outcome, Either::Right(_)) {
        inner.resets.fetch_add(1, Ordering::Relaxed);
        return;
    }
    drop(outcome);
    match behaviour.mode {
        Mode::Crash => inner.cut(),
        Mode::Silent => std::future::pending().await,
        _ => {
            async_std::task::sleep(behaviour.one_way).await;
            let previous = std::mem::replace(&mut *inner.last_head.lock(), head.headers.clone());
            let is_crossed = behaviour.mode == Mode::PreviousIds && !previous.is_empty();
            let headers = if is_crossed { previous } else { head.headers };
            reply(&headers, behaviour.mode, respond);
        }
    }
}

/// Waits for a free slot, records the run and holds the slot for the service time.
async fn run_in_slot(inner: &Inner, behaviour: Behaviour, body: &[u8]) {
    inner.slots.0.send(()).await.ok();
    let permit = SlotPermit(&inner.slots.1);
    let run_number = {
        let mut runs = inner.runs.lock();
        runs.push(body.to_vec());
        runs.len()
    };
    let (extra, cold_legs) = behaviour.cold;
    if run_number <= cold_legs as usize {
        async_std::task::sleep(extra).await;
    }
    async_std::task::sleep(behaviour.service).await;
    drop(permit);
}

/// Frees its slot on drop, also when the leg is cancelled.
struct SlotPermit<'a>(&'a Receiver<()>);

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        self.0.try_recv().ok();
    }
}

async fn read_body(mut body: RecvStream) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        buf.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(buf)
}

fn reply(headers: &HeaderMap, mode: Mode, mut respond: SendResponse<Bytes>) {
    let mut res = Response::builder().status(200);
    for name in ["hw-query", "hw-leg", "hw-snapshot", "hw-range"] {
        if let Some(value) = headers.get(name) {
            res = res.header(name, value);
        }
    }
    if mode == Mode::WrongQueryId {
        let headers = res.headers_mut().expect("a valid response");
        headers.insert("hw-query", "0".parse().expect("a valid value"));
    }
    let range = headers
        .get("hw-range")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let body = serde_json::json!({ "hits": [format!("lot-{range}")] }).to_string();
    if mode == Mode::Truncate {
        res = res.header("content-length", body.len() + 1);
    }
    let Ok(mut stream) = respond.send_response(res.body(()).expect("a valid response"), false)
    else {
        return;
    };
    let is_complete = mode != Mode::ResetReply;
    stream.send_data(Bytes::from(body), is_complete).ok();
    if !is_complete {
        stream.send_reset(Reason::INTERNAL_ERROR);
    }
}
