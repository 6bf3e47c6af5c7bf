//! The availability of snapshots at the upstreams, as observed by queries.
//!
//! A snapshot may be published before its upstreams have loaded it, and dropped while
//! queries still read it. Once a query finds a shard without any replica that holds a
//! snapshot, other queries avoid that snapshot, and one query at a time checks it again.
//! See `docs/DESIGN.md`, "Snapshot".

use super::Table;
use crate::types::{IndexName, SnapshotId, Span, Timestamp};
use crate::version::Snapshot;

const RECHECK_AFTER: Span = Span::from_secs(1);
const MAX_PER_INDEX: usize = 8;

/// The unavailable snapshots of each index, and when to check them again.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotAvailability {
    missing: Table<IndexName, Vec<(SnapshotId, Timestamp)>>,
}

impl SnapshotAvailability {
    /// Whether a query may use the snapshot. When a check is due, returns true to one query;
    /// the others avoid the snapshot until its result is known or the next check is due.
    pub(super) fn may_use(&mut self, now: Timestamp, snapshot: &Snapshot) -> bool {
        let Some(missing) = self.missing.get_mut(&snapshot.index) else {
            return true;
        };
        let known = missing.iter_mut().find(|(id, _)| *id == snapshot.id);
        match known {
            Some((_, recheck_at)) if now < *recheck_at => false,
            Some((_, recheck_at)) => {
                *recheck_at = now + RECHECK_AFTER;
                true
            }
            None => true,
        }
    }

    /// Records that a shard has no replica that holds the snapshot.
    pub(super) fn note_missing(&mut self, now: Timestamp, snapshot: &Snapshot) {
        let missing = self.missing.entry(snapshot.index.clone()).or_default();
        missing.retain(|(id, _)| *id != snapshot.id);
        if missing.len() == MAX_PER_INDEX {
            missing.remove(0);
        }
        missing.push((snapshot.id, now + RECHECK_AFTER));
    }

    /// Records that a query got a complete answer from the snapshot.
    pub(super) fn note_snapshot_available(&mut self, snapshot: &Snapshot) {
        if let Some(missing) = self.missing.get_mut(&snapshot.index) {
            missing.retain(|(id, _)| *id != snapshot.id);
        }
    }
}
