//! All classes at one version, with the most recent changes.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Class;
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};

/// The classes, the number of the last change to each, and the most recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Classes {
    pub(crate) by_name: IndexMap<ClassName, ClassEntry>,
    /// The number of the last change.
    pub(crate) last: ChangeNumber,
    /// The most recent changes, oldest first; every change is recorded here before anywhere else.
    pub(crate) recent: Vec<AcceptedChange>,
}

/// A class and the number of the last change to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClassEntry {
    pub(crate) class: Arc<Class>,
    pub(crate) change: ChangeNumber,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AcceptedChange {
    pub(crate) id: ChangeId,
    pub(crate) number: ChangeNumber,
    pub(crate) at: UnixSeconds,
    pub(crate) who: OperatorName,
    pub(crate) name: ClassName,
    pub(crate) from: Option<Arc<Class>>,
    pub(crate) to: Option<Arc<Class>>,
}

impl Classes {
    /// Returns the change with that id if it is among the most recent ones.
    pub(crate) fn recent(&self, id: ChangeId) -> Option<&AcceptedChange> {
        self.recent.iter().find(|change| change.id == id)
    }
}
