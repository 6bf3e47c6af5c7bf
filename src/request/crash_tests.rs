//! A query that may crash upstreams leaves replicas untried until a reply clears it.

use rstest::rstest;

use super::LegFailure;
use super::harness_tests::{Harness, Setup};
use crate::error::ErrorKind;
use crate::types::Ratio;

const LOST: LegFailure = LegFailure::Lost;

struct Case {
    shards: u32,
    replicas: u32,
    max_crashed: usize,
    kind: ErrorKind,
}

#[rstest]
#[case::fan_out(Case {
    shards: 20, replicas: 2, max_crashed: 20, kind: ErrorKind::Crashed,
})]
#[case::one_shard(Case {
    shards: 1, replicas: 3, max_crashed: 2, kind: ErrorKind::Crashed,
})]
#[case::the_last_replica_is_spared(Case {
    shards: 1, replicas: 2, max_crashed: 1, kind: ErrorKind::UpstreamFailed,
})]
fn a_poison_query_spares_one_replica_of_every_shard(#[case] case: Case) {
    let mut harness = Harness::start(Setup {
        shards: case.shards,
        replicas: case.replicas,
        ..Setup::default()
    });
    let mut at = 0;
    while at < harness.sent.len() {
        harness.fail(at, LOST);
        at += 1;
    }
    harness.run_to_deadline();
    assert!(
        harness.sent.len() <= case.max_crashed,
        "{}",
        harness.sent.len()
    );
    assert_eq!(harness.refusal().kind, case.kind);
    for shard in &harness.query.snapshot.shards {
        let tried = |name| harness.sent.iter().any(|leg| leg.upstream.name == name);
        let spared = shard.replicas.iter().any(|spec| !tried(spec.name.clone()));
        assert!(spared, "shard {}", shard.id);
    }
}

#[rstest]
#[case::one_crash(1)]
#[case::two_crashes(2)]
#[case::seven_crashes(7)]
fn a_reply_clears_a_query_suspected_of_crashes(#[case] crashes: usize) {
    let mut harness = Harness::start(Setup {
        shards: 20,
        ..Setup::default()
    });
    for at in 0..crashes {
        harness.fail(at, LOST);
    }
    assert_eq!(
        harness.sent.len(),
        20,
        "no leg is sent before a reply clears the query"
    );
    harness.reply(crashes);
    assert_eq!(harness.sent.len(), 20 + crashes);
    for at in crashes + 1..harness.sent.len() {
        harness.reply(at);
    }
    assert!(harness.answer().meets_target);
    let fingerprint = harness.query.fingerprint;
    assert!(!harness.suspects.is_poison(harness.now, fingerprint));
}

#[test]
fn crashes_after_a_reply_are_ordinary_failures() {
    let mut harness = Harness::start(Setup {
        shards: 20,
        ..Setup::default()
    });
    harness.reply(0);
    for at in 1..4 {
        harness.fail(at, LOST);
    }
    assert_eq!(harness.sent.len(), 23);
    let fingerprint = harness.query.fingerprint;
    assert!(!harness.suspects.is_poison(harness.now, fingerprint));
}

#[test]
fn a_suspected_query_sends_no_hedges() {
    let mut harness = Harness::start(Setup {
        shards: 1,
        replicas: 3,
        extra_load: Ratio::ONE,
        ..Setup::default()
    });
    harness.fail(0, LOST);
    assert_eq!(
        harness.sent.len(),
        2,
        "one retry leaves one replica untried"
    );
    harness.run_to_deadline();
    assert_eq!(harness.sent.len(), 2);
}
