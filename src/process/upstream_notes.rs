//! What is recorded of upstreams beside the results of legs.

use super::{Limits, Table, UpstreamSignals, Upstreams};
use crate::types::{SnapshotId, Timestamp, UpstreamName};
use crate::version::UpstreamSpec;

/// Limits the silent upstreams that wait to be reported to other instances.
const MAX_SILENT: usize = 256;

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

    /// Records what an upstream said of itself. Returns whether it says for the first time
    /// that it leaves.
    pub(crate) fn note_signals(
        &mut self,
        now: Timestamp,
        spec: &UpstreamSpec,
        signals: UpstreamSignals,
    ) -> bool {
        if !signals.leaving {
            return false;
        }
        let stated = &mut self.stats_mut(now, spec).stated;
        let begins = !stated.is_leaving(now);
        let until = stated.leave(now);
        self.stated_until = self.stated_until.max(until);
        begins
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
        let stats = self.by_name.get(name);
        if stats.is_some_and(|stats| stats.stated.is_leaving(now)) {
            return None;
        }
        Some(limits.rate_room_at(now, name))
    }
}
