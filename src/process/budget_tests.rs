//! Extra legs stay within their part of all legs, and hedges leave some to retries.

use rstest::rstest;

use super::{Budgets, Extra, MOVES_PART, RESERVE_LEGS, START_LEGS};
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
