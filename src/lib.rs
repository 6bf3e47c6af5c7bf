//! A query tier over many shards: any instance accepts a query, sends it to one replica
//! of every shard of one snapshot, and returns one answer that states its coverage.
//!
//! Modules are organized by life span: [`request`](Query), connection, version
//! ([`Directory`]) and process ([`Upstreams`]). The public items are re-exported here.
//! For an overview see `docs/DESIGN.md`.

mod cmd;
mod connection;
mod error;
mod platform;
mod process;
mod request;
#[cfg(test)]
mod seeded_tests;
mod types;
mod version;

pub use cmd::{Cmd, LoadArgs, ServeArgs};
pub use connection::{
    AcceptedWire, AddressWire, AddressesWire, AnswerWire, AuditWire, CellStatusWire, ClassListWire,
    CoverageWire, IndexStatusWire, MemberStatusWire, MembersWire, PartWire, RefusalWire,
    RefusedChangeWire, StatusWire, TargetsWire, UpstreamStatusWire,
};
pub use error::{ErrorKind, KindRow, Ran, Refusal};
pub use platform::ObjectStore;
pub use process::{
    Admission, AdmissionRequest, CallRates, Change, Changes, Choice, ClassBudgets, Expected,
    ExtraLeg, LegEnd, Limits, ListedInstance, Listing, Object, ObjectKey, Platform, PlatformError,
    QueryEnd, RetryLimits, SelectionRequest, ServiceRetryBudgets, Settings, SettingsError,
    Suspects, Ticket, Upstreams,
};
pub use request::{
    Action, Answer, Body, Context, Event, LegFailure, LegReply, LegRequest, Part, Query,
    QueryOptions, QueryRequest, ReplyHead,
};
pub use types::{
    ByteCount, CallerName, CellSeq, ChangeId, ChangeNumber, ClassName, ConfigVersion,
    ConnectionCount, Coverage, Epoch, Era, FailureDomain, Fingerprint, IdempotencyKey, Incarnation,
    IndexName, InstanceName, KeyRange, LegId, ObjectVersion, OperatorKey, OperatorName, ParseError,
    PeerKey, PerSecond, Position, QueryId, Ratio, Region, Revision, RouteName, ServiceName,
    ShardId, SlotCount, SnapshotId, Span, Timestamp, UnixSeconds, UpstreamName,
};
pub use version::{
    ChangeWire, Class, ClassWire, ClassesWire, Directory, Index, IndexWire, Shard, ShardWire,
    Snapshot, SnapshotWire, Targets, UpstreamSpec, UpstreamWire, WireError,
};
