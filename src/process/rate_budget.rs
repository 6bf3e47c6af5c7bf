//! This instance's part of the rate that an upstream takes from all instances together.
//!
//! A token bucket that is not filled at first: the upstream is in need when it states its
//! limit. See `docs/DESIGN.md`, "What upstreams say of themselves".

use crate::types::{PerSecond, Span, Timestamp};

/// Capacity of the bucket, as the seconds it takes to fill. It lets the requests of a busy
/// moment through that a quiet one left.
const BURST_SECS: f64 = 1.0;
/// A limit below this is raised to it: an upstream that is never asked could not lift its
/// limit.
const MIN_LIMIT: PerSecond = PerSecond(1.0);
const MICROS_PER_SEC: f64 = 1e6;

/// The part of one upstream's rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateBudget {
    limit: PerSecond,
    /// The number of instances that the limit is divided among.
    sharers: u32,
    tokens: f64,
    refilled_at: Timestamp,
    /// When the upstream stated the limit last.
    stated_at: Timestamp,
}

impl RateBudget {
    pub(super) fn new(now: Timestamp, limit: PerSecond, sharers: u32) -> Self {
        Self {
            limit,
            sharers,
            tokens: 0.0,
            refilled_at: now,
            stated_at: now,
        }
    }

    /// Records that the upstream stated its limit again.
    pub(super) fn state(&mut self, now: Timestamp, limit: PerSecond) {
        self.refill(now);
        self.limit = limit;
        self.stated_at = now;
    }

    pub(super) fn set_sharers(&mut self, now: Timestamp, sharers: u32) {
        self.refill(now);
        self.sharers = sharers;
    }

    /// Whether a reply without a limit lifts it: only one to a leg that was sent after the
    /// limit was stated, since replies overtake each other.
    pub(super) fn is_lifted_by(&self, sent_at: Timestamp) -> bool {
        sent_at > self.stated_at
    }

    /// Returns the time since the upstream stated its limit last.
    pub(super) fn stated_for(&self, now: Timestamp) -> Span {
        now.since(self.stated_at)
    }

    /// Returns when the next leg may be sent.
    pub(super) fn room_at(&self, now: Timestamp) -> Timestamp {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return now;
        }
        now + Span::from_micros_f64((missing / self.rate() * MICROS_PER_SEC).ceil())
    }

    pub(super) fn take(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Timestamp) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.refilled_at).as_duration().as_secs_f64();
        let capacity = (self.rate() * BURST_SECS).max(1.0);
        (self.tokens + elapsed * self.rate()).min(capacity)
    }

    /// Returns this instance's part, a second.
    fn rate(&self) -> f64 {
        self.limit.0.max(MIN_LIMIT.0) / f64::from(self.sharers)
    }
}

#[cfg(test)]
#[path = "rate_budget_tests.rs"]
mod rate_budget_tests;
