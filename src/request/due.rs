//! The times at which the shards of one query have something to decide.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::Timestamp;

/// Due times of shards, soonest first, and which of them the query asked to be woken at.
#[derive(Debug, Default)]
pub(super) struct DueTimes {
    times: BinaryHeap<Reverse<(Timestamp, usize)>>,
    armed: Option<Timestamp>,
}

impl DueTimes {
    pub(super) fn add(&mut self, at: Timestamp, shard_at: usize) {
        self.times.push(Reverse((at, shard_at)));
    }

    /// Takes the next shard whose time has come, with that time.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<(Timestamp, usize)> {
        let Reverse((at, _)) = self.times.peek()?;
        if *at > now {
            return None;
        }
        self.times.pop().map(|Reverse(due)| due)
    }

    /// The time to ask to be woken at, unless that was asked already.
    pub(super) fn arm(&mut self, now: Timestamp) -> Option<Timestamp> {
        let Reverse((at, _)) = *self.times.peek()?;
        let covered = self.armed.is_some_and(|armed| armed > now && armed <= at);
        if covered {
            return None;
        }
        self.armed = Some(at);
        Some(at)
    }

    pub(super) fn clear(&mut self) {
        self.times.clear();
    }
}
