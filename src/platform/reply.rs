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

const MISDIRECTED: u16 = 421;

/// Whether the response comes from the replica that the request was sent to, so that what it says
/// of itself holds. An address may have been assigned to another replica, and a late response
/// may belong to an earlier request.
pub(super) fn is_from_upstream(head: &ResponseHead, id: &str) -> bool {
    let is_echoed = head
        .fields
        .get(REQUEST_ID)
        .is_none_or(|echoed| echoed == id);
    is_echoed && head.status != MISDIRECTED
}

/// Validates the head of a complete response to the request with that id.
///
/// # Errors
/// Returns the reason why the response cannot be used.
pub(super) fn validate(head: &ResponseHead, id: &str) -> Result<ReplyHead, LegFailure> {
    let fields = &head.fields;
    if fields.get(REQUEST_ID).is_some_and(|echoed| echoed != id) {
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
    if proof.is_none() || !is_unencoded || head.status < 200 {
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
