//! Answers and refusals as callers read them.

use super::payload::REQUEST_ID;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::process::Answered;
use crate::request::{Part, ReplyHead};
use crate::types::Span;

/// The proofs of the replicas whose records an answer holds.
const PROOFS: &str = "Part-Stamps";
/// How many shards an answer lacks.
const MISSING: &str = "Missing-Parts";
/// In seconds, with fractions.
const RETRY_AFTER: &str = "Retry-After";

/// A configuration is known within about a second of an instance's start.
const UNTIL_CONFIGURED: Span = Span::from_millis(500);
/// The store or another instance tells of a replica that takes over within about this.
const UNTIL_REPLICA: Span = Span::from_millis(400);
/// A queue that is full now has drained by then, going by the usual work of a request.
const UNTIL_ROOM: Span = Span::from_millis(150);
/// A request that crashes replicas is refused for minutes.
const UNTIL_FORGIVEN: Span = Span::from_secs(60);

/// A response that is ready to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outgoing {
    status: u16,
    fields: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Outgoing {
    fn new(status: u16, id: Option<&str>) -> Self {
        let id = id.map(|id| (REQUEST_ID.to_owned(), id.as_bytes().to_vec()));
        Self {
            status,
            fields: id.into_iter().collect(),
            body: Vec::new(),
        }
    }

    /// A response of the instance itself with a body of JSON.
    pub(super) fn json(status: u16, body: String) -> Self {
        Self::new(status, None).holding("application/json", body)
    }

    /// A response of the instance itself with a body of text.
    pub(super) fn text(status: u16, body: String) -> Self {
        Self::new(status, None).holding("text/plain", body)
    }

    fn holding(mut self, kind: &str, body: String) -> Self {
        self.field("Content-Type", kind);
        self.body = body.into_bytes();
        self
    }

    fn field(&mut self, name: &str, value: &str) {
        self.fields
            .push((name.to_owned(), value.as_bytes().to_vec()));
    }

    /// The bytes of the response; `closes` says that the connection ends after it.
    pub(super) fn render(&self, closes: bool) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status)).into_bytes();
        for (name, value) in &self.fields {
            text.extend_from_slice(name.as_bytes());
            text.extend_from_slice(b": ");
            text.extend_from_slice(value);
            text.extend_from_slice(b"\r\n");
        }
        if closes {
            text.extend_from_slice(b"Connection: close\r\n");
        }
        text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        text.extend_from_slice(&self.body);
        text
    }
}

/// The answer to a request.
pub(super) fn answered(answered: &Answered, id: Option<&str>) -> Outgoing {
    match answered {
        Answered::Gathered {
            records,
            proofs,
            missing,
        } => {
            let mut outgoing = Outgoing::new(200, id);
            outgoing.field(PROOFS, &proofs.join(", "));
            outgoing.field(MISSING, &missing.to_string());
            outgoing.body.clone_from(records);
            outgoing
        }
        Answered::Passed(part) => passed(part),
    }
}

/// A replica's own answer, as it gave it.
fn passed(part: &Part) -> Outgoing {
    let head: Option<&ReplyHead> = part.head.as_deref();
    Outgoing {
        status: head.map_or(502, |head| head.status),
        fields: head.map(|head| head.fields.clone()).unwrap_or_default(),
        body: part.body.clone(),
    }
}

/// Why a request is not answered. The statuses that promise that it has not run and never
/// will are used only where that is known.
pub(super) fn refused(refusal: &Refusal, id: Option<&str>) -> Outgoing {
    let row = refusal.kind.row();
    let status = match (row.ran, row.status) {
        // A caller may come again when the request is forgotten, so this is no fault of it.
        (Ran::NotRun, 422) => 503,
        (Ran::MayHaveRun, 429 | 503) => 502,
        (_, status) => status,
    };
    let mut outgoing = Outgoing::new(status, id);
    if let Some(after) = retry_after(refusal.kind).filter(|_| row.ran == Ran::NotRun) {
        outgoing.field(RETRY_AFTER, &after.as_duration().as_secs_f64().to_string());
    }
    outgoing.holding("text/plain", refusal.to_string())
}

/// When the same request may succeed, if that can be said.
fn retry_after(kind: ErrorKind) -> Option<Span> {
    match kind {
        ErrorKind::NoSnapshot | ErrorKind::Stopping => Some(UNTIL_CONFIGURED),
        ErrorKind::NoUpstream => Some(UNTIL_REPLICA),
        ErrorKind::Overloaded | ErrorKind::CannotFinish => Some(UNTIL_ROOM),
        ErrorKind::Poison => Some(UNTIL_FORGIVEN),
        _ => None,
    }
}

fn reason(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Other")
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod answer_tests;
