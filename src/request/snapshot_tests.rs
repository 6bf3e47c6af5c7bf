//! All parts of an answer are from one snapshot, even when upstreams drop snapshots.

use rstest::rstest;

use super::harness_tests::{Harness, Setup};
use super::{Event, LegFailure};
use crate::types::{SnapshotId, Span, Timestamp};

const GONE: LegFailure = LegFailure::SnapshotGone;

fn fail_first_shard_with_snapshot_gone(harness: &mut Harness) {
    harness.fail(0, GONE);
    let retry = harness.sent.len() - 1;
    harness.fail(retry, GONE);
}

#[test]
fn snapshot_gone_moves_the_leg_to_another_replica_of_the_same_snapshot() {
    let mut harness = Harness::start(Setup::default());
    harness.fail(0, GONE);
    assert_eq!(harness.sent[2].snapshot, SnapshotId(5));
    assert_ne!(harness.sent[2].upstream.name, harness.sent[0].upstream.name);
    harness.reply(1);
    harness.reply(2);
    assert!(harness.answer().meets_target);
}

#[test]
fn an_upstream_that_lost_a_snapshot_is_avoided_for_a_while() {
    let mut harness = Harness::start(Setup::default());
    harness.fail(0, GONE);
    let lost = harness.sent[0].upstream.name.clone();
    for _ in 0..50 {
        harness.next_query();
        assert!(harness.sent.iter().all(|leg| leg.upstream.name != lost));
    }
    harness.now = harness.now + Span::from_secs(2);
    let tried = (0..50).any(|_| {
        harness.next_query();
        harness.sent.iter().any(|leg| leg.upstream.name == lost)
    });
    assert!(
        tried,
        "it is tried again after a while, since it may hold the snapshot again"
    );
}

struct Restart {
    other: Option<(u64, u32)>,
    coverage: &'static str,
    repeatable: bool,
    at: Timestamp,
    snapshot: u64,
    parts: usize,
}

#[rstest]
#[case::restarted(Restart {
    other: Some((6, 2)), coverage: "100%", repeatable: true, at: Timestamp(10_000),
    snapshot: 6, parts: 2,
})]
#[case::repartitioned(Restart {
    other: Some((6, 3)), coverage: "100%", repeatable: true, at: Timestamp(10_000),
    snapshot: 6, parts: 3,
})]
#[case::not_loaded_yet(Restart {
    other: Some((4, 2)), coverage: "100%", repeatable: true, at: Timestamp(10_000),
    snapshot: 4, parts: 2,
})]
#[case::no_other(Restart {
    other: Some((5, 2)), coverage: "100%", repeatable: true, at: Timestamp(10_000),
    snapshot: 5, parts: 1,
})]
#[case::none_known(Restart {
    other: None, coverage: "100%", repeatable: true, at: Timestamp(10_000),
    snapshot: 5, parts: 1,
})]
#[case::too_late(Restart {
    other: Some((6, 2)), coverage: "100%", repeatable: true, at: Timestamp(95_000),
    snapshot: 5, parts: 1,
})]
#[case::enough_is_covered(Restart {
    other: Some((6, 2)), coverage: "50%", repeatable: true, at: Timestamp(10_000),
    snapshot: 5, parts: 1,
})]
#[case::an_order_is_not_run_twice(Restart {
    other: Some((6, 2)), coverage: "100%", repeatable: false, at: Timestamp(10_000),
    snapshot: 5, parts: 1,
})]
fn a_lost_snapshot_ends_in_a_restart_or_a_partial_answer(#[case] case: Restart) {
    let mut harness = Harness::start(Setup {
        coverage: case.coverage.parse().unwrap(),
        repeatable: case.repeatable,
        ..Setup::default()
    });
    let other = case.other.map(|(id, shards)| {
        let setup = Setup {
            shards,
            ..Setup::default()
        };
        setup.snapshot(id)
    });
    harness.snapshots.extend(other);
    harness.now = case.at;
    let first = harness.valid_reply(1);
    harness.reply(1);
    fail_first_shard_with_snapshot_gone(&mut harness);
    let after = harness.sent.len();
    harness.step(Some(Event::Reply(first.leg, first)));
    let fresh = harness
        .sent
        .iter()
        .position(|leg| leg.snapshot != SnapshotId(5));
    for at in fresh.unwrap_or(after)..after {
        harness.reply(at);
    }
    let answer = harness.answer();
    assert_eq!(
        (answer.snapshot.0, answer.parts.len()),
        (case.snapshot, case.parts)
    );
    let of_one_snapshot = format!("{} ", case.snapshot);
    for part in &answer.parts {
        assert!(part.body.starts_with(of_one_snapshot.as_bytes()));
    }
    let ranges = answer.parts.iter().map(|part| part.range).collect();
    assert_eq!(answer.coverage, ranges);
}

