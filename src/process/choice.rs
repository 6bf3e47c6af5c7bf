//! The input, the result and the feedback of replica selection.

use std::sync::Arc;

use crate::request::LegFailure;
use crate::types::{SnapshotId, Timestamp};
use crate::version::UpstreamSpec;

/// How a leg ended, from the point of view of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegEnd {
    /// The upstream replied.
    Replied,
    /// The leg failed.
    Failed(LegFailure),
    /// The leg was cancelled because its reply was no longer needed.
    Cancelled,
}

/// The replicas of one shard to select from.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// All replicas of the shard. Only the first 64 can be chosen.
    pub replicas: &'a [Arc<UpstreamSpec>],
    /// One bit for each replica that was already tried, by index.
    pub tried: u64,
    /// The snapshot that the replica must hold.
    pub snapshot: SnapshotId,
}

/// The replica for the next leg of a shard, if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the leg to the replica with this index now.
    Replica(usize),
    /// No replica has capacity now; one may have at this time.
    RoomAt(Timestamp),
    /// No replica is left that could run the leg.
    NoReplica {
        /// Whether a replica was excluded because it no longer has the snapshot.
        gone: bool,
    },
}
