//! Objects that are too large for one message.
//!
//! Such an object is announced with the ids of its chunks, and a follower requests the chunks that
//! it lacks. What has arrived is kept when a request fails, when another instance is followed and
//! when a newer version is announced, so that a transfer always comes to an end, however slow the
//! link and however often the object changes. See `docs/DESIGN.md`, "Large objects".

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::chunks::{Chunk, ChunkStore};
use super::entry::{Precedence, StatePrecedence};
use super::{Entry, EntryState, EntryVersion, WriterOrder};
use crate::process::ObjectKey;
use crate::types::{ByteCount, ChunkId};

/// Values that are larger than this are sent in chunks.
const MAX_WHOLE_BYTES: usize = 16 << 10;
/// An object that is announced with a larger value is not requested. The platform's values have
/// at most a megabyte.
const MAX_VALUE_BYTES: u64 = 4 << 20;
/// How many chunks are requested at once. The sender answers with those that fit in a message.
const MAX_REQUESTED_CHUNKS: usize = 32;

/// An object whose value is sent in chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LargeObject {
    pub(crate) key: ObjectKey,
    pub(crate) version: EntryVersion,
    /// Its place in the order of its writer, if it outlived a copy of the store.
    pub(crate) kept: Option<WriterOrder>,
    /// The size of its value.
    pub(crate) size: ByteCount,
    /// The chunks of its value, in order.
    pub(crate) chunks: Arc<[ChunkId]>,
}

impl LargeObject {
    /// Returns the precedence of the announced state among those of the same object.
    pub(super) fn precedence(&self) -> Precedence {
        let state = self
            .kept
            .map_or(StatePrecedence::Present, StatePrecedence::Kept);
        Precedence {
            version: self.version,
            state,
        }
    }
}

/// The large objects of a cache: those that it holds, and those that are on their way.
#[derive(Clone, Debug, Default)]
pub(super) struct LargeObjects {
    chunks: ChunkStore,
    held: IndexMap<ObjectKey, LargeObject>,
    incoming: IndexMap<ObjectKey, LargeObject>,
    /// Those that have arrived and are yet to be held; their values need not be cut again.
    arrived: IndexMap<ObjectKey, LargeObject>,
}

impl LargeObjects {
    /// Records the entry that the cache holds of an object from now on. What is on its way of a
    /// version that is no newer is not needed any more.
    pub(super) fn hold(&mut self, entry: &Entry) {
        let key = &entry.key;
        let arrived = self.arrived.swap_remove(key);
        let arrived = arrived.filter(|arrived| arrived.precedence() == entry.precedence());
        let replaced = match arrived.or_else(|| self.split(entry)) {
            Some(held) => self.held.insert(key.clone(), held),
            None => self.held.swap_remove(key),
        };
        let is_needless = |incoming: &LargeObject| incoming.precedence() <= entry.precedence();
        let needless = self.incoming.get(key).is_some_and(is_needless);
        if needless {
            self.incoming.shift_remove(key);
        }
        if needless || replaced.is_some() {
            self.drop_unused();
        }
    }

    /// Returns the announcement of an entry whose value is sent in chunks.
    pub(super) fn announcement(&self, entry: &Entry) -> Option<&LargeObject> {
        self.held.get(&entry.key)
    }

