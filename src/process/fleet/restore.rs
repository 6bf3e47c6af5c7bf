//! What holds of an object once the store came back from an older copy.
//!
//! The store's order says which state it made last, and the copy was made before some of them were
//! lost. The order of an object's own writer says which state is true; see `docs/ERAS.md`.

use std::sync::Arc;

use super::{Entry, EntryState, ObjectDecoder};
use crate::types::Era;

/// The order of an object's states by what its writer says in them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WriterOrder {
    /// The start of the writer's process, or 0 if that does not order the states.
    pub(crate) started: u64,
    /// Increases with each state that the process writes.
    pub(crate) number: u64,
}

/// Returns what holds at the version of `entry`. That is `entry` itself, unless its writer wrote it
/// before what is known, which can only be so after the store came back from a copy.
pub(super) fn reconcile(decoder: &dyn ObjectDecoder, known: &Entry, entry: Entry) -> Entry {
    let order = |value: &Arc<[u8]>| decoder.writer_order(&entry.key, value);
    let is_kept = matches!(known.state, EntryState::Kept(..));
    let may_be_older = is_kept || is_of_earlier_era(known, entry.version.era);
    let state = match (&entry.state, &known.state) {
        (EntryState::Gone(None), EntryState::Gone(last)) => Some(EntryState::Gone(*last)),
        (EntryState::Gone(None), known) => {
            known.value().map(|value| EntryState::Gone(order(value)))
        }
        (EntryState::Present(value) | EntryState::Kept(value, _), known) if may_be_older => {
            outlived(known, order, order(value))
        }
        _ => None,
    };
    match state {
        Some(state) => Entry { state, ..entry },
        None => entry,
    }
}

/// Returns what holds of a known object instead of a state that arrived, if that is older.
fn outlived(
    known: &EntryState,
    order: impl Fn(&Arc<[u8]>) -> Option<WriterOrder>,
    arrived: Option<WriterOrder>,
) -> Option<EntryState> {
    match known {
        EntryState::Present(value) | EntryState::Kept(value, _) => {
            let known = order(value).filter(|known| Some(*known) > arrived)?;
            Some(EntryState::Kept(Arc::clone(value), known))
        }
        EntryState::Gone(Some(last)) => {
            (arrived <= Some(*last)).then_some(EntryState::Gone(Some(*last)))
        }
        EntryState::Gone(None) | EntryState::Lapsed => None,
    }
}

/// Returns what becomes of a known object that a listing of this era lacks; `deleted` is the state
/// of one that the store has deleted.
pub(super) fn state_of_missing(
    decoder: &dyn ObjectDecoder,
    known: &Entry,
    era: Era,
    deleted: &EntryState,
) -> EntryState {
    let is_earlier = is_of_earlier_era(known, era);
    let is_kept = matches!(known.state, EntryState::Kept(..));
    let value = known.state.value();
    let outlives = (is_earlier || is_kept) && decoder.outlives_copy(&known.key);
    let order = |value: &Arc<[u8]>| decoder.writer_order(&known.key, value);
    match value.filter(|_| outlives) {
        Some(value) => order(value).map_or(EntryState::Lapsed, |order| {
            EntryState::Kept(Arc::clone(value), order)
        }),
        None if is_earlier => EntryState::Lapsed,
        None => deleted.clone(),
    }
}

/// Whether the store came back from a copy since a state was known. An instance of the version
/// before states no era, which tells nothing.
fn is_of_earlier_era(known: &Entry, era: Era) -> bool {
    known.version.era != Era::default() && known.version.era < era
}

#[cfg(test)]
#[path = "restore_tests.rs"]
mod restore_tests;
