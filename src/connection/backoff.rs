//! Exponential backoff with jitter for connection attempts to an upstream.
//!
//! Accepting a connection costs the upstream milliseconds, so the delay grows with every
//! failed attempt and every connection that carries no reply. The jitter keeps instances
//! from connecting at the same time. See `docs/DESIGN.md`, "Links".

use crate::types::{Ratio, Span, Timestamp};

const INITIAL_BACKOFF: Span = Span::from_millis(10);
const MAX_BACKOFF: Span = Span::from_secs(1);
const MAX_DOUBLINGS: u32 = 7;
/// A connection that carried a reply and was open for this long resets the backoff.
const RESET_AFTER: Span = Span::from_secs(1);

/// What a connection achieved before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOutcome {
    /// The connection carried no reply.
    NoReply,
    /// The connection carried at least one reply and was open for this long.
    Replied(Span),
}

/// The backoff state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    retry_at: Timestamp,
}

impl Backoff {
    /// Whether a connection attempt is allowed now.
    pub(super) fn allows(&self, now: Timestamp) -> bool {
        self.retry_at <= now
    }

    /// Records a failed attempt. The delay is between half and all of the backoff,
    /// scaled by `jitter`.
    pub(super) fn failed(&mut self, now: Timestamp, jitter: Ratio) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = Span(INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF);
        let half = backoff.0 / 2;
        let jittered = half * u64::from(jitter.ppm()) / u64::from(Ratio::ONE.ppm());
        self.failures += 1;
        self.retry_at = now + Span(half + jittered);
    }

    /// Records the end of a connection. A connection without a reply counts as a failed
    /// attempt. A long-lived connection with replies resets the backoff, since it shows
    /// that the upstream accepts connections.
    pub(super) fn ended(&mut self, now: Timestamp, outcome: ConnectionOutcome, jitter: Ratio) {
        match outcome {
            ConnectionOutcome::NoReply => self.failed(now, jitter),
            ConnectionOutcome::Replied(age) if age >= RESET_AFTER => *self = Self::default(),
            ConnectionOutcome::Replied(_) => {}
        }
    }
}
