//! A partial answer is returned when the rest would come too late to be worth waiting for.

use rstest::rstest;

use super::super::harness_tests::{Harness, LATENCY, Setup};
use super::super::{LegFailure, QueryOptions, ReplyHead};
use crate::error::ErrorKind;
use crate::types::{Ratio, Span, Timestamp};

const SHARDS: usize = 20;
const SOFT_DEADLINE: Span = Span::from_millis(40);

fn setup() -> Setup {
    Setup {
        shards: 20,
        replicas: 1,
        coverage: Ratio::from_ppm(890_000),
        ..Setup::default()
    }
}

fn harness() -> Harness {
    let start = Harness::new(setup()).now;
    Harness::with_options(
        setup(),
        QueryOptions {
            soft_deadline: Some(start + SOFT_DEADLINE),
            ..QueryOptions::default()
        },
    )
}

struct Case {
    /// Number of shards whose replica replies at once.
    prompt: usize,
    /// When the other shards reply, counted from the start; `None` means never.
    others_at: Option<Span>,
    wanted_at: Span,
    wanted_parts: usize,
}

#[rstest]
#[case::all_prompt(Case { prompt: 20, others_at: None, wanted_at: Span::ZERO, wanted_parts: 20 })]
#[case::two_paused_replicas(Case {
    prompt: 18, others_at: None, wanted_at: SOFT_DEADLINE, wanted_parts: 18,
})]
#[case::the_rest_replies_before_the_soft_deadline(Case {
    prompt: 18, others_at: Some(Span::from_millis(39)), wanted_at: Span::from_millis(39), wanted_parts: 20,
})]
#[case::too_few_at_the_soft_deadline_wait_for_the_rest(Case {
    prompt: 17, others_at: Some(Span::from_millis(60)), wanted_at: Span::from_millis(60), wanted_parts: 20,
})]
#[case::too_few_answer_nothing_before_the_deadline(Case {
    prompt: 17, others_at: None, wanted_at: LATENCY, wanted_parts: 17,
})]
fn a_partial_answer_is_returned_at_the_soft_deadline(#[case] case: Case) {
    let mut harness = harness();
    let start = harness.now;
    for at in 0..case.prompt {
        harness.reply(at);
    }
    if let Some(at) = case.others_at {
        harness.run_until(start + at);
        for at in case.prompt..SHARDS {
            harness.reply(at);
        }
    }
    harness.run_until(start + LATENCY);
    assert_eq!(harness.answer().parts.len(), case.wanted_parts);
    assert_eq!(harness.answer().took, case.wanted_at);
}

#[test]
fn after_the_soft_deadline_a_partial_answer_waits_as_long_again() {
    let mut harness = harness();
    let start = harness.now;
    for at in 0..17 {
        harness.reply(at);
    }
    harness.run_until(start + Span::from_millis(60));
    harness.reply(17);
    harness.run_until(start + LATENCY);
    assert_eq!(harness.answer().took, Span(SOFT_DEADLINE.0 * 2));
    assert_eq!(harness.answer().parts.len(), 18);
}

#[test]
fn an_error_reply_of_an_upstream_reaches_the_caller() {
    let setup = Setup {
        shards: 1,
        replicas: 1,
        ..Setup::default()
    };
    let options = QueryOptions {
        returns_upstream_errors: true,
        ..QueryOptions::default()
    };
    let mut harness = Harness::with_options(setup, options);
    let mut reply = harness.valid_reply(0);
    reply.head = Some(Box::new(ReplyHead {
        status: 500,
        ..ReplyHead::default()
    }));
    harness.step(Some(super::super::Event::Reply(reply.leg, reply)));
    let head = harness.answer().parts[0].head.as_ref().unwrap();
    assert_eq!(head.status, 500);
}

/// A stopped replica refuses connections, so the leg was never sent. The next leg is then
/// the first that the service receives, not a repeat.
#[test]
fn a_leg_that_was_never_sent_does_not_count_as_a_run() {
    let setup = Setup {
        shards: 1,
        replicas: 3,
        ..Setup::default()
    };
    let options = QueryOptions {
        max_runs: 1,
        ..QueryOptions::default()
    };
    let mut harness = Harness::with_options(setup, options);
    harness.fail(0, LegFailure::Unreachable);
    harness.fail(1, LegFailure::Shed);
    assert_eq!(harness.sent.len(), 3);
    harness.fail(2, LegFailure::Lost);
    assert_eq!(harness.sent.len(), 3);
    assert_eq!(harness.refusal().kind, ErrorKind::UpstreamFailed);
    assert!(harness.now >= Timestamp(0));
}

#[test]
fn a_query_that_cannot_reach_its_coverage_ends_at_once() {
    let mut harness = harness();
    let start = harness.now;
    for at in 0..2 {
        harness.fail(at, LegFailure::Failed);
        assert!(harness.outcome.is_none());
    }
    harness.reply(2);
    harness.fail(3, LegFailure::Failed);
    assert_eq!(harness.answer().took, Span::ZERO);
    assert_eq!(harness.now, start);
}

/// Legs to a silent replica occupy this instance's connections to it, and those to the
/// other replica are in use. The shard waits for a connection instead of being abandoned.
#[test]
fn a_shard_without_a_free_connection_waits_for_one() {
    let setup = Setup {
        shards: 1,
        replicas: 2,
        ..Setup::default()
    };
    let mut harness = Harness::with_options(setup, QueryOptions::default());
    for _ in 0..20 {
        let last = harness.sent.len() - 1;
        harness.fail(last, LegFailure::NoShare);
        let until = harness.now + Span::from_millis(4);
        harness.run_until(until);
        assert!(harness.outcome.is_none());
    }
    let last = harness.sent.len() - 1;
    harness.reply(last);
    assert_eq!(harness.answer().parts.len(), 1);
}

/// A service without any replica is refused as such, not as overloaded.
#[test]
fn a_service_without_replicas_is_refused_with_no_upstream() {
    let setup = Setup {
        shards: 1,
        replicas: 0,
        ..Setup::default()
    };
    let harness = Harness::with_options(setup, QueryOptions::default());
    assert_eq!(harness.refusal().kind, ErrorKind::NoUpstream);
}
