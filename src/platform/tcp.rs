//! Connections as every edge towards the platform makes and takes them.

use std::io;
use std::net::SocketAddr;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{sleep, spawn};

use crate::types::Span;

/// After an accept that failed, as without file descriptors left.
const PAUSE_AFTER_FAILURE: Span = Span::from_millis(20);

/// Connects and has small messages sent at once.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Serves each connection in a task of its own until the process ends.
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
                sleep(PAUSE_AFTER_FAILURE.as_duration()).await;
            }
        }
    }
}
