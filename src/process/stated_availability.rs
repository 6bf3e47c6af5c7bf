//! When an upstream takes legs, by what it says of itself.

use crate::types::{Span, Timestamp};

/// An upstream that leaves ends within seconds. One that is still there after this time is asked
/// once more, so that a wrong statement does not lose it for good.
const LEAVING_TTL: Span = Span::from_secs(600);

/// A longer pause is cut to this, so that a wrong statement does not lose an upstream for good.
const MAX_PAUSE: Span = Span::from_secs(600);

/// What one upstream said of its availability.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedAvailability {
    leaving_until: Timestamp,
    paused_until: Timestamp,
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

    /// Records that the upstream wants no legs for a while. Returns until when it gets none.
    pub(super) fn pause(&mut self, now: Timestamp, pause: Span) -> Timestamp {
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        self.paused_until
    }

    pub(super) fn is_paused(self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns when it takes the next leg; `None` if it leaves.
    pub(super) fn room_at(self, now: Timestamp) -> Option<Timestamp> {
        (!self.is_leaving(now)).then_some(self.paused_until.max(now))
    }
}
