//! Which snapshots the upstreams hold, as queries found out.
//!
//! A snapshot may be published before its upstreams have loaded it and be dropped while
//! queries still read it. Once a query finds a shard without any replica that holds a
//! snapshot, other queries leave it alone; one at a time looks again. See
//! `docs/DESIGN.md`, "Snapshot".

use super::Table;
use crate::types::{IndexName, SnapshotId, Span, Timestamp};
use crate::version::Snapshot;

const LOOK_AGAIN_AFTER: Span = Span::from_secs(1);
const MOST_FOR_AN_INDEX: usize = 8;

/// The snapshots of each index that are not held, and when to look again.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    missing: Table<IndexName, Vec<(SnapshotId, Timestamp)>>,
}

impl Held {
    /// Whether a query may set out on the snapshot. When it is time to look again, this
    /// says so to one query and lets the others wait for what it finds.
    pub(super) fn expects(&mut self, now: Timestamp, snapshot: &Snapshot) -> bool {
        let Some(missing) = self.missing.get_mut(&snapshot.index) else {
            return true;
        };
        let known = missing.iter_mut().find(|(id, _)| *id == snapshot.id);
        match known {
            Some((_, look_again)) if now < *look_again => false,
            Some((_, look_again)) => {
                *look_again = now + LOOK_AGAIN_AFTER;
                true
            }
            None => true,
        }
    }

    /// Notes that a shard has no replica that holds the snapshot.
    pub(super) fn note_missing(&mut self, now: Timestamp, snapshot: &Snapshot) {
        let missing = self.missing.entry(snapshot.index.clone()).or_default();
        missing.retain(|(id, _)| *id != snapshot.id);
        if missing.len() == MOST_FOR_AN_INDEX {
            missing.remove(0);
        }
        missing.push((snapshot.id, now + LOOK_AGAIN_AFTER));
    }

    /// Notes that a query was answered whole from the snapshot.
    pub(super) fn note_held(&mut self, snapshot: &Snapshot) {
        if let Some(missing) = self.missing.get_mut(&snapshot.index) {
            missing.retain(|(id, _)| *id != snapshot.id);
        }
    }
}
