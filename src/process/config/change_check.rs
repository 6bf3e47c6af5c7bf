//! Decides whether a proposed change of a class is accepted, from the classes alone.

use std::sync::Arc;

use super::targets;
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};
use crate::version::{AcceptedChange, Class, ClassEntry, Classes};

const MAX_CLASSES: usize = 256;

/// The change of a class that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClassChange {
    /// Create or replace the class.
    Set(Arc<Class>),
    /// Remove the class.
    Remove(ClassName),
}

/// The state of the class that the operator has seen; the change is refused if the class
/// has changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    /// There is no such class.
    Absent,
    /// The class as set by this change.
    SetBy(ChangeNumber),
}

/// A change proposed by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    pub(crate) id: ChangeId,
    pub(crate) at: UnixSeconds,
    pub(crate) who: OperatorName,
    pub(crate) class_change: ClassChange,
    pub(crate) seen: Precondition,
}

/// The outcome of evaluating a proposal that is not refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The change was already made, by an earlier attempt.
    AlreadyApplied(AcceptedChange),
    /// These classes are to be written; the last of their recent changes is the proposed
    /// one.
    Write(Classes),
}

impl Proposal {
    /// The name of the class to change.
    pub(crate) fn name(&self) -> &ClassName {
        match &self.class_change {
            ClassChange::Set(class) => &class.name,
            ClassChange::Remove(name) => name,
        }
    }
}

/// Evaluates a proposal against the current classes.
///
/// # Errors
/// The refusal for the operator: the proposal has changed nothing, and will not change
/// these classes.
pub(crate) fn evaluate(classes: &Classes, proposal: &Proposal) -> Result<Decision, Refusal> {
    if let Some(change) = classes.recent(proposal.id) {
        return Ok(Decision::AlreadyApplied(change.clone()));
    }
    let name = proposal.name();
    let current = classes.by_name.get(name);
    check_seen(name, current, proposal.seen)?;
    let to = match &proposal.class_change {
        ClassChange::Set(class) => {
            targets::check(class, current.map(|entry| &*entry.class))?;
            Some(Arc::clone(class))
        }
        ClassChange::Remove(_) => None,
    };
    if to.is_some() && current.is_none() && classes.by_name.len() >= MAX_CLASSES {
        return Err(Refusal::new(
            ErrorKind::TooLarge,
            format!("there are already {MAX_CLASSES} classes, which is the maximum"),
        ));
    }
    Ok(Decision::Write(with_change(classes, proposal, to)))
}

fn check_seen(
    name: &ClassName,
    current: Option<&ClassEntry>,
    seen: Precondition,
) -> Result<(), Refusal> {
    let found = current.map_or(Precondition::Absent, |entry| {
        Precondition::SetBy(entry.change)
    });
    if found == seen {
        return Ok(());
    }
    let detail = match found {
        Precondition::Absent => format!("there is no class {name}"),
        Precondition::SetBy(change) => format!("class {name} was set by change {change}"),
    };
    let kind = match (found, seen) {
        (Precondition::Absent, Precondition::SetBy(_)) => ErrorKind::NotFound,
        _ => ErrorKind::Conflict,
    };
    Err(Refusal::new(kind, detail))
}

fn with_change(classes: &Classes, proposal: &Proposal, to: Option<Arc<Class>>) -> Classes {
    let mut next = classes.clone();
    let name = proposal.name();
    let number = ChangeNumber(classes.last.0 + 1);
    next.last = number;
    let from = match &to {
        Some(class) => next.by_name.insert(
            name.clone(),
            ClassEntry {
                class: Arc::clone(class),
                change: number,
            },
        ),
        None => next.by_name.shift_remove(name),
    };
    next.recent.push(AcceptedChange {
        id: proposal.id,
        number,
        at: proposal.at,
        who: proposal.who.clone(),
        name: name.clone(),
        from: from.map(|entry| entry.class),
        to,
    });
    next
}
