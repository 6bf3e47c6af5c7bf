//! Chunks make up the value that they were cut from, and no other one.

use rstest::rstest;

use super::{Chunk, ChunkStore};
use crate::types::{ByteCount, ChunkId};

struct Case {
    value: Vec<u8>,
}

#[rstest]
#[case::empty(Case { value: Vec::new() })]
#[case::one_byte(Case { value: vec![7] })]
#[case::all_alike(Case { value: vec![0; 100 << 10] })]
#[case::text(Case { value: (0..30_000).flat_map(|n: u32| n.to_string().into_bytes()).collect() })]
fn chunks_join_to_the_value(#[case] case: Case) {
    let mut sender = ChunkStore::default();
    let ids = sender.split(&case.value);
    let mut receiver = ChunkStore::default();
    for id in ids.iter() {
        receiver.insert(&sender.get(*id).unwrap());
    }
    let size = ByteCount(case.value.len() as u64);
    assert_eq!(receiver.join(&ids, size), Some(case.value));
    assert_eq!(receiver.join(&ids, ByteCount(size.0 + 1)), None);
}

struct DamagedCase {
    id: ChunkId,
    compressed: &'static [u8],
}

/// Guards against a value that is put together from other bytes than the sender had.
#[rstest]
#[case::not_compressed(DamagedCase { id: ChunkId::of(b"abc"), compressed: b"abc" })]
#[case::truncated(DamagedCase { id: ChunkId::of(b"abc"), compressed: &[0x4b] })]
#[case::nothing(DamagedCase { id: ChunkId::of(b""), compressed: b"" })]
#[case::other_content(DamagedCase { id: ChunkId::of(b"abd"), compressed: &[0x4b, 0x4c, 0x4a, 0x06, 0x00] })]
fn a_damaged_chunk_is_not_stored(#[case] case: DamagedCase) {
    let mut store = ChunkStore::default();
    store.insert(&Chunk {
        id: case.id,
        compressed: case.compressed.into(),
    });
    assert!(!store.contains(case.id));
}
