//! The change of a whole query to a newer snapshot.
//!
//! Parts of two snapshots never meet in one answer: either the query begins again on
//! the newest snapshot, or its answer says which keys are missing. See
//! `docs/DESIGN.md`, "Snapshot".

use std::sync::Arc;

use super::hedge;
use super::shard::{Phase, ShardState};
use super::{Action, Context, Part, Query};
use crate::types::{KeyRange, Ratio};
use crate::version::Snapshot;

const MOST_RESTARTS: u32 = 2;

/// What was collected of a snapshot that the query has left.
#[derive(Debug)]
pub(super) struct Previous {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) parts: Vec<Part>,
}

impl Query {
    /// Begins again on the newest snapshot when this one can no longer give an answer
    /// that meets the target and the time left suffices.
    pub(super) fn restart_if_worthwhile(
        &mut self,
        cx: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.snapshot_lost || !self.may_restart() {
            return;
        }
        let newest = cx.newest.filter(|newest| newest.id > self.snapshot.id);
        let latency = cx.upstreams.class(&self.class.name);
        let in_time = self.deadline.since(cx.now) > hedge::likely(latency);
        if let Some(newest) = newest.filter(|_| in_time) {
            let newest = Arc::clone(newest);
            self.restart(cx, newest, actions);
        }
    }

    fn may_restart(&self) -> bool {
        let reachable = Ratio::of(
            KeyRange::ALL.width() - self.lost_keys,
            KeyRange::ALL.width(),
        );
        let runs_twice = !self.class.targets.repeatable && self.may_have_run();
        reachable < self.class.targets.coverage
            && self.restarts < MOST_RESTARTS
            && !runs_twice
            && !self.crashes.suspected()
    }

    fn restart(&mut self, cx: &mut Context<'_>, newest: Arc<Snapshot>, actions: &mut Vec<Action>) {
        self.cancel_all(cx, actions);
        self.keep_previous();
        self.restarts += 1;
        self.snapshot_lost = false;
        self.snapshot = newest;
        self.shards.clear();
        self.shards
            .resize_with(self.snapshot.shards.len(), ShardState::default);
        self.unsettled = self.shards.len();
        self.replied = 0;
        self.lost_keys = 0;
        self.held.clear();
        self.send_first_legs(cx, actions);
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
            if let Phase::Replied(body) = &mut state.phase {
                parts.push(Part {
                    shard: shard.id,
                    range: shard.range,
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
