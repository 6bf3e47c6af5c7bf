//! Checks the memory bounds of an instance's state at the sizes that the project targets.
//! The checks count bytes and measure no time.

#[path = "standin/sized.rs"]
mod sized;

use hyssopwalk::{Index, ObjectVersion, SnapshotWire};
use sized::{REPLICAS_PER_SHARD, index_wire};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

const TARGET_REPLICAS: usize = 120_000;
const SHARDS_PER_INDEX: usize = 1_700;
const MAX_DIRECTORY_BYTES: usize = 64 << 20;
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// The file has a single test because the allocator's counters cover the whole process.
#[test]
fn state_at_the_target_size_is_bounded() {
    let wire = index_wire(SHARDS_PER_INDEX);
    let region = Region::new(ALLOCATOR);
    let index = Index::try_from((&wire, ObjectVersion(1))).expect("a valid index");
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    assert_eq!(index.upstreams.len(), SHARDS_PER_INDEX * REPLICAS_PER_SHARD);
    // Extrapolated from one index to every replica.
    let directory_bytes = bytes / index.upstreams.len() * TARGET_REPLICAS;
    assert!(
        directory_bytes < MAX_DIRECTORY_BYTES,
        "the directory of every replica takes {directory_bytes} bytes"
    );

    let mut wire = wire;
    let newer = SnapshotWire {
        id: 2,
        ..wire.snapshots[0].clone()
    };
    wire.snapshots.push(newer);
    let object_bytes = serde_json::to_vec(&wire).expect("an index is JSON").len();
    assert!(
        object_bytes < MAX_OBJECT_BYTES,
        "an index with two snapshots takes {object_bytes} bytes"
    );
}
