//! When an instance knows enough to serve, and whether callers may be sent to it.

use indexmap::IndexSet;

use super::{Members, Readiness};
use crate::process::cells::MemberState;
use crate::process::follow::LEARNED_FROM;
use crate::types::{InstanceName, Timestamp};

const ENOUGH_WITNESSES: usize = 3;

impl Members {
    /// Whether callers may be sent here.
    pub(crate) fn readiness(&self, now: Timestamp) -> Readiness {
        if self.me.state >= MemberState::Leaving {
            return Readiness::Leaving;
        }
        if !self.learned {
            return Readiness::Learning;
        }
        let heard_at = self.platform_at.max(self.peer_at);
        if heard_at.is_none_or(|at| now.since(at) > self.timing.stale()) {
            return Readiness::Stale;
        }
        Readiness::Ready
    }

    /// Whether the configuration and the indexes are known; once they are, they stay.
    ///
    /// They are known after the platform listed them, or after several peers that are
    /// in step with others told all they know and no one is known to have had a newer
    /// configuration in force.
    pub(crate) fn learn(&mut self) -> bool {
        if self.learned {
            return true;
        }
        let listed = LEARNED_FROM
            .iter()
            .all(|prefix| self.synced.contains(prefix));
        let others = self.others().max(1);
        let asked = self.witnesses.len() >= ENOUGH_WITNESSES.min(others);
        let told = asked && self.wanted.is_empty() && self.own_config >= self.said_config;
        self.learned = listed || told;
        if self.learned && self.me.state == MemberState::Joining {
            self.me.state = MemberState::Live;
        }
        self.learned
    }

    fn others(&self) -> usize {
        let mut names: IndexSet<&InstanceName> =
            self.cells.members().map(|member| &member.name).collect();
        names.extend(self.heard.keys());
        names.swap_remove(&self.me.name);
        names.len()
    }
}
