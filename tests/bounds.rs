//! Bounds on state, from the sizes that the project aims for. Verdicts are counts.

#[path = "standin/sized.rs"]
mod sized;

use hyssopwalk::{Index, ObjectVersion, SnapshotWire};
use sized::{REPLICAS_A_SHARD, index_wire};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

const REPLICAS: usize = 120_000;
const SHARDS: usize = 1_700;
const CONTROL_BYTES: usize = 64 << 20;
const OBJECT_BYTES: usize = 1 << 20;

/// One test, because the allocator counts for the whole process.
#[test]
fn state_at_the_size_aimed_for() {
    let wire = index_wire(SHARDS);
    let region = Region::new(ALLOCATOR);
    let index = Index::try_from((&wire, ObjectVersion(1))).expect("a valid index");
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    assert_eq!(index.upstreams.len(), SHARDS * REPLICAS_A_SHARD);
    let all = bytes / index.upstreams.len() * REPLICAS;
    assert!(
        all < CONTROL_BYTES,
        "the directory of every replica takes {all} bytes"
    );

    let mut wire = wire;
    let newer = SnapshotWire {
        id: 2,
        ..wire.snapshots[0].clone()
    };
    wire.snapshots.push(newer);
    let object = serde_json::to_vec(&wire).expect("an index is JSON").len();
    assert!(
        object < OBJECT_BYTES,
        "an index with two snapshots takes {object} bytes"
    );
}
