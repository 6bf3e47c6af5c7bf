//! When requests arrive: a Poisson process with a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::types::{PerSecond, Span};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// The planned arrivals, as spans since the start.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    mean_gap: f64,
    at: f64,
    end: Span,
    rng: SmallRng,
}

impl Plan {
    pub(super) fn new(rate: PerSecond, duration: Span, seed: u64) -> Self {
        let mean_gap = MICROS_PER_SECOND / rate.0.max(f64::MIN_POSITIVE);
        Self {
            mean_gap,
            at: 0.0,
            end: duration,
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl Iterator for Plan {
    type Item = Span;

    fn next(&mut self) -> Option<Span> {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.at -= self.mean_gap * draw.ln();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float to integer cast saturates, and the time is not negative"
        )]
        let at = Span(self.at as u64);
        (at < self.end).then_some(at)
    }
}
