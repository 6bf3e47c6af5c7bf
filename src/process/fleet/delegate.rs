//! The instance that reads the store in place of another one, while the store does not answer the
//! other: the reader, or one that is cut off from the reader.
//!
//! The other follows one of its own followers after the other. A follower that is asked for updates
//! by an instance that it gets its own from knows why, and reads the store.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::Fleet;
use super::avoided::AvoidReason;
use super::parent::ParentChoice;
use crate::types::{Fingerprint, InstanceName, Span, Timestamp};

/// How long a delegate that could not read the store does not try again.
pub(super) const DELEGATE_PAUSE: Span = Span::from_secs(3);
/// How long a delegate may take to read the store before the reader tries another one.
pub(super) const DELEGATE_TIMEOUT: Span = Span::from_millis(700);
/// A delegate reads the store until this long after the reader's last request.
const DELEGATED_FOR: Span = Span::from_millis(1_500);

/// The role of another instance on the path by which updates reach this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateRole {
    /// It reads the store for this instance.
    Reader,
    /// It passes on what it gets from another one.
    Relay,
    /// None.
    Uninvolved,
}

impl UpdateRole {
    /// Returns the role of one of the instances that the updates were passed on by, the parent first
    /// and the reader last.
    pub(super) fn of<T: PartialEq>(instance: &T, via: &[T]) -> Self {
        if via.last() == Some(instance) {
            Self::Reader
        } else if via.contains(instance) {
            Self::Relay
        } else {
            Self::Uninvolved
        }
    }
}

/// The instance in whose place this one reads the store.
#[derive(Clone, Debug)]
pub(super) struct Delegation {
    by: InstanceName,
    role: UpdateRole,
    until: Timestamp,
}

impl ParentChoice {
    pub(super) fn is_delegated(&self, now: Timestamp) -> bool {
        self.delegation(now).is_some()
    }

    /// Whether this instance reads the store in place of one that read it until now. One that passes
    /// on updates asks because it is cut off, whether or not the store is away.
    pub(super) fn replaces_reader(&self, now: Timestamp) -> bool {
        let delegation = self.delegation(now);
        delegation.is_some_and(|delegation| delegation.role == UpdateRole::Reader)
    }

    fn delegation(&self, now: Timestamp) -> Option<&Delegation> {
        let delegation = self.delegated_by.as_ref();
        delegation.filter(|delegation| now < delegation.until)
    }
}

impl Fleet {
    /// Records that another instance follows this one. If this one gets its own updates by way of the
    /// other, the other does not reach the store, and this one reads it in its place for as long as the
    /// other follows it.
    pub(crate) fn on_followed(
        &mut self,
        now: Timestamp,
        follower: &InstanceName,
        role: UpdateRole,
    ) {
        let until = now + DELEGATED_FOR;
        let by = follower.clone();
        let delegation = self.choice.delegation(now);
        if let Some(renewed) = delegation.filter(|delegation| delegation.by == by) {
            // This instance reads the store by now, so the other is no longer on the path.
            let role = renewed.role;
            self.choice.delegated_by = Some(Delegation { by, role, until });
            return;
        }
        let may_read = now >= self.choice.store_avoided_until;
        if role != UpdateRole::Uninvolved && may_read {
            self.choice.store_failing = false;
            self.publish(now);
            self.choice.delegated_by = Some(Delegation { by, role, until });
        }
    }

    /// Avoids the instance in whose place this one cannot read the store, if it is cut off: others may
    /// still have newer updates than it has.
    pub(super) fn leave_cut_off_parent(&mut self, now: Timestamp) {
        let delegation = self.choice.delegation(now);
        let Some(relay) = delegation.filter(|delegation| delegation.role == UpdateRole::Relay)
        else {
            return;
        };
        let parent = self.present().find(|record| record.member.name == relay.by);
        if let Some(addr) = parent.map(|record| record.member.peer_addr) {
            self.choice.avoided.insert(now, addr, AvoidReason::Stale);
        }
    }

    /// Returns the instances that may read the store in place of this one. Those that this instance
    /// has just heard from come first, since it may be cut off from the others. Its own failure
    /// domain and the other ones take turns, since either may be cut off from the store as a whole.
    pub(super) fn delegates(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> {
        let me = &self.me().member;
        let group = |is_heard: bool, is_own_domain: bool| {
            let members = self.present().map(|record| &record.member);
            let mut group: Vec<(Fingerprint, SocketAddr)> = members
                .filter(|member| member.name != me.name)
                .filter(|member| is_heard == self.has_heard_from(now, &member.name))
                .filter(|member| is_own_domain == (member.failure_domain == me.failure_domain))
                .map(|member| (Fingerprint::of_name(&member.name), member.peer_addr))
                .collect();
            group.sort_unstable();
            // A domain that is cut off still reaches itself.
            let comes_first = is_heard && is_own_domain;
            let in_turn = group.into_iter().enumerate();
            in_turn.map(move |(turn, (order, addr))| (!is_heard, turn, !comes_first, order, addr))
        };
        let mut ranked: Vec<_> = group(true, true).chain(group(true, false)).collect();
        ranked.extend(group(false, true).chain(group(false, false)));
        ranked.sort_unstable();
        // Those that could not read it keep their turns.
        let usable: IndexSet<SocketAddr> =
            self.usable(now).map(|one| one.member.peer_addr).collect();
        let ranked = ranked.into_iter().map(|(.., addr)| addr);
        ranked.filter(move |addr| usable.contains(addr))
    }

    pub(super) fn is_delegate(&self, addr: SocketAddr) -> bool {
        self.choice
            .delegate
            .is_some_and(|(delegate, _)| delegate == addr)
    }
}
