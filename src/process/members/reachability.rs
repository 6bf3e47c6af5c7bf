//! Reachable instances: those to offer to callers, and those to send heartbeats to.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::{Member, Members, Readiness};
use crate::types::{InstanceName, Timestamp};

impl Members {
    /// The instances that may be offered to callers, each once, without those that failed to
    /// reply to a recent heartbeat. This instance is one of them only while it is ready.
    pub(crate) fn candidates(&self, now: Timestamp) -> Vec<Member> {
        let mut by_name: IndexMap<InstanceName, &Member> = IndexMap::new();
        let contacts = self
            .contacts
            .values()
            .filter(|contact| now.since(contact.at) <= self.timing.member_timeout())
            .map(|contact| &contact.member);
        for member in self.cells.members().chain(contacts).chain([&self.me]) {
            let known = by_name.get(&member.name);
            if known.is_none_or(|known| is_later_state(member, known)) {
                by_name.insert(member.name.clone(), member);
            }
        }
        let serves_here = self.readiness(now) == Readiness::Ready;
        by_name
            .into_values()
            .filter(|member| !self.recently_unreachable(now, member.peer_addr))
            .filter(|member| serves_here || member.name != self.me.name)
            .cloned()
            .collect()
    }

    /// Records that a peer did not reply.
    pub(crate) fn on_no_reply(&mut self, now: Timestamp, addr: SocketAddr) {
        let retention = self.timing.departed_retention();
        self.unreachable.retain(|_, at| now.since(*at) <= retention);
        self.unreachable.insert(addr, now);
    }

    /// A random peer to exchange heartbeats with while there is no leader. Peers that failed
    /// to reply recently are chosen only when there are no others.
    pub(crate) fn random_peer(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<(Option<InstanceName>, SocketAddr)> {
        let mut known: IndexMap<SocketAddr, Option<InstanceName>> = IndexMap::new();
        known.extend(self.seeds.iter().map(|addr| (*addr, None)));
        let listed = self.listed.iter();
        known.extend(listed.map(|one| (one.peer_addr, Some(one.name.clone()))));
        let contacts = self.contacts.values().map(|contact| &contact.member);
        for member in self.cells.members().chain(contacts) {
            known.insert(member.peer_addr, Some(member.name.clone()));
        }
        known.swap_remove(&self.me.peer_addr);
        let replying = known
            .iter()
            .filter(|(addr, _)| !self.recently_unreachable(now, **addr));
        let chosen = replying.choose(rng).or_else(|| known.iter().choose(rng))?;
        Some((chosen.1.clone(), *chosen.0))
    }

    /// The name of the instance that receives heartbeats at `addr`.
    pub(crate) fn name_at(&self, addr: SocketAddr) -> Option<InstanceName> {
        let contacts = self.contacts.values().map(|contact| &contact.member);
        let mut known = contacts.chain(self.cells.members());
        let found = known.find(|member| member.peer_addr == addr);
        found.map(|member| member.name.clone())
    }

    pub(super) fn recently_unreachable(&self, now: Timestamp, addr: SocketAddr) -> bool {
        self.unreachable
            .get(&addr)
            .is_some_and(|at| now.since(*at) <= self.timing.member_timeout())
    }
}

/// Whether `member` is a later state of the same instance than `other`. The states of a
/// process only advance, and a restart has a higher incarnation.
pub(super) fn is_later_state(member: &Member, other: &Member) -> bool {
    (member.incarnation, member.state) > (other.incarnation, other.state)
}
