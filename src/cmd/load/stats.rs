//! Counts the results of requests as seen by callers.

use std::fmt;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::caller::{Outcome, RequestResult};
use crate::types::{Ratio, Span};

const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The statistics of one load run.
#[derive(Clone, Debug)]
pub(super) struct LoadStats {
    target: Span,
    pub(super) latency: Histogram<u64>,
    pub(super) requests: u64,
    pub(super) finished: u64,
    pub(super) late: u64,
    pub(super) incomplete: u64,
    pub(super) broken: u64,
    pub(super) refused: IndexMap<String, u64>,
    /// The parts that answers contained, one per shard that contributed.
    pub(super) shards: u64,
    pub(super) legs: u64,
    answers: u64,
    coverage_ppm: u64,
}

impl LoadStats {
    pub(super) fn new(target: Span) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds of the histogram are constants that it accepts");
        Self {
            target,
            latency,
            requests: 0,
            finished: 0,
            late: 0,
            incomplete: 0,
            broken: 0,
            refused: IndexMap::new(),
            shards: 0,
            legs: 0,
            answers: 0,
            coverage_ppm: 0,
        }
    }

    pub(super) fn record(&mut self, result: &RequestResult) {
        self.requests += 1;
        match &result.outcome {
            Outcome::Answer {
                meets_target,
                coverage,
                shards,
                legs,
            } => {
                self.record_answer(result.latency, *meets_target, *coverage);
                self.shards += shards;
                self.legs += legs;
            }
            Outcome::Refused { kind } => *self.refused.entry(kind.clone()).or_default() += 1,
            Outcome::Broken => self.broken += 1,
        }
    }

    fn record_answer(&mut self, latency: Span, meets_target: bool, coverage: Ratio) {
        self.latency.saturating_record(latency.0);
        self.answers += 1;
        self.coverage_ppm += u64::from(coverage.ppm());
        if latency > self.target {
            self.late += 1;
        } else if meets_target {
            self.finished += 1;
        } else {
            self.incomplete += 1;
        }
    }

    /// Returns the mean coverage of all answers.
    pub(super) fn coverage(&self) -> Ratio {
        let ppm = self.coverage_ppm / self.answers.max(1);
        Ratio::from_ppm(u32::try_from(ppm).unwrap_or(u32::MAX))
    }

    /// Returns the number of legs beyond one per part, divided by the number of parts.
    pub(super) fn extra_load(&self) -> Ratio {
        Ratio::of(self.legs.saturating_sub(self.shards), self.shards)
    }
}

impl fmt::Display for LoadStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        write!(
            f,
            "{} requests, {} finished, {} late, {} incomplete, {refused} refused, {} broken",
            self.requests, self.finished, self.late, self.incomplete, self.broken
        )
    }
}
