//! A request that crashes whatever runs it, repeated by its caller, and innocent
//! requests that were near.

use rstest::rstest;

use super::LegFailure;
use super::harness_tests::{Bench, Setup};
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

/// Crashes every leg of the query under way; says how many upstreams it took.
fn crash_all(bench: &mut Bench) -> usize {
    bench.now = bench.now + Span::from_millis(1);
    let mut at = 0;
    while at < bench.sent.len() {
        bench.fail(at, LegFailure::Lost);
        bench.now = bench.now + Span::from_millis(1);
        at += 1;
    }
    at
}

struct Repeated {
    instances: usize,
    told: bool,
    upstreams_most: usize,
}

#[rstest]
#[case::one_instance(Repeated { instances: 1, told: true, upstreams_most: 21 })]
#[case::two_instances(Repeated { instances: 2, told: true, upstreams_most: 21 })]
#[case::seven_instances(Repeated { instances: 7, told: true, upstreams_most: 21 })]
#[case::seven_that_cannot_tell(Repeated { instances: 7, told: false, upstreams_most: 7 * 21 })]
fn a_poisonous_request_takes_one_replica_of_each_shard_and_one_more(#[case] case: Repeated) {
    let mut benches: Vec<Bench> = (0..case.instances).map(|_| Bench::new(fan_out())).collect();
    let mut crashed = 0;
    for attempt in 0..30 {
        let at = attempt % case.instances;
        for bench in &mut benches {
            bench.now = bench.now + PAUSE;
        }
        let bench = &mut benches[at];
        let request = bench.query.fingerprint;
        if bench.suspects.is_poison(bench.now, request) {
            continue;
        }
        bench.next_query();
        crashed += crash_all(bench);
        bench.run_to_deadline();
        assert!(
            matches!(
                bench.refusal().kind,
                ErrorKind::Crashed | ErrorKind::UpstreamFailed
            ),
            "{}",
            bench.refusal()
        );
        let (marked, _) = bench.suspects.take_news();
        if case.told {
            for bench in &mut benches {
                bench.suspects.adopt(bench.now, &marked);
            }
        }
    }
    assert!(crashed <= case.upstreams_most, "{crashed} upstreams");
    for bench in &benches {
        let request = bench.query.fingerprint;
        assert!(bench.suspects.is_poison(bench.now, request));
    }
}

#[test]
fn an_innocent_request_near_a_crash_is_tried_on_one_upstream_and_then_served() {
    let mut bench = Bench::start(fan_out());
    crash_all(&mut bench);
    bench.run_to_deadline();
    bench.now = bench.now + PAUSE;

    bench.next_query();
    assert_eq!(bench.sent.len(), 1, "one upstream is asked first");
    bench.reply(0);
    assert_eq!(bench.sent.len(), SHARDS as usize);
    for at in 1..bench.sent.len() {
        bench.reply(at);
    }
    assert!(bench.answer().meets_target);
    let request = bench.query.fingerprint;
    assert!(!bench.suspects.is_suspect(bench.now, request));
}

#[test]
fn a_first_trial_that_is_shed_is_made_elsewhere() {
    let mut bench = Bench::start(fan_out());
    crash_all(&mut bench);
    bench.run_to_deadline();
    bench.now = bench.now + PAUSE;

    bench.next_query();
    bench.fail(0, LegFailure::Shed);
    assert_eq!(bench.sent.len(), 2, "another upstream is asked");
    bench.reply(1);
    let soon = bench.now + Span::from_millis(20);
    bench.run_until(soon);
    assert_eq!(
        bench.sent.len(),
        SHARDS as usize + 1,
        "every shard is asked"
    );
}
