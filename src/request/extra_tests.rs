//! Hedges: when they are sent, when they must not be sent, and the budget they share.

use rstest::rstest;

use super::harness_tests::{Harness, LATENCY, Setup, upstream};
use super::{LegFailure, hedge};
use crate::error::ErrorKind;
use crate::process::{ClassLatency, ExtraLeg, LegEnd, Upstreams};
use crate::types::{Ratio, Span, Timestamp};
use crate::version::UpstreamSpec;

const TYPICAL_LATENCY: Span = Span::from_millis(10);

struct HedgeTime {
    fast_ms: u64,
    slow_ms: u64,
    extra_load: &'static str,
    left_ms: u64,
    after_ms: Option<(u64, u64)>,
}

#[rstest]
#[case::slower_than_most(HedgeTime {
    fast_ms: 10, slow_ms: 80, extra_load: "5%", left_ms: 170, after_ms: Some((60, 110)),
})]
#[case::a_larger_budget_hedges_sooner(HedgeTime {
    fast_ms: 10, slow_ms: 80, extra_load: "20%", left_ms: 170, after_ms: Some((7, 14)),
})]
#[case::the_last_chance(HedgeTime {
    fast_ms: 10, slow_ms: 80, extra_load: "5%", left_ms: 50, after_ms: Some((30, 44)),
})]
#[case::no_chance(HedgeTime {
    fast_ms: 10, slow_ms: 80, extra_load: "5%", left_ms: 12, after_ms: None,
})]
fn the_hedge_delay_follows_the_budget_and_the_deadline(#[case] case: HedgeTime) {
    let mut latency = ClassLatency::default();
    let mut learn = |took| {
        latency.legs.learn(took);
        latency.excess.learn(took);
    };
    (0..93).for_each(|_| learn(Span::from_millis(case.fast_ms)));
    (0..7).for_each(|_| learn(Span::from_millis(case.slow_ms)));
    let left = Span::from_millis(case.left_ms);
    let extra_load = case.extra_load.parse().unwrap();
    let after = hedge::hedge_after(Some(&latency), extra_load, left, Span::ZERO);
    match (after.map(Span::as_millis), case.after_ms) {
        (Some(after), Some((low, high))) => assert!((low..=high).contains(&after), "{after}"),
        (after, wanted) => assert_eq!(after.is_some(), wanted.is_some(), "{after:?}"),
    }
}

fn warmed_up(setup: Setup) -> Harness {
    let mut harness = Harness::new(setup);
    harness.warm_up(30, TYPICAL_LATENCY);
    harness
}

#[test]
fn a_straggler_is_hedged_and_the_loser_is_cancelled() {
    let mut harness = warmed_up(Setup {
        shards: 20,
        extra_load: "10%".parse().unwrap(),
        ..Setup::default()
    });
    harness.next_query();
    harness.now = harness.now + TYPICAL_LATENCY;
    for at in 1..20 {
        harness.reply(at);
    }
    harness.run_until(harness.now + TYPICAL_LATENCY);
    assert_eq!(harness.sent.len(), 21);
    assert_ne!(
        harness.sent[20].upstream.name,
        harness.sent[0].upstream.name
    );
    harness.reply(20);
    assert!(harness.answer().meets_target);
    assert_eq!(harness.cancelled, [harness.sent[0].leg]);
}

#[test]
fn no_hedge_is_sent_when_everything_is_slow() {
    let mut harness = warmed_up(Setup {
        shards: 20,
        ..Setup::default()
    });
    harness.next_query();
    harness.run_to_deadline();
    assert_eq!(harness.sent.len(), 20);
}

struct BudgetCase {
    extra_load: &'static str,
    queries: u32,
}

#[rstest]
#[case::five_percent(BudgetCase { extra_load: "5%", queries: 500 })]
#[case::two_percent(BudgetCase { extra_load: "2%", queries: 500 })]
#[case::none(BudgetCase { extra_load: "0%", queries: 50 })]
fn hedges_and_retries_share_one_budget(#[case] case: BudgetCase) {
    let setup = Setup {
        shards: 20,
        extra_load: case.extra_load.parse().unwrap(),
        ..Setup::default()
    };
    let mut harness = Harness::new(setup);
    let mut extra = 0;
    for _ in 0..case.queries {
        harness.next_query();
        harness.now = harness.now + TYPICAL_LATENCY;
        for at in 0..12 {
            harness.reply(at);
        }
        for at in 12..16 {
            harness.fail(at, LegFailure::Failed);
        }
        harness.run_to_deadline();
        extra += harness.sent.len() - 20;
    }
    let ratio = setup.extra_load.as_f64();
    let initial_tokens = 800.0 * ratio;
    let max = f64::from(case.queries) * 20.0 * ratio + initial_tokens;
    let extra = f64::from(u32::try_from(extra).unwrap());
    assert!(extra <= max, "{extra} extra legs, {max} allowed");
    assert!(extra >= max * 0.5, "{extra} extra legs, {max} allowed");
}

