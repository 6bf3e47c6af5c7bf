//! How the platform's store treats calls while it is harmed.

use std::time::Duration;

use super::standin::platform::{Faults, Platform};

/// Longer than any client waits for a reply.
const NEVER: Duration = Duration::from_secs(5);
/// What a slow store takes for an answer, as the platform states it.
const SLOWLY: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    #[default]
    Well,
    /// Takes calls and does not answer in time.
    Silent,
    /// Refuses every call.
    Busy,
    /// Cuts every connection.
    Cuts,
    /// Answers after a while.
    Slow,
}

impl Mood {
    pub(crate) fn befall(self, store: &Platform) {
        store.faults(|faults| {
            *faults = Faults {
                slow: match self {
                    Self::Silent => NEVER,
                    Self::Slow => SLOWLY,
                    Self::Well | Self::Busy | Self::Cuts => Duration::ZERO,
                },
                busy: if self == Self::Busy { u32::MAX } else { 0 },
                ..Faults::default()
            };
        });
        store.cut_all(self == Self::Cuts);
    }
}
