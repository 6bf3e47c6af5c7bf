//! The state of one shard of one query: the replicas tried and what it waits for.

use super::{Body, QueryOptions, ReplyHead};
use crate::process::ExtraLeg;
use crate::types::{LegId, Timestamp};

const MAX_OPEN_LEGS: usize = 2;

/// The progress of a query on one shard.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    pub(super) phase: Phase,
    /// The time of the shard's current timer; other timers of the shard are outdated.
    pub(super) next_wake: Option<Timestamp>,
    /// Number of legs sent.
    pub(super) legs: u32,
    /// Number of legs that provably did not run.
    pub(super) not_run: u32,
    /// One bit per replica that was sent a leg and did not lack the capacity to run it.
    tried: u64,
    open: [Option<LegId>; MAX_OPEN_LEGS],
}

/// What a shard waits for, or how it ended.
#[derive(Debug, Default)]
pub(super) enum Phase {
    /// No leg was attempted yet.
    #[default]
    New,
    /// Has waited since the given time for a replica with capacity.
    Waiting(Option<ExtraLeg>, Timestamp),
    /// The leg waits until a reply clears the query of crashing upstreams.
    Quarantined(Option<ExtraLeg>),
    /// At least one leg is in flight.
    InFlight,
    /// The reply of the shard.
    Replied(Option<Box<ReplyHead>>, Body),
    /// No reply is expected any more.
    Abandoned,
}

impl ShardState {
    pub(super) fn is_resolved(&self) -> bool {
        matches!(self.phase, Phase::Replied(..) | Phase::Abandoned)
    }

    pub(super) fn is_replied(&self) -> bool {
        matches!(self.phase, Phase::Replied(..))
    }

    pub(super) fn tried(&self) -> u64 {
        self.tried
    }

    /// Number of replicas that were not tried.
    pub(super) fn untried_count(&self, replicas: usize) -> usize {
        replicas.saturating_sub(self.tried.count_ones() as usize)
    }

    /// Whether the limits of the query allow one more leg of any kind.
    pub(super) fn has_legs_left(&self, options: &QueryOptions) -> bool {
        let may_have_run = self.legs - self.not_run;
        may_have_run < options.max_runs && self.legs < options.max_legs
    }

    pub(super) fn open_legs(&self) -> impl Iterator<Item = LegId> + use<> {
        self.open.into_iter().flatten()
    }

    pub(super) fn open(&mut self, leg: LegId, replica_at: usize) {
        self.legs += 1;
        self.tried |= 1 << replica_at;
        if let Some(free) = self.open.iter_mut().find(|slot| slot.is_none()) {
            *free = Some(leg);
        }
    }

    pub(super) fn close(&mut self, leg: LegId) {
        for slot in &mut self.open {
            if *slot == Some(leg) {
                *slot = None;
            }
        }
    }

    /// Allows another leg to a replica that had no capacity for the last one.
    pub(super) fn mark_untried(&mut self, replica_at: usize) {
        self.tried &= !(1 << replica_at);
    }
}
