//! Whether a proposed change of a class is accepted, decided from the classes alone.

use std::sync::Arc;

use super::targets;
use crate::error::{ErrorKind, Refusal};
use crate::types::{ChangeId, ChangeNumber, ClassName, OperatorName, UnixSeconds};
use crate::version::{AcceptedChange, Class, Classes, SetClass};

const MOST_CLASSES: usize = 256;

/// What an operator wants a class to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Wish {
    /// The class is to be created or replaced.
    Set(Arc<Class>),
    /// The class is to be removed.
    Remove(ClassName),
}

/// What the operator believes of the class now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// There is no such class.
    Absent,
    /// It was set by this change.
    SetBy(ChangeNumber),
}

/// One change as an operator proposes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    pub(crate) id: ChangeId,
    pub(crate) at: UnixSeconds,
    pub(crate) who: OperatorName,
    pub(crate) wish: Wish,
    pub(crate) seen: Seen,
}

/// What is to be done with a proposal that is not refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is in force already.
    Accepted(AcceptedChange),
    /// These classes are to be written; the last of their changes is this one.
    Write(Classes),
}

impl Proposal {
    /// The class that it is about.
    pub(crate) fn name(&self) -> &ClassName {
        match &self.wish {
            Wish::Set(class) => &class.name,
            Wish::Remove(name) => name,
        }
    }
}

/// Decides on a proposal over the classes as they are.
///
/// # Errors
/// The refusal that the operator gets: the proposal has not changed anything, and these
/// classes will not be changed by it.
pub(crate) fn judge(classes: &Classes, proposal: &Proposal) -> Result<Verdict, Refusal> {
    if let Some(change) = classes.recent(proposal.id) {
        return Ok(Verdict::Accepted(change.clone()));
    }
    let name = proposal.name();
    let now = classes.by_name.get(name);
    check_seen(name, now, proposal.seen)?;
    let to = match &proposal.wish {
        Wish::Set(class) => {
            targets::check(class, now.map(|set| &*set.class))?;
            Some(Arc::clone(class))
        }
        Wish::Remove(_) => None,
    };
    if to.is_some() && now.is_none() && classes.by_name.len() >= MOST_CLASSES {
        return Err(Refusal::new(
            ErrorKind::TooLarge,
            format!("there are {MOST_CLASSES} classes, which is the most"),
        ));
    }
    Ok(Verdict::Write(with_change(classes, proposal, to)))
}

fn check_seen(name: &ClassName, now: Option<&SetClass>, seen: Seen) -> Result<(), Refusal> {
    let found = now.map_or(Seen::Absent, |set| Seen::SetBy(set.change));
    if found == seen {
        return Ok(());
    }
    let detail = match found {
        Seen::Absent => format!("there is no class {name}"),
        Seen::SetBy(change) => format!("class {name} was set by change {change}"),
    };
    let kind = match (found, seen) {
        (Seen::Absent, Seen::SetBy(_)) => ErrorKind::NotFound,
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
            SetClass {
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
        from: from.map(|set| set.class),
        to,
    });
    next
}
