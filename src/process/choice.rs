//! What the choice among replicas is asked, what it says, and what it learns from.

use std::sync::Arc;

use crate::request::LegFailure;
use crate::types::{SnapshotId, Timestamp};
use crate::version::UpstreamSpec;

/// How a leg ended, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegEnd {
    /// The upstream replied.
    Replied,
    /// The leg failed.
    Failed(LegFailure),
    /// The reply was no longer needed.
    Cancelled,
}

/// The replicas of one shard, of which one is sought.
#[derive(Clone, Copy, Debug)]
pub struct Seeking<'a> {
    /// All replicas of the shard; those beyond the first 64 are never chosen.
    pub replicas: &'a [Arc<UpstreamSpec>],
    /// One bit for each replica that was tried already.
    pub tried: u64,
    /// The snapshot that it has to hold.
    pub snapshot: SnapshotId,
}

/// Where the next leg of a shard goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To the replica of this index, at once.
    Replica(usize),
    /// To nobody now; a replica may have room at this time.
    RoomAt(Timestamp),
    /// To nobody: no replica is left that could run it.
    Nobody {
        /// Whether a replica is left out because it lost the snapshot.
        gone: bool,
    },
}
