//! A rate limit for log lines about single requests, so that the log stays bounded under
//! load. Suppressed lines are counted, and the next line states their number.

use crate::types::{PerSecond, Timestamp};

/// Lines per second of one process. The first lines of a failure are enough to diagnose
/// it, and a line costs about ten microseconds of CPU time.
const MAX_LINE_RATE: PerSecond = PerSecond(40.0);
/// The number of lines that may be written at once.
const MAX_BURST: f64 = 80.0;

/// A token bucket for log lines.
#[derive(Clone, Debug)]
pub(crate) struct LogRate {
    tokens: f64,
    refilled_at: Timestamp,
    suppressed: u64,
}

impl Default for LogRate {
    fn default() -> Self {
        Self {
            tokens: MAX_BURST,
            refilled_at: Timestamp::default(),
            suppressed: 0,
        }
    }
}

impl LogRate {
    /// Whether a line may be written; if so, returns how many were suppressed before it.
    pub(crate) fn take(&mut self, now: Timestamp) -> Option<u64> {
        let earned = now.since(self.refilled_at).as_duration().as_secs_f64() * MAX_LINE_RATE.0;
        self.tokens = (self.tokens + earned).min(MAX_BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
#[path = "log_rate_tests.rs"]
mod log_rate_tests;
