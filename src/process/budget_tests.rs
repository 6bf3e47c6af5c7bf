//! Extra legs stay within their part of all legs, and hedges leave some to retries.

use rstest::rstest;

use super::{Budgets, Extra, LEAST_BOUND_LEGS, MOVES_PART, RESERVE_PART, START_PART};

const START_LEGS: f64 = LEAST_BOUND_LEGS * START_PART;
const RESERVE_LEGS: f64 = LEAST_BOUND_LEGS * RESERVE_PART;
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
    wanted: Extra,
    part: f64,
    legs_at_once: f64,
}

#[rstest]
#[case::hedges(Case {
    extra_load: "5%", wanted: Extra::Hedge, part: 0.05, legs_at_once: START_LEGS - RESERVE_LEGS,
})]
#[case::retries(Case {
    extra_load: "5%", wanted: Extra::Retry, part: 0.05, legs_at_once: START_LEGS,
})]
#[case::moves(Case {
    extra_load: "0%", wanted: Extra::Move, part: MOVES_PART, legs_at_once: START_LEGS,
})]
#[case::none_allowed(Case {
    extra_load: "0%", wanted: Extra::Retry, part: 0.0, legs_at_once: START_LEGS,
})]
fn extra_legs_stay_within_their_part_of_all_legs(#[case] case: Case) {
    let class = class(case.extra_load);
    let mut budgets = Budgets::default();
    let mut extra = 0;
    for _ in 0..LEGS {
        budgets.earn(&class);
        extra += u32::from(budgets.take(&class, case.wanted));
    }
    let most = case.part * (f64::from(LEGS) + case.legs_at_once);
    assert!(f64::from(extra) <= most, "{extra} extra legs");
    assert!(f64::from(extra) >= most - 2.0, "{extra} extra legs");
}

#[test]
fn hedges_leave_tokens_to_retries() {
    let class = class("5%");
    let mut budgets = Budgets::default();
    while budgets.take(&class, Extra::Hedge) {}
    assert!(budgets.take(&class, Extra::Retry));
}

#[test]
fn what_a_wide_query_earns_is_kept_for_its_own_stragglers() {
    const SHARDS: u32 = 1_700;
    let class = class("5%");
    let mut budgets = Budgets::default();
    budgets.widen(&class, SHARDS as usize);
    while budgets.take(&class, Extra::Retry) {}
    for _ in 0..2 * SHARDS {
        budgets.earn(&class);
    }
    let taken = (0..SHARDS).filter(|_| budgets.take(&class, Extra::Retry));
    assert!((169..=171).contains(&taken.count()));
}