    /// Whether an announced object has not arrived in full.
    pub(super) fn has_incoming(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Records that an object was announced.
    pub(super) fn announce(&mut self, object: LargeObject) {
        let known = self.incoming.get(&object.key);
        if known.is_some_and(|known| object.precedence() <= known.precedence()) {
            return;
        }
        let (key, version, size) = (&object.key, object.version, object.size);
        if size.0 > MAX_VALUE_BYTES || object.chunks.len() as u64 > size.0 {
            tracing::warn!(%key, %size, "an announced object is too large");
            return;
        }
        let missing = missing(&self.chunks, &object).count();
        let chunks = object.chunks.len();
        tracing::info!(%key, %version, %size, chunks, missing, "a large object is on its way");
        self.incoming.insert(key.clone(), object);
    }

    /// Returns the next chunks to request, if any are missing.
    pub(super) fn next_request(&self) -> Vec<ChunkId> {
        let incoming = self.incoming.values();
        let missing = incoming.flat_map(|object| missing(&self.chunks, object));
        let distinct: IndexSet<ChunkId> = missing.take(MAX_REQUESTED_CHUNKS).collect();
        distinct.into_iter().collect()
    }

    /// Stores requested chunks. Returns the entries of the objects that are complete by now.
    pub(super) fn add(&mut self, chunks: &[Chunk]) -> Vec<Entry> {
        for chunk in chunks {
            let needs = |object: &LargeObject| object.chunks.contains(&chunk.id);
            if self.incoming.values().any(needs) {
                self.chunks.insert(chunk);
            }
        }
        let has_all = |object: &LargeObject| missing(&self.chunks, object).next().is_none();
        let complete = self.incoming.extract_if(.., |_, object| has_all(object));
        let complete: Vec<LargeObject> = complete.map(|(_, object)| object).collect();
        let assembled = complete.into_iter().map(|object| self.assemble(object));
        assembled.flatten().collect()
    }

    /// Returns those of the requested chunks that this instance has, with at most about `max_bytes`.
    pub(super) fn requested(&self, ids: &[ChunkId], max_bytes: usize) -> Vec<Chunk> {
        let mut bytes = 0;
        let fits = |chunk: &Chunk| {
            let is_first = bytes == 0;
            bytes += chunk.compressed.len();
            is_first || bytes <= max_bytes
        };
        let chunks = ids.iter().filter_map(|id| self.chunks.get(*id));
        chunks.take_while(fits).collect()
    }

    /// Whether this instance has any of the requested chunks.
    pub(super) fn has_any(&self, ids: &[ChunkId]) -> bool {
        ids.iter().any(|id| self.chunks.contains(*id))
    }

    /// Cuts the value of an entry if it is too large for one message.
    fn split(&mut self, entry: &Entry) -> Option<LargeObject> {
        let value = entry.state.value()?;
        let kept = match &entry.state {
            EntryState::Kept(_, order) => Some(*order),
            EntryState::Present(_) | EntryState::Gone(_) | EntryState::Lapsed => None,
        };
        (value.len() > MAX_WHOLE_BYTES).then(|| LargeObject {
            key: entry.key.clone(),
            version: entry.version,
            kept,
            size: ByteCount(value.len() as u64),
            chunks: self.chunks.split(value),
        })
    }

    fn assemble(&mut self, object: LargeObject) -> Option<Entry> {
        let (key, version, kept) = (object.key.clone(), object.version, object.kept);
        let Some(value) = self.chunks.join(&object.chunks, object.size) else {
            tracing::warn!(%key, %version, "the chunks of an object do not make up its size");
            return None;
        };
        tracing::info!(%key, %version, "a large object has arrived");
        self.arrived.insert(key.clone(), object);
        let value = Arc::from(value);
        let state = match kept {
            Some(order) => EntryState::Kept(value, order),
            None => EntryState::Present(value),
        };
        Some(Entry {
            key,
            version,
            state,
        })
    }

    fn drop_unused(&mut self) {
        let objects = [&self.held, &self.incoming, &self.arrived];
        let objects = objects.into_iter().flat_map(IndexMap::values);
        let used = objects.flat_map(|object| object.chunks.iter().copied());
        self.chunks.retain(&used.collect());
    }
}

fn missing(stored: &ChunkStore, object: &LargeObject) -> impl Iterator<Item = ChunkId> {
    let chunks = object.chunks.iter().copied();
    chunks.filter(|id| !stored.contains(*id))
}

#[cfg(test)]
#[path = "large_objects_tests.rs"]
mod large_objects_tests;
