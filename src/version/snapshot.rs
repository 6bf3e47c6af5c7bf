//! Snapshots of an index: its shards and the replicas that hold them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::types::{
    ConnectionCount, FailureDomain, IndexName, KeyRange, ServiceName, ShardId, SlotCount,
    SnapshotId, Span, UpstreamName,
};

/// One published state of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The index.
    pub index: IndexName,
    /// The id of the snapshot; a newer snapshot of the index has a higher one.
    pub id: SnapshotId,
    /// The shards, whose ranges together cover every key exactly once.
    pub shards: Vec<Shard>,
}

/// One range of the key space and the replicas that hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The shard's number in its snapshot.
    pub id: ShardId,
    /// The keys it holds.
    pub range: KeyRange,
    /// The service of the replicas, if retries are limited per service.
    pub service: Option<ServiceName>,
    /// The replicas; a reply from any one of them is sufficient.
    pub replicas: Vec<Arc<UpstreamSpec>>,
}

/// An upstream as described by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The address on which it accepts connections.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The number of legs it runs concurrently, for all instances together.
    pub slots: SlotCount,
    /// The number of connections it accepts from all instances together.
    pub connections: ConnectionCount,
    /// The time that a new connection costs it.
    pub connect_cost: Span,
    /// Whether the platform reports that it is leaving.
    pub leaving: bool,
}
