//! Checks the arrival rate, that each request is counted once, and the plot.

use rstest::rstest;

use super::arrival_schedule::ArrivalSchedule;
use super::caller::{Outcome, RequestResult};
use super::legs::LegCounts;
use super::plot;
use super::stats::LoadStats;
use crate::types::{PerSecond, Ratio, Span};

const TARGET: Span = Span::from_millis(170);

fn answer(millis: u64, ppm: u32) -> RequestResult {
    let coverage = Ratio::from_ppm(ppm);
    let meets_target = coverage == Ratio::ONE;
    let outcome = Outcome::Answer {
        meets_target,
        coverage,
        shards: 20,
        legs: 21,
    };
    RequestResult {
        latency: Span::from_millis(millis),
        outcome,
    }
}

#[test]
fn arrivals_keep_the_rate_and_repeat_with_the_seed() {
    let schedule = || ArrivalSchedule::new(PerSecond(1_000.0), Span::from_secs(10), 7);
    let arrivals: Vec<Span> = schedule().collect();
    assert!(
        (9_700..10_300).contains(&arrivals.len()),
        "{}",
        arrivals.len()
    );
    assert!(arrivals.is_sorted());
    assert!(schedule().eq(arrivals));
}

struct Case {
    result: RequestResult,
    counts: [u64; 5],
}

#[rstest]
#[case::in_time(Case { result: answer(170, 1_000_000), counts: [1, 0, 0, 0, 0] })]
#[case::late(Case { result: answer(171, 1_000_000), counts: [0, 1, 0, 0, 0] })]
#[case::incomplete(Case { result: answer(10, 950_000), counts: [0, 0, 1, 0, 0] })]
#[case::refused(Case {
    result: RequestResult {
        latency: TARGET,
        outcome: Outcome::Refused { kind: "overloaded".to_owned() },
    },
    counts: [0, 0, 0, 1, 0],
})]
#[case::broken(Case {
    result: RequestResult { latency: TARGET, outcome: Outcome::Broken },
    counts: [0, 0, 0, 0, 1],
})]
fn each_request_is_counted_once(#[case] case: Case) {
    let mut stats = LoadStats::new(TARGET);
    stats.record(&case.result);
    let refused = stats.refused.values().sum();
    let counts = [
        stats.finished,
        stats.late,
        stats.incomplete,
        refused,
        stats.broken,
    ];
    assert_eq!(counts, case.counts);
    assert_eq!(stats.requests, 1);
}

#[test]
fn extra_load_is_the_ratio_of_legs_beyond_one_per_part() {
    let mut stats = LoadStats::new(TARGET);
    stats.record(&answer(10, 1_000_000));
    assert_eq!(stats.extra_load().ppm(), 50_000);
}

#[test]
fn legs_are_read_from_metrics_and_subtracted() {
    let text = |legs: u64| {
        format!(
            "# TYPE hyssopwalk_legs_total counter\n\
             hyssopwalk_legs_total{{otel_scope_name=\"h\",upstream=\"a-1\"}} {legs}\n\
             hyssopwalk_leg_failures_total{{upstream=\"a-1\"}} 9\n"
        )
    };
    let (mut before, mut after) = (LegCounts::default(), LegCounts::default());
    before.add(&text(5));
    after.add(&text(12));
    assert_eq!(after.since(&before).by_upstream.get("a-1"), Some(&7));
}

#[test]
fn the_plot_shows_the_latency_and_the_target() {
    let mut stats = LoadStats::new(TARGET);
    for millis in 1..200 {
        stats.record(&answer(millis, 1_000_000));
    }
    let svg = plot::draw(&stats, TARGET).unwrap();
    assert!(svg.matches("<polyline").count() >= 2, "{svg}");
    assert!(svg.contains("latency in ms"));
}
