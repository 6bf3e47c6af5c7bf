//! Growing pauses between attempts, drawn at random so that instances that failed
//! together do not come back together.

use rand::Rng;

use crate::types::Span;

/// Pauses that double from `first` up to `most`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: Span,
    most: Span,
    next: Span,
}

impl Backoff {
    pub(crate) const fn new(first: Span, most: Span) -> Self {
        Self {
            first,
            most,
            next: first,
        }
    }

    /// The next pause: between half and the whole of the present step.
    pub(crate) fn pause(&mut self, rng: &mut impl Rng) -> Span {
        let step = self.next;
        self.next = Span(step.0.saturating_mul(2)).min(self.most);
        Span(rng.random_range(step.0 / 2..=step.0))
    }

    /// Begins again with the first step, after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }
}
