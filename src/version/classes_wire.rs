//! How classes and their changes are written in the platform's objects and in answers
//! to operators; see `docs/INTERFACES.md`, "Objects".
//!
//! Unknown fields are passed over, so that an older instance still reads what a newer
//! one wrote; what operators send is read strictly, in `connection/operator_wire.rs`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::wire::{WireError, field};
use super::{AcceptedChange, Class, Classes, SetClass, Targets};
use crate::types::{ChangeNumber, UnixSeconds};

/// The object that holds all classes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassesWire {
    /// The classes in the order of their creation.
    pub classes: Vec<ClassWire>,
    /// The number of the last change.
    #[serde(default)]
    pub changes: u64,
    /// The last changes, oldest first.
    #[serde(default)]
    pub recent: Vec<ChangeWire>,
}

/// One class, with its targets as texts that people read and write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassWire {
    /// The class's name.
    pub name: String,
    /// The index it queries.
    pub index: String,
    /// The target of latency, such as `170ms`.
    pub latency: String,
    /// The target of coverage, such as `99.5%`.
    pub coverage: String,
    /// The target of extra load, such as `5%`.
    pub extra_load: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The number of the change that set it.
    #[serde(default)]
    pub change: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeWire {
    /// The id that its sender gave it.
    pub id: String,
    /// Its place in the order of all changes.
    pub number: u64,
    /// When, in seconds since 1970 by the clock of the instance that took it.
    pub at: u64,
    /// Which operator.
    pub who: String,
    /// The class that it changed.
    pub class: String,
    /// The class before it; none when it was created.
    pub from: Option<ClassWire>,
    /// The class after it; none when it was removed.
    pub to: Option<ClassWire>,
}

impl From<&Class> for ClassWire {
    fn from(class: &Class) -> Self {
        Self {
            name: class.name.to_string(),
            index: class.index.to_string(),
            latency: class.targets.latency.to_string(),
            coverage: class.targets.coverage.to_string(),
            extra_load: class.targets.extra_load.to_string(),
            repeatable: class.targets.repeatable,
            change: 0,
        }
    }
}

impl TryFrom<&ClassWire> for Class {
    type Error = WireError;

    fn try_from(wire: &ClassWire) -> Result<Self, WireError> {
        let targets = Targets {
            latency: field("latency", &wire.latency)?,
            coverage: field("coverage", &wire.coverage)?,
            extra_load: field("extra_load", &wire.extra_load)?,
            repeatable: wire.repeatable,
        };
        Ok(Self {
            name: field("name", &wire.name)?,
            index: field("index", &wire.index)?,
            targets,
        })
    }
}

impl From<&Classes> for ClassesWire {
    fn from(classes: &Classes) -> Self {
        let class = |set: &SetClass| ClassWire {
            change: set.change.0,
            ..ClassWire::from(&*set.class)
        };
        Self {
            classes: classes.by_name.values().map(class).collect(),
            changes: classes.last.0,
            recent: classes.recent.iter().map(ChangeWire::from).collect(),
        }
    }
}

impl TryFrom<&ClassesWire> for Classes {
    type Error = WireError;

    fn try_from(wire: &ClassesWire) -> Result<Self, WireError> {
        let mut classes = Self {
            last: ChangeNumber(wire.changes),
            ..Self::default()
        };
        for class in &wire.classes {
            let change = ChangeNumber(class.change);
            let class = Arc::new(Class::try_from(class)?);
            let set = SetClass { class, change };
            classes.by_name.insert(set.class.name.clone(), set);
        }
        for change in &wire.recent {
            classes.recent.push(AcceptedChange::try_from(change)?);
        }
        Ok(classes)
    }
}

impl From<&AcceptedChange> for ChangeWire {
    fn from(change: &AcceptedChange) -> Self {
        Self {
            id: change.id.to_string(),
            number: change.number.0,
            at: change.at.0,
            who: change.who.to_string(),
            class: change.name.to_string(),
            from: change.from.as_deref().map(ClassWire::from),
            to: change.to.as_deref().map(ClassWire::from),
        }
    }
}

impl TryFrom<&ChangeWire> for AcceptedChange {
    type Error = WireError;

    fn try_from(wire: &ChangeWire) -> Result<Self, WireError> {
        Ok(Self {
            id: field("id", &wire.id)?,
            number: ChangeNumber(wire.number),
            at: UnixSeconds(wire.at),
            who: field("who", &wire.who)?,
            name: field("class", &wire.class)?,
            from: class(wire.from.as_ref())?,
            to: class(wire.to.as_ref())?,
        })
    }
}

fn class(wire: Option<&ClassWire>) -> Result<Option<Arc<Class>>, WireError> {
    let class = wire.map(Class::try_from).transpose()?;
    Ok(class.map(Arc::new))
}
