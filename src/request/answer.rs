//! The answer to one request.

use super::ReplyHead;
use crate::types::{Coverage, KeyRange, QueryId, ShardId, SnapshotId, Span};

/// What a caller gets: parts of one snapshot, and which keys they cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request that it answers.
    pub query: QueryId,
    /// The snapshot that every part is from.
    pub snapshot: SnapshotId,
    /// The keys that the parts cover.
    pub coverage: Coverage,
    /// Whether the coverage meets the class's target.
    pub meets_target: bool,
    /// One part for each shard that replied, in the order of shards.
    pub parts: Vec<Part>,
    /// How many legs were sent.
    pub legs: u32,
    /// How long the request took inside the instance.
    pub took: Span,
}

/// One shard's part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The shard it is from.
    pub shard: ShardId,
    /// The keys that shard holds.
    pub range: KeyRange,
    /// What the upstream stated beside it.
    pub head: Option<Box<ReplyHead>>,
    /// The upstream's reply, passed on unread.
    pub body: Vec<u8>,
}

impl Part {
    /// Whether the upstream did what it was asked, as far as it says.
    pub(crate) fn is_success(&self) -> bool {
        self.head.as_ref().is_none_or(|head| head.is_success())
    }
}
