//! A caller's request in the opaque form that the engine forwards: the front end encodes it once,
//! and the leg transport adds the headers for each replica.

use std::fmt::Write;
use std::sync::Arc;

use bincode::config;
use serde::{Deserialize, Serialize};

use crate::connection::{RequestHead, is_hop_by_hop};
use crate::types::{Span, UpstreamName};
use crate::version::UpstreamSpec;

/// Header with the caller's id of the attempt, which replicas echo.
pub(super) const REQUEST_ID: &str = "Request-Id";
/// Header with the time that the sender still waits, in milliseconds.
pub(super) const DEADLINE: &str = "Deadline-Ms";
/// Header with the id of the intended replica. A replica with another id responds with 421 and
/// does not run the request.
const EXPECT_INSTANCE: &str = "Expect-Instance";

/// A request without the headers that differ between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Payload<'a> {
    /// The caller's id of this attempt.
    #[serde(borrow)]
    pub(super) id: &'a str,
    #[serde(borrow)]
    head: &'a [u8],
    #[serde(borrow)]
    pub(super) body: &'a [u8],
}

/// A payload could not be decoded. Payloads are encoded by the same process, so this is a bug in
/// it.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not decode a request payload: {0}")]
pub(super) struct PayloadError(#[from] bincode::error::DecodeError);

/// Encodes a request for forwarding, without hop-by-hop headers and those that the instance sets.
///
/// # Errors
/// Returns an error if the encoder fails.
pub(super) fn encode(
    req: &RequestHead,
    id: &str,
    body: &[u8],
) -> Result<Arc<[u8]>, bincode::error::EncodeError> {
    let mut head = format!("{} {} HTTP/1.1\r\n", req.method, req.target).into_bytes();
    for (name, value) in req.fields.iter() {
        let is_listed = req.fields.has_token("connection", name);
        let is_own = [DEADLINE, EXPECT_INSTANCE]
            .iter()
            .any(|own| name.eq_ignore_ascii_case(own));
        if is_hop_by_hop(name) || is_listed || is_own {
            continue;
        }
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    if req.states_body_length() {
        head.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    let payload = Payload {
        id,
        head: &head,
        body,
    };
    bincode::serde::encode_to_vec(&payload, config::standard()).map(Arc::from)
}

impl<'a> Payload<'a> {
    /// Decodes a request.
    ///
    /// # Errors
    /// Returns an error if the bytes were not produced by [`encode`].
    pub(super) fn decode(bytes: &'a [u8]) -> Result<Self, PayloadError> {
        let (payload, _) = bincode::serde::borrow_decode_from_slice(bytes, config::standard())?;
        Ok(payload)
    }

    /// Whether the response to the request has no body, whatever its head states.
    pub(super) fn wants_head_only(&self) -> bool {
        self.head.starts_with(b"HEAD ")
    }

    /// Returns the head of the HTTP request for one replica.
    pub(super) fn head(&self, upstream: &UpstreamName, time_left: Span) -> Vec<u8> {
        let mut own_headers = String::with_capacity(96);
        let left = time_left.as_millis().max(1);
        let id = replica_id(upstream);
        // Writing to a `String` cannot fail.
        write!(
            own_headers,
            "{DEADLINE}: {left}\r\n{EXPECT_INSTANCE}: {id}\r\n\r\n"
        )
        .ok();
        [self.head, own_headers.as_bytes()].concat()
    }
}

/// Returns the head of a health check of one replica.
pub(super) fn health_check(upstream: &UpstreamSpec, path: &str, time_left: Span) -> Vec<u8> {
    let (addr, left) = (upstream.addr, time_left.as_millis());
    let id = replica_id(&upstream.name);
    format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n{DEADLINE}: {left}\r\n{EXPECT_INSTANCE}: {id}\r\nConnection: close\r\n\r\n")
        .into_bytes()
}

/// Returns the platform's id of a replica: the upstream's name without the start time that follows
/// the last colon.
pub(super) fn replica_id(upstream: &UpstreamName) -> &str {
    let name = upstream.as_str();
    name.rsplit_once(':').map_or(name, |(id, _)| id)
}

#[cfg(test)]
#[path = "payload_tests.rs"]
mod payload_tests;
