//! The process's clock, read at its edges only.

use std::time::Instant;

use crate::types::Timestamp;

/// Counts from the moment it was made, and never backwards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The instant of the standard library that a timestamp of this clock stands for.
    pub(crate) fn instant(self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}
