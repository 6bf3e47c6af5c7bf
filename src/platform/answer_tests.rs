//! A refusal states "not run" only if the request did not run, and says when to retry.

use super::refusal_response;
use crate::error::{ErrorKind, Ran, Refusal};

/// The statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn not_run_statuses_are_used_only_if_the_request_did_not_run() {
    for row in ErrorKind::TABLE {
        let response = refusal_response(&Refusal::new(row.kind, "why"), Some("1"));
        let states_not_run = NOT_RUN_STATUSES.contains(&response.status);
        assert!(!states_not_run || row.ran == Ran::NotRun, "{:?}", row.kind);
    }
}

#[test]
fn refusals_that_may_be_retried_state_retry_after() {
    for row in ErrorKind::TABLE
        .iter()
        .filter(|row| row.status == 503 && row.ran == Ran::NotRun)
    {
        let response = refusal_response(&Refusal::new(row.kind, "why"), None);
        let has_retry_after = response
            .fields
            .iter()
            .any(|(name, _)| name == "Retry-After");
        // This front end never returns `PlatformDown`: only orders and class changes depend on
        // the store, and they arrive at the project's own front end.
        assert!(
            has_retry_after || row.kind == ErrorKind::PlatformDown,
            "{:?}",
            row.kind
        );
    }
}

#[test]
fn a_response_states_its_length_and_the_connection_close() {
    let response = refusal_response(&Refusal::new(ErrorKind::NoUpstream, "why"), Some("9c"));
    let text = String::from_utf8(response.render(true)).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(
        head.starts_with(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 9c\r\nRetry-After: 0.4\r\n"
        )
    );
    assert!(head.contains("\r\nConnection: close"));
    assert!(head.ends_with(&format!("Content-Length: {}", body.len())));
}

/// Guards against a body that the caller takes for the start of the next response.
#[test]
fn a_response_to_head_ends_with_its_head() {
    let response = refusal_response(&Refusal::new(ErrorKind::NoUpstream, "why"), Some("9c"));
    let text = String::from_utf8(response.render_head(false)).unwrap();
    assert!(text.starts_with("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 9c\r\n"));
    assert_eq!(text.find("\r\n\r\n"), Some(text.len() - 4));
    assert!(!text.contains("Content-Length"));
}
