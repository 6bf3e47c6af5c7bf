//! Membership: which instances there are, and what becomes of those that fall silent.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::avoided::AvoidReason;
use super::contact::Contact;
use super::instance_record::{InstanceRecord, as_gone, precedence};
use super::parent::ParentChoice;
use crate::process::cells::MemberState;
use crate::types::{InstanceName, Position, Span, Timestamp};

/// A follower sends its next request within half a second, so one that sends none for this
/// long is gone.
const FOLLOWER_TIMEOUT: Span = Span::from_millis(1_500);
/// An instance that follows this one was heard from within this time, unless it was cut off since.
const HEARD_WITHIN: Span = Span::from_millis(600);
/// How often an instance renews its own record.
const REFRESH_INTERVAL: Span = Span::from_secs(10);
/// An instance whose record was not renewed for this long is gone; it missed two renewals.
const RECORD_TTL: Span = Span::from_secs(25);
/// How long an instance that is gone is probed. Seeds are probed without limit.
const PROBE_GONE_FOR: Span = Span::from_secs(60);

#[derive(Clone, Debug)]
struct KnownInstance {
    record: InstanceRecord,
    position: Position,
    updated_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    seen_at: Timestamp,
    seq: u64,
}

/// The instances that this one knows.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    me: InstanceRecord,
    refreshed_at: Timestamp,
    known: IndexMap<InstanceName, KnownInstance>,
    last_position: Position,
    followers: IndexMap<InstanceName, Follower>,
    pub(super) choice: ParentChoice,
    pub(super) contact: Contact,
}

impl Fleet {
    pub(crate) fn new(now: Timestamp, me: InstanceRecord) -> Self {
        let mut fleet = Self {
            me: me.clone(),
            refreshed_at: now,
            known: IndexMap::new(),
            last_position: Position(0),
            followers: IndexMap::new(),
            choice: ParentChoice::default(),
            contact: Contact::default(),
        };
        fleet.apply_record(now, me);
        fleet
    }

    pub(crate) fn me(&self) -> &InstanceRecord {
        &self.me
    }

    /// Returns the position of the latest change.
    pub(crate) fn last_position(&self) -> Position {
        self.last_position
    }

    /// Sets the state that this instance publishes.
    pub(crate) fn set_state(&mut self, now: Timestamp, state: MemberState) {
        if self.me.member.state != state {
            self.me.member.state = state;
            self.publish(now);
        }
    }

    /// Applies a record of an instance. Returns whether it was newer than the known one.
    pub(crate) fn apply_record(&mut self, now: Timestamp, record: InstanceRecord) -> bool {
        let name = record.member.name.clone();
        if name == self.me.member.name && precedence(&record) > precedence(&self.me) {
            self.refute(now, &record);
            return true;
        }
        let known = self.known.get(&name);
        if known.is_some_and(|known| precedence(&record) <= precedence(&known.record)) {
            return false;
        }
        self.last_position = Position(self.last_position.0 + 1);
        let known = KnownInstance {
            record,
            position: self.last_position,
            updated_at: now,
        };
        self.known.insert(name, known);
        true
    }

    /// Records a request from an instance that follows this one.
    pub(crate) fn on_follower(&mut self, now: Timestamp, follower: InstanceRecord) {
        let name = follower.member.name.clone();
        let seq = follower.seq;
        self.followers.insert(name, Follower { seen_at: now, seq });
        self.on_contact(now, follower);
    }

    /// Whether an instance that follows this one has just sent a request.
    pub(super) fn has_heard_from(&self, now: Timestamp, name: &InstanceName) -> bool {
        let follower = self.followers.get(name);
        follower.is_some_and(|follower| now.since(follower.seen_at) < HEARD_WITHIN)
    }

    /// Records a single request from an instance. It is not expected to send another,
    /// unlike a follower.
    pub(crate) fn on_contact(&mut self, now: Timestamp, other: InstanceRecord) {
        self.choice.avoided.on_contact(other.member.peer_addr);
        self.apply_record(now, other);
    }

