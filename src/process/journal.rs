//! What this process learned, in the order it learned it, so that a peer is told only
//! what changed since it last asked; see `docs/DESIGN.md`, "Peers".

use std::hash::Hasher;
use std::sync::Arc;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use super::cells::{CellId, CellVersion};
use super::{Object, ObjectKey};
use crate::types::{ObjectVersion, Position};

/// A thing that peers are told about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Topic {
    /// An object of the platform.
    Object(ObjectKey),
    /// A cell's summary.
    Cell(CellId),
}

/// The state of one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TopicVersion {
    /// An object's version.
    Object(ObjectVersion),
    /// A summary's version.
    Cell(CellVersion),
}

/// The topics with their latest positions, and the objects themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    end: Position,
    digest: u64,
    topics: IndexMap<Topic, (Position, TopicVersion)>,
    objects: IndexMap<ObjectKey, Arc<Object>>,
}

impl Journal {
    /// The position of the latest entry.
    pub(crate) fn end(&self) -> Position {
        self.end
    }

    /// Equal for two processes exactly when they know the same versions, but for a
    /// chance of one in 2^64.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Notes a topic's new state and says at which position.
    pub(crate) fn note(&mut self, topic: &Topic, version: TopicVersion) -> Position {
        self.end = Position(self.end.0 + 1);
        self.digest ^= hash(topic, version);
        if let Some((_, before)) = self.topics.insert(topic.clone(), (self.end, version)) {
            self.digest ^= hash(topic, before);
        }
        self.end
    }

    /// Notes an object unless a state as new is known.
    pub(crate) fn note_object(&mut self, object: &Object) -> bool {
        let known = self.objects.get(&object.key);
        if known.is_some_and(|known| known.version >= object.version) {
            return false;
        }
        self.objects
            .insert(object.key.clone(), Arc::new(object.clone()));
        let topic = Topic::Object(object.key.clone());
        self.note(&topic, TopicVersion::Object(object.version));
        true
    }

    /// An object by its key.
    pub(crate) fn object(&self, key: &ObjectKey) -> Option<Arc<Object>> {
        self.objects.get(key).cloned()
    }

    /// The topics that changed after `seen`, the longest known first, at most `most`.
    pub(crate) fn since(
        &self,
        seen: Position,
        most: usize,
    ) -> Vec<(Topic, Position, TopicVersion)> {
        let mut changed: Vec<_> = self
            .topics
            .iter()
            .filter(|(_, (at, _))| *at > seen)
            .map(|(topic, (at, version))| (topic.clone(), *at, *version))
            .collect();
        changed.sort_unstable_by_key(|(_, at, _)| *at);
        changed.truncate(most);
        changed
    }
}

fn hash(topic: &Topic, version: TopicVersion) -> u64 {
    let mut hasher = SipHasher13::new();
    std::hash::Hash::hash(topic, &mut hasher);
    std::hash::Hash::hash(&version, &mut hasher);
    hasher.finish()
}
