//! Answers hold only valid, complete parts and state the correct coverage; refusals state
//! correctly whether the query may have run.

use rstest::rstest;

use super::harness_tests::{Harness, LATENCY, Setup};
use super::{Event, LegFailure, LegReply};
use crate::error::{ErrorKind, Ran};
use crate::types::{KeyRange, LegId, QueryId, SnapshotId, Timestamp};

#[test]
fn each_shard_gets_one_leg_and_the_answer_is_complete() {
    let mut harness = Harness::start(Setup::default());
    assert_eq!(harness.sent.len(), 2);
    harness.reply(0);
    assert!(harness.outcome.is_none());
    harness.reply(1);
    let answer = harness.answer();
    assert!(answer.coverage.is_complete() && answer.meets_target);
    assert_eq!(answer.parts.len(), 2);
}

struct Mismatch {
    change: fn(&mut LegReply),
}

#[rstest]
#[case::other_query(Mismatch { change: |reply| reply.query = QueryId(2) })]
#[case::other_leg(Mismatch { change: |reply| reply.leg = LegId(1) })]
#[case::other_snapshot(Mismatch { change: |reply| reply.snapshot = SnapshotId(4) })]
#[case::other_range(Mismatch { change: |reply| reply.range = KeyRange::ALL })]
fn a_reply_that_does_not_match_its_leg_never_enters_the_answer(#[case] case: Mismatch) {
    let mut harness = Harness::start(Setup::default());
    let mut reply = harness.valid_reply(0);
    reply.body = b"foreign".to_vec().into();
    (case.change)(&mut reply);
    harness.step(Some(Event::Reply(LegId(0), reply)));
    assert_eq!(harness.sent.len(), 3, "another leg is sent to the shard");
    harness.reply(1);
    harness.reply(2);
    let answer = harness.answer();
    assert!(answer.parts.iter().all(|part| *part.body != *b"foreign"));
    assert!(answer.coverage.is_complete());
}

struct Late {
    before: fn(&mut Harness),
    leg: LegId,
}

#[rstest]
#[case::replied(Late { before: |harness| harness.reply(0), leg: LegId(0) })]
#[case::failed(Late { before: |harness| harness.fail(0, LegFailure::Silent), leg: LegId(0) })]
#[case::never_sent(Late { before: |_| {}, leg: LegId(99) })]
fn a_reply_to_a_leg_that_is_not_in_flight_changes_nothing(#[case] case: Late) {
    let mut harness = Harness::start(Setup::default());
    let mut late = harness.valid_reply(0);
    late.body = b"late".to_vec().into();
    (case.before)(&mut harness);
    harness.step(Some(Event::Reply(case.leg, late)));
    for at in 0..harness.sent.len() {
        harness.reply(at);
    }
    let answer = harness.answer();
    assert!(answer.parts.iter().all(|part| *part.body != *b"late"));
    assert_eq!(answer.parts.len(), 2);
}

#[test]
fn the_coverage_excludes_shards_that_are_missing_at_the_deadline() {
    let mut harness = Harness::start(Setup::default());
    harness.reply(0);
    harness.run_to_deadline();
    let answer = harness.answer();
    assert_eq!(answer.coverage.ratio().ppm(), 500_000);
    assert!(!answer.meets_target);
    assert_eq!(harness.upstreams.in_flight(), 0);
}

struct Failing {
    repeatable: bool,
    failure: LegFailure,
    retried: bool,
}

#[rstest]
#[case::unreachable(Failing { repeatable: true, failure: LegFailure::Unreachable, retried: true })]
#[case::shed(Failing { repeatable: true, failure: LegFailure::Shed, retried: true })]
#[case::draining(Failing { repeatable: true, failure: LegFailure::Draining, retried: true })]
#[case::lost(Failing { repeatable: true, failure: LegFailure::Lost, retried: true })]
#[case::silent(Failing { repeatable: true, failure: LegFailure::Silent, retried: true })]
#[case::order_shed(Failing { repeatable: false, failure: LegFailure::Shed, retried: true })]
#[case::order_gone(Failing { repeatable: false, failure: LegFailure::SnapshotGone, retried: true })]
#[case::order_lost(Failing { repeatable: false, failure: LegFailure::Lost, retried: false })]
#[case::order_silent(Failing { repeatable: false, failure: LegFailure::Silent, retried: false })]
#[case::order_slow(Failing { repeatable: false, failure: LegFailure::OutOfTime, retried: false })]
#[case::order_mangled(Failing { repeatable: false, failure: LegFailure::Mangled, retried: false })]
#[case::order_failed(Failing { repeatable: false, failure: LegFailure::Failed, retried: false })]
fn a_failed_leg_is_sent_again_only_where_that_is_allowed(#[case] case: Failing) {
    let mut harness = Harness::start(Setup {
        repeatable: case.repeatable,
        ..Setup::default()
    });
    harness.reply(1);
    harness.fail(0, case.failure);
    assert_eq!(harness.sent.len() > 2, case.retried);
    assert_ne!(
        harness.sent[0].upstream.name,
        harness.sent[harness.sent.len() - 1].upstream.name
    );
}

