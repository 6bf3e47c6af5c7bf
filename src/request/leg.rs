//! A leg: one attempt to run one query on one replica of one shard.

use std::fmt;
use std::sync::Arc;

use super::Body;
use crate::error::Ran;
use crate::process::ExtraLeg;
use crate::types::{KeyRange, LegId, QueryId, ShardId, SnapshotId, Span, Timestamp};
use crate::version::UpstreamSpec;

/// A request to an upstream to run one leg.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegRequest {
    /// The query that the leg belongs to.
    pub query: QueryId,
    /// The id of the leg within its query.
    pub leg: LegId,
    /// The replica that receives the leg.
    pub upstream: Arc<UpstreamSpec>,
    /// The snapshot to read.
    pub snapshot: SnapshotId,
    /// The shard to read.
    pub shard: ShardId,
    /// The key range of the shard.
    pub range: KeyRange,
    /// Whether the query may run more than once.
    pub repeatable: bool,
    /// Why the leg is sent, unless it is the shard's first.
    pub extra: Option<ExtraLeg>,
    /// Time left until the deadline when the leg is sent.
    pub time_left: Span,
    /// The body of the query.
    pub body: Arc<[u8]>,
}

/// A reply from an upstream, with the ids that the upstream states for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegReply {
    /// The query that the upstream states it ran.
    pub query: QueryId,
    /// The leg that the upstream states it ran.
    pub leg: LegId,
    /// The snapshot that the upstream states it read.
    pub snapshot: SnapshotId,
    /// The key range that the upstream states it searched.
    pub range: KeyRange,
    /// Status and headers, if the upstream's protocol has them.
    pub head: Option<Box<ReplyHead>>,
    /// The body of the reply.
    pub body: Body,
}

/// Status and headers of a reply. Only front ends read the proof and the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// The HTTP status.
    pub status: u16,
    /// The proof that the upstream produced this reply.
    pub proof: Option<String>,
    /// Header fields that are forwarded to the caller.
    pub fields: Vec<(String, Vec<u8>)>,
}

impl ReplyHead {
    /// Whether the status is a success (2xx).
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Why a leg has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LegFailure {
    /// No connection could be established.
    Unreachable,
    /// This instance's share of the upstream's slots or connections is exhausted.
    NoShare,
    /// The upstream is overloaded and did not run the leg.
    Shed,
    /// The upstream is shutting down and did not run the leg.
    Draining,
    /// The upstream no longer holds the snapshot.
    SnapshotGone,
    /// The time left expired at the upstream.
    OutOfTime,
    /// The connection broke while the leg was in flight.
    Lost,
    /// The connection went silent while the leg was in flight.
    Silent,
    /// The reply is truncated or does not match the leg.
    Mangled,
    /// The upstream reported an error.
    Failed,
    /// This instance had no memory left for the reply.
    NoMemory,
}

impl LegFailure {
    /// Whether the upstream may have run the leg despite the failure.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::Unreachable
            | Self::NoShare
            | Self::Shed
            | Self::Draining
            | Self::SnapshotGone => Ran::NotRun,
            Self::OutOfTime
            | Self::Lost
            | Self::Silent
            | Self::Mangled
            | Self::Failed
            | Self::NoMemory => Ran::MayHaveRun,
        }
    }

    /// The stable name used in metrics and logs.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoShare => "no-share",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::SnapshotGone => "snapshot-gone",
            Self::OutOfTime => "out-of-time",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Mangled => "mangled",
            Self::Failed => "failed",
            Self::NoMemory => "no-memory",
        }
    }
}

impl fmt::Display for LegFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A query's record of one of its legs. It is kept after the leg ends, so that a late reply
/// cannot be mistaken for the reply to another leg.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leg {
    pub(super) shard_at: usize,
    pub(super) replica_at: usize,
    pub(super) sent: Timestamp,
    pub(super) open: bool,
    pub(super) extra: Option<ExtraLeg>,
}
