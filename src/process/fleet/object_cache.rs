//! The platform's objects as this instance knows them, read from the store or received from
//! another instance.
//!
//! An object never goes back to an older version, whatever its source. Positions number the
//! changes that this instance applied, so that a follower is sent only the changes it
//! lacks.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::chunks::Chunk;
use super::large_objects::{LargeObject, LargeObjects};
use crate::process::ObjectKey;
use crate::types::{ChunkId, ObjectVersion, Position, Revision, Span, Timestamp};

/// An object at one version, or the record that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) key: ObjectKey,
    pub(crate) version: ObjectVersion,
    pub(crate) state: EntryState,
}

impl Entry {
    /// Returns the approximate size of the entry in a message.
    pub(super) fn size(&self) -> usize {
        let value = match &self.state {
            EntryState::Present(value) => value.len(),
            EntryState::Gone | EntryState::Lapsed => 0,
        };
        self.key.as_str().len() + value
    }
}

/// What is known of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The object exists and has this value.
    Present(Arc<[u8]>),
    /// The object was deleted.
    Gone,
    /// The object disappeared around an outage of the store, so it may only have lapsed.
    Lapsed,
}

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
        if let Some((_, known)) = self.entries.get(&entry.key) {
            let precedence = |entry: &Entry| (entry.version, state_precedence(&entry.state));
            if precedence(&entry) <= precedence(known) {
                return false;
            }
        }
        self.last_position = Position(self.last_position.0 + 1);
        self.large.hold(&entry);
        self.entries
            .insert(entry.key.clone(), (self.last_position, entry));
        true
    }

    /// Returns the known keys under a prefix that a listing at this revision does not
    /// contain.
    pub(crate) fn missing_from_listing(
        &self,
        prefix: &str,
        listed: &[ObjectKey],
        at: Revision,
    ) -> Vec<ObjectKey> {
        let listed: IndexSet<&ObjectKey> = listed.iter().collect();
        let under = |entry: &&Entry| entry.key.is_under(prefix);
        let entries = self.entries.values().map(|(_, entry)| entry);
        entries
            .filter(under)
            .filter(|entry| matches!(entry.state, EntryState::Present(_)))
            .filter(|entry| entry.version.0 <= at.0 && !listed.contains(&entry.key))
            .map(|entry| entry.key.clone())
            .collect()
    }

    /// Records that an object was announced whose value is sent in chunks.
    pub(crate) fn announce(&mut self, object: LargeObject) {
        let known = self.entries.get(&object.key);
        if known.is_none_or(|(_, known)| object.version > known.version) {
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

/// Orders the states of one version: gone or lapsed is later than present, and gone is
/// later than lapsed.
fn state_precedence(state: &EntryState) -> u8 {
    match state {
        EntryState::Present(_) => 0,
        EntryState::Lapsed => 1,
        EntryState::Gone => 2,
    }
}

#[cfg(test)]
#[path = "object_cache_tests.rs"]
mod object_cache_tests;
