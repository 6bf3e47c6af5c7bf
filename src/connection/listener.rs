//! Accepts connections and serves each in a task of its own.

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{sleep, spawn};
use futures::FutureExt;
use futures::future::{Either, select};

use crate::types::Span;

/// Pause after a failed accept, for example when no file descriptors are left.
const RETRY_DELAY: Span = Span::from_millis(20);

/// Serves each connection in its own task until the process ends.
pub(crate) async fn serve_each<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    serve_until(listener, std::future::pending(), serve).await;
}

/// Serves each connection in its own task. Once `stopped` completes, the connections that are
/// already established are served and the listener is closed.
pub(crate) async fn serve_until<F>(
    listener: TcpListener,
    stopped: impl Future<Output = ()>,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut stopped = Box::pin(stopped);
    loop {
        let accepted = match select(Box::pin(listener.accept()), stopped).await {
            Either::Left((accepted, still_open)) => {
                stopped = still_open;
                accepted
            }
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_serving(stream, &serve),
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep(RETRY_DELAY.as_duration()).await;
            }
        }
    }
    // Closing the listener resets the connections that wait to be accepted.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_serving(stream, &serve);
    }
}

fn spawn_serving<F>(stream: TcpStream, serve: &impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    spawn(serve(stream));
}
