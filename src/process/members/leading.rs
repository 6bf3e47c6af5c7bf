//! What an instance does as the leader of its cell: take the fence, and say who is there.

use indexmap::IndexMap;

use super::Members;
use crate::process::cells::{self, CellId, CellVersion, MemberState, Summary};
use crate::types::{CellSeq, Epoch, Timestamp};

impl Members {
    /// The fence to take the lease with, above every one that was seen.
    pub(crate) fn epoch_above(&self, epoch: Epoch) -> Epoch {
        let known = self
            .cell
            .as_ref()
            .map(|cell| self.cells.version(cell).epoch)
            .unwrap_or_default();
        let seen = known.max(self.top_epoch);
        epoch.max(Epoch(seen.0 + 1))
    }

    /// Notes that a lease was taken.
    pub(crate) fn begin_leading(&mut self, now: Timestamp) {
        self.led_since = now;
        self.leader = None;
        self.seen.clear();
    }

    /// The summary to publish as leader, when it differs from the published one.
    ///
    /// An instance that was not heard yet stays for a while after the lease changed
    /// hands, because it may not have found its new leader.
    pub(crate) fn to_publish(&self, now: Timestamp) -> Option<Summary> {
        let epoch = self.lease.epoch(now)?;
        let cell = self.cell.clone()?;
        let known = self.cells.summary(&cell);
        let mut members = IndexMap::new();
        let waits = now.since(self.led_since) <= self.timing.dead();
        if waits && let Some(known) = &known {
            members.extend(known.members.clone());
        }
        for heard in self.heard.values() {
            let alive = now.since(heard.at) <= self.timing.dead();
            if heard.cell.as_ref() == Some(&cell) && alive {
                members.insert(heard.member.name.clone(), heard.member.clone());
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

    /// The cell whose lease this leader keeps an eye on.
    pub(crate) fn ward(&self) -> Option<CellId> {
        cells::ward(self.cell.as_ref()?, self.cells.ids())
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
