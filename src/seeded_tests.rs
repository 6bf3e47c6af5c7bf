//! The settings of tests that draw their cases at random: the seed is fixed, so that
//! the verdict is the same in every run.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// So many cases drawn from `seed`.
pub(crate) fn seeded(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
