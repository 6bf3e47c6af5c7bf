//! Newtypes for ids, sizes, rates and times.
//!
//! Bare integers and strings are never passed between modules, so that a shard
//! cannot be mistaken for a snapshot or milliseconds for microseconds. Every type
//! here has `Display` and `FromStr`; see `docs/DESIGN.md`, "Data".

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

pub use id::{
    CellSeq, ChangeId, ChangeNumber, ConfigVersion, Epoch, Fingerprint, Incarnation, LegId,
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

/// Why a text is not a valid value of one of these types.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("could not read {what} from {text:?}: {reason}")]
pub struct ParseError {
    /// The type that was wanted.
    pub what: &'static str,
    /// The text that was given, cut to a bounded length.
    pub text: String,
    /// The rule that the text breaks.
    pub reason: &'static str,
}

impl ParseError {
    const TEXT_CHARS: usize = 80;

    pub(crate) fn new(what: &'static str, text: &str, reason: &'static str) -> Self {
        let text = text.chars().take(Self::TEXT_CHARS).collect();
        Self { what, text, reason }
    }
}
