//! Accepts the connections of callers and operators and routes their HTTP requests.

use std::sync::Arc;

use async_std::net::TcpListener;

use super::caller::{self, ConnectionLimiter};
use super::listener::serve_until;
use super::{address_api, operator_api, query_api};
use crate::process::Instance;

/// The state passed to every request handler.
pub(super) type Cx = Arc<Instance>;

/// Serves the connections of callers and operators until `stopped` completes.
pub(crate) async fn accept(instance: Cx, listener: TcpListener, stopped: impl Future<Output = ()>) {
    let app = routes(instance);
    let limiter = ConnectionLimiter::default();
    let serve = |stream| caller::serve(app.clone(), limiter.clone(), stream);
    serve_until(listener, stopped, serve).await;
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
