//! Which instances can be reached: by callers, and by this instance's heartbeats.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::{Member, Members, Readiness};
use crate::types::{InstanceName, Timestamp};

impl Members {
    /// The instances to choose from, each once, with those that did not reply lately
    /// left out.
    pub(crate) fn candidates(&self, now: Timestamp) -> Vec<Member> {
        let mut by_name: IndexMap<InstanceName, &Member> = IndexMap::new();
        let heard = self
            .heard
            .values()
            .filter(|heard| now.since(heard.at) <= self.timing.dead())
            .map(|heard| &heard.member);
        for member in self.cells.members().chain(heard).chain([&self.me]) {
            let known = by_name.get(&member.name);
            if known.is_none_or(|known| later(member, known)) {
                by_name.insert(member.name.clone(), member);
            }
        }
        let serves_here = self.readiness(now) == Readiness::Ready;
        by_name
            .into_values()
            .filter(|member| !self.failed_lately(now, member.peer_addr))
            .filter(|member| serves_here || member.name != self.me.name)
            .cloned()
            .collect()
    }

    /// Notes that a peer did not reply.
    pub(crate) fn on_silence(&mut self, now: Timestamp, addr: SocketAddr) {
        let hold = self.timing.count_hold();
        self.unreachable.retain(|_, at| now.since(*at) <= hold);
        self.unreachable.insert(addr, now);
    }

    /// A peer to exchange with when there is no leader: one drawn at random, those
    /// that did not reply lately last.
    pub(crate) fn stranger(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<(Option<InstanceName>, SocketAddr)> {
        let mut known: IndexMap<SocketAddr, Option<InstanceName>> = IndexMap::new();
        known.extend(self.seeds.iter().map(|addr| (*addr, None)));
        let listed = self.listed.iter();
        known.extend(listed.map(|one| (one.peer_addr, Some(one.name.clone()))));
        let heard = self.heard.values().map(|heard| &heard.member);
        for member in self.cells.members().chain(heard) {
            known.insert(member.peer_addr, Some(member.name.clone()));
        }
        known.swap_remove(&self.me.peer_addr);
        let replying = known
            .iter()
            .filter(|(addr, _)| !self.failed_lately(now, **addr));
        let drawn = replying.choose(rng).or_else(|| known.iter().choose(rng))?;
        Some((drawn.1.clone(), *drawn.0))
    }

    /// The name of the instance that takes heartbeats at `addr`.
    pub(crate) fn name_at(&self, addr: SocketAddr) -> Option<InstanceName> {
        let heard = self.heard.values().map(|heard| &heard.member);
        let mut known = heard.chain(self.cells.members());
        let found = known.find(|member| member.peer_addr == addr);
        found.map(|member| member.name.clone())
    }

    pub(super) fn failed_lately(&self, now: Timestamp, addr: SocketAddr) -> bool {
        self.unreachable
            .get(&addr)
            .is_some_and(|at| now.since(*at) <= self.timing.dead())
    }
}

/// Whether `one` is a later state of the same instance; its states only move on.
pub(super) fn later(one: &Member, than: &Member) -> bool {
    (one.incarnation, one.state) > (than.incarnation, than.state)
}
