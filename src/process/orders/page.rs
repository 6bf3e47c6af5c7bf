//! One page of the ledger: which attempt holds each order of a partition and window.
//!
//! Nothing here knows the platform; [`super::commit`] brings a page there and back.

use indexmap::IndexMap;

use super::id::{ClaimId, OrderId};
use crate::types::Fingerprint;

/// A full page stays under the megabyte that an object may have.
pub(super) const MOST_CLAIMS: usize = 10_000;

/// What is known about the one attempt that holds an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It may have run, or may be running.
    Claimed,
    /// It ran, and its caller was answered.
    Done,
}

/// The claim on one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) claim: ClaimId,
    pub(super) body: Fingerprint,
    pub(super) standing: Standing,
}

/// A change that an attempt wants made to its order's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wish {
    /// Hold the order.
    Claim { body: Fingerprint },
    /// Note that the order ran.
    Done,
    /// Let another attempt claim the order, because this one never sent it.
    Release,
}

/// What became of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The page now says what was wished.
    Made,
    /// Another attempt holds the order.
    Taken { standing: Standing, same_body: bool },
    /// The page has room for no more claims.
    Full,
}

/// The claims of one page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Page {
    pub(super) entries: IndexMap<OrderId, Entry>,
}

impl Page {
    /// Makes one change; making it again changes nothing more, so that a write whose
    /// fate is unknown can be tried again.
    pub(super) fn apply(&mut self, order: OrderId, claim: ClaimId, wish: Wish) -> Verdict {
        let held = self.entries.get_mut(&order);
        let ours = held.as_ref().is_some_and(|entry| entry.claim == claim);
        match (wish, held) {
            (Wish::Claim { .. }, Some(_)) if ours => Verdict::Made,
            (Wish::Claim { body }, Some(entry)) => Verdict::Taken {
                standing: entry.standing,
                same_body: entry.body == body,
            },
            (Wish::Claim { body }, None) => self.insert(order, claim, body),
            (Wish::Done, Some(entry)) if ours => {
                entry.standing = Standing::Done;
                Verdict::Made
            }
            (Wish::Release, Some(_)) if ours => {
                self.entries.swap_remove(&order);
                Verdict::Made
            }
            (Wish::Done | Wish::Release, _) => Verdict::Made,
        }
    }

    fn insert(&mut self, order: OrderId, claim: ClaimId, body: Fingerprint) -> Verdict {
        if self.entries.len() >= MOST_CLAIMS {
            return Verdict::Full;
        }
        let entry = Entry {
            claim,
            body,
            standing: Standing::Claimed,
        };
        self.entries.insert(order, entry);
        Verdict::Made
    }
}
