//! No sliding window holds more repeats of a service than operators allow, whatever the
//! pattern of requests and however many instances there are.

use rstest::rstest;

use super::{Allowances, RepeatTerms};
use crate::process::Extra;
use crate::types::{Ratio, ServiceName, Span, Timestamp};

const WINDOW: Span = Span::from_secs(10);
const BESIDE: u32 = 54;

struct Case {
    instances: u32,
    requests_a_second: u64,
    /// Requests come only in the first part of every twenty seconds.
    busy_secs: u64,
    extra: Extra,
}

fn service() -> ServiceName {
    "shard".parse().unwrap()
}

#[rstest]
#[case::steady_hedges(Case { instances: 7, requests_a_second: 91, busy_secs: 20, extra: Extra::Hedge })]
#[case::steady_retries(Case { instances: 7, requests_a_second: 91, busy_secs: 20, extra: Extra::Retry })]
#[case::bursts(Case { instances: 7, requests_a_second: 91, busy_secs: 3, extra: Extra::Retry })]
#[case::few_requests(Case { instances: 7, requests_a_second: 1, busy_secs: 20, extra: Extra::Move })]
#[case::many_instances(Case { instances: 83, requests_a_second: 45, busy_secs: 20, extra: Extra::Retry })]
fn every_window_keeps_to_what_is_allowed(#[case] case: Case) {
    let terms = RepeatTerms {
        ratio: Ratio::from_ppm(200_000),
        beside: BESIDE,
        window: WINDOW,
    };
    let mut each: Vec<Allowances> = (0..case.instances)
        .map(|_| Allowances::new(terms))
        .collect();
    for allowances in &mut each {
        allowances.set_live(case.instances);
    }
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    let gap = 1_000_000 / case.requests_a_second;
    for number in 0..60 * case.requests_a_second {
        let now = Timestamp(number * gap);
        if (now.0 / 1_000_000) % 20 >= case.busy_secs {
            continue;
        }
        let at = usize::try_from(number % u64::from(case.instances)).unwrap();
        each[at].request(now, &service());
        requests.push(now);
        // Every request asks for as many repeats as it can get.
        while each[at].take(now, &service(), case.extra) {
            repeats.push(now);
        }
    }
    assert!(!repeats.is_empty());
    for first in &repeats {
        let within = |at: &&Timestamp| **at >= *first && **at < *first + WINDOW;
        let extra = repeats.iter().filter(within).count();
        let asked = requests.iter().filter(within).count();
        let bound = asked / 5 + BESIDE as usize;
        assert!(
            extra <= bound,
            "{extra} repeats for {asked} requests from {first}"
        );
    }
}

#[test]
fn hedges_leave_some_for_retries() {
    let mut allowances = Allowances::default();
    let now = Timestamp(1);
    for _ in 0..100 {
        allowances.request(now, &service());
    }
    while allowances.take(now, &service(), Extra::Hedge) {}
    assert!(allowances.take(now, &service(), Extra::Retry));
}
