//! Accepts callers and operators and answers their HTTP requests.

use std::sync::Arc;

use async_h1::server::ConnectionStatus;
use async_std::net::{TcpListener, TcpStream};
use tide::http::headers::CONNECTION;
use tide::http::{Request, Response};

use super::active::Active;
use super::hangup::Hangup;
use super::{address_api, query_api};
use crate::process::Instance;

/// What every handler is given.
pub(super) type Cx = Arc<Instance>;

/// Accepts connections until the listener fails.
///
/// # Errors
/// When the listener cannot accept any more.
pub(crate) async fn accept(instance: Cx, listener: TcpListener) -> std::io::Result<()> {
    let app = routes(instance);
    loop {
        let (stream, _) = listener.accept().await?;
        async_std::task::spawn(serve(app.clone(), stream));
    }
}

fn routes(instance: Cx) -> tide::Server<Cx> {
    let mut app = tide::with_state(instance);
    app.at("/v1/classes/:class/query").post(query_api::post);
    app.at("/metrics").get(metrics);
    address_api::route(&mut app);
    app
}

async fn serve(app: tide::Server<Cx>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let hangup = Hangup::new(stream.clone());
    let instance = Arc::clone(app.state());
    let active = Active::new(&instance);
    let mut server = async_h1::server::Server::new(stream, |mut req: Request| {
        let app = app.clone();
        req.ext_mut().insert(hangup.clone());
        active.begin();
        let instance = Arc::clone(&instance);
        async move {
            let mut res = app.respond::<_, Response>(req).await?;
            if instance.shutdown.lock().closes_connections() {
                res.insert_header(CONNECTION, "close");
            }
            Ok(res)
        }
    });
    loop {
        let accepted = server.accept_one().await;
        active.end();
        match accepted {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => break,
            Err(error) => {
                tracing::debug!(%error, "a caller's connection ended early");
                break;
            }
        }
    }
}

async fn metrics(req: tide::Request<Cx>) -> tide::Result {
    let text = req.state().metrics.render()?;
    Ok(tide::Response::builder(200)
        .content_type("text/plain; version=0.0.4")
        .body(text)
        .build())
}
