//! The messages between a follower and its parent.

use super::{Chunk, Entry, InstanceRecord, LargeObject, SilenceReport, SilentReplica};
use crate::types::{ChunkId, Era, Fingerprint, Incarnation, InstanceName, Position, Span};

/// Why an instance sends a request for updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowReason {
    /// It follows the receiver, and sends its next request at once.
    Follows,
    /// It knows nothing yet and requests everything, once.
    Joins,
    /// It probes once whether a lost instance is present.
    Looks,
}

/// A request for the updates that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FollowRequest {
    pub(crate) from: InstanceRecord,
    pub(crate) reason: FollowReason,
    /// The process to which the positions `objects` and `members` refer.
    pub(crate) of: Incarnation,
    /// The position up to which the sender has that process's objects.
    pub(crate) objects: Position,
    /// The position up to which the sender has that process's instances.
    pub(crate) members: Position,
    /// The instance records that the sender has not sent to the receiver yet.
    pub(crate) learned: Vec<InstanceRecord>,
    /// Requests that crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
    /// Replicas that the sender or its followers found silent.
    pub(crate) silent: Vec<SilenceReport>,
    /// The chunks that the sender lacks of announced objects.
    pub(crate) chunks: Vec<ChunkId>,
    /// Whether the sender understands eras of the store. The version before does not.
    pub(crate) knows_eras: bool,
}

/// The updates that a follower lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Updates {
    pub(crate) from: InstanceRecord,
    /// The process that sends the updates.
    pub(crate) of: Incarnation,
    /// The latest era of the store that the sender knows; none if one of both does not understand
    /// eras.
    pub(crate) era: Option<Era>,
    /// How long ago the store confirmed the objects; none if it never did, or if the sender has lost
    /// contact with the instances that it follows.
    pub(crate) age: Option<Span>,
    /// The instances that the objects were passed on by, the sender first.
    pub(crate) via: Vec<InstanceName>,
    pub(crate) objects: Vec<Entry>,
    /// Announces objects whose values are sent in chunks.
    pub(crate) large: Vec<LargeObject>,
    /// Requested chunks of announced objects.
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) objects_to: Position,
    /// Whether these are all updates that the sender has for the follower now, apart from
    /// the values of announced objects.
    pub(crate) is_complete: bool,
    pub(crate) members: Vec<InstanceRecord>,
    pub(crate) members_to: Position,
    /// Requests that crashed upstreams.
    pub(crate) poison: Vec<Fingerprint>,
    /// Replicas that enough instances found silent.
    pub(crate) silent: Vec<SilentReplica>,
}

impl Updates {
    /// Returns the approximate size of the objects in the message.
    pub(super) fn size(&self) -> usize {
        let objects = self.objects.iter().map(Entry::size);
        let chunks = self.chunks.iter().map(|chunk| chunk.compressed.len());
        objects.chain(chunks).sum()
    }
}
