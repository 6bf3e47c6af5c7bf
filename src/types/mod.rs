//! Newtypes for ids, sizes, rates and times.
//!
//! Modules exchange these types instead of plain integers and strings, so that a
//! shard id cannot be confused with a snapshot id, or milliseconds with microseconds.
//! Every type here has `Display` and `FromStr`; see `docs/DESIGN.md`, "The shape, and how each
//! part keeps to it".

mod id;
mod key;
mod name;
mod number;
mod rate;
mod secret;
mod size;
mod time;

#[cfg(test)]
mod types_tests;

pub(crate) use id::ChunkId;
pub use id::{
    CellSeq, ChangeId, ChangeNumber, ConfigVersion, Epoch, Era, Fingerprint, Incarnation, LegId,
    ObjectVersion, Position, QueryId, Revision, ShardId, SnapshotId,
};
pub use key::{Coverage, KeyRange};
pub use name::{
    CallerName, ClassName, FailureDomain, IdempotencyKey, IndexName, InstanceName, OperatorName,
    Region, RouteName, ServiceName, UpstreamName,
};
pub use rate::{PerSecond, Ratio};
pub use secret::{OperatorKey, PeerKey};
pub use size::{ByteCount, ConnectionCount, SlotCount};
pub use time::{Span, Timestamp, UnixSeconds};

/// A text could not be parsed as one of these types.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("could not read {what} from {text:?}: {reason}")]
pub struct ParseError {
    /// The expected type.
    pub what: &'static str,
    /// The input, truncated to 80 characters.
    pub text: String,
    /// The rule that the input violates.
    pub reason: &'static str,
}

impl ParseError {
    const MAX_TEXT_CHARS: usize = 80;

    pub(crate) fn new(what: &'static str, text: &str, reason: &'static str) -> Self {
        let text = text.chars().take(Self::MAX_TEXT_CHARS).collect();
        Self { what, text, reason }
    }
}
