//! The answer to one request.

use super::{Body, ReplyHead};
use crate::types::{Coverage, KeyRange, QueryId, ShardId, SnapshotId, Span};

/// The parts that the shards of one snapshot returned, and the keys that they cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The query that this answers.
    pub query: QueryId,
    /// The snapshot that all parts were read from.
    pub snapshot: SnapshotId,
    /// The keys that the parts cover.
    pub coverage: Coverage,
    /// Whether the coverage reaches the target of the class.
    pub meets_target: bool,
    /// One part per shard that replied, in shard order.
    pub parts: Vec<Part>,
    /// Number of legs sent.
    pub legs: u32,
    /// Time that the query spent in this instance.
    pub took: Span,
}

/// The part of an answer that one shard returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The shard that returned this part.
    pub shard: ShardId,
    /// The key range of the shard.
    pub range: KeyRange,
    /// The status and headers of the upstream's reply, if its protocol has them.
    pub head: Option<Box<ReplyHead>>,
    /// The body of the upstream's reply, forwarded without parsing.
    pub body: Body,
}

impl Part {
    /// Whether the reply has a success status; a reply without a head counts as a success.
    pub(crate) fn is_success(&self) -> bool {
        self.head.as_ref().is_none_or(|head| head.is_success())
    }
}
