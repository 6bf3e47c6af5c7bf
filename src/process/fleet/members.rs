//! Who is there, and whom this instance follows.
//!
//! Each instance follows another one: the first of its failure domain by address follows
//! the first of all, the others of the domain follow it, and the first of all reads the
//! store. Nobody is elected: two instances that both read the store for a while only cost
//! calls. An instance that is silent, or whose news are old, is shunned for a while, and
//! whoever followed it goes on to the next.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::presence::{Presence, gone, order};
use crate::process::cells::{Member, MemberState};
use crate::types::{InstanceName, Position, Span, Timestamp};

/// A follower asks again within half a second, so one that does not for this long is gone.
const SILENT_AFTER: Span = Span::from_millis(1_500);
/// For so long nobody is asked again who was silent or had old news.
const SHUNNED_FOR: Span = Span::from_secs(3);
/// An instance says anew that it is there after this time.
const REFRESH_AFTER: Span = Span::from_secs(10);
/// One that did not, although it had two chances, is gone.
const FORGOTTEN_AFTER: Span = Span::from_secs(25);

/// An instance that is gone is looked for so long; seeds are looked for always.
const LOOKED_FOR: Span = Span::from_secs(60);

/// Where an instance's news come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Parent {
    /// From the platform's store itself.
    Store,
    /// From the instance at this address.
    Instance(SocketAddr),
}

#[derive(Clone, Debug)]
struct Known {
    presence: Presence,
    at: Position,
    learnt: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    heard: Timestamp,
    seq: u64,
}

/// Why an instance is not followed for a while, and until when.
#[derive(Clone, Copy, Debug)]
struct Shunned {
    until: Timestamp,
    /// It did not answer; once it speaks it may be followed again. One with old news has
    /// to wait, or all would change places for as long as the store is away.
    silent: bool,
}

/// The instances as this one knows them.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    me: Presence,
    said: Timestamp,
    known: IndexMap<InstanceName, Known>,
    end: Position,
    children: IndexMap<InstanceName, Child>,
    shunned: IndexMap<SocketAddr, Shunned>,
    store_shunned: Timestamp,
}

impl Fleet {
    pub(crate) fn new(now: Timestamp, me: Presence) -> Self {
        let mut fleet = Self {
            me: me.clone(),
            said: now,
            known: IndexMap::new(),
            end: Position(0),
            children: IndexMap::new(),
            shunned: IndexMap::new(),
            store_shunned: Timestamp::default(),
        };
        fleet.learn(now, me);
        fleet
    }

    pub(crate) fn me(&self) -> &Presence {
        &self.me
    }

    /// The position of the latest change.
    pub(crate) fn end(&self) -> Position {
        self.end
    }

    /// Says what this instance is ready for.
    pub(crate) fn set_state(&mut self, now: Timestamp, state: MemberState) {
        if self.me.member.state != state {
            self.me.member.state = state;
            self.say(now);
        }
    }

    /// Takes what is said of an instance; true when it is news.
    pub(crate) fn learn(&mut self, now: Timestamp, presence: Presence) -> bool {
        let name = presence.member.name.clone();
        if name == self.me.member.name && order(&presence) > order(&self.me) {
            self.contradict(now, &presence);
            return true;
        }
        let known = self.known.get(&name);
        if known.is_some_and(|known| order(&presence) <= order(&known.presence)) {
            return false;
        }
        self.end = Position(self.end.0 + 1);
        let known = Known {
            presence,
            at: self.end,
            learnt: now,
        };
        self.known.insert(name, known);
        true
    }

    /// Notes that an instance follows this one.
    pub(crate) fn hear(&mut self, now: Timestamp, follower: Presence) {
        let name = follower.member.name.clone();
        let seq = follower.seq;
        self.children.insert(name, Child { heard: now, seq });
        self.meet(now, follower);
    }

    /// Notes that an instance asked once; that it does not ask again means nothing.
    pub(crate) fn meet(&mut self, now: Timestamp, other: Presence) {
        let addr = other.member.peer_addr;
        if self
            .shunned
            .get(&addr)
            .is_some_and(|shunned| shunned.silent)
        {
            self.shunned.swap_remove(&addr);
        }
        self.learn(now, other);
    }

    /// Where to look for instances that this one takes for gone: it may be the one that
    /// was cut off, and each half of a fleet that was cut in two knows of the other only
    /// so.
    pub(crate) fn lost(&self, now: Timestamp, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let me = self.me.member.peer_addr;
        let there: Vec<SocketAddr> = self.present().map(|known| known.member.peer_addr).collect();
        let lately = |known: &&Known| now.since(known.learnt) < LOOKED_FOR;
        let gone = self.others().filter(lately);
        let mut lost: Vec<SocketAddr> = gone
            .map(|known| known.presence.member.peer_addr)
            .chain(seeds.iter().copied())
            .filter(|addr| *addr != me && !there.contains(addr))
            .collect();
        lost.sort_unstable();
        lost.dedup();
        lost
    }

