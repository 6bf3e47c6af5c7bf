//! Connections as every edge towards the platform makes them.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;

/// Connects and has small messages sent at once.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
