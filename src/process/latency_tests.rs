//! Quantiles of completed legs, of cancelled legs, and of legs that have decayed.

use rstest::rstest;

use super::Latency;
use crate::types::Span;

struct Case {
    completed: &'static [(u32, u64)],
    cancelled: &'static [(u32, u64)],
    fraction: f64,
    within_ms: Option<(u64, u64)>,
}

fn latency_of(case: &Case) -> Latency {
    let mut latency = Latency::default();
    for (count, millis) in case.completed {
        for _ in 0..*count {
            latency.learn(Span::from_millis(*millis));
        }
    }
    for (count, millis) in case.cancelled {
        for _ in 0..*count {
            latency.learn_at_least(Span::from_millis(*millis));
        }
    }
    latency
}

#[rstest]
#[case::too_few(Case { completed: &[(7, 10)], cancelled: &[], fraction: 0.5, within_ms: None })]
#[case::one_value(Case { completed: &[(100, 10)], cancelled: &[], fraction: 0.5, within_ms: Some((7, 12)) })]
#[case::the_tail(Case {
    completed: &[(90, 10), (10, 100)], cancelled: &[], fraction: 0.95, within_ms: Some((70, 130)),
})]
#[case::a_cancelled_leg_counts_as_slower_than_its_age(Case {
    completed: &[(50, 10), (10, 100)], cancelled: &[(40, 20)], fraction: 0.7, within_ms: Some((70, 130)),
})]
#[case::cancelled_legs_alone_count_above_their_age(Case {
    completed: &[], cancelled: &[(20, 50)], fraction: 0.5, within_ms: Some((50, 100)),
})]
#[case::old_samples_decay(Case {
    completed: &[(1_000, 100), (5_000, 10)], cancelled: &[], fraction: 0.99, within_ms: Some((7, 13)),
})]
#[case::above_the_last_bucket(Case {
    completed: &[(20, 60_000)], cancelled: &[], fraction: 0.5, within_ms: Some((1_000, 3_000)),
})]
fn quantiles_follow_recent_legs(#[case] case: Case) {
    let found = latency_of(&case)
        .quantile(case.fraction)
        .map(Span::as_millis);
    match (found, case.within_ms) {
        (Some(found), Some((low, high))) => {
            assert!((low..=high).contains(&found), "{found} ms");
        }
        (found, expected) => assert_eq!(found.is_some(), expected.is_some(), "{found:?}"),
    }
}
