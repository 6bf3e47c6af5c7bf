//! Exponential backoff with jitter, so that instances that failed at the same time do not
//! retry at the same time.

use rand::Rng;

use crate::types::Span;

/// Pauses that double from `first` up to `max`, with jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: Span,
    max: Span,
    next: Span,
}

impl Backoff {
    pub(crate) const fn new(first: Span, max: Span) -> Self {
        Self {
            first,
            max,
            next: first,
        }
    }

    /// Returns the next pause, a random span from 0.5 to 1 times the current step, and
    /// doubles the step.
    pub(crate) fn pause(&mut self, rng: &mut impl Rng) -> Span {
        let step = self.next;
        self.next = Span(step.0.saturating_mul(2)).min(self.max);
        Span(rng.random_range(step.0 / 2..=step.0))
    }

    /// Returns to the first step; to be called after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }
}
