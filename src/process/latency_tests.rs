//! Quantiles of what was observed, of what was cut short, and of what is long past.

use rstest::rstest;

use super::Latency;
use crate::types::Span;

struct Case {
    whole: &'static [(u32, u64)],
    cut: &'static [(u32, u64)],
    part: f64,
    within_ms: Option<(u64, u64)>,
}

fn learnt(case: &Case) -> Latency {
    let mut latency = Latency::default();
    for (count, millis) in case.whole {
        for _ in 0..*count {
            latency.learn(Span::from_millis(*millis));
        }
    }
    for (count, millis) in case.cut {
        for _ in 0..*count {
            latency.learn_at_least(Span::from_millis(*millis));
        }
    }
    latency
}

#[rstest]
#[case::too_few(Case { whole: &[(7, 10)], cut: &[], part: 0.5, within_ms: None })]
#[case::one_value(Case { whole: &[(100, 10)], cut: &[], part: 0.5, within_ms: Some((7, 12)) })]
#[case::the_tail(Case {
    whole: &[(90, 10), (10, 100)], cut: &[], part: 0.95, within_ms: Some((70, 130)),
})]
#[case::a_cut_leg_is_as_slow_as_those_above(Case {
    whole: &[(50, 10), (10, 100)], cut: &[(40, 20)], part: 0.7, within_ms: Some((70, 130)),
})]
#[case::cut_legs_alone_took_longer_than_they_had(Case {
    whole: &[], cut: &[(20, 50)], part: 0.5, within_ms: Some((50, 100)),
})]
#[case::the_past_is_forgotten(Case {
    whole: &[(1_000, 100), (5_000, 10)], cut: &[], part: 0.99, within_ms: Some((7, 13)),
})]
#[case::beyond_the_last_bucket(Case {
    whole: &[(20, 60_000)], cut: &[], part: 0.5, within_ms: Some((1_000, 3_000)),
})]
fn a_quantile_is_that_of_recent_legs(#[case] case: Case) {
    let found = learnt(&case).quantile(case.part).map(Span::as_millis);
    match (found, case.within_ms) {
        (Some(found), Some((low, high))) => {
            assert!((low..=high).contains(&found), "{found} ms");
        }
        (found, wanted) => assert_eq!(found.is_some(), wanted.is_some(), "{found:?}"),
    }
}
