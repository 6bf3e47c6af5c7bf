//! Faults of the platform's store.

use std::time::Duration;

use super::standin::platform::{Faults, Platform};

/// Longer than any client's timeout.
const BEYOND_CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Latency of a slow store, as the platform documents it.
const SLOW_REPLY: Duration = Duration::from_millis(300);

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    #[default]
    Normal,
    /// Accepts calls and does not answer in time.
    Silent,
    /// Refuses every call.
    Busy,
    /// Closes every connection at its next request.
    ClosesConnections,
    /// Answers with a delay of `SLOW_REPLY`.
    Slow,
}

impl StoreMode {
    /// Replaces the faults of the store with those of this mode.
    pub(crate) fn apply_to(self, store: &Platform) {
        store.faults(|faults| {
            *faults = Faults {
                slow: match self {
                    Self::Silent => BEYOND_CLIENT_TIMEOUT,
                    Self::Slow => SLOW_REPLY,
                    Self::Normal | Self::Busy | Self::ClosesConnections => Duration::ZERO,
                },
                busy: if self == Self::Busy { u32::MAX } else { 0 },
                ..Faults::default()
            };
        });
        store.cut_all(self == Self::ClosesConnections);
    }
}
