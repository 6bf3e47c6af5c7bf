//! Which requests of callers are the same request.

use async_std::task::block_on;
use rstest::rstest;

use super::{QueryId, prepare};
use crate::connection::sent;
use crate::types::Fingerprint;

fn fingerprint(request: &'static str) -> Fingerprint {
    block_on(async {
        let mut conn = sent(request.as_bytes()).await;
        let head = conn.request(1 << 10).await.unwrap();
        prepare(&head, b"", QueryId(1)).unwrap().fingerprint
    })
}

const REQUEST: &str = "GET /a/1?q=2 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\n\r\n";

struct Case {
    other: &'static str,
    is_same: bool,
}

/// Guards against requests that are refused because a request for another host crashed upstreams.
#[rstest]
#[case::another_attempt(Case {
    other: "GET /a/1?q=2 HTTP/1.1\r\nHost: ONE.example\r\nRequest-Id: r2\r\n\r\n", is_same: true,
})]
#[case::another_host(Case {
    other: "GET /a/1?q=2 HTTP/1.1\r\nHost: two.example\r\nRequest-Id: r1\r\n\r\n", is_same: false,
})]
#[case::another_query(Case {
    other: "GET /a/1?q=3 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\n\r\n", is_same: false,
})]
#[case::another_method(Case {
    other: "PUT /a/1?q=2 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\n\r\n", is_same: false,
})]
fn requests_are_told_apart_by_what_they_ask_for(#[case] case: Case) {
    let is_same = fingerprint(case.other) == fingerprint(REQUEST);
    assert_eq!(is_same, case.is_same);
}
