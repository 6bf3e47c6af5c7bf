//! Request heads are delimited and framed, and the number of caller connections is limited.

use rstest::rstest;

use super::caller::ConnectionLimiter;
use super::head::{Framing, Head, find};
use crate::error::ErrorKind;

struct Case {
    bytes: &'static [u8],
    wanted: Result<Head, ErrorKind>,
}

#[rstest]
#[case::nothing(Case { bytes: b"", wanted: Ok(Head::Partial) })]
#[case::incomplete_head(Case { bytes: b"POST /v1 HTTP/1.1\r\nhost: o", wanted: Ok(Head::Partial) })]
#[case::no_body(Case {
    bytes: b"GET / HTTP/1.1\r\nhost: one\r\n\r\n",
    wanted: Ok(Head::Complete(29, Framing::Length(0))),
})]
#[case::body_and_next_request(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}GET",
    wanted: Ok(Head::Complete(38, Framing::Length(2))),
})]
#[case::chunked(Case {
    bytes: b"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
    wanted: Ok(Head::Complete(47, Framing::Chunked)),
})]
#[case::two_lengths(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::length_and_chunked(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::signed_length(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: +2\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::negative_length(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: -2\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::length_overflow(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::unknown_coding(Case {
    bytes: b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::not_http(Case { bytes: b"\x16\x03\x01\x02\x00", wanted: Err(ErrorKind::BadRequest) })]
#[case::endless_line(Case { bytes: &[b'x'; 8_000], wanted: Err(ErrorKind::TooLarge) })]
fn request_heads_are_delimited_and_framed(#[case] case: Case) {
    let found = find(case.bytes).map_err(|refusal| refusal.kind);
    assert_eq!(found, case.wanted);
}

#[test]
fn callers_are_limited_and_the_idle_timeout_shrinks_when_most_connections_are_in_use() {
    let limiter = ConnectionLimiter::default();
    assert_eq!(limiter.idle_timeout_secs(), 60);
    let mut permits: Vec<_> = (0..768).map(|_| limiter.try_acquire().unwrap()).collect();
    assert_eq!(limiter.idle_timeout_secs(), 60);
    permits.extend((768..1_024).map(|_| limiter.try_acquire().unwrap()));
    assert_eq!(limiter.idle_timeout_secs(), 1);
    assert!(limiter.try_acquire().is_none());
    permits.pop();
    assert!(limiter.try_acquire().is_some());
}
