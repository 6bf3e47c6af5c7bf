//! A caller's request on its way through the product, which passes it on unread: encoded
//! once by the front, and completed for each replica by the carrier.

use std::fmt::Write;
use std::sync::Arc;

use bincode::config;
use serde::{Deserialize, Serialize};

use crate::connection::{RequestHead, is_hop_by_hop};
use crate::types::{Span, UpstreamName};

pub(super) const REQUEST_ID: &str = "Request-Id";
/// How long the sender still waits, in milliseconds.
pub(super) const DEADLINE: &str = "Deadline-Ms";
/// A replica of another id answers 421 and runs nothing.
const EXPECT_INSTANCE: &str = "Expect-Instance";

/// A request as every replica gets it, but for what differs from one to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Payload<'a> {
    /// The caller's id of this attempt.
    #[serde(borrow)]
    pub(super) id: &'a str,
    #[serde(borrow)]
    head: &'a [u8],
    #[serde(borrow)]
    body: &'a [u8],
}

/// Why a payload cannot be read; it was made by this process, so this is a fault in it.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not read a request's payload: {0}")]
pub(super) struct PayloadError(#[from] bincode::error::DecodeError);

/// Encodes a request that is to be passed on.
///
/// # Errors
/// When the encoder fails.
pub(super) fn encode(
    req: &RequestHead,
    id: &str,
    body: &[u8],
) -> Result<Arc<[u8]>, bincode::error::EncodeError> {
    let mut head = format!("{} {} HTTP/1.1\r\n", req.method, req.target).into_bytes();
    for (name, value) in req.fields.iter() {
        let is_listed = req.fields.lists("connection", name);
        let is_ours = [DEADLINE, EXPECT_INSTANCE]
            .iter()
            .any(|ours| name.eq_ignore_ascii_case(ours));
        if is_hop_by_hop(name) || is_listed || is_ours {
            continue;
        }
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    if req.states_body() {
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
    /// Reads an encoded request.
    ///
    /// # Errors
    /// When the bytes were not made by [`encode`].
    pub(super) fn decode(bytes: &'a [u8]) -> Result<Self, PayloadError> {
        let (payload, _) = bincode::serde::borrow_decode_from_slice(bytes, config::standard())?;
        Ok(payload)
    }

    /// The request for one replica.
    pub(super) fn render(&self, upstream: &UpstreamName, time_left: Span) -> Vec<u8> {
        let mut ours = String::with_capacity(96);
        let left = time_left.as_millis().max(1);
        let id = replica_id(upstream);
        // Writing to a string cannot fail.
        write!(
            ours,
            "{DEADLINE}: {left}\r\n{EXPECT_INSTANCE}: {id}\r\n\r\n"
        )
        .ok();
        [self.head, ours.as_bytes(), self.body].concat()
    }
}

/// The platform's id of a replica; an upstream's name adds when it was born.
fn replica_id(upstream: &UpstreamName) -> &str {
    let name = upstream.as_str();
    name.rsplit_once(':').map_or(name, |(id, _)| id)
}

#[cfg(test)]
#[path = "payload_tests.rs"]
mod payload_tests;
