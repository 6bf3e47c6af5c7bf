//! A test helper that provides a connection with received bytes.

use async_std::net::{TcpListener, TcpStream};
use futures::io::AsyncWriteExt;

use super::Http1Conn;

/// Sends `bytes` over a TCP connection, closes it, and returns the receiving end.
pub(crate) async fn sent(bytes: &[u8]) -> Http1Conn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    sender.write_all(bytes).await.unwrap();
    Http1Conn::new(stream)
}
