//! The arrival times of requests: a seeded Poisson process.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::types::{PerSecond, Span};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Iterates over the scheduled arrival times, as spans since the start.
#[derive(Clone, Debug)]
pub(super) struct ArrivalSchedule {
    mean_gap_micros: f64,
    at_micros: f64,
    end: Span,
    rng: SmallRng,
}

impl ArrivalSchedule {
    pub(super) fn new(rate: PerSecond, duration: Span, seed: u64) -> Self {
        let mean_gap_micros = MICROS_PER_SECOND / rate.0.max(f64::MIN_POSITIVE);
        Self {
            mean_gap_micros,
            at_micros: 0.0,
            end: duration,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl Iterator for ArrivalSchedule {
    type Item = Span;

    fn next(&mut self) -> Option<Span> {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.at_micros -= self.mean_gap_micros * uniform.ln();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates, and the time is not negative"
        )]
        let at = Span(self.at_micros as u64);
        (at < self.end).then_some(at)
    }
}
