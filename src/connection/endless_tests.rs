//! Bytes without end that are no answer: a peer sends until the reader closes.
//!
//! Guards against a reader that never gives up, or that buffers all it gets.

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, spawn};
use futures::io::AsyncWriteExt;
use rstest::rstest;

use super::http1::{Http1Conn, HttpError};
use crate::types::Span;

const MAX_BODY_BYTES: usize = 256 << 10;
/// A reader that stops by itself needs far less.
const READ_WITHIN: Span = Span::from_secs(10);

struct Case {
    /// What is sent once, and what is then repeated without end.
    begin: &'static str,
    repeat: &'static str,
    end: &'static str,
}

/// Returns a connection whose peer sends the case's bytes until it is closed.
async fn endless(case: &Case) -> Http1Conn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let begin = case.begin.to_owned();
    let repeat = case.repeat.repeat(4_096 / case.repeat.len());
    spawn(async move {
        if sender.write_all(begin.as_bytes()).await.is_ok() {
            while sender.write_all(repeat.as_bytes()).await.is_ok() {}
        }
    });
    Http1Conn::new(stream)
}

#[rstest]
#[case::no_line_in_the_head(Case { begin: "", repeat: "a", end: "Malformed" })]
#[case::zeros(Case { begin: "", repeat: "\0", end: "Malformed" })]
#[case::empty_lines(Case { begin: "", repeat: "\r\n", end: "HeadTooLarge" })]
#[case::reason_phrase(Case { begin: "HTTP/1.1 200 ", repeat: "a", end: "HeadTooLarge" })]
#[case::header_fields(Case { begin: "HTTP/1.1 200 OK\r\n", repeat: "A: b\r\n", end: "HeadTooLarge" })]
#[case::one_header_field(Case { begin: "HTTP/1.1 200 OK\r\nA: ", repeat: "b", end: "HeadTooLarge" })]
#[case::body_until_close(Case { begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: "a", end: "BodyTooLarge" })]
#[case::huge_length(Case {
    begin: "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n", repeat: "a", end: "BodyTooLarge",
})]
#[case::chunks(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\na\r\n", end: "Malformed",
})]
#[case::large_chunks(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "10\r\naaaaaaaaaaaaaaaa\r\n", end: "BodyTooLarge",
})]
#[case::chunk_size(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0", end: "Malformed",
})]
#[case::chunk_extension(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeat: "a", end: "Malformed",
})]
#[case::trailer_field(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", repeat: "b", end: "Malformed",
})]
#[case::trailer_fields(Case {
    begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "A: b\r\n", end: "Malformed",
})]
fn endless_bytes_end_with_an_error(#[case] case: Case) {
    block_on(async {
        let mut conn = endless(&case).await;
        let reading = async {
            let head = conn.send(b"GET / HTTP/1.1\r\n\r\n", b"").await?;
            conn.body(head.framing()?, MAX_BODY_BYTES).await
        };
        let read = timeout(READ_WITHIN.as_duration(), reading).await;
        let error = read.expect("the reader gives up by itself").unwrap_err();
        assert!(format!("{error:?}").starts_with(case.end), "{error:?}");
        assert!(!matches!(error, HttpError::Io(_)), "{error:?}");
    });
}
