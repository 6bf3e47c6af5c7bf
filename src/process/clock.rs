//! The clock of the process, read only at its edges.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::types::{Timestamp, UnixSeconds};

/// A monotonic clock that counts from its creation.
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

    /// The machine's wall-clock time, which may be wrong or jump.
    #[expect(clippy::unused_self, reason = "all clocks are read through this type")]
    pub(crate) fn wall(self) -> UnixSeconds {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixSeconds(since.map_or(0, |since| since.as_secs()))
    }

    /// Converts a timestamp of this clock to an [`Instant`].
    pub(crate) fn instant(self, at: Timestamp) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}
