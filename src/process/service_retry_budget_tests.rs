//! No sliding window has more repeats to a service than operators allow, for any pattern
//! of requests and any number of instances.

use rstest::rstest;

use super::{RetryLimits, ServiceRetryBudgets};
use crate::process::ExtraLeg;
use crate::types::{Ratio, ServiceName, Span, Timestamp};

const WINDOW: Span = Span::from_secs(10);
const SLACK: u32 = 54;

struct Case {
    instances: u32,
    requests_per_second: u64,
    /// Requests arrive only in the first `busy_secs` of every 20 seconds.
    busy_secs: u64,
    extra: ExtraLeg,
}

fn service() -> ServiceName {
    "shard".parse().unwrap()
}

#[rstest]
#[case::steady_hedges(Case { instances: 7, requests_per_second: 91, busy_secs: 20, extra: ExtraLeg::Hedge })]
#[case::steady_retries(Case { instances: 7, requests_per_second: 91, busy_secs: 20, extra: ExtraLeg::Retry })]
#[case::bursts(Case { instances: 7, requests_per_second: 91, busy_secs: 3, extra: ExtraLeg::Retry })]
#[case::few_requests(Case { instances: 7, requests_per_second: 1, busy_secs: 20, extra: ExtraLeg::Move })]
#[case::many_instances(Case { instances: 83, requests_per_second: 45, busy_secs: 20, extra: ExtraLeg::Retry })]
fn no_window_exceeds_the_allowed_repeats(#[case] case: Case) {
    let limits = RetryLimits {
        ratio: Ratio::from_ppm(200_000),
        slack: SLACK,
        window: WINDOW,
    };
    let mut each: Vec<ServiceRetryBudgets> = (0..case.instances)
        .map(|_| ServiceRetryBudgets::new(limits))
        .collect();
    for budgets in &mut each {
        budgets.set_live(case.instances);
    }
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    let gap = 1_000_000 / case.requests_per_second;
    for number in 0..60 * case.requests_per_second {
        let now = Timestamp(number * gap);
        if (now.0 / 1_000_000) % 20 >= case.busy_secs {
            continue;
        }
        let at = usize::try_from(number % u64::from(case.instances)).unwrap();
        each[at].request(now, &service());
        requests.push(now);
        // Every request takes as many repeats as the budget allows.
        while each[at].take(now, &service(), case.extra) {
            repeats.push(now);
        }
    }
    assert!(!repeats.is_empty());
    for first in &repeats {
        let within = |at: &&Timestamp| **at >= *first && **at < *first + WINDOW;
        let extra = repeats.iter().filter(within).count();
        let requested = requests.iter().filter(within).count();
        let bound = requested / 5 + SLACK as usize;
        assert!(
            extra <= bound,
            "{extra} repeats for {requested} requests from {first}"
        );
    }
}

#[test]
fn hedges_leave_repeats_for_retries() {
    let mut budgets = ServiceRetryBudgets::default();
    let now = Timestamp(1);
    for _ in 0..100 {
        budgets.request(now, &service());
    }
    while budgets.take(now, &service(), ExtraLeg::Hedge) {}
    assert!(budgets.take(now, &service(), ExtraLeg::Retry));
}
