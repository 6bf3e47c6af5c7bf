//! Limits the rate of one instance's calls to the platform, whose rate limits are shared
//! by all instances; see `docs/DESIGN.md`, "Platform".

use std::time::Instant;

use super::PlatformError;
use crate::process::{Rank, Ranked};
use crate::types::PerSecond;

/// Capacity of a bucket, as the seconds it takes to refill.
const BURST_SECONDS: f64 = 2.0;

/// Maximum rates of one instance's calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRates {
    /// Reads and watches per second.
    pub reads: PerSecond,
    /// Writes and deletes per second.
    pub writes: PerSecond,
}

impl Default for CallRates {
    /// A seventh of the platform's rate limits, for a fleet of seven instances.
    fn default() -> Self {
        Self {
            reads: PerSecond(200.0),
            writes: PerSecond(40.0),
        }
    }
}

/// A token bucket for one kind of call.
#[derive(Debug)]
pub(crate) struct CallBucket {
    rate: PerSecond,
    level: Ranked<Level>,
}

#[derive(Debug)]
struct Level {
    tokens: f64,
    refilled_at: Instant,
}

impl CallBucket {
    pub(crate) fn new(rate: PerSecond) -> Self {
        let level = Level {
            tokens: rate.0 * BURST_SECONDS,
            refilled_at: Instant::now(),
        };
        Self {
            rate,
            level: Ranked::new(Rank::PlatformCalls, level),
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// [`PlatformError::Busy`] when the bucket is empty; the call must not be made.
    pub(crate) fn take(&self, now: Instant) -> Result<(), PlatformError> {
        let mut level = self.level.lock();
        let elapsed = now
            .saturating_duration_since(level.refilled_at)
            .as_secs_f64();
        let capacity = self.rate.0 * BURST_SECONDS;
        level.tokens = (level.tokens + elapsed * self.rate.0).min(capacity);
        level.refilled_at = level.refilled_at.max(now);
        if level.tokens < 1.0 {
            return Err(PlatformError::Busy);
        }
        level.tokens -= 1.0;
        Ok(())
    }
}
