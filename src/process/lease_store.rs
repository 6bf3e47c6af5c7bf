//! Leases and summaries of cells as objects of the platform.

use super::cell_wire::{cell_key, lease_key};
use super::cells::{CellId, Summary};
use super::lease::LeaseRecord;
use super::{Expected, Instance, PlatformError};
use crate::types::{Epoch, ObjectVersion};

/// A lease as the platform holds it.
pub(super) struct Found {
    pub(super) record: LeaseRecord,
    pub(super) version: ObjectVersion,
}

/// What this instance states of itself when it holds a lease.
pub(super) fn record(
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
) -> Result<Option<Found>, PlatformError> {
    let object = instance.platform.get(&lease_key(cell)).await?;
    object
        .map(|object| {
            let record = LeaseRecord::from_json(&object.value)
                .map_err(|error| PlatformError::Protocol(error.to_string()))?;
            let version = object.version;
            Ok(Found { record, version })
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

/// Takes the lease of a lost cell for as long as it takes to state that nobody is in
/// it, and gives it up again for whoever joins.
pub(super) async fn empty(
    instance: &Instance,
    cell: &CellId,
    epoch: Epoch,
    version: ObjectVersion,
) {
    let taken = record(instance, epoch, 0, false);
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
        tracing::info!(%cell, %epoch, "a lost cell is empty now");
        instance.engine.metrics.members.lost_cell();
    }
    let released = record(instance, epoch, 1, true);
    let expected = Expected::Version(version);
    put_lease(instance, cell, &released, expected).await.ok();
}
