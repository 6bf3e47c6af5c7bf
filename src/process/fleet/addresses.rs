//! Which instances a caller is sent to.

use std::net::SocketAddr;

use super::Presence;
use crate::process::addresses::{Distance, Near, distance};
use crate::process::cells::MemberState;

/// An answer names at most so many instances.
const MOST_ADDRESSES: usize = 64;
/// An instance with less of a core than this part of the largest one near is left out: a
/// query to many shards takes its processor for too long.
const LEAST_CAPACITY_PART: u32 = 2;
/// A single instance that is lost would leave its callers without another one.
const LEAST_ADDRESSES: usize = 2;

/// The addresses for a caller: those of its failure domain, else of its region, else all;
/// of these, the ones that have much of a core.
pub(crate) fn choose<'a>(
    present: impl Iterator<Item = &'a Presence>,
    caller: &Near,
) -> Vec<SocketAddr> {
    let live: Vec<&Presence> = present
        .filter(|presence| presence.member.state == MemberState::Live)
        .collect();
    let distance = |presence: &Presence| distance(&presence.member, caller, caller.region.as_ref());
    let mut found = Vec::new();
    for reach in [
        Distance::SameFailureDomain,
        Distance::SameRegion,
        Distance::Elsewhere,
    ] {
        let near: Vec<&&Presence> = live
            .iter()
            .filter(|presence| distance(presence) <= reach)
            .collect();
        found = large(&near);
        if found.len() >= LEAST_ADDRESSES {
            break;
        }
    }
    found.truncate(MOST_ADDRESSES);
    found
}

fn large(near: &[&&Presence]) -> Vec<SocketAddr> {
    let most = near.iter().map(|presence| presence.capacity).max();
    let least = most.unwrap_or_default() / LEAST_CAPACITY_PART;
    let large = near.iter().filter(|presence| presence.capacity >= least);
    large.map(|presence| presence.member.addr).collect()
}

#[cfg(test)]
#[path = "addresses_tests.rs"]
mod addresses_tests;
