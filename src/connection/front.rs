//! Accepts the connections of callers and operators and routes their HTTP requests.

use std::sync::Arc;

use async_std::net::TcpListener;

use super::caller::{self, ConnectionLimiter};
use super::{address_api, operator_api, query_api};
use crate::process::Instance;
use crate::types::Span;

/// `accept` returns the error after this many consecutive failures.
const MAX_CONSECUTIVE_ACCEPT_FAILURES: u32 = 1_000;
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);

/// The state passed to every request handler.
pub(super) type Cx = Arc<Instance>;

/// Accepts connections until the listener fails permanently. Transient failures, such as
/// a caller that disconnects early or a shortage of file descriptors, are retried.
///
/// # Errors
/// Returns the last error if the listener fails permanently.
pub(crate) async fn accept(instance: Cx, listener: TcpListener) -> std::io::Result<()> {
    let app = routes(instance);
    let limiter = ConnectionLimiter::default();
    let mut failures = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures = 0;
                async_std::task::spawn(caller::serve(app.clone(), limiter.clone(), stream));
            }
            Err(error) if failures >= MAX_CONSECUTIVE_ACCEPT_FAILURES => return Err(error),
            Err(error) => {
                failures += 1;
                tracing::debug!(%error, "could not accept a connection");
                async_std::task::sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
            }
        }
    }
}

fn routes(instance: Cx) -> tide::Server<Cx> {
    let mut app = tide::with_state(instance);
    app.at("/v1/classes/:class/query").post(query_api::post);
    app.at("/metrics").get(metrics);
    address_api::route(&mut app);
    operator_api::route(&mut app);
    app.with(tide::utils::After(query_api::add_error_body));
    app
}

async fn metrics(req: tide::Request<Cx>) -> tide::Result {
    let text = req.state().engine.metrics.render()?;
    Ok(tide::Response::builder(200)
        .content_type("text/plain; version=0.0.4")
        .body(text)
        .build())
}
