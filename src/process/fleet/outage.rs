//! What a reader of the store knows of its last outage, in which entries may have lapsed although
//! their replicas live.

use super::EntryState;
use crate::types::{Span, Timestamp};

/// Replicas that lapsed with an outage are back within two seconds of its end, so a
/// deletion until then may only be a lapse.
const LAPSE_WINDOW: Span = Span::from_millis(2_200);

/// The last outage of the store, as one reader sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastOutage {
    lasts: bool,
    ended: Option<Timestamp>,
}

impl LastOutage {
    /// Records a failed call, or that another instance does not reach the store, in whose place
    /// this one reads it. Returns whether the outage is new.
    pub(super) fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.lasts, true)
    }

    /// Records that the store answered. Returns whether that ends an outage.
    pub(super) fn end(&mut self, now: Timestamp) -> bool {
        if self.lasts {
            self.ended = Some(now);
        }
        std::mem::take(&mut self.lasts)
    }

    /// The state of objects that are deleted now. After an outage it may only be a lapse.
    pub(super) fn deleted_state(self, now: Timestamp) -> EntryState {
        let may_be_lapse = self
            .ended
            .is_some_and(|ended| now.since(ended) < LAPSE_WINDOW);
        if may_be_lapse {
            EntryState::Lapsed
        } else {
            EntryState::Gone(None)
        }
    }
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod outage_tests;
