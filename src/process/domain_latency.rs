//! The latency of legs to one failure domain, in microseconds.

use crate::types::Timestamp;

/// The weight of one reply in the moving average.
const MEAN_WEIGHT: f64 = 0.02;
/// The fraction of the distance to the mean by which the minimum grows with each reply.
const MIN_GROWTH: f64 = 0.001;

/// The observed latency of legs to one failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainLatency {
    pub(super) mean: f64,
    /// The minimum, which grows slowly towards the mean so that a longer network path is
    /// noticed.
    pub(super) min: f64,
    pub(super) updated_at: Timestamp,
}

impl DomainLatency {
    pub(super) fn new(now: Timestamp, took: f64) -> Self {
        Self {
            mean: took,
            min: took,
            updated_at: now,
        }
    }

    pub(super) fn learn(&mut self, now: Timestamp, took: f64) {
        self.mean += (took - self.mean) * MEAN_WEIGHT;
        self.min = took.min(self.min + (self.mean - self.min) * MIN_GROWTH);
        self.updated_at = now;
    }
}
