//! A poison request that its caller keeps sending, and harmless requests that were in
//! flight during a crash.

use rstest::rstest;

use super::LegFailure;
use super::harness_tests::{Harness, Setup};
use crate::error::ErrorKind;
use crate::types::Span;

const SHARDS: u32 = 20;
const PAUSE: Span = Span::from_millis(200);

fn fan_out() -> Setup {
    Setup {
        shards: SHARDS,
        ..Setup::default()
    }
}

/// Fails every leg of the current query as lost and returns how many upstreams crashed.
fn crash_all(harness: &mut Harness) -> usize {
    harness.now = harness.now + Span::from_millis(1);
    let mut at = 0;
    while at < harness.sent.len() {
        harness.fail(at, LegFailure::Lost);
        harness.now = harness.now + Span::from_millis(1);
        at += 1;
    }
    at
}

struct Repeated {
    instances: usize,
    marks_shared: bool,
    max_upstreams: usize,
}

#[rstest]
#[case::one_instance(Repeated { instances: 1, marks_shared: true, max_upstreams: 21 })]
#[case::two_instances(Repeated { instances: 2, marks_shared: true, max_upstreams: 21 })]
#[case::seven_instances(Repeated { instances: 7, marks_shared: true, max_upstreams: 21 })]
#[case::seven_instances_that_cannot_share_marks(Repeated { instances: 7, marks_shared: false, max_upstreams: 7 * 21 })]
fn a_poison_request_crashes_at_most_one_replica_of_each_shard_and_one_more(#[case] case: Repeated) {
    let mut harnesses: Vec<Harness> = (0..case.instances)
        .map(|_| Harness::new(fan_out()))
        .collect();
    let mut crashed = 0;
    for attempt in 0..30 {
        let at = attempt % case.instances;
        for harness in &mut harnesses {
            harness.now = harness.now + PAUSE;
        }
        let harness = &mut harnesses[at];
        let request = harness.query.fingerprint;
        if harness.suspects.is_poison(harness.now, request) {
            continue;
        }
        harness.next_query();
        crashed += crash_all(harness);
        harness.run_to_deadline();
        assert!(
            matches!(
                harness.refusal().kind,
                ErrorKind::Crashed | ErrorKind::UpstreamFailed
            ),
            "{}",
            harness.refusal()
        );
        let (marked, _) = harness.suspects.take_unshared();
        if case.marks_shared {
            for harness in &mut harnesses {
                harness.suspects.adopt(harness.now, &marked);
            }
        }
    }
    assert!(crashed <= case.max_upstreams, "{crashed} upstreams");
    for harness in &harnesses {
        let request = harness.query.fingerprint;
        assert!(harness.suspects.is_poison(harness.now, request));
    }
}

#[test]
fn a_harmless_request_suspected_of_a_crash_is_probed_on_one_upstream_then_served() {
    let mut harness = Harness::start(fan_out());
    crash_all(&mut harness);
    harness.run_to_deadline();
    harness.now = harness.now + PAUSE;

    harness.next_query();
    assert_eq!(harness.sent.len(), 1, "one upstream receives a probe first");
    harness.reply(0);
    assert_eq!(harness.sent.len(), SHARDS as usize);
    for at in 1..harness.sent.len() {
        harness.reply(at);
    }
    assert!(harness.answer().meets_target);
    let request = harness.query.fingerprint;
    assert!(!harness.suspects.is_suspect(harness.now, request));
}

#[test]
fn a_probe_that_is_shed_moves_to_another_upstream() {
    let mut harness = Harness::start(fan_out());
    crash_all(&mut harness);
    harness.run_to_deadline();
    harness.now = harness.now + PAUSE;

    harness.next_query();
    harness.fail(0, LegFailure::Shed);
    assert_eq!(harness.sent.len(), 2, "the probe moves to another upstream");
    harness.reply(1);
    let soon = harness.now + Span::from_millis(20);
    harness.run_until(soon);
    assert_eq!(
        harness.sent.len(),
        SHARDS as usize + 1,
        "every shard receives a leg"
    );
}
