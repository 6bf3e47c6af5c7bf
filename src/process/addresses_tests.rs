//! Which addresses callers are given, and how evenly callers spread over them.

use indexmap::IndexMap;
use rstest::rstest;

use super::addresses::{ADDRESSES_PER_ANSWER, CallerLocation, choose};
use super::cells::{Member, MemberState};
use crate::types::{CallerName, Incarnation, InstanceName};

const CALLERS: usize = 10_000;

fn member(failure_domain: &str, region: &str, number: usize, state: MemberState) -> Member {
    let name = format!("{failure_domain}-{number}");
    Member {
        name: name.parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        peer_addr: "127.0.0.1:2".parse().unwrap(),
        failure_domain: failure_domain.parse().unwrap(),
        region: region.parse().unwrap(),
        state,
    }
}

/// Instances as `(failure domain, region, number, state)`, the caller's location, and how
/// many addresses it is given in each failure domain, that of the first address in front.
struct Case {
    instances: &'static [(&'static str, &'static str, usize, MemberState)],
    failure_domain: Option<&'static str>,
    region: Option<&'static str>,
    given: &'static [(&'static str, usize)],
}

use MemberState::{Joining, Leaving, Live};

#[rstest]
#[case::near_first_and_one_from_the_region(Case {
    instances: &[("a", "r", 3, Live), ("b", "r", 3, Live), ("c", "s", 3, Live)],
    failure_domain: Some("a"),
    region: None,
    given: &[("a", 2), ("b", 1)],
})]
#[case::its_failure_domain_is_lost(Case {
    instances: &[("b", "r", 3, Live), ("c", "s", 3, Live)],
    failure_domain: Some("a"),
    region: Some("r"),
    given: &[("b", 2), ("c", 1)],
})]
#[case::none_that_leaves_or_joins(Case {
    instances: &[("a", "r", 2, Leaving), ("a2", "r", 2, Joining), ("b", "r", 3, Live)],
    failure_domain: Some("a"),
    region: None,
    given: &[("b", 3)],
})]
#[case::one_near(Case {
    instances: &[("a", "r", 1, Live), ("b", "r", 3, Live)],
    failure_domain: Some("a"),
    region: None,
    given: &[("a", 1), ("b", 2)],
})]
#[case::only_near(Case {
    instances: &[("a", "r", 5, Live)],
    failure_domain: Some("a"),
    region: None,
    given: &[("a", 3)],
})]
#[case::no_live_instance(Case {
    instances: &[("a", "r", 2, Leaving)],
    failure_domain: Some("a"),
    region: None,
    given: &[],
})]
fn callers_get_near_instances_and_none_that_is_leaving(#[case] case: Case) {
    let mut members = Vec::new();
    for (failure_domain, region, count, state) in case.instances {
        let numbers = 0..*count;
        members.extend(numbers.map(|number| member(failure_domain, region, number, *state)));
    }
    let location = CallerLocation {
        failure_domain: case.failure_domain.map(|text| text.parse().unwrap()),
        region: case.region.map(|text| text.parse().unwrap()),
    };
    for caller in ["x", "y", "z"] {
        let caller: CallerName = caller.parse().unwrap();
        let mut given: IndexMap<&str, usize> = IndexMap::new();
        for address in choose(&members, &caller, &location) {
            *given.entry(address.failure_domain.as_str()).or_default() += 1;
        }
        let given: Vec<(&str, usize)> = given.into_iter().collect();
        assert_eq!(given, case.given);
    }
}

/// Counts how often each instance is the first address of a caller.
fn firsts(members: &[Member], location: &CallerLocation) -> IndexMap<InstanceName, usize> {
    let mut firsts = IndexMap::new();
    for number in 0..CALLERS {
        let caller: CallerName = format!("caller-{number}").parse().unwrap();
        let first = choose(members, &caller, location)[0];
        *firsts.entry(first.name.clone()).or_default() += 1;
    }
    firsts
}

#[rstest]
#[case::two(2)]
#[case::twenty(20)]
fn callers_spread_evenly_over_the_near_instances(#[case] instances: usize) {
    let members: Vec<Member> = (0..instances)
        .flat_map(|number| {
            let at = |failure_domain| member(failure_domain, "r", number, Live);
            [at("a"), at("b")]
        })
        .collect();
    let location = CallerLocation {
        failure_domain: Some("a".parse().unwrap()),
        region: None,
    };
    let firsts = firsts(&members, &location);
    assert_eq!(firsts.len(), instances);
    let expected = CALLERS / instances;
    for (name, count) in &firsts {
        assert!(
            count.abs_diff(expected) < expected / 5,
            "{name} has {count}"
        );
    }
}

#[test]
fn only_the_callers_of_an_instance_move_when_it_leaves() {
    let all: Vec<Member> = (0..6)
        .map(|number| member("a", "r", number, Live))
        .collect();
    let mut rest = all.clone();
    rest[2].state = Leaving;
    let location = CallerLocation {
        failure_domain: Some("a".parse().unwrap()),
        region: None,
    };
    for number in 0..CALLERS {
        let caller: CallerName = format!("caller-{number}").parse().unwrap();
        let (before, after) = (
            choose(&all, &caller, &location),
            choose(&rest, &caller, &location),
        );
        assert_eq!(before.len(), ADDRESSES_PER_ANSWER);
        if before[0].name != all[2].name {
            assert_eq!(before[0].name, after[0].name);
        }
    }
}
