//! Values cut into chunks that are identified by their content.
//!
//! The cuts depend on the bytes around them and not on their place, so that two versions of a value
//! differ in the chunks around what changed and share all others. Each chunk is compressed once, by
//! the instance that reads the value from the store.

use std::sync::Arc;

use fastcdc::v2020::FastCDC;
use indexmap::{IndexMap, IndexSet};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

use crate::types::{ByteCount, ChunkId};

const MIN_CHUNK_BYTES: usize = 2 << 10;
/// Small chunks repeat less of what did not change, large ones compress better.
const AVERAGE_CHUNK_BYTES: usize = 8 << 10;
const MAX_CHUNK_BYTES: usize = 32 << 10;
const COMPRESSION_LEVEL: u8 = 4;

/// A chunk as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Chunk {
    pub(crate) id: ChunkId,
    pub(crate) compressed: Arc<[u8]>,
}

/// The chunks that an instance has, compressed.
#[derive(Clone, Debug, Default)]
pub(super) struct ChunkStore {
    by_id: IndexMap<ChunkId, Arc<[u8]>>,
}

impl ChunkStore {
    /// Cuts a value, stores its chunks and returns their ids in order.
    pub(super) fn split(&mut self, value: &[u8]) -> Arc<[ChunkId]> {
        let cuts = FastCDC::new(value, MIN_CHUNK_BYTES, AVERAGE_CHUNK_BYTES, MAX_CHUNK_BYTES);
        let ids = cuts.map(|cut| {
            let bytes = &value[cut.offset..cut.offset + cut.length];
            let id = ChunkId::of(bytes);
            let compress = || Arc::from(compress_to_vec(bytes, COMPRESSION_LEVEL));
            self.by_id.entry(id).or_insert_with(compress);
            id
        });
        ids.collect()
    }

    /// Stores a chunk unless its content has another id.
    pub(super) fn insert(&mut self, chunk: &Chunk) {
        let is_intact =
            decompress(&chunk.compressed).is_some_and(|bytes| ChunkId::of(&bytes) == chunk.id);
        if is_intact {
            self.by_id.insert(chunk.id, Arc::clone(&chunk.compressed));
        } else {
            tracing::warn!(chunk = %chunk.id, "a chunk is not intact");
        }
    }

    pub(super) fn contains(&self, id: ChunkId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn get(&self, id: ChunkId) -> Option<Chunk> {
        let compressed = Arc::clone(self.by_id.get(&id)?);
        Some(Chunk { id, compressed })
    }

    /// Joins the chunks of a value. Returns none unless all are stored and make up this size.
    pub(super) fn join(&self, ids: &[ChunkId], size: ByteCount) -> Option<Vec<u8>> {
        let mut value = Vec::with_capacity(usize::try_from(size.0).ok()?);
        for id in ids {
            value.extend(decompress(self.by_id.get(id)?)?);
        }
        (value.len() as u64 == size.0).then_some(value)
    }

    /// Drops all chunks but these.
    pub(super) fn retain(&mut self, used: &IndexSet<ChunkId>) {
        self.by_id.retain(|id, _| used.contains(id));
    }
}

fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(compressed, MAX_CHUNK_BYTES).ok()
}

#[cfg(test)]
#[path = "chunks_tests.rs"]
mod chunks_tests;
