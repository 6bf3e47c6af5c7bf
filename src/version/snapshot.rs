//! Snapshots of an index: which shards there are, and which replicas hold them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::types::{
    ConnectionCount, FailureDomain, IndexName, KeyRange, ServiceName, ShardId, SlotCount,
    SnapshotId, Span, UpstreamName,
};

/// One published state of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The index it is a state of.
    pub index: IndexName,
    /// Its place in the order of snapshots of that index.
    pub id: SnapshotId,
    /// The shards, whose ranges together hold every key once.
    pub shards: Vec<Shard>,
}

/// One part of the key space and who holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The shard's number in its snapshot.
    pub id: ShardId,
    /// The keys it holds.
    pub range: KeyRange,
    /// The service whose replicas these are, when repeats are bounded for each service.
    pub service: Option<ServiceName>,
    /// The replicas, of which one is enough for an answer.
    pub replicas: Vec<Arc<UpstreamSpec>>,
}

/// What the platform states about an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// How many legs it runs at the same time, for all instances together.
    pub slots: SlotCount,
    /// How many connections it accepts from all instances together.
    pub connections: ConnectionCount,
    /// What a new connection costs it.
    pub connect_cost: Span,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}
