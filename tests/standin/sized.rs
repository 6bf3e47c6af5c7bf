//! Indexes of any size, for measurements and bounds.

use hyssopwalk::{IndexWire, ShardWire, SnapshotWire, UpstreamWire};

/// How many replicas each shard has.
pub(crate) const REPLICAS_A_SHARD: usize = 2;

/// An index with two replicas a shard, as its object states it.
pub(crate) fn index_wire(shards: usize) -> IndexWire {
    let name = |at: usize| format!("finder-{at}");
    let upstreams = (0..shards * REPLICAS_A_SHARD).map(|at| UpstreamWire {
        name: name(at),
        addr: "10.0.0.1:7000".to_owned(),
        failure_domain: format!("domain-{}", at % 8),
        slots: 2,
        connections: 25,
        connect_cost: "6ms".to_owned(),
        leaving: false,
    });
    let edge = |at: usize| ((at as u64) << 32) / shards as u64;
    let stated = (0..).zip(0..shards).map(|(id, at)| ShardWire {
        id,
        range: format!("{:08x}-{:08x}", edge(at), edge(at + 1) - 1),
        replicas: (0..REPLICAS_A_SHARD)
            .map(|replica| name(at * REPLICAS_A_SHARD + replica))
            .collect(),
    });
    IndexWire {
        name: "finder".to_owned(),
        upstreams: upstreams.collect(),
        snapshots: vec![SnapshotWire {
            id: 1,
            shards: stated.collect(),
        }],
    }
}
