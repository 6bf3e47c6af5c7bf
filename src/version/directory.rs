//! The directory: everything an instance knows of classes and indexes at one time.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Class, Snapshot, UpstreamSpec};
use crate::error::{ErrorKind, Refusal};
use crate::types::{ClassName, ConfigVersion, IndexName, ObjectVersion, UpstreamName};

/// An immutable view of classes and indexes; a new one replaces it whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The version of the classes, which never goes back.
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
    /// The version of the object that states it, which never goes back.
    pub version: ObjectVersion,
    /// The snapshots, newest first.
    pub snapshots: Vec<Arc<Snapshot>>,
    /// Every upstream of any snapshot.
    pub upstreams: IndexMap<UpstreamName, Arc<UpstreamSpec>>,
}

impl Directory {
    /// The class of that name.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownClass`] when the configuration has none.
    pub fn class(&self, name: &ClassName) -> Result<Arc<Class>, Refusal> {
        self.classes.get(name).cloned().ok_or_else(|| {
            Refusal::new(ErrorKind::UnknownClass, format!("there is no class {name}"))
        })
    }

    /// The newest snapshot of an index.
    ///
    /// # Errors
    /// [`ErrorKind::NoSnapshot`] when none is published.
    pub fn newest(&self, index: &IndexName) -> Result<Arc<Snapshot>, Refusal> {
        self.snapshots(index).first().cloned().ok_or_else(|| {
            Refusal::new(
                ErrorKind::NoSnapshot,
                format!("index {index} has no snapshot"),
            )
        })
    }

    /// The published snapshots of an index, newest first.
    #[must_use]
    pub fn snapshots(&self, index: &IndexName) -> &[Arc<Snapshot>] {
        self.indexes
            .get(index)
            .map_or(&[], |index| &index.snapshots)
    }

    /// This directory with other classes, unless they are older than its own.
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

    /// This directory with another state of one index, unless it is older than its own.
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
