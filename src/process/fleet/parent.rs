//! The choice of the parent, from which an instance gets its updates.
//!
//! The first instance in [`serving_order`] reads the store. The first instance of every other
//! failure domain follows it, and the remaining instances follow the first one of their domain.
//! There is no election: two instances that both read the store for a while only cost calls.
//!
//! When the store does not answer the reader, another instance reads it in the reader's place; see
//! `delegate.rs`. All others stay where they are. See `docs/DESIGN.md`, "Who reads the store".

use std::net::SocketAddr;

use super::addresses;
use super::avoided::{AvoidReason, AvoidedInstances};
use super::delegate::{DELEGATE_PAUSE, DELEGATE_TIMEOUT, Delegation};
use super::instance_record::serving_order;
use super::{Fleet, InstanceRecord};
use crate::process::cells::{Member, MemberState};
use crate::types::{Span, Timestamp};

/// Updates confirmed longer ago than this are stale: a watch ends within a second.
const STALE_AFTER: Span = Span::from_millis(1_400);
/// Followers leave a parent with updates of this age. Until then the reader finds another way to
/// the store, if there is one.
const LEAVE_AFTER: Span = Span::from_secs(8);
/// Added to `LEAVE_AFTER` in proportion to an instance's rank in [`serving_order`], so that not all
/// followers leave at once.
const LEAVE_SPREAD: Span = Span::from_secs(4);
/// How long an instance that joins reads the store besides following its parent.
const JOIN_BY_STORE_FOR: Span = Span::from_secs(2);

/// Where an instance gets its updates from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Parent {
    /// The platform's store itself.
    Store,
    /// The instance at this address.
    Instance(SocketAddr),
}

/// How recent the updates of an instance are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// The store confirmed them lately.
    Fresh,
    /// The store confirmed them too long ago, or never.
    Stale,
    /// They are of an earlier era of the store than the instance that asks knows.
    EarlierEra,
    /// They came by way of the instance that asks.
    Loop,
    /// Their sender has lost contact with the instances that it follows.
    Disconnected,
}

/// What an instance remembers for the choice of its parent.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParentChoice {
    pub(super) avoided: AvoidedInstances,
    /// Until when this instance makes no calls to the store, after one that failed.
    pub(super) store_avoided_until: Timestamp,
    /// Whether the store did not answer this instance's last call.
    pub(super) store_failing: bool,
    /// The follower that reads the store in place of this instance, and since when.
    pub(super) delegate: Option<(SocketAddr, Timestamp)>,
    /// Until when this instance reads the store while it joins.
    joins_by_store_until: Timestamp,
    /// The instance in whose place this one reads the store.
    pub(super) delegated_by: Option<Delegation>,
}

impl Fleet {
    /// Returns the parent to follow now.
    pub(crate) fn parent(&self, now: Timestamp) -> Parent {
        if self.choice.is_delegated(now) {
            return Parent::Store;
        }
        match self.first_choice(now) {
            Parent::Store if self.choice.store_failing => {
                let delegate = self.choice.delegate.map(|(addr, _)| addr);
                let is_usable = |addr: &SocketAddr| self.delegates(now).any(|one| one == *addr);
                let delegate = delegate.filter(is_usable);
                delegate
                    .or_else(|| self.delegates(now).next())
                    .map_or(Parent::Store, Parent::Instance)
            }
            parent => parent,
        }
    }

    /// Whether this instance makes calls to the store now. One that follows a delegate goes on
    /// trying.
    pub(crate) fn reads_store(&self, now: Timestamp) -> bool {
        let is_reader = self.choice.is_delegated(now) || self.first_choice(now) == Parent::Store;
        (is_reader || self.joins_by_store(now)) && now >= self.choice.store_avoided_until
    }

    /// Records that the store confirmed the objects of the parent. An instance that joins and that
    /// callers are sent to gets them from the store as well: when a whole fleet starts, the others
    /// share the links of their parents.
    pub(crate) fn on_store_confirmed(&mut self, now: Timestamp) {
        if self.me().member.state != MemberState::Joining {
            return;
        }
        let present: Vec<&InstanceRecord> = self.present().collect();
        if addresses::serving(&present).contains(&self.me().member.addr) {
            self.choice.joins_by_store_until = now + JOIN_BY_STORE_FOR;
        }
    }

    /// Whether this instance may serve callers with objects that the store confirmed `age` ago. An
    /// instance that joins first tries the store if they are stale, since replicas may have left
    /// and routes may have been removed in the meantime.
    pub(crate) fn may_serve_with(&mut self, now: Timestamp, age: Span) -> bool {
        let is_joining = self.me().member.state == MemberState::Joining;
        if !is_joining || age <= STALE_AFTER || self.choice.store_failing {
            return true;
        }
        self.choice.joins_by_store_until = now + JOIN_BY_STORE_FOR;
        false
    }

    fn joins_by_store(&self, now: Timestamp) -> bool {
        self.me().member.state == MemberState::Joining && now < self.choice.joins_by_store_until
    }

