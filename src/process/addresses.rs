//! Chooses the addresses that a caller should use.
//!
//! Nearby instances come first. One of another failure domain follows where there is one,
//! so that a cached answer outlives the caller's failure domain. Each caller gets the
//! instances in an order of its own, so that callers spread evenly; see `docs/DESIGN.md`,
//! "Addresses".

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::cells::{Member, MemberState};
use crate::types::{CallerName, FailureDomain, InstanceName, Region};

/// The number of addresses in an answer.
pub(crate) const ADDRESSES_PER_ANSWER: usize = 3;
/// How many of them are the nearest instances, whatever their failure domain.
const NEAR_ADDRESSES: usize = 2;

/// Where a caller is, as far as it states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerLocation {
    pub(crate) failure_domain: Option<FailureDomain>,
    pub(crate) region: Option<Region>,
}

/// How far an instance is from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameFailureDomain,
    SameRegion,
    Elsewhere,
}

/// Returns the instances that a caller should use, in the order to try them. When the
/// caller states no region, it is derived from the instances of its failure domain.
pub(crate) fn choose<'a>(
    candidates: &'a [Member],
    caller: &CallerName,
    location: &CallerLocation,
) -> Vec<&'a Member> {
    let region = location
        .region
        .as_ref()
        .or_else(|| region_of_failure_domain(candidates, location));
    let mut ranked: Vec<(Distance, u64, &Member)> = candidates
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .map(|member| {
            let hash = rendezvous_hash(caller, &member.name);
            (distance(member, location, region), hash, member)
        })
        .collect();
    ranked.sort_unstable_by_key(|(distance, hash, _)| (*distance, *hash));
    let mut chosen: Vec<&Member> = ranked
        .iter()
        .take(NEAR_ADDRESSES)
        .map(|(_, _, member)| *member)
        .collect();
    let first = chosen.first().map(|member| &member.failure_domain);
    let rest = ranked.iter().skip(chosen.len());
    let mut rest: Vec<&Member> = rest.map(|(_, _, member)| *member).collect();
    rest.sort_by_key(|member| Some(&member.failure_domain) == first);
    chosen.extend(rest.into_iter().take(ADDRESSES_PER_ANSWER - NEAR_ADDRESSES));
    chosen
}

fn region_of_failure_domain<'a>(
    candidates: &'a [Member],
    location: &CallerLocation,
) -> Option<&'a Region> {
    let failure_domain = location.failure_domain.as_ref()?;
    let mut same = candidates.iter();
    let found = same.find(|member| member.failure_domain == *failure_domain);
    found.map(|member| &member.region)
}

/// Returns how far an instance is from a caller of that region.
pub(super) fn distance(
    member: &Member,
    location: &CallerLocation,
    region: Option<&Region>,
) -> Distance {
    if location.failure_domain.as_ref() == Some(&member.failure_domain) {
        Distance::SameFailureDomain
    } else if region == Some(&member.region) {
        Distance::SameRegion
    } else {
        Distance::Elsewhere
    }
}

fn rendezvous_hash(caller: &CallerName, instance: &InstanceName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(caller.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}
