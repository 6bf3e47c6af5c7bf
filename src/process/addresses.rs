//! Which addresses a caller should use.
//!
//! Near instances come first, one from elsewhere follows so that an answer that was
//! kept outlives its failure domain, and each caller gets the instances in an order of
//! its own, so that callers spread evenly; see `docs/DESIGN.md`, "Addresses".

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::cells::{Member, MemberState};
use crate::types::{CallerName, FailureDomain, InstanceName, Region};

/// How many addresses an answer has.
pub(crate) const ADDRESSES: usize = 3;
const NEAR_ADDRESSES: usize = 2;

/// Where a caller is, as far as it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Near {
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

/// The instances that a caller should use, the one to try first in front. A region that
/// the caller does not name is taken from the instances of its failure domain.
pub(crate) fn choose<'a>(
    candidates: &'a [Member],
    caller: &CallerName,
    near: &Near,
) -> Vec<&'a Member> {
    let region = near.region.as_ref().or_else(|| region(candidates, near));
    let mut ranked: Vec<(Distance, u64, &Member)> = candidates
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .map(|member| {
            let place = place(caller, &member.name);
            (distance(member, near, region), place, member)
        })
        .collect();
    ranked.sort_unstable_by_key(|(distance, place, _)| (*distance, *place));
    let mut chosen: Vec<&Member> = ranked
        .iter()
        .take(NEAR_ADDRESSES)
        .map(|(_, _, member)| *member)
        .collect();
    let first = chosen.first().map(|member| &member.failure_domain);
    let rest = ranked.iter().skip(chosen.len());
    let mut rest: Vec<&Member> = rest.map(|(_, _, member)| *member).collect();
    rest.sort_by_key(|member| Some(&member.failure_domain) == first);
    chosen.extend(rest.into_iter().take(ADDRESSES - NEAR_ADDRESSES));
    chosen
}

fn region<'a>(candidates: &'a [Member], near: &Near) -> Option<&'a Region> {
    let failure_domain = near.failure_domain.as_ref()?;
    let mut same = candidates.iter();
    let found = same.find(|member| member.failure_domain == *failure_domain);
    found.map(|member| &member.region)
}

/// How far an instance is from a caller of that region.
pub(super) fn distance(member: &Member, near: &Near, region: Option<&Region>) -> Distance {
    if near.failure_domain.as_ref() == Some(&member.failure_domain) {
        Distance::SameFailureDomain
    } else if region == Some(&member.region) {
        Distance::SameRegion
    } else {
        Distance::Elsewhere
    }
}

fn place(caller: &CallerName, instance: &InstanceName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(caller.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}
