//! How many lines about single requests may be written, so that the log stays bounded
//! under load. What is left out is counted, and the next line says how much it was.

use crate::types::{PerSecond, Timestamp};

/// Lines a second for one process: an on-call engineer reads a failure from its first
/// lines, and a line takes some ten microseconds of processor time.
const LINES: PerSecond = PerSecond(40.0);
/// So many lines may come together.
const BURST: f64 = 80.0;

/// The lines that may still be written.
#[derive(Clone, Debug)]
pub(crate) struct LogRate {
    tokens: f64,
    at: Timestamp,
    left_out: u64,
}

impl Default for LogRate {
    fn default() -> Self {
        Self {
            tokens: BURST,
            at: Timestamp::default(),
            left_out: 0,
        }
    }
}

impl LogRate {
    /// Whether a line may be written; if so, how many were left out before it.
    pub(crate) fn take(&mut self, now: Timestamp) -> Option<u64> {
        let earned = now.since(self.at).as_duration().as_secs_f64() * LINES.0;
        self.tokens = (self.tokens + earned).min(BURST);
        self.at = now;
        if self.tokens < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
#[path = "log_rate_tests.rs"]
mod log_rate_tests;
