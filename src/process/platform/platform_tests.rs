//! Pauses grow and are spread, calls keep to their rate, and a prefix asks for one kind.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Backoff, CallBucket, ObjectKey};
use crate::types::{PerSecond, Span};

#[test]
fn pauses_double_up_to_the_most_and_begin_again() {
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
fn pauses_of_instances_that_failed_together_differ() {
    let pause = |seed| {
        Backoff::new(Span(1_000_000), Span(1_000_000)).pause(&mut SmallRng::seed_from_u64(seed))
    };
    let pauses: std::collections::BTreeSet<Span> = (0..100).map(pause).collect();
    assert!(pauses.len() > 90, "{} different pauses", pauses.len());
}

struct Spent {
    after: Duration,
    wanted: usize,
}

#[test]
fn a_bucket_gives_its_rate_and_a_bounded_burst() {
    let begun = Instant::now();
    let bucket = CallBucket::new(PerSecond(10.0));
    let rows = [
        Spent {
            after: Duration::ZERO,
            wanted: 20,
        },
        Spent {
            after: Duration::from_millis(50),
            wanted: 0,
        },
        Spent {
            after: Duration::from_secs(1),
            wanted: 10,
        },
        Spent {
            after: Duration::from_secs(3600),
            wanted: 20,
        },
        Spent {
            after: Duration::from_secs(1),
            wanted: 0,
        },
    ];
    for row in rows {
        let at = begun + row.after;
        let spent = (0..100).filter(|_| bucket.take(at).is_ok()).count();
        assert!(
            spent.abs_diff(row.wanted) <= 1,
            "{spent} after {:?}",
            row.after
        );
    }
}

struct Asked {
    prefix: &'static str,
    key: &'static str,
    wanted: bool,
}

#[test]
fn a_prefix_asks_for_a_kind_or_for_names_of_it_that_begin_alike() {
    let rows = [
        ("config", "config/classes", true),
        ("config/", "config/classes", true),
        ("config/cl", "config/classes", true),
        ("config/routes", "config/classes", false),
        ("conf", "config/classes", false),
        ("cells/suva-a/", "cells/suva-a/0", true),
        ("cells/suva-a/", "cells/suva-ab/0", false),
    ];
    let rows = rows.map(|(prefix, key, wanted)| Asked {
        prefix,
        key,
        wanted,
    });
    for row in rows {
        let is_under = ObjectKey::new(row.key).is_under(row.prefix);
        assert_eq!(is_under, row.wanted, "{} under {}", row.key, row.prefix);
    }
}
