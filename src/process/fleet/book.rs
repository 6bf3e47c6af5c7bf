//! The platform's objects as this instance knows them, from the store itself or from
//! another instance.
//!
//! An object never goes back to an older version, whoever states it. Positions count what
//! was learned here, so that another instance is told only what it lacks.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use crate::process::ObjectKey;
use crate::types::{ObjectVersion, Position, Revision, Span, Timestamp};

/// An object at one version, or the fact that it is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) key: ObjectKey,
    pub(crate) version: ObjectVersion,
    pub(crate) state: EntryState,
}

/// What is known of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// It has this value.
    Held(Arc<[u8]>),
    /// It is gone.
    Gone,
    /// It is gone since an outage of the store, in which it may only have lapsed.
    Lapsed,
}

/// Every object of the kinds that are followed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Book {
    entries: IndexMap<ObjectKey, (Position, Entry)>,
    end: Position,
    /// How many prefixes are followed.
    prefixes: usize,
    /// When the store last stated all that is under each prefix.
    heard_of: IndexMap<&'static str, Timestamp>,
    heard: Option<Timestamp>,
}

impl Book {
    /// A book of the objects under so many prefixes.
    pub(crate) fn new(prefixes: usize) -> Self {
        Self {
            prefixes,
            ..Self::default()
        }
    }

    /// The position of the latest change.
    pub(crate) fn end(&self) -> Position {
        self.end
    }

    /// Whether the store was ever heard of, so that what is here was whole once.
    pub(crate) fn is_begun(&self) -> bool {
        self.heard.is_some()
    }

    /// How long ago the store stated what is here, as far as this instance knows.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Span> {
        self.heard.map(|heard| now.since(heard))
    }

    /// Notes that the store itself stated all that is under a prefix; returns whether
    /// every prefix was heard of by now.
    pub(crate) fn confirm_prefix(&mut self, now: Timestamp, prefix: &'static str) -> bool {
        self.heard_of.insert(prefix, now);
        let all = self.heard_of.len() == self.prefixes;
        if let Some(oldest) = self.heard_of.values().min().filter(|_| all) {
            self.heard = self.heard.max(Some(*oldest));
        }
        all
    }

    /// Notes that all that is here was the store's state so long ago.
    pub(crate) fn confirm(&mut self, now: Timestamp, age: Span) {
        self.heard = self.heard.max(Some(now - age));
    }

    /// Takes an entry unless it is older than what is known; true when it changed
    /// something.
    pub(crate) fn learn(&mut self, entry: Entry) -> bool {
        if let Some((_, known)) = self.entries.get(&entry.key) {
            let order = |entry: &Entry| (entry.version, rank(&entry.state));
            if order(&entry) <= order(known) {
                return false;
            }
        }
        self.end = Position(self.end.0 + 1);
        self.entries.insert(entry.key.clone(), (self.end, entry));
        true
    }

    /// That an object is gone, as of the last version known here.
    pub(crate) fn gone(&self, key: &ObjectKey, state: EntryState) -> Option<Entry> {
        let (_, known) = self.entries.get(key)?;
        Some(Entry {
            key: key.clone(),
            version: known.version,
            state,
        })
    }

    /// The keys under a prefix that a listing at this revision does not hold.
    pub(crate) fn missing(
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
            .filter(|entry| matches!(entry.state, EntryState::Held(_)))
            .filter(|entry| entry.version.0 <= at.0 && !listed.contains(&entry.key))
            .map(|entry| entry.key.clone())
            .collect()
    }

    /// What was learned after a position, oldest first, at most about so many bytes of it,
    /// and the position it reaches.
    pub(crate) fn since(&self, from: Position, most_bytes: usize) -> (Vec<Entry>, Position) {
        let mut news: Vec<&(Position, Entry)> =
            self.entries.values().filter(|(at, _)| *at > from).collect();
        news.sort_unstable_by_key(|(at, _)| *at);
        let mut bytes = 0;
        let mut told = Vec::new();
        for (at, entry) in news {
            bytes += size(entry);
            if bytes > most_bytes && !told.is_empty() {
                let up_to = Position(at.0 - 1);
                return (told, up_to);
            }
            told.push(entry.clone());
        }
        (told, self.end)
    }
}

/// Of one version, that it is gone is later than that it was there, and that it is gone
/// for good later than that it may have lapsed.
fn rank(state: &EntryState) -> u8 {
    match state {
        EntryState::Held(_) => 0,
        EntryState::Lapsed => 1,
        EntryState::Gone => 2,
    }
}

fn size(entry: &Entry) -> usize {
    let value = match &entry.state {
        EntryState::Held(value) => value.len(),
        EntryState::Gone | EntryState::Lapsed => 0,
    };
    entry.key.as_str().len() + value
}

#[cfg(test)]
#[path = "book_tests.rs"]
mod book_tests;
