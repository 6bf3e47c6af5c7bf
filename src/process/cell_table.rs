//! The summaries of all cells, with the position of each change, so that a peer is sent
//! only what changed.

use indexmap::IndexMap;

use super::cells::{CellId, CellVersion, Member, Summary};
use super::peer_messages::CellDelta;
use crate::types::{InstanceName, Position};

const MAX_TOMBSTONES: usize = 64;

/// The latest summary of each cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellTable {
    cells: IndexMap<CellId, Cell>,
}

#[derive(Clone, Debug, Default)]
struct Cell {
    version: CellVersion,
    members: IndexMap<InstanceName, (Member, Position)>,
    tombstones: IndexMap<InstanceName, Position>,
    full_resend_before: Position,
}

impl CellTable {
    /// The ids of all known cells.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &CellId> {
        self.cells.keys()
    }

    /// The version of a cell's summary; the default, lowest version for an unknown cell.
    pub(crate) fn version(&self, cell: &CellId) -> CellVersion {
        self.cells
            .get(cell)
            .map(|cell| cell.version)
            .unwrap_or_default()
    }

    /// The instances of all cells. An instance that moved to another cell may occur twice.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        let members = self.cells.values().flat_map(|cell| cell.members.values());
        members.map(|(member, _)| member)
    }

    /// The number of instances in all cells.
    pub(crate) fn count(&self) -> usize {
        self.cells.values().map(|cell| cell.members.len()).sum()
    }

    /// Whether an instance is listed in `cell`, or in any cell when `cell` is `None`.
    pub(crate) fn contains(&self, cell: Option<&CellId>, name: &InstanceName) -> bool {
        match cell {
            Some(cell) => self
                .cells
                .get(cell)
                .is_some_and(|cell| cell.members.contains_key(name)),
            None => self
                .cells
                .values()
                .any(|cell| cell.members.contains_key(name)),
        }
    }

    /// The summary of a cell.
    pub(crate) fn summary(&self, cell: &CellId) -> Option<Summary> {
        let known = self.cells.get(cell)?;
        let members = known.members.iter();
        Some(Summary {
            cell: cell.clone(),
            version: known.version,
            members: members
                .map(|(name, (member, _))| (name.clone(), member.clone()))
                .collect(),
        })
    }

    /// Applies a whole summary, unless the known version is the same or newer.
    pub(crate) fn adopt(&mut self, summary: &Summary, at: Position) -> bool {
        let known = self.cells.get(&summary.cell);
        if known.is_some_and(|cell| cell.version >= summary.version) {
            return false;
        }
        let new_cell = Cell {
            full_resend_before: at,
            ..Cell::default()
        };
        let cell = self.cells.entry(summary.cell.clone()).or_insert(new_cell);
        cell.version = summary.version;
        let removed: Vec<InstanceName> = cell
            .members
            .keys()
            .filter(|name| !summary.members.contains_key(*name))
            .cloned()
            .collect();
        for name in &removed {
            cell.remove(name, at);
        }
        for member in summary.members.values() {
            cell.put(member, at);
        }
        true
    }

    /// Applies a delta, unless the known version is the same or newer.
    pub(crate) fn adopt_delta(&mut self, delta: &CellDelta, at: Position) -> bool {
        if delta.whole {
            let members = delta.changed.iter();
            let summary = Summary {
                cell: delta.cell.clone(),
                version: delta.version,
                members: members
                    .map(|member| (member.name.clone(), member.clone()))
                    .collect(),
            };
            return self.adopt(&summary, at);
        }
        let Some(cell) = self.cells.get_mut(&delta.cell) else {
            return false;
        };
        if cell.version >= delta.version {
            return false;
        }
        cell.version = delta.version;
        for name in &delta.removed {
            cell.remove(name, at);
        }
        for member in &delta.changed {
            cell.put(member, at);
        }
        true
    }

    /// The changes of a cell after `seen`; the whole summary when `seen` lies before the
    /// first position of the cell or before a tombstone that was dropped.
    pub(crate) fn delta(&self, id: &CellId, seen: Position) -> Option<CellDelta> {
        let cell = self.cells.get(id)?;
        let whole = seen < cell.full_resend_before;
        let changed = cell.members.values();
        let removed = cell
            .tombstones
            .iter()
            .filter(|(_, at)| !whole && **at > seen);
        Some(CellDelta {
            cell: id.clone(),
            version: cell.version,
            whole,
            changed: changed
                .filter(|(_, at)| whole || *at > seen)
                .map(|(member, _)| member.clone())
                .collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
        })
    }
}

impl Cell {
    fn put(&mut self, member: &Member, at: Position) {
        let known = self.members.get(&member.name);
        if known.is_some_and(|(known, _)| known == member) {
            return;
        }
        self.tombstones.shift_remove(&member.name);
        self.members
            .insert(member.name.clone(), (member.clone(), at));
    }

    fn remove(&mut self, name: &InstanceName, at: Position) {
        if self.members.shift_remove(name).is_none() {
            return;
        }
        self.tombstones.shift_remove(name);
        self.tombstones.insert(name.clone(), at);
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((_, oldest)) = self.tombstones.shift_remove_index(0)
        {
            self.full_resend_before = oldest;
        }
    }
}
