//! The number of instances that the limits are divided by while membership is uncertain.
//!
//! A new instance counts at once. One that is gone still counts until a leader or the
//! platform has confirmed its absence for a while, because an instance that is cut off
//! still serves; see `docs/DESIGN.md`, "Membership".

use crate::types::{Span, Timestamp};

/// The number of instances that the limits are divided by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceCount {
    hold: Span,
    counted: u32,
    pending: Option<PendingDecrease>,
}

#[derive(Clone, Copy, Debug)]
struct PendingDecrease {
    since: Timestamp,
    max_known: u32,
}

impl InstanceCount {
    /// Creates a count that decreases only after a lower number was known and confirmed for
    /// `hold`.
    pub(crate) fn new(hold: Span) -> Self {
        Self {
            hold,
            counted: 1,
            pending: None,
        }
    }

    /// Updates the count with the number of instances known now and returns the number to
    /// divide by. `confirmed` says whether a leader or the platform confirms `known`.
    pub(crate) fn count(&mut self, now: Timestamp, known: u32, confirmed: bool) -> u32 {
        if known >= self.counted {
            self.counted = known;
            self.pending = None;
            return self.counted;
        }
        if !confirmed {
            self.pending = None;
            return self.counted;
        }
        let pending = self.pending.get_or_insert(PendingDecrease {
            since: now,
            max_known: known,
        });
        pending.max_known = pending.max_known.max(known);
        if now.since(pending.since) >= self.hold {
            self.counted = pending.max_known;
            self.pending = None;
        }
        self.counted
    }
}
