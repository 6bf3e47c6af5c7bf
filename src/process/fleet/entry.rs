//! What is known of the store's objects, and which of two states of one object is newer.
//!
//! Every way by which an object arrives ends in this order; see `docs/ERAS.md`.

use std::fmt;
use std::sync::Arc;

use super::WriterOrder;
use crate::process::ObjectKey;
use crate::types::{Era, ObjectVersion};

/// Where a state stands in the history of the store. Versions of two eras cannot be compared, so
/// the era comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryVersion {
    pub(crate) era: Era,
    pub(crate) object: ObjectVersion,
}

impl EntryVersion {
    pub(crate) const fn new(era: Era, object: ObjectVersion) -> Self {
        Self { era, object }
    }
}

impl fmt::Display for EntryVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of era {}", self.object, self.era)
    }
}

/// An object at one version, or the record that it was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) key: ObjectKey,
    pub(crate) version: EntryVersion,
    pub(crate) state: EntryState,
}

impl Entry {
    /// Returns the precedence of this entry among those of the same object.
    pub(super) fn precedence(&self) -> Precedence {
        let state = match &self.state {
            EntryState::Present(_) => StatePrecedence::Present,
            EntryState::Kept(_, order) => StatePrecedence::Kept(*order),
            EntryState::Lapsed => StatePrecedence::Lapsed,
            EntryState::Gone(last) => StatePrecedence::Gone(*last),
        };
        Precedence {
            version: self.version,
            state,
        }
    }

    /// Returns the approximate size of the entry in a message.
    pub(super) fn size(&self) -> usize {
        self.key.as_str().len() + self.state.value().map_or(0, |value| value.len())
    }
}

/// What is known of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The object exists and has this value.
    Present(Arc<[u8]>),
    /// The object has this value, although the copy from which the store came back has an older
    /// one, or none.
    Kept(Arc<[u8]>, WriterOrder),
    /// The object was deleted. Its last state had this place in the order of its writer, if that is
    /// known.
    Gone(Option<WriterOrder>),
    /// The object disappeared around an outage of the store, so it may only have lapsed.
    Lapsed,
}

impl EntryState {
    /// Returns the value of an object that exists.
    pub(crate) fn value(&self) -> Option<&Arc<[u8]>> {
        match self {
            Self::Present(value) | Self::Kept(value, _) => Some(value),
            Self::Gone(_) | Self::Lapsed => None,
        }
    }
}

/// Orders what is known of one object: of two states the greater one holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    pub(super) version: EntryVersion,
    pub(super) state: StatePrecedence,
}

/// Orders the states of one version, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StatePrecedence {
    Present,
    /// What outlived a copy of the store is later than what the copy holds.
    Kept(WriterOrder),
    /// The version of a deletion is at least that of the last state, so at one version the deletion is
    /// later.
    Lapsed,
    Gone(Option<WriterOrder>),
}
