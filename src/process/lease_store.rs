//! Reads and writes the leases and summaries of cells in the platform.

use super::cell_wire::{cell_key, lease_key};
use super::cells::{CellId, Summary};
use super::lease::LeaseRecord;
use super::{Expected, Instance, PlatformError};
use crate::types::{Epoch, ObjectVersion};

/// A lease record and the version of its object in the platform.
pub(super) struct StoredLease {
    pub(super) record: LeaseRecord,
    pub(super) version: ObjectVersion,
}

/// The lease record that names this instance as the holder.
pub(super) fn own_record(
    instance: &Instance,
    epoch: Epoch,
    renewals: u64,
    released: bool,
) -> LeaseRecord {
    let members = instance.members.lock();
    let me = members.me();
    LeaseRecord {
        epoch,
        holder: me.name.clone(),
        incarnation: me.incarnation,
        peer_addr: me.peer_addr,
        renewals,
        released,
    }
}

pub(super) async fn read_lease(
    instance: &Instance,
    cell: &CellId,
) -> Result<Option<StoredLease>, PlatformError> {
    let object = instance.platform.get(&lease_key(cell)).await?;
    object
        .map(|object| {
            let record = LeaseRecord::from_json(&object.value)
                .map_err(|error| PlatformError::Protocol(error.to_string()))?;
            let version = object.version;
            Ok(StoredLease { record, version })
        })
        .transpose()
}

pub(super) async fn put_lease(
    instance: &Instance,
    cell: &CellId,
    record: &LeaseRecord,
    expected: Expected,
) -> Result<ObjectVersion, PlatformError> {
    let json = record
        .to_json()
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    instance
        .platform
        .put(&lease_key(cell), json, expected)
        .await
}

pub(super) async fn read_summary(
    instance: &Instance,
    cell: &CellId,
) -> Result<Expected, PlatformError> {
    let object = instance.platform.get(&cell_key(cell)).await?;
    Ok(match object {
        Some(object) => {
            super::follow::adopt(instance, &object);
            Expected::Version(object.version)
        }
        None => Expected::Absent,
    })
}

pub(super) async fn put_summary(
    instance: &Instance,
    summary: &Summary,
    expected: Expected,
) -> Result<ObjectVersion, PlatformError> {
    let json = summary
        .to_json()
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    instance
        .platform
        .put(&cell_key(&summary.cell), json, expected)
        .await
}

/// Takes the lease of a cell that lost all its instances, publishes an empty summary for
/// it, and releases the lease so that an instance that joins the cell can take it.
pub(super) async fn clear_lost_cell(
    instance: &Instance,
    cell: &CellId,
    epoch: Epoch,
    version: ObjectVersion,
) {
    let taken = own_record(instance, epoch, 0, false);
    let expected = Expected::Version(version);
    let Ok(version) = put_lease(instance, cell, &taken, expected).await else {
        return;
    };
    let Ok(expected) = read_summary(instance, cell).await else {
        return;
    };
    let summary = Summary {
        cell: cell.clone(),
        version: instance.members.lock().next_version(cell, epoch),
        members: indexmap::IndexMap::new(),
    };
    if put_summary(instance, &summary, expected).await.is_ok() {
        instance.members.lock().adopt_summary(&summary);
        tracing::info!(%cell, %epoch, "published an empty summary for a lost cell");
        instance.engine.metrics.members.lost_cell();
    }
    let released = own_record(instance, epoch, 1, true);
    let expected = Expected::Version(version);
    put_lease(instance, cell, &released, expected).await.ok();
}
