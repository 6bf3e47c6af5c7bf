//! A part of an answer is given out when the rest would come too late to be worth it.

use rstest::rstest;

use super::super::harness_tests::{Bench, LATENCY, Setup};
use super::super::{LegFailure, ReplyHead, Terms};
use crate::error::ErrorKind;
use crate::types::{Ratio, Span, Timestamp};

const SHARDS: usize = 20;
const AIM: Span = Span::from_millis(40);

fn setup() -> Setup {
    Setup {
        shards: 20,
        replicas: 1,
        coverage: Ratio::from_ppm(890_000),
        ..Setup::default()
    }
}

fn bench() -> Bench {
    let start = Bench::new(setup()).now;
    Bench::with_terms(
        setup(),
        Terms {
            aim: Some(start + AIM),
            ..Terms::default()
        },
    )
}

struct Case {
    /// Shards whose replica replies at once.
    prompt: usize,
    /// When the others reply, from the start; never when absent.
    others_at: Option<Span>,
    wanted_at: Span,
    wanted_parts: usize,
}

#[rstest]
#[case::all_prompt(Case { prompt: 20, others_at: None, wanted_at: Span::ZERO, wanted_parts: 20 })]
#[case::two_paused_replicas(Case {
    prompt: 18, others_at: None, wanted_at: AIM, wanted_parts: 18,
})]
#[case::the_rest_comes_before_the_aim(Case {
    prompt: 18, others_at: Some(Span::from_millis(39)), wanted_at: Span::from_millis(39), wanted_parts: 20,
})]
#[case::too_few_at_the_aim_wait_for_the_rest(Case {
    prompt: 17, others_at: Some(Span::from_millis(60)), wanted_at: Span::from_millis(60), wanted_parts: 20,
})]
#[case::too_few_answer_nothing_before_the_deadline(Case {
    prompt: 17, others_at: None, wanted_at: LATENCY, wanted_parts: 17,
})]
fn a_part_is_given_out_at_the_aim(#[case] case: Case) {
    let mut bench = bench();
    let start = bench.now;
    for at in 0..case.prompt {
        bench.reply(at);
    }
    if let Some(at) = case.others_at {
        bench.run_until(start + at);
        for at in case.prompt..SHARDS {
            bench.reply(at);
        }
    }
    bench.run_until(start + LATENCY);
    assert_eq!(bench.answer().parts.len(), case.wanted_parts);
    assert_eq!(bench.answer().took, case.wanted_at);
}

#[test]
fn a_late_part_waits_as_long_again_for_the_rest() {
    let mut bench = bench();
    let start = bench.now;
    for at in 0..17 {
        bench.reply(at);
    }
    bench.run_until(start + Span::from_millis(60));
    bench.reply(17);
    bench.run_until(start + LATENCY);
    assert_eq!(bench.answer().took, Span(AIM.0 * 2));
    assert_eq!(bench.answer().parts.len(), 18);
}

#[test]
fn an_upstreams_own_failure_reaches_the_caller() {
    let setup = Setup {
        shards: 1,
        replicas: 1,
        ..Setup::default()
    };
    let terms = Terms {
        passes_failures: true,
        ..Terms::default()
    };
    let mut bench = Bench::with_terms(setup, terms);
    let mut reply = bench.whole_reply(0);
    reply.head = Some(Box::new(ReplyHead {
        status: 500,
        ..ReplyHead::default()
    }));
    bench.step(Some(super::super::Event::Reply(reply.leg, reply)));
    let head = bench.answer().parts[0].head.as_ref().unwrap();
    assert_eq!(head.status, 500);
}

/// A replica that is gone refuses connections: the leg never left, so the next one is
/// the service's first and not a repeat.
#[test]
fn a_leg_that_never_left_costs_no_run() {
    let setup = Setup {
        shards: 1,
        replicas: 3,
        ..Setup::default()
    };
    let terms = Terms {
        most_runs: 1,
        ..Terms::default()
    };
    let mut bench = Bench::with_terms(setup, terms);
    bench.fail(0, LegFailure::Unreachable);
    bench.fail(1, LegFailure::Shed);
    assert_eq!(bench.sent.len(), 3);
    bench.fail(2, LegFailure::Lost);
    assert_eq!(bench.sent.len(), 3);
    assert_eq!(bench.refusal().kind, ErrorKind::UpstreamFailed);
    assert!(bench.now >= Timestamp(0));
}

#[test]
fn a_query_that_cannot_be_answered_any_more_ends_at_once() {
    let mut bench = bench();
    let start = bench.now;
    for at in 0..2 {
        bench.fail(at, LegFailure::Failed);
        assert!(bench.outcome.is_none());
    }
    bench.reply(2);
    bench.fail(3, LegFailure::Failed);
    assert_eq!(bench.answer().took, Span::ZERO);
    assert_eq!(bench.now, start);
}

/// Legs to a replica that fell silent hold this instance's connections to it, and the
/// other replica's are in use: the shard waits for one instead of being given up.
#[test]
fn a_shard_without_a_free_connection_waits_for_one() {
    let setup = Setup {
        shards: 1,
        replicas: 2,
        ..Setup::default()
    };
    let mut bench = Bench::with_terms(setup, Terms::default());
    for _ in 0..20 {
        let last = bench.sent.len() - 1;
        bench.fail(last, LegFailure::NoShare);
        let until = bench.now + Span::from_millis(4);
        bench.run_until(until);
        assert!(bench.outcome.is_none());
    }
    let last = bench.sent.len() - 1;
    bench.reply(last);
    assert_eq!(bench.answer().parts.len(), 1);
}

/// A service whose replicas are all gone is no matter of load: its caller is told so.
#[test]
fn a_service_without_replicas_is_said_to_have_none() {
    let setup = Setup {
        shards: 1,
        replicas: 0,
        ..Setup::default()
    };
    let bench = Bench::with_terms(setup, Terms::default());
    assert_eq!(bench.refusal().kind, ErrorKind::NoUpstream);
}
