//! How many calls a second one instance makes to the platform, whose rates are shared
//! by all instances; see `docs/DESIGN.md`, "Platform".

use std::time::Instant;

use super::PlatformError;
use crate::process::{Rank, Ranked};
use crate::types::PerSecond;

const BURST_SECONDS: f64 = 2.0;

/// The calls that one instance makes at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRates {
    /// Reads and watches a second.
    pub reads: PerSecond,
    /// Writes and deletes a second.
    pub writes: PerSecond,
}

impl Default for CallRates {
    /// A part for each of seven instances of what the platform takes.
    fn default() -> Self {
        Self {
            reads: PerSecond(200.0),
            writes: PerSecond(40.0),
        }
    }
}

/// Tokens for one kind of call.
#[derive(Debug)]
pub(crate) struct CallBucket {
    rate: PerSecond,
    filled: Ranked<Filled>,
}

#[derive(Debug)]
struct Filled {
    tokens: f64,
    at: Instant,
}

impl CallBucket {
    pub(crate) fn new(rate: PerSecond) -> Self {
        let filled = Filled {
            tokens: rate.0 * BURST_SECONDS,
            at: Instant::now(),
        };
        Self {
            rate,
            filled: Ranked::new(Rank::PlatformCalls, filled),
        }
    }

    /// Spends a token.
    ///
    /// # Errors
    /// [`PlatformError::Busy`] when there is none: the call is not made.
    pub(crate) fn take(&self, now: Instant) -> Result<(), PlatformError> {
        let mut filled = self.filled.lock();
        let passed = now.saturating_duration_since(filled.at).as_secs_f64();
        let most = self.rate.0 * BURST_SECONDS;
        filled.tokens = (filled.tokens + passed * self.rate.0).min(most);
        filled.at = filled.at.max(now);
        if filled.tokens < 1.0 {
            return Err(PlatformError::Busy);
        }
        filled.tokens -= 1.0;
        Ok(())
    }
}
