//! The HTTP responses that callers receive: answers and refusals.

use super::payload::REQUEST_ID;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::process::RouteResponse;
use crate::request::{Body, Part};
use crate::types::Span;

/// Header with the proofs of the replicas whose records the answer contains.
const PROOFS_HEADER: &str = "Part-Stamps";
/// Header with the number of shards missing from the answer.
const MISSING_HEADER: &str = "Missing-Parts";
/// Header with the time until a retry may succeed, in seconds with fractions.
const RETRY_AFTER_HEADER: &str = "Retry-After";

/// An instance has a configuration within about a second of its start.
const CONFIGURATION_RETRY_DELAY: Span = Span::from_millis(500);
/// The store or another instance reports a replacement replica within about this time.
const REPLICA_RETRY_DELAY: Span = Span::from_millis(400);
/// A full queue drains in about this time at the usual amount of work per request.
const OVERLOAD_RETRY_DELAY: Span = Span::from_millis(150);
/// A request that crashes replicas stays in quarantine for minutes.
const POISON_RETRY_DELAY: Span = Span::from_secs(60);

/// A response to a caller, ready to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Response {
    status: u16,
    fields: Vec<(String, Vec<u8>)>,
    body: Body,
}

impl Response {
    fn new(status: u16, id: Option<&str>) -> Self {
        let id = id.map(|id| (REQUEST_ID.to_owned(), id.as_bytes().to_vec()));
        Self {
            status,
            fields: id.into_iter().collect(),
            body: Body::default(),
        }
    }

    /// A response made by the instance itself, with a JSON body.
    pub(super) fn json(status: u16, body: String) -> Self {
        Self::new(status, None).with_body("application/json", body)
    }

    /// A response made by the instance itself, with a plain-text body.
    pub(super) fn text(status: u16, body: String) -> Self {
        Self::new(status, None).with_body("text/plain", body)
    }

    fn with_body(mut self, kind: &str, body: String) -> Self {
        self.add_field("Content-Type", kind);
        self.body = body.into_bytes().into();
        self
    }

    fn add_field(&mut self, name: &str, value: &str) {
        self.fields
            .push((name.to_owned(), value.as_bytes().to_vec()));
    }

    /// Returns the bytes of the response; `closes` announces that the connection is closed
    /// after it.
    pub(super) fn render(&self, closes: bool) -> Vec<u8> {
        let mut text = self.render_fields(closes);
        text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        text.extend_from_slice(&self.body);
        text
    }

    /// Like [`Response::render`], for a request that wants no body. The length that the body would
    /// have is not known.
    pub(super) fn render_head(&self, closes: bool) -> Vec<u8> {
        let mut text = self.render_fields(closes);
        text.extend_from_slice(b"\r\n");
        text
    }

    fn render_fields(&self, closes: bool) -> Vec<u8> {
        let mut text = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        )
        .into_bytes();
        for (name, value) in &self.fields {
            text.extend_from_slice(name.as_bytes());
            text.extend_from_slice(b": ");
            text.extend_from_slice(value);
            text.extend_from_slice(b"\r\n");
        }
        if closes {
            text.extend_from_slice(b"Connection: close\r\n");
        }
        text
    }
}

/// Returns the response for an answered request.
pub(super) fn answer_response(answer: RouteResponse, id: Option<&str>) -> Response {
    match answer {
        RouteResponse::Gathered {
            records,
            proofs,
            missing,
        } => {
            let mut response = Response::new(200, id);
            response.add_field(PROOFS_HEADER, &proofs.join(", "));
            response.add_field(MISSING_HEADER, &missing.to_string());
            response.body = records.into();
            response
        }
        RouteResponse::Passed(part) => upstream_response(*part),
    }
}

/// Returns a replica's own response unchanged.
fn upstream_response(part: Part) -> Response {
    let (status, fields) = match part.head {
        Some(head) => (head.status, head.fields),
        None => (502, Vec::new()),
    };
    Response {
        status,
        fields,
        body: part.body,
    }
}

/// Returns the response for a refused request. The statuses that promise that the request has
/// not run and never will are used only if that is certain.
pub(super) fn refusal_response(refusal: &Refusal, id: Option<&str>) -> Response {
    let row = refusal.kind.row();
    let status = match (row.ran, row.status) {
        // The request may be retried after its quarantine, so this is not the caller's fault.
        (Ran::NotRun, 422) => 503,
        (Ran::MayHaveRun, 429 | 503) => 502,
        (_, status) => status,
    };
    let mut response = Response::new(status, id);
    let retry_after = refusal.retry_after.or_else(|| retry_after(refusal.kind));
    if let Some(after) = retry_after.filter(|_| row.ran == Ran::NotRun) {
        response.add_field(
            RETRY_AFTER_HEADER,
            &after.as_duration().as_secs_f64().to_string(),
        );
    }
    response.with_body("text/plain", refusal.to_string())
}

/// Returns the time after which the same request may succeed, if it can be estimated.
fn retry_after(kind: ErrorKind) -> Option<Span> {
    match kind {
        ErrorKind::NoSnapshot => Some(CONFIGURATION_RETRY_DELAY),
        // Another instance can serve it at once.
        ErrorKind::Stopping => Some(Span::ZERO),
        ErrorKind::NoUpstream => Some(REPLICA_RETRY_DELAY),
        ErrorKind::Overloaded | ErrorKind::CannotFinish => Some(OVERLOAD_RETRY_DELAY),
        ErrorKind::Poison => Some(POISON_RETRY_DELAY),
        _ => None,
    }
}

fn reason_phrase(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Other")
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod answer_tests;
