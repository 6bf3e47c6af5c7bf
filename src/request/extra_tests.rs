//! Hedges: when they are sent, what they may cost, and when they must not be sent.

use rstest::rstest;

use super::harness_tests::{Bench, LATENCY, Setup, upstream};
use super::{LegFailure, hedge};
use crate::error::ErrorKind;
use crate::process::{ClassLatency, Extra, LegEnd, Upstreams};
use crate::types::{Ratio, Span, Timestamp};
use crate::version::UpstreamSpec;

const USUAL: Span = Span::from_millis(10);

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
fn a_hedge_waits_as_long_as_the_budget_and_the_deadline_say(#[case] case: HedgeTime) {
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

fn warm(setup: Setup) -> Bench {
    let mut bench = Bench::new(setup);
    bench.warm_up(30, USUAL);
    bench
}

#[test]
fn a_straggler_is_hedged_and_the_loser_is_cancelled() {
    let mut bench = warm(Setup {
        shards: 20,
        extra_load: "10%".parse().unwrap(),
        ..Setup::default()
    });
    bench.next_query();
    bench.now = bench.now + USUAL;
    for at in 1..20 {
        bench.reply(at);
    }
    bench.run_until(bench.now + USUAL);
    assert_eq!(bench.sent.len(), 21);
    assert_ne!(bench.sent[20].upstream.name, bench.sent[0].upstream.name);
    bench.reply(20);
    assert!(bench.answer().meets_target);
    assert_eq!(bench.cancelled, [bench.sent[0].leg]);
}

#[test]
fn no_hedge_is_sent_when_everything_is_slow() {
    let mut bench = warm(Setup {
        shards: 20,
        ..Setup::default()
    });
    bench.next_query();
    bench.run_to_deadline();
    assert_eq!(bench.sent.len(), 20);
}

struct Storm {
    extra_load: &'static str,
    queries: u32,
}

#[rstest]
#[case::five_percent(Storm { extra_load: "5%", queries: 500 })]
#[case::two_percent(Storm { extra_load: "2%", queries: 500 })]
#[case::none(Storm { extra_load: "0%", queries: 50 })]
fn hedges_and_retries_share_one_budget(#[case] case: Storm) {
    let setup = Setup {
        shards: 20,
        extra_load: case.extra_load.parse().unwrap(),
        ..Setup::default()
    };
    let mut bench = Bench::new(setup);
    let mut extra = 0;
    for _ in 0..case.queries {
        bench.next_query();
        bench.now = bench.now + USUAL;
        for at in 0..12 {
            bench.reply(at);
        }
        for at in 12..16 {
            bench.fail(at, LegFailure::Failed);
        }
        bench.run_to_deadline();
        extra += bench.sent.len() - 20;
    }
    let part = setup.extra_load.as_f64();
    let at_once = 800.0 * part;
    let most = f64::from(case.queries) * 20.0 * part + at_once;
    let extra = f64::from(u32::try_from(extra).unwrap());
    assert!(extra <= most, "{extra} extra legs, {most} allowed");
    assert!(extra >= most * 0.5, "{extra} extra legs, {most} allowed");
}

#[test]
fn a_hedge_goes_only_where_there_is_room() {
    let mut bench = warm(Setup {
        shards: 1,
        slots: 1,
        ..Setup::default()
    });
    bench.next_query();
    for spec in &bench.query.snapshot.shards[0].replicas.clone() {
        if spec.name != bench.sent[0].upstream.name {
            bench.limits.take(bench.now, spec);
        }
    }
    bench.run_to_deadline();
    assert_eq!(bench.sent.len(), 1);
}

#[test]
fn a_hedge_that_found_no_room_is_sent_as_soon_as_there_is_some() {
    let mut bench = warm(Setup {
        shards: 1,
        slots: 1,
        ..Setup::default()
    });
    bench.next_query();
    let replicas = bench.query.snapshot.shards[0].replicas.clone();
    let first = bench.sent[0].upstream.name.clone();
    let other = replicas.iter().find(|spec| spec.name != first).unwrap();
    bench.limits.take(bench.now, other);
    bench.run_until(bench.now + Span::from_millis(50));
    assert_eq!(bench.sent.len(), 1);
    bench.limits.give(bench.now, &other.name, USUAL);
    bench.run_until(bench.now + USUAL);
    assert_eq!(bench.sent.len(), 2);
}

#[test]
fn a_leg_that_waits_for_room_holds_no_budget() {
    let setup = Setup {
        shards: 1,
        extra_load: "1%".parse().unwrap(),
        ..Setup::default()
    };
    let mut bench = Bench::start(setup);
    bench.fail(0, LegFailure::Shed);
    bench.fail(1, LegFailure::Shed);
    assert!(bench.outcome.is_none());
    let mut tokens = 0;
    while bench.budgets.take(&setup.class(), Extra::Move) {
        tokens += 1;
    }
    assert_eq!(tokens, 79, "one leg was moved at once, the other waits");
}

#[test]
fn a_query_that_cannot_finish_is_refused_before_it_runs_and_some_are_let_through() {
    let mut bench = warm(Setup {
        shards: 4,
        ..Setup::default()
    });
    let mut refused = 0;
    for _ in 0..400 {
        bench.next_query();
        if bench.outcome.is_some() {
            assert_eq!(bench.refusal().kind, ErrorKind::CannotFinish);
            assert!(bench.sent.is_empty());
            refused += 1;
        }
        bench.run_to_deadline();
    }
    assert!((200..400).contains(&refused), "{refused} refused");
    let mut begun = 0;
    for _ in 0..2_000 {
        bench.next_query();
        bench.now = bench.now + USUAL;
        for at in 0..bench.sent.len() {
            bench.reply(at);
            begun += 1;
        }
    }
    assert!(begun > 4_000, "{begun} legs after the recovery");
    bench.next_query();
    assert!(bench.outcome.is_none());
}

struct Distance {
    domain: &'static str,
    no_sooner: Span,
    no_later: Span,
}

/// Replicas pause for a moment at their own times. Whether a leg is slow depends on the
/// way that it has to go: a near one is hedged long before a far one would have come.
#[rstest]
#[case::near(Distance { domain: "suva-a", no_sooner: Span::from_millis(9), no_later: Span::from_millis(25) })]
#[case::far(Distance { domain: "labasa-a", no_sooner: Span::from_millis(41), no_later: Span::from_millis(60) })]
fn a_paused_replica_is_hedged_by_its_own_distance(#[case] case: Distance) {
    let class = Setup::default().class();
    let mut upstreams = Upstreams::default();
    let mut spec = UpstreamSpec::clone(&upstream("one", 2));
    for at in 0..400_u64 {
        let now = Timestamp(at * 10_000);
        for (domain, least_ms) in [("suva-a", 4), ("labasa-a", 36)] {
            spec.failure_domain = domain.parse().unwrap();
            spec.name = domain.parse().unwrap();
            upstreams.begin(now, &spec);
            let took = Span::from_millis(least_ms + at % 8);
            upstreams.end(now, &spec, &class.name, took, LegEnd::Replied);
        }
    }
    spec.failure_domain = case.domain.parse().unwrap();
    let least = upstreams.least_to(Timestamp(4_000_000), &spec);
    let latency = upstreams.class(&class.name);
    let after = hedge::hedge_after(latency, Ratio::from_ppm(60_000), LATENCY, least).unwrap();
    assert!(after >= case.no_sooner && after <= case.no_later, "{after}");
}
