//! A claim page: which attempt holds each order of one partition and window.
//!
//! This module performs no I/O; [`super::commit`] reads and writes pages.

use indexmap::IndexMap;

use super::id::{ClaimId, OrderId};
use crate::types::Fingerprint;

/// Maximum claims per page, so that a full page fits into an object of one megabyte.
pub(super) const MAX_CLAIMS: usize = 10_000;

/// Progress of the attempt that holds an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// It may be running or may have run.
    Claimed,
    /// It ran and returned an answer.
    Done,
}

/// The claim on an order, with the fingerprint of the request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) claim: ClaimId,
    pub(super) body: Fingerprint,
    pub(super) state: ClaimState,
}

/// A change that an attempt makes to the entry of its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimChange {
    /// Claim the order.
    Claim { body: Fingerprint },
    /// Record that the order ran.
    Done,
    /// Remove the claim so that another attempt can claim the order; this one did not run.
    Release,
}

/// The result of applying a change to a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyResult {
    /// The page reflects the change.
    Applied,
    /// Another attempt holds the order.
    Taken { state: ClaimState, same_body: bool },
    /// The page has no room for another claim.
    Full,
}

/// The claims of one page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Page {
    pub(super) entries: IndexMap<OrderId, Entry>,
}

impl Page {
    /// Applies a change. Idempotent, so that a write of unknown outcome can be retried.
    pub(super) fn apply(
        &mut self,
        order: OrderId,
        claim: ClaimId,
        change: ClaimChange,
    ) -> ApplyResult {
        let existing = self.entries.get_mut(&order);
        let ours = existing.as_ref().is_some_and(|entry| entry.claim == claim);
        match (change, existing) {
            (ClaimChange::Claim { .. }, Some(_)) if ours => ApplyResult::Applied,
            (ClaimChange::Claim { body }, Some(entry)) => ApplyResult::Taken {
                state: entry.state,
                same_body: entry.body == body,
            },
            (ClaimChange::Claim { body }, None) => self.insert(order, claim, body),
            (ClaimChange::Done, Some(entry)) if ours => {
                entry.state = ClaimState::Done;
                ApplyResult::Applied
            }
            (ClaimChange::Release, Some(_)) if ours => {
                self.entries.swap_remove(&order);
                ApplyResult::Applied
            }
            (ClaimChange::Done | ClaimChange::Release, _) => ApplyResult::Applied,
        }
    }

    fn insert(&mut self, order: OrderId, claim: ClaimId, body: Fingerprint) -> ApplyResult {
        if self.entries.len() >= MAX_CLAIMS {
            return ApplyResult::Full;
        }
        let entry = Entry {
            claim,
            body,
            state: ClaimState::Claimed,
        };
        self.entries.insert(order, entry);
        ApplyResult::Applied
    }
}
