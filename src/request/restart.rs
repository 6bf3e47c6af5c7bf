//! Restarts a whole query on another snapshot.
//!
//! Parts of two snapshots are never combined in one answer: either the query restarts on
//! the newest snapshot that upstreams hold, or its answer states which keys are missing.
//! Upstreams may no longer, or not yet, hold a snapshot. See `docs/DESIGN.md`, "Snapshot".

use std::sync::Arc;

use super::hedge;
use super::shard::{Phase, ShardState};
use super::{Action, Context, Part, Query};
use crate::types::{KeyRange, Ratio};
use crate::version::Snapshot;

const MAX_RESTARTS: usize = 2;

/// The parts collected from a snapshot that the query has abandoned.
#[derive(Debug)]
pub(super) struct PreviousParts {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) parts: Vec<Part>,
}

impl Query {
    /// Switches to another snapshot if other queries found that no upstream of a shard holds
    /// this one.
    pub(super) fn prefer_available_snapshot(&mut self, cx: &mut Context<'_>) {
        if cx.upstreams.may_use_snapshot(cx.now, &self.snapshot) {
            return;
        }
        if let Some(other) = self.other_snapshot(cx) {
            self.use_snapshot(other);
        }
    }

    /// Restarts on another snapshot if this one can no longer reach the coverage target and
    /// enough time is left.
    pub(super) fn restart_if_worthwhile(
        &mut self,
        cx: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.snapshot_unavailable || self.can_reach_target() {
            return;
        }
        cx.upstreams.note_snapshot_missing(cx.now, &self.snapshot);
        let class = cx.upstreams.class(&self.class.name);
        let in_time = self.deadline.since(cx.now) > hedge::p90_latency(class);
        if !in_time || !self.may_restart() {
            return;
        }
        if let Some(other) = self.other_snapshot(cx) {
            self.restart(cx, other, actions);
        }
    }

    /// The newest other snapshot that this query has not abandoned and upstreams may hold.
    fn other_snapshot(&self, cx: &mut Context<'_>) -> Option<Arc<Snapshot>> {
        let other = cx.snapshots.iter().find(|other| {
            other.id != self.snapshot.id
                && !self.abandoned_snapshots.contains(&other.id)
                && cx.upstreams.may_use_snapshot(cx.now, other)
        });
        other.cloned()
    }

    /// Whether the shards that are not abandoned suffice for the coverage target.
    pub(super) fn can_reach_target(&self) -> bool {
        let all_keys = KeyRange::ALL.width();
        Ratio::of(all_keys - self.missing_keys, all_keys) >= self.class.targets.coverage
    }

    fn may_restart(&self) -> bool {
        let runs_twice = !self.class.targets.repeatable && self.may_have_run();
        self.abandoned_snapshots.len() < MAX_RESTARTS && !runs_twice && !self.crashes.is_suspect()
    }

    fn restart(&mut self, cx: &mut Context<'_>, other: Arc<Snapshot>, actions: &mut Vec<Action>) {
        self.cancel_all(cx, actions);
        self.keep_previous();
        self.abandoned_snapshots.push(self.snapshot.id);
        self.use_snapshot(other);
        self.send_first_legs(cx, actions);
    }

    fn use_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.snapshot_unavailable = false;
        self.shards.clear();
        self.shards
            .resize_with(self.snapshot.shards.len(), ShardState::default);
        self.unresolved = self.shards.len();
        self.replied = 0;
        self.missing_keys = 0;
        self.quarantined.clear();
    }

    fn keep_previous(&mut self) {
        let snapshot = Arc::clone(&self.snapshot);
        let parts = self.take_parts();
        let fewer = self
            .previous
            .as_ref()
            .is_some_and(|previous| covered_keys(&parts) < covered_keys(&previous.parts));
        if !fewer {
            self.previous = Some(PreviousParts { snapshot, parts });
        }
    }

    /// Takes the parts of the current snapshot, in shard order.
    pub(super) fn take_parts(&mut self) -> Vec<Part> {
        let mut parts = Vec::with_capacity(self.replied);
        for (state, shard) in self.shards.iter_mut().zip(&self.snapshot.shards) {
            if let Phase::Replied(head, body) = &mut state.phase {
                parts.push(Part {
                    shard: shard.id,
                    range: shard.range,
                    head: head.take(),
                    body: std::mem::take(body),
                });
            }
        }
        parts
    }
}

/// Number of keys that the parts cover.
pub(super) fn covered_keys(parts: &[Part]) -> u64 {
    parts.iter().map(|part| part.range.width()).sum()
}
