//! Which instances a caller is sent to.

use std::net::SocketAddr;

use super::Presence;
use crate::process::cells::MemberState;
use crate::types::{FailureDomain, Region};

/// An answer names at most so many instances.
const MOST_ADDRESSES: usize = 64;
/// An instance with less of a core than this part of the largest one near is left out: a
/// query to many shards takes its processor for too long.
const LEAST_CAPACITY_PART: u32 = 2;
/// A single instance that is lost would leave its callers without another one.
const LEAST_ADDRESSES: usize = 2;

/// Where a caller stands, as far as it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) failure_domain: Option<FailureDomain>,
    pub(crate) region: Option<Region>,
}

/// The addresses for a caller: those of its failure domain, else of its region, else all;
/// of these, the ones that have much of a core.
pub(crate) fn choose<'a>(
    present: impl Iterator<Item = &'a Presence>,
    place: &Place,
) -> Vec<SocketAddr> {
    let live: Vec<&Presence> = present
        .filter(|presence| presence.member.state == MemberState::Live)
        .collect();
    let distance = |presence: &Presence| {
        let member = &presence.member;
        if place.failure_domain.as_ref() == Some(&member.failure_domain) {
            0
        } else if place.region.as_ref() == Some(&member.region) {
            1
        } else {
            2
        }
    };
    let mut found = Vec::new();
    for reach in 0..=2 {
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