    /// Returns the addresses to probe: seeds and recently lost instances that are not
    /// present. This instance may itself have been cut off, and after a network partition
    /// probes are the only way in which the two halves find each other again.
    pub(crate) fn probe_targets(&self, now: Timestamp, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let me = self.me.member.peer_addr;
        let present_addrs: Vec<SocketAddr> =
            self.present().map(|known| known.member.peer_addr).collect();
        let is_recent = |known: &&KnownInstance| now.since(known.updated_at) < PROBE_GONE_FOR;
        let gone = self.others().filter(is_recent);
        let mut targets: Vec<SocketAddr> = gone
            .map(|known| known.record.member.peer_addr)
            .chain(seeds.iter().copied())
            .filter(|addr| *addr != me && !present_addrs.contains(addr))
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Marks an instance that did not answer as gone, and avoids it for a while.
    pub(crate) fn mark_unresponsive(&mut self, now: Timestamp, addr: SocketAddr) {
        self.choice
            .avoided
            .insert(now, addr, AvoidReason::Unresponsive);
        self.publish(now);
        let known = self.known.values().map(|known| &known.record);
        let unresponsive = known
            .filter(|record| record.member.peer_addr == addr)
            .find(|record| record.member.state != MemberState::Gone)
            .cloned();
        if let Some(unresponsive) = unresponsive {
            self.apply_record(now, as_gone(unresponsive));
        }
    }

    /// Applies all timeouts: renews this instance's record, and marks as gone the followers
    /// that stopped sending requests and the instances whose record was not renewed in
    /// time.
    pub(crate) fn apply_timeouts(&mut self, now: Timestamp) {
        self.choice.avoided.remove_expired(now);
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.publish(now);
        }
        let mut timed_out = Vec::new();
        self.followers.retain(|name, follower| {
            let is_active = now.since(follower.seen_at) < FOLLOWER_TIMEOUT;
            if !is_active {
                timed_out.push((name.clone(), follower.seq));
            }
            is_active
        });
        for (name, seq) in timed_out {
            let known = self.known.get(&name).map(|known| known.record.clone());
            if let Some(record) = known.filter(|record| record.seq == seq) {
                self.apply_record(now, as_gone(record));
            }
        }
        let expired: Vec<InstanceRecord> = self
            .others()
            .filter(|known| known.record.member.state != MemberState::Gone)
            .filter(|known| now.since(known.updated_at) >= RECORD_TTL)
            .map(|known| known.record.clone())
            .collect();
        for record in expired {
            self.apply_record(now, as_gone(record));
        }
    }

    /// Returns the instances that are not gone, including this one.
    pub(crate) fn present(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.known
            .values()
            .map(|known| &known.record)
            .filter(|record| record.member.state != MemberState::Gone)
    }

    /// Returns the records that changed after a position, and the position they reach.
    pub(crate) fn since(&self, from: Position) -> (Vec<InstanceRecord>, Position) {
        let changed = self.known.values().filter(|known| known.position > from);
        (
            changed.map(|known| known.record.clone()).collect(),
            self.last_position,
        )
    }

    fn others(&self) -> impl Iterator<Item = &KnownInstance> {
        let me = &self.me.member.name;
        let known = self.known.iter().filter(move |(name, _)| *name != me);
        known.map(|(_, known)| known)
    }

    /// Overrides a record of this instance that takes precedence over its own: others
    /// marked it as gone while it was unresponsive, or the clock went back before it
    /// started.
    fn refute(&mut self, now: Timestamp, claimed: &InstanceRecord) {
        self.me.member.incarnation = claimed.member.incarnation.max(self.me.member.incarnation);
        self.me.seq = self.me.seq.max(claimed.seq);
        self.publish(now);
    }

    /// Raises the sequence number, so that any record that others publish of this instance is
    /// older from here on.
    pub(super) fn publish(&mut self, now: Timestamp) {
        self.me.seq += 1;
        self.refreshed_at = now;
        self.apply_record(now, self.me.clone());
    }
}
