//! What legs to one failure domain take, in microseconds.

use crate::types::Timestamp;

const DOMAIN_WEIGHT: f64 = 0.02;
/// How far the least latency of a failure domain grows towards its mean with each reply.
const LEAST_GROWTH: f64 = 0.001;

/// What the legs to one failure domain took.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainLatency {
    pub(super) mean: f64,
    /// The least, which grows slowly towards the mean so that a longer way is noticed.
    pub(super) least: f64,
    pub(super) learnt: Timestamp,
}

impl DomainLatency {
    pub(super) fn new(now: Timestamp, took: f64) -> Self {
        Self {
            mean: took,
            least: took,
            learnt: now,
        }
    }

    pub(super) fn learn(&mut self, now: Timestamp, took: f64) {
        self.mean += (took - self.mean) * DOMAIN_WEIGHT;
        self.least = took.min(self.least + (self.mean - self.least) * LEAST_GROWTH);
        self.learnt = now;
    }
}
