//! What a query answers: its own, whole parts, true coverage and true refusals.

use rstest::rstest;

use super::harness_tests::{Bench, LATENCY, Setup};
use super::{Event, LegFailure, LegReply};
use crate::error::{ErrorKind, Ran};
use crate::types::{KeyRange, LegId, QueryId, SnapshotId, Timestamp};

#[test]
fn each_shard_gets_one_leg_and_the_answer_is_whole() {
    let mut bench = Bench::start(Setup::default());
    assert_eq!(bench.sent.len(), 2);
    bench.reply(0);
    assert!(bench.outcome.is_none());
    bench.reply(1);
    let answer = bench.answer();
    assert!(answer.coverage.is_complete() && answer.meets_target);
    assert_eq!(answer.parts.len(), 2);
}

struct Foreign {
    change: fn(&mut LegReply),
}

#[rstest]
#[case::other_query(Foreign { change: |reply| reply.query = QueryId(2) })]
#[case::other_leg(Foreign { change: |reply| reply.leg = LegId(1) })]
#[case::other_snapshot(Foreign { change: |reply| reply.snapshot = SnapshotId(4) })]
#[case::other_range(Foreign { change: |reply| reply.range = KeyRange::ALL })]
fn a_reply_to_something_else_never_enters_the_answer(#[case] case: Foreign) {
    let mut bench = Bench::start(Setup::default());
    let mut reply = bench.whole_reply(0);
    reply.body = b"foreign".to_vec();
    (case.change)(&mut reply);
    bench.step(Some(Event::Reply(LegId(0), reply)));
    assert_eq!(bench.sent.len(), 3, "the shard is asked again");
    bench.reply(1);
    bench.reply(2);
    let answer = bench.answer();
    assert!(answer.parts.iter().all(|part| part.body != b"foreign"));
    assert!(answer.coverage.is_complete());
}

struct Late {
    before: fn(&mut Bench),
    leg: LegId,
}

#[rstest]
#[case::replied(Late { before: |bench| bench.reply(0), leg: LegId(0) })]
#[case::failed(Late { before: |bench| bench.fail(0, LegFailure::Silent), leg: LegId(0) })]
#[case::never_sent(Late { before: |_| {}, leg: LegId(99) })]
fn a_reply_to_a_leg_that_is_not_under_way_changes_nothing(#[case] case: Late) {
    let mut bench = Bench::start(Setup::default());
    let mut late = bench.whole_reply(0);
    late.body = b"late".to_vec();
    (case.before)(&mut bench);
    bench.step(Some(Event::Reply(case.leg, late)));
    for at in 0..bench.sent.len() {
        bench.reply(at);
    }
    let answer = bench.answer();
    assert!(answer.parts.iter().all(|part| part.body != b"late"));
    assert_eq!(answer.parts.len(), 2);
}

#[test]
fn what_is_missing_at_the_deadline_is_missing_from_the_coverage() {
    let mut bench = Bench::start(Setup::default());
    bench.reply(0);
    bench.run_to_deadline();
    let answer = bench.answer();
    assert_eq!(answer.coverage.ratio().ppm(), 500_000);
    assert!(!answer.meets_target);
    assert_eq!(bench.upstreams.in_flight(), 0);
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
    let mut bench = Bench::start(Setup {
        repeatable: case.repeatable,
        ..Setup::default()
    });
    bench.reply(1);
    bench.fail(0, case.failure);
    assert_eq!(bench.sent.len() > 2, case.retried);
    assert_ne!(
        bench.sent[0].upstream.name,
        bench.sent[bench.sent.len() - 1].upstream.name
    );
}

#[test]
fn an_order_is_never_under_way_twice() {
    let mut bench = Bench::start(Setup {
        shards: 1,
        replicas: 3,
        repeatable: false,
        ..Setup::default()
    });
    bench.run_to_deadline();
    assert_eq!(bench.sent.len(), 1);
    assert_eq!(bench.refusal().kind, ErrorKind::OutOfTime);
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
#[case::under_way(Refused {
    failures: &[LegFailure::Unreachable], to_deadline: true,
    kind: ErrorKind::OutOfTime, ran: Ran::MayHaveRun,
})]
fn a_refusal_says_not_run_only_when_nothing_ran(#[case] case: Refused) {
    let mut bench = Bench::start(Setup {
        shards: 1,
        replicas: 3,
        ..Setup::default()
    });
    for (at, failure) in case.failures.iter().enumerate() {
        bench.fail(at, *failure);
    }
    assert_eq!(bench.outcome.is_none(), case.to_deadline);
    bench.run_to_deadline();
    let kind = bench.refusal().kind;
    assert_eq!((kind, kind.row().ran), (case.kind, case.ran));
}

#[test]
fn a_query_that_found_no_room_did_not_run() {
    let mut bench = Bench::new(Setup {
        shards: 1,
        replicas: 1,
        slots: 1,
        ..Setup::default()
    });
    let only = bench.query.snapshot.shards[0].replicas[0].clone();
    bench.limits.take(bench.now, &only);
    bench.step(None);
    assert!(bench.outcome.is_none(), "it waits for room");
    bench.run_to_deadline();
    assert!(bench.sent.is_empty());
    assert_eq!(bench.refusal().kind, ErrorKind::Overloaded);
}

#[test]
fn a_leg_that_waits_is_sent_as_soon_as_there_is_room() {
    let mut bench = Bench::new(Setup {
        shards: 1,
        replicas: 1,
        slots: 1,
        ..Setup::default()
    });
    let only = bench.query.snapshot.shards[0].replicas[0].clone();
    bench.limits.take(bench.now, &only);
    bench.step(None);
    bench.run_until(Timestamp(20_000));
    assert!(bench.sent.is_empty());
    bench.limits.give(bench.now, &only.name, LATENCY);
    bench.run_until(Timestamp(30_000));
    assert_eq!(bench.sent.len(), 1);
    bench.reply(0);
    assert!(bench.answer().meets_target);
}

#[test]
fn a_caller_that_hangs_up_frees_everything() {
    let mut bench = Bench::start(Setup {
        shards: 20,
        slots: 1,
        ..Setup::default()
    });
    let first = bench.sent[0].upstream.clone();
    assert!(bench.limits.room_at(bench.now, &first) > bench.now);
    bench.step(Some(Event::CallerGone));
    assert!(bench.query.is_finished() && bench.outcome.is_none());
    assert_eq!(bench.cancelled.len(), 20);
    assert_eq!(bench.upstreams.in_flight(), 0);
    assert_eq!(bench.limits.room_at(bench.now, &first), bench.now);
}
