//! TCP connections to the platform's store and to replicas, with `TCP_NODELAY` set.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;

/// Connects with `TCP_NODELAY`, so that small messages are sent immediately.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
