//! Chooses the instances that a caller is sent to.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::InstanceRecord;
use crate::process::addresses::{CallerLocation, Distance, distance};
use crate::process::cells::MemberState;
use crate::types::{FailureDomain, Region};

/// The maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// An instance is left out when its share of a core is smaller than the largest share
/// nearby divided by this: a query to many shards would keep its processor busy for too
/// long.
const MIN_CAPACITY_DIVISOR: u32 = 2;
/// With a single address, the loss of that instance would leave its callers without another.
const MIN_ADDRESSES: usize = 2;

/// Returns the addresses for a caller: live instances of its failure domain, or of its
/// region or anywhere when there are fewer than `MIN_ADDRESSES`. Small instances are left
/// out.
pub(crate) fn choose<'a>(
    present: impl Iterator<Item = &'a InstanceRecord>,
    caller: &CallerLocation,
) -> Vec<SocketAddr> {
    let live: Vec<&InstanceRecord> = present
        .filter(|record| record.member.state == MemberState::Live)
        .collect();
    let mut chosen = addresses_near(&live, caller);
    chosen.truncate(MAX_ADDRESSES);
    chosen
}

/// Returns the number of instances that callers are sent to, wherever they are, if `me` is one
/// of them. Another one only gets requests that are meant for it, and returns the number of
/// all instances. One that joins counts already: it is live before others hear of it.
pub(crate) fn serving_count(present: &[&InstanceRecord], me: SocketAddr) -> u32 {
    let serving = serving(present);
    let counted = if serving.contains(&me) {
        serving.len()
    } else {
        present.len()
    };
    u32::try_from(counted.max(1)).unwrap_or(u32::MAX)
}

/// Returns the addresses that callers are sent to, wherever they are, once all instances that join
/// are live.
pub(super) fn serving(present: &[&InstanceRecord]) -> IndexSet<SocketAddr> {
    let serves = |record: &&&InstanceRecord| record.member.state <= MemberState::Live;
    let usable: Vec<&InstanceRecord> = present.iter().filter(serves).copied().collect();
    let mut serving = IndexSet::new();
    let domains: IndexSet<_> = present.iter().map(|record| home(record)).collect();
    for (failure_domain, region) in domains {
        let caller = CallerLocation {
            failure_domain: Some(failure_domain.clone()),
            region: Some(region.clone()),
        };
        serving.extend(addresses_near(&usable, &caller));
    }
    serving
}

fn addresses_near(live: &[&InstanceRecord], caller: &CallerLocation) -> Vec<SocketAddr> {
    let distance =
        |record: &InstanceRecord| distance(&record.member, caller, caller.region.as_ref());
    let mut chosen = Vec::new();
    for max_distance in [
        Distance::SameFailureDomain,
        Distance::SameRegion,
        Distance::Elsewhere,
    ] {
        let near: Vec<&&InstanceRecord> = live
            .iter()
            .filter(|record| distance(record) <= max_distance)
            .collect();
        chosen = addresses_of_large(&near);
        if chosen.len() >= MIN_ADDRESSES {
            break;
        }
    }
    chosen
}

fn home(record: &InstanceRecord) -> (&FailureDomain, &Region) {
    (&record.member.failure_domain, &record.member.region)
}

fn addresses_of_large(near: &[&&InstanceRecord]) -> Vec<SocketAddr> {
    let max_capacity = near.iter().map(|record| record.capacity).max();
    let min_capacity = max_capacity.unwrap_or_default() / MIN_CAPACITY_DIVISOR;
    let large = near.iter().filter(|record| record.capacity >= min_capacity);
    large.map(|record| record.member.addr).collect()
}

#[cfg(test)]
#[path = "addresses_tests.rs"]
mod addresses_tests;
