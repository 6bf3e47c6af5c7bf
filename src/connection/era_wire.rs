//! The `bincode` type of updates between instances that understand eras of the store; see
//! `docs/ERAS.md`.

use serde::{Deserialize, Serialize};

use super::entry_wire::{EraEntryWire, era_entries, received_with_eras};
use super::fleet_wire::UpdatesWire;
use super::peer_wire::PeerWireError;
use crate::process::Updates;
use crate::types::Era;

/// Updates with the eras of their objects, which `updates` leaves out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct EraUpdatesWire {
    updates: UpdatesWire,
    era: u64,
    objects: Vec<EraEntryWire>,
    is_complete: bool,
}

impl EraUpdatesWire {
    pub(super) fn new(updates: &Updates, era: Era) -> Self {
        Self {
            updates: updates.into(),
            era: era.0,
            objects: era_entries(updates),
            is_complete: updates.is_complete,
        }
    }
}

impl TryFrom<EraUpdatesWire> for Updates {
    type Error = PeerWireError;

    fn try_from(wire: EraUpdatesWire) -> Result<Self, PeerWireError> {
        let received = received_with_eras(wire.objects)?;
        Ok(Self {
            era: Some(Era(wire.era)),
            objects: received.entries,
            large: received.large,
            chunks: received.chunks,
            is_complete: wire.is_complete,
            ..wire.updates.try_into()?
        })
    }
}
