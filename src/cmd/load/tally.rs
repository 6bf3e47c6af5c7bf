//! Counts what callers saw.

use std::fmt;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::caller::{Outcome, Seen};
use crate::types::{Ratio, Span};

const MOST_MICROS: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// The counts of one load.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    target: Span,
    pub(super) latency: Histogram<u64>,
    pub(super) asked: u64,
    pub(super) finished: u64,
    pub(super) late: u64,
    pub(super) incomplete: u64,
    pub(super) broken: u64,
    pub(super) refused: IndexMap<String, u64>,
    pub(super) shards: u64,
    pub(super) legs: u64,
    answers: u64,
    coverage_ppm: u64,
}

impl Tally {
    pub(super) fn new(target: Span) -> Self {
        let latency = Histogram::new_with_bounds(1, MOST_MICROS, DIGITS)
            .expect("the bounds of the histogram are constants that it accepts");
        Self {
            target,
            latency,
            asked: 0,
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

    pub(super) fn note(&mut self, seen: &Seen) {
        self.asked += 1;
        match &seen.outcome {
            Outcome::Answer {
                meets_target,
                coverage,
                shards,
                legs,
            } => {
                self.note_answer(seen.took, *meets_target, *coverage);
                self.shards += shards;
                self.legs += legs;
            }
            Outcome::Refused { kind } => *self.refused.entry(kind.clone()).or_default() += 1,
            Outcome::Broken => self.broken += 1,
        }
    }

    fn note_answer(&mut self, took: Span, meets_target: bool, coverage: Ratio) {
        self.latency.saturating_record(took.0);
        self.answers += 1;
        self.coverage_ppm += u64::from(coverage.ppm());
        if took > self.target {
            self.late += 1;
        } else if meets_target {
            self.finished += 1;
        } else {
            self.incomplete += 1;
        }
    }

    /// The mean coverage of all answers.
    pub(super) fn coverage(&self) -> Ratio {
        let ppm = self.coverage_ppm / self.answers.max(1);
        Ratio::from_ppm(u32::try_from(ppm).unwrap_or(u32::MAX))
    }

    /// Legs beyond one for each part, as a part of those.
    pub(super) fn extra_load(&self) -> Ratio {
        Ratio::of(self.legs.saturating_sub(self.shards), self.shards)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        write!(
            f,
            "{} asked, {} finished, {} late, {} incomplete, {refused} refused, {} broken",
            self.asked, self.finished, self.late, self.incomplete, self.broken
        )
    }
}
