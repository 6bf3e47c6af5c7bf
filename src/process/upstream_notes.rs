//! What is recorded of upstreams beside the results of legs.

use super::{Limits, Table, UpstreamSignals, Upstreams};
use crate::types::{SnapshotId, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

/// Limits the silent upstreams that wait to be reported to other instances.
const MAX_SILENT: usize = 256;

/// What an upstream says of itself that it did not say before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NewStatement {
    pub(crate) leaves: bool,
    pub(crate) pauses: bool,
}

impl Upstreams {
    /// Records that an upstream replied, even if the leg was cancelled.
    pub fn note_reply(&mut self, now: Timestamp, name: &UpstreamName) {
        if let Some(stats) = self.by_name.get_mut(name) {
            stats.note_reply(now);
        }
    }

    /// Records that a leg was abandoned without a reply. The upstream counts as silent if it
    /// has not replied since `since`.
    pub(crate) fn note_no_reply(&mut self, since: Timestamp, name: &UpstreamName) {
        let stats = self.by_name.get(name);
        let is_silent = stats.is_some_and(|stats| stats.is_silent_since(since));
        if is_silent && self.silent.len() < MAX_SILENT {
            self.silent.insert(name.clone(), since);
        }
    }

    /// Takes the upstreams that left legs unanswered since the last call.
    pub(crate) fn take_silent(&mut self) -> Table<UpstreamName, Timestamp> {
        std::mem::take(&mut self.silent)
    }

    /// Avoids an upstream that other instances found silent, unless it replied since.
    pub(crate) fn avoid_silent(&mut self, name: &UpstreamName, since: Timestamp, until: Timestamp) {
        if let Some(stats) = self.by_name.get_mut(name) {
            stats.avoid_silent(since, until);
        }
    }

    /// Records that an upstream does not hold a snapshot.
    pub fn note_snapshot_gone(
        &mut self,
        now: Timestamp,
        spec: &UpstreamSpec,
        snapshot: SnapshotId,
    ) {
        self.stats_mut(now, spec).note_snapshot_gone(now, snapshot);
    }

    /// Records what an upstream said of itself. Returns what it says newly.
    pub(crate) fn note_signals(
        &mut self,
        now: Timestamp,
        spec: &UpstreamSpec,
        signals: UpstreamSignals,
    ) -> NewStatement {
        let mut new = NewStatement::default();
        if !signals.leaving && signals.pause.is_none() {
            return new;
        }
        let stated = &mut self.stats_mut(now, spec).stated;
        let mut until = Timestamp::default();
        if signals.leaving {
            new.leaves = !stated.is_leaving(now);
            until = stated.leave(now);
        }
        if let Some(pause) = signals.pause {
            new.pauses = !stated.is_paused(now);
            until = until.max(stated.pause(now, pause));
        }
        self.stated_until = self.stated_until.max(until);
        new
    }

    /// Whether what any upstream said of its availability still holds.
    pub(crate) fn has_stated(&self, now: Timestamp) -> bool {
        self.stated_until > now
    }

    /// Returns when an upstream takes the next leg by what it says of itself; `None` if it
    /// leaves.
    pub(crate) fn stated_room_at(
        &self,
        now: Timestamp,
        limits: &Limits,
        name: &UpstreamName,
    ) -> Option<Timestamp> {
        let rate_room = limits.rate_room_at(now, name);
        match self.by_name.get(name) {
            Some(stats) => Some(stats.stated.room_at(now)?.max(rate_room)),
            None => Some(rate_room),
        }
    }
}