    /// Notes that an instance did not answer.
    pub(crate) fn lose(&mut self, now: Timestamp, addr: SocketAddr) {
        self.leave(now, addr, true);
        let known = self.known.values().map(|known| &known.presence);
        let silent = known
            .filter(|presence| presence.member.peer_addr == addr)
            .find(|presence| presence.member.state != MemberState::Gone)
            .cloned();
        if let Some(silent) = silent {
            self.learn(now, gone(silent));
        }
    }

    /// Leaves an instance alone whose news are old, and goes on to the next.
    pub(crate) fn shun(&mut self, now: Timestamp, addr: SocketAddr) {
        self.leave(now, addr, false);
    }

    fn leave(&mut self, now: Timestamp, addr: SocketAddr, silent: bool) {
        let until = now + SHUNNED_FOR;
        self.shunned.insert(addr, Shunned { until, silent });
        // What the former parent says of this instance is older from here on.
        self.say(now);
    }

    /// Notes that the store does not answer this instance.
    pub(crate) fn shun_store(&mut self, now: Timestamp) {
        self.store_shunned = now + SHUNNED_FOR;
    }

    /// Lets time pass: followers that fell silent are gone, and so is whoever was not
    /// heard of for long.
    pub(crate) fn pass(&mut self, now: Timestamp) {
        self.shunned.retain(|_, shunned| shunned.until > now);
        if now.since(self.said) >= REFRESH_AFTER {
            self.say(now);
        }
        let mut lost = Vec::new();
        self.children.retain(|name, child| {
            let stays = now.since(child.heard) < SILENT_AFTER;
            if !stays {
                lost.push((name.clone(), child.seq));
            }
            stays
        });
        for (name, seq) in lost {
            let known = self.known.get(&name).map(|known| known.presence.clone());
            if let Some(presence) = known.filter(|presence| presence.seq == seq) {
                self.learn(now, gone(presence));
            }
        }
        let forgotten: Vec<Presence> = self
            .others()
            .filter(|known| known.presence.member.state != MemberState::Gone)
            .filter(|known| now.since(known.learnt) >= FORGOTTEN_AFTER)
            .map(|known| known.presence.clone())
            .collect();
        for presence in forgotten {
            self.learn(now, gone(presence));
        }
    }

    /// Whom to follow now.
    pub(crate) fn parent(&self, now: Timestamp) -> Parent {
        let me = &self.me.member;
        let reads_store = now >= self.store_shunned;
        let usable = |member: &&Member| {
            let is_me = member.name == me.name;
            let shunned = self.shunned.get(&member.peer_addr);
            let stays = member.state != MemberState::Leaving;
            is_me || (stays && shunned.is_none_or(|shunned| shunned.until <= now))
        };
        let first = |domain_only: bool| {
            self.present()
                .map(|presence| &presence.member)
                .filter(usable)
                .filter(|member| !domain_only || member.failure_domain == me.failure_domain)
                .filter(|member| reads_store || member.name != me.name)
                .min_by_key(|member| member.peer_addr)
        };
        let head = first(true).filter(|head| head.name != me.name);
        match head.or_else(|| first(false)) {
            Some(other) if other.name != me.name => Parent::Instance(other.peer_addr),
            _ => Parent::Store,
        }
    }

    /// The instances that are there, this one included.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Presence> {
        self.known
            .values()
            .map(|known| &known.presence)
            .filter(|presence| presence.member.state != MemberState::Gone)
    }

    /// What was learned after a position, and the position it reaches.
    pub(crate) fn since(&self, from: Position) -> (Vec<Presence>, Position) {
        let news = self.known.values().filter(|known| known.at > from);
        (news.map(|known| known.presence.clone()).collect(), self.end)
    }

    fn others(&self) -> impl Iterator<Item = &Known> {
        let me = &self.me.member.name;
        let known = self.known.iter().filter(move |(name, _)| *name != me);
        known.map(|(_, known)| known)
    }

    /// Somebody believes something later than what this instance says of itself, because
    /// it was silent for a while, or because the clock went back before it started.
    fn contradict(&mut self, now: Timestamp, said: &Presence) {
        self.me.member.incarnation = said.member.incarnation.max(self.me.member.incarnation);
        self.me.seq = self.me.seq.max(said.seq);
        self.say(now);
    }

    fn say(&mut self, now: Timestamp) {
        self.me.seq += 1;
        self.said = now;
        self.learn(now, self.me.clone());
    }
}
