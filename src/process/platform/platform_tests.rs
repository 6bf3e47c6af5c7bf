//! Tests of the backoff, the call rate limit and key prefixes.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Backoff, CallBucket, ObjectKey};
use crate::types::{PerSecond, Span};

#[test]
fn backoff_doubles_up_to_its_maximum_and_resets() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut backoff = Backoff::new(Span(100), Span(1_000));
    for step in [100, 200, 400, 800, 1_000, 1_000] {
        let pause = backoff.pause(&mut rng);
        assert!((step / 2..=step).contains(&pause.0), "{pause} at {step}");
    }
    backoff.reset();
    assert!(backoff.pause(&mut rng) <= Span(100));
}

#[test]
fn backoff_differs_between_instances_that_failed_together() {
    let pause = |seed| {
        Backoff::new(Span(1_000_000), Span(1_000_000)).pause(&mut SmallRng::seed_from_u64(seed))
    };
    let pauses: std::collections::BTreeSet<Span> = (0..100).map(pause).collect();
    assert!(pauses.len() > 90, "{} different pauses", pauses.len());
}

struct BucketCase {
    after: Duration,
    expected: usize,
}

#[test]
fn a_call_bucket_limits_rate_and_burst() {
    let started = Instant::now();
    let bucket = CallBucket::new(PerSecond(10.0));
    let rows = [
        BucketCase {
            after: Duration::ZERO,
            expected: 20,
        },
        BucketCase {
            after: Duration::from_millis(50),
            expected: 0,
        },
        BucketCase {
            after: Duration::from_secs(1),
            expected: 10,
        },
        BucketCase {
            after: Duration::from_secs(3600),
            expected: 20,
        },
        BucketCase {
            after: Duration::from_secs(1),
            expected: 0,
        },
    ];
    for row in rows {
        let at = started + row.after;
        let taken = (0..100).filter(|_| bucket.take(at).is_ok()).count();
        assert!(
            taken.abs_diff(row.expected) <= 1,
            "{taken} after {:?}",
            row.after
        );
    }
}

struct PrefixCase {
    prefix: &'static str,
    key: &'static str,
    expected: bool,
}

#[test]
fn a_prefix_selects_a_kind_or_names_that_begin_with_it() {
    let rows = [
        ("config", "config/classes", true),
        ("config/", "config/classes", true),
        ("config/cl", "config/classes", true),
        ("config/routes", "config/classes", false),
        ("conf", "config/classes", false),
        ("cells/suva-a/", "cells/suva-a/0", true),
        ("cells/suva-a/", "cells/suva-ab/0", false),
    ];
    let rows = rows.map(|(prefix, key, expected)| PrefixCase {
        prefix,
        key,
        expected,
    });
    for row in rows {
        let is_under = ObjectKey::new(row.key).is_under(row.prefix);
        assert_eq!(is_under, row.expected, "{} under {}", row.key, row.prefix);
    }
}
