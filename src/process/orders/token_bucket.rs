//! Token bucket that limits the rate of writes to claim pages.

use crate::types::{PerSecond, Span, Timestamp};

/// Capacity of the bucket: the writes allowed at once after an idle time.
const BURST: f64 = 8.0;

/// A token bucket; each write takes one token, and tokens are refilled at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    available: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            available: BURST,
            refilled_at: now,
        }
    }

    /// Takes a token, or returns how long to wait until one is available.
    pub(super) fn take(&mut self, now: Timestamp, rate: PerSecond) -> Result<(), Span> {
        let refilled = now.since(self.refilled_at).as_duration().as_secs_f64() * rate.0;
        self.available = (self.available + refilled).min(BURST);
        self.refilled_at = now;
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Ok(());
        }
        let wait = std::time::Duration::from_secs_f64((1.0 - self.available) / rate.0);
        Err(Span(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)))
    }
}
