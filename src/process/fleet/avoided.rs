//! The instances that are not followed for a while.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::types::{Span, Timestamp};

/// How long to avoid an unresponsive or stale instance.
const AVOID_FOR: Span = Span::from_secs(3);
/// How long an instance that could not read the store is not asked to again.
const AVOID_DELEGATE_FOR: Span = Span::from_secs(10);
/// While this many instances have stale updates, the store is away for all of them, and an
/// instance goes back to its first choice.
const MAX_STALE: usize = 3;

/// Why an instance is not followed for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AvoidReason {
    /// It did not answer. It may be followed again as soon as it sends a request.
    Unresponsive,
    /// Its updates are stale. Requests of its own do not change that.
    Stale,
    /// It knows an earlier era of the store only. Requests of its own do not change that.
    EarlierEra,
    /// It could not read the store in place of this instance.
    CannotDelegate,
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Timestamp,
    reason: AvoidReason,
}

/// The avoided instances by address.
#[derive(Clone, Debug, Default)]
pub(super) struct AvoidedInstances(IndexMap<SocketAddr, Avoided>);

impl AvoidedInstances {
    pub(super) fn insert(&mut self, now: Timestamp, addr: SocketAddr, reason: AvoidReason) {
        let duration = match reason {
            AvoidReason::Unresponsive | AvoidReason::Stale | AvoidReason::EarlierEra => AVOID_FOR,
            AvoidReason::CannotDelegate => AVOID_DELEGATE_FOR,
        };
        let until = now + duration;
        self.0.insert(addr, Avoided { until, reason });
    }

    /// Records a request from an instance.
    pub(super) fn on_contact(&mut self, addr: SocketAddr) {
        let is_back = |avoided: &Avoided| avoided.reason == AvoidReason::Unresponsive;
        if self.0.get(&addr).is_some_and(is_back) {
            self.0.swap_remove(&addr);
        }
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, avoided| avoided.until > now);
    }

    pub(super) fn contains(&self, now: Timestamp, addr: SocketAddr) -> bool {
        let Some(avoided) = self.0.get(&addr) else {
            return false;
        };
        let counts = avoided.reason != AvoidReason::Stale || !self.are_all_stale(now);
        avoided.until > now && counts
    }

    /// Whether so many instances have stale updates that the store must be away for all.
    pub(super) fn are_all_stale(&self, now: Timestamp) -> bool {
        let is_stale =
            |avoided: &&Avoided| avoided.reason == AvoidReason::Stale && avoided.until > now;
        self.0.values().filter(is_stale).count() >= MAX_STALE
    }
}
