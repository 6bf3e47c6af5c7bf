//! Load pattern: instances that would all send more than an upstream in need takes.
//!
//! Guards against a stated limit that each instance takes for itself alone, that a quiet
//! moment turns into a burst, or that is never lifted.

use rstest::rstest;

use super::RateBudget;
use crate::types::{PerSecond, Span, Timestamp};

const STEP: Span = Span::from_millis(5);
const WINDOW: Span = Span::from_secs(4);
const DAY: Span = Span::from_secs(30);

struct Case {
    limit: f64,
    sharers: u32,
    /// Each instance wants to send only in this part of every 3 s.
    busy: Span,
}

/// Returns the times at which one instance sends, whenever it may.
fn greedy(case: &Case, offset: Span) -> Vec<Timestamp> {
    let mut budget = RateBudget::new(Timestamp(0), PerSecond(case.limit), case.sharers);
    let mut sent = Vec::new();
    let mut now = Timestamp(offset.0);
    while now.0 < DAY.0 {
        let is_busy = now.0 % Span::from_secs(3).0 < case.busy.0;
        while is_busy && budget.room_at(now) == now {
            budget.take(now);
            sent.push(now);
        }
        now = now + STEP;
    }
    sent
}

#[rstest]
#[case::today(Case { limit: 21.9, sharers: 6, busy: Span::from_secs(3) })]
#[case::in_bursts(Case { limit: 21.9, sharers: 6, busy: Span::from_millis(200) })]
#[case::grown(Case { limit: 7.5, sharers: 14, busy: Span::from_secs(3) })]
#[case::grown_in_bursts(Case { limit: 7.5, sharers: 14, busy: Span::from_millis(200) })]
#[case::one_instance(Case { limit: 3.0, sharers: 1, busy: Span::from_secs(3) })]
#[case::large(Case { limit: 900.0, sharers: 8, busy: Span::from_secs(3) })]
fn all_instances_together_keep_to_the_limit(#[case] case: Case) {
    let mut all: Vec<Timestamp> = (0..case.sharers)
        .flat_map(|at| greedy(&case, Span(STEP.0 * u64::from(at) / 3)))
        .collect();
    all.sort_unstable();
    let allowed = case.limit * 4.0 * 1.5 + 5.0;
    for (before, from) in all.iter().enumerate() {
        let until = all.partition_point(|at| *at < *from + WINDOW);
        let count = u32::try_from(until - before).unwrap();
        assert!(
            f64::from(count) <= allowed,
            "{count} from {from}, {allowed} allowed"
        );
    }
    if case.busy == Span::from_secs(3) {
        let least = case.limit * DAY.as_duration().as_secs_f64() * 0.9;
        let sent = u32::try_from(all.len()).unwrap();
        assert!(f64::from(sent) >= least, "only {sent} of {least} were sent");
    }
}

/// An upstream that is never asked again could not lift its limit.
#[rstest]
#[case::zero(0.0)]
#[case::tiny(1e-12)]
fn an_upstream_that_takes_nothing_is_asked_now_and_then(#[case] limit: f64) {
    let budget = RateBudget::new(Timestamp(0), PerSecond(limit), 6);
    assert_eq!(budget.room_at(Timestamp(0)), Timestamp(6_000_000));
}

#[test]
fn only_a_reply_to_a_later_leg_lifts_a_limit() {
    let mut budget = RateBudget::new(Timestamp(10), PerSecond(5.0), 1);
    assert!(!budget.is_lifted_by(Timestamp(9)));
    assert!(budget.is_lifted_by(Timestamp(11)));
    budget.state(Timestamp(20), PerSecond(6.0));
    assert!(!budget.is_lifted_by(Timestamp(11)));
}

#[test]
fn a_new_number_of_instances_holds_from_then_on() {
    let mut budget = RateBudget::new(Timestamp(0), PerSecond(2.0), 1);
    budget.set_sharers(Timestamp(0), 4);
    assert_eq!(budget.room_at(Timestamp(0)), Timestamp(2_000_000));
    budget.set_sharers(Timestamp(1_000_000), 1);
    assert_eq!(budget.room_at(Timestamp(1_000_000)), Timestamp(1_250_000));
}
