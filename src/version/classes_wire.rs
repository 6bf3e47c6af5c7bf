//! The encoding of classes and their changes in the platform's objects and in answers to
//! operators; see `docs/INTERFACES.md`, "Objects".
//!
//! Unknown fields are ignored, so that an older instance can read the objects of a newer one.
//! Requests of operators are decoded strictly, in `connection/operator_wire.rs`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::wire::{WireError, parse_field};
use super::{AcceptedChange, Class, ClassEntry, Classes, Targets};
use crate::types::{ChangeNumber, UnixSeconds};

/// The object that holds all classes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassesWire {
    /// The classes in order of creation.
    pub classes: Vec<ClassWire>,
    /// The number of the last change.
    #[serde(default)]
    pub changes: u64,
    /// The most recent changes, oldest first.
    #[serde(default)]
    pub recent: Vec<ChangeWire>,
}

/// One class, with its targets in human-readable form.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassWire {
    /// The name of the class.
    pub name: String,
    /// The index it queries.
    pub index: String,
    /// The latency target, such as `170ms`.
    pub latency: String,
    /// The coverage target, such as `99.5%`.
    pub coverage: String,
    /// The extra load target, such as `5%`.
    pub extra_load: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The number of the last change to it.
    #[serde(default)]
    pub change: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeWire {
    /// The id assigned by its sender.
    pub id: String,
    /// Its sequence number among all changes.
    pub number: u64,
    /// When it was accepted, as Unix seconds on the clock of the accepting instance.
    pub at: u64,
    /// The operator who made it.
    pub who: String,
    /// The changed class.
    pub class: String,
    /// The class before the change; `None` if the change created it.
    pub from: Option<ClassWire>,
    /// The class after the change; `None` if the change removed it.
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
            latency: parse_field("latency", &wire.latency)?,
            coverage: parse_field("coverage", &wire.coverage)?,
            extra_load: parse_field("extra_load", &wire.extra_load)?,
            repeatable: wire.repeatable,
        };
        Ok(Self {
            name: parse_field("name", &wire.name)?,
            index: parse_field("index", &wire.index)?,
            targets,
        })
    }
}

impl From<&Classes> for ClassesWire {
    fn from(classes: &Classes) -> Self {
        let class = |entry: &ClassEntry| ClassWire {
            change: entry.change.0,
            ..ClassWire::from(&*entry.class)
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
            let entry = ClassEntry { class, change };
            classes.by_name.insert(entry.class.name.clone(), entry);
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
            id: parse_field("id", &wire.id)?,
            number: ChangeNumber(wire.number),
            at: UnixSeconds(wire.at),
            who: parse_field("who", &wire.who)?,
            name: parse_field("class", &wire.class)?,
            from: decode_class(wire.from.as_ref())?,
            to: decode_class(wire.to.as_ref())?,
        })
    }
}

fn decode_class(wire: Option<&ClassWire>) -> Result<Option<Arc<Class>>, WireError> {
    let class = wire.map(Class::try_from).transpose()?;
    Ok(class.map(Arc::new))
}
