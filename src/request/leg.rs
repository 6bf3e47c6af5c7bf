//! One leg: one attempt of one query at one shard on one replica.

use std::fmt;
use std::sync::Arc;

use crate::error::Ran;
use crate::process::Extra;
use crate::types::{KeyRange, LegId, QueryId, ShardId, SnapshotId, Span, Timestamp};
use crate::version::UpstreamSpec;

/// What an upstream is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegRequest {
    /// The query that the leg belongs to.
    pub query: QueryId,
    /// The leg within its query.
    pub leg: LegId,
    /// The replica that is to run it.
    pub upstream: Arc<UpstreamSpec>,
    /// The snapshot to read.
    pub snapshot: SnapshotId,
    /// The shard to read.
    pub shard: ShardId,
    /// The keys of that shard.
    pub range: KeyRange,
    /// What it is sent for, when it is not the first of its shard.
    pub extra: Option<Extra>,
    /// How much time is left when it is sent.
    pub time_left: Span,
    /// The query itself.
    pub body: Arc<[u8]>,
}

/// What an upstream replied, with the ids it says the reply is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LegReply {
    /// The query it says it ran.
    pub query: QueryId,
    /// The leg it says it ran.
    pub leg: LegId,
    /// The snapshot it says it read.
    pub snapshot: SnapshotId,
    /// The keys it says it searched.
    pub range: KeyRange,
    /// What came with it, where the upstream's protocol says more than the body.
    pub head: Option<Box<ReplyHead>>,
    /// The reply itself.
    pub body: Vec<u8>,
}

/// What an upstream states beside the body of its reply; only front ends read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// The status of the reply.
    pub status: u16,
    /// The upstream's proof that it made this reply.
    pub proof: Option<String>,
    /// The fields that are passed on to the caller.
    pub fields: Vec<(String, Vec<u8>)>,
}

impl ReplyHead {
    /// Whether the upstream says that it did what it was asked.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Why a leg has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LegFailure {
    /// No connection could be made.
    Unreachable,
    /// The instance's own share of the upstream's slots or connections is used up.
    NoShare,
    /// The upstream has too much to do and did not run it.
    Shed,
    /// The upstream is leaving and did not run it.
    Draining,
    /// The upstream no longer holds the snapshot.
    SnapshotGone,
    /// The upstream ran out of the time it was given.
    OutOfTime,
    /// The connection broke while the leg was under way.
    Lost,
    /// The connection went silent while the leg was under way.
    Silent,
    /// The reply is truncated, or for something else.
    Mangled,
    /// The upstream reported an error of its own.
    Failed,
}

impl LegFailure {
    /// Whether the upstream may have run the leg all the same.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::Unreachable
            | Self::NoShare
            | Self::Shed
            | Self::Draining
            | Self::SnapshotGone => Ran::NotRun,
            Self::OutOfTime | Self::Lost | Self::Silent | Self::Mangled | Self::Failed => {
                Ran::MayHaveRun
            }
        }
    }

    /// The stable name in metrics and logs.
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
        }
    }
}

impl fmt::Display for LegFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A leg as its query remembers it, also after its end, so that nothing that comes
/// late can be taken for a reply to another leg.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leg {
    pub(super) shard_at: usize,
    pub(super) replica_at: usize,
    pub(super) sent: Timestamp,
    pub(super) open: bool,
    pub(super) extra: Option<Extra>,
}
