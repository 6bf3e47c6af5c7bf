//! Load pattern: many shards whose replicas all state that they take less than is asked.
//!
//! Guards against queries that each get a part of their shards and no answer: together they
//! use up what would have served some of them whole.

use rstest::rstest;

use super::harness_tests::{Harness, Setup, upstream};
use crate::error::{ErrorKind, Ran};
use crate::process::UpstreamSignals;
use crate::types::{PerSecond, Ratio, Span, Timestamp};

const SHARDS: u32 = 20;
const LIMIT: PerSecond = PerSecond(10.0);
/// The time in which a limited upstream has room for one more leg.
const PER_LEG: Span = Span::from_millis(100);

struct Case {
    /// The number of shards with one limited replica, and with two.
    half_limited: u32,
    limited: u32,
    /// How long ago the replicas stated their limit.
    stated: Span,
    /// The legs that are sent at once, or none if the query is refused.
    wanted_legs: Option<u32>,
}

fn harness(case: &Case) -> Harness {
    let setup = Setup {
        shards: SHARDS,
        coverage: Ratio::from_ppm(890_000),
        ..Setup::default()
    };
    let mut harness = Harness::new(setup);
    for shard in 0..case.half_limited + case.limited {
        let replicas = if shard < case.limited { 2 } else { 1 };
        for replica in 0..replicas {
            limit(&mut harness, &format!("s{shard}r{replica}"));
        }
    }
    harness.now = harness.now + case.stated;
    harness
}

fn limit(harness: &mut Harness, name: &str) {
    let upstream = upstream(name, 100);
    let now = harness.now;
    harness
        .limits
        .note_rate(now, &upstream.name, now, Some(LIMIT));
}

#[rstest]
#[case::none_is_limited(Case { half_limited: 0, limited: 0, stated: Span::ZERO, wanted_legs: Some(20) })]
#[case::the_other_replica_takes_all(Case { half_limited: 20, limited: 0, stated: Span::ZERO, wanted_legs: Some(20) })]
#[case::enough_shards_are_left(Case { half_limited: 0, limited: 2, stated: Span::ZERO, wanted_legs: Some(18) })]
#[case::too_few_shards_are_left(Case { half_limited: 0, limited: 3, stated: Span::ZERO, wanted_legs: None })]
#[case::the_limits_have_room_again(Case { half_limited: 0, limited: 3, stated: PER_LEG, wanted_legs: Some(20) })]
#[case::all_are_limited(Case { half_limited: 0, limited: 20, stated: Span::ZERO, wanted_legs: None })]
fn a_query_starts_only_if_enough_shards_have_room(#[case] case: Case) {
    let mut harness = harness(&case);
    harness.next_query();
    let sent = u32::try_from(harness.sent.len()).unwrap();
    assert_eq!(sent, case.wanted_legs.unwrap_or_default());
    if case.wanted_legs.is_none() {
        let refusal = harness.refusal();
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        assert_eq!(refusal.kind.row().ran, Ran::NotRun);
        let retry_after = refusal.retry_after.unwrap();
        assert!(
            retry_after >= PER_LEG && retry_after.0 <= PER_LEG.0 * 2,
            "{retry_after}"
        );
    }
}

struct LeavingCase {
    /// The number of shards with one replica that leaves, and with two.
    half_leaving: u32,
    leaving: u32,
    wanted_legs: Option<u32>,
}

/// Replicas that say that they leave get no legs, and a query that cannot be answered without them
/// is refused at once.
#[rstest]
#[case::one_of_two(LeavingCase { half_leaving: 20, leaving: 0, wanted_legs: Some(20) })]
#[case::enough_shards_are_left(LeavingCase { half_leaving: 0, leaving: 2, wanted_legs: Some(18) })]
#[case::too_few_shards_are_left(LeavingCase { half_leaving: 0, leaving: 3, wanted_legs: None })]
fn no_leg_goes_to_a_replica_that_says_it_leaves(#[case] case: LeavingCase) {
    let mut harness = Harness::new(Setup {
        shards: SHARDS,
        coverage: Ratio::from_ppm(890_000),
        ..Setup::default()
    });
    let signals = UpstreamSignals {
        leaving: true,
        ..UpstreamSignals::default()
    };
    let mut leaving = Vec::new();
    for shard in 0..case.half_leaving + case.leaving {
        for replica in 0..if shard < case.leaving { 2 } else { 1 } {
            let upstream = upstream(&format!("s{shard}r{replica}"), 100);
            let now = harness.now;
            harness.upstreams.note_signals(now, &upstream, signals);
            leaving.push(upstream.name.clone());
        }
    }
    harness.next_query();
    let sent = u32::try_from(harness.sent.len()).unwrap();
    assert_eq!(sent, case.wanted_legs.unwrap_or_default());
    let names = harness.sent.iter().map(|leg| &leg.upstream.name);
    assert_eq!(names.filter(|name| leaving.contains(name)).count(), 0);
    if case.wanted_legs.is_none() {
        assert_eq!(harness.refusal().kind, ErrorKind::NoUpstream);
    }
}

