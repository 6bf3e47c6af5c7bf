//! Readiness: when an instance knows enough to serve, and whether callers may be sent to it.

use indexmap::IndexSet;

use super::{Members, Readiness};
use crate::process::cells::MemberState;
use crate::process::follow::REQUIRED_PREFIXES;
use crate::types::{InstanceName, Timestamp};

const MIN_SYNCED_PEERS: usize = 3;

impl Members {
    /// Whether callers may be sent to this instance.
    pub(crate) fn readiness(&self, now: Timestamp) -> Readiness {
        if self.me.state >= MemberState::Leaving {
            return Readiness::Leaving;
        }
        if !self.learned {
            return Readiness::Learning;
        }
        let contact_at = self.platform_contact_at.max(self.peer_contact_at);
        if contact_at.is_none_or(|at| now.since(at) > self.timing.stale_after()) {
            return Readiness::Stale;
        }
        Readiness::Ready
    }

    /// Updates and returns whether the configuration and the indexes are known. Once they
    /// are known, they stay so.
    ///
    /// They are known once the platform listed them. They are also known once several fresh
    /// peers have reported all their changes, every newer object has been fetched, and no
    /// instance is known to have had a newer configuration in force.
    pub(crate) fn learn(&mut self) -> bool {
        if self.learned {
            return true;
        }
        let listed = REQUIRED_PREFIXES
            .iter()
            .all(|prefix| self.synced_prefixes.contains(prefix));
        let others = self.count_others().max(1);
        let enough_peers = self.synced_peers.len() >= MIN_SYNCED_PEERS.min(others);
        let learned_from_peers =
            enough_peers && self.to_fetch.is_empty() && self.own_config >= self.latest_config;
        self.learned = listed || learned_from_peers;
        if self.learned && self.me.state == MemberState::Joining {
            self.me.state = MemberState::Live;
        }
        self.learned
    }

    fn count_others(&self) -> usize {
        let mut names: IndexSet<&InstanceName> =
            self.cells.members().map(|member| &member.name).collect();
        names.extend(self.contacts.keys());
        names.swap_remove(&self.me.name);
        names.len()
    }
}
