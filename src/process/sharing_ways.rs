//! The ways of sharing slots that `sharing_tests.rs` compares.

use super::{LegEnd, Limits};
use crate::types::{Span, Timestamp};
use crate::version::UpstreamSpec;

/// The mean time that a leg takes in its slot.
pub(super) const SERVICE: Span = Span::from_millis(4);

/// A way to share the slots.
#[derive(Clone, Copy, Debug)]
pub(super) enum Way {
    /// The share rounded up, as the number of legs under way.
    Ceiling,
    /// Slot-seconds earned at the share's rate; a leg costs its mean service time.
    Bucket,
    /// The window that follows the queue.
    Adaptive,
}

pub(super) enum Sharer {
    Ceiling {
        used: u32,
        most: u32,
    },
    Bucket {
        at: Timestamp,
        micros: f64,
        rate: f64,
    },
    Adaptive(Limits),
}

#[expect(clippy::cast_precision_loss, reason = "spans of this test are short")]
impl Sharer {
    pub(super) fn new(way: Way, spec: &UpstreamSpec, live: u32) -> Self {
        match way {
            Way::Ceiling => Self::Ceiling {
                used: 0,
                most: spec.slots.0.div_ceil(live),
            },
            Way::Bucket => Self::Bucket {
                at: Timestamp(0),
                micros: SERVICE.0 as f64,
                rate: f64::from(spec.slots.0) / f64::from(live),
            },
            Way::Adaptive => {
                let mut limits = Limits::default();
                limits.set_live(Timestamp(0), live);
                Self::Adaptive(limits)
            }
        }
    }

    pub(super) fn room_at(&mut self, now: Timestamp, spec: &UpstreamSpec) -> Timestamp {
        let cost = SERVICE.0 as f64;
        match self {
            Self::Ceiling { used, most } if *used < *most => now,
            Self::Ceiling { .. } => now + Span::from_millis(1),
            Self::Bucket { at, micros, rate } => {
                *micros = (*micros + now.since(*at).0 as f64 * *rate).min(cost);
                *at = now;
                if *micros >= cost - 1.0 {
                    return now;
                }
                now + Span::from_millis(1)
            }
            Self::Adaptive(limits) => limits.room_at(now, spec),
        }
    }

    pub(super) fn take(&mut self, now: Timestamp, spec: &UpstreamSpec) {
        match self {
            Self::Ceiling { used, .. } => *used += 1,
            Self::Bucket { micros, .. } => *micros -= SERVICE.0 as f64,
            Self::Adaptive(limits) => limits.take(now, spec),
        }
    }

    pub(super) fn end(&mut self, now: Timestamp, spec: &UpstreamSpec, end: LegEnd, took: Span) {
        match self {
            Self::Ceiling { used, .. } => *used -= 1,
            Self::Bucket { .. } => {}
            Self::Adaptive(limits) => {
                limits.observe(now, &spec.name, end, took);
                limits.give(now, &spec.name, took);
            }
        }
    }
}
