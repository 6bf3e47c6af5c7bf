//! The requests that a connection to a replica has carried.
//!
//! Responses name their request and not the leg that they answer, so a late copy of a refusal looks
//! like the response to the next leg of the same request, which therefore takes another connection.
//! A response to any other request in the list is a late copy too. See `docs/DESIGN.md`, "Late copies
//! of responses".

use crate::types::Timestamp;

/// The requests that were answered on a connection, for as long as they may be sent again.
#[derive(Clone, Debug, Default)]
pub(super) struct CarriedRequests(Vec<(Box<str>, Timestamp)>);

impl CarriedRequests {
    /// Whether the request was answered on the connection, so that another response to it is a copy.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|(carried, _)| **carried == *id)
    }

    /// Adds a request that is not sent again after its deadline.
    pub(super) fn add(&mut self, now: Timestamp, id: &str, deadline: Timestamp) {
        self.0.retain(|(_, deadline)| *deadline > now);
        self.0.push((id.into(), deadline));
    }
}
