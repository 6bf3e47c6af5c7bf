//! The strategies for sharing slots that `sharing_tests.rs` compares.

use super::{LegEnd, Limits};
use crate::types::{Span, Timestamp};
use crate::version::UpstreamSpec;

/// The mean time that a leg occupies a slot.
pub(super) const SERVICE_TIME: Span = Span::from_millis(4);

/// A strategy for sharing the slots of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) enum Strategy {
    /// A fixed concurrency limit: the share, rounded up.
    Ceiling,
    /// A token bucket of slot time that fills at the rate of the share; a leg takes its mean
    /// service time.
    Bucket,
    /// The concurrency limit that adapts to the queue.
    Adaptive,
}

pub(super) enum Limiter {
    Ceiling {
        used: u32,
        max: u32,
    },
    Bucket {
        at: Timestamp,
        micros: f64,
        rate: f64,
    },
    Adaptive(Limits),
}

#[expect(clippy::cast_precision_loss, reason = "spans of this test are short")]
impl Limiter {
    pub(super) fn new(strategy: Strategy, spec: &UpstreamSpec, live: u32) -> Self {
        match strategy {
            Strategy::Ceiling => Self::Ceiling {
                used: 0,
                max: spec.slots.0.div_ceil(live),
            },
            Strategy::Bucket => Self::Bucket {
                at: Timestamp(0),
                micros: SERVICE_TIME.0 as f64,
                rate: f64::from(spec.slots.0) / f64::from(live),
            },
            Strategy::Adaptive => {
                let mut limits = Limits::default();
                limits.set_live(Timestamp(0), live);
                Self::Adaptive(limits)
            }
        }
    }

    pub(super) fn room_at(&mut self, now: Timestamp, spec: &UpstreamSpec) -> Timestamp {
        let cost = SERVICE_TIME.0 as f64;
        match self {
            Self::Ceiling { used, max } if *used < *max => now,
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
            Self::Bucket { micros, .. } => *micros -= SERVICE_TIME.0 as f64,
            Self::Adaptive(limits) => limits.take(now, spec),
        }
    }

    pub(super) fn end(&mut self, now: Timestamp, spec: &UpstreamSpec, end: LegEnd, took: Span) {
        match self {
            Self::Ceiling { used, .. } => *used -= 1,
            Self::Bucket { .. } => {}
            Self::Adaptive(limits) => {
                limits.observe(now, &spec.name, end, took);
                limits.release(now, &spec.name, took);
            }
        }
    }
}
