//! A connection whose other end has said something and closed, for the tests of messages.

use async_std::net::{TcpListener, TcpStream};
use futures::io::AsyncWriteExt;

use super::Wire;

/// The end that reads what was sent.
pub(crate) async fn sent(bytes: &[u8]) -> Wire {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    sender.write_all(bytes).await.unwrap();
    Wire::new(stream)
}