#[test]
fn late_replies_from_the_old_snapshot_never_enter_the_new_answer() {
    let mut harness = Harness::start(Setup::default());
    harness.snapshots.push(Setup::default().snapshot(6));
    let late = harness.valid_reply(1);
    fail_first_shard_with_snapshot_gone(&mut harness);
    assert_eq!(harness.cancelled, [late.leg]);
    harness.step(Some(Event::Reply(late.leg, late)));
    let fresh = harness.sent.len() - 2;
    harness.reply(fresh);
    assert!(harness.outcome.is_none());
    harness.reply(fresh + 1);
    assert_eq!(harness.answer().snapshot, SnapshotId(6));
}

#[test]
fn a_restart_that_covers_less_returns_the_earlier_partial_answer() {
    let mut harness = Harness::start(Setup::default());
    harness.snapshots.push(Setup::default().snapshot(6));
    harness.reply(1);
    fail_first_shard_with_snapshot_gone(&mut harness);
    assert!(harness.outcome.is_none());
    harness.run_to_deadline();
    let answer = harness.answer();
    assert_eq!((answer.snapshot, answer.parts.len()), (SnapshotId(5), 1));
    assert_eq!(answer.coverage.ratio().ppm(), 500_000);
}

/// Runs queries to their end; upstreams hold the snapshots for which `holds` is true.
/// Returns how many queries met the target and how many legs failed with `SnapshotGone`.
fn drive(harness: &mut Harness, queries: u32, holds: fn(SnapshotId) -> bool) -> (usize, usize) {
    let (mut answered, mut gone) = (0, 0);
    for _ in 0..queries {
        harness.next_query();
        let mut at = 0;
        while at < harness.sent.len() {
            let leg = harness.sent[at].leg;
            let open = !harness.cancelled.contains(&leg);
            if open && holds(harness.sent[at].snapshot) {
                harness.reply(at);
            } else if open {
                gone += 1;
                harness.fail(at, GONE);
            }
            at += 1;
        }
        answered += usize::from(harness.answer().meets_target);
        harness.now = harness.now + Span::from_millis(10);
    }
    (answered, gone)
}

#[test]
fn a_snapshot_published_before_it_is_loaded_is_probed_once_a_second() {
    let mut harness = Harness::new(Setup::default());
    harness.snapshots = vec![Setup::default().snapshot(5), Setup::default().snapshot(4)];
    let (answered, gone) = drive(&mut harness, 1_000, |id| id == SnapshotId(4));
    assert_eq!(answered, 1_000, "the previous snapshot serves meanwhile");
    assert!((10..=60).contains(&gone), "{gone} legs refused in 10 s");
    let (answered, gone) = drive(&mut harness, 200, |_| true);
    assert_eq!((answered, gone), (200, 0));
    assert_eq!(
        harness.answer().snapshot,
        SnapshotId(5),
        "the snapshot is used once it is loaded"
    );
}
