//! The change of a whole query to another snapshot.
//!
//! Parts of two snapshots never meet in one answer: either the query begins again on
//! the newest snapshot that upstreams hold, or its answer says which keys are missing.
//! A snapshot may be held no longer, or not yet. See
//! `docs/DESIGN.md`, "Snapshot".

use std::sync::Arc;

use super::hedge;
use super::shard::{Phase, ShardState};
use super::{Action, Context, Part, Query};
use crate::types::{KeyRange, Ratio};
use crate::version::Snapshot;

const MOST_RESTARTS: usize = 2;

/// What was collected of a snapshot that the query has left.
#[derive(Debug)]
pub(super) struct Previous {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) parts: Vec<Part>,
}

impl Query {
    /// Sets out on another snapshot when other queries found this one not held.
    pub(super) fn prefer_held_snapshot(&mut self, cx: &mut Context<'_>) {
        if cx.upstreams.expects_held(cx.now, &self.snapshot) {
            return;
        }
        if let Some(other) = self.other_snapshot(cx) {
            self.use_snapshot(other);
        }
    }

    /// Begins again on another snapshot when this one can no longer give an answer that
    /// meets the target and the time left suffices.
    pub(super) fn restart_if_worthwhile(
        &mut self,
        cx: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.snapshot_lost || self.reaches_target() {
            return;
        }
        cx.upstreams.note_not_held(cx.now, &self.snapshot);
        let class = cx.upstreams.class(&self.class.name);
        let in_time = self.deadline.since(cx.now) > hedge::likely(class);
        if !in_time || !self.may_restart() {
            return;
        }
        if let Some(other) = self.other_snapshot(cx) {
            self.restart(cx, other, actions);
        }
    }

    /// The newest snapshot that this query has not left and that may be held.
    fn other_snapshot(&self, cx: &mut Context<'_>) -> Option<Arc<Snapshot>> {
        let other = cx.snapshots.iter().find(|other| {
            other.id != self.snapshot.id
                && !self.left_snapshots.contains(&other.id)
                && cx.upstreams.expects_held(cx.now, other)
        });
        other.cloned()
    }

    pub(super) fn reaches_target(&self) -> bool {
        let keys = KeyRange::ALL.width();
        Ratio::of(keys - self.lost_keys, keys) >= self.class.targets.coverage
    }

    fn may_restart(&self) -> bool {
        let runs_twice = !self.class.targets.repeatable && self.may_have_run();
        self.left_snapshots.len() < MOST_RESTARTS && !runs_twice && !self.crashes.suspected()
    }

    fn restart(&mut self, cx: &mut Context<'_>, other: Arc<Snapshot>, actions: &mut Vec<Action>) {
        self.cancel_all(cx, actions);
        self.keep_previous();
        self.left_snapshots.push(self.snapshot.id);
        self.use_snapshot(other);
        self.send_first_legs(cx, actions);
    }

    fn use_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.snapshot_lost = false;
        self.shards.clear();
        self.shards
            .resize_with(self.snapshot.shards.len(), ShardState::default);
        self.unsettled = self.shards.len();
        self.replied = 0;
        self.lost_keys = 0;
        self.held.clear();
    }

    fn keep_previous(&mut self) {
        let snapshot = Arc::clone(&self.snapshot);
        let parts = self.take_parts();
        let fewer = self
            .previous
            .as_ref()
            .is_some_and(|previous| keys(&parts) < keys(&previous.parts));
        if !fewer {
            self.previous = Some(Previous { snapshot, parts });
        }
    }

    /// Takes the parts of the snapshot that is being asked, in the order of shards.
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

/// How many keys the parts hold.
pub(super) fn keys(parts: &[Part]) -> u64 {
    parts.iter().map(|part| part.range.width()).sum()
}
