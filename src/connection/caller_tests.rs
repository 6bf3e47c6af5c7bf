//! Heads are found and framed, and the number of callers is bounded.

use rstest::rstest;

use super::caller::Callers;
use super::head::{Framing, Head, find};
use crate::error::ErrorKind;

struct Case {
    bytes: &'static [u8],
    wanted: Result<Head, ErrorKind>,
}

#[rstest]
#[case::nothing(Case { bytes: b"", wanted: Ok(Head::Partial) })]
#[case::a_part(Case { bytes: b"POST /v1 HTTP/1.1\r\nhost: o", wanted: Ok(Head::Partial) })]
#[case::no_body(Case {
    bytes: b"GET / HTTP/1.1\r\nhost: one\r\n\r\n",
    wanted: Ok(Head::Whole(29, Framing::Length(0))),
})]
#[case::a_body_and_the_next(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}GET",
    wanted: Ok(Head::Whole(38, Framing::Length(2))),
})]
#[case::chunked(Case {
    bytes: b"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
    wanted: Ok(Head::Whole(47, Framing::Chunked)),
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
#[case::endless_length(Case {
    bytes: b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::unknown_coding(Case {
    bytes: b"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    wanted: Err(ErrorKind::BadRequest),
})]
#[case::no_request(Case { bytes: b"\x16\x03\x01\x02\x00", wanted: Err(ErrorKind::BadRequest) })]
#[case::a_line_without_end(Case { bytes: &[b'x'; 8_000], wanted: Err(ErrorKind::TooLarge) })]
fn heads_are_found_and_framed(#[case] case: Case) {
    let found = find(case.bytes).map_err(|refusal| refusal.kind);
    assert_eq!(found, case.wanted);
}

#[test]
fn callers_are_bounded_and_idle_ones_leave_sooner_when_most_places_are_taken() {
    let callers = Callers::default();
    assert_eq!(callers.idle_timeout_secs(), 60);
    let mut places: Vec<_> = (0..768).map(|_| callers.enter().unwrap()).collect();
    assert_eq!(callers.idle_timeout_secs(), 60);
    places.extend((768..1_024).map(|_| callers.enter().unwrap()));
    assert_eq!(callers.idle_timeout_secs(), 1);
    assert!(callers.enter().is_none());
    places.pop();
    assert!(callers.enter().is_some());
}
