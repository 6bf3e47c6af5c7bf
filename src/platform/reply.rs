//! Validates a replica's response to a leg.

use crate::connection::{ResponseHead, is_hop_by_hop};
use crate::request::{LegFailure, ReplyHead};

use super::payload::REQUEST_ID;

/// Header with the replica's proof that it made the response.
const PROOF: &str = "Answer-Stamp";
/// Header that is present if the replica did not run the request and will not.
const NOT_RUN: &str = "Not-Executed";
/// No encoding is requested, so a response with this header does not come unchanged from the
/// replica.
const ENCODING: &str = "Content-Encoding";

/// Header with the id of the replica that answers a health check.
const INSTANCE: &str = "Instance-Id";

const MISDIRECTED: u16 = 421;

/// What is known of the responses on a connection before the next one. A replica may send a
/// response twice, and the copy arrives where the next response is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnHistory {
    /// There was none, so that the first one belongs to the first request.
    New,
    /// All named their request, so that a copy of one names another request than the next.
    Identified,
}

/// Returns the history after a response, or nothing if the connection is not used again. A copy of
/// a response that does not name its request could be taken for the next one.
pub(super) fn history_after(
    head: &ResponseHead,
    validated: &Result<ReplyHead, LegFailure>,
) -> Option<ConnHistory> {
    let is_identified = head.fields.has(REQUEST_ID);
    let is_mangled = matches!(validated, Err(LegFailure::Mangled));
    (is_identified && !is_mangled).then_some(ConnHistory::Identified)
}

/// Whether the response comes from the replica that the request was sent to, so that what it says
/// of itself holds. An address may have been assigned to another replica, and a late response
/// may belong to an earlier request.
pub(super) fn is_from_upstream(head: &ResponseHead, id: &str) -> bool {
    is_echoed(head, id) && !head.is_interim() && head.status != MISDIRECTED
}

/// Whether the response to a health check comes from the replica with that id.
pub(super) fn is_from_instance(head: &ResponseHead, id: &str) -> bool {
    let other = head.fields.get(INSTANCE).is_some_and(|named| named != id);
    !other && !head.is_interim() && head.status != MISDIRECTED
}

/// Returns the id of the request that the response names.
pub(super) fn named_request(head: &ResponseHead) -> Option<&str> {
    head.fields.get(REQUEST_ID)
}

/// Whether the response names no other request.
fn is_echoed(head: &ResponseHead, id: &str) -> bool {
    !head.fields.has(REQUEST_ID) || head.fields.get(REQUEST_ID) == Some(id)
}

/// Validates the head of a complete response to the request with that id.
///
/// # Errors
/// Returns the reason why the response cannot be used.
pub(super) fn validate(
    head: &ResponseHead,
    id: &str,
    history: ConnHistory,
) -> Result<ReplyHead, LegFailure> {
    let fields = &head.fields;
    // What an interim response says of the outcome is not final.
    if !is_echoed(head, id) || head.is_interim() {
        return Err(LegFailure::Mangled);
    }
    if head.status == MISDIRECTED {
        return Err(LegFailure::Draining);
    }
    if fields.all(NOT_RUN).next().is_some() {
        return Err(LegFailure::Shed);
    }
    let proof = fields.get(PROOF).map(str::to_owned);
    let is_unencoded = fields.all(ENCODING).next().is_none();
    let is_own = history == ConnHistory::New || fields.has(REQUEST_ID);
    if proof.is_none() || !is_own || !is_unencoded {
        return Err(LegFailure::Mangled);
    }
    let forwarded = fields.iter().filter(|(name, _)| !is_hop_by_hop(name));
    Ok(ReplyHead {
        status: head.status,
        proof,
        fields: forwarded.cloned().collect(),
    })
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod reply_tests;
