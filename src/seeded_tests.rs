//! The configuration of property tests: the seed is fixed, so that the result is the same
//! in every run.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// A configuration that draws this many cases from `seed`.
pub(crate) fn seeded(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
