//! One shard of one query: what was tried and what it waits for.

use super::{ReplyHead, Terms};
use crate::process::Extra;
use crate::types::{LegId, Timestamp};

const MOST_OPEN: usize = 2;

/// How far a query is with one shard.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    pub(super) phase: Phase,
    /// The time of the only entry in the query's due times that still counts.
    pub(super) due: Option<Timestamp>,
    pub(super) legs: u32,
    /// Legs that provably did not run.
    pub(super) not_run: u32,
    tried: u64,
    open: [Option<LegId>; MOST_OPEN],
}

/// What a shard is waiting for.
#[derive(Debug, Default)]
pub(super) enum Phase {
    /// Its first leg.
    #[default]
    New,
    /// Room at a replica, since the given time.
    Waiting(Option<Extra>, Timestamp),
    /// Proof that the query does not crash upstreams.
    Held(Option<Extra>),
    /// A reply.
    UnderWay,
    /// Nothing: this is the reply.
    Replied(Option<Box<ReplyHead>>, Vec<u8>),
    /// Nothing: no reply will come.
    GivenUp,
}

impl ShardState {
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Replied(..) | Phase::GivenUp)
    }

    pub(super) fn is_replied(&self) -> bool {
        matches!(self.phase, Phase::Replied(..))
    }

    pub(super) fn tried(&self) -> u64 {
        self.tried
    }

    /// How many of its replicas were not asked.
    pub(super) fn untouched(&self, replicas: usize) -> usize {
        replicas.saturating_sub(self.tried.count_ones() as usize)
    }

    /// Whether one more leg may be sent, whatever for.
    pub(super) fn has_legs_left(&self, terms: &Terms) -> bool {
        let may_have_run = self.legs - self.not_run;
        may_have_run < terms.most_runs && self.legs < terms.most_legs
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

    /// Lets a replica be asked again that had no time for the leg.
    pub(super) fn forget(&mut self, replica_at: usize) {
        self.tried &= !(1 << replica_at);
    }
}
