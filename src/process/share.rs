//! How many instances the limits are divided among while membership is uncertain.
//!
//! A new instance counts at once. One that is gone counts until its absence has stood
//! for a while, and for as long as nobody can vouch for it, because an instance that
//! is cut off still serves; see `docs/DESIGN.md`, "Membership".

use crate::types::{Span, Timestamp};

/// The number that the limits are divided by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    hold: Span,
    counted: u32,
    lower: Option<Lower>,
}

#[derive(Clone, Copy, Debug)]
struct Lower {
    since: Timestamp,
    most: u32,
}

impl Share {
    /// Falls only after a lower number has stood for `hold`.
    pub(crate) fn new(hold: Span) -> Self {
        Self {
            hold,
            counted: 1,
            lower: None,
        }
    }

    /// Takes the number of instances known now and says which to divide by; `vouched`
    /// when a leader's word or the platform's stands behind it.
    pub(crate) fn count(&mut self, now: Timestamp, known: u32, vouched: bool) -> u32 {
        if known >= self.counted {
            self.counted = known;
            self.lower = None;
            return self.counted;
        }
        if !vouched {
            self.lower = None;
            return self.counted;
        }
        let lower = self.lower.get_or_insert(Lower {
            since: now,
            most: known,
        });
        lower.most = lower.most.max(known);
        if now.since(lower.since) >= self.hold {
            self.counted = lower.most;
            self.lower = None;
        }
        self.counted
    }
}
