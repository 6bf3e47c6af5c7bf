//! Many instances with few queries each and a replica that stops answering, which no
//! instance would notice in time alone.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::{SilenceTracker, SilentReplica};
use crate::process::{Choice, LegEnd, Limits, SelectionRequest, Upstreams};
use crate::types::{
    ClassName, ConnectionCount, SlotCount, SnapshotId, Span, Timestamp, UpstreamName,
};
use crate::version::UpstreamSpec;

fn at(ms: u64) -> Timestamp {
    Timestamp(0) + Span::from_millis(ms)
}

fn silent_replica() -> UpstreamName {
    "dark".parse().unwrap()
}

struct Case {
    /// The instances that found the replica silent, and when, in milliseconds.
    reports: &'static [(&'static str, u64)],
    checked_at: u64,
    silent: bool,
}

#[rstest]
#[case::nobody(Case { reports: &[], checked_at: 0, silent: false })]
#[case::one_may_be_cut_off(Case {
    reports: &[("a", 0), ("a", 100), ("a", 200), ("a", 300)], checked_at: 300, silent: false,
})]
#[case::two_may_be_cut_off(Case { reports: &[("a", 0), ("b", 0)], checked_at: 0, silent: false })]
#[case::three_agree(Case { reports: &[("a", 0), ("b", 300), ("c", 600)], checked_at: 700, silent: true })]
#[case::three_one_after_another(Case {
    reports: &[("a", 0), ("b", 2_000), ("c", 4_000)], checked_at: 4_000, silent: false,
})]
fn several_instances_have_to_agree_at_about_the_same_time(#[case] case: Case) {
    let mut silence = SilenceTracker::default();
    for (by, ms) in case.reports {
        silence.report(silent_replica(), by.parse().unwrap(), at(*ms));
    }
    let silent = silence.take_newly_agreed(at(case.checked_at));
    assert_eq!(!silent.is_empty(), case.silent, "{silent:?}");
    assert_eq!(
        silence.take_newly_agreed(at(case.checked_at)),
        [],
        "an agreement is returned once"
    );
}

/// Reports go up two levels of followers, and agreements come down as many.
#[test]
fn reports_and_agreements_pass_through_the_levels() {
    let mut levels: [SilenceTracker; 3] = Default::default();
    let [first, middle, last] = &mut levels;
    for by in ["a", "b"] {
        last.report(silent_replica(), by.parse().unwrap(), at(0));
    }
    for report in last.reports(at(400)) {
        middle.report(report.upstream, report.by, at(400 - report.age.as_millis()));
    }
    middle.report(silent_replica(), "c".parse().unwrap(), at(500));
    for report in middle.reports(at(800)) {
        first.report(report.upstream, report.by, at(800 - report.age.as_millis()));
    }
    assert_eq!(first.take_newly_agreed(at(800)).len(), 1);
    for silent in first.agreed(at(850)) {
        assert!(middle.accept_agreement(silent.upstream, at(850 - silent.age.as_millis())));
    }
    for silent in middle.agreed(at(900)) {
        let since = at(900 - silent.age.as_millis());
        assert!(last.accept_agreement(silent.upstream.clone(), since));
        assert!(
            !last.accept_agreement(silent.upstream, since),
            "applied twice"
        );
    }
    assert_eq!(last.reports(at(900)), [], "nothing is left to report");
    assert_eq!(last.agreed(at(4_000)), [], "it gets legs again");
}

#[test]
fn the_table_is_bounded() {
    let mut silence = SilenceTracker::default();
    for number in 0..5_000 {
        let name: UpstreamName = format!("replica-{number}").parse().unwrap();
        silence.report(name, "a".parse().unwrap(), at(0));
    }
    assert!(silence.reports(at(0)).len() <= 1_024);
    silence.take_newly_agreed(at(10_000));
    assert_eq!(silence.reports(at(10_000)), []);
}

fn spec(name: &str) -> Arc<UpstreamSpec> {
    Arc::new(UpstreamSpec {
        name: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "suva-a".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(25),
        connect_cost: Span::from_millis(6),
        leaving: false,
    })
}

struct AgreementCase {
    name: &'static str,
    /// When the replica last replied to this instance.
    last_reply_ms: u64,
    /// When this instance selects a replica; it learns of the agreement at two seconds.
    selected_at_ms: u64,
    /// The range for the replica's legs of a hundred.
    legs: (usize, usize),
}

#[test]
fn a_replica_that_others_found_silent_gets_no_legs_unless_it_replied_since() {
    let cases = [
        AgreementCase {
            name: "reported",
            last_reply_ms: 500,
            selected_at_ms: 2_001,
            legs: (0, 0),
        },
        AgreementCase {
            name: "replied since",
            last_reply_ms: 1_900,
            selected_at_ms: 2_001,
            legs: (20, 80),
        },
        AgreementCase {
            name: "later",
            last_reply_ms: 500,
            selected_at_ms: 9_000,
            legs: (20, 80),
        },
    ];
    let class: ClassName = "counter".parse().unwrap();
    for case in cases {
        let mut upstreams = Upstreams::default();
        let mut rng = SmallRng::seed_from_u64(7);
        let replicas = [spec("dark"), spec("other")];
        let last_reply = at(case.last_reply_ms);
        for replica in &replicas {
            upstreams.begin(last_reply, replica);
        }
        for replica in &replicas {
            let took = Span::from_millis(5);
            upstreams.end(last_reply, replica, &class, took, LegEnd::Replied);
        }
        // Found silent at 1.6 s, reported here at 2 s.
        let silent = SilentReplica {
            upstream: silent_replica(),
            age: Span::from_millis(400),
        };
        let reported_at = at(2_000);
        upstreams.avoid_silent(&silent_replica(), at(1_600), silent.until(reported_at));
        let selection = SelectionRequest {
            replicas: &replicas,
            tried: 0,
            snapshot: SnapshotId(1),
        };
        let limits = Limits::default();
        let legs = (0..100).filter(|_| {
            let chosen = upstreams.choose(at(case.selected_at_ms), &limits, selection, &mut rng);
            chosen == Choice::Replica(0)
        });
        let legs = legs.count();
        assert!(
            (case.legs.0..=case.legs.1).contains(&legs),
            "{}: {legs}",
            case.name
        );
    }
}
