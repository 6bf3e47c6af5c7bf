//! How indexes are written in the platform's objects, apart from the types that decisions use; see `docs/INTERFACES.md`.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Index, Shard, Snapshot, UpstreamSpec};
use crate::types::{
    ConnectionCount, Coverage, KeyRange, ObjectVersion, ParseError, ShardId, SlotCount, SnapshotId,
    UpstreamName,
};

/// Why an object of the platform is not a valid class list or index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WireError {
    /// A field's text is no value of its type.
    #[error("field {field}: {cause}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        cause: ParseError,
    },
    /// An address is not an IP number and a port.
    #[error("field addr: {0:?} is not an IP number and a port")]
    Addr(String),
    /// A shard names an upstream that the index does not have.
    #[error("shard {shard} of snapshot {snapshot} names the unknown upstream {upstream:?}")]
    UnknownUpstream {
        /// The snapshot.
        snapshot: SnapshotId,
        /// The shard.
        shard: ShardId,
        /// The name that is not known.
        upstream: String,
    },
    /// The shards of a snapshot leave keys out or hold keys twice.
    #[error("the shards of snapshot {0} do not hold every key exactly once")]
    Partition(SnapshotId),
}

pub(super) fn field<T>(field: &'static str, text: &str) -> Result<T, WireError>
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
    /// Every upstream of any snapshot.
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
    /// IP number and port.
    pub addr: String,
    /// The failure domain it stands in.
    pub failure_domain: String,
    /// Legs at the same time.
    pub slots: u32,
    /// Connections from all instances together.
    pub connections: u32,
    /// What a new connection costs, such as `6ms`.
    pub connect_cost: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One snapshot of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotWire {
    /// Its place in the order of snapshots.
    pub id: u64,
    /// Its shards.
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
            name: field("name", &wire.name)?,
            addr: wire
                .addr
                .parse()
                .map_err(|_| WireError::Addr(wire.addr.clone()))?,
            failure_domain: field("failure_domain", &wire.failure_domain)?,
            slots: SlotCount(wire.slots),
            connections: ConnectionCount(wire.connections),
            connect_cost: field("connect_cost", &wire.connect_cost)?,
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
            name: field("name", &wire.name)?,
            version,
            snapshots: Vec::with_capacity(wire.snapshots.len()),
            upstreams,
        };
        for snapshot in &wire.snapshots {
            let snapshot = read_snapshot(&index, snapshot)?;
            index.snapshots.push(Arc::new(snapshot));
        }
        index
            .snapshots
            .sort_by_key(|snapshot| std::cmp::Reverse(snapshot.id));
        Ok(index)
    }
}

fn read_snapshot(index: &Index, wire: &SnapshotWire) -> Result<Snapshot, WireError> {
    let id = SnapshotId(wire.id);
    let mut shards = Vec::with_capacity(wire.shards.len());
    for shard in &wire.shards {
        shards.push(read_shard(index, id, shard)?);
    }
    check_partition(id, &shards)?;
    Ok(Snapshot {
        index: index.name.clone(),
        id,
        shards,
    })
}

fn read_shard(index: &Index, snapshot: SnapshotId, wire: &ShardWire) -> Result<Shard, WireError> {
    let id = ShardId(wire.id);
    let mut replicas = Vec::with_capacity(wire.replicas.len());
    for name in &wire.replicas {
        let name_read: UpstreamName = field("replicas", name)?;
        let spec = index
            .upstreams
            .get(&name_read)
            .ok_or_else(|| WireError::UnknownUpstream {
                snapshot,
                shard: id,
                upstream: name.clone(),
            })?;
        replicas.push(Arc::clone(spec));
    }
    Ok(Shard {
        id,
        range: field("range", &wire.range)?,
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
