//! TCP connections shared by all of the platform's clients and servers, with `TCP_NODELAY` set.

use std::io;
use std::net::SocketAddr;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{sleep, spawn};

use crate::types::Span;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(20);

/// Connects with `TCP_NODELAY`, so that small messages are sent immediately.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Serves each connection in its own task until the process ends.
pub(super) async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(%error, "could not set TCP_NODELAY");
                }
                spawn(serve(stream));
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
            }
        }
    }
}
