//! A caller is told "not run" only when that is so, and when to come back.

use super::refused;
use crate::error::{ErrorKind, Ran, Refusal};

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn promises_are_kept_for_every_kind() {
    for row in ErrorKind::TABLE {
        let outgoing = refused(&Refusal::new(row.kind, "why"), Some("1"));
        let promised = PROMISES.contains(&outgoing.status);
        assert!(!promised || row.ran == Ran::NotRun, "{:?}", row.kind);
    }
}

#[test]
fn whoever_may_come_back_is_told_when() {
    for row in ErrorKind::TABLE
        .iter()
        .filter(|row| row.status == 503 && row.ran == Ran::NotRun)
    {
        let outgoing = refused(&Refusal::new(row.kind, "why"), None);
        let told = outgoing
            .fields
            .iter()
            .any(|(name, _)| name == "Retry-After");
        // Only orders of the project's own front meet a platform that is down.
        assert!(
            told || row.kind == ErrorKind::PlatformDown,
            "{:?}",
            row.kind
        );
    }
}

#[test]
fn a_response_states_its_length_and_its_end() {
    let outgoing = refused(&Refusal::new(ErrorKind::NoUpstream, "why"), Some("9c"));
    let text = String::from_utf8(outgoing.render(true)).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(
        head.starts_with(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 9c\r\nRetry-After: 0.4\r\n"
        )
    );
    assert!(head.contains("\r\nConnection: close"));
    assert!(head.ends_with(&format!("Content-Length: {}", body.len())));
}
