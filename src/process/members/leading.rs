//! Decisions of the leader of a cell: its epoch, the summary to publish, and the cell to
//! monitor.

use indexmap::IndexMap;

use super::Members;
use crate::process::cells::{self, CellId, CellVersion, MemberState, Summary};
use crate::types::{CellSeq, Epoch, Timestamp};

impl Members {
    /// The epoch to take the lease with: at least `epoch`, and above every epoch seen so far.
    pub(crate) fn epoch_above(&self, epoch: Epoch) -> Epoch {
        let known = self
            .cell
            .as_ref()
            .map(|cell| self.cells.version(cell).epoch)
            .unwrap_or_default();
        let seen = known.max(self.highest_epoch);
        epoch.max(Epoch(seen.0 + 1))
    }

    /// Records that the lease was taken.
    pub(crate) fn begin_leading(&mut self, now: Timestamp) {
        self.led_since = now;
        self.leader = None;
        self.peer_positions.clear();
    }

    /// The summary to publish as leader, when it differs from the published one.
    ///
    /// For one member timeout after this instance took the lease, the known members stay
    /// listed without a heartbeat, because they may not have found their new leader yet.
    pub(crate) fn summary_to_publish(&self, now: Timestamp) -> Option<Summary> {
        let epoch = self.lease.epoch(now)?;
        let cell = self.cell.clone()?;
        let known = self.cells.summary(&cell);
        let mut members = IndexMap::new();
        let in_grace_period = now.since(self.led_since) <= self.timing.member_timeout();
        if in_grace_period && let Some(known) = &known {
            members.extend(known.members.clone());
        }
        for contact in self.contacts.values() {
            let alive = now.since(contact.at) <= self.timing.member_timeout();
            if contact.cell.as_ref() == Some(&cell) && alive {
                members.insert(contact.member.name.clone(), contact.member.clone());
            }
        }
        members.insert(self.me.name.clone(), self.me.clone());
        members.retain(|_, member| member.state != MemberState::Gone);
        let version = known
            .as_ref()
            .map(|known| known.version)
            .unwrap_or_default();
        if version.epoch == epoch && known.is_some_and(|known| known.members == members) {
            return None;
        }
        Some(Summary {
            cell,
            version: next_version(version, epoch),
            members,
        })
    }

    /// The next version of a cell's summary under `epoch`.
    pub(crate) fn next_version(&self, cell: &CellId, epoch: Epoch) -> CellVersion {
        next_version(self.cells.version(cell), epoch)
    }

    /// The cell whose lease this leader monitors.
    pub(crate) fn monitored_cell(&self) -> Option<CellId> {
        cells::monitored_cell(self.cell.as_ref()?, self.cells.ids())
    }
}

fn next_version(known: CellVersion, epoch: Epoch) -> CellVersion {
    if known.epoch == epoch {
        CellVersion {
            epoch,
            seq: CellSeq(known.seq.0 + 1),
        }
    } else {
        CellVersion {
            epoch,
            seq: CellSeq(1),
        }
    }
}
