//! All classes at one version, with the changes that led there last.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Class;
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};

/// The classes, the number of the change that set each, and the last changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Classes {
    pub(crate) by_name: IndexMap<ClassName, SetClass>,
    /// The number of the last change.
    pub(crate) last: ChangeNumber,
    /// The last changes, oldest first; a change is here before it is anywhere else.
    pub(crate) recent: Vec<AcceptedChange>,
}

/// A class and the change that set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SetClass {
    pub(crate) class: Arc<Class>,
    pub(crate) change: ChangeNumber,
}

/// A change that was accepted.
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
    /// The change of that id, if it is one of the last.
    pub(crate) fn recent(&self, id: ChangeId) -> Option<&AcceptedChange> {
        self.recent.iter().find(|change| change.id == id)
    }
}
