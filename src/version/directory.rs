//! The directory: an instance's view of all classes and indexes at one time.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Class, Snapshot, UpstreamSpec};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ClassName, ConfigVersion, IndexName, ObjectVersion, UpstreamName};

/// An immutable view of classes and indexes; a change replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The version of the classes, which never decreases.
    pub config: ConfigVersion,
    /// The classes by name.
    pub classes: IndexMap<ClassName, Arc<Class>>,
    /// The indexes by name.
    pub indexes: IndexMap<IndexName, Arc<Index>>,
}

/// An index: its published snapshots and its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Index {
    /// The index's name.
    pub name: IndexName,
    /// The version of the object that it was decoded from, which never decreases.
    pub version: ObjectVersion,
    /// The snapshots, newest first.
    pub snapshots: Vec<Arc<Snapshot>>,
    /// The upstreams of all snapshots.
    pub upstreams: IndexMap<UpstreamName, Arc<UpstreamSpec>>,
}

impl Directory {
    /// Returns the class with that name.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownClass`] if the configuration has no such class.
    pub fn class(&self, name: &ClassName) -> Result<Arc<Class>, Refusal> {
        self.classes.get(name).cloned().ok_or_else(|| {
            Refusal::new(ErrorKind::UnknownClass, format!("there is no class {name}"))
        })
    }

    /// Returns the newest snapshot of an index.
    ///
    /// # Errors
    /// [`ErrorKind::NoSnapshot`] if none is published.
    pub fn newest_snapshot(&self, index: &IndexName) -> Result<Arc<Snapshot>, Refusal> {
        self.snapshots(index).first().cloned().ok_or_else(|| {
            Refusal::new(
                ErrorKind::NoSnapshot,
                format!("index {index} has no snapshot"),
            )
        })
    }

    /// Returns the published snapshots of an index, newest first.
    #[must_use]
    pub fn snapshots(&self, index: &IndexName) -> &[Arc<Snapshot>] {
        self.indexes
            .get(index)
            .map_or(&[], |index| &index.snapshots)
    }

    /// Returns a copy with the given classes, or `None` unless their version is newer.
    #[must_use]
    pub fn with_classes(&self, config: ConfigVersion, classes: Vec<Class>) -> Option<Self> {
        if config <= self.config {
            return None;
        }
        let classes = classes
            .into_iter()
            .map(|class| (class.name.clone(), Arc::new(class)))
            .collect();
        Some(Self {
            config,
            classes,
            indexes: self.indexes.clone(),
        })
    }

    /// Returns a copy with the given index, or `None` unless its version is newer.
    #[must_use]
    pub fn with_index(&self, index: Index) -> Option<Self> {
        let known = self.indexes.get(&index.name);
        if known.is_some_and(|known| known.version >= index.version) {
            return None;
        }
        let mut next = self.clone();
        next.indexes.insert(index.name.clone(), Arc::new(index));
        Some(next)
    }
}
