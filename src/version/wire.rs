//! The encoding of indexes in the platform's objects, separate from the types that decisions use;
//! see `docs/INTERFACES.md`.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Index, Shard, Snapshot, UpstreamSpec};
use crate::types::{
    ConnectionCount, Coverage, KeyRange, ObjectVersion, ParseError, ShardId, SlotCount, SnapshotId,
    UpstreamName,
};

/// An object of the platform is not a valid class list or index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WireError {
    /// The text of a field is not a valid value of its type.
    #[error("field {field}: {cause}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// Why the text is not valid.
        cause: ParseError,
    },
    /// An address is not an IP address and a port.
    #[error("field addr: {0:?} is not an IP address and a port")]
    Addr(String),
    /// A shard refers to an upstream that the index does not list.
    #[error("shard {shard} of snapshot {snapshot} refers to the unknown upstream {upstream:?}")]
    UnknownUpstream {
        /// The snapshot.
        snapshot: SnapshotId,
        /// The shard.
        shard: ShardId,
        /// The unknown name.
        upstream: String,
    },
    /// The shards of a snapshot do not cover every key, or cover some keys twice.
    #[error("the shards of snapshot {0} do not cover every key exactly once")]
    Partition(SnapshotId),
}

pub(super) fn parse_field<T>(field: &'static str, text: &str) -> Result<T, WireError>
where
    T: std::str::FromStr<Err = ParseError>,
{
    text.parse()
        .map_err(|cause| WireError::Field { field, cause })
}

/// The object that holds one index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexWire {
    /// The index's name.
    pub name: String,
    /// The upstreams of all snapshots.
    pub upstreams: Vec<UpstreamWire>,
    /// The published snapshots.
    pub snapshots: Vec<SnapshotWire>,
}

/// One upstream of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamWire {
    /// The upstream's name.
    pub name: String,
    /// IP address and port.
    pub addr: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The number of legs it runs concurrently, for all instances together.
    pub slots: u32,
    /// The number of connections it accepts from all instances together.
    pub connections: u32,
    /// The time that a new connection costs, such as `6ms`.
    pub connect_cost: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One snapshot of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotWire {
    /// The id; a newer snapshot of the index has a higher one.
    pub id: u64,
    /// The shards.
    pub shards: Vec<ShardWire>,
}

/// One shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardWire {
    /// The shard's number.
    pub id: u32,
    /// The keys it holds, such as `00000000-7fffffff`.
    pub range: String,
    /// The names of its replicas.
    pub replicas: Vec<String>,
}

impl TryFrom<&UpstreamWire> for UpstreamSpec {
    type Error = WireError;

    fn try_from(wire: &UpstreamWire) -> Result<Self, WireError> {
        Ok(Self {
            name: parse_field("name", &wire.name)?,
            addr: wire
                .addr
                .parse()
                .map_err(|_| WireError::Addr(wire.addr.clone()))?,
            failure_domain: parse_field("failure_domain", &wire.failure_domain)?,
            slots: SlotCount(wire.slots),
            connections: ConnectionCount(wire.connections),
            connect_cost: parse_field("connect_cost", &wire.connect_cost)?,
            leaving: wire.leaving,
        })
    }
}

impl TryFrom<(&IndexWire, ObjectVersion)> for Index {
    type Error = WireError;

    fn try_from((wire, version): (&IndexWire, ObjectVersion)) -> Result<Self, WireError> {
        let mut upstreams = IndexMap::with_capacity(wire.upstreams.len());
        for upstream in &wire.upstreams {
            let spec = Arc::new(UpstreamSpec::try_from(upstream)?);
            upstreams.insert(spec.name.clone(), spec);
        }
        let mut index = Self {
            name: parse_field("name", &wire.name)?,
            version,
            snapshots: Vec::with_capacity(wire.snapshots.len()),
            upstreams,
        };
        for snapshot in &wire.snapshots {
            let snapshot = decode_snapshot(&index, snapshot)?;
            index.snapshots.push(Arc::new(snapshot));
        }
        index
            .snapshots
            .sort_by_key(|snapshot| std::cmp::Reverse(snapshot.id));
        Ok(index)
    }
}

fn decode_snapshot(index: &Index, wire: &SnapshotWire) -> Result<Snapshot, WireError> {
    let id = SnapshotId(wire.id);
    let mut shards = Vec::with_capacity(wire.shards.len());
    for shard in &wire.shards {
        shards.push(decode_shard(index, id, shard)?);
    }
    check_partition(id, &shards)?;
    Ok(Snapshot {
        index: index.name.clone(),
        id,
        shards,
    })
}

fn decode_shard(index: &Index, snapshot: SnapshotId, wire: &ShardWire) -> Result<Shard, WireError> {
    let id = ShardId(wire.id);
    let mut replicas = Vec::with_capacity(wire.replicas.len());
    for name in &wire.replicas {
        let upstream_name: UpstreamName = parse_field("replicas", name)?;
        let spec =
            index
                .upstreams
                .get(&upstream_name)
                .ok_or_else(|| WireError::UnknownUpstream {
                    snapshot,
                    shard: id,
                    upstream: name.clone(),
                })?;
        replicas.push(Arc::clone(spec));
    }
    Ok(Shard {
        id,
        range: parse_field("range", &wire.range)?,
        service: None,
        replicas,
    })
}

fn check_partition(id: SnapshotId, shards: &[Shard]) -> Result<(), WireError> {
    let keys: u64 = shards.iter().map(|shard| shard.range.width()).sum();
    let coverage: Coverage = shards.iter().map(|shard| shard.range).collect();
    if coverage.is_complete() && keys == KeyRange::ALL.width() {
        Ok(())
    } else {
        Err(WireError::Partition(id))
    }
}
