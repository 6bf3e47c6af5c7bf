//! Checks the invariants of queries under random interleavings of faults;
//! `docs/INVARIANTS.md` lists the guard behind each check.

use proptest::prelude::*;

use super::LegFailure;
use super::harness_tests::Setup;
use super::simulation_tests::{Ending, Op, Simulation};
use crate::seeded_tests::seeded;
use crate::types::Ratio;

const QUERIES: usize = 3;
const LEGS: usize = 12;

fn setup() -> impl Strategy<Value = Setup> {
    let ratio = |percent: u32| Ratio::from_ppm(percent * 10_000);
    (
        1..5_u32,
        1..4_u32,
        prop_oneof![Just(2), Just(100)],
        prop_oneof![Just(ratio(100)), Just(ratio(50))],
        prop_oneof![Just(ratio(5)), Just(ratio(100))],
        any::<bool>(),
    )
        .prop_map(
            |(shards, replicas, slots, coverage, extra_load, repeatable)| Setup {
                shards,
                replicas,
                slots,
                coverage,
                extra_load,
                repeatable,
            },
        )
}

fn ending() -> impl Strategy<Value = Ending> {
    let failure = prop_oneof![
        Just(LegFailure::Unreachable),
        Just(LegFailure::NoShare),
        Just(LegFailure::Shed),
        Just(LegFailure::Draining),
        Just(LegFailure::SnapshotGone),
        Just(LegFailure::OutOfTime),
        Just(LegFailure::Lost),
        Just(LegFailure::Silent),
        Just(LegFailure::Mangled),
        Just(LegFailure::Failed),
    ];
    prop_oneof![
        8 => Just(Ending::Complete),
        1 => Just(Ending::Duplicated),
        1 => Just(Ending::WrongQuery),
        1 => Just(Ending::WrongLeg),
        1 => Just(Ending::WrongSnapshot),
        1 => Just(Ending::WrongRange),
        1 => (0..QUERIES, 0..LEGS).prop_map(|(query, leg)| Ending::SwappedWith(query, leg)),
        8 => failure.prop_map(Ending::Failure),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => Just(Op::Start),
        1 => Just(Op::StartLate),
        40 => (0..QUERIES, 0..LEGS, ending()).prop_map(|(query, leg, ending)| Op::EndLeg { query, leg, ending }),
        6 => (0..QUERIES).prop_map(|query| Op::ReplyAll { query }),
        4 => (0..QUERIES).prop_map(|query| Op::LoseSnapshot { query }),
        6 => (1..60_u64).prop_map(|millis| Op::Advance { millis }),
        1 => Just(Op::Advance { millis: 2_000 }),
        3 => (0..QUERIES).prop_map(|query| Op::Wake { query }),
        1 => (0..QUERIES).prop_map(|query| Op::CallerGone { query }),
        2 => (1..5_u32).prop_map(|shards| Op::Repartition { shards }),
        1 => (0..4_u32, 0..3_u32).prop_map(|(shard, replica)| Op::Leave { shard, replica }),
    ]
}

proptest! {
    #![proptest_config(seeded(5, 500))]

    #[test]
    fn query_invariants_hold_under_random_faults(
        setup in setup(),
        seed in any::<u64>(),
        ops in prop::collection::vec(op(), 1..120),
    ) {
        let mut simulation = Simulation::new(setup, seed);
        for op in ops {
            simulation.apply(op);
            prop_assert_eq!(simulation.violation(), None);
        }
        simulation.finish_all();
        prop_assert_eq!(simulation.violation(), None);
    }
}

/// Guards against the test above passing only because its cases exercise too little.
#[test]
fn the_random_faults_reach_answers_refusals_restarts_and_partial_coverage() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::new(seeded(5, 1));
    let drawn = (setup(), any::<u64>(), prop::collection::vec(op(), 150));
    let mut total = super::simulation_tests::Counts::default();
    for _ in 0..200 {
        let (sizes, seed, ops) = drawn.new_tree(&mut runner).unwrap().current();
        let mut simulation = Simulation::new(sizes, seed);
        for op in ops {
            simulation.apply(op);
        }
        simulation.finish_all();
        total.add(&simulation.counts);
    }
    assert!(total.whole_answers > 50, "{total:?}");
    assert!(total.partial_answers > 50, "{total:?}");
    assert!(total.answers_after_restart > 5, "{total:?}");
    assert!(total.not_run > 5 && total.may_have_run > 50, "{total:?}");
    assert!(total.moved_orders > 5, "{total:?}");
}
