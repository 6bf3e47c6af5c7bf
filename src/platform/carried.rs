//! The requests that a connection to a replica has carried.
//!
//! Responses name their request and not the sending that they answer, so a late copy of a refusal
//! looks like the response to the next sending of the same request. See `docs/DESIGN.md`, "Late
//! copies of responses".

use crate::types::Timestamp;

/// A request that is to be sent, for the first time or again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending<'a> {
    /// The caller's id of the request.
    pub(super) id: &'a str,
    pub(super) repeatable: bool,
    /// The time after which the request is not sent again.
    pub(super) deadline: Timestamp,
}

/// The requests that a connection has carried and that may be sent again.
#[derive(Clone, Debug, Default)]
pub(super) struct CarriedRequests(Vec<(Box<str>, Timestamp)>);

impl CarriedRequests {
    /// Whether the request was sent on the connection and may be sent again.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|(carried, _)| **carried == *id)
    }

    pub(super) fn add(&mut self, now: Timestamp, sending: Sending<'_>) {
        self.0.retain(|(_, deadline)| *deadline > now);
        self.0.push((sending.id.into(), sending.deadline));
    }
}
