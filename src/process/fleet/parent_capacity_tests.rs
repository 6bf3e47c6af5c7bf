//! Which instances send updates to others, where instances differ in what they can carry.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rstest::rstest;

use super::{Fleet, InstanceRecord, Parent};
use crate::process::cells::{Member, MemberState};
use crate::types::{Incarnation, Timestamp};

const SMALL: u32 = 120;
const LARGE: u32 = 500;

struct Case {
    /// The capacities of the instances of each failure domain, in address order.
    domains: &'static [&'static [u32]],
    /// The instance that leaves, if any.
    leaving: Option<usize>,
}

/// Guards against copies of a large configuration that all leave through the slow link of a small
/// instance, only because it has the first address.
#[rstest]
#[case::large_ones_first(Case {
    domains: &[&[LARGE, LARGE, SMALL, SMALL], &[LARGE, SMALL, SMALL]], leaving: None,
})]
#[case::small_ones_first(Case {
    domains: &[&[SMALL, SMALL, LARGE, LARGE], &[SMALL, SMALL, LARGE]], leaving: None,
})]
#[case::large_ones_in_between(Case {
    domains: &[&[SMALL, LARGE, SMALL, LARGE], &[SMALL, LARGE, SMALL]], leaving: None,
})]
#[case::a_failure_domain_without_a_large_one(Case {
    domains: &[&[SMALL, SMALL, SMALL], &[SMALL, SMALL, LARGE]], leaving: None,
})]
#[case::the_first_large_one_leaves(Case {
    domains: &[&[SMALL, LARGE, SMALL, LARGE], &[SMALL, SMALL, LARGE]], leaving: Some(1),
})]
#[case::all_alike(Case {
    domains: &[&[SMALL, SMALL, SMALL], &[SMALL, SMALL]], leaving: None,
})]
fn the_largest_instances_send_updates_to_the_others(#[case] case: Case) {
    let now = Timestamp(0);
    let records = records(&case);
    let stays = |record: &&InstanceRecord| record.member.state != MemberState::Leaving;
    let largest_of = |domain: Option<&InstanceRecord>| {
        let in_domain = |record: &&InstanceRecord| {
            domain.is_none_or(|domain| domain.member.failure_domain == record.member.failure_domain)
        };
        let candidates = records.iter().filter(stays).filter(in_domain);
        candidates.map(|record| record.capacity).max().unwrap()
    };
    let parents = parents(&records, now);
    let readers = records
        .iter()
        .filter(|me| parents[&me.member.peer_addr] == Parent::Store);
    let readers: Vec<&InstanceRecord> = readers.filter(stays).collect();
    assert_eq!(readers.len(), 1, "one instance reads the store");
    assert_eq!(readers[0].capacity, largest_of(None));
    for me in records.iter().filter(stays) {
        let Parent::Instance(addr) = parents[&me.member.peer_addr] else {
            continue;
        };
        let parent = records
            .iter()
            .find(|record| record.member.peer_addr == addr)
            .unwrap();
        let is_root = parent.member.name == readers[0].member.name;
        let scope = (!is_root).then_some(me);
        assert_eq!(
            parent.capacity,
            largest_of(scope),
            "the parent of {}",
            me.member.name
        );
    }
}

fn parents(records: &[InstanceRecord], now: Timestamp) -> IndexMap<SocketAddr, Parent> {
    let parent = |me: &InstanceRecord| {
        let mut fleet = Fleet::new(now, me.clone());
        for other in records {
            fleet.apply_record(now, other.clone());
        }
        (me.member.peer_addr, fleet.parent(now))
    };
    records.iter().map(parent).collect()
}

fn records(case: &Case) -> Vec<InstanceRecord> {
    let instances = (0..).zip(case.domains).flat_map(|(domain, capacities)| {
        capacities.iter().map(move |capacity| (domain, *capacity))
    });
    let instances: Vec<(u8, u32)> = instances.collect();
    let record = |(at, (domain, capacity)): (u8, (u8, u32))| {
        let addr = SocketAddr::from(([10, domain, 0, at], 1));
        let is_leaving = case.leaving == Some(usize::from(at));
        InstanceRecord {
            member: Member {
                name: format!("front-{at}").parse().unwrap(),
                incarnation: Incarnation(5),
                addr,
                peer_addr: addr,
                failure_domain: format!("domain-{domain}").parse().unwrap(),
                region: "central".parse().unwrap(),
                state: if is_leaving {
                    MemberState::Leaving
                } else {
                    MemberState::Live
                },
            },
            seq: 1,
            capacity,
        }
    };
    (0..).zip(instances).map(record).collect()
}
