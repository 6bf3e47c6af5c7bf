//! Builds indexes of any size, for measurements and tests of limits.

use hyssopwalk::{IndexWire, ShardWire, SnapshotWire, UpstreamWire};

/// Number of replicas of each shard.
pub(crate) const REPLICAS_PER_SHARD: usize = 2;

/// Returns the platform object of an index with two replicas per shard.
pub(crate) fn index_wire(shards: usize) -> IndexWire {
    let name = |at: usize| format!("finder-{at}");
    let upstreams = (0..shards * REPLICAS_PER_SHARD).map(|at| UpstreamWire {
        name: name(at),
        addr: "10.0.0.1:7000".to_owned(),
        failure_domain: format!("domain-{}", at % 8),
        slots: 2,
        connections: 25,
        connect_cost: "6ms".to_owned(),
        leaving: false,
    });
    let lower_bound = |at: usize| ((at as u64) << 32) / shards as u64;
    let shard_wires = (0..).zip(0..shards).map(|(id, at)| ShardWire {
        id,
        range: format!("{:08x}-{:08x}", lower_bound(at), lower_bound(at + 1) - 1),
        replicas: (0..REPLICAS_PER_SHARD)
            .map(|replica| name(at * REPLICAS_PER_SHARD + replica))
            .collect(),
    });
    IndexWire {
        name: "finder".to_owned(),
        upstreams: upstreams.collect(),
        snapshots: vec![SnapshotWire {
            id: 1,
            shards: shard_wires.collect(),
        }],
    }
}
