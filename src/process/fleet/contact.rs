//! Whether the instances that this one follows answer it.
//!
//! The age of updates does not tell an outage of the store, in which nobody has newer ones, from a
//! parent that is cut off from the rest of the fleet. In an outage the parent still has answers from
//! its own parent. One that is cut off has none: it does what the reader does, and if that does not
//! help, it says so to its followers. See `docs/DESIGN.md`, "Who reads the store".

use super::follow::ANSWER_TIMEOUT;
use super::{Fleet, Parent};
use crate::types::{Span, Timestamp};

/// How long an instance goes without an answer until it acts as the reader instead of asking one
/// silent instance after the other.
const DETACH_AFTER: Span = Span::from_millis(1_400);
/// How long an instance goes on to act as the reader after it had an answer: it loses `DETACH_AFTER`
/// whenever it returns to others that are still silent.
const DETACHED_FOR: Span = Span::from_secs(3);
/// How long an instance goes without an answer until it has lost contact: by then the store, or a
/// delegate, would have answered.
const LOST_AFTER: Span = Span::from_millis(1_800);

/// The contact of this instance with those that it follows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// When the first of the requests was sent that have had no answer since.
    unanswered_since: Option<Timestamp>,
    /// Until when this instance acts as the reader although it had an answer again.
    detached_until: Timestamp,
}

impl Fleet {
    /// Records an answer of an instance that this one follows, or of the store.
    pub(crate) fn on_answer(&mut self, now: Timestamp) {
        if self.is_detached(now) && self.contact.unanswered_since.is_some() {
            self.contact.detached_until = now + DETACHED_FOR;
        }
        self.contact.unanswered_since = None;
    }

    /// Records that a request to a followed instance, which was sent at that time, has no answer, or
    /// one of an instance that has itself lost contact. The reader needs nobody's answers.
    pub(crate) fn on_no_answer(&mut self, now: Timestamp, sent: Timestamp) {
        if self.first_choice(now) != Parent::Store {
            // While this process was paused, nobody was silent.
            let silent_since = sent.max(now - ANSWER_TIMEOUT);
            self.contact.unanswered_since.get_or_insert(silent_since);
        }
    }

    /// Whether this instance acts as the reader, because those that it follows do not answer.
    pub(crate) fn is_detached(&self, now: Timestamp) -> bool {
        let since = self.contact.unanswered_since;
        let is_silent = since.is_some_and(|since| now.since(since) >= DETACH_AFTER);
        is_silent || now < self.contact.detached_until
    }

    /// Returns how long to wait for an answer: while others are silent too, not beyond the moment
    /// at which this instance acts as the reader.
    pub(crate) fn answer_timeout(&self, now: Timestamp) -> Span {
        let detach_at = self
            .contact
            .unanswered_since
            .map(|since| since + DETACH_AFTER);
        match detach_at {
            Some(at) if now < at => ANSWER_TIMEOUT.min(at.since(now)),
            _ => ANSWER_TIMEOUT,
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
