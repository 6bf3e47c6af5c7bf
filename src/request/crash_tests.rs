//! A query that may crash upstreams spares replicas until a reply proves it innocent.

use rstest::rstest;

use super::LegFailure;
use super::harness_tests::{Bench, Setup};
use crate::error::ErrorKind;
use crate::types::Ratio;

const LOST: LegFailure = LegFailure::Lost;

struct Case {
    shards: u32,
    replicas: u32,
    lost_most: usize,
    kind: ErrorKind,
}

#[rstest]
#[case::fan_out(Case {
    shards: 20, replicas: 2, lost_most: 20, kind: ErrorKind::Crashed,
})]
#[case::one_shard(Case {
    shards: 1, replicas: 3, lost_most: 2, kind: ErrorKind::Crashed,
})]
#[case::the_last_replica_is_spared(Case {
    shards: 1, replicas: 2, lost_most: 1, kind: ErrorKind::UpstreamFailed,
})]
fn a_poisonous_query_leaves_a_replica_of_every_shard(#[case] case: Case) {
    let mut bench = Bench::start(Setup {
        shards: case.shards,
        replicas: case.replicas,
        ..Setup::default()
    });
    let mut at = 0;
    while at < bench.sent.len() {
        bench.fail(at, LOST);
        at += 1;
    }
    bench.run_to_deadline();
    assert!(bench.sent.len() <= case.lost_most, "{}", bench.sent.len());
    assert_eq!(bench.refusal().kind, case.kind);
    for shard in &bench.query.snapshot.shards {
        let asked = |name| bench.sent.iter().any(|leg| leg.upstream.name == name);
        let spared = shard.replicas.iter().any(|spec| !asked(spec.name.clone()));
        assert!(spared, "shard {}", shard.id);
    }
}

#[rstest]
#[case::one_crash(1)]
#[case::two_crashes(2)]
#[case::a_whole_rack(7)]
fn a_reply_proves_that_crashes_had_another_cause(#[case] crashes: usize) {
    let mut bench = Bench::start(Setup {
        shards: 20,
        ..Setup::default()
    });
    for at in 0..crashes {
        bench.fail(at, LOST);
    }
    assert_eq!(
        bench.sent.len(),
        20,
        "nothing is sent before there is proof"
    );
    bench.reply(crashes);
    assert_eq!(bench.sent.len(), 20 + crashes);
    for at in crashes + 1..bench.sent.len() {
        bench.reply(at);
    }
    assert!(bench.answer().meets_target);
    let fingerprint = bench.query.fingerprint;
    assert!(!bench.suspects.is_poison(bench.now, fingerprint));
}

#[test]
fn crashes_after_a_reply_are_ordinary_failures() {
    let mut bench = Bench::start(Setup {
        shards: 20,
        ..Setup::default()
    });
    bench.reply(0);
    for at in 1..4 {
        bench.fail(at, LOST);
    }
    assert_eq!(bench.sent.len(), 23);
    let fingerprint = bench.query.fingerprint;
    assert!(!bench.suspects.is_poison(bench.now, fingerprint));
}

#[test]
fn a_suspected_query_sends_no_hedges() {
    let mut bench = Bench::start(Setup {
        shards: 1,
        replicas: 3,
        extra_load: Ratio::ONE,
        ..Setup::default()
    });
    bench.fail(0, LOST);
    assert_eq!(bench.sent.len(), 2, "one retry leaves a replica untouched");
    bench.run_to_deadline();
    assert_eq!(bench.sent.len(), 2);
}
