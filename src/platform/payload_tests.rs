//! A replica receives the caller's request unchanged except for hop-by-hop headers and the headers
//! that the instance sets itself.

use async_std::task::block_on;
use rstest::rstest;

use super::{Payload, encode};
use crate::connection::{RequestHead, sent};
use crate::types::Span;

fn parse(text: &'static str) -> RequestHead {
    block_on(async { sent(text.as_bytes()).await.request(4096).await.unwrap() })
}

struct Case {
    sent: &'static str,
    body: &'static str,
    wanted: &'static str,
}

#[rstest]
#[case::plain(Case {
    sent: "GET /a/2f?x=%2f HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nDeadline-Ms: 900\r\n\r\n",
    body: "",
    wanted: "GET /a/2f?x=%2f HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 1\r\nDeadline-Ms: 700\r\nExpect-Instance: i-1\r\n\r\n",
})]
#[case::hop_by_hop(Case {
    sent: "GET /a HTTP/1.1\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\nKeep-Alive: timeout=5\r\n\r\n",
    body: "",
    wanted: "GET /a HTTP/1.1\r\nX-Other: 2\r\nDeadline-Ms: 700\r\nExpect-Instance: i-1\r\n\r\n",
})]
#[case::chunked_body(Case {
    sent: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    body: "plank",
    wanted: "POST /a HTTP/1.1\r\nContent-Length: 5\r\nDeadline-Ms: 700\r\nExpect-Instance: i-1\r\n\r\nplank",
})]
#[case::empty_body(Case {
    sent: "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    body: "",
    wanted: "POST /a HTTP/1.1\r\nContent-Length: 0\r\nDeadline-Ms: 700\r\nExpect-Instance: i-1\r\n\r\n",
})]
#[case::expect_instance_from_caller(Case {
    sent: "GET /a HTTP/1.1\r\nExpect-Instance: i-9\r\n\r\n",
    body: "",
    wanted: "GET /a HTTP/1.1\r\nDeadline-Ms: 700\r\nExpect-Instance: i-1\r\n\r\n",
})]
fn requests_are_forwarded_with_own_headers(#[case] case: Case) {
    let payload = encode(&parse(case.sent), "1", case.body.as_bytes()).unwrap();
    let payload = Payload::decode(&payload).unwrap();
    let sent = payload.head(&"i-1:17".parse().unwrap(), Span::from_millis(700));
    let sent = [sent.as_slice(), payload.body].concat();
    assert_eq!(String::from_utf8(sent).unwrap(), case.wanted);
}
