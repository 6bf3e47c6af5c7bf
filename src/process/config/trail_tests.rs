//! Pages of any size show each change of the audit trail once, newest first.

use std::sync::Arc;

use async_std::task::block_on;
use rstest::rstest;

use super::{AuditQuery, ClassChange, Config, Precondition, Proposal, RetryPolicy};
use crate::process::platform::fake::FakePlatform;
use crate::process::{Backoff, Clock};
use crate::types::{ChangeId, Ratio, Span, UnixSeconds};
use crate::version::{Class, Targets};

const RETRY_POLICY: RetryPolicy = RetryPolicy {
    timeout: Span::from_secs(60),
    backoff: Backoff::new(Span(100), Span(1_000)),
};

/// A configuration with this many changes, alternating between the classes `a` and `b`.
fn config(changes: u64) -> (Arc<FakePlatform>, Config) {
    let platform = Arc::<FakePlatform>::default();
    let config = Config::with_retry_policy(platform.clone(), Clock::new(), RETRY_POLICY);
    let mut seen = [Precondition::Absent; 2];
    for number in 1..=changes {
        let which = usize::from(number.is_multiple_of(2));
        let class = Class {
            name: ["a", "b"][which].parse().unwrap(),
            index: "finder".parse().unwrap(),
            targets: Targets {
                latency: Span::from_millis(100),
                coverage: Ratio::ONE,
                extra_load: Ratio::ZERO,
                repeatable: true,
            },
        };
        let proposal = Proposal {
            id: ChangeId(u128::from(number)),
            at: UnixSeconds(number),
            who: "ana".parse().unwrap(),
            class_change: ClassChange::Set(Arc::new(class)),
            seen: seen[which],
        };
        let accepted = block_on(config.apply(&proposal)).unwrap();
        seen[which] = Precondition::SetBy(accepted.change.number);
    }
    (platform, config)
}

/// Reads all pages and returns the numbers of their changes.
fn read(config: &Config, class: Option<&str>, limit: usize) -> Vec<u64> {
    let mut query = AuditQuery {
        class: class.map(|class| class.parse().unwrap()),
        before: None,
        limit,
    };
    let mut numbers = Vec::new();
    for _ in 0..10_000 {
        let trail = block_on(config.trail(&query)).unwrap();
        assert!(trail.accepted.len() <= limit);
        numbers.extend(trail.accepted.iter().map(|change| change.number.0));
        if trail.next.is_none() {
            return numbers;
        }
        assert_ne!(trail.next, query.before, "a page points back to itself");
        query.before = trail.next;
    }
    panic!("the pages do not end");
}

struct Pages {
    changes: u64,
    class: Option<&'static str>,
    limit: usize,
}

#[rstest]
#[case::nothing(Pages { changes: 0, class: None, limit: 10 })]
#[case::one(Pages { changes: 1, class: None, limit: 10 })]
#[case::all_at_once(Pages { changes: 12, class: None, limit: 1_000 })]
#[case::exactly_a_page(Pages { changes: 10, class: None, limit: 10 })]
#[case::one_by_one(Pages { changes: 40, class: None, limit: 1 })]
#[case::across_segments(Pages { changes: 400, class: None, limit: 50 })]
#[case::the_last_row_of_a_segment(Pages { changes: 127, class: None, limit: 7 })]
#[case::the_first_row_of_a_segment(Pages { changes: 128, class: None, limit: 128 })]
#[case::one_class(Pages { changes: 300, class: Some("b"), limit: 11 })]
#[case::no_such_class(Pages { changes: 300, class: Some("c"), limit: 11 })]
fn pages_show_each_change_once(#[case] case: Pages) {
    let (_platform, config) = config(case.changes);
    let wanted: Vec<u64> = (1..=case.changes)
        .rev()
        .filter(|number| match case.class {
            None => true,
            Some("b") => number.is_multiple_of(2),
            Some(_) => false,
        })
        .collect();
    assert_eq!(read(&config, case.class, case.limit), wanted);
}

#[test]
fn a_damaged_segment_ends_the_trail() {
    let (platform, config) = config(400);
    platform.set("audit/changes/001", &serde_json::json!("damaged"));
    let numbers = read(&config, None, 50);
    assert_eq!(numbers, (256..=400).rev().collect::<Vec<_>>());
}
