//! Extra legs stay within their fraction of all legs, and hedges leave tokens for retries.

use rstest::rstest;

use super::{
    ClassBudgets, ExtraLeg, FAILOVER_RATIO, INITIAL_FILL_RATIO, MIN_CAP_LEGS, RETRY_RESERVE_RATIO,
};

const INITIAL_LEGS: f64 = MIN_CAP_LEGS * INITIAL_FILL_RATIO;
const RESERVE_LEGS: f64 = MIN_CAP_LEGS * RETRY_RESERVE_RATIO;
use crate::types::{Ratio, Span};
use crate::version::{Class, Targets};

const LEGS: u32 = 10_000;

fn class(extra_load: &str) -> Class {
    Class {
        name: "counter".parse().unwrap(),
        index: "finder".parse().unwrap(),
        targets: Targets {
            latency: Span::from_millis(170),
            coverage: Ratio::ONE,
            extra_load: extra_load.parse().unwrap(),
            repeatable: true,
        },
    }
}

struct Case {
    extra_load: &'static str,
    kind: ExtraLeg,
    ratio: f64,
    initial_legs: f64,
}

#[rstest]
#[case::hedges(Case {
    extra_load: "5%", kind: ExtraLeg::Hedge, ratio: 0.05, initial_legs: INITIAL_LEGS - RESERVE_LEGS,
})]
#[case::retries(Case {
    extra_load: "5%", kind: ExtraLeg::Retry, ratio: 0.05, initial_legs: INITIAL_LEGS,
})]
#[case::moves(Case {
    extra_load: "0%", kind: ExtraLeg::Move, ratio: FAILOVER_RATIO, initial_legs: INITIAL_LEGS,
})]
#[case::none_allowed(Case {
    extra_load: "0%", kind: ExtraLeg::Retry, ratio: 0.0, initial_legs: INITIAL_LEGS,
})]
fn extra_legs_stay_within_their_ratio_of_all_legs(#[case] case: Case) {
    let class = class(case.extra_load);
    let mut budgets = ClassBudgets::default();
    let mut extra = 0;
    for _ in 0..LEGS {
        budgets.earn(&class);
        extra += u32::from(budgets.take(&class, case.kind));
    }
    let max = case.ratio * (f64::from(LEGS) + case.initial_legs);
    assert!(f64::from(extra) <= max, "{extra} extra legs");
    assert!(f64::from(extra) >= max - 2.0, "{extra} extra legs");
}

#[test]
fn hedges_leave_tokens_for_retries() {
    let class = class("5%");
    let mut budgets = ClassBudgets::default();
    while budgets.take(&class, ExtraLeg::Hedge) {}
    assert!(budgets.take(&class, ExtraLeg::Retry));
}

#[test]
fn a_wide_query_keeps_the_tokens_it_earns() {
    const SHARDS: u32 = 1_700;
    let class = class("5%");
    let mut budgets = ClassBudgets::default();
    budgets.enlarge_buckets(&class, SHARDS as usize);
    while budgets.take(&class, ExtraLeg::Retry) {}
    for _ in 0..2 * SHARDS {
        budgets.earn(&class);
    }
    let taken = (0..SHARDS).filter(|_| budgets.take(&class, ExtraLeg::Retry));
    assert!((169..=171).contains(&taken.count()));
}
