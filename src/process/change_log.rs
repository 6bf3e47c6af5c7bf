//! The change log: the objects and summaries that this process knows, in the order of
//! their last change here, so that a peer is sent only what changed since its last request;
//! see `docs/DESIGN.md`, "Peers".

use std::hash::Hasher;
use std::sync::Arc;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use super::cells::{CellId, CellVersion};
use super::{Object, ObjectKey};
use crate::types::{ObjectVersion, Position};

/// What an entry of the change log is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Topic {
    /// An object of the platform.
    Object(ObjectKey),
    /// The summary of a cell.
    Cell(CellId),
}

/// The version of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TopicVersion {
    /// The version of an object.
    Object(ObjectVersion),
    /// The version of a summary.
    Cell(CellVersion),
}

/// The latest position and version of each topic, and the objects themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    end: Position,
    digest: u64,
    topics: IndexMap<Topic, (Position, TopicVersion)>,
    objects: IndexMap<ObjectKey, Arc<Object>>,
}

impl ChangeLog {
    /// The position of the last entry.
    pub(crate) fn end(&self) -> Position {
        self.end
    }

    /// A hash of all topics and versions, equal for two processes that know the same
    /// versions; different versions collide with a probability of 1 in 2^64.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Appends a topic's new version and returns its position.
    pub(crate) fn record(&mut self, topic: &Topic, version: TopicVersion) -> Position {
        self.end = Position(self.end.0 + 1);
        self.digest ^= hash(topic, version);
        if let Some((_, previous)) = self.topics.insert(topic.clone(), (self.end, version)) {
            self.digest ^= hash(topic, previous);
        }
        self.end
    }

    /// Records an object, unless the known version is the same or newer.
    pub(crate) fn record_object(&mut self, object: &Object) -> bool {
        let known = self.objects.get(&object.key);
        if known.is_some_and(|known| known.version >= object.version) {
            return false;
        }
        self.objects
            .insert(object.key.clone(), Arc::new(object.clone()));
        let topic = Topic::Object(object.key.clone());
        self.record(&topic, TopicVersion::Object(object.version));
        true
    }

    /// The object with this key.
    pub(crate) fn object(&self, key: &ObjectKey) -> Option<Arc<Object>> {
        self.objects.get(key).cloned()
    }

    /// The topics that changed after `seen`, ordered by position, at most `max`.
    pub(crate) fn changes_since(
        &self,
        seen: Position,
        max: usize,
    ) -> Vec<(Topic, Position, TopicVersion)> {
        let mut changed: Vec<_> = self
            .topics
            .iter()
            .filter(|(_, (at, _))| *at > seen)
            .map(|(topic, (at, version))| (topic.clone(), *at, *version))
            .collect();
        changed.sort_unstable_by_key(|(_, at, _)| *at);
        changed.truncate(max);
        changed
    }
}

fn hash(topic: &Topic, version: TopicVersion) -> u64 {
    let mut hasher = SipHasher13::new();
    std::hash::Hash::hash(topic, &mut hasher);
    std::hash::Hash::hash(&version, &mut hasher);
    hasher.finish()
}