struct PauseCase {
    /// How many replicas of the only shard want a pause, and for how long.
    paused: u32,
    pause: Span,
    /// How long after the statement a query starts.
    after: Span,
    /// The legs that are sent at once, or the time that the refusal names at least.
    wanted: Result<usize, Span>,
}

/// A replica that wants a pause gets one; if all do, callers are told when it is over.
#[rstest]
#[case::another_replica(PauseCase { paused: 1, pause: Span::from_secs(2), after: Span::ZERO, wanted: Ok(1) })]
#[case::all_of_them(PauseCase { paused: 2, pause: Span::from_secs(2), after: Span::ZERO, wanted: Err(Span::from_secs(2)) })]
#[case::shortly_before_its_end(PauseCase { paused: 2, pause: Span::from_secs(2), after: Span::from_millis(1_999), wanted: Err(Span::from_millis(1)) })]
#[case::over(PauseCase { paused: 2, pause: Span::from_secs(2), after: Span::from_secs(2), wanted: Ok(1) })]
#[case::of_minutes(PauseCase { paused: 2, pause: Span::from_secs(300), after: Span::from_secs(299), wanted: Err(Span::from_secs(1)) })]
#[case::absurdly_long(PauseCase { paused: 2, pause: Span(u64::MAX), after: Span::from_secs(600), wanted: Ok(1) })]
fn no_leg_goes_to_a_replica_that_wants_a_pause(#[case] case: PauseCase) {
    let mut harness = Harness::new(Setup {
        shards: 1,
        ..Setup::default()
    });
    let signals = UpstreamSignals {
        pause: Some(case.pause),
        ..UpstreamSignals::default()
    };
    for replica in 0..case.paused {
        let upstream = upstream(&format!("s0r{replica}"), 100);
        let now = harness.now;
        harness.upstreams.note_signals(now, &upstream, signals);
    }
    harness.now = harness.now + case.after;
    harness.next_query();
    match case.wanted {
        Ok(legs) => {
            assert_eq!(harness.sent.len(), legs);
            if case.paused == 1 {
                assert_eq!(harness.sent[0].upstream.name.as_str(), "s0r1");
            }
        }
        Err(retry_after) => {
            assert_eq!(harness.sent.len(), 0);
            assert_eq!(harness.refusal().kind, ErrorKind::Overloaded);
            assert!(harness.refusal().retry_after.unwrap() >= retry_after);
        }
    }
}

/// A query refused for want of room takes none of it, so that each round serves one whole.
#[test]
fn a_share_of_the_queries_is_answered_whole() {
    let case = Case {
        half_limited: 0,
        limited: 10,
        stated: Span::ZERO,
        wanted_legs: None,
    };
    let mut harness = harness(&case);
    let mut whole = 0;
    while harness.now < Timestamp(2_000_000) {
        harness.next_query();
        for at in 0..harness.sent.len() {
            harness.reply(at);
        }
        whole +=
            u32::from(matches!(&harness.outcome, Some(Ok(answer)) if answer.parts.len() == 20));
        harness.run_until(harness.now + Span(PER_LEG.0 / 8));
    }
    // Two replicas with ten requests a second each, for two seconds.
    assert!((36..=40).contains(&whole), "{whole}");
}

/// Callers that are refused together come back spread out.
#[test]
fn refused_callers_are_told_different_times() {
    let case = Case {
        half_limited: 0,
        limited: 20,
        stated: Span::ZERO,
        wanted_legs: None,
    };
    let mut harness = harness(&case);
    let mut times: Vec<Span> = (0..20)
        .map(|_| {
            harness.next_query();
            harness.refusal().retry_after.unwrap()
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 15, "{times:?}");
}