    /// Records that a call to the store failed; the next one is made after `pause`.
    pub(crate) fn on_store_failure(&mut self, now: Timestamp, pause: Span) {
        let pause = if self.choice.is_delegated(now) {
            self.leave_cut_off_parent(now);
            DELEGATE_PAUSE
        } else {
            pause
        };
        self.choice.store_failing = true;
        self.choice.store_avoided_until = now + pause;
        self.choice.delegated_by = None;
    }

    /// Records that the store answered a call.
    pub(crate) fn on_store_success(&mut self, now: Timestamp) {
        self.choice.store_failing = false;
        self.choice.delegate = None;
        self.on_answer(now);
    }

    /// Turns to a delegate if the reader's own objects are stale, although no call failed yet.
    pub(crate) fn check_own_age(&mut self, now: Timestamp, age: Option<Span>) {
        let is_stale = age.is_some_and(|age| age > STALE_AFTER);
        if is_stale && !self.choice.is_delegated(now) && self.parent(now) == Parent::Store {
            self.choice.store_failing = true;
        }
    }

    /// Returns how recent updates are that the store confirmed `age` ago, or that they came by way
    /// of this instance. Only an instance that joins, or has lost contact, states no age.
    pub(crate) fn freshness(&self, sender: &Member, age: Option<Span>, is_loop: bool) -> Freshness {
        let addr = sender.peer_addr;
        let max_age = if self.is_delegate(addr) {
            STALE_AFTER
        } else {
            self.leave_after()
        };
        let is_joining = self.me().member.state == MemberState::Joining;
        match age {
            _ if is_loop => Freshness::Loop,
            Some(age) if age <= max_age => Freshness::Fresh,
            None if sender.state != MemberState::Joining => Freshness::Disconnected,
            // An instance that joins knows of no live one if it follows one that joins.
            None if is_joining => Freshness::Fresh,
            _ => Freshness::Stale,
        }
    }

    /// Judges the updates of the instance that this one follows. Returns whether it is avoided
    /// from now on.
    pub(crate) fn judge(&mut self, now: Timestamp, addr: SocketAddr, freshness: Freshness) -> bool {
        let follows_delegate = self.choice.store_failing && self.first_choice(now) == Parent::Store;
        if follows_delegate && !self.is_delegate(addr) {
            self.choice.delegate = Some((addr, now));
        }
        if freshness == Freshness::Fresh {
            return false;
        }
        if let Some((delegate, since)) = self.choice.delegate
            && delegate == addr
        {
            if now.since(since) < DELEGATE_TIMEOUT {
                return false;
            }
            self.choice.delegate = None;
            self.choice
                .avoided
                .insert(now, addr, AvoidReason::CannotDelegate);
            return true;
        }
        let reason = match freshness {
            Freshness::EarlierEra => AvoidReason::EarlierEra,
            _ if self.choice.avoided.are_all_stale(now) => return false,
            _ => AvoidReason::Stale,
        };
        self.choice.avoided.insert(now, addr, reason);
        self.publish(now);
        true
    }

    /// Returns the parent if the store answers.
    pub(super) fn first_choice(&self, now: Timestamp) -> Parent {
        if self.is_detached(now) {
            return Parent::Store;
        }
        let me = &self.me().member;
        // A live instance may know others only as they were when they joined.
        let wants_live = me.state == MemberState::Joining;
        let first = |domain_only: bool| {
            self.usable(now)
                .filter(|other| !domain_only || other.member.failure_domain == me.failure_domain)
                .min_by_key(|other| {
                    let is_live = other.member.state == MemberState::Live;
                    (wants_live && !is_live, serving_order(other))
                })
                .map(|first| &first.member)
        };
        let domain_head = first(true).filter(|domain_head| domain_head.name != me.name);
        match domain_head.or_else(|| first(false)) {
            Some(other) if other.name != me.name => Parent::Instance(other.peer_addr),
            _ => Parent::Store,
        }
    }

    /// Returns the instances that may be followed, and this one.
    pub(super) fn usable(&self, now: Timestamp) -> impl Iterator<Item = &InstanceRecord> {
        let me = &self.me().member.name;
        let is_usable = move |record: &&InstanceRecord| {
            let member = &record.member;
            let stays = member.state != MemberState::Leaving;
            member.name == *me || (stays && !self.choice.avoided.contains(now, member.peer_addr))
        };
        self.present().filter(is_usable)
    }

    /// Returns the age of updates at which this instance leaves its parent.
    fn leave_after(&self) -> Span {
        let own_place = serving_order(self.me());
        let before = |record: &&InstanceRecord| serving_order(record) < own_place;
        let rank = self.present().filter(before).count() as u64;
        let all = self.present().count().max(1) as u64;
        Span(LEAVE_AFTER.0 + LEAVE_SPREAD.0 * rank / all)
    }
}

#[cfg(test)]
#[path = "parent_tests.rs"]
mod parent_tests;