#[test]
fn an_order_is_never_in_flight_twice() {
    let mut harness = Harness::start(Setup {
        shards: 1,
        replicas: 3,
        repeatable: false,
        ..Setup::default()
    });
    harness.run_to_deadline();
    assert_eq!(harness.sent.len(), 1);
    assert_eq!(harness.refusal().kind, ErrorKind::OutOfTime);
}

struct Refused {
    failures: &'static [LegFailure],
    to_deadline: bool,
    kind: ErrorKind,
    ran: Ran,
}

#[rstest]
#[case::all_unreachable(Refused {
    failures: &[LegFailure::Unreachable; 3], to_deadline: false,
    kind: ErrorKind::NoUpstream, ran: Ran::NotRun,
})]
#[case::all_shed(Refused {
    failures: &[LegFailure::Shed; 3], to_deadline: true,
    kind: ErrorKind::OutOfTime, ran: Ran::MayHaveRun,
})]
#[case::all_draining(Refused {
    failures: &[LegFailure::Draining; 3], to_deadline: false,
    kind: ErrorKind::NoUpstream, ran: Ran::NotRun,
})]
#[case::all_gone(Refused {
    failures: &[LegFailure::SnapshotGone; 3], to_deadline: false,
    kind: ErrorKind::NoSnapshot, ran: Ran::NotRun,
})]
#[case::ran_earlier(Refused {
    failures: &[LegFailure::Failed, LegFailure::Unreachable, LegFailure::Draining],
    to_deadline: false, kind: ErrorKind::UpstreamFailed, ran: Ran::MayHaveRun,
})]
#[case::ran_later(Refused {
    failures: &[LegFailure::Unreachable, LegFailure::Draining, LegFailure::Silent],
    to_deadline: false, kind: ErrorKind::UpstreamFailed, ran: Ran::MayHaveRun,
})]
#[case::in_flight(Refused {
    failures: &[LegFailure::Unreachable], to_deadline: true,
    kind: ErrorKind::OutOfTime, ran: Ran::MayHaveRun,
})]
fn a_refusal_says_not_run_only_when_nothing_ran(#[case] case: Refused) {
    let mut harness = Harness::start(Setup {
        shards: 1,
        replicas: 3,
        ..Setup::default()
    });
    for (at, failure) in case.failures.iter().enumerate() {
        harness.fail(at, *failure);
    }
    assert_eq!(harness.outcome.is_none(), case.to_deadline);
    harness.run_to_deadline();
    let kind = harness.refusal().kind;
    assert_eq!((kind, kind.row().ran), (case.kind, case.ran));
}

#[test]
fn a_query_that_got_no_slot_did_not_run() {
    let mut harness = Harness::new(Setup {
        shards: 1,
        replicas: 1,
        slots: 1,
        ..Setup::default()
    });
    let only = harness.query.snapshot.shards[0].replicas[0].clone();
    harness.limits.take(harness.now, &only);
    harness.step(None);
    assert!(harness.outcome.is_none(), "it waits for a free slot");
    harness.run_to_deadline();
    assert!(harness.sent.is_empty());
    assert_eq!(harness.refusal().kind, ErrorKind::Overloaded);
}

#[test]
fn a_waiting_leg_is_sent_once_a_slot_is_free() {
    let mut harness = Harness::new(Setup {
        shards: 1,
        replicas: 1,
        slots: 1,
        ..Setup::default()
    });
    let only = harness.query.snapshot.shards[0].replicas[0].clone();
    harness.limits.take(harness.now, &only);
    harness.step(None);
    harness.run_until(Timestamp(20_000));
    assert!(harness.sent.is_empty());
    harness.limits.release(harness.now, &only.name, LATENCY);
    harness.run_until(Timestamp(30_000));
    assert_eq!(harness.sent.len(), 1);
    harness.reply(0);
    assert!(harness.answer().meets_target);
}

#[test]
fn a_caller_that_disconnects_frees_all_slots() {
    let mut harness = Harness::start(Setup {
        shards: 20,
        slots: 1,
        ..Setup::default()
    });
    let first = harness.sent[0].upstream.clone();
    assert!(harness.limits.room_at(harness.now, &first) > harness.now);
    harness.step(Some(Event::CallerGone));
    assert!(harness.query.is_finished() && harness.outcome.is_none());
    assert_eq!(harness.cancelled.len(), 20);
    assert_eq!(harness.upstreams.in_flight(), 0);
    assert_eq!(harness.limits.room_at(harness.now, &first), harness.now);
}
