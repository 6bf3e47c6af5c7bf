//! What a replica's response says of a leg.

use crate::connection::{ResponseHead, is_hop_by_hop};
use crate::request::{LegFailure, ReplyHead};

use super::payload::REQUEST_ID;

/// The replica's proof that it made the response.
const PROOF: &str = "Answer-Stamp";
/// Stated when the replica did not run the request and will not.
const NOT_RUN: &str = "Not-Executed";
/// A body under an encoding that nobody asked for is not the replica's.
const ENCODING: &str = "Content-Encoding";

const MISDIRECTED: u16 = 421;

/// What a whole response to the request of that id is worth.
///
/// # Errors
/// Why it is no reply to be used.
pub(super) fn judge(head: &ResponseHead, id: &str) -> Result<ReplyHead, LegFailure> {
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
    let is_plain = fields.all(ENCODING).next().is_none();
    if proof.is_none() || !is_plain || head.status < 200 {
        return Err(LegFailure::Mangled);
    }
    let passed = fields.iter().filter(|(name, _)| !is_hop_by_hop(name));
    Ok(ReplyHead {
        status: head.status,
        proof,
        fields: passed.cloned().collect(),
    })
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod reply_tests;
