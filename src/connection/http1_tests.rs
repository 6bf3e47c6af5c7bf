//! A message is read whole or rejected: truncated, oversized and ambiguously framed messages
//! are errors.

use async_std::task::block_on;
use rstest::rstest;

use super::HttpError;
use crate::connection::sent;
use crate::request::Body;

const MAX_HEAD_BYTES: usize = 512;
const MAX_BODY_BYTES: usize = 64;

/// Reads responses from a peer that sends `bytes` and closes. Returns the body of each
/// response, and the final error.
fn responses(bytes: &'static [u8]) -> Vec<Result<Body, HttpError>> {
    block_on(async {
        let mut conn = sent(bytes).await;
        let mut read = Vec::new();
        loop {
            let body = match conn.response(MAX_HEAD_BYTES).await {
                Ok(head) => match head.framing() {
                    Ok(framing) => conn.body(framing, MAX_BODY_BYTES).await,
                    Err(error) => Err(error),
                },
                Err(error) => Err(error),
            };
            let ended = body.is_err();
            read.push(body);
            if ended {
                return read;
            }
        }
    })
}

struct Case {
    sent: &'static [u8],
    bodies: &'static [&'static [u8]],
    end: &'static str,
}

#[rstest]
#[case::by_length(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", bodies: &[b"ok"], end: "Closed",
})]
#[case::truncated_body(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", bodies: &[], end: "Truncated",
})]
#[case::truncated_head(Case { sent: b"HTTP/1.1 200 OK\r\nConte", bodies: &[], end: "Truncated" })]
#[case::chunked(Case {
    sent: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    bodies: &[b"ok"], end: "Closed",
})]
#[case::chunked_with_a_trailer(Case {
    sent: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n0\r\nA: b\r\n\r\n",
    bodies: &[b"o"], end: "Closed",
})]
#[case::truncated_between_chunks(Case {
    sent: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
    bodies: &[], end: "Truncated",
})]
#[case::chunk_too_long_for_its_size(Case {
    sent: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
    bodies: &[], end: "Malformed",
})]
#[case::until_close(Case { sent: b"HTTP/1.1 200 OK\r\n\r\nok", bodies: &[b"ok"], end: "Closed" })]
#[case::length_and_chunked(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
    bodies: &[], end: "Malformed",
})]
#[case::two_lengths(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    bodies: &[], end: "Malformed",
})]
#[case::signed_length(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", bodies: &[], end: "Malformed",
})]
#[case::body_over_the_limit(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n", bodies: &[], end: "BodyTooLarge",
})]
#[case::second_response(Case {
    sent: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    bodies: &[b"ok", b""], end: "Closed",
})]
#[case::status_zero(Case {
    sent: b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", bodies: &[], end: "Malformed",
})]
#[case::status_below_the_range(Case {
    sent: b"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", bodies: &[], end: "Malformed",
})]
#[case::status_above_the_range(Case {
    sent: b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", bodies: &[], end: "Malformed",
})]
#[case::largest_status(Case {
    sent: b"HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", bodies: &[b""], end: "Closed",
})]
#[case::not_http(Case { sent: b"\x00\x01\x02\r\n\r\n", bodies: &[], end: "Malformed" })]
#[case::nothing(Case { sent: b"", bodies: &[], end: "Closed" })]
fn responses_are_read_whole_or_rejected(#[case] case: Case) {
    let mut read = responses(case.sent);
    let end = read.pop().unwrap().unwrap_err();
    let bodies: Vec<Vec<u8>> = read
        .into_iter()
        .map(|body| body.unwrap().to_vec())
        .collect();
    assert_eq!(bodies, case.bodies);
    let end = format!("{end:?}");
    assert!(end.starts_with(case.end), "{end}");
}

#[test]
fn an_oversized_head_is_rejected() {
    const LONG: &[u8] = &[b'a'; 600];
    let end = responses(LONG).pop().unwrap().unwrap_err();
    assert!(matches!(
        end,
        HttpError::HeadTooLarge | HttpError::Malformed(_)
    ));
}

struct BrokenHead {
    name: &'static str,
    response: &'static [u8],
}

/// Guards against a head that breaks off and is taken for a whole answer with an empty or short
/// body.
#[test]
fn a_head_that_breaks_off_anywhere_is_rejected() {
    let cases = [
        BrokenHead {
            name: "with a length",
            response: b"HTTP/1.1 200 OK\r\nProof: 3e1b\r\nContent-Length: 0\r\n\r\n",
        },
        BrokenHead {
            name: "chunked",
            response: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        },
        BrokenHead {
            name: "until close",
            response: b"HTTP/1.1 200 OK\r\nProof: 3e1b\r\n\r\n",
        },
    ];
    for case in cases {
        assert!(responses(case.response)[0].is_ok(), "{}", case.name);
        for len in 0..case.response.len() {
            let read = responses(&case.response[..len]);
            assert!(read[0].is_err(), "{} cut after {len} bytes", case.name);
        }
    }
}

struct FieldsCase {
    fields: usize,
    /// The error, or none if the request is read.
    error: Option<&'static str>,
}

/// Guards against proper requests that are refused for the number of their fields, and against
/// heads whose fields take many times the memory of their bytes.
#[rstest]
#[case::usual(FieldsCase { fields: 10, error: None })]
#[case::many(FieldsCase { fields: 65, error: None })]
#[case::the_most(FieldsCase { fields: 256, error: None })]
#[case::too_many(FieldsCase { fields: 257, error: Some("HeadTooLarge") })]
fn a_request_may_have_many_fields(#[case] case: FieldsCase) {
    let head = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(case.fields));
    let read = block_on(async {
        let mut conn = sent(head.leak().as_bytes()).await;
        conn.request(16 << 10).await
    });
    let error = read.as_ref().err().map(|error| format!("{error:?}"));
    assert_eq!(error.as_deref(), case.error);
    if let Ok(head) = read {
        assert_eq!(head.fields.iter().count(), case.fields);
    }
}
