//! The process's clock, read at its edges only.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::types::{Timestamp, UnixSeconds};

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

    /// The time of day by the machine's clock, which may be off or jump.
    #[expect(clippy::unused_self, reason = "all clocks are read through this type")]
    pub(crate) fn wall(self) -> UnixSeconds {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixSeconds(since.map_or(0, |since| since.as_secs()))
    }

    /// The instant of the standard library that a timestamp of this clock stands for.
    pub(crate) fn instant(self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}
