//! Bounds the writes that the ledger costs the platform.

use crate::types::{PerSecond, Span, Timestamp};

/// Writes that may come at once after a pause.
const BURST: f64 = 8.0;

/// A token for each write, earned at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tokens {
    left: f64,
    counted: Timestamp,
}

impl Tokens {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            left: BURST,
            counted: now,
        }
    }

    /// Takes a token, or says how long to wait before trying again.
    pub(super) fn take(&mut self, now: Timestamp, rate: PerSecond) -> Result<(), Span> {
        let earned = now.since(self.counted).as_duration().as_secs_f64() * rate.0;
        self.left = (self.left + earned).min(BURST);
        self.counted = now;
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        let wait = std::time::Duration::from_secs_f64((1.0 - self.left) / rate.0);
        Err(Span(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)))
    }
}
