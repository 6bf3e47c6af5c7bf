//! Whether the instances that this one follows answer it.
//!
//! The age of updates does not tell an outage of the store, in which nobody has newer ones, from a
//! parent that is cut off from the rest of the fleet. In an outage the parent still has answers from
//! its own parent; one that is cut off has none, and says so to its followers. See `docs/DESIGN.md`,
//! "Who reads the store".

use super::{Fleet, Parent};
use crate::types::{Span, Timestamp};

/// How long an instance may go without an answer until it has lost contact: two instances, one after
/// the other, may fail to answer.
const LOST_AFTER: Span = Span::from_millis(1_800);

/// The contact of this instance with those that it follows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// When the first of the requests was sent that have had no answer since.
    unanswered_since: Option<Timestamp>,
}

impl Fleet {
    /// Records an answer of an instance that this one follows.
    pub(crate) fn on_answer(&mut self) {
        self.contact.unanswered_since = None;
    }

    /// Records that a request to a followed instance, which was sent at that time, has no answer, or
    /// one of an instance that has itself lost contact. The reader needs nobody's answers.
    pub(crate) fn on_no_answer(&mut self, now: Timestamp, sent: Timestamp) {
        if self.first_choice(now) != Parent::Store {
            self.contact.unanswered_since.get_or_insert(sent);
        }
    }

    /// Whether this instance no longer knows what the others know. Its updates then age although
    /// others may have newer ones, so its followers have to leave it.
    pub(crate) fn has_lost_contact(&self, now: Timestamp) -> bool {
        let since = self.contact.unanswered_since;
        since.is_some_and(|since| now.since(since) >= LOST_AFTER)
    }
}

#[cfg(test)]
#[path = "contact_tests.rs"]
mod contact_tests;