#[test]
fn a_hedge_goes_only_to_a_replica_with_a_free_slot() {
    let mut harness = warmed_up(Setup {
        shards: 1,
        slots: 1,
        ..Setup::default()
    });
    harness.next_query();
    for spec in &harness.query.snapshot.shards[0].replicas.clone() {
        if spec.name != harness.sent[0].upstream.name {
            harness.limits.take(harness.now, spec);
        }
    }
    harness.run_to_deadline();
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_hedge_without_a_free_slot_is_sent_once_one_is_free() {
    let mut harness = warmed_up(Setup {
        shards: 1,
        slots: 1,
        ..Setup::default()
    });
    harness.next_query();
    let replicas = harness.query.snapshot.shards[0].replicas.clone();
    let first = harness.sent[0].upstream.name.clone();
    let other = replicas.iter().find(|spec| spec.name != first).unwrap();
    harness.limits.take(harness.now, other);
    harness.run_until(harness.now + Span::from_millis(50));
    assert_eq!(harness.sent.len(), 1);
    harness
        .limits
        .release(harness.now, &other.name, TYPICAL_LATENCY);
    harness.run_until(harness.now + TYPICAL_LATENCY);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn a_leg_that_waits_for_a_slot_takes_no_budget() {
    let setup = Setup {
        shards: 1,
        extra_load: "1%".parse().unwrap(),
        ..Setup::default()
    };
    let mut harness = Harness::start(setup);
    harness.fail(0, LegFailure::Shed);
    harness.fail(1, LegFailure::Shed);
    assert!(harness.outcome.is_none());
    let mut tokens = 0;
    while harness.budgets.take(&setup.class(), ExtraLeg::Move) {
        tokens += 1;
    }
    assert_eq!(
        tokens, 79,
        "one leg moved at once, the other waits for a slot"
    );
}

#[test]
fn most_queries_that_cannot_finish_are_refused_unrun_and_some_are_admitted() {
    let mut harness = warmed_up(Setup {
        shards: 4,
        ..Setup::default()
    });
    let mut refused = 0;
    for _ in 0..400 {
        harness.next_query();
        if harness.outcome.is_some() {
            assert_eq!(harness.refusal().kind, ErrorKind::CannotFinish);
            assert!(harness.sent.is_empty());
            refused += 1;
        }
        harness.run_to_deadline();
    }
    assert!((200..400).contains(&refused), "{refused} refused");
    let mut legs = 0;
    for _ in 0..2_000 {
        harness.next_query();
        harness.now = harness.now + TYPICAL_LATENCY;
        for at in 0..harness.sent.len() {
            harness.reply(at);
            legs += 1;
        }
    }
    assert!(legs > 4_000, "{legs} legs after the recovery");
    harness.next_query();
    assert!(harness.outcome.is_none());
}

struct Distance {
    domain: &'static str,
    min_after: Span,
    max_after: Span,
}

/// Replicas pause briefly, each at its own times. Whether a leg is slow depends on the
/// minimum latency of its failure domain: a leg to a near replica is hedged long before a
/// leg to a far one would have replied.
#[rstest]
#[case::near(Distance { domain: "suva-a", min_after: Span::from_millis(9), max_after: Span::from_millis(25) })]
#[case::far(Distance { domain: "labasa-a", min_after: Span::from_millis(41), max_after: Span::from_millis(60) })]
fn the_hedge_delay_depends_on_the_distance_of_the_replica(#[case] case: Distance) {
    let class = Setup::default().class();
    let mut upstreams = Upstreams::default();
    let mut spec = UpstreamSpec::clone(&upstream("one", 2));
    for at in 0..400_u64 {
        let now = Timestamp(at * 10_000);
        for (domain, min_ms) in [("suva-a", 4), ("labasa-a", 36)] {
            spec.failure_domain = domain.parse().unwrap();
            spec.name = domain.parse().unwrap();
            upstreams.begin(now, &spec);
            let took = Span::from_millis(min_ms + at % 8);
            upstreams.end(now, &spec, &class.name, took, LegEnd::Replied);
        }
    }
    spec.failure_domain = case.domain.parse().unwrap();
    let min_latency = upstreams.min_latency_to(Timestamp(4_000_000), &spec);
    let latency = upstreams.class(&class.name);
    let after = hedge::hedge_after(latency, Ratio::from_ppm(60_000), LATENCY, min_latency).unwrap();
    assert!(
        after >= case.min_after && after <= case.max_after,
        "{after}"
    );
}
