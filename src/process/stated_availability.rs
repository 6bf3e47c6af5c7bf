//! When an upstream takes legs, by what it says of itself.

use crate::types::{Span, Timestamp};

/// An upstream that leaves ends within seconds. One that is still there after this time is asked
/// once more, so that a wrong statement does not lose it for good.
const LEAVING_TTL: Span = Span::from_secs(600);

/// What one upstream said of its availability.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedAvailability {
    leaving_until: Timestamp,
}

impl StatedAvailability {
    /// Records that the upstream says that it leaves. Returns until when it gets no legs.
    pub(super) fn leave(&mut self, now: Timestamp) -> Timestamp {
        self.leaving_until = now + LEAVING_TTL;
        self.leaving_until
    }

    pub(super) fn is_leaving(self, now: Timestamp) -> bool {
        now < self.leaving_until
    }
}
