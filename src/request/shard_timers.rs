//! The pending timers of the shards of one query.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::types::Timestamp;

/// Timers of shards, soonest first, and the wake-up that the query last requested.
#[derive(Debug, Default)]
pub(super) struct ShardTimers {
    times: BinaryHeap<Reverse<(Timestamp, usize)>>,
    requested_wake: Option<Timestamp>,
}

impl ShardTimers {
    pub(super) fn add(&mut self, at: Timestamp, shard_at: usize) {
        self.times.push(Reverse((at, shard_at)));
    }

    /// Removes the soonest timer that has expired and returns its time and shard.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<(Timestamp, usize)> {
        let Reverse((at, _)) = self.times.peek()?;
        if *at > now {
            return None;
        }
        self.times.pop().map(|Reverse(timer)| timer)
    }

    /// Returns the time of the next wake-up to request, or `None` if a requested one
    /// comes early enough.
    pub(super) fn request_wake(&mut self, now: Timestamp) -> Option<Timestamp> {
        let Reverse((at, _)) = *self.times.peek()?;
        let covered = self
            .requested_wake
            .is_some_and(|requested| requested > now && requested <= at);
        if covered {
            return None;
        }
        self.requested_wake = Some(at);
        Some(at)
    }

    pub(super) fn clear(&mut self) {
        self.times.clear();
    }
}
