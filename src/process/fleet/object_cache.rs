//! The platform's objects as this instance knows them, read from the store or received from
//! another instance.
//!
//! An object never goes back to an older version, whatever its source. Positions number the
//! changes that this instance applied, so that a follower is sent only the changes it
//! lacks.

use indexmap::{IndexMap, IndexSet};

use super::chunks::Chunk;
use super::large_objects::{LargeObject, LargeObjects};
use super::{Entry, EntryVersion};
use crate::process::ObjectKey;
use crate::types::{ChunkId, Era, Position, Span, Timestamp};

/// The changes of the cache after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CacheChanges {
    /// The changed objects, oldest change first.
    pub(crate) entries: Vec<Entry>,
    /// The changed objects whose values are sent in chunks.
    pub(crate) large: Vec<LargeObject>,
    /// The position that the changes reach.
    pub(crate) up_to: Position,
    /// Whether no change follows.
    pub(crate) is_complete: bool,
}

/// Every object under the followed prefixes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectCache {
    entries: IndexMap<ObjectKey, (Position, Entry)>,
    large: LargeObjects,
    /// The latest era of the store that is known.
    era: Era,
    last_position: Position,
    /// The number of followed prefixes.
    prefixes: usize,
    /// When the store last confirmed everything under each prefix.
    confirmed_at: IndexMap<&'static str, Timestamp>,
    /// When the store last confirmed everything under all prefixes.
    fully_confirmed_at: Option<Timestamp>,
}

impl ObjectCache {
    /// Creates an empty cache for this number of prefixes.
    pub(crate) fn new(prefixes: usize) -> Self {
        Self {
            prefixes,
            ..Self::default()
        }
    }

    /// Returns the position of the latest change.
    pub(crate) fn last_position(&self) -> Position {
        self.last_position
    }

    /// Whether the store ever confirmed the objects, so that they were complete at least
    /// once.
    pub(crate) fn is_initialized(&self) -> bool {
        self.fully_confirmed_at.is_some()
    }

    /// Returns how long ago the store confirmed the objects, as far as this instance knows.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Span> {
        self.fully_confirmed_at.map(|at| now.since(at))
    }

    /// Records that the store itself confirmed everything under a prefix. Returns whether
    /// every prefix has been confirmed by now.
    pub(crate) fn confirm_prefix(&mut self, now: Timestamp, prefix: &'static str) -> bool {
        self.confirmed_at.insert(prefix, now);
        let all = self.confirmed_at.len() == self.prefixes;
        if let Some(oldest) = self.confirmed_at.values().min().filter(|_| all) {
            self.fully_confirmed_at = self.fully_confirmed_at.max(Some(*oldest));
        }
        all
    }

    /// Records that the objects matched the store's state `age` ago.
    pub(crate) fn confirm(&mut self, now: Timestamp, age: Span) {
        self.fully_confirmed_at = self.fully_confirmed_at.max(Some(now - age));
    }

    /// Applies an entry unless it is no newer than the known one. Returns whether anything
    /// changed.
    pub(crate) fn apply(&mut self, entry: Entry) -> bool {
        if self
            .known(&entry.key)
            .is_some_and(|known| entry.precedence() <= known.precedence())
        {
            return false;
        }
        self.last_position = Position(self.last_position.0 + 1);
        self.large.hold(&entry);
        self.entries
            .insert(entry.key.clone(), (self.last_position, entry));
        true
    }

    /// Returns what is known of an object.
    pub(super) fn known(&self, key: &ObjectKey) -> Option<&Entry> {
        self.entries.get(key).map(|(_, entry)| entry)
    }

    /// Returns the latest era of the store that is known.
    pub(crate) fn era(&self) -> Era {
        self.era
    }

    /// Records that the store, or an instance that heard from it, is in this era. Returns the era
    /// before if this one is later.
    pub(crate) fn enter_era(&mut self, era: Era) -> Option<Era> {
        (era > self.era).then(|| std::mem::replace(&mut self.era, era))
    }

    /// Returns the known objects under a prefix that a listing of this version does not
    /// contain.
    pub(super) fn missing_from_listing(
        &self,
        prefix: &str,
        listed: &[ObjectKey],
        at: EntryVersion,
    ) -> Vec<&Entry> {
        let listed: IndexSet<&ObjectKey> = listed.iter().collect();
        let under = |entry: &&Entry| entry.key.is_under(prefix);
        let entries = self.entries.values().map(|(_, entry)| entry);
        entries
            .filter(under)
            .filter(|entry| entry.state.value().is_some())
            .filter(|entry| entry.version <= at && !listed.contains(&entry.key))
            .collect()
    }

    /// Records that an object was announced whose value is sent in chunks.
    pub(crate) fn announce(&mut self, object: LargeObject) {
        let known = self.entries.get(&object.key);
        if known.is_none_or(|(_, known)| object.precedence() > known.precedence()) {
            self.large.announce(object);
        }
    }

    /// Whether an announced object has not arrived in full.
    pub(crate) fn has_incoming(&self) -> bool {
        self.large.has_incoming()
    }

    /// Returns the next chunks of announced objects to request.
    pub(crate) fn next_chunk_request(&self) -> Vec<ChunkId> {
        self.large.next_request()
    }

    /// Adds chunks of announced objects. Returns the entries of the objects whose values are
    /// complete; they are yet to be applied.
    pub(crate) fn add_chunks(&mut self, chunks: &[Chunk]) -> Vec<Entry> {
        self.large.add(chunks)
    }

    /// Returns those of the requested chunks that this instance has, with at most about
    /// `max_bytes`.
    pub(crate) fn requested_chunks(&self, ids: &[ChunkId], max_bytes: usize) -> Vec<Chunk> {
        self.large.requested(ids, max_bytes)
    }

    /// Whether this instance has any of the requested chunks.
    pub(crate) fn has_any_chunk(&self, ids: &[ChunkId]) -> bool {
        self.large.has_any(ids)
    }

    /// Returns the changes after a position, with at most about `max_bytes` of values.
    pub(crate) fn since(&self, from: Position, max_bytes: usize) -> CacheChanges {
        let mut changes: Vec<&(Position, Entry)> =
            self.entries.values().filter(|(at, _)| *at > from).collect();
        changes.sort_unstable_by_key(|(at, _)| *at);
        let mut bytes = 0;
        let mut sent = CacheChanges::default();
        for (at, entry) in changes {
            if let Some(large) = self.large.announcement(entry) {
                sent.large.push(large.clone());
                continue;
            }
            bytes += entry.size();
            if bytes > max_bytes && !sent.entries.is_empty() {
                sent.up_to = Position(at.0 - 1);
                return sent;
            }
            sent.entries.push(entry.clone());
        }
        sent.up_to = self.last_position;
        sent.is_complete = true;
        sent
    }
}

#[cfg(test)]
#[path = "object_cache_tests.rs"]
mod object_cache_tests;
