//! Callers are sent to nearby instances that have the capacity for a query to many shards,
//! and never to a single instance while there is another.

use rstest::rstest;

use super::{CallerLocation, choose, serving_count};
use crate::process::cells::{Member, MemberState};
use crate::process::fleet::InstanceRecord;
use crate::types::Incarnation;

/// Parses an instance from `domain/region/capacity/state`.
fn record(at: u8, text: &str) -> InstanceRecord {
    let parts: Vec<&str> = text.split('/').collect();
    InstanceRecord {
        member: Member {
            name: format!("n{at}").parse().unwrap(),
            incarnation: Incarnation(1),
            addr: ([10, 0, 0, at], 1).into(),
            peer_addr: ([10, 0, 0, at], 2).into(),
            failure_domain: parts[0].parse().unwrap(),
            region: parts[1].parse().unwrap(),
            state: parts[3].parse::<MemberState>().unwrap(),
        },
        seq: 1,
        capacity: parts[2].parse().unwrap(),
    }
}

struct Case {
    instances: &'static [&'static str],
    wanted: &'static [u8],
}

#[rstest]
#[case::own_failure_domain(Case {
    instances: &["a/c/250/live", "a/c/250/live", "b/c/250/live", "d/w/250/live"], wanted: &[0, 1],
})]
#[case::own_region_when_one_is_left(Case {
    instances: &["a/c/250/live", "a/c/250/gone", "b/c/250/live", "d/w/250/live"], wanted: &[0, 2],
})]
#[case::all_when_the_region_is_lost(Case {
    instances: &["d/w/250/live", "e/n/250/live"], wanted: &[0, 1],
})]
#[case::large_machines(Case {
    instances: &["a/c/500/live", "a/c/500/live", "a/c/120/live", "a/c/120/live"], wanted: &[0, 1],
})]
#[case::small_machines_when_no_large_one_is_left(Case {
    instances: &["a/c/500/gone", "a/c/120/live", "a/c/120/live"], wanted: &[1, 2],
})]
#[case::none_that_leaves_or_joins(Case {
    instances: &["a/c/250/leaving", "a/c/250/joining", "a/c/250/live", "a/c/250/live"], wanted: &[2, 3],
})]
#[case::the_only_one(Case { instances: &["d/w/250/live"], wanted: &[0] })]
#[case::nobody(Case { instances: &[], wanted: &[] })]
fn addresses(#[case] case: Case) {
    let instances: Vec<InstanceRecord> = (0..)
        .zip(case.instances)
        .map(|(at, text)| record(at, text))
        .collect();
    let caller = CallerLocation {
        failure_domain: Some("a".parse().unwrap()),
        region: Some("c".parse().unwrap()),
    };
    let chosen = choose(instances.iter(), &caller);
    let wanted: Vec<_> = case
        .wanted
        .iter()
        .map(|at| ([10, 0, 0, *at], 1).into())
        .collect();
    assert_eq!(chosen, wanted);
}

struct CountCase {
    instances: &'static [&'static str],
    me: u8,
    wanted: u32,
}

#[rstest]
#[case::all_of_one_size(CountCase {
    instances: &["a/c/250/live", "a/c/250/live", "d/w/250/live", "d/w/250/live"], me: 0, wanted: 4,
})]
#[case::only_the_large_ones(CountCase {
    instances: &["a/c/500/live", "a/c/500/live", "a/c/120/live", "d/w/500/live", "d/w/500/live", "d/w/120/live"],
    me: 0, wanted: 4,
})]
#[case::a_small_one_beside_them(CountCase {
    instances: &["a/c/500/live", "a/c/500/live", "a/c/120/live", "d/w/500/live", "d/w/500/live", "d/w/120/live"],
    me: 2, wanted: 6,
})]
#[case::alone(CountCase { instances: &["a/c/500/live"], me: 0, wanted: 1 })]
#[case::others_that_join(CountCase {
    instances: &["a/c/250/live", "a/c/250/joining", "d/w/250/joining"], me: 0, wanted: 3,
})]
#[case::others_that_leave(CountCase {
    instances: &["a/c/250/live", "a/c/250/live", "a/c/250/leaving"], me: 0, wanted: 2,
})]
#[case::not_live_yet(CountCase { instances: &["a/c/500/joining"], me: 0, wanted: 1 })]
fn instances_that_serve_callers_are_counted(#[case] case: CountCase) {
    let instances: Vec<InstanceRecord> = (0..)
        .zip(case.instances)
        .map(|(at, text)| record(at, text))
        .collect();
    let present: Vec<&InstanceRecord> = instances.iter().collect();
    let me = present[usize::from(case.me)].member.addr;
    assert_eq!(serving_count(&present, me), case.wanted);
}
