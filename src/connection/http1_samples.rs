//! Test helpers that provide received bytes and heads.

use async_std::net::{TcpListener, TcpStream};
use futures::io::AsyncWriteExt;

use super::{Fields, Http1Conn, ResponseHead};

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

/// Returns the head of an HTTP/1.1 response.
pub(crate) fn response_head(status: u16, fields: &[(&str, &str)]) -> ResponseHead {
    let headers: Vec<httparse::Header<'_>> = fields
        .iter()
        .map(|(name, value)| httparse::Header {
            name,
            value: value.as_bytes(),
        })
        .collect();
    ResponseHead {
        status,
        is_http10: false,
        fields: Fields::from(headers.as_slice()),
    }
}
